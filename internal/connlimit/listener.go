package connlimit

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/fault"
)

// Bounds are the limits of one listener.
type Bounds struct {
	// Descriptors is the number of descriptors that the connections of the listener may take, each with those that its
	// request needs. It must be positive.
	Descriptors int
	// PerRequest is the number of descriptors that a request under way takes besides its connection.
	PerRequest int
	// Waiting is the number of connections on which nothing whole has arrived yet. 0 means no limit.
	Waiting int
	// FirstTimeout is how long a connection may take until something whole has arrived, 0 for the limit on heads.
	FirstTimeout time.Duration
}

// Listener limits the connections of another listener.
type Listener struct {
	net.Listener
	limiter *Limiter
	name    string
	bounds  Bounds
	// isHTTP is true if the connections carry HTTP requests.
	isHTTP bool

	// The fields below are protected by the lock of the limiter.
	open, underWay int
	lists          [states]connList
	errorLogged    time.Time
	stallsChecked  time.Time
}

// Listen returns a listener that limits the connections of l. name identifies it in the log and in metrics.
func (l *Limiter) Listen(name string, inner net.Listener, b Bounds) *Listener {
	ln := &Listener{Listener: inner, limiter: l, name: name, bounds: b}
	l.mu.Lock()
	l.listeners = append(l.listeners, ln)
	l.mu.Unlock()
	l.o.Metrics.GetOrRegister("connections."+name+".open", metrics.NewFunctionalGauge(ln.Open))
	return ln
}

// Open returns the number of open connections.
func (ln *Listener) Open() int64 {
	ln.limiter.mu.Lock()
	defer ln.limiter.mu.Unlock()
	return int64(ln.open)
}

// Accept implements net.Listener.
func (ln *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := ln.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close() // nothing was read
	}
}

// admit returns the connection for an accepted one, nil if there is no room for it.
func (ln *Listener) admit(inner net.Conn) *conn {
	ln.limiter.mu.Lock()
	defer ln.limiter.mu.Unlock()
	if !ln.makeRoomToWait() || !ln.makeRoom(1, nil) && !ln.within(1, ln.overdraft()) {
		ln.limiter.count(ln.name, causeNoRoom)
		return nil
	}
	c := &conn{Conn: inner, ln: ln}
	c.inHead.Store(ln.isHTTP)
	ln.open++
	c.enter(waiting)
	return c
}

// makeRoomToWait closes the connection that has waited for longest for its first request if too many do. It reports false if that
// one is too young to be closed. Callers hold the lock.
func (ln *Listener) makeRoomToWait() bool {
	w := &ln.lists[waiting]
	if ln.bounds.Waiting == 0 || w.len < ln.bounds.Waiting {
		return true
	}
	if time.Since(w.first.since) < arrivalTime {
		return false
	}
	w.first.closeBy(causeTooMany)
	return true
}

// overdraftShare is the share of the descriptors by which new connections may exceed the limit while all others have requests under
// way. The next ones that have been answered are then closed, so that clients that always have a request under way do
// not keep others out.
const overdraftShare = 1. / 16

func (ln *Listener) overdraft() int { return int(overdraftShare * float64(ln.bounds.Descriptors)) }

// within reports whether n more descriptors are within the limit and an overdraft.
func (ln *Listener) within(n, overdraft int) bool {
	return ln.open+ln.underWay*ln.bounds.PerRequest+n <= ln.bounds.Descriptors+overdraft
}

// makeRoom closes connections until n more descriptors are within the limit. It reports false if no more of them may be
// closed. Callers hold the lock.
func (ln *Listener) makeRoom(n int, except *conn) bool {
	for !ln.within(n, 0) {
		c := ln.evictionCandidate(except)
		if now := time.Now(); c == nil && now.Sub(ln.stallsChecked) > stallCheckInterval {
			ln.checkWrites(now)
			c = ln.evictionCandidate(except)
		}
		if c == nil {
			return false
		}
		c.closeBy(causeTooMany)
	}
	return true
}

