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

// mode says where a process gets its view of the deployment from.
type mode int

const (
	// undecided processes do not know the fleet yet.
	undecided mode = iota
	// watching processes watch the store.
	watching
	// following processes follow a scheduler or, if they are schedulers, a watcher.
	following
)

const (
	// joinRetry is how often a starting process reads the list of members until the list is
	// conclusive, and joinTimeout for how long at most. Stale lists are seconds old.
	joinRetry   = 300 * time.Millisecond
	joinTimeout = 3 * time.Second
	// establishedAfter is how much earlier than this process another one must have started for
	// the fleet to count as an established one.
	establishedAfter = 5 * time.Second
	// reviewInterval is how often the schedulers are checked for unresponsive ones.
	reviewInterval = 500 * time.Millisecond
	// appointedDuration is how long a process that another one named a watcher remains one,
	// even if its own data says otherwise.
	appointedDuration = 20 * time.Second
)

// join reads the directory or, if there is no usable one, the members until the list is conclusive. A
// new process must not take a list that is older than its own registration for complete.
func (d *Discovery) join(ctx context.Context) {
	dir, err := d.readDirectory(ctx)
	if err == nil {
		d.send(ctx, directoryRead{dir})
		return
	}
	level.Info(d.logger).Log("msg", "no usable directory, listing the members", "err", err)
	start := bootclock.Now()
	f := d.follower(feedMembers)
	for ctx.Err() == nil {
		asked := bootclock.Now()
		lctx, cancel := context.WithTimeout(ctx, listTimeout)
		objects, _, err := f.store.List(lctx, f.prefix)
		cancel()
		timedOut := bootclock.Since(start) > joinTimeout
		switch {
		case err != nil && !fault.Is(err, fault.NotFound):
			f.send(ctx, feedFailure{feedMembers, err})
		case timedOut || d.isListConclusive(members.Parse(objects)):
			f.send(ctx, fullUpdate(feedMembers, objects, asked))
			return
		}
		sleep(ctx, joinRetry)
	}
}

// isListConclusive reports whether a list shows that the fleet is large or established, or is at least
// as new as this process's own registration.
func (d *Discovery) isListConclusive(all []members.Member) bool {
	if len(all) > members.MaxFullMesh {
		return true
	}
	return slices.ContainsFunc(all, func(m members.Member) bool {
		return m.Name == d.o.Self.Name || m.StartedBefore(d.o.Self, establishedAfter)
	})
}

// updateSchedulers determines the schedulers from the members.
func (d *Discovery) updateSchedulers() {
	all := slices.Collect(maps.Values(d.members))
	gossipPeers := members.Schedulers(all, nil)
	schedulers := members.Schedulers(all, d.isExcluded)
	for _, m := range schedulers {
		if !members.Contains(gossipPeers, m.Name) {
			gossipPeers = append(gossipPeers, m)
		}
	}
	d.setSchedulers(schedulers, members.Watchers(schedulers, d.cur.Processes), gossipPeers)
}

// isExcluded reports whether a member is unresponsive, so that another one takes its place as scheduler.
func (d *Discovery) isExcluded(name string) bool {
	return name != d.o.Self.Name && d.o.IsUnresponsive(name)
}

// setSchedulers sets the schedulers, the watchers and the gossip peers, and logs a change of the first two.
func (d *Discovery) setSchedulers(all, watchers, gossipPeers []members.Member) {
	same := sameNames(all, d.cur.Schedulers) && sameNames(watchers, d.cur.Watchers)
	d.cur.Schedulers, d.cur.Watchers, d.cur.GossipPeers = all, watchers, gossipPeers
	d.cur.Scheduling = members.Contains(all, d.o.Self.Name)
	if !same {
		level.Info(d.logger).Log("msg", "schedulers", "names", strings.Join(members.Names(all), ","), "watchers", strings.Join(members.Names(watchers), ","), "processes", d.cur.Processes)
	}
}

func sameNames(a, b []members.Member) bool {
	return slices.Equal(members.Names(a), members.Names(b))
}

// reviewSchedulers updates the schedulers, as some may have become unresponsive or have recovered.
func (d *Discovery) reviewSchedulers(ctx context.Context) {
	if d.mode != watching || len(d.members) == 0 {
		return // a process that joined from the directory has not listed the members yet
	}
	d.dropUnlistedMembers()
	d.updateSchedulers()
	d.chooseMode(ctx)
	d.updateDirectory(ctx)
	d.publish()
}

