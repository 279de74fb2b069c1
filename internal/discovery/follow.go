package discovery

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/objstore"
)

// feedName names a feed.
type feedName string

// feedUpdate holds the changes of one feed from one answer of the store or one update of a relay.
type feedUpdate struct {
	feed feedName
	// relayed is true if the update came from another process. That process has removed the
	// secrets, and has decided about registrations that expired during an outage of the store.
	relayed bool
	// full is true if events holds all existing objects.
	full bool
	// askedAt is when the request was sent to the store. confirmedAt is the time up to which the
	// answer is known to be complete: at most the wait of the watch after askedAt, since any
	// further time may have been spent on the network.
	askedAt, confirmedAt bootclock.Instant
	// revision is the store's revision up to which the events are complete.
	revision objstore.Revision
	// events are in the order in which they happened. One answer may delete an object and
	// create it again.
	events []objstore.Event
	// decoded holds instances of the events that have been decoded already, by key.
	decoded map[string]*fleet.Instance
}

// feedFailure is the event that a store call of a feed failed.
type feedFailure struct {
	feed feedName
	err  error
}

// follower keeps the objects of one feed up to date through short watches. The timeout of a
// watch detects a connection that was cut silently.
type follower struct {
	feed   feedName
	prefix string
	store  objstore.Store
	// freshStore is asked to confirm an empty list of a store whose answers may be stale: the
	// content of such a list can be older than its revision. It is nil if lists are never stale.
	freshStore objstore.Store
	// wait returns how long the next watch waits for changes.
	wait func() time.Duration
	// answerTimeout is how long an answer may take beyond the wait.
	answerTimeout time.Duration
	// maxRetryDelay is the longest pause between failed calls.
	maxRetryDelay time.Duration
	// minInterval is the minimum time between two calls if the first one returned changes.
	minInterval time.Duration
	events      chan<- any
	logger      log.Logger
}

const (
	// initialRetryDelay and maxRetryDelay bound the pause between failed calls. The end of an
	// outage has to be noticed well within the time in which a configuration must be in force.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 400 * time.Millisecond
	// probeWait is how long a watch waits after a failed one. It is short so that the end of
	// an outage is noticed soon.
	probeWait = 50 * time.Millisecond
	// catchUpWait is how long the watch waits that brings a slow list up to date. It is the
	// smallest wait that a store accepts.
	catchUpWait = time.Millisecond
	// listTimeout bounds a whole list; Options.Store bounds each of its pages. A list of 3,000
	// engines has 60 pages, which take 12 s if the store answers in 200 ms.
	listTimeout = 15 * time.Second
)

// run follows the feed until ctx ends.
func (f *follower) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = initialRetryDelay, f.maxRetryDelay
	rev, listed, failed := objstore.Revision(0), false, false
	for ctx.Err() == nil {
		var err error
		changes, asked := 0, bootclock.Now()
		if listed {
			rev, changes, err = f.watch(ctx, rev, failed)
		} else {
			rev, err = f.list(ctx)
		}
		switch {
		case err == nil:
			listed, failed = true, false
			retry.Reset()
			if changes > 0 {
				sleepUntil(ctx, asked.Add(f.minInterval))
			}
			continue
		case errors.Is(err, objstore.ErrWatchGap):
			level.Info(f.logger).Log("msg", "watch history is incomplete, listing again", "feed", f.feed, "revision", rev)
			listed = false
			continue
		case ctx.Err() != nil:
			return
		}
		failed = true
		f.send(ctx, feedFailure{f.feed, err})
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

// readOnce lists the objects once and sends them as a full update, or sends an event if that
// fails. It returns no error if ctx has ended.
func (f *follower) readOnce(ctx context.Context) error {
	_, err := f.list(ctx)
	if err == nil || ctx.Err() != nil {
		return nil
	}
	f.send(ctx, feedFailure{f.feed, err})
	return err
}

// list reads all objects once and sends them as a full update.
func (f *follower) list(ctx context.Context) (objstore.Revision, error) {
	asked := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, rev, err := f.store.List(ctx, f.prefix)
	if err == nil && len(objects) == 0 && f.freshStore != nil {
		objects, rev, err = f.freshStore.List(ctx, f.prefix)
	}
	if fault.Is(err, fault.NotFound) {
		err = nil // no object of this kind exists
	}
	if err != nil {
		return rev, err
	}
	c := fullUpdate(f.feed, objects, asked)
	c.revision = rev
	if bootclock.Since(asked) > probeWait {
		f.catchUp(ctx, &c)
	}
	f.send(ctx, c)
	return c.revision, nil
}

// catchUp adds the changes since the first page to a list that took long. Without them the list
// would be as old as it took to read, too old for the processes that follow this one, and each
// of them would list the objects itself. A failure leaves the list as it is; the next watch
// reports it.
func (f *follower) catchUp(ctx context.Context, c *feedUpdate) {
	asked := bootclock.Now()
	wctx, cancel := context.WithTimeout(ctx, f.answerTimeout)
	defer cancel()
	events, rev, err := f.store.Watch(wctx, f.prefix, c.revision, catchUpWait)
	if err != nil {
		level.Info(f.logger).Log("msg", "slow list could not be brought up to date", "feed", f.feed, "took", bootclock.Since(c.askedAt).Round(time.Millisecond), "err", err)
		return
	}
	c.events = append(c.events, events...)
	c.askedAt, c.confirmedAt, c.revision = asked, asked, max(rev, c.revision)
}

// watch waits for changes. It returns the revision up to which they are complete, and their number.
func (f *follower) watch(ctx context.Context, after objstore.Revision, failed bool) (objstore.Revision, int, error) {
	wait := f.wait()
	if failed {
		wait = probeWait
	}
	asked := bootclock.Now()
	wctx, cancel := context.WithTimeout(ctx, wait+f.answerTimeout)
	defer cancel()
	events, rev, err := f.store.Watch(wctx, f.prefix, after, wait)
	if err != nil {
		return after, 0, err
	}
	rev = max(rev, after)
	f.send(ctx, feedUpdate{feed: f.feed, events: events, askedAt: asked, confirmedAt: min(bootclock.Now(), asked.Add(wait)), revision: rev})
	return rev, len(events), nil
}

func (f *follower) send(ctx context.Context, event any) {
	select {
	case f.events <- event:
	case <-ctx.Done():
	}
}
