// Package discovery keeps a process's view of the deployment up to date. A few processes of
// a fleet, the watchers, watch the object store. The schedulers follow a watcher, and all
// other processes follow a scheduler. A process that follows another one reads the store
// directly only if no scheduler answers or if the data that it received is too old. One
// goroutine owns the state and publishes immutable views; the other goroutines only fetch.
package discovery

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// Feeds: the kinds of objects that a process keeps up to date.
const (
	feedConfig    feedName = "config"
	feedInstances feedName = "instances"
	feedRules     feedName = "rules"
	feedMembers   feedName = "members"
)

// Prefixes are the key prefixes of the feeds and of the directory in the store.
type Prefixes struct{ Config, Instances, Rules, Members, Directory string }

// Options of a Discovery.
type Options struct {
	// Self is the registration of this process, and RunID identifies this start of it.
	Self  members.Member
	RunID string
	// Relay fetches updates from schedulers.
	Relay Relay
	// IsUnresponsive reports whether a scheduler has been unresponsive for so long that another one
	// takes its place. If nil, all schedulers are taken to be responsive.
	IsUnresponsive func(name string) bool
	// OnUnregistered, unless nil, is called when this process may have lost its registration.
	OnUnregistered func()
	// OnStoreRestored, unless nil, is called when the store was restored from an older snapshot,
	// which may lack the registration of this process.
	OnStoreRestored func()
	// Store reads current data. It must bound each page of a list by StoreCallTimeout.
	Store objstore.Store
	// Stale is the same store with reads that may be seconds old, used for rules and members.
	Stale    objstore.Store
	Prefixes Prefixes
	// DecodeConfig and DecodeInstance decode stored objects. They report those that cannot be decoded, which are then ignored.
	DecodeConfig   func(objstore.Object) (*fleet.Config, error)
	DecodeInstance func(objstore.Object) (*fleet.Instance, error)
	// RedactConfig returns a copy of a stored configuration without secrets, for other processes. If
	// nil, the configuration is passed on unchanged.
	RedactConfig func(objstore.Object) objstore.Object
	// MaxConfigStaleness is the maximum staleness of the configuration: how long ago it may have been
	// confirmed to be the newest one. 0 means no limit.
	MaxConfigStaleness time.Duration
	// ApplyLimit is the time in which a change must be in force.
	ApplyLimit time.Duration
	// PropagationLimit is the time in which a change in the store must have
	// reached all processes.
	PropagationLimit time.Duration
	// SettleTime is the time after a network fault in which the view must be up to date again.
	SettleTime time.Duration
	// ExpiredRetention is how long an instance stays in use after its registration expired during
	// an outage of the store, counted from the end of the outage.
	ExpiredRetention time.Duration
	Metrics          metrics.Registry
	Logger           log.Logger
}

const (
	eventQueueSize = 256
	// watchWaitShare is the share of the settle time that a watch waits for changes, and
	// answerTimeoutShare the share of the apply limit that its answer may take
	// beyond that wait. Together they leave time for another read after a watch whose
	// connection was cut silently.
	watchWaitShare     = 0.65
	answerTimeoutShare = 0.25
	// slowWatchFactor is how much longer the watches of rules and members wait than those of
	// the configuration and the instances. A change ends any watch at once; the longer wait
	// only delays the detection of a connection that was cut silently.
	slowWatchFactor = 4
	// stalenessWaitShare is the share of the maximum staleness that a watch waits at most. An
	// answer confirms the configuration as of when the request was sent. The staleness
	// therefore reaches twice the wait before the next answer, and more in the processes that
	// receive it over a relay.
	stalenessWaitShare = 0.15
	// directReadStalenessShare is the share of the maximum staleness from which on a process that
	// follows another one reads the store directly.
	directReadStalenessShare = 0.6
	// relayedWaitShare is the share of the propagation limit that a watch waits at most where
	// other processes follow this one. Data older than this wait plus the relaying time then
	// shows that its source has lost the store.
	relayedWaitShare = 0.25
)

