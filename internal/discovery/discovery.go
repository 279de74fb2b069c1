// Package discovery keeps a process's view of the deployment up to date. A few processes of
// a fleet watch the object store; the schedulers follow one of these, and the others follow
// a scheduler. They look at the store themselves only while none answers. One goroutine
// owns the state and publishes immutable views; followers only fetch.
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

// Kinds of objects that are followed.
const (
	feedConfig    source = "config"
	feedInstances source = "instances"
	feedRules     source = "rules"
	feedMembers   source = "members"
)

// Prefixes are where the feeds are in the store.
type Prefixes struct{ Config, Instances, Rules, Members, Directory string }

// Options of a Discovery.
type Options struct {
	// Self is this process as it registers, Run names this run of it.
	Self  members.Member
	RunID string
	// Relay follows a scheduler.
	Relay Relay
	// IsUnresponsive reports whether a scheduler has not answered for so long that another one
	// takes its place; nil if that is not known.
	IsUnresponsive func(name string) bool
	// OnUnregistered is called when this process may not be registered any more; nil if nobody
	// wants to know.
	OnUnregistered func()
	// OnStoreRestored is called when the store came back from an older copy, which may lack the
	// registration of this process; nil if nobody wants to know.
	OnStoreRestored func()
	// Store bounds each page of a list by AnswerWithin.
	Store objstore.Store
	// Stale is the same store for what may be seconds old: rules and members.
	Stale    objstore.Store
	Prefixes Prefixes
	// DecodeConfig and DecodeInstance decode stored objects.
	DecodeConfig   func(objstore.Object) (*fleet.Config, error)
	DecodeInstance func(objstore.Object) (*fleet.Instance, error)
	// RedactConfig returns a configuration of the store as other processes may have it, without
	// secrets; nil leaves it as it is.
	RedactConfig func(objstore.Object) objstore.Object
	// MaxConfigStaleness is how old the proof may get that the configuration is the newest one; 0 is no
	// bound.
	MaxConfigStaleness time.Duration
	// ApplyLimit is within what time a change must be in force.
	ApplyLimit time.Duration
	// PropagationLimit is in what time a change in the store must have reached everybody.
	PropagationLimit time.Duration
	// SettleTime is within what time after a fault of the network the view is up to date.
	SettleTime time.Duration
	// ExpiredRetention is how long an instance is used whose registration went while the
	// store was away, counted from the store's return.
	ExpiredRetention time.Duration
	Metrics          metrics.Registry
	Logger           log.Logger
}

const (
	eventQueue = 256
	// waitShare is the part of the time to settle that a watch waits, answerShare that of
	// the time in which a change must be in force that its answer may take beyond that.
	// Together they leave time to look again after a watch that was cut silently.
	waitShare   = 0.65
	answerShare = 0.25
	// slowFactor is how much longer the watches of rules and members wait than
	// those of the configuration and the instances. A change ends them at once; only
	// a silent cut is noticed later.
	slowFactor = 4
	// proveShare is the part of Prove that a watch waits at the most. The proof is as old as
	// the question, so it gets twice as old before the next answer, and older on the way to
	// others.
	proveShare = 0.15
	// proveAloneShare is the part of Prove from which on a process that follows others asks
	// the store itself.
	proveAloneShare = 0.6
	// sharedShare is the part of Within that a watch waits at the most in a fleet in which
	// others follow this process: a copy that is older than the watch and the way to it is
	// that of a process which is cut off from the store.
	sharedShare = 0.25
)

