// Package workrate exchanges the work that the schedulers have placed for the services whose engines
// may be ordered.
package workrate

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/capacity"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/loadshare"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/placement"
)

// maxServices is the number of services per digest, of some 60 bytes each. The demand for others is
// unknown.
const maxServices = 16

// Table has the last report of each scheduler. It is safe for concurrent use.
type Table struct {
	self, incarnation string
	// view returns the latest view, totals the work that this process has placed, by service.
	view   func() *fleet.View
	totals func() map[string]placement.WorkTotals

	mu    sync.Mutex
	peers map[string]*peerReports // by peer
}

var _ loadshare.Extension = (*Table)(nil)

// peerReports are the last reports of a peer.
type peerReports struct {
	// previous is the run before the present one. Its late digests are ignored.
	incarnation, previous string
	reports               map[string]capacity.Report // by service
}

// New returns a table of the process with the given name and run.
func New(self, incarnation string, view func() *fleet.View, totals func() map[string]placement.WorkTotals) *Table {
	return &Table{self: self, incarnation: incarnation, view: view, totals: totals, peers: map[string]*peerReports{}}
}

// AddTo implements loadshare.Extension. Services without work are reported too, so that a peer knows
// that there is none.
func (t *Table) AddTo(d *peerpb.LoadDigest) {
	v := t.view()
	if v.Config == nil {
		return
	}
	var totals map[string]placement.WorkTotals
	for _, name := range slices.Sorted(maps.Keys(v.Config.Services)) {
		if v.Config.Services[name].Scaling == nil || len(d.Work) == maxServices {
			continue
		}
		if totals == nil {
			totals = t.totals()
		}
		w := totals[name]
		d.Work = append(d.Work, &peerpb.ServiceWork{Service: name, PrefillMs: w.PrefillMs, DecodeMs: w.DecodeMs, Requests: w.Requests, Incarnation: t.incarnation})
	}
}

// Apply implements loadshare.Extension.
func (t *Table) Apply(from *peerpb.Identity, d *peerpb.LoadDigest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := d.GetWork()
	work = work[:min(len(work), maxServices)]
	for _, w := range work {
		p := t.peers[from.GetName()]
		switch {
		case p == nil:
			p = &peerReports{incarnation: w.GetIncarnation(), reports: map[string]capacity.Report{}}
			t.peers[from.GetName()] = p
		case p.previous == w.GetIncarnation() && p.incarnation != w.GetIncarnation():
			return
		case p.incarnation != w.GetIncarnation():
			p.previous, p.incarnation = p.incarnation, w.GetIncarnation()
			clear(p.reports)
		}
		p.apply(w)
	}
	if p := t.peers[from.GetName()]; p != nil && len(work) > 0 {
		p.retain(work)
	}
}

// retain drops the reports for services that a digest no longer names.
func (p *peerReports) retain(work []*peerpb.ServiceWork) {
	maps.DeleteFunc(p.reports, func(service string, _ capacity.Report) bool {
		return !slices.ContainsFunc(work, func(w *peerpb.ServiceWork) bool { return w.GetService() == service })
	})
}

// apply replaces the report for a service, unless the digest is older than the last one.
func (p *peerReports) apply(w *peerpb.ServiceWork) {
	last, known := p.reports[w.GetService()]
	if known && (w.GetPrefillMs() < last.Work.PrefillMs || w.GetDecodeMs() < last.Work.DecodeMs) {
		return
	}
	p.reports[w.GetService()] = capacity.Report{Incarnation: w.GetIncarnation(), At: time.Now(), Work: capacity.Work{PrefillMs: w.GetPrefillMs(), DecodeMs: w.GetDecodeMs()}}
}

// Forget implements loadshare.Extension.
func (t *Table) Forget(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, peer)
}

// Reports returns the last reports for a service by scheduler, including this process.
func (t *Table) Reports(service string) map[string]capacity.Report {
	own := t.totals()[service]
	out := map[string]capacity.Report{
		t.self: {Incarnation: t.incarnation, At: time.Now(), Work: capacity.Work{PrefillMs: own.PrefillMs, DecodeMs: own.DecodeMs}},
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		if r, ok := p.reports[service]; ok {
			out[name] = r
		}
	}
	return out
}
