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

// Report is the usage that is billed for one window.
type Report struct {
	// Window is the number of the window, as Ledger.Window returns it.
	Window int64 `json:"window"`
	// Counts are the numbers of requests that started to run, by workspace.
	Counts map[string]int `json:"counts"`
}

// Biller accepts usage reports.
type Biller interface {
	// ReportUsage sends a report. Repeating the same report has no effect. The error is of kind
	// Invalid if the report will never be accepted, and of another kind if it may be sent again.
	ReportUsage(ctx context.Context, g duty.Grant, r Report) error
}

// record is the state in the store of what has been decided. The first process that writes a window
// decides its counts, and only counts from the store are sent. A window is therefore never billed twice
// with different counts, whichever process sends it and however often.
type record struct {
	// Next is the first window that has not been decided.
	Next int64 `json:"next"`
	// Pending are the decided windows that the API may not have accepted yet, in order.
	Pending []Report `json:"pending"`
	// Era is the era of the store in which the record was written.
	Era int64 `json:"era,omitempty"`
}

const (
	// reviewInterval is how often the reporter checks whether a window can be decided or sent.
	reviewInterval = 250 * time.Millisecond
	// A window is decided once decideCompleteShare of the time Due has passed since its end if all
	// counts have been collected, otherwise once decideIncompleteShare of it has passed. Counts are
	// sent to replicas twice a second. The rest of the time is reserved for a store outage and for a
	// change of the lease holder, which takes the TTL of the lease and the handover delay.
	decideCompleteShare   = 0.08
	decideIncompleteShare = 0.5
	// storeTimeout limits one call of the store, sendTimeout one report.
	storeTimeout = time.Second
	sendTimeout  = 1500 * time.Millisecond
	// maxPending is the maximum number of decided windows that wait to be accepted, and maxRecordBytes
	// the maximum size of the record that holds them; later windows are decided later. The store holds
	// values of up to 1 MB. A window of 38,000 workspaces takes about 0.8 MB.
	maxPending     = 32
	maxRecordBytes = 950_000
	// recordName is the name of the object that holds the record.
	recordName = "main"
)

// ReporterOptions of a Reporter.
type ReporterOptions struct {
	Store  objstore.Store
	Prefix string
	// Writer identifies this run of the process in its writes to the store.
	Writer    string
	Authority duty.Granter
	Biller    Biller
	Ledger    *Ledger
	// Collect adds the counts of a window that other processes hold to the ledger. It reports
	// whether the counts are complete.
	Collect func(ctx context.Context, window int64) bool
	// Due is the time after the end of a window in which it must have been reported.
	Due     time.Duration
	Metrics metrics.Registry
	Logger  log.Logger
}

// Reporter reports usage while this process has the authority for it.
type Reporter struct {
	o      ReporterOptions
	logger log.Logger
	// startWindow is the window in which this process started.
	startWindow int64

	// recordToken is the token of the grant under which the record was loaded, 0 if the record has
	// to be loaded.
	recordToken   int64
	record        record
	recordVersion objstore.Version
	// decided are the windows that this process decided last, at most maxPending, in order.
	decided []Report
}

// NewReporter returns a reporter that starts to work once Run is called.
func NewReporter(o ReporterOptions) *Reporter {
	return &Reporter{o: o, logger: log.With(o.Logger, "component", "usage"), startWindow: o.Ledger.currentWindow()}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) { periodic.Run(ctx, reviewInterval, r.review) }

func (r *Reporter) review(ctx context.Context) {
	g, ok := r.o.Authority.Grant()
	if !ok {
		r.recordToken = 0
		return
	}
	if r.recordToken != g.Token && !r.loadRecord(ctx, g) {
		return
	}
	r.sendPending(ctx, g)
	for r.decideNext(ctx, g) {
		r.sendPending(ctx, g)
	}
}

// loadRecord loads the record that earlier holders of the duty have written.
func (r *Reporter) loadRecord(ctx context.Context, g duty.Grant) bool {
	sctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := r.o.Store.Get(sctx, r.o.Prefix+recordName)
	switch {
	case fault.Is(err, fault.NotFound):
		r.record, r.recordVersion = record{Next: r.startWindow}, 0
	case err != nil:
		level.Info(r.logger).Log("msg", "usage record not read", "err", err)
		return false
	default:
		var rec record
		if err := json.Unmarshal(obj.Value, &rec); err != nil {
			level.Error(r.logger).Log("msg", "usage record cannot be parsed", "revision", obj.Version, "err", err)
			return false
		}
		r.record, r.recordVersion = rec, obj.Version
	}
	r.reconcileEra(objstore.EraOf(r.o.Store))
	r.recordToken = g.Token
	level.Info(r.logger).Log("msg", "usage record loaded", "token", g.Token, "next", r.record.Next, "pending", len(r.record.Pending))
	return true
}

