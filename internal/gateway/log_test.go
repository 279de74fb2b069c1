package gateway_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/trace"
)

// lockedBuilder collects a log that is still written to.
type lockedBuilder struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuilder) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuilder) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestDecisionStatesBothDeadlines sends a request whose client waits for one second for the first event and
// for two for the whole response. Placement compares with the first.
func TestDecisionStatesBothDeadlines(t *testing.T) {
	var text lockedBuilder
	r := newHarness(t, harnessOptions{model: []*fleetengine.Engine{fleetengine.New("a", "decode")}, logger: log.NewLogfmtLogger(&text)})
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathModel, "r", "x", prompt("bb")).status)
	_, line, _ := strings.Cut(text.String(), "msg=decision")
	line, _, _ = strings.Cut("msg=decision"+line, "\n")
	lines, err := trace.Read(strings.NewReader("ts=2026-10-23T20:56:50.000Z process=a "+line), "r")
	require.NoError(t, err)
	require.Len(t, lines, 1)
	left := func(key string) time.Duration {
		d, err := time.ParseDuration(lines[0].Get(key))
		require.NoError(t, err, line)
		return d
	}
	require.Greater(t, left("left"), testClientTimeout)
	require.Positive(t, left("first_event_left"))
	require.Less(t, left("first_event_left"), testClientTimeout)
}

// TestMalformedEventIsLogged has an engine send many bytes that are no event, so that the log line has to be bounded.
func TestMalformedEventIsLogged(t *testing.T) {
	var text lockedBuilder
	e := fleetengine.New("a", fleetengine.StageDecode)
	e.Events, e.Garble.Change = 2, func(events []string) string {
		return events[0] + "garbage" + strings.Repeat("\x00", 1000) + "\n\n" + events[1]
	}
	e.Fail(fleetengine.Garbled, 1)
	r := newHarness(t, harnessOptions{model: []*fleetengine.Engine{e}, logger: log.NewLogfmtLogger(&text)})
	r.send(http.MethodPost, pathAtMostOnceStream, "r", "x", nil)
	require.EqualValues(t, 1, r.counter("malformed_events"))
	_, line, _ := strings.Cut(text.String(), `msg="malformed event"`)
	line, _, _ = strings.Cut(line, "\n")
	for _, field := range []string{"request=r ", "instance=a ", "after=1 ", "bytes=1009 ", `garbage\\x00`, "conn="} {
		require.Contains(t, line, field)
	}
	require.Less(t, len(line), 1000)
}
