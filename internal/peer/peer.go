// Package peer implements calls between rockdoor processes. Calls are protobuf messages
// over yamux. There is one session per pair of processes and direction, and each stream of
// a session carries one call after another. A call never outlives its deadline, the size
// of messages is limited, and a peer that sends garbage loses only its own session.
package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
)

const (
	// MaxMessageBytes limits the size of one message.
	MaxMessageBytes = 4 << 20
	// maxUnreadBytes limits the memory of all messages that are arriving at a time.
	maxUnreadBytes = 8 << 20
	// minReadBytes is what is read of a message at first. As much as has arrived is read next.
	minReadBytes = 4 << 10

	dialTimeout  = time.Second
	serveTimeout = 5 * time.Second
	// maxSessions and maxStreams are enough for one process to serve all others of a fleet of
	// about 600, which happens while the processes that usually share this work are unavailable.
	maxSessions       = 1024
	maxStreams        = 4096
	keepAliveInterval = 5 * time.Second
	sessionTimeout    = 3 * time.Second
	acceptRetryDelay  = 20 * time.Millisecond
)

// Handler handles calls. It must not retain the request.
type Handler interface {
	HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response
}

// Transport dials and serves peers.
type Transport struct {
	self    *peerpb.Identity
	logger  log.Logger
	reg     metrics.Registry
	handler Handler
	streams *semaphore.Weighted
	// unread is the number of bytes of messages that are arriving.
	unread atomic.Int64
	// relay serves relayed connections, nil if this process relays none.
	relay Relay

	mu sync.Mutex
	// relaying has the addresses of the processes that relay connections.
	relaying map[string]bool
	// forwarders are the connections that this process relays.
	forwarders map[*forwarder]bool
	dialed     map[string]*muxSession // by address
	idle       map[string][]*stream   // by address
	accepted   map[*muxSession]struct{}
	closed     bool
	dials      singleflight.Group
	wg         sync.WaitGroup
}

// NewTransport returns a transport that identifies itself as self and passes incoming calls to handler.
func NewTransport(self *peerpb.Identity, handler Handler, reg metrics.Registry, logger log.Logger) *Transport {
	return &Transport{
		self:     self,
		logger:   log.With(logger, "component", "peer"),
		reg:      reg,
		handler:  handler,
		streams:  semaphore.NewWeighted(maxStreams),
		relaying: map[string]bool{}, forwarders: map[*forwarder]bool{},
		dialed:   map[string]*muxSession{},
		idle:     map[string][]*stream{},
		accepted: map[*muxSession]struct{}{},
	}
}

// Serve accepts sessions until l is closed. It owns l.
func (t *Transport) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if t.isClosed() {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			level.Warn(t.logger).Log("msg", "accept failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		go t.accept(conn)
	}
}

func (t *Transport) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// accept starts the session of a connection once its first frame has arrived.
func (t *Transport) accept(conn net.Conn) {
	frame, err := readFirstFrame(conn)
	if err != nil {
		t.count("bad_connections")
		conn.Close()
		return
	}
	session, err := newSession(conn, frame, yamux.Server)
	if err != nil {
		conn.Close()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.accepted) >= maxSessions {
		session.Close()
		return
	}
	t.accepted[session] = struct{}{}
	t.wg.Add(1)
	go t.serveSession(session)
}

func (t *Transport) count(name string) { metrics.GetOrRegisterCounter("peer."+name, t.reg).Inc(1) }

func (t *Transport) serveSession(session *muxSession) {
	defer t.wg.Done()
	defer func() {
		session.Close()
		t.mu.Lock()
		delete(t.accepted, session)
		t.mu.Unlock()
	}()
	for {
		accepted, err := session.AcceptStream()
		if err != nil {
			return
		}
		release := session.awaitSlot()
		if !t.streams.TryAcquire(1) {
			accepted.Close()
			release()
			continue
		}
		stream := newStream(session, accepted)
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			defer release()
			defer t.streams.Release(1)
			if err := t.serveStream(stream); err != nil {
				t.count("bad_calls")
				level.Debug(t.logger).Log("msg", "peer call failed", "remote", session.RemoteAddr(), "err", err)
				session.Close()
			}
		}()
	}
}

// serveStream serves the calls of a stream until its caller closes it. An error means
// that the peer violated the protocol.
func (t *Transport) serveStream(stream *stream) error {
	defer stream.Close()
	for {
		_ = stream.SetDeadline(time.Now().Add(serverIdleTimeout)) // fails only on a closed stream, which Peek reports too
		if _, err := stream.reader.Peek(1); err != nil {
			return nil // the caller closed the stream, or was lost
		}
		if err := t.serveCall(stream); err != nil {
			return err
		}
	}
}

// serveCall serves one call.
func (t *Transport) serveCall(stream *stream) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	req := &peerpb.Request{}
	if err := t.readMessage(stream.reader, req); err != nil {
		return err
	}
	if req.GetFrom().GetName() == "" || req.Body == nil {
		return fault.New(fault.Invalid, "peer call without sender or body", "check that all processes run the same version")
	}
	stream.session.establish()
	if req.GetConnect() != nil {
		return t.serveConnect(ctx, stream, req)
	}
	resp := t.handler.HandlePeer(ctx, req)
	resp.From = t.self
	n, _ := protodelim.MarshalTo(stream, resp) // an error means that the caller is unreachable
	t.countBytes("out", n)
	return nil
}

