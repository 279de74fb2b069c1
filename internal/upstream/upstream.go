// Package upstream sends a request to an instance over HTTP/1.1 and reports exactly what is
// known after a failure: that no byte of the request was sent, or that the instance may
// have started to run it. Responses are matched to requests by ID, so that a late or
// duplicate response on a reused connection is never taken for that of another request.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/reach"
	"github.com/rockdoor/rockdoor/internal/tcpreset"
)

const (
	// defaultIdleTimeout applies if the instance does not announce a keep-alive timeout.
	// The platform rounds the announced timeout to whole seconds, so an instance that
	// announces none may close idle connections in less than one second.
	defaultIdleTimeout = 700 * time.Millisecond
	// idleTimeoutMargin is subtracted from the keep-alive timeout that an instance announces.
	idleTimeoutMargin = 400 * time.Millisecond
	// maxStrayResponses bounds how many responses to other requests are skipped, and
	// maxStrayBytes the body of each.
	maxStrayResponses = 4
	maxStrayBytes     = 1 << 20
	// maxDiscardBytes bounds the body that DiscardBody reads in order to reuse the connection.
	maxDiscardBytes = 64 << 10
	// discardTimeout bounds the time that DiscardBody waits for that body. A short one arrives with its head.
	discardTimeout = 100 * time.Millisecond
	// strayTimeout bounds the wait for the right response after a response to another
	// request: an instance that has confused the two will not send another.
	strayTimeout = time.Second
	// ambiguityTimeout bounds the wait for a response with the request's ID after one without an ID that may be
	// another's. An instance that runs the request responds within some tens of ms.
	ambiguityTimeout = 250 * time.Millisecond
	// maxInlineBody is the largest body that is written before the response is read. A
	// larger one is written concurrently, as an instance may respond before it has read
	// the body.
	maxInlineBody = 2 << 10
	// defaultMaxIdle bounds the idle connections to one instance if the request sets no
	// limit.
	defaultMaxIdle = 64
)

// Request is a request to an instance.
type Request struct {
	Address string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	// ID identifies the request in its response, and in the log of a process that relays it.
	ID string
	// ResponseID returns the request ID that the headers of a response state, empty for none. If it is nil, responses state
	// none, and the request gets a connection of its own.
	ResponseID func(http.Header) string
	// Group names the instances that run the same program, so that all of them state IDs in their responses, or not. Without
	// it, the address stands for itself.
	Group string
	// BeforeSend is called just before the request is written. If it returns an error, the
	// request is not sent. It may be nil.
	BeforeSend func() error
	// Repeatable has the request given up as soon as the path to the instance is known to be cut. Another one
	// waits, as the path may work again in time.
	Repeatable bool
	// DirectOnly forbids connections that another process relays.
	DirectOnly bool
	// MaxIdle bounds the idle connections to the address that are kept after this request.
	// 0 means the default.
	MaxIdle int
}

// ErrOwnPath marks errors that were caused by the path from this host to the instance, or by a process that relayed
// the connection, and that say nothing about the instance.
var ErrOwnPath = errors.New("path from this host to the instance is cut")

// Paths connects to instances and knows which of them this host reaches.
type Paths interface {
	// Dial connects directly or through another process, DialDirect always directly.
	Dial(ctx context.Context, address string) (net.Conn, error)
	DialDirect(ctx context.Context, address string) (net.Conn, error)
	// MayReuse reports whether an idle connection may be used for another request. helper is the process that
	// relays it, empty if it is direct.
	MayReuse(address, helper string) bool
	// RecordAlive records that an instance responded over a direct connection, and RecordSilentHelper that a
	// process does not pass on what it gets.
	RecordAlive(address string)
	RecordSilentHelper(helper string)
	// IsCut reports whether another process reaches an instance and this host does not. IsSilent does the same
	// for an instance that has not responded very recently.
	IsCut(address string) bool
	IsSilent(address string) bool
	// Refuses reports whether the address refuses the connections of all hosts.
	Refuses(ctx context.Context, address string) bool
}

