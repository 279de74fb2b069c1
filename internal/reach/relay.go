package reach

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/tcpqueue"
	"github.com/rockdoor/rockdoor/members"
)

// RelayOptions configures a Relay.
type RelayOptions struct {
	Dialer *Dialer
	// Address returns the address of a registered instance, empty if there is none. The ID is empty if the caller
	// doesn't know it.
	Address func(instance, address string) string
	// Helpers returns other processes that may relay connections, without the one with the given name.
	Helpers func(except string) []members.Member
	// Stopping reports whether this process shuts down.
	Stopping func() bool
	// MaxBytes is the memory that relayed connections may take. FreeIdle is called when it is used up, to have connections
	// between two requests closed.
	MaxBytes int64
	FreeIdle func()
	Metrics  metrics.Registry
	Logger   log.Logger
}

// Relay relays connections of other processes. It implements peer.Relay. It connects directly only, so that
// nothing is relayed twice.
type Relay struct {
	o      RelayOptions
	logger log.Logger

	mu   sync.Mutex
	open int64
	// active is the number of exchanges under way.
	active atomic.Int64
}

// NewRelay returns a Relay.
func NewRelay(o RelayOptions) *Relay {
	return &Relay{o: o, logger: log.With(o.Logger, "component", "relay")}
}

// Open returns the number of relayed connections.
func (r *Relay) Open() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

// Active returns the number of exchanges that are under way over relayed connections.
func (r *Relay) Active() int64 { return r.active.Load() }

// Done implements peer.Relay.
func (r *Relay) Done() { r.active.Add(-1) }

// Connect implements peer.Relay.
func (r *Relay) Connect(ctx context.Context, from string, to *peerpb.Connect) (net.Conn, *peerpb.Connected) {
	address := r.o.Address(to.GetInstance(), to.GetAddress())
	conn, status := r.connect(ctx, address)
	connected := &peerpb.Connected{Status: status}
	for _, m := range r.o.Helpers(from) {
		connected.Helpers = append(connected.Helpers, &peerpb.Helper{Name: m.Name, Peer: m.Peer})
	}
	if conn == nil {
		r.count("declined")
		level.Debug(r.logger).Log("msg", "connection not relayed", "from", from, "instance", to.GetInstance(), "address", address, "status", status)
		return nil, connected
	}
	r.count("accepted")
	level.Debug(r.logger).Log("msg", "connection relayed", "from", from, "instance", to.GetInstance(), "address", address, "open", r.Open())
	return conn, connected
}

func (r *Relay) connect(ctx context.Context, address string) (net.Conn, peerpb.ConnectStatus) {
	switch {
	case address == "":
		return nil, peerpb.ConnectStatus_CONNECT_STATUS_UNKNOWN
	case r.o.Dialer.Mode(address) == Relayed:
		return nil, peerpb.ConnectStatus_CONNECT_STATUS_CUT
	case r.o.Stopping():
		return nil, peerpb.ConnectStatus_CONNECT_STATUS_BUSY
	case !r.reserve():
		r.o.FreeIdle()
		return nil, peerpb.ConnectStatus_CONNECT_STATUS_BUSY
	}
	ctx, cancel := context.WithTimeout(ctx, helperDialTimeout)
	defer cancel()
	conn, err := r.o.Dialer.DialDirect(ctx, address)
	if err == nil && r.o.Stopping() { // its caller was not told with the others to use it no longer
		_ = conn.Close()
		r.release()
		return nil, peerpb.ConnectStatus_CONNECT_STATUS_BUSY
	}
	if err == nil {
		return &countedConn{Conn: conn, release: r.release}, peerpb.ConnectStatus_CONNECT_STATUS_CONNECTED
	}
	r.release()
	go r.o.Dialer.IsCut(address) // if the path of this host is the reason, other processes should not ask again
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, peerpb.ConnectStatus_CONNECT_STATUS_REFUSED
	}
	return nil, peerpb.ConnectStatus_CONNECT_STATUS_UNREACHABLE
}

// Request implements peer.Relay.
func (r *Relay) Request(from string, to *peerpb.Connect, id string) {
	r.active.Add(1)
	r.count("requests")
	level.Debug(r.logger).Log("msg", "request relayed", "request", id, "from", from, "instance", to.GetInstance(), "address", to.GetAddress())
}

// reserve reserves memory for one more connection.
func (r *Relay) reserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (r.open+1)*peer.RelayedConnBytes > r.o.MaxBytes {
		return false
	}
	r.open++
	return true
}

func (r *Relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
}

func (r *Relay) count(name string) {
	metrics.GetOrRegisterCounter("relay."+name, r.o.Metrics).Inc(1)
}

// countedConn releases its memory when it is closed.
type countedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// UnacknowledgedBytes returns the number of bytes that the instance's host has not acknowledged.
func (c *countedConn) UnacknowledgedBytes() int { return tcpqueue.Unacknowledged(c.Conn) }

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
