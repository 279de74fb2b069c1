package discovery

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// A process receives changes of the configuration from the scheduler or watcher that it follows, its source. While the
// source has no contact with the store, the process confirms its configuration in other ways, which run at the same
// time, so that their delays don't add up: it asks other schedulers, and reads the store. If no scheduler reaches the
// store, the other processes that reach it offer the schedulers what they have read.

// Shares of the propagation limit.
const (
	// hopShare is by how much the configuration ages with each process between the store and this one.
	hopShare = 0.1
	// overdueShare is how much older than without faults the configuration gets before a process asks others.
	overdueShare = 0.05
	// lostSourceShare is the age from which on a scheduler asks others if its source is known to have lost the store.
	lostSourceShare = 0.05
	// schedulerRoundShare and followerRoundShare are the intervals between two rounds of calls.
	schedulerRoundShare = 0.0625
	followerRoundShare  = 0.125
	// followerReadShare is the age from which on a process that is no scheduler reads the store, and
	// followerReadPauseShare the minimum time between two such reads.
	followerReadShare      = 0.6
	followerReadPauseShare = 0.25
)

const (
	// followerPeers is how many schedulers a process that is no scheduler asks in a round. A scheduler asks all others.
	followerPeers = 2
	// maxRoundBackoff and maxReadBackoff bound how many times longer the intervals between rounds and between reads get
	// if more than quickRetries of these fail.
	maxRoundBackoff = 2
	maxReadBackoff  = 4
	quickRetries    = 2
	// readsPerSecond bounds how often the processes of a fleet that are no schedulers read the store, all together.
	readsPerSecond = 100
	// maxPendingOffers is how many offers of other processes wait to be looked at.
	maxPendingOffers = 4
)

// ConfigVersions are the versions of the stored configuration and rules that a process has, 0 if it has none.
type ConfigVersions struct{ Config, Rules objstore.Version }

// ConfigUpdate is what another process knows of the configuration.
type ConfigUpdate struct {
	// From is the name of the process.
	From string
	// Objects are the configuration and the rules as far as they differ from the versions that the caller has.
	Objects []objstore.Object
	// ConfirmedAt and FreshAt are like ConfigConfirmedAt and ConfigFreshAt of a view, on the clock of this process.
	ConfirmedAt, FreshAt bootclock.Instant
	// StoreUp is true if the store responds to the source of the process.
	StoreUp bool
	// InstancesRevision is the store's revision up to which the other process knows the registrations.
	InstancesRevision objstore.Revision
}

// configAnswer is the event of an answer of another process about the configuration.
type configAnswer struct{ ConfigUpdate }

// configRead is the event of a read of the configuration besides the watches. It says nothing about the state of these.
type configRead struct{ feedUpdate }

// configUnconfirmed is the event that a scheduler found no confirmation of its configuration, or found one again.
type configUnconfirmed bool

// refreshInputs are the facts that decide when a process confirms its configuration in other ways than through its source.
type refreshInputs struct {
	limit, watchWait     time.Duration
	watching, scheduling bool
	// others is the number of schedulers that can be asked.
	others int
	// age is the time since the configuration was last confirmed.
	age time.Duration
	// sourceLost is true if the source is known to have lost the store. readsWanted is true if the followed scheduler has
	// found no other confirmation either.
	sourceLost, readsWanted bool
	// sinceRound is the time since the last round of calls to other processes, and failedRounds how many rounds in a row
	// found nobody whose source has the store. sinceRead and failedReads are the same for reads of the store.
	sinceRound, sinceRead     time.Duration
	failedRounds, failedReads int
	// readDelay is the time that a process which is no scheduler lets pass before its next read of the store.
	readDelay time.Duration
}

// refreshPlan says what to do now. If there is nothing to do, wait is the time until there may be.
type refreshPlan struct {
	peers int
	read  bool
	wait  time.Duration
}

func (in *refreshInputs) share(s float64) time.Duration {
	return time.Duration(s * float64(in.limit))
}

// plan decides which ways to use now.
func (in *refreshInputs) plan() refreshPlan {
	untilRound, untilRead := in.untilRound(), in.untilRead()
	p := refreshPlan{read: untilRead <= 0, wait: min(untilRound, untilRead)}
	if untilRound <= 0 {
		p.peers = in.others
		if !in.scheduling {
			p.peers = min(followerPeers, in.others)
		}
	}
	return p
}

// overdueAge returns the age from which on other processes are asked.
func (in *refreshInputs) overdueAge() time.Duration {
	switch {
	case in.scheduling && in.sourceLost:
		return in.share(lostSourceShare)
	case in.watching:
		return in.watchWait + in.share(overdueShare)
	case in.scheduling:
		return in.watchWait + in.share(hopShare+overdueShare)
	}
	return in.watchWait + in.share(2*hopShare+overdueShare)
}

func (in *refreshInputs) untilRound() time.Duration {
	if in.others == 0 {
		return in.limit
	}
	interval := in.share(followerRoundShare)
	if in.scheduling {
		interval = in.share(schedulerRoundShare)
	}
	return max(in.overdueAge()-in.age, backOff(interval, in.failedRounds, maxRoundBackoff)-in.sinceRound)
}

