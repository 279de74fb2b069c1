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

const (
	// followerReadPauseShare is the share of the propagation limit that a process which is no scheduler lets pass on average
	// between two reads of the store, if readsPerSecond permits it.
	followerReadPauseShare = 0.25
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
	}
	if !in.sourceLost && in.age < in.overdueAge() {
		r.failedRounds, r.roundOpen = 0, false
		r.failedReads.Store(0)
	}
	in.failedRounds = r.failedRounds
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
	lacked := d.lacked(u.Objects)
	if gain := u.ConfirmedAt.Sub(d.cur.ConfigConfirmedAt); gain >= d.shareOfLimit(overdueShare) || lacked > 0 {
		level.Info(d.logger).Log("msg", "another process knows the configuration", "from", u.From, "age", bootclock.Since(u.ConfirmedAt).Round(time.Millisecond), "fresher_by", gain.Round(time.Millisecond), "store", u.StoreUp, "lacked", lacked)
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

// lacked returns how many of the objects this process doesn't have in that version or a newer one. Several answers of one
// round may bring the same object.
func (d *Discovery) lacked(objects []objstore.Object) (n int) {
	for _, obj := range objects {
		if obj.Version > d.feed.VersionOf(obj.Key) {
			n++
		}
	}
	return n
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
