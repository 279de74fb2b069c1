// Package connlimit bounds the memory and the descriptors that the clients of a process can take. It counts the bytes of the
// heads of requests before an HTTP server parses them, and the connections of each listener. When there are too many, it closes
// those on which no whole request has arrived for the longest time, then those whose client reads no response, then idle ones.
// It never closes a connection to make room while its request is being handled.
package connlimit

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/internal/periodic"
)

const (
	// DefaultHeadBytes is the limit on the head of a request, in bytes, if no other is configured.
	DefaultHeadBytes = 64 << 10
	// DefaultHeadTimeout is how long the head of a request may take, from its first byte, on a new connection from its start.
	DefaultHeadTimeout = 5 * time.Second
	// DefaultIdleTimeout is how long a connection may be idle.
	DefaultIdleTimeout = 2 * time.Minute
	// WriteTimeout is how long a client may read nothing of what was sent to it.
	WriteTimeout = 30 * time.Second
	// stallTime is how long a client must have read nothing before its connection may be closed to make room, unreadTime the
	// same once its request has been handled and only the end of the response is left to be sent.
	stallTime  = 5 * time.Second
	unreadTime = 250 * time.Millisecond
	// stallCheckInterval is the shortest time between two searches for such clients when there is no room.
	stallCheckInterval = 50 * time.Millisecond
	// arrivalTime is the age up to which a connection on which nothing whole has arrived, or a large head on its way, is not
	// closed to make room. The bytes of a client that sends its request at once arrive sooner, also at a busy process.
	arrivalTime = 250 * time.Millisecond
	// checkInterval is how often the timeouts are checked.
	checkInterval = 500 * time.Millisecond
	// headTolerance is by how much a head may exceed its limit, since a read may have a part of the body as well.
	headTolerance = 4 << 10
	// maxHeadBytes is a limit on heads that no configuration exceeds.
	maxHeadBytes = 1 << 20
	// minField is the size in bytes of the shortest field or list entry of a head.
	minField = 4
)

// Options configures a Limiter.
type Options struct {
	// HeadMemory is the memory in bytes that the large heads of all connections may take, or what a single head needs that
	// has as many fields as the limit on heads permits if that is more.
	HeadMemory int64
	// Limits returns the configured limits. It may be nil.
	Limits  func() Limits
	Metrics metrics.Registry
	Logger  log.Logger
}

// Limits are limits on clients that can change while connections are open. A value of 0 means the default.
type Limits struct {
	HeadBytes                int
	HeadTimeout, IdleTimeout time.Duration
}

// Limiter limits the connections of all listeners of a process. It is safe for concurrent use.
type Limiter struct {
	o      Options
	logger log.Logger

	mu        sync.Mutex
	listeners []*Listener
	// headMemory is the memory that large heads take.
	headMemory int64
	// closed counts the connections that were closed or refused since the last log line, by listener and cause.
	closed map[event]int
}

// event is why a listener closed a connection or refused a request.
type event struct {
	listener string
	cause    cause
}

type cause string

// Causes of events, as they stand in the log and in the names of metrics.
const (
	causeTooMany      cause = "too_many" // closed to make room for another connection
	causeNoRoom       cause = "no_room"  // no other connection could be closed to make room
	causeHeadTooLarge cause = "head_too_large"
	causeHeadMemory   cause = "head_memory"
	causeHeadTimeout  cause = "head_timeout"
	causeIdleTimeout  cause = "idle_timeout"
	causeWriteTimeout cause = "write_timeout"
	causeMalformed    cause = "malformed" // the HTTP server rejected the head
	causeServerError  cause = "server_error"
)

// New returns a limiter. The caller must call Run.
func New(o Options) *Limiter {
	l := &Limiter{o: o, logger: log.With(o.Logger, "component", "connections"), closed: map[event]int{}}
	o.Metrics.GetOrRegister("connections.head_bytes", metrics.NewFunctionalGauge(l.HeadMemory))
	return l
}

// HeadMemory returns the memory in bytes that large heads take.
func (l *Limiter) HeadMemory() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.headMemory
}

// Run closes connections whose time is up and logs what was closed, until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	logged := time.Now()
	periodic.Run(ctx, checkInterval, func(context.Context) {
		l.closeExpired()
		if time.Since(logged) >= time.Second {
			logged = time.Now()
			l.logClosed()
		}
	})
	return nil
}

func (l *Limiter) limits() Limits {
	var out Limits
	if l.o.Limits != nil {
		out = l.o.Limits()
	}
	out.HeadBytes = min(cmp.Or(max(out.HeadBytes, 0), DefaultHeadBytes), maxHeadBytes)
	out.HeadTimeout = cmp.Or(max(out.HeadTimeout, 0), DefaultHeadTimeout)
	out.IdleTimeout = cmp.Or(max(out.IdleTimeout, 0), DefaultIdleTimeout)
	return out
}

// maxHeadMemory returns the memory that large heads may take.
func (l *Limiter) maxHeadMemory() int64 {
	bytes := l.limits().HeadBytes + headTolerance
	return max(l.o.HeadMemory, handledCopies*headCost(bytes, bytes/minField))
}

// closeExpired closes the connections whose time is up.
func (l *Limiter) closeExpired() {
	limits, now := l.limits(), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ln := range l.listeners {
		ln.closeOlder(waiting, now.Add(-cmp.Or(ln.bounds.FirstTimeout, limits.HeadTimeout)), causeHeadTimeout)
		ln.closeOlder(receiving, now.Add(-limits.HeadTimeout), causeHeadTimeout)
		ln.closeOlder(idle, now.Add(-limits.IdleTimeout), causeIdleTimeout)
		ln.checkWrites(now)
	}
}

// count records an event. Callers hold the lock.
func (l *Limiter) count(listener string, c cause) {
	metrics.GetOrRegisterCounter("connections."+listener+"."+string(c), l.o.Metrics).Inc(1)
	l.closed[event{listener, c}]++
}

// logClosed logs one line for each listener and cause.
func (l *Limiter) logClosed() {
	l.mu.Lock()
	closed := l.closed
	l.closed = map[event]int{}
	open := map[string]int{}
	for _, ln := range l.listeners {
		open[ln.name] = ln.open
	}
	head := l.headMemory
	l.mu.Unlock()
	for e, n := range closed {
		level.Warn(l.logger).Log("msg", "connections closed or requests refused", "listener", e.listener, "cause", e.cause, "count", n, "open", open[e.listener], "head_bytes", head)
	}
}

// reserveHead adds n bytes to the memory of the head that arrives on a connection. If there is too little, it closes the
// connection whose head has been on its way for the longest time. Callers hold the lock.
func (l *Limiter) reserveHead(c *conn, n int64) bool {
	for most := l.maxHeadMemory(); l.headMemory+n > most; {
		oldest := l.slowestHead(c)
		if oldest == nil {
			return false
		}
		oldest.closeBy(causeHeadMemory)
	}
	l.headMemory += n
	c.headMemory += n
	return true
}

// slowestHead returns the connection whose large head has been on its way for the longest time, nil if there is none.
func (l *Limiter) slowestHead(except *conn) *conn {
	var oldest *conn
	for _, ln := range l.listeners {
		for _, s := range []state{waiting, receiving, uploading} {
			for c := ln.lists[s].front(); c != nil; c = c.next {
				if c != except && c.headMemory > 0 && time.Since(c.headBegun) > arrivalTime && (oldest == nil || c.headBegun.Before(oldest.headBegun)) {
					oldest = c
				}
			}
		}
	}
	return oldest
}
