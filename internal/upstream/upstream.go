// Package upstream sends one request to one instance over HTTP/1.1 and tells
// exactly what is known of it afterwards: that no byte of it left, or that the
// instance may have begun. Answers are matched to requests by id, so that an
// answer that arrives late or twice on a kept connection is never taken for
// another request's.
package upstream

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/fault"
)

const (
	// idleDefault is how long a connection is reused if the instance does not say
	// how long it keeps it. The platform rounds to whole seconds, so an instance
	// that says nothing may keep it for less than one.
	idleDefault = 700 * time.Millisecond
	// idleMargin is kept from the time that an instance states.
	idleMargin = 400 * time.Millisecond
	// maxStrayAnswers bounds how many answers to other requests are skipped.
	maxStrayAnswers = 4
	maxStrayBytes   = 1 << 20
	// skipLimit bounds the body that CloseUnread reads to keep the connection.
	skipLimit = 64 << 10
	// strayWait is how long the right answer is waited for after one to another
	// request: an instance that mixed the two up sends no other.
	strayWait = time.Second
	// inlineBody is the largest body that is written before the answer is read.
	// A larger one is written beside it, as an instance may answer early.
	inlineBody = 2 << 10
	// maxIdle bounds the kept connections to one instance if the request states no
	// bound.
	maxIdle = 64
)

// Request is what is sent.
type Request struct {
	Address string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	// Matches reports whether the head of an answer belongs to this request.
	Matches func(http.Header) bool
	// BeforeSend is called as the last step before the request is written. The request
	// is not sent if it fails.
	BeforeSend func() error
	// Fresh asks for a new connection.
	Fresh bool
	// MaxIdle bounds the connections to the address that are kept unused after this
	// request; 0 leaves it to the client.
	MaxIdle int
}

// Client keeps connections to instances. It is safe for concurrent use.
type Client struct {
	reg metrics.Registry

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
}

// New returns a client that counts in reg.
func New(reg metrics.Registry) *Client {
	return &Client{reg: reg, idle: map[string][]*conn{}, open: map[string]int{}}
}

// OpenConns returns the number of connections to an address.
func (c *Client) OpenConns(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[address]
}

// Response is the head of an answer with its body to be read. It has to be closed.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if it arrived whole.
	Body io.Reader
	// Length is the body's length in bytes, -1 if it is not known beforehand.
	Length int64

	client  *Client
	address string
	maxIdle int
	conn    *conn
	resp    *http.Response
	// written is closed once the request has been written or given up.
	written chan struct{}
	werr    error
	stop    func() bool
	tainted bool
	// ended is true once the body has been read to its end. Until then bytes of it
	// may still be on their way, in the place of the next answer.
	ended bool
	once  sync.Once
}

// endReader notes the end of a body.
type endReader struct {
	io.Reader
	ended *bool
}

func (r endReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		*r.ended = true
	}
	return n, err
}

// Do sends a request and waits for the head of its answer. An error is of kind
// Unavailable if no byte left, and of kind Unknown if the instance may have
// begun. When ctx ends the connection is closed, which tells the instance to
// stop.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	cn, err := c.get(ctx, r.Address, r.Fresh)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "instance cannot be reached", "another instance is tried")
	}
	if err := r.mayBeSent(ctx); err != nil {
		c.drop(r.Address, cn)
		return nil, err
	}
	a := &Response{client: c, address: r.Address, maxIdle: cmp.Or(r.MaxIdle, maxIdle), conn: cn, written: make(chan struct{})}
	a.stop = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	req := r.build()
	if len(r.Body) <= inlineBody {
		a.write(req)
	} else {
		go a.write(req)
	}
	if err := a.readHead(req, r.Matches); err != nil {
		a.discard()
		<-a.written // nothing is written any more, so what follows is a fact
		if !cn.wrote.Load() {
			return nil, fault.Wrap(err, fault.Unavailable, "request was not sent", "another instance is tried")
		}
		return nil, fault.Wrap(err, fault.Unknown, "connection broke before the answer", "the request may have run")
	}
	return a, nil
}

// mayBeSent is the last look before the request is written. A process that was held up goes on before
// its timers have run, so the deadline is compared with the clock.
func (r *Request) mayBeSent(ctx context.Context) error {
	deadline, timed := ctx.Deadline()
	switch {
	case ctx.Err() != nil || timed && !time.Now().Before(deadline):
		return fault.New(fault.Unavailable, "time is up, or the caller has left", "nothing was sent")
	case r.BeforeSend == nil:
		return nil
	}
	return r.BeforeSend()
}