// Discovery owns what a process believes about the deployment.
type Discovery struct {
	o      Options
	logger log.Logger
	events chan any
	view   atomic.Pointer[fleet.View]
	ready  chan struct{}
	feed   *feed.Feed
	// storeLost is true while the store has not answered the last call of a feed of this
	// process. What the view says of the store is that of the process that is followed.
	storeLost atomic.Bool
	// expected is how many instances the directory said that there are.
	expected atomic.Int64

	// The rest belongs to the goroutine of Run.
	cur       fleet.View
	era       era
	instances map[string]*fleet.Instance
	// touched are the IDs of the instances that have changed since the last view.
	touched map[string]bool
	// news are changes that are not in the feed yet.
	news []objstore.Event
	// versions are those of the instances, gone the versions at which instances went.
	versions map[string]objstore.Version
	gone     map[string]departure
	// rulesObject is the rules in force as they were read. Without a value there are none, and its
	// version is the store's revision at which that was so.
	rulesObject objstore.Object
	// configObject is the configuration in force as it was read.
	configObject objstore.Object
	members      map[string]members.Member
	// unlisted are members that a copy with which the store came back lacks, and that have time to
	// register again.
	unlisted map[string]bool
	// written is the directory that this process wrote last.
	written directory
	down    map[source]bool
	// joined is true once this process has read the directory or the members.
	joined bool
	mode   mode
	// stopMode ends the followers of the mode, appointed is since when another process
	// wants this one to watch the store.
	stopMode  context.CancelFunc
	appointed bootclock.Instant
	// lostAt is since when calls have been failing, or were before the store was back. failedAt is
	// when a call of any feed failed last, backAt when a feed succeeded for the first time after that.
	lostAt   bootclock.Instant
	failedAt bootclock.Instant
	backAt   bootclock.Instant
	// confirmedAt is when the store confirmed the registrations before its last answer about
	// them.
	confirmedAt bootclock.Instant
	// listedAt is the same without what other processes confirmed: copies may have what has lapsed there.
	listedAt bootclock.Instant
	// answeredAt is when the store confirmed the registrations to this process last.
	answeredAt bootclock.Instant
	// absence is true if the registrations of the last answer went while the store was away.
	absence bool
	lapsed  map[string]lapse
}

// New returns a discovery that has to be run.
func New(o Options) *Discovery {
	d := &Discovery{
		o: o, logger: log.With(o.Logger, "component", "discovery"), events: make(chan any, eventQueue), ready: make(chan struct{}), feed: feed.New(o.RunID),
		instances: map[string]*fleet.Instance{}, touched: map[string]bool{}, versions: map[string]objstore.Version{}, gone: map[string]departure{},
		members: map[string]members.Member{}, down: map[source]bool{}, lapsed: map[string]lapse{},
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
	d.cur.StoreUp = true
	first := d.cur
	first.Index()
	d.view.Store(&first)
	return d
}

// View returns the latest view. It never blocks.
func (d *Discovery) View() *fleet.View { return d.view.Load() }

// Ready is closed once the view suffices to serve requests.
func (d *Discovery) Ready() <-chan struct{} { return d.ready }

// Feed returns what this process has of the deployment, for the others.
func (d *Discovery) Feed() *feed.Feed { return d.feed }

// Run keeps the view until ctx ends.
func (d *Discovery) Run(ctx context.Context) error {
	go d.join(ctx)
	lapse := time.NewTicker(lapseTick)
	defer lapse.Stop()
	review := time.NewTicker(reviewEvery)
	defer review.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events:
			d.handle(ctx, e)
		case <-lapse.C:
			d.dropLapsed()
		case <-review.C:
			d.reviewSchedulers(ctx)
		}
	}
}

func (d *Discovery) handle(ctx context.Context, e any) {
	switch e := e.(type) {
	case lostStore:
		d.lost(e)
	case changed:
		d.seeEra(e.revision, "store")
		d.answered(e)
		d.apply(e)
	case followed:
		d.adopt(e.RelayUpdate)
	case copied:
		d.takeIn(e.RelayUpdate)
	case directoryRead:
		d.joinBy(e.directory)
	}
	d.chooseMode(ctx)
	d.publish()
}

// lost records that the store does not answer.
func (d *Discovery) lost(e lostStore) {
	if !d.down[e.feed] {
		level.Warn(d.logger).Log("msg", "store lost", "feed", e.feed, "err", e.err)
	}
	d.count("store_errors")
	now := bootclock.Now()
	if len(d.down) == 0 {
		d.lostAt = now
	}
	d.down[e.feed] = true
	d.failedAt = now
	d.cur.StoreUp = false
}

