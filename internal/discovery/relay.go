package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// directReadAfter is how long no scheduler must have answered before a process reads the
	// store directly. directReadPause is the minimum time between two such reads; the actual time
	// is random, up to twice as long, and longer by a jitter while the view is incomplete.
	directReadAfter = 1500 * time.Millisecond
	directReadPause = time.Second
	// directReadAfterNotReady is how long a process that is not ready waits for schedulers
	// that answer that they are not ready either. Watchers need 0.5 s to list 3,000 engines,
	// and 5 s for ten times as many.
	directReadAfterNotReady = 5 * time.Second
	// directReadInterval is the time, per process and per instancesPerInterval instances, by
	// which the direct reads of processes that are not ready are spread. A list of 3,000
	// engines is 60 calls and 1 MB, so that the store gets at most 6,000 calls and 100 MB a
	// second with any number of engines.
	directReadInterval   = 10 * time.Millisecond
	instancesPerInterval = 3000
	// maxJitter bounds these times, whatever the directory says of the size of the fleet.
	maxJitter = 15 * time.Minute
	// snapshotInterval is the same for processes that already serve requests and fetch all
	// instances from a scheduler. Decoding these keeps a small host from its requests for most
	// of a second.
	snapshotInterval = time.Millisecond
	// partialPollShare is the share of the propagation limit after which a process with a
	// partial snapshot polls the configuration and the rules again.
	partialPollShare = 0.1
	// registrationCheckAfter is how long no scheduler must have answered a process before it
	// checks its registration. The registrations of unresponsive processes are removed after
	// ten times as long.
	registrationCheckAfter = time.Minute
	// schedulerMaxAgeShare and maxAgeShare are the shares of the propagation limit from which
	// on data is too old for a scheduler and for another process. Without faults data reaches
	// half that age, and from a share of 0.6 on a process looks for a scheduler with fresher
	// data. The rest of the limit is for the answer of the store.
	schedulerMaxAgeShare = 0.65
	maxAgeShare          = 0.8
	// lostSourcePauseShare is the share of the propagation limit that a scheduler whose source is known to have lost the
	// store lets pass at least between two looks for fresher data; the actual time is random and up to twice as long.
	lostSourcePauseShare = 0.0625
	// lostSourceReadShare is the same for two direct reads of which the first one failed.
	lostSourceReadShare = 0.125
	// lostSourceMaxAgeShare is schedulerMaxAgeShare while the source of the scheduler is known to have lost the store.
	lostSourceMaxAgeShare = 0.35
	// directReadRetry is the minimum time between two direct reads because of old data; the actual
	// time is random and up to twice as long. failedReadRetry is the same after a read that
	// failed: the store then most likely does not answer the schedulers either, and these send
	// an update once it does.
	directReadRetry = 500 * time.Millisecond
	failedReadRetry = 2500 * time.Millisecond
	// followRetry is the minimum pause after no scheduler could be followed; the actual pause is
	// random and up to twice as long.
	followRetry = 100 * time.Millisecond
)

// Relay fetches updates from schedulers.
type Relay interface {
	// Follow returns the changes since a position, as soon as there are any or after a short
	// wait. It fails if no scheduler answers.
	Follow(ctx context.Context, after feed.Position) (RelayUpdate, error)
	// FetchFresher returns a full snapshot from a scheduler whose data is fresher than the given age.
	// The error is of kind NotFound if all schedulers that were asked responded and none has one.
	FetchFresher(ctx context.Context, age time.Duration) (RelayUpdate, error)
	// FetchConfig asks up to n schedulers at the same time for the configuration, and passes on each answer as it arrives.
	// It returns when all have answered or failed.
	FetchConfig(ctx context.Context, known ConfigVersions, n int, received func(ConfigUpdate))
	// FetchConfigFrom asks one process for the configuration.
	FetchConfigFrom(ctx context.Context, from members.Member, known ConfigVersions) (ConfigUpdate, error)
	// OfferConfig tells schedulers that this process has read the configuration from the store.
	OfferConfig(ctx context.Context)
}