// Discovery owns a process's view of the deployment.
type Discovery struct {
	o      Options
	logger log.Logger
	events chan any
	view   atomic.Pointer[fleet.View]
	ready  chan struct{}
	feed   *feed.Feed
	// storeUnreachable is true while the last store call of any feed of this process failed. The
	// view's StoreUp may differ: in a follower it is the state that the scheduler reported.
	storeUnreachable atomic.Bool
	// sourceChanged wakes the refresher, as when the source loses the store. offers gets the processes that offer their
	// configuration.
	sourceChanged chan struct{}
	offers        chan members.Member
	// published holds a channel that is closed when the next view is published. unconfirmable is true if others were asked
	// for a confirmation of the configuration in vain, or if there are none.
	published     atomic.Pointer[chan struct{}]
	unconfirmable atomic.Bool
	// expectedInstances is the number of instances according to the directory.
	expectedInstances atomic.Int64

	// The goroutine of Run owns the fields below.
	cur       fleet.View
	era       era
	instances map[string]*fleet.Instance
	// changedIDs are the IDs of the instances that changed since the last view.
	changedIDs map[string]bool
	// pendingEvents are changes that have not been added to the feed yet.
	pendingEvents []objstore.Event
	// versions has the version of each instance, and removed the version and time of each
	// recent removal.
	versions map[string]objstore.Version
	removed  map[string]removal
	// rulesObject is the stored object of the rules in force. An empty value means that there
	// are no rules; its version is then the store's revision as of which there were none.
	rulesObject objstore.Object
	// configObject is the stored object of the configuration in force.
	configObject objstore.Object
	members      map[string]members.Member
	// unlistedMembers are the keys of members that were missing after the store was restored.
	// They have some time to register again.
	unlistedMembers map[string]bool
	// writtenDirectory is the directory that this process wrote last.
	writtenDirectory directory
	failingFeeds     map[feedName]bool
	// joined is true once this process has read the directory or the members.
	joined bool
	mode   mode
	// stopMode stops the goroutines of the current mode. appointedAt is when another process
	// named this one a watcher.
	stopMode    context.CancelFunc
	appointedAt bootclock.Instant
	// failingSince is when the current or the latest series of failed calls began. failedAt is
	// when a call of any feed last failed, and recoveredAt when a feed last succeeded after
	// failing.
	failingSince bootclock.Instant
	failedAt     bootclock.Instant
	recoveredAt  bootclock.Instant
	// prevConfirmedAt is the time as of which the registrations were known to be current before
	// the store's last answer about them, through this process's own reads or through a relay.
	prevConfirmedAt bootclock.Instant
	// prevOwnConfirmedAt is the same for this process's own reads alone. An update from another
	// process may contain registrations that have expired and that the other process still uses.
	prevOwnConfirmedAt bootclock.Instant
	// ownConfirmedAt is the time as of which this process's own reads last confirmed the
	// registrations.
	ownConfirmedAt bootclock.Instant
	// outage is true if the last answer about the registrations ended an outage of the store:
	// registrations missing from it may have expired because of the outage.
	outage  bool
	expired map[string]expiry
	// storeLossReportedAt and unconfirmedReportedAt are when the followers were last told of the loss of the store and of an
	// unconfirmed configuration.
	storeLossReportedAt, unconfirmedReportedAt bootclock.Instant
}

// New returns a Discovery. The caller must call Run.
func New(o Options) *Discovery {
	d := &Discovery{
		o: o, logger: log.With(o.Logger, "component", "discovery"), events: make(chan any, eventQueueSize), ready: make(chan struct{}), feed: feed.New(o.RunID),
		sourceChanged: make(chan struct{}, 1), offers: make(chan members.Member, maxPendingOffers),
		instances: map[string]*fleet.Instance{}, changedIDs: map[string]bool{}, versions: map[string]objstore.Version{}, removed: map[string]removal{},
		members: map[string]members.Member{}, failingFeeds: map[feedName]bool{}, expired: map[string]expiry{},
	}
	if d.o.IsUnresponsive == nil {
		d.o.IsUnresponsive = func(string) bool { return false }
	}
	if d.o.OnUnregistered == nil {
		d.o.OnUnregistered = func() {}
	}
	if d.o.OnStoreRestored == nil {
		d.o.OnStoreRestored = func() {}
	}
	if d.o.RedactConfig == nil {
		d.o.RedactConfig = func(obj objstore.Object) objstore.Object { return obj }
	}
	published := make(chan struct{})
	d.published.Store(&published)
	d.unconfirmable.Store(true) // until the refresher runs
	d.cur.StoreUp = true
	initial := d.cur
	initial.Index()
	d.view.Store(&initial)
	return d
}

// View returns the latest view. It never blocks.
func (d *Discovery) View() *fleet.View { return d.view.Load() }

// SetPublished sets the software versions that may begin streams.
func (d *Discovery) SetPublished(ctx context.Context, p *fleet.Published) { d.send(ctx, p) }

// Ready returns a channel that is closed once the view suffices to serve requests.
func (d *Discovery) Ready() <-chan struct{} { return d.ready }

// Feed returns the feed from which other processes follow this one.
func (d *Discovery) Feed() *feed.Feed { return d.feed }

