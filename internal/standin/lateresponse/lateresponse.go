// Package lateresponse lets the HTTP server of a stand-in send responses in excess, which belong to no request that waits,
// as faulty engines do.
package lateresponse

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// When says when a response in excess is sent.
type When int

// Times of responses in excess.
const (
	// AtOnce sends it right after the response that it follows.
	AtOnce When = iota
	// BeforeNext sends it once the next request on the connection has begun to arrive, before the response to that.
	BeforeNext
	// Later sends it after a delay, unless the connection is busy then: in that case before the next response.
	Later
)

// delay is the delay of Later.
const delay = 300 * time.Millisecond

// Response is a response in excess.
type Response struct {
	Status int
	// ID is the request ID that it states, empty for none. NotRun is true if it states that the request has not run.
	ID     string
	NotRun bool
	Sealed bool
	Body   string
}

func (r Response) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", r.Status, http.StatusText(r.Status), len(r.Body))
	if r.ID != "" {
		fmt.Fprintf(&b, "X-Request-Id: %s\r\n", r.ID)
	}
	if r.NotRun {
		b.WriteString("X-Not-Executed: 1\r\n")
	}
	if r.Sealed {
		b.WriteString("X-Response-Seal: late\r\n")
	}
	b.WriteString("\r\n" + r.Body)
	return b.String()
}

// conn is a connection of the server.
type conn struct {
	net.Conn
	mu sync.Mutex
	// idle is true between two requests.
	idle bool
	// scheduled is what follows the response under way, due what precedes the next response.
	scheduled []func()
	due       strings.Builder
}

type connKey struct{}

// Configure prepares a server for Send.
func Configure(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if mine, ok := c.(*conn); ok && state == http.StateIdle {
			mine.responded()
		}
	}
}

// Listener returns the listener that the server must serve.
func Listener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// Send sends a response in excess after the response to r. It must be called by the handler of r.
func Send(r *http.Request, late Response, when When) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduled = append(c.scheduled, func() { c.send(late.String(), when) })
}

// responded sends or schedules what follows a response.
func (c *conn) responded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
	scheduled := c.scheduled
	c.scheduled = nil
	for _, f := range scheduled {
		f()
	}
}

// send is called with the lock held.
func (c *conn) send(text string, when When) {
	switch when {
	case AtOnce:
		_, _ = c.Conn.Write([]byte(text)) // fails only if the connection has ended
	case BeforeNext:
		c.due.WriteString(text)
	case Later:
		time.AfterFunc(delay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.idle {
				_, _ = c.Conn.Write([]byte(text))
				return
			}
			c.due.WriteString(text)
		})
	}
}

// writeDue is called with the lock held, when a request has begun to arrive.
func (c *conn) writeDue() {
	c.idle = false
	if c.due.Len() > 0 {
		_, _ = c.Conn.Write([]byte(c.due.String()))
		c.due.Reset()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.idle { // the server reads at most one byte of the next request earlier
			c.writeDue()
		}
	}
	return n, err
}
