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
	// aloneAfter is for how long no scheduler must have answered before a process looks at
	// the store itself, alonePause how long it waits between two looks, up to twice as long
	// at random.
	aloneAfter = 1500 * time.Millisecond
	alonePause = time.Second
	// aloneRefused is for how long a process that is not ready waits for schedulers that answer
	// that they are not either: those that watch the store list 3,000 engines in 0.5 s, ten
	// times as many in 5.
	aloneRefused = 5 * time.Second
	// aloneEach is how far the looks of processes that are not ready lie apart, per process and for each
	// aloneInstances: a list of 3,000 engines is 60 calls and 1 MB, so at most 6,000 calls and 100 MB a second,
	// at any number of engines.
	aloneEach      = 10 * time.Millisecond
	aloneInstances = 3000
	// copyEach is the same for copies of all instances from schedulers by processes that serve already. A copy
	// keeps a small host from its requests for most of a second.
	copyEach = time.Millisecond
	// headShare is the part of Within after which the configuration and the rules are asked for again until then.
	headShare = 0.1
	// missedAfter is for how long no scheduler must have answered a process for it to look
	// whether it is still registered. Registrations of processes that nobody hears are removed
	// after ten times as long.
	missedAfter = time.Minute
	// schedulerCopyShare and copyShare are the parts of Within from which on a copy is too old
	// for a scheduler and for another process. Copies get half as old where nothing is lost, and
	// a fresher one is looked for from 0.6 on; the rest of Within is for the store's answer.
	schedulerCopyShare = 0.65
	copyShare          = 0.8
	// lookRetry is how long a process waits at the least, and at the most twice as long, until
	// it looks again, lookFailedRetry after a question without an answer: then the schedulers
	// most likely have none either, and will tell when they do.
	lookRetry       = 500 * time.Millisecond
	lookFailedRetry = 2500 * time.Millisecond
	// followRetry is how long a process waits after no scheduler could be followed, and up to
	// twice as long at random.
	followRetry = 100 * time.Millisecond
)

// Relay follows schedulers.
type Relay interface {
	// Follow returns what has changed since a position, as soon as something has or after
	// a short while. It fails if no scheduler answers.
	Follow(ctx context.Context, after feed.Position) (RelayUpdate, error)
	// FetchFresher returns all that another scheduler has, if it is fresher than what this process
	// has, of an age. The error is of kind NotFound if none of those that were asked is.
	FetchFresher(ctx context.Context, age time.Duration) (RelayUpdate, error)
}

// RelayUpdate is what a scheduler says of the deployment.
type RelayUpdate struct {
	feed.Update
	// Age is how long ago the store confirmed to the scheduler that there was nothing newer.
	Age time.Duration
	// ConfigFreshAt is until when the configuration is proven to have been the newest one, by the
	// clock of this process.
	ConfigFreshAt bootclock.Instant
	// StoreUp is false while the store does not answer there.
	StoreUp   bool
	Processes int
	// Partial is true if Events are only the configuration and the rules.
	Partial bool
	// InstancesRevision is the store's revision up to which the scheduler knows the
	// registrations.
	InstancesRevision objstore.Revision
	Schedulers        []members.Member
	Watchers          []members.Member
	Mesh              []members.Member

	// decoded are the instances of Events that have been decoded already, by their keys.
	decoded map[string]*fleet.Instance
}

// before reports whether a copy is of a process that has not seen an era of the store.
func (f *RelayUpdate) before(era int64) bool {
	return f.InstancesRevision != 0 && f.InstancesRevision.Era() < era
}

// followed is a Followed as an event.
type followed struct{ RelayUpdate }

// copied is a Followed of a process that this one does not follow.
type copied struct{ RelayUpdate }