// answered records that the store has answered a question. Others go by the age of what it said, which
// counts from when it can have been given at the latest: answers held back by 30 ms made copies that
// were taken for 1 ms old.
func (d *Discovery) answered(c changed) {
	f, now := c.feed, bootclock.Now()
	if f == feedInstances {
		d.confirmedAt, d.absence = d.cur.InstancesConfirmedAt, false
		d.listedAt, d.answeredAt = d.answeredAt, c.confirmed
	}
	if d.down[f] {
		level.Info(d.logger).Log("msg", "store regained", "feed", f)
		delete(d.down, f)
		d.backAt = now
		if f == feedInstances {
			d.returned(now)
		}
	}
	d.cur.StoreUp = len(d.down) == 0
	switch f {
	case feedConfig:
		d.cur.ConfigConfirmedAt = max(d.cur.ConfigConfirmedAt, c.confirmed)
		d.cur.ConfigFreshAt = max(d.cur.ConfigFreshAt, c.asked)
	case feedInstances:
		d.cur.InstancesConfirmedAt = max(d.cur.InstancesConfirmedAt, c.confirmed)
	}
}

func (d *Discovery) apply(c changed) {
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

// mainName is the name of the configuration, and of the rules, among objects of their kinds.
const mainName = "main"

// applyConfig adopts a newer configuration. One that cannot be decoded leaves
// the last good one in force.
func (d *Discovery) applyConfig(c changed) {
	for _, e := range c.events {
		obj := e.Object
		if e.Deleted || nameOf(obj.Key) != mainName {
			continue // the last one stays in force
		}
		cfg, err := d.o.DecodeConfig(obj)
		if err != nil {
			level.Error(d.logger).Log("msg", "configuration left out", "key", obj.Key, "revision", obj.Version, "err", err)
			d.count("configs_rejected")
			continue
		}
		if d.cur.Config != nil && !d.replaces(cfg, obj) {
			continue
		}
		d.cur.Config, d.configObject = cfg, obj
		if !c.settled { // another process has hidden what it told
			obj = d.o.RedactConfig(obj)
		}
		d.tell(objstore.Event{Object: obj})
		level.Info(d.logger).Log("msg", "configuration in force", "version", cfg.Version, "revision", obj.Version, "routes", len(cfg.Routes), "workspaces", cfg.Workspaces())
	}
}

// replaces reports whether a configuration takes the place of the one in force. It never goes
// back, also if the store does. One that the operator has written anew under the number of one
// that the store lost goes before that.
func (d *Discovery) replaces(cfg *fleet.Config, obj objstore.Object) bool {
	anew := obj.Version.Era() > d.configObject.Version.Era() && !d.era.ofCopy(obj.Version) && !bytes.Equal(obj.Value, d.configObject.Value)
	return cfg.Version > d.cur.Config.Version || cfg.Version == d.cur.Config.Version && anew
}

func (d *Discovery) applyMembers(c changed) {
	if !c.reset && len(c.events) == 0 {
		return
	}
	if c.reset {
		d.resetMembers()
	}
	for _, e := range c.events {
		delete(d.unlisted, e.Object.Key)
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
	d.nameSchedulers()
	level.Info(d.logger).Log("msg", "members", "registered", len(d.members))
}

// tell has a change told to those that copy this process's feed, with the next view.
func (d *Discovery) tell(e objstore.Event) { d.news = append(d.news, e) }

// publish makes the present state visible. What has not changed is shared with the view before: at
// 10,000 instances a copy of all for each answer of the store or a scheduler takes most of what a small
// host has.
func (d *Discovery) publish() {
	v := d.cur
	v.Instances = d.instances
	v.IndexChanges(d.view.Load(), d.touched)
	clear(d.touched)
	d.feed.Apply(d.news) // before the view, whose ages hold for who copies the feed after it
	d.news = nil
	d.view.Store(&v)
	d.storeLost.Store(len(d.down) > 0)
	if v.Ready() {
		select {
		case <-d.ready:
		default:
			close(d.ready)
		}
	}
}

func (d *Discovery) count(name string) {
	metrics.GetOrRegisterCounter("discovery."+name, d.o.Metrics).Inc(1)
}

func nameOf(key string) string { return key[strings.IndexByte(key, '/')+1:] }

// kindOf returns the prefix of a key: its kind and a slash.
func kindOf(key string) string { return key[:strings.IndexByte(key, '/')+1] }