// RelayUpdate is an update that a scheduler sends about the deployment.
type RelayUpdate struct {
	feed.Update
	// Age is how long before the receipt the store confirmed to the scheduler that there was nothing newer. ConfigAge is
	// the same for the configuration alone.
	Age, ConfigAge time.Duration
	// ConfigFreshAt is the latest time at which the configuration is known to have been the newest
	// one, on the clock of this process.
	ConfigFreshAt bootclock.Instant
	// StoreUp is false if the store does not answer the process that the update comes from.
	StoreUp bool
	// ConfigUnconfirmed is true if nobody confirms the configuration to the scheduler, so that processes that reach the
	// store read it.
	ConfigUnconfirmed bool
	// Processes is the number of registered processes of the fleet.
	Processes int
	// Partial is true for a partial snapshot: Events hold only the configuration and the rules.
	Partial bool
	// InstancesRevision is the store's revision up to which the scheduler knows the
	// registrations.
	InstancesRevision objstore.Revision
	Schedulers        []members.Member
	Watchers          []members.Member
	GossipPeers       []members.Member

	// receivedAt is when this process received the update.
	receivedAt bootclock.Instant
	// decoded holds instances of Events that have been decoded already, by key.
	decoded map[string]*fleet.Instance
}

// predatesEra reports whether the sender has not yet seen the given era of the store.
func (f *RelayUpdate) predatesEra(era int64) bool {
	return f.InstancesRevision != 0 && f.InstancesRevision.Era() < era
}

// schedulerUpdate is the event of an update from the scheduler that this process follows.
type schedulerUpdate struct{ RelayUpdate }

// fetchedSnapshot is the event of a snapshot from a process that this one does not follow.
type fetchedSnapshot struct{ RelayUpdate }

// followSchedulers follows schedulers until ctx ends. While none answers it reads the store directly
// from time to time.
func (d *Discovery) followSchedulers(ctx context.Context) {
	var at feed.Position
	var nextRead bootclock.Instant
	answered := bootclock.Now()
	for ctx.Err() == nil {
		asked := bootclock.Now()
		f, err := d.o.Relay.Follow(ctx, at)
		if err == nil {
			if bootclock.Since(answered) > registrationCheckAfter {
				d.o.OnUnregistered()
			}
			at, answered = f.Position, bootclock.Now()
			f.receivedAt = answered
			d.decodeInBatches(ctx, &f)
			d.send(ctx, schedulerUpdate{f})
			nextRead = d.readStoreIfStale(ctx, f, nextRead)
			if f.Partial {
				sleep(ctx, d.shareOfLimit(partialPollShare))
				continue
			}
			if len(f.Events) > 0 {
				sleepUntil(ctx, asked.Add(d.minInterval()))
			}
			continue
		}
		if bootclock.Since(answered) < d.directReadDelay(err) {
			sleep(ctx, followRetry+rand.N(followRetry))
			continue
		}
		level.Warn(d.logger).Log("msg", "no scheduler answers", "for", bootclock.Since(answered).Round(time.Millisecond), "err", err)
		at = feed.Position{} // the next update must be a full one, as the store's data replaces this one
		for _, s := range []feedName{feedMembers, feedConfig, feedInstances, feedRules} {
			_ = d.follower(s).readOnce(ctx) // a failure is sent as an event
		}
		sleep(ctx, directReadPause+rand.N(directReadPause+d.directReadJitter()))
	}
}

// directReadDelay returns how long no scheduler must have answered before this process reads the store
// directly. The delay is short for a process with a complete view, since its data gets old. After a
// restart of the whole fleet many processes have no complete view; each of them adds its own delay
// within the jitter interval.
func (d *Discovery) directReadDelay(err error) time.Duration {
	after := directReadAfter
	if !d.View().Complete() && fault.Is(err, fault.Denied) {
		after = directReadAfterNotReady
	}
	return after + d.ownJitter(d.directReadJitter())
}

