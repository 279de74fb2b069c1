package connlimit

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// headByteCost and headItemCost estimate the memory in bytes that a byte of a head takes, and a field or an entry of a list
	// in a field, when the head is parsed. While a request is handled there are handledCopies of it.
	headByteCost  = 4
	headItemCost  = 160
	handledCopies = 2
	// freeHeadMemory is the memory of a head that is not counted. The heads of most clients are smaller.
	freeHeadMemory = 8 << 10
	// maxWrite is the number of bytes that are written at once. Larger writes are split, so that a client that reads slowly is
	// told from one that reads nothing.
	maxWrite = 16 << 10
	// drainTime is how long a client may go on sending the body of a request that has been answered already.
	drainTime = time.Second
	// refusalTime bounds the time for sending a refusal and for reading what is left of a refused head.
	refusalTime = 500 * time.Millisecond
	// maxDiscard bounds what is read of a refused head.
	maxDiscard = 256 << 10
)

// state says what a connection does.
type state int

const (
	// waiting: nothing whole has arrived on the connection yet.
	waiting state = iota
	// receiving: a part of the head of another request has arrived.
	receiving
	// uploading: the head has arrived, and the body not yet.
	uploading
	// serving: the whole request has arrived.
	serving
	// stalled: the client has read nothing for a while of what is sent to it.
	stalled
	// idle: the last request has been answered.
	idle
	states
)

// conn is a connection of a limited listener.
type conn struct {
	net.Conn
	ln *Listener
	// inHead is true while bytes that arrive belong to the head of a request.
	inHead atomic.Bool
	// writes counts the beginnings and the ends of writes, so it is odd during a write.
	writes atomic.Uint64

	// The fields below are protected by the lock of the limiter. since is when the connection came into its state.
	state      state
	since      time.Time
	prev, next *conn
	closed     bool
	handling   bool
	// headBegun is when the first byte of the head arrived, headBytes its size so far, headItems the number of its lines and
	// list entries, headMemory what is reserved for it.
	headBegun  time.Time
	headBytes  int
	headItems  int
	headMemory int64
	// lastWrite is the value of writes at the last check, stalledSince when it was first seen during a write.
	lastWrite    uint64
	stalledSince time.Time
}

func (c *conn) lock() (unlock func()) {
	c.ln.limiter.mu.Lock()
	return c.ln.limiter.mu.Unlock
}

// enter changes the state. Callers hold the lock.
func (c *conn) enter(s state) {
	c.leave()
	c.state, c.since = s, time.Now()
	c.ln.lists[s].push(c)
}

// leave takes the connection out of the list of its state.
func (c *conn) leave() { c.ln.lists[c.state].remove(c) }

// closeBy closes the connection for a reason other than its server's. Callers hold the lock.
func (c *conn) closeBy(why cause) {
	c.ln.limiter.count(c.ln.name, why)
	c.release()
	_ = c.Conn.Close() // the server sees that reads and writes fail
}

// release returns what the connection has taken. Callers hold the lock.
func (c *conn) release() {
	if c.closed {
		return
	}
	c.closed = true
	c.leave()
	c.ln.open--
	c.releaseHead()
	c.stopHandling()
}

func (c *conn) releaseHead() {
	c.ln.limiter.headMemory -= c.headMemory
	c.headMemory, c.headBytes, c.headItems = 0, 0, 0
}

func (c *conn) stopHandling() {
	if c.handling {
		c.handling = false
		c.ln.underWay--
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	unlock := c.lock()
	closed := c.closed
	c.release()
	unlock()
	if closed {
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side, so that the client can read all that was sent.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// Established states that the other side has sent something whole, on a connection that carries no HTTP requests. The
// connection is then no longer closed to make room.
func (c *conn) Established() {
	defer c.lock()()
	if !c.closed {
		c.enter(serving)
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.inHead.Load() {
		return n, err
	}
	if r := c.receivedHead(p[:n]); r != nil {
		c.refuse(r)
		return 0, io.EOF
	}
	return n, err
}

// receivedHead counts bytes of a head. It returns a refusal if the head takes too much.
func (c *conn) receivedHead(p []byte) *refusal {
	defer c.lock()()
	if c.closed {
		return &refusal{}
	}
	if c.state == idle {
		c.enter(receiving)
	}
	if c.headBytes == 0 {
		c.headBegun = time.Now()
	}
	c.headBytes += len(p)
	c.headItems += bytes.Count(p, []byte{'\n'}) + bytes.Count(p, []byte{','})
	if c.headBytes > c.ln.limiter.limits().HeadBytes+headTolerance {
		c.ln.limiter.count(c.ln.name, causeHeadTooLarge)
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, err: errHeadTooLarge}
	}
	if !c.reserveHead(1) {
		c.ln.limiter.count(c.ln.name, causeHeadMemory)
		return &refusal{status: http.StatusServiceUnavailable, err: errHeadMemory}
	}
	return nil
}

// reserveHead reserves memory for copies of the head so far. Callers hold the lock.
func (c *conn) reserveHead(copies int64) bool {
	cost := copies*headCost(c.headBytes, c.headItems) - freeHeadMemory
	return cost <= c.headMemory || c.ln.limiter.reserveHead(c, cost-c.headMemory)
}

// headCost estimates the memory in bytes of a head with a number of bytes, and of fields and list entries.
func headCost(bytes, items int) int64 { return int64(bytes)*headByteCost + int64(items)*headItemCost }

// refuse sends a refusal, unless the connection was closed, and reads for a short time what the client still sends: it would not
// get the refusal if the connection were closed before.
func (c *conn) refuse(r *refusal) {
	if r.status == 0 {
		return
	}
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime))
	if _, err := c.Conn.Write(r.bytes()); err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscard)
}