// Client sends requests to instances and pools connections. It is safe for concurrent use.
type Client struct {
	reg    metrics.Registry
	logger log.Logger
	dial   DialFunc
	paths  Paths

	mu   sync.Mutex
	idle map[string][]*conn
	// idleCount is the number of all idle connections, maxIdle its limit, 0 for none.
	idleCount, maxIdle int
	open               map[string]int
	anonymous          *anonymousGroups
	// lastConn is the number of the last connection.
	lastConn uint64
	// interruptible has the exchanges over direct connections that may be given up, by address.
	interruptible map[string]map[*Response]bool
}

// New returns a client that registers its metrics in reg.
func New(reg metrics.Registry) *Client {
	c := &Client{reg: reg, logger: log.NewNopLogger(), dial: dialDirect, idle: map[string][]*conn{}, open: map[string]int{}, interruptible: map[string]map[*Response]bool{}, anonymous: newAnonymousGroups()}
	c.paths = onlyDirect{c}
	return c
}

// SetLogger sets the log of what the client learns of instances. It must be called before the client is used.
func (c *Client) SetLogger(l log.Logger) {
	c.logger = log.With(l, "component", "upstream")
	c.anonymous.logger = c.logger
}

// SetDial replaces the function that connects to instances from this host. It must be called before the
// client is used.
func (c *Client) SetDial(dial DialFunc) { c.dial = dial }

// SetPaths has the client connect through p. It must be called before the client is used. Without it, all
// connections are direct.
func (c *Client) SetPaths(p Paths) { c.paths = p }

// SetMaxIdle limits the idle connections to all instances together. 0 means no limit. It must be called before the client is
// used.
func (c *Client) SetMaxIdle(n int) { c.maxIdle = n }

// Connect connects to an address from this host.
func (c *Client) Connect(ctx context.Context, address string) (net.Conn, error) {
	nc, err := c.dial(ctx, address)
	if err != nil {
		c.countDialFailure(err)
		return nil, err
	}
	return tcpreset.Wrap(nc), nil
}

// OpenConns returns the number of open connections to an address, idle ones included.
func (c *Client) OpenConns(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[address]
}

// Response is a response whose headers have been read. The caller must close it.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only after the complete body has been read.
	Body io.Reader
	// Length is the Content-Length of the body, -1 if it is unknown.
	Length int64
	// Evidence says why it counts as the response to the request.
	Evidence Evidence

	client  *Client
	address string
	group   string
	maxIdle int
	conn    *conn
	resp    *http.Response
	// writeDone is closed once the request has been written or its writing has failed.
	writeDone chan struct{}
	writeErr  error
	// ownPath is true if the path to the instance is known to be cut.
	ownPath atomic.Bool
	// directOnly is true if only the path from this host matters.
	directOnly bool
	// stop removes the callback that interrupts reads and writes when the context ends. It returns
	// false if the callback has started.
	stop func() bool
	// mismatched is true once a response to another request has been received.
	mismatched bool
	// bodyRead is true once the body has been read to its end. Until then, remaining bytes of
	// it could be taken for the next response on the connection.
	bodyRead bool
	once     sync.Once
}

// eofReader records that a body has been read to its end.
type eofReader struct {
	io.Reader
	ended *bool
}

func (r eofReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		*r.ended = true
	}
	return n, err
}

