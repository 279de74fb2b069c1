// Package crash keeps stand-ins for servers that can crash and are started again.
package crash

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Host keeps one server at an address, and starts another one there after it has crashed, as a
// supervisor does. It is safe for concurrent use.
type Host struct {
	address string
	// start returns what is to run at the address now, which may call crash.
	start func(address string, crash func()) http.Handler
	// away is how long nothing listens after a crash.
	away time.Duration

	mu      sync.Mutex
	server  *http.Server
	crashes int
	closed  bool
}

// NewHost listens at an address, whose port may be 0, and serves what start returns there.
func NewHost(address string, away time.Duration, start func(address string, crash func()) http.Handler) (*Host, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := &Host{address: l.Addr().String(), start: start, away: away}
	h.serve(l)
	return h, nil
}

func (h *Host) serve(l net.Listener) {
	server := &http.Server{Handler: h.start(h.address, h.crash)}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		_ = l.Close()
		return
	}
	h.server = server
	go func() { _ = server.Serve(l) }() // ends with the crash
}

// crash breaks all connections off, and refuses new ones for a while.
func (h *Host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return // it is down already
	}
	_ = h.server.Close()
	h.server = nil
	h.crashes++
	time.AfterFunc(h.away, h.restart)
}

func (h *Host) restart() {
	h.mu.Lock()
	closed := h.closed
	h.mu.Unlock()
	if closed {
		return
	}
	l, err := net.Listen("tcp", h.address)
	if err != nil { // somebody has the port for a moment
		time.AfterFunc(h.away, h.restart)
		return
	}
	h.serve(l)
}

// Crashes returns how often the server has crashed.
func (h *Host) Crashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes
}

// Close ends the server for good.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.server != nil {
		_ = h.server.Close()
	}
}
