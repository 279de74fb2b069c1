package control

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/confstore"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/mirror"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/orders"
)

const (
	eventQueueSize  = 1024
	publishInterval = 100 * time.Millisecond
	// memberStateInterval is how often the member states are recomputed while the
	// list of members does not change.
	memberStateInterval = 500 * time.Millisecond
	loadTimeout         = 10 * time.Second
	loadRetryDelay      = 200 * time.Millisecond
	// loadRetentionIntervals is how long the loads of an unresponsive member still
	// count, in heartbeat intervals.
	loadRetentionIntervals = 6
)

// Options configures a Loop.
type Options struct {
	Self       members.Member
	Mirror     *mirror.Mirror
	Loader     *confstore.Loader
	Heartbeat  time.Duration
	StaleAfter time.Duration
	Metrics    metrics.Registry
	Logger     log.Logger
}

// Loop owns the control state. Only the goroutine of Run changes it.
type Loop struct {
	o        Options
	logger   log.Logger
	events   chan any
	snapshot atomic.Pointer[Snapshot]

	// The fields below are used only by the goroutine of Run.
	registered          []members.Member
	orders              map[string]orders.Record
	leaving             map[string]bool
	contacts            map[string]*contact
	gossipPeers         map[string]bool
	unresponsiveReports map[string]unresponsiveReport
	states              []MemberState
	statesAt            bootclock.Instant
	reports             map[string]Report
	cfg                 *config.Compiled
	head                confstore.Head
	loading             int64 // revision being loaded, 0 if none
	// decidedVersion is the version of the latest head whose configuration was either put in force
	// or skipped.
	decidedVersion objstore.Version
	// freshAt is the latest instant at which the configuration in force is known to have been the
	// newest one.
	freshAt bootclock.Instant
	dirty   bool
}

// New returns a loop. The caller must call Run.
func New(o Options) *Loop {
	l := &Loop{
		o:                   o,
		logger:              log.With(o.Logger, "component", "control"),
		events:              make(chan any, eventQueueSize),
		contacts:            map[string]*contact{},
		unresponsiveReports: map[string]unresponsiveReport{},
		reports:             map[string]Report{},
	}
	l.publish()
	return l
}

// Snapshot returns the latest snapshot without blocking.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Events of the loop.
type (
	heartbeatReceived struct {
		from *peerpb.Identity
		beat *peerpb.Heartbeat
		// isResponse is true for the response to a heartbeat of this process.
		isResponse bool
		// agreedAt is an instant at which the sender held nothing newer than this
		// process, 0 if no such instant is known.
		agreedAt bootclock.Instant
	}
	heartbeatFailed struct{ name, incarnation string }
	engineReported  struct {
		name   string
		report Report
	}
	configLoaded struct {
		head confstore.Head
		// version is the version of the head object.
		version objstore.Version
		cfg     *config.Compiled
		err     error
	}
)

// heartbeatArrived passes a member's heartbeat to the loop. It never blocks: if the
// event queue is full, the heartbeat is dropped.
func (l *Loop) heartbeatArrived(from *peerpb.Identity, beat *peerpb.Heartbeat) {
	l.send(heartbeatReceived{from: from, beat: beat})
}

// responseArrived passes the response to a heartbeat of this process to the loop. The
// parameter sent is the instant at which that heartbeat was sent.
func (l *Loop) responseArrived(from *peerpb.Identity, beat *peerpb.Heartbeat, sent bootclock.Instant) {
	e := heartbeatReceived{from: from, beat: beat, isResponse: true}
	if beat.GetMirrorRevision() <= int64(l.o.Mirror.Revision()) {
		e.agreedAt = sent
	}
	l.send(e)
}

// EngineReported passes an engine's status to the loop.
func (l *Loop) EngineReported(name string, r Report) { l.send(engineReported{name, r}) }

func (l *Loop) send(e any) {
	select {
	case l.events <- e:
	default:
		metrics.GetOrRegisterCounter("control.events_dropped", l.o.Metrics).Inc(1)
	}
}

// Run processes events until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	tick := time.NewTicker(publishInterval)
	defer tick.Stop()
	stale := time.NewTicker(l.o.Heartbeat)
	defer stale.Stop()
	changed := l.o.Mirror.Changed()
	l.mirrorChanged(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = l.o.Mirror.Changed()
			l.mirrorChanged(ctx)
		case e := <-l.events:
			l.handle(ctx, e)
		case <-stale.C:
			l.dirty = true
		case <-tick.C:
			if l.dirty {
				l.publish()
			}
		}
	}
}

