package usage

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/objstore"
)

// Report is what is billed for one window.
type Report struct {
	Window int64          `json:"window"`
	Counts map[string]int `json:"counts"`
}

// Biller takes reports.
type Biller interface {
	// ReportUsage sends a report. Exact repeats have no effect. The error is of kind Invalid
	// if the report will never be taken, and of another kind if it may be sent again.
	ReportUsage(ctx context.Context, g duty.Grant, r Report) error
}

// record is what has been decided, in the store. The first writer of a window wins, and
// only what the store holds is sent, so that no window is ever billed twice with different
// counts, whoever sends it and however often.
type record struct {
	// Next is the first window that has not been decided.
	Next int64 `json:"next"`
	// Pending are decided windows that may not have been taken yet, in their order.
	Pending []Report `json:"pending"`
	// Era is that of the store in which the record was written.
	Era int64 `json:"era,omitempty"`
}

const (
	// reviewEvery is how often it is looked whether a window can be decided or sent.
	reviewEvery = 250 * time.Millisecond
	// decideShare is the part of the time until a report is due after which a window is
	// decided if all counts have been collected, and decideLatestShare if they have not.
	// Counts are told twice a second; the rest is for an outage of the store, and for a change
	// of holder, which takes the life of the lease and the time between the calls of two.
	decideShare       = 0.08
	decideLatestShare = 0.5
	// storeTimeout and sendTimeout bound one use of the store and one report.
	storeTimeout = time.Second
	sendTimeout  = 1500 * time.Millisecond
	// maxPending bounds the decided windows that wait to be taken: the store holds values up
	// to 1 MB, and a window of 38,000 workspaces has 0.6 MB. Further windows are decided
	// later.
	maxPending = 32
	// recordName is the object that holds the record.
	recordName = "main"
)

// ReporterOptions of a Reporter.
type ReporterOptions struct {
	Store  objstore.Store
	Prefix string
	// Writer names this run of the process in what it writes.
	Writer    string
	Authority duty.Granter
	Biller    Biller
	Ledger    *Ledger
	// Collect gathers the counts of a window in the ledger, and reports whether they are
	// complete.
	Collect func(ctx context.Context, window int64) bool
	// Due is when after its end a window must have been reported.
	Due     time.Duration
	Metrics metrics.Registry
	Logger  log.Logger
}

// Reporter reports usage while this process has the authority for it.
type Reporter struct {
	o      ReporterOptions
	logger log.Logger
	// first is the window in which this process started.
	first int64

	// token is the grant under which the record was read; 0 if it has to be read.
	token   int64
	record  record
	version objstore.Version
	// decided are the windows that this process decided last, at the most maxPending, in their order.
	decided []Report
}

// NewReporter returns a reporter that has to be run.
func NewReporter(o ReporterOptions) *Reporter {
	return &Reporter{o: o, logger: log.With(o.Logger, "component", "usage"), first: o.Ledger.current()}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) { periodic.Run(ctx, reviewEvery, r.review) }

func (r *Reporter) review(ctx context.Context) {
	g, ok := r.o.Authority.Grant()
	if !ok {
		r.token = 0
		return
	}
	if r.token != g.Token && !r.read(ctx, g) {
		return
	}
	r.send(ctx, g)
	for r.decide(ctx, g) {
		r.send(ctx, g)
	}
}

// read takes over what has been decided before.
func (r *Reporter) read(ctx context.Context, g duty.Grant) bool {
	sctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := r.o.Store.Get(sctx, r.o.Prefix+recordName)
	switch {
	case fault.Is(err, fault.NotFound):
		r.record, r.version = record{Next: r.first}, 0
	case err != nil:
		level.Info(r.logger).Log("msg", "record of usage not read", "err", err)
		return false
	default:
		var rec record
		if err := json.Unmarshal(obj.Value, &rec); err != nil {
			level.Error(r.logger).Log("msg", "record of usage cannot be read", "revision", obj.Version, "err", err)
			return false
		}
		r.record, r.version = rec, obj.Version
	}
	r.restore(objstore.EraOf(r.o.Store))
	r.token = g.Token
	level.Info(r.logger).Log("msg", "usage taken over", "token", g.Token, "next", r.record.Next, "pending", len(r.record.Pending))
	return true
}

