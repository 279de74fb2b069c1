// Package orders sends orders to engines. Each order takes effect at most once,
// and each engine has at most one open order. If the sender fails at any step,
// its successor completes or reverts the order.
//
// The record of an order is written to the object store before the order is sent
// and after each step. The engine's own status is authoritative for what has
// happened; the record only says what to check.
package orders

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/lease"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/statechart"
)

// KeyPrefix is the key prefix of the records, one for each engine. It is mirrored, so
// that every process stops sending requests to an engine that is about to change.
const KeyPrefix = "state/orders/"

// Record is the last order to one engine.
type Record struct {
	Engine string           `json:"engine"`
	Order  engine.Order     `json:"order"`
	From   engine.Role      `json:"from"`
	State  statechart.State `json:"state"`
	// Reason says why the order was sent or how it ended.
	Reason string    `json:"reason"`
	Holder string    `json:"holder"`
	Since  time.Time `json:"since"`
}

// Open reports whether the order is still in progress. The engine then accepts no new
// requests.
func (r Record) Open() bool {
	return r.State != "" && r.State != charts.OrderDone && r.State != charts.OrderFailed
}

// ParseRecord decodes a record.
func ParseRecord(obj objstore.Object) (Record, error) {
	var r Record
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return r, fault.Wrap(err, fault.Internal, "order record "+obj.Key+" cannot be read", "check who else writes to it")
	}
	return r, nil
}

// Sender sends orders under a grant. Implementations must make a late write
// impossible: after the grant has ended, no byte of the order may leave the process
// or remain in flight.
type Sender interface {
	Send(ctx context.Context, g lease.Grant, address string, o engine.Order) error
}

// Target is an engine that receives orders.
type Target struct {
	Name    string
	Address string
	// Fencing is true if the engine rejects orders with an old fencing token.
	Fencing bool
	// ChangeTimeout limits a role change and its reversal. If it is 0, the timeout of the state
	// chart applies.
	ChangeTimeout time.Duration
}

// Options of an Executor.
type Options struct {
	Store   objstore.Store
	Engines engine.Controller
	Sender  Sender
	// Grant returns the current grant, and false if it is not valid.
	Grant  func() (lease.Grant, bool)
	Holder string
	// Drained reports whether no process can have a request at the engine any more. The record
	// was written at time since, as version written.
	Drained func(ctx context.Context, t Target, since time.Time, written objstore.Version) bool
	Logger  log.Logger
	// PollInterval is the interval at which the status of an engine is polled.
	PollInterval time.Duration
}

// Executor executes orders. It is safe for concurrent use, also for several engines. The
// record of an engine prevents two open orders to it.
type Executor struct {
	o      Options
	logger log.Logger
}

// New returns an executor.
func New(o Options) *Executor {
	return &Executor{o: o, logger: log.With(o.Logger, "component", "orders")}
}

// ErrNoGrant means that this process does not hold the lease, or no longer holds it.
var ErrNoGrant = fault.New(fault.Denied, "this process holds no lease for the engine's pool", "the holder carries on")

// orderRun is the execution of one order.
type orderRun struct {
	executor *Executor
	target   Target
	record   Record
	version  objstore.Version
	chart    *statechart.Instance
	// enteredAt is when the current state was entered, on this process's clock.
	enteredAt time.Time
	// transitioned is true if the next step must follow without a delay.
	transitioned bool
	// resetSent is true if a reset has been sent to the engine in the current state.
	resetSent bool
}

// ChangeRole changes the role of an engine. It returns when the order has ended or
// this process must not continue. The record then has the state of the order.
func (e *Executor) ChangeRole(ctx context.Context, t Target, from, to engine.Role, reason string) error {
	g, ok := e.o.Grant()
	if !ok {
		return ErrNoGrant
	}
	obj, err := e.readRecord(ctx, t.Name)
	if err != nil {
		return err
	}
	if old, err := ParseRecord(obj); obj.Version != 0 && (err != nil || old.Open()) {
		return fault.Newf(fault.Conflict, "recover the open order first", "engine %s has an open order", t.Name)
	}
	r := &orderRun{executor: e, target: t, version: obj.Version, chart: charts.Order.Start(), enteredAt: time.Now()}
	r.record = Record{
		Engine: t.Name, From: from, Reason: reason, Holder: e.o.Holder,
		Order: engine.Order{ID: ulid.Make().String(), Token: g.Token, Kind: engine.OrderRole, Role: to},
	}
	if err := r.save(ctx); err != nil {
		return err
	}
	level.Info(e.logger).Log("msg", "decision", "kind", "role", "engine", t.Name, "from", from, "to", to, "order", r.record.Order.ID, "token", g.Token, "reason", reason)
	return r.drive(ctx)
}