func (l *Loop) handle(ctx context.Context, e any) {
	l.dirty = true
	switch e := e.(type) {
	case heartbeatReceived:
		l.recordHeartbeat(e)
	case heartbeatFailed:
		l.recordFailure(e)
	case engineReported:
		if e.report.Err != nil {
			e.report.Status = l.reports[e.name].Status
			e.report.Failures = l.reports[e.name].Failures + 1
		}
		l.reports[e.name] = e.report
	case configLoaded:
		l.applyConfig(ctx, e)
	}
}

func (l *Loop) recordHeartbeat(e heartbeatReceived) {
	c := l.contact(e.from.GetName(), e.from.GetIncarnation())
	if c == nil {
		return // from an earlier run of the member
	}
	c.failures = 0
	c.lastContact, c.lastHeartbeat = bootclock.Now(), e.beat
	if e.isResponse {
		c.lastLoads = e.beat
	}
	c.agreedAt = max(c.agreedAt, e.agreedAt)
	l.recordUnresponsive(e.beat.GetSilent())
}

// contact returns the contact of a run of a member, and creates it if necessary. It
// returns nil if a later run of the member is known.
func (l *Loop) contact(name, incarnation string) *contact {
	c := l.contacts[name]
	if c == nil || c.incarnation < incarnation {
		c = &contact{incarnation: incarnation}
		l.contacts[name] = c
	}
	if c.incarnation != incarnation {
		return nil
	}
	return c
}

func (l *Loop) recordFailure(e heartbeatFailed) {
	if c := l.contact(e.name, e.incarnation); c != nil {
		c.failures++
		c.failedAt = bootclock.Now()
	}
}

// recordUnresponsive records another process's reports on unresponsive members.
func (l *Loop) recordUnresponsive(all []*peerpb.Silent) {
	for _, s := range all {
		at := bootclock.Now().Add(-time.Duration(s.GetAgeMs()) * time.Millisecond)
		if old, ok := l.unresponsiveReports[s.GetName()]; ok && old.incarnation == s.GetIncarnation() && old.at >= at {
			continue
		}
		l.unresponsiveReports[s.GetName()] = unresponsiveReport{s.GetIncarnation(), at}
	}
}

// unresponsive returns the members that are unresponsive according to this process or
// to reports that it has received.
func (l *Loop) unresponsive() []*peerpb.Silent {
	var out []*peerpb.Silent
	for name, c := range l.contacts {
		if l.gossipPeers[name] && c.unresponsive(l.o.Heartbeat) {
			out = append(out, &peerpb.Silent{Name: name, Incarnation: c.incarnation, AgeMs: millisSince(c.failedAt)})
		}
	}
	for name, s := range l.unresponsiveReports {
		c := l.contacts[name]
		contacted := c != nil && c.lastContact > s.at
		if contacted || bootclock.Since(s.at) > unresponsiveReportTTL {
			delete(l.unresponsiveReports, name)
		} else if c == nil || !c.unresponsive(l.o.Heartbeat) {
			out = append(out, &peerpb.Silent{Name: name, Incarnation: s.incarnation, AgeMs: millisSince(s.at)})
		}
	}
	return out
}

func millisSince(at bootclock.Instant) uint32 { return uint32(bootclock.Since(at).Milliseconds()) }

// mirrorChanged reads the members, orders, leaving hosts and the configuration head
// from the mirror.
func (l *Loop) mirrorChanged(ctx context.Context) {
	l.registered = members.Parse(l.o.Mirror.List(members.KeyPrefix))
	names := map[string]bool{}
	for _, m := range l.registered {
		names[m.Name] = true
	}
	l.gossipPeers = map[string]bool{}
	for _, m := range members.GossipPeers(l.registered, l.o.Self.Name) {
		l.gossipPeers[m.Name] = true
	}
	for name := range l.contacts {
		if !names[name] && bootclock.Since(l.contacts[name].lastContact) > loadRetentionIntervals*l.o.Heartbeat {
			delete(l.contacts, name)
		}
	}
	l.states = nil
	l.readState()
	l.loadNewest(ctx)
	l.publish()
}

// readState reads the orders and the leaving hosts from the mirror.
func (l *Loop) readState() {
	l.readLeaving()
	l.orders = map[string]orders.Record{}
	for _, obj := range l.o.Mirror.List(orders.KeyPrefix) {
		rec, err := orders.ParseRecord(obj)
		if err != nil {
			level.Error(l.logger).Log("msg", "order record cannot be decoded", "err", err)
			continue
		}
		l.orders[rec.Engine] = rec
	}
}