// untilRead returns the time until the next read of the store. A watching process has its watches.
func (in *refreshInputs) untilRead() time.Duration {
	switch {
	case in.watching:
		return in.limit
	case in.scheduling:
		return max(in.overdueAge()-in.age, backOff(in.share(schedulerRoundShare), in.failedReads, maxReadBackoff)-in.sinceRead)
	case in.readsWanted:
		return in.readDelay
	}
	return max(in.share(followerReadShare)-in.age, in.readDelay)
}

// backOff returns an interval that doubles with each failure after the first few, up to most times the interval.
func backOff(interval time.Duration, failures, most int) time.Duration {
	doublings := min(max(failures-quickRetries, 0), most)
	return interval * time.Duration(min(1<<doublings, most))
}

const (
	// awaitShare is the age of the configuration from which on requests wait for a confirmation, unless watches take so long
	// that this is an ordinary age. Without faults it is only reached after a pause of the process.
	awaitShare = 0.6
	// maxConfirmationWait bounds this wait. Answers take 1 to 2 ms between failure domains.
	maxConfirmationWait = 50 * time.Millisecond
)

// AwaitConfirmation waits for a short time if the configuration was not confirmed for long, as after a pause of this
// process, unless others were asked in vain.
func (d *Discovery) AwaitConfirmation(ctx context.Context) {
	limit := max(d.shareOfLimit(awaitShare), d.watchWait()+d.shareOfLimit(hopShare+overdueShare))
	if d.View().ConfigAge() < limit || d.unconfirmable.Load() {
		return
	}
	d.wakeRefresher()
	timer := time.NewTimer(maxConfirmationWait)
	defer timer.Stop()
	for {
		published := *d.published.Load()
		if d.View().ConfigAge() < limit || d.unconfirmable.Load() {
			return
		}
		select {
		case <-published:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// refresher confirms the configuration of a process while its source doesn't.
type refresher struct {
	*Discovery
	askedAt, readAt, nextRead bootclock.Instant
	failedRounds              int
	// roundOpen is true until the result of the last round is known. storeFound is set when a process answers whose source
	// has the store, or the store itself.
	roundOpen   bool
	storeFound  atomic.Bool
	failedReads atomic.Int32
	reading     atomic.Bool
	unconfirmed bool
}

// keepConfigConfirmed runs until ctx ends.
func (d *Discovery) keepConfigConfirmed(ctx context.Context) {
	r := refresher{Discovery: d}
	for ctx.Err() == nil {
		wait := r.step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-d.sourceChanged:
		case from := <-d.offers:
			go d.fetchOffered(ctx, from)
		}
	}
}

// step does what is due and returns the time until the next step.
func (r *refresher) step(ctx context.Context) time.Duration {
	v := r.View()
	if v.Config == nil {
		return r.shareOfLimit(overdueShare)
	}
	in := r.inputs()
	r.reportConfirmation(ctx, &in)
	p := in.plan()
	if p.peers > 0 || p.read {
		level.Info(r.logger).Log("msg", "configuration is not confirmed, looking for a confirmation", "version", v.Config.Version, "age", in.age.Round(time.Millisecond), "source_lost", in.sourceLost, "reads_wanted", in.readsWanted, "ask_schedulers", p.peers > 0, "failed_rounds", in.failedRounds, "read_store", p.read, "failed_reads", in.failedReads)
	}
	now := bootclock.Now()
	if p.peers > 0 {
		r.count("config_rounds")
		r.askedAt, r.roundOpen = now, true
		go r.askSchedulers(ctx, p.peers)
	}
	if p.read && r.reading.CompareAndSwap(false, true) {
		r.count("config_reads")
		pause := r.readPause(v.Processes)
		r.readAt, r.nextRead = now, now.Add(pause/2+rand.N(pause))
		go r.readConfig(ctx, in.readsWanted)
	}
	return max(p.wait, r.shareOfLimit(overdueShare)/2)
}

// inputs collects the facts for a plan.
func (r *refresher) inputs() refreshInputs {
	v, now := r.View(), bootclock.Now()
	in := refreshInputs{
		limit: r.o.PropagationLimit, watchWait: r.watchWait(), watching: members.Contains(v.Watchers, r.o.Self.Name), scheduling: v.Scheduling, others: len(v.Schedulers),
		age: v.ConfigAge(), sourceLost: !v.StoreUp, readsWanted: v.ConfigUnconfirmed && !v.Scheduling,
		sinceRound: now.Sub(r.askedAt), sinceRead: now.Sub(r.readAt), failedRounds: r.failedRounds, failedReads: int(r.failedReads.Load()),
	}
	if v.Scheduling {
		in.others--
	}
	switch {
	case !in.readsWanted && in.age < in.share(followerReadShare):
		r.nextRead = 0
	case r.nextRead == 0:
		r.nextRead = now.Add(rand.N(r.readPause(v.Processes)))
	}
	in.readDelay = max(r.nextRead.Sub(now), 0)
	return in
}

// readPause returns the mean time between two reads of the store by a process that is no scheduler.
func (r *refresher) readPause(processes int) time.Duration {
	return max(r.shareOfLimit(followerReadPauseShare), time.Duration(processes)*time.Second/readsPerSecond)
}

// reportConfirmation tells the followers of a scheduler whether its configuration is confirmed. It is not if the source
// has lost the store, and neither another scheduler nor this one has found it.
func (r *refresher) reportConfirmation(ctx context.Context, in *refreshInputs) {
	if r.roundOpen && in.sinceRound >= in.share(schedulerRoundShare)/2 {
		r.roundOpen = false
		r.failedRounds++
		if r.storeFound.Swap(false) {
			r.failedRounds = 0
		}
		in.failedRounds = r.failedRounds
	}
	r.unconfirmable.Store(in.failedRounds > 0 || in.others == 0)
	unconfirmed := in.scheduling && in.sourceLost && in.failedRounds > 0
	if unconfirmed == r.unconfirmed {
		return
	}
	r.unconfirmed = unconfirmed
	r.send(ctx, configUnconfirmed(unconfirmed))
}

// askSchedulers asks up to n schedulers for their configuration.
func (r *refresher) askSchedulers(ctx context.Context, n int) {
	r.o.Relay.FetchConfig(ctx, r.configVersions(), n, func(u ConfigUpdate) {
		if u.StoreUp {
			r.storeFound.Store(true)
		}
		r.send(ctx, configAnswer{u})
	})
}

// configVersions returns the versions of the configuration and the rules in the feed.
func (d *Discovery) configVersions() ConfigVersions {
	return ConfigVersions{Config: d.feed.VersionOf(d.o.Prefixes.Config + mainObject), Rules: d.feed.VersionOf(d.o.Prefixes.Rules + mainObject)}
}

// readConfig reads the configuration from the store. If schedulers want it, it is offered to them.
func (r *refresher) readConfig(ctx context.Context, wanted bool) {
	defer r.reading.Store(false)
	asked := bootclock.Now()
	rctx, cancel := context.WithTimeout(ctx, StoreCallTimeout(r.o.ApplyLimit))
	defer cancel()
	objects, rev, err := r.o.Store.List(rctx, r.o.Prefixes.Config)
	if err != nil {
		r.failedReads.Add(1)
		level.Info(r.logger).Log("msg", "read of the configuration failed", "took", bootclock.Since(asked).Round(time.Millisecond), "err", err)
		return
	}
	r.failedReads.Store(0)
	r.storeFound.Store(true)
	c := fullUpdate(feedConfig, objects, asked)
	c.revision = rev
	r.send(ctx, configRead{c})
	if wanted {
		r.o.Relay.OfferConfig(ctx)
	}
}

// ConfigOffered is called when a process offers the configuration that it has read from the store.
func (d *Discovery) ConfigOffered(from members.Member) {
	select {
	case d.offers <- from:
	default: // enough others have offered theirs
	}
}

// fetchOffered asks a process for the configuration that it has offered.
func (d *Discovery) fetchOffered(ctx context.Context, from members.Member) {
	u, err := d.o.Relay.FetchConfigFrom(ctx, from, d.configVersions())
	if err != nil {
		level.Info(d.logger).Log("msg", "offered configuration not received", "from", from.Name, "err", err)
		return
	}
	d.send(ctx, configAnswer{u})
}

// applyConfigAnswer applies what another process knows of the configuration.
func (d *Discovery) applyConfigAnswer(u ConfigUpdate) {
	d.observeEra(u.InstancesRevision, "another process")
	if u.InstancesRevision != 0 && u.InstancesRevision.Era() < d.era.number {
		return
	}
	if gain := u.ConfirmedAt.Sub(d.cur.ConfigConfirmedAt); gain >= d.shareOfLimit(overdueShare) || len(u.Objects) > 0 {
		level.Info(d.logger).Log("msg", "another process knows the configuration", "from", u.From, "age", bootclock.Since(u.ConfirmedAt).Round(time.Millisecond), "fresher_by", gain.Round(time.Millisecond), "store", u.StoreUp, "objects", len(u.Objects))
	}
	for _, s := range []feedName{feedConfig, feedRules} {
		c := feedUpdate{feed: s, relayed: true, revision: u.InstancesRevision}
		for _, obj := range u.Objects {
			if keyPrefix(obj.Key) == d.prefixOf(s) {
				c.events = append(c.events, objstore.Event{Object: obj})
			}
		}
		d.apply(c)
	}
	d.confirmConfig(u.ConfirmedAt, u.FreshAt)
}

// applyConfigRead applies a read of the configuration besides the watches.
func (d *Discovery) applyConfigRead(c feedUpdate) {
	d.observeEra(c.revision, "store")
	d.apply(c)
	d.confirmConfig(c.confirmedAt, c.askedAt)
}

// confirmConfig records that no newer configuration existed at a time.
func (d *Discovery) confirmConfig(confirmedAt, freshAt bootclock.Instant) {
	d.cur.ConfigConfirmedAt = max(d.cur.ConfigConfirmedAt, confirmedAt)
	d.cur.ConfigFreshAt = max(d.cur.ConfigFreshAt, freshAt)
}
