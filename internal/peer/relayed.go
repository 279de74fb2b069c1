package peer

import (
	"cmp"
	"context"
	"encoding/binary"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/tcpqueue"
)

// A relayed connection is a stream on which a peer forwards bytes to and from an instance. Each direction is a
// sequence of frames: a type, the length of the payload and the payload.
const (
	// frameData has bytes of the connection.
	frameData = iota + 1
	// frameRequest precedes the bytes of a request and has its ID.
	frameRequest
	// frameAck has the number of bytes that the instance's host has acknowledged to the helper since the last
	// such frame.
	frameAck
	// frameEnd says that the instance has closed the connection, frameReset that it was reset.
	frameEnd
	frameReset
	// frameDone follows the last byte of a response that the caller has used.
	frameDone
	// frameDrain says that no further request may be sent on the connection, since the helper shuts down or needs the room.
	frameDrain
)

const (
	frameHeaderBytes = 3
	maxFrameBytes    = 16 << 10
	ackBytes         = 4
	// ackInterval is how often the helper looks for bytes that the instance's host has acknowledged.
	ackInterval = 20 * time.Millisecond
	// maxDrainedIdle is how many idle connections are given up at once to make room for others.
	maxDrainedIdle = 8
	// RelayedConnBytes is the memory that one relayed connection may take at the helper, mostly for the
	// stream's receive window.
	RelayedConnBytes = 256<<10 + 2*maxFrameBytes
)

// ErrRelayLost means that a relayed connection has ended because of the helper or the path to it, so that it says
// nothing about the instance.
var ErrRelayLost = errors.New("peer that relayed the connection was lost")

// errReset means that the connection between the helper and the instance broke.
var errReset = errors.New("relayed connection was reset")

// Relay serves the relayed connections of other processes.
type Relay interface {
	// Connect connects to an instance for the process with the given name. Unless the status is CONNECTED, the
	// connection is nil. Its reads must tell a reset from the end of the stream, also if a write has met it.
	Connect(ctx context.Context, from string, to *peerpb.Connect) (net.Conn, *peerpb.Connected)
	// Request is called before each request that a process sends over a relayed connection.
	Request(from string, to *peerpb.Connect, id string)
	// Done is called when the exchange of a request has ended.
	Done()
}

// SetRelay makes the transport serve relayed connections. It must be called before Serve.
func (t *Transport) SetRelay(r Relay) {
	t.relay = r
	t.self.Relays = true
}

// MayRelay reports whether the process at address relays connections, as far as is known. Processes of former versions
// are known not to after their first response.
func (t *Transport) MayRelay(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	relays, known := t.relaying[address]
	return relays || !known
}

func (t *Transport) recordIdentity(address string, from *peerpb.Identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relaying[address] = from.GetRelays()
}

// RecordRelays records that the process at address relays connections, as another process says.
func (t *Transport) RecordRelays(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relaying[address] = true
}

// Connect asks the process at address to connect to an instance and to relay the connection. The connection is nil
// unless the status of the response is CONNECTED.
func (t *Transport) Connect(ctx context.Context, address string, to *peerpb.Connect) (*RelayedConn, *peerpb.Connected, error) {
	stream, err := t.open(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	resp, err := t.call(ctx, address, stream, &peerpb.Request{Body: &peerpb.Request_Connect{Connect: to}})
	if err == nil && resp.Error != "" {
		err = fault.New(fault.Denied, "peer "+address+" rejected the call: "+resp.Error, "see the log of that process")
	}
	if err != nil {
		stream.Close()
		return nil, nil, err
	}
	connected := resp.GetConnect()
	if connected.GetStatus() != peerpb.ConnectStatus_CONNECT_STATUS_CONNECTED || ctx.Err() != nil {
		stream.Close()
		return nil, connected, ctx.Err()
	}
	if err := stream.SetDeadline(time.Time{}); err != nil {
		stream.Close()
		return nil, nil, err
	}
	return newRelayedConn(stream, resp.GetFrom().GetName()), connected, nil
}

// serveConnect serves a relayed connection until it ends.
func (t *Transport) serveConnect(ctx context.Context, stream *stream, req *peerpb.Request) error {
	from, to := req.GetFrom().GetName(), req.GetConnect()
	var conn net.Conn
	connected := &peerpb.Connected{Status: peerpb.ConnectStatus_CONNECT_STATUS_BUSY}
	if t.relay != nil {
		conn, connected = t.relay.Connect(ctx, from, to)
	}
	resp := &peerpb.Response{From: t.self, Body: &peerpb.Response_Connect{Connect: connected}}
	_, err := protodelim.MarshalTo(stream, resp)
	if conn == nil {
		return nil
	}
	defer conn.Close()
	if err != nil || stream.SetDeadline(time.Time{}) != nil {
		return nil // the caller has given up
	}
	f := &forwarder{stream: stream, conn: conn, wrote: make(chan struct{}, 1), onRequest: func(id string) { t.relay.Request(from, to, id) }, onDone: t.relay.Done}
	t.addForwarder(f)
	defer t.removeForwarder(f)
	f.run()
	return nil
}

func (t *Transport) addForwarder(f *forwarder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forwarders[f] = true
}

func (t *Transport) removeForwarder(f *forwarder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.forwarders, f)
}

