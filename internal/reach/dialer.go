package reach

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"

	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
)

const (
	// headStart is how long a direct connection has before a peer is asked as well. Instances are a few
	// milliseconds away. On a doubtful path the head start is shorter.
	headStart         = 60 * time.Millisecond
	doubtfulHeadStart = 25 * time.Millisecond
	// helperInterval is the delay before the next peer is asked while the last one has not responded.
	helperInterval = 30 * time.Millisecond
	// helpTimeout bounds one call to a peer, which itself connects within helperDialTimeout.
	helpTimeout       = 250 * time.Millisecond
	helperDialTimeout = 150 * time.Millisecond
	// confirmTimeout bounds the direct connection that confirms that a path is cut. It is begun once a peer
	// has connected, so that an instance which was silent until then is not taken for unreachable.
	confirmTimeout = 100 * time.Millisecond
	// recentlyAlive is how long after a response of an instance the path to it is not doubted because a connection
	// is silent.
	recentlyAlive = 100 * time.Millisecond
	// maxLoggedPaths bounds the lines about single paths between two times at which all paths work.
	maxLoggedPaths = 10
)

// ErrCut marks errors of connections to instances that this host does not reach and others do or did lately.
var ErrCut = errors.New("path to the instance is cut")

// errNoHelp means that no peer could connect either, or that there was none to ask.
var errNoHelp = errors.New("no peer connected to the instance")

// errPeerCut means that the peer's own path is cut.
var errPeerCut = errors.New("path of the peer is cut")

// Options configures a Dialer.
type Options struct {
	// Self is the name of this process.
	Self string
	// Direct connects to an instance from this host.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Instance returns the ID of the instance at an address, empty if it is not known.
	Instance func(address string) string
	// Peers returns the processes that may relay connections.
	Peers     func() []members.Member
	Transport *peer.Transport
	// OnSilent is called with the address of an instance when the path to it is found to be cut without a
	// response. It may be nil.
	OnSilent func(address string)
	Metrics  metrics.Registry
	Logger   log.Logger
}

// Dialer connects to instances. It is safe for concurrent use.
type Dialer struct {
	o       Options
	logger  log.Logger
	table   *table
	helpers *helpers
	// comparisons has the paths that are being compared with those of peers.
	comparisons singleflight.Group
	// logged counts the lines about single paths since all paths worked.
	logged atomic.Int64
}

// NewDialer returns a Dialer.
func NewDialer(o Options) *Dialer {
	return &Dialer{o: o, logger: log.With(o.Logger, "component", "reach"), table: newTable(), helpers: newHelpers(o.Self)}
}

// Mode returns how to connect to an address. For a cut path, it also tries whether the path works again.
func (d *Dialer) Mode(address string) Mode {
	now := time.Now()
	if d.table.takeProbe(address, now) {
		go d.probe(address)
	}
	return d.table.mode(address, now)
}

// RecordAlive records that an instance responded over a direct connection.
func (d *Dialer) RecordAlive(address string) { d.table.recordAlive(address, time.Now()) }

// MayReuse reports whether an idle connection to an address may be used for another request. helper is the peer that
// relays it, empty if it is direct.
func (d *Dialer) MayReuse(address, helper string) bool {
	mode := d.Mode(address)
	if helper == "" {
		return mode == Direct
	}
	return mode == Relayed && !d.helpers.excluded(helper, time.Now())
}

// RecordSilentHelper records that a peer does not pass on what it gets.
func (d *Dialer) RecordSilentHelper(helper string) {
	d.count("helpers_silent")
	level.Info(d.logger).Log("msg", "peer does not pass on the bytes of a relayed connection", "peer", helper)
	d.helpers.exclude(helper, time.Now().Add(unavailableTime))
}

// CutPaths returns the number of instances that this host reaches only through peers, and of all that it used.
func (d *Dialer) CutPaths() (cut, known int) { return d.table.counts() }

// CutTo reports whether this host reaches the instance at an address only through peers.
func (d *Dialer) CutTo(address string) bool { return d.table.mode(address, time.Now()) == Relayed }

// LastHelper returns the name of the peer that last relayed a connection, empty if there was none.
func (d *Dialer) LastHelper() string { return d.helpers.lastHelper() }

// Retain drops what is known of all addresses for which keep returns false.
func (d *Dialer) Retain(keep func(address string) bool) { d.table.retain(keep) }

// Dial connects to an instance. The connection is a *peer.RelayedConn if a peer relays it.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch d.table.mode(address, time.Now()) {
	case Relayed:
		return d.dialCut(ctx, address)
	case Doubtful:
		return d.race(ctx, address, doubtfulHeadStart)
	}
	return d.race(ctx, address, headStart)
}