// Run keeps the view up to date until ctx ends.
func (d *Discovery) Run(ctx context.Context) error {
	go d.join(ctx)
	expire := time.NewTicker(expiryInterval)
	defer expire.Stop()
	review := time.NewTicker(reviewInterval)
	defer review.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events:
			d.handleEvent(ctx, e)
		case <-expire.C:
			d.dropExpired()
		case <-review.C:
			d.reviewSchedulers(ctx)
		}
	}
}

func (d *Discovery) handleEvent(ctx context.Context, e any) {
	switch e := e.(type) {
	case feedFailure:
		d.recordFeedFailure(e)
	case feedUpdate:
		d.observeEra(e.revision, "store")
		d.recordStoreAnswer(e)
		d.apply(e)
	case schedulerUpdate:
		d.applySchedulerUpdate(e.RelayUpdate)
	case fetchedSnapshot:
		d.applyRelayUpdate(e.RelayUpdate)
	case configAnswer:
		d.applyConfigAnswer(e.ConfigUpdate)
	case configRead:
		d.applyConfigRead(e.feedUpdate)
	case configUnconfirmed:
		d.cur.ConfigUnconfirmed = bool(e)
	case directoryRead:
		d.joinFromDirectory(e.directory)
	case *fleet.Published:
		d.cur.Published = e
	}
	d.chooseMode(ctx)
	d.publish()
}

// recordFeedFailure records a failed store call of a feed.
func (d *Discovery) recordFeedFailure(e feedFailure) {
	if !d.failingFeeds[e.feed] {
		level.Warn(d.logger).Log("msg", "store lost", "feed", e.feed, "err", e.err)
	}
	d.count("store_errors")
	now := bootclock.Now()
	if len(d.failingFeeds) == 0 {
		d.failingSince = now
	}
	d.failingFeeds[e.feed] = true
	d.failedAt = now
	d.cur.StoreUp = false
}

// recordStoreAnswer records that the store answered a call. The confirmation times are those
// in c, not the time of arrival: when answers were delayed by 30 ms and the arrival counted,
// other processes took the data for 1 ms old.
func (d *Discovery) recordStoreAnswer(c feedUpdate) {
	f, now := c.feed, bootclock.Now()
	if f == feedInstances {
		d.prevConfirmedAt, d.outage = d.cur.InstancesConfirmedAt, false
		d.prevOwnConfirmedAt, d.ownConfirmedAt = d.ownConfirmedAt, c.confirmedAt
	}
	if d.failingFeeds[f] {
		level.Info(d.logger).Log("msg", "store regained", "feed", f)
		delete(d.failingFeeds, f)
		d.recoveredAt = now
		if f == feedInstances {
			d.assessOutage(now)
		}
	}
	d.cur.StoreUp = len(d.failingFeeds) == 0
	switch f {
	case feedConfig:
		d.confirmConfig(c.confirmedAt, c.askedAt)
	case feedInstances:
		d.cur.InstancesConfirmedAt = max(d.cur.InstancesConfirmedAt, c.confirmedAt)
	}
}

func (d *Discovery) apply(c feedUpdate) {
	switch c.feed {
	case feedConfig:
		d.applyConfig(c)
	case feedInstances:
		d.applyInstances(c)
	case feedRules:
		d.applyRules(c)
	case feedMembers:
		d.applyMembers(c)
	}
}

// mainObject is the name of the only object that counts as the configuration, and likewise of
// the rules and the directory.
const mainObject = "main"

// applyConfig adopts a newer configuration. One that cannot be decoded leaves the last
// valid one in force.
func (d *Discovery) applyConfig(c feedUpdate) {
	for _, e := range c.events {
		obj := e.Object
		if e.Deleted || objectName(obj.Key) != mainObject {
			continue // the configuration in force is kept
		}
		cfg, err := d.o.DecodeConfig(obj)
		if err != nil {
			level.Error(d.logger).Log("msg", "configuration left out", "key", obj.Key, "revision", obj.Version, "err", err)
			d.count("configs_rejected")
			continue
		}
		if d.cur.Config != nil && !d.supersedes(cfg, obj) {
			continue
		}
		d.cur.Config, d.configObject = cfg, obj
		if !c.relayed { // the sender of a relayed one has removed the secrets
			obj = d.o.RedactConfig(obj)
		}
		d.queueEvent(objstore.Event{Object: obj})
		d.reportConfigInForce(cfg, obj.Version, c.relayed)
	}
}