// malformedStatus is how the HTTP server begins its own responses to heads that it rejects.
var malformedStatus = []byte("HTTP/1.1 ")

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.inHead.Load() && bytes.HasPrefix(p, malformedStatus) {
		unlock := c.lock()
		c.ln.limiter.count(c.ln.name, causeMalformed)
		unlock()
	}
	written := 0
	for {
		part := p[written:min(written+maxWrite, len(p))]
		c.writes.Add(1)
		n, err := c.Conn.Write(part)
		c.writes.Add(1)
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// checkWrite notices whether the client reads what is sent to it. Callers hold the lock.
func (c *conn) checkWrite(now time.Time) {
	writes := c.writes.Load()
	if writes%2 == 0 || writes != c.lastWrite {
		c.lastWrite, c.stalledSince = writes, now
		if c.state == stalled {
			c.enter(serving)
		}
		return
	}
	limit := stallTime
	if !c.handling {
		limit = unreadTime
	}
	switch waited := now.Sub(c.stalledSince); {
	case waited > WriteTimeout:
		c.closeBy(causeWriteTimeout)
	case waited > limit && c.state == serving:
		c.enter(stalled)
	}
}

// beginRequest states that the handling of a request begins. whole is true if it has no body. An error means that there is no
// room for it.
func (c *conn) beginRequest(whole bool) error {
	defer c.lock()()
	c.inHead.Store(false)
	switch {
	case c.closed:
		return errTooManyRequests
	case !c.reserveHead(handledCopies):
		c.ln.limiter.count(c.ln.name, causeHeadMemory)
		return errHeadMemory
	case !c.ln.makeRoom(c.ln.bounds.PerRequest, c) && !c.ln.within(c.ln.bounds.PerRequest, (1+c.ln.bounds.PerRequest)*c.ln.overdraft()):
		c.ln.limiter.count(c.ln.name, causeNoRoom)
		return errTooManyRequests
	}
	c.handling = true
	c.ln.underWay++
	if whole {
		c.enter(serving)
	} else {
		c.enter(uploading)
	}
	return nil
}

// bodyArrived states that the body has arrived whole.
func (c *conn) bodyArrived() {
	defer c.lock()()
	if !c.closed && c.state == uploading {
		c.enter(serving)
	}
}

// endRequest states that a request has been handled. If its body has not arrived, the server reads what comes of it for drainTime.
func (c *conn) endRequest() {
	defer c.lock()()
	c.stopHandling()
	if !c.closed && c.state == uploading {
		_ = c.Conn.SetReadDeadline(time.Now().Add(drainTime)) // fails only on a closed connection
	}
}

// becomeIdle states that the response has been sent and that another request may follow.
func (c *conn) becomeIdle() {
	defer c.lock()()
	if c.closed {
		return
	}
	if !c.ln.within(0, 0) {
		c.closeBy(causeTooMany)
		return
	}
	c.releaseHead()
	c.inHead.Store(true)
	c.enter(idle)
}

// connList is a list of connections, in the order in which they were added.
type connList struct {
	first, last *conn
	len         int
}

func (l *connList) front() *conn { return l.first }

// frontExcept returns the first connection that is not the given one, nil if there is none.
func (l *connList) frontExcept(except *conn) *conn {
	if l.first != nil && l.first == except {
		return l.first.next
	}
	return l.first
}

func (l *connList) push(c *conn) {
	if c.prev = l.last; c.prev == nil {
		l.first = c
	} else {
		c.prev.next = c
	}
	l.last = c
	l.len++
}

// remove takes a connection out of the list if it is in it.
func (l *connList) remove(c *conn) {
	if c.prev == nil && l.first != c {
		return
	}
	if c.prev == nil {
		l.first = c.next
	} else {
		c.prev.next = c.next
	}
	if c.next == nil {
		l.last = c.prev
	} else {
		c.next.prev = c.prev
	}
	c.prev, c.next = nil, nil
	l.len--
}