// dialCut connects to an instance to which the path is cut. If no peer helps, the path may work again.
func (d *Dialer) dialCut(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.relayed(ctx, address)
	if err == nil || ctx.Err() != nil {
		return conn, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if conn, directErr := d.DialDirect(ctx, address); directErr == nil {
		return conn, nil
	}
	return nil, errors.Mark(errors.Wrap(err, "path of this host is cut"), ErrCut)
}

// DialDirect connects to an instance from this host.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.o.Direct(ctx, address)
	if err == nil {
		d.recordConnected(address)
	}
	return conn, err
}

// IsSilent compares the path of this host to an instance with that of a peer, unless the instance has just responded.
// It returns true if only the peer's works.
func (d *Dialer) IsSilent(address string) bool {
	if d.table.aliveSince(address, time.Now().Add(-recentlyAlive)) {
		return false
	}
	return d.IsCut(address)
}

// IsCut compares the path of this host to an instance with that of a peer. It returns true if only the peer's works.
func (d *Dialer) IsCut(address string) bool {
	cut, _, _ := d.comparisons.Do(address, func() (any, error) { return d.compare(address), nil })
	return cut.(bool)
}

// compare does the work of IsCut.
func (d *Dialer) compare(address string) bool {
	if d.table.mode(address, time.Now()) == Relayed {
		return true
	}
	if d.tryDirect(address) == nil || !d.table.mayAskPeers(address, time.Now()) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), helpTimeout)
	defer cancel()
	conn, err := d.relayed(ctx, address)
	if err != nil {
		d.table.recordUnreachable(address, time.Now())
		return false
	}
	_ = conn.Close() // nothing was sent
	return d.confirmCut(address, conn)
}

// tryDirect connects directly and closes the connection.
func (d *Dialer) tryDirect(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	conn, err := d.DialDirect(ctx, address)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	return err
}

// Refuses reports whether the address refuses connections of this host and, if there is one to ask, of a peer.
func (d *Dialer) Refuses(ctx context.Context, address string) bool {
	if !errors.Is(d.tryDirect(address), syscall.ECONNREFUSED) {
		return false
	}
	conn, err := d.relayed(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errNoHelp)
	}
	_ = conn.Close() // nothing was sent
	return !d.confirmCut(address, conn)
}

type dialResult struct {
	conn net.Conn
	err  error
}

// race connects directly and, after the head start or a failure, through a peer. The first connection wins.
func (d *Dialer) race(ctx context.Context, address string, head time.Duration) (net.Conn, error) {
	direct := d.start(ctx, address, d.DialDirect)
	var relayed chan dialResult
	asked := false
	askPeers := func() {
		if !asked && d.table.mayAskPeers(address, time.Now()) {
			asked = true
			relayed = d.start(ctx, address, d.relayed)
		}
	}
	timer := time.NewTimer(head)
	defer timer.Stop()
	var directErr, relayedErr error
	for {
		select {
		case r := <-direct:
			if r.err == nil {
				closeLate(relayed)
				return r.conn, nil
			}
			directErr, direct = r.err, nil
			askPeers()
		case r := <-relayed:
			if r.err == nil {
				go d.confirmCut(address, r.conn)
				closeLate(direct)
				return r.conn, nil
			}
			relayedErr, relayed = r.err, nil
		case <-timer.C:
			askPeers()
		}
		if directErr != nil && relayed == nil {
			if relayedErr != nil && ctx.Err() == nil {
				d.table.recordUnreachable(address, time.Now())
			}
			return nil, directErr
		}
	}
}

// start connects in a goroutine.
func (d *Dialer) start(ctx context.Context, address string, dial func(context.Context, string) (net.Conn, error)) chan dialResult {
	out := make(chan dialResult, 1)
	go func() {
		conn, err := dial(ctx, address)
		out <- dialResult{conn, err}
	}()
	return out
}

// closeLate closes a connection that is established too late to be used. results may be nil.
func closeLate(results chan dialResult) {
	if results == nil {
		return
	}
	go func() {
		if r := <-results; r.err == nil {
			_ = r.conn.Close() // nothing was sent
		}
	}()
}

// confirmCut tries a direct connection again, now that a peer has connected. If it fails, the path is cut.
func (d *Dialer) confirmCut(address string, relayed net.Conn) bool {
	err := d.tryDirect(address)
	if err == nil {
		return false
	}
	helper := ""
	if r, ok := relayed.(*peer.RelayedConn); ok {
		helper = r.Helper()
	}
	d.recordCut(address, err, helper)
	return true
}

// probe tries whether a cut path works again.
func (d *Dialer) probe(address string) {
	if d.tryDirect(address) != nil {
		d.table.recordProbeFailed(address)
	}
}

func (d *Dialer) recordConnected(address string) {
	if !d.table.recordConnected(address, time.Now()) {
		return
	}
	d.count("paths_regained")
	cut, known := d.table.counts()
	if d.logged.Add(1) <= maxLoggedPaths || cut == 0 {
		level.Info(d.logger).Log("msg", "path to an instance works again", "address", address, "cut", cut, "known", known)
	}
	if cut == 0 {
		d.logged.Store(0)
	}
}