// jitterFraction returns the fraction of a jitter interval after which a process acts. It is derived
// from the name, since random numbers of processes that start together may be alike.
func jitterFraction(name string) float64 {
	return float64(xxhash.Sum64String("spread\x00"+name)) / (1 << 64)
}

// ownJitter returns this process's delay within a jitter interval of the given length.
func (d *Discovery) ownJitter(interval time.Duration) time.Duration {
	return time.Duration(jitterFraction(d.o.Self.Name) * float64(interval))
}

// directReadJitter returns the time over which the processes without the instances spread their direct
// reads.
func (d *Discovery) directReadJitter() time.Duration {
	if d.View().Complete() {
		return 0
	}
	return d.jitterRange(directReadInterval)
}

// jitterRange returns the time over which the processes of the fleet spread an action on all instances,
// given the time that each process takes per instancesPerInterval instances.
func (d *Discovery) jitterRange(perProcess time.Duration) time.Duration {
	v := d.View()
	instances := max(int64(len(v.Instances)), d.expectedInstances.Load(), instancesPerInterval)
	spread := float64(v.Processes) * float64(instances) / instancesPerInterval * float64(perProcess)
	return time.Duration(min(max(spread, 0), float64(maxJitter)))
}

// readStoreIfStale reads the store directly if the data that this process receives is too old, or the
// configuration too stale: the watchers may have lost the store while this process still reaches it.
// Without it, in a fleet of 65 whose three watchers were cut off, engines that had stopped accepting
// requests received some up to 0.03 s beyond the propagation limit, and rules on placement did not
// change until the watchers were back. f is the latest update. No read takes place before next; the
// result is the earliest time of the next read.
func (d *Discovery) readStoreIfStale(ctx context.Context, f RelayUpdate, next bootclock.Instant) bootclock.Instant {
	v := d.View()
	age, staleness := v.Age(), v.ConfigStaleness()
	if !f.predatesEra(v.Era) { // an update of an earlier era is ignored and does not refresh the data
		age, staleness = min(age, f.Age+bootclock.Since(f.receivedAt)), min(staleness, bootclock.Since(f.ConfigFreshAt))
	}
	var wanted []feedName
	switch {
	case bootclock.Now() < next:
	case age > d.maxAge(v):
		wanted = []feedName{feedInstances, feedConfig, feedRules}
	case d.o.MaxConfigStaleness > 0 && staleness > time.Duration(directReadStalenessShare*float64(d.o.MaxConfigStaleness)):
		wanted = []feedName{feedConfig}
	}
	if wanted == nil {
		return next
	}
	pause := directReadRetry
	level.Info(d.logger).Log("msg", "relayed data is too old, reading the store directly", "age", age.Round(time.Millisecond), "proof_age", staleness.Round(time.Millisecond))
	for _, s := range wanted {
		if err := d.follower(s).readOnce(ctx); err != nil {
			level.Warn(d.logger).Log("msg", "direct read of the store failed", "feed", s, "age", age.Round(time.Millisecond), "proof_age", staleness.Round(time.Millisecond), "err", err)
			pause = d.failedReadPause(v)
			break
		}
	}
	return bootclock.Now().Add(pause + rand.N(pause))
}

// failedReadPause returns the minimum pause after a failed direct read. The followers of a scheduler depend on it, so that
// it tries again while there is time left to reach them.
func (d *Discovery) failedReadPause(v *fleet.View) time.Duration {
	if d.sourceIsLost(v) {
		return d.shareOfLimit(lostSourceReadShare)
	}
	return failedReadRetry
}

// fetchWhileStoreUnreachable fetches snapshots from other processes while the store does not answer this one or, for a
// scheduler, its source, and its data is too old. The store may reject the calls of some processes and serve the others.
// Other processes read the store directly at the same age, so that the first request often finds no fresher data; it is a
// short message and is soon repeated.
func (d *Discovery) fetchWhileStoreUnreachable(ctx context.Context) {
	pause := directReadRetry
	for ctx.Err() == nil {
		if !d.sourceIsLost(d.View()) {
			pause = directReadRetry
		}
		sleep(ctx, pause+rand.N(pause))
		v := d.View()
		lost := d.sourceIsLost(v)
		switch {
		case !d.storeUnreachable.Load() && !lost:
		case lost && v.Age() < d.maxAge(v):
			pause = d.shareOfLimit(lostSourcePauseShare)
		case v.Age() >= d.maxAge(v) && !d.fetchFresher(ctx, v.Age()):
			pause = min(2*pause, directReadRetry)
		}
	}
}

