package resumption

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// publishInterval is how often a process looks for versions that it doesn't know to be published, and askInterval the minimum
	// time between two reads of the list for them, plus askSpread for each process of the fleet.
	publishInterval = 50 * time.Millisecond
	askInterval     = 100 * time.Millisecond
	askSpread       = time.Millisecond
	// publishAfter is how long a process waits for the holder of the duties to publish a version before it does so itself.
	// publishSpread is the range of a random delay, for each process of the fleet.
	publishAfter  = 300 * time.Millisecond
	publishSpread = 5 * time.Millisecond
	// openUnread and openUnwritten are how long a service is without a version that the list lacks, while the list can't be
	// read and while nobody writes it. A service that has no other version then uses this one.
	openUnread    = time.Second
	openUnwritten = 5 * time.Second
	// recheckInterval is how often a process makes sure that what it knows to be published still is.
	recheckInterval = 10 * time.Second
)

// publisher learns which versions are published. Only one goroutine may use it.
type publisher struct {
	r     *Registry
	known map[string][]string
	// era is that of the store in which known was read.
	era int64
	// listed has the services that the list has versions of. unread is true if the last read failed.
	listed map[string]bool
	unread bool
	// lacking is since when a service has had a version that isn't known to be published.
	lacking map[string]time.Time
	// reportedOpen are the services that were last reported to be open.
	reportedOpen map[string]bool
	// readAt is when the list was last read, writeAt when this process publishes what is missing then, both 0 for never.
	readAt, writeAt time.Time
}

// runPublisher keeps the published versions known until ctx ends.
func (r *Registry) runPublisher(ctx context.Context) {
	p := &publisher{r: r}
	p.update(ctx)
	tick := time.NewTicker(publishInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			p.update(ctx)
		}
	}
}

// update reads the list if the view has a version that isn't known to be published.
func (p *publisher) update(ctx context.Context) {
	v := p.r.o.View()
	serving := v.Software()
	if v.Era != p.era { // the list that was read may be of changes that the store has lost
		p.known, p.era = nil, v.Era
	}
	changed := v.InstancesKnown && p.forget(serving)
	if p.known == nil || p.lacks(serving) || time.Since(p.readAt) > recheckInterval {
		changed = p.refresh(ctx, v) || changed
	} else {
		p.writeAt = time.Time{}
	}
	if open := p.openServices(serving, time.Now()); changed || !maps.Equal(open, p.reportedOpen) {
		p.reportedOpen = open
		p.report(ctx)
	}
}

// refresh reads the list, unless it was read just now. It reports whether other versions are known to be published than before.
func (p *publisher) refresh(ctx context.Context, v *fleet.View) (changed bool) {
	if time.Since(p.readAt) < askInterval+time.Duration(v.Processes)*askSpread {
		return false
	}
	p.readAt = time.Now()
	cctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	list, at, err := p.read(cctx, v.Processes)
	if p.unread = err != nil; p.unread {
		p.r.count("list_unread")
		level.Debug(p.r.logger).Log("msg", "published versions not read", "err", err)
		return false
	}
	before := p.known
	p.known, p.listed = list.serving(), map[string]bool{}
	for service, versions := range list.Until {
		p.listed[service] = len(versions) > 0
	}
	if v.InstancesKnown {
		p.forget(v.Software())
	}
	p.publishLate(cctx, v, list, at)
	return before == nil || !maps.EqualFunc(before, p.known, slices.Equal)
}

// openServices returns the services that may use a version that isn't known to be published if they have no other: those that
// the list has no version of, so that nobody concludes that there was only one, and those that have waited for too long.
func (p *publisher) openServices(serving map[string][]string, now time.Time) map[string]bool {
	limit := openUnwritten
	if p.unread {
		limit = openUnread
	}
	lacking, open := map[string]time.Time{}, map[string]bool{}
	for service, versions := range serving {
		if !slices.ContainsFunc(versions, func(version string) bool { return !slices.Contains(p.known[service], version) }) {
			continue
		}
		since, known := p.lacking[service]
		if !known {
			since = now
		}
		lacking[service] = since
		if p.known != nil && !p.listed[service] || now.Sub(since) > limit {
			open[service] = true
		}
	}
	p.lacking = lacking
	return open
}

// read returns the list. In a fleet whose reads would burden the store it may be some seconds old: a version stays in it for
// longer.
func (p *publisher) read(ctx context.Context, processes int) (storedVersions, objstore.Version, error) {
	o := *p.r.o.Store
	if processes <= maxSaving || o.Stale == nil || !p.writeAt.IsZero() && time.Now().After(p.writeAt) {
		return getVersions(ctx, o)
	}
	objs, _, err := o.Stale.List(ctx, o.Prefix)
	var v storedVersions
	for _, obj := range objs {
		if obj.Key == o.Prefix+versionsName {
			return v, obj.Version, json.Unmarshal(obj.Value, &v)
		}
	}
	return v, 0, err
}

// publishLate publishes what the holder of the duties has not published for too long.
func (p *publisher) publishLate(ctx context.Context, v *fleet.View, list storedVersions, at objstore.Version) {
	serving := v.Software()
	if !p.lacks(serving) {
		p.writeAt = time.Time{}
		return
	}
	if p.writeAt.IsZero() {
		p.writeAt = time.Now().Add(publishAfter + rand.N(time.Duration(v.Processes+1)*publishSpread))
		return
	}
	if time.Now().Before(p.writeAt) || !v.InstancesKnown || !p.r.history.isCurrent(v) {
		return
	}
	o := p.r.o.Store
	next := list.with(serving, o.Clock(), v.Era)
	value, err := json.Marshal(next)
	if err == nil {
		_, err = o.Store.Put(ctx, o.Prefix+versionsName, value, at, o.Writer)
	}
	p.writeAt = time.Time{}
	level.Info(p.r.logger).Log("msg", "versions published in place of the holder of the duties", "err", err)
}

// forget drops the versions that no instance has any more: they may be taken from the list before one comes back. It reports
// whether there were any.
func (p *publisher) forget(serving map[string][]string) (changed bool) {
	for service, versions := range p.known {
		kept := slices.DeleteFunc(slices.Clone(versions), func(version string) bool { return !slices.Contains(serving[service], version) })
		if len(kept) < len(versions) {
			p.known[service], changed = kept, true
		}
	}
	return changed
}

// lacks reports whether a version serves that isn't known to be published.
func (p *publisher) lacks(serving map[string][]string) bool {
	for service, versions := range serving {
		for _, version := range versions {
			if !slices.Contains(p.known[service], version) {
				return true
			}
		}
	}
	return false
}

func (p *publisher) report(ctx context.Context) {
	p.r.o.OnPublished(ctx, fleet.NewPublished(maps.Clone(p.known), p.reportedOpen))
	level.Info(p.r.logger).Log("msg", "published versions", "services", len(p.known), "versions", describeVersions(p.known), "open", len(p.reportedOpen), "unread", p.unread)
}