// readMessage reads a message. It takes memory only for bytes that have arrived, whatever size the message states.
func (t *Transport) readMessage(r protodelim.Reader, m proto.Message) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > MaxMessageBytes {
		return fault.Newf(fault.Invalid, "check that all processes run the same version", "message of %d bytes is larger than the limit", size)
	}
	arrived, release, err := t.readArriving(r, int(size))
	defer release()
	if err != nil {
		return err
	}
	t.countBytes("in", len(arrived))
	return proto.Unmarshal(arrived, m)
}

// readArriving reads size bytes into memory that it reserves as they arrive. release returns the memory.
func (t *Transport) readArriving(r io.Reader, size int) (arrived []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { t.unread.Add(-reserved) }
	for len(arrived) < size {
		n := min(size-len(arrived), max(len(arrived), minReadBytes))
		reserved += int64(n)
		if t.unread.Add(int64(n)) > maxUnreadBytes {
			return nil, release, fault.New(fault.Exhausted, "too many large messages at a time", "send the message again")
		}
		begin := len(arrived)
		arrived = slices.Grow(arrived, n)[:begin+n]
		if _, err := io.ReadFull(r, arrived[begin:]); err != nil {
			return nil, release, err
		}
	}
	return arrived, release, nil
}

func (t *Transport) countBytes(direction string, n int) {
	metrics.GetOrRegisterCounter("peer.bytes_"+direction, t.reg).Inc(int64(n))
}

// Call sends req to the process at address and returns its response. The error is
// Unavailable if nothing of the call was sent, Denied if the peer rejected it, and
// Unknown otherwise.
func (t *Transport) Call(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Response, error) {
	stream, err := t.open(ctx, address)
	if err != nil {
		return nil, err
	}
	resp, err := t.call(ctx, address, stream, req)
	if err != nil {
		stream.Close()
		return nil, err
	}
	if ctx.Err() == nil { // otherwise the stream's deadline is being changed
		t.keepIdle(address, stream)
	} else {
		stream.Close()
	}
	if resp.Error != "" {
		return nil, fault.New(fault.Denied, "peer "+address+" rejected the call: "+resp.Error, "see the log of that process")
	}
	return resp, nil
}

// call sends req on a stream and waits for the response.
func (t *Transport) call(ctx context.Context, address string, stream *stream, req *peerpb.Request) (*peerpb.Response, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req.From = t.self
	n, err := protodelim.MarshalTo(stream, req)
	t.countBytes("out", n)
	if err != nil {
		t.dropSession(address, stream.session)
		return nil, fault.Wrap(err, fault.Unknown, "connection to peer "+address+" broke during the call", "the call may have arrived")
	}
	resp := &peerpb.Response{}
	if err := t.readMessage(stream.reader, resp); err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, yamux.ErrTimeout) {
			t.dropSession(address, stream.session) // the session has probably ended
		}
		return nil, fault.Wrap(err, fault.Unknown, "response of peer "+address+" was lost", "the call may have arrived")
	}
	t.recordIdentity(address, resp.GetFrom())
	return resp, nil
}

// open returns a stream to address. If the session has ended in the meantime, it dials
// again. This is safe since nothing of the call has been sent.
func (t *Transport) open(ctx context.Context, address string) (*stream, error) {
	if s := t.idleStream(address); s != nil {
		return s, nil
	}
	for attempt := 0; ; attempt++ {
		session, err := t.session(ctx, address)
		if err != nil {
			return nil, fault.Wrap(err, fault.Unavailable, "peer "+address+" cannot be reached", "check the process and the network between the hosts")
		}
		stream, err := openStream(ctx, session)
		if err == nil {
			return stream, nil
		}
		t.dropSession(address, session)
		if attempt > 0 || ctx.Err() != nil {
			return nil, fault.Wrap(err, fault.Unavailable, "peer "+address+" accepts no calls", "check the process and the network between the hosts")
		}
	}
}

// session returns the session to address, and dials if there is none.
func (t *Transport) session(ctx context.Context, address string) (*muxSession, error) {
	t.mu.Lock()
	s := t.dialed[address]
	closed := t.closed
	t.mu.Unlock()
	if closed {
		return nil, fault.New(fault.Unavailable, "process is stopping", "call another process")
	}
	if s != nil && !s.IsClosed() {
		return s, nil
	}
	v, err, _ := t.dials.Do(address, func() (any, error) { return t.dial(ctx, address) })
	if err != nil {
		return nil, err
	}
	return v.(*muxSession), nil
}

func (t *Transport) dial(ctx context.Context, address string) (*muxSession, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s, err := newSession(conn, nil, yamux.Client)
	if err != nil {
		conn.Close()
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		s.Close()
		return nil, fault.New(fault.Unavailable, "process is stopping", "call another process")
	}
	t.dialed[address] = s
	return s, nil
}

// dropSession closes a failed session and removes it.
func (t *Transport) dropSession(address string, s *muxSession) {
	s.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dialed[address] == s {
		delete(t.dialed, address)
	}
}

// Close closes all sessions and waits for the calls in flight.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	for _, s := range t.dialed {
		s.Close()
	}
	for s := range t.accepted {
		s.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
}