// fetchFresher fetches a snapshot that is fresher than this process's data, which has the given age. It reports whether
// there is one.
func (d *Discovery) fetchFresher(ctx context.Context, age time.Duration) bool {
	f, err := d.o.Relay.FetchFresher(ctx, age)
	f.receivedAt = bootclock.Now()
	if err != nil {
		level.Info(d.logger).Log("msg", "no other process has fresher data", "age", age.Round(time.Millisecond), "err", err)
		return false
	}
	level.Info(d.logger).Log("msg", "snapshot fetched from another process", "age", age.Round(time.Millisecond), "new_age", f.Age)
	d.send(ctx, fetchedSnapshot{f})
	return true
}

// maxAge returns the age from which on a process reads the store directly. Schedulers do so first,
// since other processes follow them and receive the result at once.
func (d *Discovery) maxAge(v *fleet.View) time.Duration {
	switch {
	case d.sourceIsLost(v):
		return d.shareOfLimit(lostSourceMaxAgeShare)
	case v.Scheduling:
		return d.shareOfLimit(schedulerMaxAgeShare)
	}
	return d.shareOfLimit(maxAgeShare)
}

// sourceIsLost reports whether this process is a scheduler whose source is known to have lost the store. It need not wait
// until its data is so old that the loss of a silent source shows.
func (d *Discovery) sourceIsLost(v *fleet.View) bool { return v.Scheduling && !v.StoreUp }

// shareOfLimit returns the given share of the propagation limit.
func (d *Discovery) shareOfLimit(share float64) time.Duration {
	return time.Duration(share * float64(d.o.PropagationLimit))
}

// applySchedulerUpdate applies an update from a scheduler that this process follows.
func (d *Discovery) applySchedulerUpdate(f RelayUpdate) {
	if d.mode != following {
		return
	}
	if f.Age < d.shareOfLimit(schedulerMaxAgeShare) && len(d.failingFeeds) > 0 {
		clear(d.failingFeeds)
		d.recoveredAt = bootclock.Now()
	}
	d.applyRelayUpdate(f)
	d.cur.StoreUp = f.StoreUp
	if !d.cur.Scheduling { // a scheduler finds out by itself
		d.cur.ConfigUnconfirmed = f.ConfigUnconfirmed
	}
	d.cur.Processes = f.Processes
	d.setSchedulers(f.Schedulers, f.Watchers, f.GossipPeers)
	if f.Partial && d.cur.FullSnapshotAt == 0 {
		d.cur.FullSnapshotAt = bootclock.Now().Add(d.ownJitter(d.jitterRange(snapshotInterval)))
	}
}

// applyRelayUpdate applies an update or a snapshot from another process.
func (d *Discovery) applyRelayUpdate(f RelayUpdate) {
	d.observeEra(f.InstancesRevision, "another process")
	if f.predatesEra(d.era.number) {
		return
	}
	d.cur.InstancesConfirmedAt = max(d.cur.InstancesConfirmedAt, f.receivedAt.Add(-f.Age))
	d.cur.RelayReceived = true
	for _, s := range []feedName{feedConfig, feedInstances, feedRules} {
		if f.Partial && s == feedInstances {
			continue
		}
		c := feedUpdate{feed: s, full: f.Full, relayed: true, revision: f.InstancesRevision, decoded: f.decoded}
		for _, e := range f.Events {
			if keyPrefix(e.Object.Key) == d.prefixOf(s) {
				c.events = append(c.events, e)
			}
		}
		if c.full || len(c.events) > 0 {
			d.apply(c)
		}
	}
	d.confirmConfig(f.receivedAt.Add(-f.ConfigAge), f.ConfigFreshAt)
}