// Recover continues the last order to an engine if it is still open. It returns
// true if it was.
func (e *Executor) Recover(ctx context.Context, t Target) (bool, error) {
	g, ok := e.o.Grant()
	if !ok {
		return false, ErrNoGrant
	}
	obj, err := e.readRecord(ctx, t.Name)
	if err != nil || obj.Version == 0 {
		return false, err
	}
	rec, err := ParseRecord(obj)
	if err != nil || !rec.Open() {
		return false, err
	}
	r := &orderRun{executor: e, target: t, record: rec, version: obj.Version, chart: charts.Order.Resume(rec.State), enteredAt: time.Now()}
	if rec.State == charts.OrderStuck {
		r.enteredAt = rec.Since // the timeout continues across rounds, as each round returns in this state
	}
	if rec.Order.Token != g.Token {
		level.Info(e.logger).Log("msg", "order taken over", "engine", t.Name, "order", rec.Order.ID, "state", rec.State, "from_token", rec.Order.Token, "token", g.Token)
		if err := r.adopt(ctx, g); err != nil {
			return true, err
		}
	}
	return true, r.drive(ctx)
}

// readRecord returns the stored record of an engine, or the zero object if there is none.
func (e *Executor) readRecord(ctx context.Context, name string) (objstore.Object, error) {
	obj, err := e.o.Store.Get(ctx, KeyPrefix+name)
	if fault.Is(err, fault.NotFound) {
		return objstore.Object{}, nil
	}
	return obj, err
}

// adopt takes over an order of a previous holder. If the engine checks fencing
// tokens, it first raises the engine's token, so that the previous holder's order
// can no longer take effect.
func (r *orderRun) adopt(ctx context.Context, g lease.Grant) error {
	if r.target.Fencing {
		fence := engine.Order{ID: ulid.Make().String(), Token: g.Token, Kind: engine.OrderFence}
		if err := r.executor.o.Sender.Send(ctx, g, r.target.Address, fence); err != nil && !fault.Is(err, fault.Unavailable) {
			return err
		}
	}
	r.record.Order.Token = g.Token
	r.record.Holder = r.executor.o.Holder
	return r.fire(ctx, charts.Abandoned)
}