// reportConfigInForce logs a configuration and, unless it is the first one, how long at most it has existed.
func (d *Discovery) reportConfigInForce(cfg *fleet.Config, revision objstore.Version, relayed bool) {
	fields := []any{"msg", "configuration in force", "version", cfg.Version, "revision", revision, "relayed", relayed, "routes", len(cfg.Routes), "workspaces", cfg.Workspaces()}
	if d.cur.ConfigFreshAt != 0 {
		unconfirmedFor := bootclock.Since(d.cur.ConfigFreshAt)
		metrics.GetOrRegisterTimer("discovery.config_delay_max", d.o.Metrics).Update(unconfirmedFor)
		fields = append(fields, "unconfirmed_for", unconfirmedFor.Round(time.Millisecond))
	}
	level.Info(d.logger).Log(fields...)
}

// supersedes reports whether a configuration replaces the one in force. Versions never go
// back, even if the store was restored from an older snapshot. If the operator reuses a
// version number that the store lost in a restore, the new configuration wins.
func (d *Discovery) supersedes(cfg *fleet.Config, obj objstore.Object) bool {
	rewritten := obj.Version.Era() > d.configObject.Version.Era() && !d.era.mayPredateRestore(obj.Version) && !bytes.Equal(obj.Value, d.configObject.Value)
	return cfg.Version > d.cur.Config.Version || cfg.Version == d.cur.Config.Version && rewritten
}

func (d *Discovery) applyMembers(c feedUpdate) {
	if !c.full && len(c.events) == 0 {
		return
	}
	if c.full {
		d.resetMembers()
	}
	for _, e := range c.events {
		delete(d.unlistedMembers, e.Object.Key)
		if e.Deleted {
			delete(d.members, e.Object.Key)
			continue
		}
		if m, ok := members.Decode(e.Object); ok {
			d.members[e.Object.Key] = m
		}
	}
	d.cur.Processes = len(d.members)
	if _, listed := d.members[d.o.Prefixes.Members+d.o.Self.Name]; !listed && d.joined {
		d.o.OnUnregistered()
	}
	d.joined = true
	d.updateSchedulers()
	level.Info(d.logger).Log("msg", "members", "registered", len(d.members))
}

// queueEvent adds a change to the feed with the next view.
func (d *Discovery) queueEvent(e objstore.Event) { d.pendingEvents = append(d.pendingEvents, e) }

// publish makes the current state visible to readers. The new view shares everything that
// has not changed with the previous one: copying 10,000 instances at each answer of the store
// or a scheduler takes most of a small host's CPU.
func (d *Discovery) publish() {
	v := d.cur
	v.Instances = d.instances
	v.IndexChanges(d.view.Load(), d.changedIDs)
	clear(d.changedIDs)
	d.feed.Apply(d.pendingEvents) // before the view: its ages must hold for a feed that is read after the view
	d.pendingEvents = nil
	before := d.view.Swap(&v)
	next := make(chan struct{})
	close(*d.published.Swap(&next))
	if before.StoreUp && !v.StoreUp {
		d.reportLoss(&d.storeLossReportedAt)
	}
	if !before.ConfigUnconfirmed && v.ConfigUnconfirmed {
		d.reportLoss(&d.unconfirmedReportedAt)
	}
	d.storeUnreachable.Store(len(d.failingFeeds) > 0)
	if v.Ready() {
		select {
		case <-d.ready:
		default:
			close(d.ready)
		}
	}
}

// lossReportShare is the minimum time between two reports of the same kind of loss, as a share of the propagation limit. A
// store that fails every other call would otherwise wake all followers several times a second.
const lossReportShare = 0.25

// reportLoss ends the long polls of the followers, so that they learn of a loss at once, unless one was reported at
// reportedAt, shortly before.
func (d *Discovery) reportLoss(reportedAt *bootclock.Instant) {
	d.wakeRefresher()
	now := bootclock.Now()
	if *reportedAt != 0 && now.Sub(*reportedAt) < d.shareOfLimit(lossReportShare) {
		return
	}
	*reportedAt = now
	d.feed.Wake()
}

// wakeRefresher has the refresher check at once whether the configuration must be confirmed.
func (d *Discovery) wakeRefresher() {
	select {
	case d.sourceChanged <- struct{}{}:
	default:
	}
}

func (d *Discovery) count(name string) {
	metrics.GetOrRegisterCounter("discovery."+name, d.o.Metrics).Inc(1)
}

func objectName(key string) string { return key[strings.IndexByte(key, '/')+1:] }

// keyPrefix returns the prefix of a key, including the slash.
func keyPrefix(key string) string { return key[:strings.IndexByte(key, '/')+1] }