// readLeaving reads the leaving hosts from the mirror. If the list cannot be decoded, the previous
// one stays in force, since requests would otherwise be sent to leaving hosts again.
func (l *Loop) readLeaving() {
	obj, ok := l.o.Mirror.Get(LeavingKey)
	if !ok {
		l.leaving = nil
		return
	}
	hosts, err := ParseLeaving(obj)
	if err != nil {
		level.Error(l.logger).Log("msg", "list of leaving hosts cannot be decoded", "version", obj.Version, "err", err)
		return
	}
	l.leaving = make(map[string]bool, len(hosts))
	for _, host := range hosts {
		l.leaving[host] = true
	}
}

// loadNewest starts to load the configuration of the mirrored head, if that is newer
// than the configuration in force and no load is in progress.
func (l *Loop) loadNewest(ctx context.Context) {
	obj, ok := l.o.Mirror.Get(confstore.HeadKey)
	if !ok || l.loading != 0 {
		return
	}
	a, err := confstore.ParseHead(obj)
	if err != nil {
		level.Error(l.logger).Log("msg", "configuration head cannot be decoded", "err", err)
	}
	if err != nil || a.Head.Revision <= l.head.Revision {
		l.decidedVersion = obj.Version
		return
	}
	l.loading = a.Head.Revision
	go func() {
		loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		cfg, err := l.o.Loader.Load(loadCtx, a.Head)
		if err != nil {
			select {
			case <-time.After(loadRetryDelay):
			case <-ctx.Done():
			}
		}
		select {
		case l.events <- configLoaded{a.Head, obj.Version, cfg, err}:
		case <-ctx.Done(): // nothing takes it from the queue any more
		}
	}()
}

// applyConfig puts a loaded configuration in force if it is newer than the current one.
func (l *Loop) applyConfig(ctx context.Context, e configLoaded) {
	l.loading = 0
	if !fault.Is(e.err, fault.Unavailable) { // an unusable configuration is skipped for good, and the previous one stays in force
		l.decidedVersion = e.version
	}
	if e.err != nil {
		level.Warn(l.logger).Log("msg", "cannot load configuration", "revision", e.head.Revision, "err", e.err)
	} else if e.head.Revision > l.head.Revision {
		l.cfg, l.head = e.cfg, e.head
		for name := range l.reports {
			if l.cfg.Targets[name] == nil {
				delete(l.reports, name)
			}
		}
		level.Info(l.logger).Log("msg", "configuration in force", "revision", e.head.Revision, "change", e.head.ChangeID, "author", e.head.Author)
		l.publish()
	}
	l.loadNewest(ctx)
}

// publish stores a snapshot of the current state for the other goroutines.
func (l *Loop) publish() {
	l.dirty = false
	if l.states == nil || bootclock.Since(l.statesAt) >= memberStateInterval {
		l.states, l.statesAt = l.memberStates(), bootclock.Now()
	}
	unresponsive := l.unresponsive()
	states := l.states
	s := &Snapshot{
		Config:       l.cfg,
		Revision:     l.head.Revision,
		ChangeID:     l.head.ChangeID,
		Members:      states,
		PeerLoads:    l.peerLoads(),
		Demand:       l.peerDemand(),
		Reports:      make(map[string]Report, len(l.reports)),
		Orders:       l.orders,
		Leaving:      l.leaving,
		Unresponsive: unresponsive,
	}
	for name, r := range l.reports {
		s.Reports[name] = r
	}
	for _, m := range states {
		if m.Health.IsAlive() {
			s.Serving++
		}
	}
	fresh := l.majorityAgreedAt(states)
	if age := l.o.Mirror.Age(); age != mirror.NeverConfirmed {
		fresh = max(fresh, bootclock.Now().Add(-age))
	}
	if !l.hasUndecidedConfig() {
		l.freshAt = max(l.freshAt, fresh)
	}
	s.FreshUntil = l.freshAt.Add(l.o.StaleAfter)
	l.snapshot.Store(s)
}

// hasUndecidedConfig reports whether the mirror holds a configuration that has been neither put in
// force nor skipped. As long as it does, a current mirror does not make the configuration in force
// fresh: a process that was paused would otherwise resume serving under an old configuration.
func (l *Loop) hasUndecidedConfig() bool {
	obj, ok := l.o.Mirror.Get(confstore.HeadKey)
	return ok && obj.Version != l.decidedVersion
}

// kthMostRecent returns the k-th latest instant, or 0 if there are fewer than k.
func kthMostRecent(at []bootclock.Instant, k int) bootclock.Instant {
	if len(at) < k {
		return 0
	}
	slices.SortFunc(at, func(a, b bootclock.Instant) int { return cmp.Compare(b, a) })
	return at[k-1]
}