// DrainRelayed tells the callers of relayed connections to send no further requests on them.
func (t *Transport) DrainRelayed() {
	for _, f := range t.allForwarders() {
		f.drain()
	}
}

// DrainIdleRelayed does the same for a few of the connections between two requests, those idle for longest first. Their
// callers close them.
func (t *Transport) DrainIdleRelayed() {
	idle := slices.DeleteFunc(t.allForwarders(), func(f *forwarder) bool { return f.idleSince.Load() == 0 })
	slices.SortFunc(idle, func(a, b *forwarder) int { return cmp.Compare(a.idleSince.Load(), b.idleSince.Load()) })
	for _, f := range idle[:min(maxDrainedIdle, len(idle))] {
		f.idleSince.Store(0)
		f.drain()
	}
}

func (t *Transport) allForwarders() []*forwarder {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.forwarders))
}

// forwarder forwards bytes between a stream and a connection to an instance.
type forwarder struct {
	stream    *stream
	conn      net.Conn
	onRequest func(id string)
	onDone    func()
	// busy is true while an exchange is under way. It is used by toInstance only.
	busy bool
	// idleSince is when the last exchange ended, 0 while one is under way, before the first one, and once drained.
	idleSince atomic.Int64
	mu        sync.Mutex // for writes to the stream
	// written counts the bytes written to conn. wrote is signalled after each write.
	written atomic.Int64
	wrote   chan struct{}
}

// run forwards in both directions. When one ends, the other is ended too: an HTTP client that closes its
// connection wants its request to be cancelled.
func (f *forwarder) run() {
	var wg sync.WaitGroup
	ended := make(chan struct{})
	wg.Add(2)
	go func() {
		defer wg.Done()
		f.toCaller()
		f.stream.Close()
	}()
	go func() { defer wg.Done(); f.acknowledge(ended) }()
	f.toInstance()
	close(ended)
	_ = f.conn.Close() // ends toCaller
	f.stream.Close()
	wg.Wait()
}

// acknowledge tells the caller what the instance's host has acknowledged.
func (f *forwarder) acknowledge(ended chan struct{}) {
	tick := time.NewTicker(ackInterval)
	tick.Stop()
	defer tick.Stop()
	acked := int64(0)
	for {
		select {
		case <-ended:
			return
		case <-f.wrote:
			tick.Reset(ackInterval)
			continue
		case <-tick.C:
		}
		// The order matters: bytes written between the two calls must not count as acknowledged.
		written := f.written.Load()
		received := written - int64(tcpqueue.Unacknowledged(f.conn))
		if received > acked && f.write(frameAck, binary.BigEndian.AppendUint32(nil, uint32(received-acked))) != nil {
			return
		}
		acked = max(acked, received)
		if acked == f.written.Load() {
			tick.Stop()
		}
	}
}

// toInstance forwards until the caller closes its connection or is lost. A write that fails is not the end: the response may have
// arrived before, and toCaller, whose read fails next, tells the caller how the connection ended.
func (f *forwarder) toInstance() {
	defer f.endExchange()
	failed := false
	for {
		kind, payload, err := readFrame(f.stream.reader)
		if err != nil {
			return // the caller has closed the connection or was lost
		}
		switch kind {
		case frameRequest:
			f.endExchange()
			f.busy = true
			f.idleSince.Store(0)
			f.onRequest(string(payload))
		case frameDone:
			f.endExchange()
			f.idleSince.Store(int64(bootclock.Now()))
		case frameData:
			if failed {
				continue
			}
			if _, err := f.conn.Write(payload); err != nil {
				failed = true
				continue
			}
			f.written.Add(int64(len(payload)))
			select {
			case f.wrote <- struct{}{}:
			default: // acknowledge has not seen the last signal yet
			}
		}
	}
}

func (f *forwarder) endExchange() {
	if f.busy {
		f.busy = false
		f.onDone()
	}
}

// drain tells the caller to send no further request.
func (f *forwarder) drain() {
	go func() { _ = f.write(frameDrain, nil) }() // an error means that the connection has ended
}

func (f *forwarder) toCaller() {
	buf := make([]byte, maxFrameBytes)
	for {
		n, err := f.conn.Read(buf)
		if n > 0 && f.write(frameData, buf[:n]) != nil {
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = f.write(frameEnd, nil) // the stream is closed next
			return
		case err != nil:
			_ = f.write(frameReset, nil)
			return
		}
	}
}

func (f *forwarder) write(kind byte, payload []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return writeFrame(f.stream, kind, payload)
}