// evictionCandidate returns the connection that is closed next to make room, nil if there is none.
func (ln *Listener) evictionCandidate(except *conn) *conn {
	oldest := ln.lists[waiting].frontExcept(except)
	if c := ln.lists[uploading].frontExcept(except); oldest == nil || c != nil && c.since.Before(oldest.since) {
		oldest = c
	}
	if oldest != nil && time.Since(oldest.since) < arrivalTime {
		oldest = nil
	}
	for _, s := range []state{stalled, receiving, idle} {
		if oldest != nil {
			return oldest
		}
		oldest = ln.lists[s].frontExcept(except)
	}
	return oldest
}

// closeOlder closes the connections that have been in a state since before a time. Callers hold the lock.
func (ln *Listener) closeOlder(s state, than time.Time, why cause) {
	for c := ln.lists[s].front(); c != nil && c.since.Before(than); c = ln.lists[s].front() {
		c.closeBy(why)
	}
}

// checkWrites finds the connections whose clients read nothing of what is sent to them, and closes those that have done so for
// WriteTimeout. Callers hold the lock.
func (ln *Listener) checkWrites(now time.Time) {
	ln.stallsChecked = now
	for _, s := range []state{serving, stalled} {
		var next *conn
		for c := ln.lists[s].front(); c != nil; c = next {
			next = c.next
			c.checkWrite(now)
		}
	}
}

// errorLogInterval is the shortest time between two logged errors of an HTTP server. Clients can cause some of them.
const errorLogInterval = time.Second

// errorLog returns the log for errors of an HTTP server, which counts them and logs one from time to time.
func (ln *Listener) errorLog() *stdlog.Logger { return stdlog.New(errorWriter{ln}, "", 0) }

type errorWriter struct{ ln *Listener }

// Write implements io.Writer.
func (w errorWriter) Write(line []byte) (int, error) {
	l := w.ln.limiter
	l.mu.Lock()
	l.count(w.ln.name, causeServerError)
	log := time.Since(w.ln.errorLogged) >= errorLogInterval
	if log {
		w.ln.errorLogged = time.Now()
	}
	l.mu.Unlock()
	if log {
		level.Error(l.logger).Log("msg", "HTTP server error", "listener", w.ln.name, "err", strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// Configure has an HTTP server serve only connections of this listener. It wraps the handler of the server and sets what the
// limiter needs; the server must have no timeouts for heads and idle connections of its own.
func (ln *Listener) Configure(s *http.Server) {
	ln.isHTTP = true
	s.Handler = &handler{next: s.Handler}
	s.MaxHeaderBytes = maxHeadBytes
	s.ConnContext = withConn
	s.ConnState = func(c net.Conn, to http.ConnState) {
		if c, ok := c.(*conn); ok && to == http.StateIdle {
			c.becomeIdle()
		}
	}
	s.ErrorLog = ln.errorLog()
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// handler tells connections when the request on them is whole and when its handling ends.
type handler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	if err := c.beginRequest(r.ContentLength == 0); err != nil {
		refusal{status: http.StatusServiceUnavailable, err: err}.write(w)
		return
	}
	defer c.endRequest()
	if r.ContentLength != 0 {
		copied := r.WithContext(r.Context()) // the server needs the body of the original
		copied.Body = &body{ReadCloser: r.Body, conn: c}
		r = copied
	}
	h.next.ServeHTTP(w, r)
}

// body notices that the body of a request has arrived whole.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // readers return it unwrapped
		b.conn.bodyArrived()
	}
	return n, err
}

// Errors of requests that are refused before they reach their handler.
var (
	errTooManyRequests = fault.New(fault.Exhausted, "too many connections and requests at a time", "ask again after the time in Retry-After, with a new connection")
	errHeadMemory      = fault.New(fault.Exhausted, "memory for the heads of requests is used up", "ask again after the time in Retry-After")
	errHeadTooLarge    = fault.New(fault.Invalid, "head of the request is larger than the limit", "send fewer or shorter fields")
)
