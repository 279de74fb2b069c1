package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetcaller"
)

// TestInstancesCrashJustAfterTheirStart replaces instances at one address as quickly as possible,
// and swaps the addresses of two.
func TestInstancesCrashJustAfterTheirStart(t *testing.T) {
	w, err := newWorld(context.Background(), Options{Dir: t.TempDir()})
	require.NoError(t, err)
	defer w.close()
	for range 200 {
		w.places[0].crash(0)
	}
	before := []string{w.places[0].address, w.places[1].address}
	w.places[0].swapAddresses(w.places[1])
	w.places[0].crash(0)
	require.Eventually(t, func() bool { return w.pending.Load() == 0 }, 10*time.Second, pollInterval)
	require.NoError(t, w.recordedFailure())
	require.Equal(t, before, []string{w.places[1].address, w.places[0].address})
	require.NotEmpty(t, w.observed.Withdrawals)
}

// TestCrashAbortsRequests checks that a request which an instance was running when it crashed is
// recorded as aborted by it.
func TestCrashAbortsRequests(t *testing.T) {
	w, err := newWorld(context.Background(), Options{Dir: t.TempDir()})
	require.NoError(t, err)
	defer w.close()
	p := w.places[len(w.places)-1]
	for range 20 {
		conn, err := net.Dial("tcp", p.address)
		require.NoError(t, err)
		request := fleetcaller.Request{ID: "r", Path: "/stream/1", Host: p.address, Body: "x", Timeout: time.Minute}
		_, err = io.WriteString(conn, request.String())
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		_, err = reader.Peek(1) // the response has begun
		require.NoError(t, err)
		p.crash(0)
		response, err := fleetcaller.ReadResponse(reader)
		require.Error(t, err)
		require.Equal(t, http.StatusOK, response.Status)
		require.NoError(t, conn.Close())
	}
	aborted := func() (n int) {
		w.observed.record(func() {
			for _, a := range w.observed.Arrivals {
				if a.Aborted {
					n++
				}
			}
		})
		return n
	}
	require.Eventually(t, func() bool { return aborted() == 20 }, time.Second, time.Millisecond)
}
