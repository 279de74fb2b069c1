// Package crash runs the stand-ins of servers that crash and are restarted by a supervisor.
package crash

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// RestartingServer runs an HTTP server at a fixed address. After a crash, it starts a new server at the same
// address, as a supervisor does. It is safe for concurrent use.
type RestartingServer struct {
	address string
	// newHandler returns the handler of a new server. The handler calls crash to simulate a crash.
	newHandler func(address string, crash func()) http.Handler
	// restartDelay is the time between a crash and the restart. Connections are refused meanwhile.
	restartDelay time.Duration

	mu      sync.Mutex
	server  *http.Server
	crashes int
	closed  bool
}

// NewRestartingServer listens on address, whose port may be 0, and serves the handler that newHandler returns.
// It calls newHandler again for each restart, which follows restartDelay after a crash.
func NewRestartingServer(address string, restartDelay time.Duration, newHandler func(address string, crash func()) http.Handler) (*RestartingServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := &RestartingServer{address: l.Addr().String(), newHandler: newHandler, restartDelay: restartDelay}
	h.serve(l)
	return h, nil
}

func (h *RestartingServer) serve(l net.Listener) {
	server := &http.Server{Handler: h.newHandler(h.address, h.crash)}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		_ = l.Close()
		return
	}
	h.server = server
	go func() { _ = server.Serve(l) }() // returns when crash or Close closes the server
}

// crash closes all connections and the listener, and schedules the restart.
func (h *RestartingServer) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return // an earlier crash has already stopped the server
	}
	_ = h.server.Close()
	h.server = nil
	h.crashes++
	time.AfterFunc(h.restartDelay, h.restart)
}

func (h *RestartingServer) restart() {
	h.mu.Lock()
	closed := h.closed
	h.mu.Unlock()
	if closed {
		return
	}
	l, err := net.Listen("tcp", h.address)
	if err != nil { // another process may hold the port temporarily
		time.AfterFunc(h.restartDelay, h.restart)
		return
	}
	h.serve(l)
}

// Crashes returns the number of crashes so far.
func (h *RestartingServer) Crashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes
}

// Close stops the server and prevents further restarts.
func (h *RestartingServer) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.server != nil {
		_ = h.server.Close()
	}
}
