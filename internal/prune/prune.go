// Package prune removes the registrations of processes whose hosts were removed for good. The holder of the
// duties regularly checks which registered processes no scheduler has contact with. Processes write no
// heartbeats to the store: each process follows a scheduler all the time, and the schedulers know which
// processes they have contact with.
package prune

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// ReviewInterval is the time between two reviews. A review lists the members from reads that may
	// be seconds old: 6 calls for 300 members, which do not count against the store's rate limit.
	ReviewInterval = 30 * time.Second
	// RemoveAfter is how long all reviews must have found a process unresponsive before its
	// registration is removed. Restarts take seconds and network partitions between regions last
	// minutes. A registration that stays for longer takes up a place among the members.
	RemoveAfter = 10 * time.Minute
	// maxReviewGap is the longest time, in review intervals, between two reviews for an observation
	// to continue: a holder that was paused for longer has had contact with no process.
	maxReviewGap = 3
	// maxRemovalsPerReview limits the deletes of one review. This makes 8 deletes a minute, while the
	// store accepts several hundred writes a second.
	maxRemovalsPerReview = 4
	// queryTimeout limits one query to a scheduler, which responds within milliseconds.
	queryTimeout = 500 * time.Millisecond
	// storeTimeout limits one call of the store.
	storeTimeout = 5 * time.Second
)

// Options of a Pruner.
type Options struct {
	Self      members.Member
	Authority duty.Granter
	// Store is used for deletes, Stale for lists, which may be seconds old.
	Store, Stale objstore.Store
	// Prefix is the key prefix of the registrations.
	Prefix string
	View   func() *fleet.View
	// HasContact reports whether this process has contact with another one.
	HasContact func(name string) bool
	// WithoutContact asks a scheduler which of the named processes it has no contact with.
	WithoutContact func(ctx context.Context, scheduler members.Member, names []string) ([]string, error)
	// ReviewInterval and RemoveAfter are the constants of the same names, except in tests.
	ReviewInterval, RemoveAfter time.Duration
	Logger                      log.Logger
}

// Pruner performs the duty.
type Pruner struct {
	o      Options
	logger log.Logger
	// unresponsive are the registrations that every review has found unresponsive since the time in
	// the entry, by key.
	unresponsive map[string]unresponsiveEntry
	reviewedAt   bootclock.Instant
}

// unresponsiveEntry is a registration of a process that no scheduler has contact with.
type unresponsiveEntry struct {
	version objstore.Version
	since   bootclock.Instant
}

// New returns a pruner that starts to work once Run is called.
func New(o Options) *Pruner {
	return &Pruner{o: o, logger: log.With(o.Logger, "component", "prune"), unresponsive: map[string]unresponsiveEntry{}}
}

// Run reviews the registrations until ctx ends, whenever this process has the authority.
func (p *Pruner) Run(ctx context.Context) { periodic.Run(ctx, p.o.ReviewInterval, p.review) }

// review performs one review. If it fails, all observations start over.
func (p *Pruner) review(ctx context.Context) {
	if err := p.reviewOnce(ctx); err != nil {
		level.Info(p.logger).Log("msg", "unresponsive processes could not be determined", "err", err)
		clear(p.unresponsive)
	}
}

// reviewOnce determines which processes are unresponsive, and removes the registrations of those that have
// been unresponsive for RemoveAfter. After an error it is not known which processes are unresponsive.
func (p *Pruner) reviewOnce(ctx context.Context) error {
	grant, ok := p.o.Authority.Grant()
	if !ok {
		clear(p.unresponsive)
		return nil
	}
	last := p.reviewedAt
	p.reviewedAt = bootclock.Now()
	if p.reviewedAt.Sub(last) > maxReviewGap*p.o.ReviewInterval {
		clear(p.unresponsive)
	}
	if !p.o.View().StoreUp {
		return fault.New(fault.Unavailable, "store does not respond", "the next review tries again")
	}
	lctx, cancel := context.WithTimeout(ctx, storeTimeout)
	registered, _, err := p.o.Stale.List(lctx, p.o.Prefix)
	cancel()
	if err != nil {
		return err
	}
	withoutContact, err := p.withoutContact(ctx, registered)
	if err != nil {
		return err
	}
	p.recordUnresponsive(registered, withoutContact)
	p.removeUnresponsive(ctx, grant)
	return nil
}

// withoutContact returns the names of the members that neither this process nor any other scheduler has
// contact with.
func (p *Pruner) withoutContact(ctx context.Context, registered []objstore.Object) ([]string, error) {
	var names []string
	for _, m := range members.Parse(registered) {
		if m.Name != p.o.Self.Name && !p.o.HasContact(m.Name) {
			names = append(names, m.Name)
		}
	}
	for _, scheduler := range p.o.View().Schedulers {
		if scheduler.Name == p.o.Self.Name || len(names) == 0 {
			continue
		}
		qctx, cancel := context.WithTimeout(ctx, queryTimeout)
		stillWithout, err := p.o.WithoutContact(qctx, scheduler, names)
		cancel()
		if err != nil {
			return nil, err // the contacts of this scheduler are unknown
		}
		names = slices.DeleteFunc(names, func(n string) bool { return n == scheduler.Name || !slices.Contains(stillWithout, n) })
	}
	return names, nil
}

// recordUnresponsive applies the result of a review. An observation continues only as long as the
// registration stays the same.
func (p *Pruner) recordUnresponsive(registered []objstore.Object, withoutContact []string) {
	next := map[string]unresponsiveEntry{}
	for _, obj := range registered {
		m, ok := members.Decode(obj)
		if !ok || !slices.Contains(withoutContact, m.Name) {
			continue
		}
		entry, known := p.unresponsive[obj.Key]
		if !known || entry.version != obj.Version {
			entry = unresponsiveEntry{obj.Version, p.reviewedAt}
			level.Info(p.logger).Log("msg", "no scheduler has contact with process", "process", m.Name, "revision", obj.Version)
		}
		next[obj.Key] = entry
	}
	p.unresponsive = next
}

// removeUnresponsive deletes a few of the registrations that have been unresponsive for RemoveAfter. A
// delete names the version that was observed, so that a renewed registration stays.
func (p *Pruner) removeUnresponsive(ctx context.Context, grant duty.Grant) {
	removed := 0
	for key, entry := range p.unresponsive {
		if p.reviewedAt.Sub(entry.since) < p.o.RemoveAfter || removed == maxRemovalsPerReview {
			continue
		}
		if err := grant.Check(); err != nil {
			level.Info(p.logger).Log("msg", "registration not removed", "key", key, "err", err)
			return
		}
		dctx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := p.o.Store.Delete(dctx, key, entry.version)
		cancel()
		removed++
		delete(p.unresponsive, key)
		level.Info(p.logger).Log("msg", "registration removed", "key", key, "revision", entry.version, "silent_for", p.reviewedAt.Sub(entry.since).Round(time.Second), "err", err)
	}
}