// chooseMode changes to the mode that this process should be in.
func (d *Discovery) chooseMode(ctx context.Context) {
	next := d.nextMode()
	if next == d.mode {
		return
	}
	if d.stopMode != nil {
		d.stopMode()
	}
	if d.mode == following && next == watching && d.cur.Processes > members.MaxFullMesh {
		// Not in a fleet that seems small: it may be a new one, and the process that named this one a
		// watcher may not have seen all of its members yet.
		d.appointedAt = bootclock.Now()
	}
	level.Info(d.logger).Log("msg", "mode", "watching", next == watching, "processes", d.cur.Processes)
	d.mode = next
	clear(d.failingFeeds)
	var mctx context.Context
	mctx, d.stopMode = context.WithCancel(ctx)
	if d.o.Relay != nil {
		go d.fetchWhileStoreUnreachable(mctx)
		go d.keepConfigConfirmed(mctx)
	}
	if next == following {
		go d.followSchedulers(mctx)
		return
	}
	d.watchStore(mctx)
}

func (d *Discovery) nextMode() mode {
	switch {
	case !d.joined:
		return undecided
	case len(d.cur.Schedulers) == 0 || members.Contains(d.cur.Watchers, d.o.Self.Name):
		return watching
	case d.mode == watching && d.appointedAt != 0 && bootclock.Since(d.appointedAt) < appointedDuration:
		return watching
	}
	return following
}

// watchStore starts a follower of the store for each feed.
func (d *Discovery) watchStore(ctx context.Context) {
	for _, s := range []feedName{feedConfig, feedInstances, feedRules, feedMembers} {
		go d.follower(s).run(ctx)
	}
}

// StoreCallTimeout returns the timeout of one answer of the store for the given apply limit.
func StoreCallTimeout(applyLimit time.Duration) time.Duration {
	return time.Duration(answerTimeoutShare * float64(applyLimit))
}

// follower returns a follower of a feed.
func (d *Discovery) follower(s feedName) *follower {
	f := &follower{feed: s, prefix: d.prefixOf(s), store: d.o.Store, wait: d.watchWait, answerTimeout: StoreCallTimeout(d.o.ApplyLimit), maxRetryDelay: maxRetryDelay, minInterval: d.minInterval(), events: d.events, logger: d.logger}
	switch s {
	case feedRules:
		f.store, f.wait, f.maxRetryDelay = d.o.Stale, d.slowWatchWait, maxRetryDelay*slowWatchFactor
		f.freshStore = d.o.Store
	case feedMembers:
		f.store, f.wait, f.maxRetryDelay = d.o.Stale, d.slowWatchWait, maxRetryDelay*slowWatchFactor
	}
	return f
}

// prefixOf returns the key prefix of a feed's objects.
func (d *Discovery) prefixOf(s feedName) string {
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

// baseWait is how long a watch waits in a fleet in which every process watches the store.
func (d *Discovery) baseWait() time.Duration {
	return time.Duration(watchWaitShare * float64(d.o.SettleTime))
}

// watchWait is how long the next watch of the configuration or the instances waits.
func (d *Discovery) watchWait() time.Duration {
	wait := d.baseWait()
	if d.View().Processes > members.MaxFullMesh {
		wait = min(wait, time.Duration(relayedWaitShare*float64(d.o.PropagationLimit)))
	}
	if d.o.MaxConfigStaleness > 0 {
		wait = min(wait, time.Duration(stalenessWaitShare*float64(d.o.MaxConfigStaleness)))
	}
	return wait
}

// minIntervalShare is the share of the propagation limit between two requests if the first one
// returned changes. The first change after a quiet time is sent at once, and the number of messages in
// a burst does not depend on the number of changes. Without this interval, when 10,000 instances
// registered at 490 a second, each process received a message for each of them.
const minIntervalShare = 0.04

// minInterval is the minimum time between two requests while changes arrive.
func (d *Discovery) minInterval() time.Duration {
	return time.Duration(minIntervalShare * float64(d.o.PropagationLimit))
}

// slowWatchWait is how long a watch of rules or members waits.
func (d *Discovery) slowWatchWait() time.Duration { return d.baseWait() * slowWatchFactor }

func (d *Discovery) send(ctx context.Context, event any) {
	select {
	case d.events <- event:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sleepUntil waits until the given instant or until ctx ends.
func sleepUntil(ctx context.Context, at bootclock.Instant) {
	if remaining := at.Sub(bootclock.Now()); remaining > 0 {
		sleep(ctx, remaining)
	}
}

// fullUpdate returns the update for a complete list of a feed's objects.
func fullUpdate(s feedName, objects []objstore.Object, asked bootclock.Instant) feedUpdate {
	c := feedUpdate{feed: s, full: true, askedAt: asked, confirmedAt: asked}
	for _, obj := range objects {
		c.events = append(c.events, objstore.Event{Object: obj})
	}
	return c
}