// Do sends a request and waits for the headers of its response. An error is of kind
// Unavailable if no byte was sent, and of kind Unknown if the instance may have started to
// run the request. When ctx ends, the connection is closed, which tells the instance to stop.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	if err := r.checkTarget(); err != nil {
		return nil, err
	}
	cn, err := c.get(ctx, &r)
	if err != nil {
		if errors.Is(err, reach.ErrCut) {
			err = errors.Mark(err, ErrOwnPath)
		}
		return nil, fault.Wrap(err, fault.Unavailable, "cannot connect to the instance", "another instance is tried")
	}
	if err := r.checkBeforeSend(ctx); err != nil {
		c.drop(r.Address, cn)
		return nil, err
	}
	resp := &Response{client: c, address: r.Address, group: r.group(), maxIdle: cmp.Or(r.MaxIdle, defaultMaxIdle), conn: cn, writeDone: make(chan struct{}), Evidence: cn.evidence(), directOnly: r.DirectOnly}
	resp.stop = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	if r.Repeatable && !r.DirectOnly && cn.helper() == "" {
		c.addInterruptible(resp)
	}
	watch := resp.watchForSilence(ctx, r.Repeatable)
	defer watch.stop()
	if len(r.Body) <= maxInlineBody {
		resp.write(&r)
	} else {
		go resp.write(&r)
	}
	if err := resp.readHeaders(&r); err != nil {
		if resp.Evidence.Attribution == Ambiguous {
			c.anonymous.record(resp.group, r.ID, resp.Evidence)
		}
		err := error(&exchangeError{err, resp.Evidence})
		unacknowledged := cn.unacknowledgedBytes()
		ownPath := resp.OwnPathLost(ctx, err)
		resp.discard()
		<-resp.writeDone // from here on nothing is written, so conn.wrote is final
		if ownPath {
			err = errors.Mark(err, ErrOwnPath)
		}
		if !cn.wrote.Load() {
			return nil, fault.Wrap(err, fault.Unavailable, "request was not sent", "another instance is tried")
		}
		return nil, fault.Wrap(err, fault.Unknown, fmt.Sprintf("connection broke before the answer, with %d bytes not acknowledged", unacknowledged), "the request may have run")
	}
	if cn.helper() == "" {
		c.paths.RecordAlive(r.Address)
	}
	return resp, nil
}

// checkBeforeSend decides just before the request is written whether to send it. When a paused process
// resumes, the timer of ctx may not have fired yet, so the deadline is also compared with the clock.
func (r *Request) checkBeforeSend(ctx context.Context) error {
	deadline, hasDeadline := ctx.Deadline()
	switch {
	case ctx.Err() != nil || hasDeadline && !time.Now().Before(deadline):
		return fault.New(fault.Unavailable, "deadline has passed or the client has disconnected", "nothing was sent")
	case r.BeforeSend == nil:
		return nil
	}
	return r.BeforeSend()
}

// notForwarded are the headers that encode sets itself.
var notForwarded = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// checkTarget returns an error if the target would end the request line early.
func (r *Request) checkTarget() error {
	if strings.ContainsFunc(r.URI, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return fault.Newf(fault.Unavailable, "escape it", "request target %q has a space or a control character; nothing was sent", r.URI)
	}
	return nil
}

// encode writes the request. The target is written as it is: a URL that is parsed and printed again may differ.
func (r *Request) encode(w *bufio.Writer) error {
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host) // errors are kept by w
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(w, "Content-Length: %d\r\n", len(r.Body))
	}
	if err := r.Header.WriteSubset(w, notForwarded); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	return w.Flush()
}

// writerPool reuses buffered writers.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

func (r *Response) write(req *Request) {
	w, _ := writerPool.Get().(*bufio.Writer)
	w.Reset(r.conn)
	r.writeErr = req.encode(w)
	w.Reset(nil)
	writerPool.Put(w)
	close(r.writeDone)
}

// group returns the group of the instance.
func (r *Request) group() string { return cmp.Or(r.Group, r.Address) }

