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

// source names one kind of objects that is followed.
type source string

// changed is what a follower learned from one answer of the store.
type changed struct {
	feed source
	// settled is true if another process told this: it has hidden what is secret, and decided
	// what to make of registrations that went while the store was away.
	settled bool
	// reset is true if events holds everything that exists.
	reset bool
	// asked is when the question was sent to the store, confirmed is as of when its answer is
	// known to hold: that it took longer than it was asked to wait may have been its way.
	asked, confirmed bootclock.Instant
	// revision is the one of the store up to which the events are complete.
	revision objstore.Revision
	// events are in the order in which they happened: an object may go and come
	// back in one answer.
	events []objstore.Event
	// decoded are instances of events that have been decoded already, by their keys.
	decoded map[string]*fleet.Instance
}

// lostStore says that a call of a feed failed.
type lostStore struct {
	feed source
	err  error
}

// follower keeps one kind of objects up to date through short watches. A watch
// that is cut silently is noticed when its time is up.
type follower struct {
	feed   source
	prefix string
	store  objstore.Store
	// confirm is asked before an empty list of a store that may be stale counts: that can be
	// older than its revision. It is nil where the list is never stale.
	confirm objstore.Store
	// wait returns how long the next watch waits.
	wait func() time.Duration
	// answerWithin is how long an answer may take beyond the wait.
	answerWithin time.Duration
	// retryMost is the longest pause between failed calls.
	retryMost time.Duration
	// gap is how far two calls lie apart at the least of which the first told of changes.
	gap    time.Duration
	events chan<- any
	logger log.Logger
}

const (
	// retryFirst and retryMost bound the pause between failed calls. The store's
	// return has to be seen well within the time that a configuration has.
	retryFirst = 100 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// probeWait is how long a watch waits after a failed one, so that the store's
	// return is seen soon.
	probeWait = 50 * time.Millisecond
	// catchUpWait is how long a watch waits that brings a long list up to date: the least that a store
	// takes.
	catchUpWait = time.Millisecond
	// listMost bounds a whole list; Options.Store bounds each of its pages. A list of 3,000
	// engines has 60 pages, which take 12 s from a store that answers in 200 ms.
	listMost = 15 * time.Second
)

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryFirst, f.retryMost
	rev, listed, failed := objstore.Revision(0), false, false
	for ctx.Err() == nil {
		var err error
		news, asked := 0, bootclock.Now()
		if listed {
			rev, news, err = f.watch(ctx, rev, failed)
		} else {
			rev, err = f.list(ctx)
		}
		switch {
		case err == nil:
			listed, failed = true, false
			pause.Reset()
			if news > 0 {
				pauseUntil(ctx, asked.Add(f.gap))
			}
			continue
		case errors.Is(err, objstore.ErrWatchGap):
			level.Info(f.logger).Log("msg", "watch has a gap, listing again", "feed", f.feed, "revision", rev)
			listed = false
			continue
		case ctx.Err() != nil:
			return
		}
		failed = true
		f.send(ctx, lostStore{f.feed, err})
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// look reads all objects once, and tells if the store does not answer. It returns no error if
// ctx has ended.
func (f *follower) look(ctx context.Context) error {
	_, err := f.list(ctx)
	if err == nil || ctx.Err() != nil {
		return nil
	}
	f.send(ctx, lostStore{f.feed, err})
	return err
}

// list reads all objects once.
func (f *follower) list(ctx context.Context) (objstore.Revision, error) {
	asked := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, listMost)
	defer cancel()
	objects, rev, err := f.store.List(ctx, f.prefix)
	if err == nil && len(objects) == 0 && f.confirm != nil {
		objects, rev, err = f.confirm.List(ctx, f.prefix)
	}
	if fault.Is(err, fault.NotFound) {
		err = nil // a kind without objects
	}
	if err != nil {
		return rev, err
	}
	c := listing(f.feed, objects, asked)
	c.revision = rev
	if bootclock.Since(asked) > probeWait {
		f.catchUp(ctx, &c)
	}
	f.send(ctx, c)
	return c.revision, nil
}

// catchUp adds to a list that took long what has changed since its first page. Without it the
// list is as old as it took, and too old for those that follow this process: each listed by
// itself. A failure leaves the list as it is; the watch that follows shows it.
func (f *follower) catchUp(ctx context.Context, c *changed) {
	asked := bootclock.Now()
	wctx, cancel := context.WithTimeout(ctx, f.answerWithin)
	defer cancel()
	events, rev, err := f.store.Watch(wctx, f.prefix, c.revision, catchUpWait)
	if err != nil {
		level.Info(f.logger).Log("msg", "list not brought up to date", "feed", f.feed, "took", bootclock.Since(c.asked).Round(time.Millisecond), "err", err)
		return
	}
	c.events = append(c.events, events...)
	c.asked, c.confirmed, c.revision = asked, asked, max(rev, c.revision)
}

// watch waits for changes and returns up to which revision they are known, and how many came.
func (f *follower) watch(ctx context.Context, after objstore.Revision, failed bool) (objstore.Revision, int, error) {
	wait := f.wait()
	if failed {
		wait = probeWait
	}
	asked := bootclock.Now()
	wctx, cancel := context.WithTimeout(ctx, wait+f.answerWithin)
	defer cancel()
	events, rev, err := f.store.Watch(wctx, f.prefix, after, wait)
	if err != nil {
		return after, 0, err
	}
	rev = max(rev, after)
	f.send(ctx, changed{feed: f.feed, events: events, asked: asked, confirmed: min(bootclock.Now(), asked.Add(wait)), revision: rev})
	return rev, len(events), nil
}

func (f *follower) send(ctx context.Context, event any) {
	select {
	case f.events <- event:
	case <-ctx.Done():
	}
}
