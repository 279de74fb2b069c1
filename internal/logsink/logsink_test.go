package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStalledReaderDoesNotBlockWriters checks that lines are dropped and counted, and that no writer waits,
// while nothing reads the output.
func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	s := New(w, 1<<30)
	begun := time.Now()
	for range 3 * queueCapacity {
		_, err := s.Write([]byte("level=warn msg=x\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(begun), 5*time.Second)
	require.GreaterOrEqual(t, s.Dropped(), int64(queueCapacity))
}

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// TestRateLimitDropsDebugLinesFirst checks that the rate limit holds and that debug lines cannot use the
// share reserved for other lines.
func TestRateLimitDropsDebugLinesFirst(t *testing.T) {
	const rate = 100
	out := &buffer{}
	s := New(out, rate)
	for time.Now().Nanosecond() > int(500*time.Millisecond) { // so that all lines fall within one second
		time.Sleep(10 * time.Millisecond)
	}
	for range 1000 {
		_, _ = s.Write([]byte("level=debug msg=success\n"))
	}
	s.Close(time.Second)
	require.LessOrEqual(t, strings.Count(out.b.String(), "success"), rate*3/4)
	require.Greater(t, s.Dropped(), int64(900))
}

func TestDroppedLinesAreReported(t *testing.T) {
	out := &buffer{}
	s := New(out, 1)
	s.dropped.Add(7)
	_, _ = s.Write([]byte("level=warn msg=failure\n"))
	s.Close(time.Second)
	require.Contains(t, out.b.String(), "lines=7")
	require.Contains(t, out.b.String(), "msg=failure")
}

// TestWritesAfterClose has goroutines log while the sink is being closed and afterwards, as goroutines of a
// process that is about to exit do.
func TestWritesAfterClose(t *testing.T) {
	s := New(io.Discard, 1_000_000)
	var writers sync.WaitGroup
	for range 4 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for range 2000 {
				_, err := s.Write([]byte("msg=x\n"))
				require.NoError(t, err)
			}
		}()
	}
	s.Close(time.Second)
	writers.Wait()
	before := s.Dropped()
	_, err := s.Write([]byte("msg=late\n"))
	require.NoError(t, err)
	require.Equal(t, before+1, s.Dropped(), "a line after Close is dropped and counted")
}

// TestWaitingLinesAreBoundedInBytes has long lines wait for a reader that does not come.
func TestWaitingLinesAreBoundedInBytes(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	s := New(w, 1<<30)
	line := []byte("level=warn request=r path=" + strings.Repeat("x", 100_000) + "\n")
	for range queueCapacity {
		_, err := s.Write(line)
		require.NoError(t, err)
	}
	require.LessOrEqual(t, s.queued.Load(), int64(queueBytes+2*maxLineBytes))
	require.Positive(t, s.Dropped())
}

func TestLongLinesAreCut(t *testing.T) {
	out := &buffer{}
	s := New(out, 1000)
	_, _ = s.Write([]byte("request=r path=" + strings.Repeat("x", 2*maxLineBytes) + "\n"))
	_, _ = s.Write([]byte("request=q\n"))
	s.Close(time.Second)
	lines := strings.Split(strings.TrimSpace(out.b.String()), "\n")
	require.Len(t, lines, 2)
	require.True(t, strings.HasPrefix(lines[0], "request=r path=x"))
	require.Contains(t, lines[0], " cut_bytes=")
	require.Less(t, len(lines[0]), maxLineBytes+100)
	require.EqualValues(t, 1, s.Cut())
	require.Zero(t, s.queued.Load())
}
