package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// linkBuffer is the number of bytes that a link buffers per direction, about the size of a
	// small TCP window.
	linkBuffer = 16 << 10
	// retransmitDelay is how much later a lost chunk arrives. It equals the minimum retransmission
	// timeout of TCP on Linux.
	retransmitDelay = 200 * time.Millisecond
	// linkDialTimeout limits the connection to the target, which is on the same machine.
	linkDialTimeout = 5 * time.Second
	// relistenAttempts and relistenPause bound the wait for the port of a link.
	relistenAttempts = 100
	relistenPause    = 50 * time.Millisecond
)

// Conditions are the network conditions of a link.
type Conditions struct {
	// Delay is added to each chunk, in each direction.
	Delay time.Duration
	// Loss is the share of chunks that are delivered only after a retransmission.
	Loss float64
	// BlockForward and BlockBackward hold back all bytes of one direction.
	BlockForward, BlockBackward bool
}

// Link is a loopback proxy from one party to another. Bytes that it holds back are delivered, in
// order, when the block ends, as after a network partition.
type Link struct {
	// From and To are the names of the parties.
	From, To string
	// Address is where From connects.
	Address string

	target string
	opened func(local string)

	mu sync.Mutex
	// listener is nil while the link refuses connections.
	listener net.Listener
	// active is the set of conditions that were added and not removed again.
	active  map[*Conditions]bool
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

// NewLink returns a link that listens at an IP address and leads to the target address, without any conditions. For each connection, opened
// is called with the local address from which the link connects to its target. It may be nil.
func NewLink(ip, from, to, target string, opened func(local string)) (*Link, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	k := &Link{
		From: from, To: to, Address: l.Addr().String(), target: target, listener: l, opened: opened,
		active: map[*Conditions]bool{}, changed: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	go k.accept(l)
	return k, nil
}

// AddConditions applies further conditions to the link until off is called.
func (k *Link) AddConditions(c Conditions) (off func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.active[&c] = true
	k.notifyPumps()
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.active, &c)
		k.notifyPumps()
	}
}

// conditions returns the worst value of each of the active conditions. Callers hold the lock.
func (k *Link) conditions() Conditions {
	var out Conditions
	for c := range k.active {
		out.Delay, out.Loss = max(out.Delay, c.Delay), max(out.Loss, c.Loss)
		out.BlockForward, out.BlockBackward = out.BlockForward || c.BlockForward, out.BlockBackward || c.BlockBackward
	}
	return out
}

// Reset resets all connections of the link.
func (k *Link) Reset() {
	k.mu.Lock()
	conns := k.conns
	k.conns = map[net.Conn]bool{}
	k.notifyPumps()
	k.mu.Unlock()
	for c := range conns {
		abort(c)
	}
}

// Refuse resets all connections and refuses new ones until off is called, like a path that is cut without silence.
func (k *Link) Refuse() (off func()) {
	k.stopListening()
	k.Reset()
	return k.listenAgain
}

func (k *Link) stopListening() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener != nil {
		_ = k.listener.Close() // nothing is lost: connections that were not accepted are reset
		k.listener = nil
	}
}

// listenAgain listens on the link's address again. Another program may use the port for a while.
func (k *Link) listenAgain() {
	for range relistenAttempts {
		k.mu.Lock()
		if k.closed || k.listener != nil {
			k.mu.Unlock()
			return
		}
		l, err := net.Listen("tcp", k.Address)
		if err == nil {
			k.listener = l
			go k.accept(l)
		}
		k.mu.Unlock()
		if err == nil {
			return
		}
		time.Sleep(relistenPause)
	}
}

// Close resets all connections and accepts no more.
func (k *Link) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.stopListening()
	k.Reset()
}

// notifyPumps makes the pumps evaluate the conditions again. Callers hold the lock.
func (k *Link) notifyPumps() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *Link) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go k.serve(in)
	}
}

func (k *Link) serve(in net.Conn) {
	out, err := net.DialTimeout("tcp", k.target, linkDialTimeout)
	if err != nil {
		abort(in) // like a port with no listener
		return
	}
	if k.opened != nil {
		k.opened(out.LocalAddr().String())
	}
	if !k.track(in, out) {
		abort(in)
		abort(out)
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); k.pump(out, in, true) }()
	go func() { defer both.Done(); k.pump(in, out, false) }()
	both.Wait()
	k.untrack(in, out)
}

func (k *Link) track(conns ...net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		k.conns[c] = true
	}
	return !k.closed
}

func (k *Link) untrack(conns ...net.Conn) {
	k.mu.Lock()
	for _, c := range conns {
		delete(k.conns, c)
	}
	k.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // both directions have ended
	}
}

// pump forwards one direction of a connection until it ends.
func (k *Link) pump(dst, src net.Conn, forward bool) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := src.Read(buf)
		if !k.waitForDelivery(src, forward) {
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				abort(src)
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			closeWrite(dst)
			return
		default:
			abort(dst)
			return
		}
	}
}

// waitForDelivery waits until a chunk may be delivered. It returns false if the connection was
// reset meanwhile.
func (k *Link) waitForDelivery(src net.Conn, forward bool) bool {
	for {
		k.mu.Lock()
		now, changed, alive := k.conditions(), k.changed, k.conns[src]
		k.mu.Unlock()
		if !alive {
			return false
		}
		if forward && now.BlockForward || !forward && now.BlockBackward {
			<-changed
			continue
		}
		wait := now.Delay
		if now.Loss > 0 && rand.Float64() < now.Loss {
			wait += retransmitDelay
		}
		if wait > 0 {
			time.Sleep(wait)
		}
		return true
	}
}

// abort resets a connection.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is already closed
	}
	_ = c.Close()
}

func closeWrite(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if err := t.CloseWrite(); err != nil && !errors.Is(err, syscall.ENOTCONN) {
		abort(c)
	}
}