// followSchedulers follows schedulers until ctx ends. While none answers it looks at the
// store now and then.
func (d *Discovery) followSchedulers(ctx context.Context) {
	var at feed.Position
	var lookNext bootclock.Instant
	answered := bootclock.Now()
	for ctx.Err() == nil {
		asked := bootclock.Now()
		f, err := d.o.Relay.Follow(ctx, at)
		if err == nil {
			if bootclock.Since(answered) > missedAfter {
				d.o.OnUnregistered()
			}
			at, answered = f.Position, bootclock.Now()
			d.decodeAhead(ctx, &f)
			d.send(ctx, followed{f})
			lookNext = d.lookItself(ctx, f, lookNext)
			if f.Partial {
				pause(ctx, d.tooOld(headShare))
				continue
			}
			if len(f.Events) > 0 {
				pauseUntil(ctx, asked.Add(d.gap()))
			}
			continue
		}
		if bootclock.Since(answered) < d.patience(err) {
			pause(ctx, followRetry+rand.N(followRetry))
			continue
		}
		level.Warn(d.logger).Log("msg", "no scheduler answers", "for", bootclock.Since(answered).Round(time.Millisecond), "err", err)
		at = feed.Position{} // what the store says takes its place
		for _, s := range []source{feedMembers, feedConfig, feedInstances, feedRules} {
			_ = d.follower(s).look(ctx) // a failure is an event
		}
		pause(ctx, alonePause+rand.N(alonePause+d.spread()))
	}
}

// patience returns for how long no scheduler must have answered before this process looks at
// the store itself: one that is ready soon, since what it has gets old; others, of which there
// are many at a time after a loss of all, each at its part of the time over which they spread.
func (d *Discovery) patience(err error) time.Duration {
	after := aloneAfter
	if !d.View().Complete() && fault.Is(err, fault.Denied) {
		after = aloneRefused
	}
	return after + d.ownPart(d.spread())
}

// partOf returns the part of a time over which processes spread that is a process's own. It
// follows from the name, since random numbers of processes that start together may be alike.
func partOf(name string) float64 {
	return float64(xxhash.Sum64String("spread\x00"+name)) / (1 << 64)
}

// ownPart returns when it is this process's turn in a time over which all spread.
func (d *Discovery) ownPart(spread time.Duration) time.Duration {
	return time.Duration(partOf(d.o.Self.Name) * float64(spread))
}

// spread returns over how long a time the looks of all processes that do not know the instances spread.
func (d *Discovery) spread() time.Duration {
	if d.View().Complete() {
		return 0
	}
	return d.spreadBy(aloneEach)
}

// spreadBy returns over how long a time spreads what each process does with all instances, at a time for each
// process and aloneInstances.
func (d *Discovery) spreadBy(each time.Duration) time.Duration {
	v := d.View()
	instances := max(int64(len(v.Instances)), d.expected.Load(), aloneInstances)
	return time.Duration(int64(v.Processes) * instances / aloneInstances * int64(each))
}

// lookItself asks the store if what this process follows is too old, or has not been proven
// to be the newest for too long: those that watch the store for all may be cut off from it,
// and this process may not be. Without it, engines that had left got requests 0.03 s beyond the
// bound in a fleet of 65 whose three watchers were cut off, and rules of place stayed as they were
// until the cut had ended. f is what it was told last. It looks from next on, and returns when
// it may do so again.
func (d *Discovery) lookItself(ctx context.Context, f RelayUpdate, next bootclock.Instant) bootclock.Instant {
	v := d.View()
	age, proof := v.Age(), v.ConfigStaleness()
	if !f.before(v.Era) { // what is left out makes this process no younger
		age, proof = min(age, f.Age), min(proof, bootclock.Since(f.ConfigFreshAt))
	}
	var wanted []source
	switch {
	case bootclock.Now() < next:
	case age > d.oldest(v):
		wanted = []source{feedInstances, feedConfig, feedRules}
	case d.o.MaxConfigStaleness > 0 && proof > time.Duration(proveAloneShare*float64(d.o.MaxConfigStaleness)):
		wanted = []source{feedConfig}
	}
	if wanted == nil {
		return next
	}
	pause := lookRetry
	level.Info(d.logger).Log("msg", "copy is too old, looking at the store", "age", age.Round(time.Millisecond), "proof_age", proof.Round(time.Millisecond))
	for _, s := range wanted {
		if err := d.follower(s).look(ctx); err != nil {
			level.Warn(d.logger).Log("msg", "store does not answer either", "feed", s, "age", age.Round(time.Millisecond), "proof_age", proof.Round(time.Millisecond), "err", err)
			pause = lookFailedRetry
			break
		}
	}
	return bootclock.Now().Add(pause + rand.N(pause))
}