func (d *Dialer) recordCut(address string, cause error, helper string) {
	if !d.table.recordCut(address, time.Now()) {
		return
	}
	d.count("paths_lost")
	if d.o.OnSilent != nil && !errors.Is(cause, syscall.ECONNREFUSED) {
		d.o.OnSilent(address)
	}
	if d.logged.Add(1) <= maxLoggedPaths {
		cut, known := d.table.counts()
		level.Warn(d.logger).Log("msg", "path to an instance is cut; a peer reaches it", "address", address, "peer", helper, "cut", cut, "known", known, "err", cause)
	}
}

// relayed connects through a peer. It asks further peers while those asked before have not responded.
func (d *Dialer) relayed(ctx context.Context, address string) (net.Conn, error) {
	peers := slices.DeleteFunc(slices.Clone(d.o.Peers()), func(m members.Member) bool { return !d.o.Transport.MayRelay(m.Peer) })
	order, wait := d.helpers.order(peers, address, time.Now())
	if len(order) == 0 && wait > 0 && sleep(ctx, wait) {
		order, _ = d.helpers.order(peers, address, time.Now())
	}
	limit := min(maxHelpers, len(order))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult, len(order))
	timer := time.NewTimer(0)
	defer timer.Stop()
	asked, failed := 0, 0
	err := errNoHelp
	for failed < limit {
		select {
		case <-timer.C:
			if asked < limit {
				m := order[asked]
				go func() {
					conn, err := d.askHelper(ctx, m, address)
					results <- dialResult{conn, err}
				}()
				asked++
				timer.Reset(helperInterval)
			}
		case r := <-results:
			if r.err == nil {
				closeAll(results, asked-failed-1)
				return r.conn, nil
			}
			failed++
			err = r.err
			if errors.Is(err, errPeerCut) {
				limit = min(limit+1, len(order))
			}
			timer.Reset(0)
		}
	}
	return nil, err
}

// sleep waits and reports whether ctx has not ended before.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// addHelpers adds processes that a peer has named.
func (d *Dialer) addHelpers(named []*peerpb.Helper) {
	for _, h := range named {
		if h.GetName() != d.o.Self && h.GetPeer() != "" {
			d.o.Transport.RecordRelays(h.GetPeer())
			d.helpers.add(members.Member{Name: h.GetName(), Peer: h.GetPeer()})
		}
	}
}

// closeAll closes the connections among the next n results.
func closeAll(results chan dialResult, n int) {
	if n == 0 {
		return
	}
	go func() {
		for range n {
			if r := <-results; r.err == nil {
				_ = r.conn.Close() // nothing was sent
			}
		}
	}()
}

// askHelper asks one peer to connect.
func (d *Dialer) askHelper(ctx context.Context, m members.Member, address string) (net.Conn, error) {
	actx, cancel := context.WithTimeout(ctx, helpTimeout)
	defer cancel()
	conn, connected, err := d.o.Transport.Connect(actx, m.Peer, &peerpb.Connect{Address: address, Instance: d.o.Instance(address)})
	now, status := time.Now(), connected.GetStatus()
	d.addHelpers(connected.GetHelpers())
	switch {
	case ctx.Err() != nil && conn == nil:
		return nil, ctx.Err() // another one was faster, or the request has ended
	case err != nil:
		d.helpers.exclude(m.Name, now.Add(unavailableTime))
		return nil, errors.Mark(err, errNoHelp)
	case status == peerpb.ConnectStatus_CONNECT_STATUS_CONNECTED:
		d.helpers.recordHelp(m.Name)
		d.count("relayed")
		return conn, nil
	case status == peerpb.ConnectStatus_CONNECT_STATUS_REFUSED:
		d.helpers.demote(m.Name, now.Add(unableTime))
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "asked %s", m.Name)
	case status == peerpb.ConnectStatus_CONNECT_STATUS_UNREACHABLE, status == peerpb.ConnectStatus_CONNECT_STATUS_UNKNOWN:
		d.helpers.demote(m.Name, now.Add(unableTime))
		return nil, errors.Newf("%s does not reach the instance either: %s", m.Name, status)
	case status == peerpb.ConnectStatus_CONNECT_STATUS_BUSY:
		d.helpers.recordBusy(m.Name, now)
		return nil, errors.Mark(errors.Newf("%s has no room", m.Name), errNoHelp)
	case status == peerpb.ConnectStatus_CONNECT_STATUS_CUT:
		d.helpers.recordLostPath(m.Name, address, now, now.Add(unavailableTime))
		return nil, errors.Mark(errors.Mark(errors.Newf("path of %s is cut too", m.Name), errPeerCut), errNoHelp)
	}
	d.helpers.exclude(m.Name, now.Add(unavailableTime))
	return nil, errors.Mark(errors.Newf("%s does not help: %s", m.Name, status), errNoHelp)
}

func (d *Dialer) count(name string) {
	metrics.GetOrRegisterCounter("reach."+name, d.o.Metrics).Inc(1)
}