// reconcileEra completes the record if the store was restored from an older snapshot, which may lack
// decided windows. Windows that this process decided are sent again with the same counts. Any other
// window that could have been decided by now may have been decided by a process that no longer runs, with
// counts that nobody knows. These windows are skipped, since billing a window twice with different counts
// is worse than not billing it.
func (r *Reporter) reconcileEra(era int64) {
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
	for r.o.Ledger.age(r.record.Next) >= r.dueShare(decideCompleteShare) {
		r.record.Next++
	}
	if r.record.Next > skipped {
		level.Error(r.logger).Log("msg", "usage lost", "from", skipped, "until", r.record.Next-1, "reason", "the store was restored from an older snapshot; another process may have reported it", "era", era)
	}
	if r.recordVersion == 0 && r.record.Next == next {
		r.record.Era = era // there was no record to reconcile
		return
	}
	level.Info(r.logger).Log("msg", "usage record reconciled with the era of the store", "era", era, "record_era", r.record.Era, "next", next, "now", r.record.Next, "pending", len(r.record.Pending))
	r.record.Era = era
}

// sendPending sends the decided windows in order, until one cannot be sent.
func (r *Reporter) sendPending(ctx context.Context, g duty.Grant) {
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
		level.Info(r.logger).Log("msg", "usage reported", "window", report.Window, "workspaces", len(report.Counts), "requests", sumCounts(report.Counts), "age", age, "token", g.Token, "err", err)
		r.incrementCounter("reported")
		r.record.Pending = r.record.Pending[1:]
	}
}

// decideNext writes the counts of the next window to the store if it is time to decide it. It reports
// whether the window was decided.
func (r *Reporter) decideNext(ctx context.Context, g duty.Grant) bool {
	r.skipDroppedWindows()
	window := r.record.Next
	age := r.o.Ledger.age(window)
	if age < r.dueShare(decideCompleteShare) || len(r.record.Pending) >= maxPending {
		return false
	}
	complete := r.o.Collect(ctx, window)
	if !complete && age < r.dueShare(decideIncompleteShare) {
		return false
	}
	counts := r.o.Ledger.Total(window)
	report := Report{window, counts}
	next := record{Next: window + 1, Pending: append(slices.Clip(r.record.Pending), report), Era: r.record.Era}
	value, err := json.Marshal(next)
	if err != nil {
		level.Error(r.logger).Log("msg", "usage record cannot be encoded", "err", err)
		return false
	}
	if len(value) > maxRecordBytes {
		if len(r.record.Pending) > 0 {
			return false // it is decided once the pending ones have been accepted
		}
		level.Error(r.logger).Log("msg", "usage lost", "from", window, "until", window, "reason", "the counts of the window do not fit into the store", "bytes", len(value), "workspaces", len(counts), "requests", sumCounts(counts))
		r.record.Next++
		return true
	}
	if err := g.Check(); err != nil {
		return false
	}
	sctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := objstore.PutSettled(sctx, r.o.Store, r.o.Prefix+recordName, value, r.recordVersion, r.o.Writer+"/"+ulid.Make().String())
	if err != nil {
		r.recordToken = 0 // the record is loaded again, since the write may have taken effect
		level.Info(r.logger).Log("msg", "usage not decided", "window", window, "err", err)
		return false
	}
	r.record, r.recordVersion = next, obj.Version
	r.decided = append(r.decided, report)
	r.decided = r.decided[max(0, len(r.decided)-maxPending):]
	level.Info(r.logger).Log("msg", "usage decided", "window", window, "workspaces", len(counts), "requests", sumCounts(counts), "complete", complete, "age", age.Round(time.Millisecond), "token", g.Token)
	return true
}

// skipDroppedWindows skips windows that are so old that no process has their counts any more.
func (r *Reporter) skipDroppedWindows() {
	oldest := r.o.Ledger.oldestWindow()
	if r.record.Next >= oldest {
		return
	}
	level.Error(r.logger).Log("msg", "usage lost", "from", r.record.Next, "until", oldest-1, "reason", "counts are kept for so long only")
	r.record.Next = oldest
}

// dueShare returns a share of the time Due.
func (r *Reporter) dueShare(share float64) time.Duration {
	return time.Duration(share * float64(r.o.Due))
}

func (r *Reporter) incrementCounter(name string) {
	metrics.GetOrRegisterCounter("usage."+name, r.o.Metrics).Inc(1)
}

func sumCounts(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
