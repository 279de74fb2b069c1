package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rockdoor/rockdoor/internal/peer"
)

// ackTimeout is how long sent bytes may be unacknowledged before the path is examined, and how often it is examined from
// then on. It is shorter than TCP's shortest retransmission timeout, so a lost packet leads to an examination too, which
// finds the path alive.
const ackTimeout = 150 * time.Millisecond

// onlyDirect implements Paths for a client without other ways to the instances.
type onlyDirect struct{ client *Client }

func (o onlyDirect) Dial(ctx context.Context, address string) (net.Conn, error) {
	return o.client.Connect(ctx, address)
}

func (o onlyDirect) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	return o.client.Connect(ctx, address)
}

func (o onlyDirect) MayReuse(string, string) bool { return true }
func (o onlyDirect) RecordAlive(string)           {}
func (o onlyDirect) RecordSilentHelper(string)    {}
func (o onlyDirect) IsCut(string) bool            { return false }
func (o onlyDirect) IsSilent(string) bool         { return false }
func (o onlyDirect) Refuses(ctx context.Context, a string) bool {
	nc, err := o.client.Connect(ctx, a)
	if err == nil {
		_ = nc.Close() // nothing was sent
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// RefusesConnections reports whether the address refuses new connections of this host and others, which means that
// its host is reachable but no process listens there.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	return c.paths.Refuses(ctx, address)
}

// silenceWatch examines the path to an instance while the bytes of a request are not acknowledged.
type silenceWatch struct {
	resp *Response
	// interrupt is true if the exchange is to be given up once the path is known to be cut.
	interrupt bool

	mu    sync.Mutex
	timer *time.Timer
	over  bool
}

// watchForSilence starts a watch. The caller must stop it.
func (r *Response) watchForSilence(ctx context.Context, interrupt bool) *silenceWatch {
	w := &silenceWatch{resp: r, interrupt: interrupt}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(ackTimeout, func() { w.examine(ctx) })
	return w
}

func (w *silenceWatch) examine(ctx context.Context) {
	if ctx.Err() != nil || w.resp.directOnly || w.resp.conn.unacknowledgedBytes() == 0 {
		return
	}
	lost := w.resp.isPathLost()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.over:
	case !lost:
		w.timer.Reset(ackTimeout)
	default:
		w.resp.ownPath.Store(true)
		if w.interrupt {
			_ = w.resp.conn.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
		}
	}
}

// stop ends the watch. The connection is not interrupted from then on.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	w.timer.Stop()
}

func (c *Client) addInterruptible(r *Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interruptible[r.address] == nil {
		c.interruptible[r.address] = map[*Response]bool{}
	}
	c.interruptible[r.address][r] = true
}

// removeInterruptible must be called before the connection of an exchange is used for another one.
func (c *Client) removeInterruptible(r *Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.interruptible[r.address], r)
	if len(c.interruptible[r.address]) == 0 {
		delete(c.interruptible, r.address)
	}
}

// InterruptSilent gives up the repeatable exchanges over direct connections to an address. It is called when the path
// to it has gone silent, in which case the open connections hang too.
func (c *Client) InterruptSilent(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for r := range c.interruptible[address] {
		r.ownPath.Store(true)
		_ = r.conn.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// isPathLost reports whether the way of a connection that has gone silent is the reason.
func (r *Response) isPathLost() bool {
	if helper := r.conn.helper(); helper != "" {
		r.client.paths.RecordSilentHelper(helper)
		return true
	}
	return r.client.paths.IsSilent(r.address)
}

// OwnPathLost reports whether an exchange ended with err because of the path from this host to the instance.
func (r *Response) OwnPathLost(ctx context.Context, err error) bool {
	switch {
	case r.ownPath.Load(), errors.Is(err, peer.ErrRelayLost):
		return true
	case ctx.Err() != nil, r.directOnly, r.conn.helper() != "":
		return false // given up by this side, or the instance broke a connection that a peer relays
	}
	return r.client.paths.IsCut(r.address)
}