func writeFrame(w io.Writer, kind byte, payload []byte) error {
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	frame[0] = kind
	binary.BigEndian.PutUint16(frame[1:], uint16(len(payload)))
	_, err := w.Write(append(frame, payload...))
	return err
}

func readFrame(r io.Reader) (kind byte, payload []byte, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint16(header[1:])
	if n > maxFrameBytes {
		return 0, nil, fault.Newf(fault.Invalid, "check that all processes run the same version", "frame of %d bytes is too large", n)
	}
	payload = make([]byte, n)
	_, err = io.ReadFull(r, payload)
	return header[0], payload, err
}

// RelayedConn is a connection to an instance that a peer relays. It implements net.Conn.
type RelayedConn struct {
	stream *stream
	helper string
	// received has the bytes that have arrived; its other end is written by receive.
	received, incoming net.Conn
	// pending is true while bytes have arrived that were not read.
	pending atomic.Bool
	ended   atomic.Bool
	// draining is true once no further request may be sent. unused is true between two requests.
	draining, unused atomic.Bool
	endErr           atomic.Pointer[error]
	// sent and acked count bytes.
	sent, acked atomic.Int64
}

func newRelayedConn(s *stream, helper string) *RelayedConn {
	c := &RelayedConn{stream: s, helper: helper}
	c.received, c.incoming = net.Pipe()
	go c.receive()
	return c
}

// receive reads the frames of the helper until the connection ends.
func (c *RelayedConn) receive() {
	err := c.readFrames()
	c.ended.Store(true)
	c.endErr.Store(&err)
	_ = c.incoming.Close()
	c.stream.Close()
}

func (c *RelayedConn) readFrames() error {
	for {
		kind, payload, err := readFrame(c.stream.reader)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // only frameEnd ends a response that has no length
		}
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "relayed by %s", c.helper), ErrRelayLost)
		}
		switch kind {
		case frameAck:
			if len(payload) == ackBytes {
				c.acked.Add(int64(binary.BigEndian.Uint32(payload)))
			}
		case frameData:
			c.pending.Store(true)
			if _, err := c.incoming.Write(payload); err != nil {
				return err // closed by this side
			}
			c.pending.Store(false)
		case frameDrain:
			c.draining.Store(true)
			if c.unused.CompareAndSwap(true, false) {
				_ = c.Close() // nothing is under way
			}
		case frameEnd:
			return io.EOF
		case frameReset:
			return errReset
		}
	}
}

// Helper returns the name of the process that relays the connection.
func (c *RelayedConn) Helper() string { return c.helper }

// UnacknowledgedBytes returns the number of bytes that the instance's host is not known to have received.
func (c *RelayedConn) UnacknowledgedBytes() int { return int(c.sent.Load() - c.acked.Load()) }

// Idle reports whether the connection is open and nothing has arrived that was not read.
func (c *RelayedConn) Idle() bool {
	return !c.ended.Load() && !c.draining.Load() && !c.pending.Load() && !c.stream.session.IsClosed()
}

// BeginRequest tells the helper the ID of the request that follows.
func (c *RelayedConn) BeginRequest(id string) error {
	c.unused.Store(false)
	if len(id) > maxFrameBytes {
		id = id[:maxFrameBytes]
	}
	return writeFrame(c.stream, frameRequest, []byte(id))
}

// EndRequest tells the helper that the exchange has ended. It returns false if the connection cannot be used for another.
func (c *RelayedConn) EndRequest() bool {
	if writeFrame(c.stream, frameDone, nil) != nil {
		return false
	}
	c.unused.Store(true)
	return !c.draining.Load()
}

// Read implements net.Conn.
func (c *RelayedConn) Read(p []byte) (int, error) {
	n, err := c.received.Read(p)
	if errors.Is(err, io.EOF) {
		if end := c.endErr.Load(); end != nil {
			return n, *end
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *RelayedConn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), maxFrameBytes)
		c.sent.Add(int64(n))
		if err := writeFrame(c.stream, frameData, p[:n]); err != nil {
			return written, errors.Mark(err, ErrRelayLost)
		}
		written += n
		p = p[n:]
	}
	return written, nil
}

// Close implements net.Conn. The helper closes the connection to the instance.
func (c *RelayedConn) Close() error {
	_ = c.received.Close() // never fails
	return c.stream.Close()
}

// LocalAddr implements net.Conn.
func (c *RelayedConn) LocalAddr() net.Addr { return c.stream.LocalAddr() }

// RemoteAddr implements net.Conn. It returns the address of the helper.
func (c *RelayedConn) RemoteAddr() net.Addr { return c.stream.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *RelayedConn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *RelayedConn) SetReadDeadline(t time.Time) error { return c.received.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *RelayedConn) SetWriteDeadline(t time.Time) error { return c.stream.SetWriteDeadline(t) }