// readHeaders reads responses until one belongs to the request.
func (r *Response) readHeaders(req *Request) error {
	forMethod := &http.Request{Method: req.Method}
	limit := maxHeadBytes
	for range maxStrayResponses {
		resp, err := r.conn.readHead(forMethod, &limit)
		switch {
		case errors.Is(err, errHeadTooLarge):
			r.client.count("heads_too_large")
			return err
		case err != nil && r.conn.headErr == nil:
			r.client.count("malformed_heads")
			level.Warn(r.client.logger).Log("msg", "malformed head of a response", "request", req.ID, "address", req.Address, "conn", r.conn.number, "err", err)
			return errMalformedHead // err may quote the instance's bytes, which are not for clients
		case err != nil:
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		r.attribute(req, resp.Header)
		wait := strayTimeout
		switch r.Evidence.Attribution {
		case Identified, First:
			r.resp, r.Status, r.Header, r.Length = resp, resp.StatusCode, resp.Header, resp.ContentLength
			r.Body = eofReader{resp.Body, &r.bodyRead}
			return nil
		case Ambiguous:
			if req.Repeatable || r.client.anonymous.has(r.group) {
				return errAmbiguous
			}
			wait = ambiguityTimeout
		}
		if !r.mismatched {
			r.mismatched = true
			timer := time.AfterFunc(wait, func() { _ = r.conn.SetDeadline(time.Unix(1, 0)) })
			defer timer.Stop()
		}
		if resp.Close {
			return errors.New("response belongs to another request")
		}
		if err := discardBody(resp.Body, maxStrayBytes); err != nil {
			return err
		}
	}
	return errors.New("responses belong to other requests")
}

// attribute records how a response is related to the request.
func (r *Response) attribute(req *Request, h http.Header) {
	e := &r.Evidence
	if req.ResponseID != nil {
		e.Stated = req.ResponseID(h)
	}
	switch {
	case e.Stated == "" && e.Carried == 0 && !r.mismatched:
		e.Attribution = First
	case e.Stated == "":
		e.Attribution = Ambiguous
	case e.Stated == req.ID:
		e.Attribution = Identified
	default:
		e.Attribution = Stray
	}
	r.client.count("responses_" + string(e.Attribution))
	if e.Attribution == First && req.ResponseID != nil {
		r.client.anonymous.record(r.group, req.ID, *e)
	}
}

// errMalformedHead is returned for bytes that are no head of a response.
var errMalformedHead = errors.New("head of the response is malformed")

// errAmbiguous is returned for a response that may be another request's.
var errAmbiguous = errors.New("response states no request ID and may be that of an earlier request on the connection")

// Close ends the exchange. If complete is true and the body has been read to its end, the
// connection is returned to the pool unless it cannot be reused. Otherwise it is closed, which
// tells the instance to stop.
func (r *Response) Close(complete bool) {
	r.client.removeInterruptible(r)
	r.once.Do(func() {
		if reason := r.reasonToDiscard(complete); reason != "" {
			r.client.count("discarded_" + reason)
			r.discardConn()
			return
		}
		if !r.stop() {
			r.discardConn()
			return
		}
		if relayed, ok := r.conn.Conn.(*peer.RelayedConn); ok && !relayed.EndRequest() {
			r.discardConn()
			return
		}
		r.conn.idleTimeout = idleTimeout(r.Header)
		r.client.put(r.address, r.conn, r.maxIdle)
	})
}

// DiscardBody ends the exchange without using the body. A short body is read and discarded, so
// that the connection can be reused.
func (r *Response) DiscardBody() {
	timer := time.AfterFunc(discardTimeout, func() { _ = r.conn.SetDeadline(time.Unix(1, 0)) })
	err := discardBody(r.Body, maxDiscardBytes)
	r.Close(timer.Stop() && err == nil)
}

func (r *Response) discard() {
	r.client.removeInterruptible(r)
	r.once.Do(r.discardConn)
}

func (r *Response) discardConn() {
	r.stop()
	r.client.drop(r.address, r.conn)
}

// reasonToDiscard returns why the connection cannot carry another request, empty if it can.
func (r *Response) reasonToDiscard(complete bool) string {
	select {
	case <-r.writeDone:
	default:
		return "unwritten" // the response arrived before the request was fully written
	}
	switch {
	case !complete || !r.bodyRead || r.writeErr != nil:
		return "incomplete"
	case r.mismatched || r.conn.reader.Buffered() > 0:
		return "stray"
	case r.Evidence.Attribution != Identified:
		return "anonymous" // when it comes a second time, it would be taken for the response to the next request
	case r.resp.Close:
		return "announced"
	case len(r.conn.ids) >= maxRequestsPerConn:
		return "used_up"
	}
	return ""
}

// idleTimeout returns how long a connection may be idle after a response with these headers.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return max(time.Duration(s)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}

// get returns an idle connection from the pool, or a new one.
func (c *Client) get(ctx context.Context, r *Request) (*conn, error) {
	for r.ResponseID != nil && !c.anonymous.has(r.group()) {
		cn := c.pop(r)
		if cn == nil {
			break
		}
		if cn.usable(time.Now()) {
			cn.wrote.Store(false)
			return c.begin(cn, r)
		}
		c.count("discarded_idle")
		c.drop(r.Address, cn)
	}
	dial := c.paths.Dial
	if r.DirectOnly {
		dial = c.paths.DialDirect
	}
	nc, err := dial(ctx, r.Address)
	if err != nil {
		return nil, err
	}
	c.count("connections")
	c.mu.Lock()
	c.open[r.Address]++
	c.lastConn++
	number := c.lastConn
	c.mu.Unlock()
	return c.begin(newConn(nc, number), r)
}

// begin announces a request to the process that relays the connection, if there is one.
func (c *Client) begin(cn *conn, r *Request) (*conn, error) {
	cn.ids = append(cn.ids, hashOf(r.ID))
	relayed, ok := cn.Conn.(*peer.RelayedConn)
	if !ok {
		return cn, nil
	}
	if err := relayed.BeginRequest(r.ID); err != nil {
		c.drop(r.Address, cn)
		return nil, errors.Mark(err, ErrOwnPath)
	}
	return cn, nil
}

// pop takes the most recently used connection that may be used for a request from the pool, so that unneeded ones
// reach their idle timeout. It returns nil if there is none.
func (c *Client) pop(r *Request) *conn {
	id := hashOf(r.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.idle[r.Address]
	for n, cn := range slices.Backward(all) {
		if cn.hasCarried(id) {
			continue // a late response to that request could not be told from the response to this one
		}
		if r.DirectOnly && cn.helper() != "" || !c.paths.MayReuse(r.Address, cn.helper()) {
			continue
		}
		c.idle[r.Address] = slices.Delete(all, n, n+1)
		c.idleCount--
		return cn
	}
	return nil
}

// put returns a connection to the pool. It closes the connections whose idle timeout has passed
// and the oldest ones beyond maxIdle. If there are too many idle connections to all instances, it closes those to this one.
func (c *Client) put(address string, cn *conn, maxIdle int) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	var old []*conn
	all := append(c.idle[address], cn)
	c.idleCount++
	for len(all) > 0 && (len(all) > maxIdle || c.maxIdle > 0 && c.idleCount > c.maxIdle || cn.idleSince.Sub(all[0].idleSince) > all[0].idleTimeout) {
		old, all = append(old, all[0]), all[1:]
		c.idleCount--
	}
	c.idle[address] = all
	c.mu.Unlock()
	for _, o := range old {
		c.drop(address, o)
	}
}

// Close closes all idle connections. A connection in use is not affected.
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

// CloseIdle closes the idle connections to an address that is no longer used.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	all := c.idle[address]
	delete(c.idle, address)
	c.idleCount -= len(all)
	c.mu.Unlock()
	for _, cn := range all {
		c.drop(address, cn)
	}
}

func (c *Client) drop(address string, cn *conn) {
	_ = cn.Close() // the connection is discarded, so an error does not matter
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[address]--; c.open[address] <= 0 {
		delete(c.open, address)
	}
}

// countDialFailure counts a connection that failed, by whether the address refused it or did not respond.
func (c *Client) countDialFailure(err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		c.count("dials_refused")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.count("dials_timed_out")
	default:
		c.count("dials_failed")
	}
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter("upstream."+name, c.reg).Inc(1)
}
