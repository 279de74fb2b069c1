package discovery

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// mode says from where a process learns of the deployment.
type mode int

const (
	// undecided processes do not know the other ones yet.
	undecided mode = iota
	// watching processes watch the store.
	watching
	// following processes follow a scheduler, or, if they are one, a watcher.
	following
)

const (
	// joinRetry is how often the list of members is read at a start until it is known to
	// be no older than the start itself; joinMost is for how long. Lists that may be stale
	// are seconds old.
	joinRetry = 300 * time.Millisecond
	joinMost  = 3 * time.Second
	// settledStart is how much earlier than this process another must have started for
	// the fleet to be no new one.
	settledStart = 5 * time.Second
	// reviewEvery is how often it is reviewed which schedulers are silent.
	reviewEvery = 500 * time.Millisecond
	// appointedFor is for how long a process stays a watcher that another one named,
	// whatever it sees itself.
	appointedFor = 20 * time.Second
)

// join reads the directory, or else the members until it is known enough of the fleet to decide how to go on. A
// process that is new must not take a list for whole that is older than its own
// registration.
func (d *Discovery) join(ctx context.Context) {
	dir, err := d.readDirectory(ctx)
	if err == nil {
		d.send(ctx, directoryRead{dir})
		return
	}
	level.Info(d.logger).Log("msg", "no directory, listing members", "err", err)
	begun := bootclock.Now()
	f := d.follower(feedMembers)
	for ctx.Err() == nil {
		asked := bootclock.Now()
		lctx, cancel := context.WithTimeout(ctx, listMost)
		objects, _, err := f.store.List(lctx, f.prefix)
		cancel()
		late := bootclock.Since(begun) > joinMost
		switch {
		case err != nil && !fault.Is(err, fault.NotFound):
			f.send(ctx, lostStore{feedMembers, err})
		case late || d.knowsFleet(members.Parse(objects)):
			f.send(ctx, listing(feedMembers, objects, asked))
			return
		}
		pause(ctx, joinRetry)
	}
}

// knowsFleet reports whether a list shows that the fleet is large, that it has been there
// for a while, or that the list is as new as this process's own registration.
func (d *Discovery) knowsFleet(all []members.Member) bool {
	if len(all) > members.MaxFullMesh {
		return true
	}
	return slices.ContainsFunc(all, func(m members.Member) bool {
		return m.Name == d.o.Self.Name || m.StartedBefore(d.o.Self, settledStart)
	})
}

// nameSchedulers works out the schedulers from the members.
func (d *Discovery) nameSchedulers() {
	all := slices.Collect(maps.Values(d.members))
	mesh := members.Schedulers(all, nil)
	schedulers := members.Schedulers(all, d.passOver)
	for _, m := range schedulers {
		if !members.Contains(mesh, m.Name) {
			mesh = append(mesh, m)
		}
	}
	d.setSchedulers(schedulers, members.Watchers(schedulers, d.cur.Processes), mesh)
}

// passOver reports whether another scheduler takes the place of one.
func (d *Discovery) passOver(name string) bool {
	return name != d.o.Self.Name && d.o.IsUnresponsive(name)
}

// setSchedulers takes in who the schedulers are.
func (d *Discovery) setSchedulers(all, watchers, mesh []members.Member) {
	same := sameNames(all, d.cur.Schedulers) && sameNames(watchers, d.cur.Watchers)
	d.cur.Schedulers, d.cur.Watchers, d.cur.GossipPeers = all, watchers, mesh
	d.cur.Scheduling = members.Contains(all, d.o.Self.Name)
	if !same {
		level.Info(d.logger).Log("msg", "schedulers", "names", strings.Join(members.Names(all), ","), "watchers", strings.Join(members.Names(watchers), ","), "processes", d.cur.Processes)
	}
}

func sameNames(a, b []members.Member) bool {
	return slices.Equal(members.Names(a), members.Names(b))
}

// reviewSchedulers takes in which schedulers are silent.
func (d *Discovery) reviewSchedulers(ctx context.Context) {
	if d.mode != watching || len(d.members) == 0 {
		return // a process that joined by the directory has not listed the members yet
	}
	d.dropUnlisted()
	d.nameSchedulers()
	d.chooseMode(ctx)
	d.keepDirectory(ctx)
	d.publish()
}