// copyWhileStoreIsLost has a process that the store does not answer, and whose copy is too old,
// copy from others, as these may be answered: the store may turn some processes away and serve
// the others. Watchers that were turned away had a configuration of 9.2 s ago where the others
// of 295 hosts had one of 0.6 s. The others look at the store at the same age, so the first
// question is often too early; it is a short message, and is soon asked again.
func (d *Discovery) copyWhileStoreIsLost(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, lookRetry+rand.N(lookRetry))
		v := d.View()
		if d.storeLost.Load() && v.Age() >= d.oldest(v) {
			d.copyNewer(ctx, v.Age())
		}
	}
}

// copyNewer asks others for what is fresher than what this process has, of an age.
func (d *Discovery) copyNewer(ctx context.Context, age time.Duration) {
	f, err := d.o.Relay.FetchFresher(ctx, age)
	if err != nil {
		level.Info(d.logger).Log("msg", "nobody has a fresher copy", "age", age.Round(time.Millisecond), "err", err)
		return
	}
	level.Info(d.logger).Log("msg", "copied from another process", "age", age.Round(time.Millisecond), "new_age", f.Age)
	d.send(ctx, copied{f})
}

// oldest returns how old a copy may get before a process looks itself. Schedulers are the
// first: the others follow them, and have what they find at once.
func (d *Discovery) oldest(v *fleet.View) time.Duration {
	if v.Scheduling {
		return d.tooOld(schedulerCopyShare)
	}
	return d.tooOld(copyShare)
}

// tooOld returns the age that is a share of the bound.
func (d *Discovery) tooOld(share float64) time.Duration {
	return time.Duration(share * float64(d.o.PropagationLimit))
}

// adopt takes in what a scheduler says.
func (d *Discovery) adopt(f RelayUpdate) {
	if d.mode != following {
		return
	}
	if f.Age < d.tooOld(schedulerCopyShare) && len(d.down) > 0 {
		clear(d.down)
		d.backAt = bootclock.Now()
	}
	d.takeIn(f)
	d.cur.StoreUp = f.StoreUp
	d.cur.Processes = f.Processes
	d.setSchedulers(f.Schedulers, f.Watchers, f.Mesh)
	if f.Partial && d.cur.FullSnapshotAt == 0 {
		d.cur.FullSnapshotAt = bootclock.Now().Add(d.ownPart(d.spreadBy(copyEach)))
	}
}

// takeIn takes in the copy of another process.
func (d *Discovery) takeIn(f RelayUpdate) {
	d.seeEra(f.InstancesRevision, "another process")
	if f.before(d.era.number) {
		return
	}
	at := bootclock.Now().Add(-f.Age)
	d.cur.ConfigConfirmedAt, d.cur.InstancesConfirmedAt = max(d.cur.ConfigConfirmedAt, at), max(d.cur.InstancesConfirmedAt, at)
	d.cur.ConfigFreshAt = max(d.cur.ConfigFreshAt, f.ConfigFreshAt)
	d.cur.Partial = true
	for _, s := range []source{feedConfig, feedInstances, feedRules} {
		if f.Partial && s == feedInstances {
			continue
		}
		c := changed{feed: s, reset: f.Full, settled: true, revision: f.InstancesRevision, decoded: f.decoded}
		for _, e := range f.Events {
			if kindOf(e.Object.Key) == d.prefixOf(s) {
				c.events = append(c.events, e)
			}
		}
		if c.reset || len(c.events) > 0 {
			d.apply(c)
		}
	}
}