func (r *Request) build() *http.Request {
	req := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.URI}, Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // keeps the library from adding its own
	}
	return req
}

// writers are kept for later requests: the library allocates one for each request that is not
// written to one.
var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

func (a *Response) write(req *http.Request) {
	w, _ := writers.Get().(*bufio.Writer)
	w.Reset(a.conn)
	if a.werr = req.Write(w); a.werr == nil {
		a.werr = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	close(a.written)
}

// readHead reads answers until one belongs to the request.
func (a *Response) readHead(req *http.Request, matches func(http.Header) bool) error {
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(a.conn.reader, req)
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if matches == nil || matches(resp.Header) {
			a.resp, a.Status, a.Header, a.Length = resp, resp.StatusCode, resp.Header, resp.ContentLength
			a.Body = endReader{resp.Body, &a.ended}
			return nil
		}
		if !a.tainted {
			a.tainted = true
			giveUp := time.AfterFunc(strayWait, func() { _ = a.conn.SetDeadline(time.Unix(1, 0)) })
			defer giveUp.Stop()
		}
		a.client.count("stray_answers")
		if resp.Close {
			return errors.New("answer belongs to another request")
		}
		if err := skip(resp.Body, maxStrayBytes); err != nil {
			return err
		}
	}
	return errors.New("answers belong to other requests")
}

// Close ends the exchange. The connection is kept if the whole answer has been
// read, to the end of its body, and nothing is wrong with it; otherwise it is
// closed, which tells the instance to stop.
func (a *Response) Close(whole bool) {
	a.once.Do(func() {
		if !whole || !a.reusable() || !a.stop() {
			a.discardConn()
			return
		}
		a.conn.idleFor = idleTime(a.Header)
		a.client.put(a.address, a.conn, a.maxIdle)
	})
}

// DiscardBody ends the exchange of an answer whose body is not wanted. A short one
// is read to its end, so that the connection can be kept.
func (a *Response) DiscardBody() { a.Close(skip(a.Body, skipLimit) == nil) }

func (a *Response) discard() { a.once.Do(a.discardConn) }

func (a *Response) discardConn() {
	a.stop()
	a.client.drop(a.address, a.conn)
}

func (a *Response) reusable() bool {
	select {
	case <-a.written:
	default:
		return false // the answer came before the request was read
	}
	return a.werr == nil && a.ended && !a.tainted && !a.resp.Close && a.conn.reader.Buffered() == 0
}

// idleTime returns how long a connection may be reused after an answer.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return max(time.Duration(s)*time.Second-idleMargin, 0)
		}
	}
	return idleDefault
}

// get returns a kept connection, or a new one.
func (c *Client) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		cn := c.pop(address)
		if cn == nil {
			break
		}
		if cn.usable(time.Now()) {
			cn.wrote.Store(false)
			return cn, nil
		}
		c.drop(address, cn)
	}
	cn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.count("connections")
	c.mu.Lock()
	c.open[address]++
	c.mu.Unlock()
	return cn, nil
}

// pop returns the connection that was used last: the others get old and are
// dropped when their time is up.
func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.idle[address]
	if len(all) == 0 {
		return nil
	}
	cn := all[len(all)-1]
	c.idle[address] = all[:len(all)-1]
	return cn
}

// put keeps a connection, and closes the oldest beyond most and those that rested too
// long.
func (c *Client) put(address string, cn *conn, most int) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	var old []*conn
	all := append(c.idle[address], cn)
	for len(all) > 0 && (len(all) > most || cn.idleSince.Sub(all[0].idleSince) > all[0].idleFor) {
		old, all = append(old, all[0]), all[1:]
	}
	c.idle[address] = all
	c.mu.Unlock()
	for _, o := range old {
		c.drop(address, o)
	}
}

// Close closes all kept connections. Those that carry a request end with it.
func (c *Client) Close() {
	c.mu.Lock()
	var addresses []string
	for address := range c.idle {
		addresses = append(addresses, address)
	}
	c.mu.Unlock()
	for _, address := range addresses {
		c.CloseIdle(address)
	}
}

// CloseIdle closes the kept connections to an address that is no longer used.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	all := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range all {
		c.drop(address, cn)
	}
}

func (c *Client) drop(address string, cn *conn) {
	_ = cn.Close() // the connection is given up; nothing is left to lose
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[address]--; c.open[address] <= 0 {
		delete(c.open, address)
	}
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter("upstream."+name, c.reg).Inc(1)
}