// chooseMode changes to the mode that this process should be in.
func (d *Discovery) chooseMode(ctx context.Context) {
	next := d.wantedMode()
	if next == d.mode {
		return
	}
	if d.stopMode != nil {
		d.stopMode()
	}
	if d.mode == following && next == watching && d.cur.Processes > members.MaxFullMesh {
		d.appointed = bootclock.Now() // not by one that has not seen the whole of a new fleet
	}
	level.Info(d.logger).Log("msg", "mode", "watching", next == watching, "processes", d.cur.Processes)
	d.mode = next
	clear(d.down)
	var mctx context.Context
	mctx, d.stopMode = context.WithCancel(ctx)
	if d.o.Relay != nil {
		go d.copyWhileStoreIsLost(mctx)
	}
	if next == following {
		go d.followSchedulers(mctx)
		return
	}
	d.watchStore(mctx)
}

func (d *Discovery) wantedMode() mode {
	switch {
	case !d.joined:
		return undecided
	case len(d.cur.Schedulers) == 0 || members.Contains(d.cur.Watchers, d.o.Self.Name):
		return watching
	case d.mode == watching && d.appointed != 0 && bootclock.Since(d.appointed) < appointedFor:
		return watching
	}
	return following
}

// watchStore follows the store.
func (d *Discovery) watchStore(ctx context.Context) {
	for _, s := range []source{feedConfig, feedInstances, feedRules, feedMembers} {
		go d.follower(s).run(ctx)
	}
}

// StoreCallTimeout returns how long one answer of the store may take where a change must be in
// force within apply.
func StoreCallTimeout(apply time.Duration) time.Duration {
	return time.Duration(answerShare * float64(apply))
}

// follower returns a follower of one kind of objects.
func (d *Discovery) follower(s source) *follower {
	f := &follower{feed: s, prefix: d.prefixOf(s), store: d.o.Store, wait: d.wait, answerWithin: StoreCallTimeout(d.o.ApplyLimit), retryMost: retryMost, gap: d.gap(), events: d.events, logger: d.logger}
	switch s {
	case feedRules:
		f.store, f.wait, f.retryMost = d.o.Stale, d.slowWait, retryMost*slowFactor
		f.confirm = d.o.Store
	case feedMembers:
		f.store, f.wait, f.retryMost = d.o.Stale, d.slowWait, retryMost*slowFactor
	}
	return f
}

// prefixOf returns where the objects of a feed are in the store.
func (d *Discovery) prefixOf(s source) string {
	switch s {
	case feedConfig:
		return d.o.Prefixes.Config
	case feedInstances:
		return d.o.Prefixes.Instances
	case feedRules:
		return d.o.Prefixes.Rules
	}
	return d.o.Prefixes.Members
}

// ownWait is how long a watch waits in a fleet in which all watch.
func (d *Discovery) ownWait() time.Duration {
	return time.Duration(waitShare * float64(d.o.SettleTime))
}

// wait is how long a watch of the configuration or the instances waits now.
func (d *Discovery) wait() time.Duration {
	wait := d.ownWait()
	if d.View().Processes > members.MaxFullMesh {
		wait = min(wait, time.Duration(sharedShare*float64(d.o.PropagationLimit)))
	}
	if d.o.MaxConfigStaleness > 0 {
		wait = min(wait, time.Duration(proveShare*float64(d.o.MaxConfigStaleness)))
	}
	return wait
}

// gapShare is the part of Within that lies between two questions of which the first was answered with
// changes. The first change after a calm is told at once, and those of a flood in as many messages at any
// number of instances: 10,000 that registered 490 a second were as many messages to each process.
const gapShare = 0.04

// gap is how far two questions lie apart while changes come.
func (d *Discovery) gap() time.Duration {
	return time.Duration(gapShare * float64(d.o.PropagationLimit))
}

// slowWait is how long a watch of rules or members waits.
func (d *Discovery) slowWait() time.Duration { return d.ownWait() * slowFactor }

func (d *Discovery) send(ctx context.Context, event any) {
	select {
	case d.events <- event:
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// pauseUntil waits until a time, if that is to come.
func pauseUntil(ctx context.Context, at bootclock.Instant) {
	if left := at.Sub(bootclock.Now()); left > 0 {
		pause(ctx, left)
	}
}

// listing is the change that a whole list is.
func listing(s source, objects []objstore.Object, asked bootclock.Instant) changed {
	c := changed{feed: s, reset: true, asked: asked, confirmed: asked}
	for _, obj := range objects {
		c.events = append(c.events, objstore.Event{Object: obj})
	}
	return c
}