// drive executes steps until the order has ended or this process must not continue.
func (r *orderRun) drive(ctx context.Context) error {
	tick := time.NewTicker(r.executor.o.PollInterval)
	defer tick.Stop()
	for !r.chart.Final() {
		r.transitioned = false
		if err := r.step(ctx); err != nil {
			return err
		}
		if r.transitioned {
			continue
		}
		if event, over := r.overdue(); over {
			if err := r.fire(ctx, event); err != nil {
				return err
			}
			continue
		}
		if r.chart.State() == charts.OrderStuck {
			return fault.Newf(fault.Unavailable, "check the engine; the reset is retried", "engine %s is stuck after an order", r.target.Name)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// overdue reports whether the timeout of the current state has expired, and returns the event to
// fire in that case.
func (r *orderRun) overdue() (due statechart.Event, over bool) {
	limit, event := r.chart.Timeout()
	bound := limit.Std()
	s := r.chart.State()
	if r.target.ChangeTimeout > 0 && (s == charts.OrderChanging || s == charts.OrderRestoring) {
		bound = r.target.ChangeTimeout
	}
	return event, event != "" && time.Since(r.enteredAt) > bound
}

func (r *orderRun) step(ctx context.Context) error {
	g, ok := r.executor.o.Grant()
	if !ok || g.Token != r.record.Order.Token {
		return ErrNoGrant
	}
	switch r.chart.State() {
	case charts.OrderDraining:
		if r.executor.o.Drained(ctx, r.target, r.record.Since, r.version) {
			return r.fire(ctx, charts.Drained)
		}
	case charts.OrderIntended:
		return r.send(ctx, g)
	case charts.OrderChanging:
		return r.checkChange(ctx, charts.Reached, charts.Unchanged)
	case charts.OrderRestoring:
		return r.restore(ctx, g)
	}
	return nil
}

// send sends the order. Its record is in the store with state intended.
func (r *orderRun) send(ctx context.Context, g lease.Grant) error {
	err := r.executor.o.Sender.Send(ctx, g, r.target.Address, r.record.Order)
	switch {
	case err == nil:
		return r.fire(ctx, charts.Taken)
	case fault.Is(err, fault.Denied):
		return ErrNoGrant
	case fault.Is(err, fault.Unavailable), fault.Is(err, fault.Conflict):
		r.record.Reason = err.Error()
		return r.fire(ctx, charts.NotTaken)
	default:
		return r.fire(ctx, charts.Lost)
	}
}

// checkChange polls the engine's status and fires reached or unchanged unless the
// engine is changing. One poll is not enough for unchanged: bytes of the order may
// still be in flight, so the engine must not change during the whole settleTime.
func (r *orderRun) checkChange(ctx context.Context, reached, unchanged statechart.Event) error {
	st, err := r.executor.o.Engines.Status(ctx, r.target.Address)
	if err != nil || st.Changing {
		return nil
	}
	if st.Role == r.record.Order.Role {
		return r.fire(ctx, reached)
	}
	if time.Since(r.enteredAt) < settleTime {
		return nil
	}
	r.record.Reason = "engine did not change"
	return r.fire(ctx, unchanged)
}

// settleTime is how long an engine must stay unchanged until its order counts as not applied. It is
// longer than any bytes of the order can be in flight.
const settleTime = 2 * MaxInFlightTime

// restore asks a half-changed engine to revert to its previous role, and checks whether it
// has done so.
func (r *orderRun) restore(ctx context.Context, g lease.Grant) error {
	st, err := r.executor.o.Engines.Status(ctx, r.target.Address)
	if err != nil {
		return nil
	}
	switch {
	case !st.Changing && st.Role == r.record.Order.Role:
		return r.fire(ctx, charts.Reached)
	case !st.Changing && st.Role == r.record.From:
		r.record.Reason = "restored after a half-done change"
		return r.fire(ctx, charts.Restored)
	}
	reset := engine.Order{ID: r.record.Order.ID + "-reset", Token: g.Token, Kind: engine.OrderReset, Role: r.record.From}
	if err := r.executor.o.Sender.Send(ctx, g, r.target.Address, reset); fault.Is(err, fault.Denied) {
		return ErrNoGrant
	}
	// After the first reset the status is polled again before the timeout of the state is
	// checked, however long the reset took.
	r.transitioned = !r.resetSent
	r.resetSent = true
	return nil
}

// fire fires an event in the state chart and writes the record.
func (r *orderRun) fire(ctx context.Context, e statechart.Event) error {
	before := r.chart.State()
	if _, err := r.chart.Fire(e); err != nil {
		return err
	}
	r.transitioned, r.resetSent = true, false
	r.enteredAt = time.Now()
	if err := r.save(ctx); err != nil {
		return err
	}
	level.Info(r.executor.logger).Log("msg", "order", "engine", r.target.Name, "order", r.record.Order.ID, "event", e, "from", before, "state", r.chart.State(), "reason", r.record.Reason)
	return nil
}

// save writes the record. If this fails, the process must not continue: the next
// holder of the lease continues from the record in the store.
func (r *orderRun) save(ctx context.Context) error {
	r.record.State = r.chart.State()
	r.record.Since = time.Now().UTC()
	value, err := json.Marshal(r.record)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "order record cannot be encoded", "report this as a defect")
	}
	obj, err := objstore.PutSettled(ctx, r.executor.o.Store, KeyPrefix+r.target.Name, value, r.version, ulid.Make().String())
	if err != nil {
		return err
	}
	r.version = obj.Version
	return nil
}
