package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// outcome is what a client got for one attempt. The status is 0 if there was no answer.
type outcome struct {
	id     string
	status int
}

const (
	clientDeadlineMs = 600
	clientTimeout    = time.Second
)

// newID returns a request ID in the form of the pages' examples.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client keeps a connection to a gateway.
type client struct {
	w    *world
	to   *gateway
	conn net.Conn
	in   *bufio.Reader
}

// send sends one request and waits for its answer.
func (c *client) send(method, target string) outcome {
	o := outcome{id: newID()}
	c.w.note("client sends %s to %s: %s %s", o.id, c.to.name, method, target)
	o.status = c.exchange(o.id, method, target)
	c.w.note("client gets %d for %s", o.status, o.id)
	return o
}

func (c *client) exchange(id, method, target string) int {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.to.front, clientTimeout)
		if err != nil {
			return 0
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	var body []byte
	if method == http.MethodPost {
		body = requestBody(id)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", method, target, host, id, clientDeadlineMs, len(body))
	b.Write(body)
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return c.drop()
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return c.drop()
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return c.drop()
	}
	if resp.Close {
		c.drop()
	}
	return resp.StatusCode
}

// drop closes the connection.
func (c *client) drop() int {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	return 0
}