// restore makes up for what a store that came back from an older copy lost of the record.
// Windows that this process decided are sent again, word for word. Others that could have been
// decided by now may have been, by a process that is gone, with counts that nobody knows: they
// are passed over, since a window that is billed twice with different counts is worse than one
// that is not billed.
func (r *Reporter) restore(era int64) {
	if r.record.Era == era {
		return
	}
	next := r.record.Next
	for _, known := range r.decided {
		if known.Window >= r.record.Next {
			r.record.Pending = append(slices.Clip(r.record.Pending), known)
			r.record.Next = known.Window + 1
		}
	}
	skipped := r.record.Next
	for r.o.Ledger.age(r.record.Next) >= r.part(decideShare) {
		r.record.Next++
	}
	if r.record.Next > skipped {
		level.Error(r.logger).Log("msg", "usage lost", "from", skipped, "until", r.record.Next-1, "reason", "the store came back from an older copy; another process may have reported it", "era", era)
	}
	level.Info(r.logger).Log("msg", "record of usage restored", "era", era, "record_era", r.record.Era, "next", next, "now", r.record.Next, "pending", len(r.record.Pending))
	r.record.Era = era
}

// send sends what has been decided, in order.
func (r *Reporter) send(ctx context.Context, g duty.Grant) {
	for len(r.record.Pending) > 0 {
		report := r.record.Pending[0]
		sctx, cancel := context.WithTimeout(ctx, sendTimeout)
		err := r.o.Biller.ReportUsage(sctx, g, report)
		cancel()
		age := r.o.Ledger.age(report.Window).Round(time.Millisecond)
		if err != nil && !fault.Is(err, fault.Invalid) {
			level.Info(r.logger).Log("msg", "usage not reported yet", "window", report.Window, "age", age, "token", g.Token, "err", err)
			return
		}
		level.Info(r.logger).Log("msg", "usage reported", "window", report.Window, "workspaces", len(report.Counts), "requests", total(report.Counts), "age", age, "token", g.Token, "err", err)
		r.count("reported")
		r.record.Pending = r.record.Pending[1:]
	}
}

// decide writes the next window's counts into the store if its time has come, and reports
// whether it did.
func (r *Reporter) decide(ctx context.Context, g duty.Grant) bool {
	r.skipLost()
	window := r.record.Next
	age := r.o.Ledger.age(window)
	if age < r.part(decideShare) || len(r.record.Pending) >= maxPending {
		return false
	}
	complete := r.o.Collect(ctx, window)
	if !complete && age < r.part(decideLatestShare) {
		return false
	}
	counts := r.o.Ledger.Total(window)
	report := Report{window, counts}
	next := record{Next: window + 1, Pending: append(slices.Clip(r.record.Pending), report), Era: r.record.Era}
	value, err := json.Marshal(next)
	if err != nil {
		level.Error(r.logger).Log("msg", "record of usage cannot be written", "err", err)
		return false
	}
	if err := g.Check(); err != nil {
		return false
	}
	sctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := objstore.PutSettled(sctx, r.o.Store, r.o.Prefix+recordName, value, r.version, r.o.Writer+"/"+ulid.Make().String())
	if err != nil {
		r.token = 0 // it is read again, since the write may have had an effect
		level.Info(r.logger).Log("msg", "usage not decided", "window", window, "err", err)
		return false
	}
	r.record, r.version = next, obj.Version
	r.decided = append(r.decided, report)
	r.decided = r.decided[max(0, len(r.decided)-maxPending):]
	level.Info(r.logger).Log("msg", "usage decided", "window", window, "workspaces", len(counts), "requests", total(counts), "complete", complete, "age", age.Round(time.Millisecond), "token", g.Token)
	return true
}

// skipLost passes over windows whose counts nobody can have any more.
func (r *Reporter) skipLost() {
	oldest := r.o.Ledger.oldest()
	if r.record.Next >= oldest {
		return
	}
	level.Error(r.logger).Log("msg", "usage lost", "from", r.record.Next, "until", oldest-1, "reason", "counts are kept for so long only")
	r.record.Next = oldest
}

// part returns a share of the time until a report is due.
func (r *Reporter) part(share float64) time.Duration {
	return time.Duration(share * float64(r.o.Due))
}

func (r *Reporter) count(name string) {
	metrics.GetOrRegisterCounter("usage."+name, r.o.Metrics).Inc(1)
}

func total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
