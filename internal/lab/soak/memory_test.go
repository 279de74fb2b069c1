package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetcaller"
)

const (
	// hostMemory is the memory of the users' smallest host, in MB.
	hostMemory = 144
	// largeResponse is the size of a response, slowBuffer the kernel's receive buffer of a client
	// that reads nothing.
	largeResponse = 2 << 20
	slowBuffer    = 4 << 10
	// slowReadTime is how long clients read nothing: long enough for all responses to arrive, and
	// within their deadline.
	slowReadTime = callTimeout - 300*time.Millisecond
)

// TestMemoryOfSlowClients has clients request large responses and read nothing, and checks that the
// peak memory of the process stays within the memory of its host.
func TestMemoryOfSlowClients(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rockdoor") // without the race detector, which needs memory itself
	out, err := exec.Command("go", "build", "-o", binary, "github.com/rockdoor/rockdoor/cmd/rockdoor").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, clients := range []int{0, 100, 400} {
		peak := peakMemory(t, binary, clients)
		t.Logf("%d slow clients: %.0f MB at the peak", clients, peak)
		require.Less(t, peak, float64(hostMemory), "%d clients", clients)
	}
}

// peakMemory returns the peak memory, in MB, of one process with a number of slow clients.
func peakMemory(t *testing.T, binary string, clients int) float64 {
	t.Helper()
	w, err := newWorld(context.Background(), Options{
		Seed: 1, Processes: 1, Layout: DefaultLayout, Dir: t.TempDir(), Command: []string{binary}, Bounds: DefaultBounds, MemoryMB: hostMemory,
	})
	require.NoError(t, err)
	defer w.close()
	require.NoError(t, w.createLinks())
	(&operator{w: w}).writeNext()
	for _, p := range w.places {
		p.current.Padding = largeResponse
	}
	require.NoError(t, w.startAll())
	for n := range clients {
		c := slowClient(t, w.gateways[0], n)
		defer c.Close()
	}
	time.Sleep(slowReadTime)
	pid, running := w.gateways[0].pid()
	require.True(t, running, "the process has exited")
	peak := readPeakMemory(t, pid)
	w.stopAll()
	return peak
}

// slowClient sends a request and does not read the response.
func slowClient(t *testing.T, g *gateway, number int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.address(portClients))
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(slowBuffer))
	r := fleetcaller.Request{ID: fmt.Sprint("slow-", number), Path: fmt.Sprintf("/%s/%d", Repeat, number), Host: hostName, Key: workspaceKey, Timeout: callTimeout}
	_, err = io.WriteString(conn, r.String())
	require.NoError(t, err)
	return conn
}

// readPeakMemory returns the peak resident memory of a process, in MB.
func readPeakMemory(t *testing.T, pid int) float64 {
	t.Helper()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var kb float64
		if strings.HasPrefix(lines.Text(), "VmHWM:") {
			_, err := fmt.Sscanf(lines.Text(), "VmHWM: %f kB", &kb)
			require.NoError(t, err)
			return kb / 1024
		}
	}
	t.Fatal("VmHWM is missing in the process status")
	return 0
}
