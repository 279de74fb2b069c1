// Package orders gives orders to engines so that each takes effect at most
// once, one at a time per engine, and so that an order whose giver died at any
// step is finished or undone by the successor.
//
// The record of an order is written to the object API before the order is given
// and after each step. What really happened is read from the engine's own
// status; the record only says what to look for.
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

// KeyPrefix is where records are kept, one for each engine. It is mirrored, so
// that every process stops sending to an engine that is about to change.
const KeyPrefix = "state/orders/"

// Record is the last order to one engine.
type Record struct {
	Engine string           `json:"engine"`
	Order  engine.Order     `json:"order"`
	From   engine.Role      `json:"from"`
	State  statechart.State `json:"state"`
	// Reason says why the order was given or how it ended.
	Reason string    `json:"reason"`
	Holder string    `json:"holder"`
	Since  time.Time `json:"since"`
}

// Open reports whether the order has not ended, so that the engine takes no
// new requests.
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

// Sender gives orders under a grant. Implementations must make a late write
// impossible: no byte of the order may leave the process, or stay on its way,
// after the grant has ended.
type Sender interface {
	Send(ctx context.Context, g lease.Grant, address string, o engine.Order) error
}

// Target is an engine to give orders to.
type Target struct {
	Name    string
	Address string
	// Fencing engines refuse an order with an old token.
	Fencing bool
	// ChangeTimeout bounds a change and a restoration; 0 takes the chart's bound.
	ChangeTimeout time.Duration
}

// Options of an Executor.
type Options struct {
	Store   objstore.Store
	Engines engine.Controller
	Sender  Sender
	// Grant returns the authority in force.
	Grant  func() (lease.Grant, bool)
	Holder string
	// Drained reports whether no request of any process can be at the engine any
	// more, given when its record was written.
	Drained func(ctx context.Context, t Target, since time.Time, written objstore.Version) bool
	Logger  log.Logger
	// PollInterval is how often the state of an engine is looked at.
	PollInterval time.Duration
}

// Executor runs orders. It is safe for concurrent use, also for several engines at
// once; the record keeps orders to one engine apart.
type Executor struct {
	o      Options
	logger log.Logger
}

// New returns an executor.
func New(o Options) *Executor {
	return &Executor{o: o, logger: log.With(o.Logger, "component", "orders")}
}

// ErrNoGrant means that this process has no authority (any more).
var ErrNoGrant = fault.New(fault.Denied, "this process holds no lease for the engine's pool", "the holder carries on")

// run is the work on one order.
type run struct {
	e       *Executor
	t       Target
	rec     Record
	version objstore.Version
	chart   *statechart.Instance
	// entered is when the present state was entered, by this process's clock.
	entered time.Time
	// moved is true if the last step needs another one at once.
	moved bool
	// asked is true once the engine has been asked to go back in the present state.
	asked bool
}

// ChangeRole brings an engine to a role. It returns when the order has ended or
// this process may not go on; the record then tells where it stands.
func (e *Executor) ChangeRole(ctx context.Context, t Target, from, to engine.Role, reason string) error {
	g, ok := e.o.Grant()
	if !ok {
		return ErrNoGrant
	}
	obj, err := e.read(ctx, t.Name)
	if err != nil {
		return err
	}
	if old, err := ParseRecord(obj); obj.Version != 0 && (err != nil || old.Open()) {
		return fault.Newf(fault.Conflict, "recover the order before first", "engine %s has an open order", t.Name)
	}
	r := &run{e: e, t: t, version: obj.Version, chart: charts.Order.Start(), entered: time.Now()}
	r.rec = Record{
		Engine: t.Name, From: from, Reason: reason, Holder: e.o.Holder,
		Order: engine.Order{ID: ulid.Make().String(), Token: g.Token, Kind: engine.OrderRole, Role: to},
	}
	if err := r.save(ctx); err != nil {
		return err
	}
	level.Info(e.logger).Log("msg", "decision", "kind", "role", "engine", t.Name, "from", from, "to", to, "order", r.rec.Order.ID, "token", g.Token, "reason", reason)
	return r.drive(ctx)
}

// Recover goes on with the last order to an engine if it has not ended. It
// returns true if there was something to do.
func (e *Executor) Recover(ctx context.Context, t Target) (bool, error) {
	g, ok := e.o.Grant()
	if !ok {
		return false, ErrNoGrant
	}
	obj, err := e.read(ctx, t.Name)
	if err != nil || obj.Version == 0 {
		return false, err
	}
	rec, err := ParseRecord(obj)
	if err != nil || !rec.Open() {
		return false, err
	}
	r := &run{e: e, t: t, rec: rec, version: obj.Version, chart: charts.Order.Resume(rec.State), entered: time.Now()}
	if rec.State == charts.OrderStuck {
		r.entered = rec.Since // this process gives up in this state, and comes back in its next round
	}
	if rec.Order.Token != g.Token {
		level.Info(e.logger).Log("msg", "order taken over", "engine", t.Name, "order", rec.Order.ID, "state", rec.State, "from_token", rec.Order.Token, "token", g.Token)
		if err := r.takeOver(ctx, g); err != nil {
			return true, err
		}
	}
	return true, r.drive(ctx)
}

// read returns the record's object, or the zero object.
func (e *Executor) read(ctx context.Context, name string) (objstore.Object, error) {
	obj, err := e.o.Store.Get(ctx, KeyPrefix+name)
	if fault.Is(err, fault.NotFound) {
		return objstore.Object{}, nil
	}
	return obj, err
}

// takeOver makes an order of an earlier holder this process's own. At engines
// that check tokens the first act is to raise the token, so that the earlier
// order can no longer take effect.
func (r *run) takeOver(ctx context.Context, g lease.Grant) error {
	if r.t.Fencing {
		fence := engine.Order{ID: ulid.Make().String(), Token: g.Token, Kind: engine.OrderFence}
		if err := r.e.o.Sender.Send(ctx, g, r.t.Address, fence); err != nil && !fault.Is(err, fault.Unavailable) {
			return err
		}
	}
	r.rec.Order.Token = g.Token
	r.rec.Holder = r.e.o.Holder
	return r.fire(ctx, charts.Abandoned)
}

// drive moves the order on until it ends or this process may not go on.
func (r *run) drive(ctx context.Context) error {
	tick := time.NewTicker(r.e.o.PollInterval)
	defer tick.Stop()
	for !r.chart.Final() {
		r.moved = false
		if err := r.step(ctx); err != nil {
			return err
		}
		if r.moved {
			continue
		}
		if event, over := r.overdue(); over {
			if err := r.fire(ctx, event); err != nil {
				return err
			}
			continue
		}
		if r.chart.State() == charts.OrderStuck {
			return fault.Newf(fault.Unavailable, "look at the engine; it is tried again", "engine %s does not come back from an order", r.t.Name)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// overdue reports whether the present state has lasted longer than it may, and the event that
// is then due.
func (r *run) overdue() (due statechart.Event, over bool) {
	limit, event := r.chart.Timeout()
	bound := limit.Std()
	s := r.chart.State()
	if r.t.ChangeTimeout > 0 && (s == charts.OrderChanging || s == charts.OrderRestoring) {
		bound = r.t.ChangeTimeout
	}
	return event, event != "" && time.Since(r.entered) > bound
}

func (r *run) step(ctx context.Context) error {
	g, ok := r.e.o.Grant()
	if !ok || g.Token != r.rec.Order.Token {
		return ErrNoGrant
	}
	switch r.chart.State() {
	case charts.OrderDraining:
		if r.e.o.Drained(ctx, r.t, r.rec.Since, r.version) {
			return r.fire(ctx, charts.Drained)
		}
	case charts.OrderIntended:
		return r.give(ctx, g)
	case charts.OrderChanging:
		return r.look(ctx, charts.Reached, charts.Unchanged)
	case charts.OrderRestoring:
		return r.restore(ctx, g)
	}
	return nil
}

// give sends the order. The record in state intended is in the store.
func (r *run) give(ctx context.Context, g lease.Grant) error {
	err := r.e.o.Sender.Send(ctx, g, r.t.Address, r.rec.Order)
	switch {
	case err == nil:
		return r.fire(ctx, charts.Taken)
	case fault.Is(err, fault.Denied):
		return ErrNoGrant
	case fault.Is(err, fault.Unavailable), fault.Is(err, fault.Conflict):
		r.rec.Reason = err.Error()
		return r.fire(ctx, charts.NotTaken)
	default:
		return r.fire(ctx, charts.Lost)
	}
}

// look reads the engine's status and fires reached or unchanged if it is not
// changing. A single look is not enough for "unchanged": bytes of the order may
// still be on their way to the engine, so the engine must look the same for the
// whole settling time.
func (r *run) look(ctx context.Context, reached, unchanged statechart.Event) error {
	st, err := r.e.o.Engines.Status(ctx, r.t.Address)
	if err != nil || st.Changing {
		return nil
	}
	if st.Role == r.rec.Order.Role {
		return r.fire(ctx, reached)
	}
	if time.Since(r.entered) < settleTime {
		return nil
	}
	r.rec.Reason = "engine did not change"
	return r.fire(ctx, unchanged)
}

// settleTime bounds how long bytes of an order may stay on their way.
const settleTime = 2 * FlightTime

// restore asks a half-changed engine to go back and looks whether it did.
func (r *run) restore(ctx context.Context, g lease.Grant) error {
	st, err := r.e.o.Engines.Status(ctx, r.t.Address)
	if err != nil {
		return nil
	}
	switch {
	case !st.Changing && st.Role == r.rec.Order.Role:
		return r.fire(ctx, charts.Reached)
	case !st.Changing && st.Role == r.rec.From:
		r.rec.Reason = "restored after a half-done change"
		return r.fire(ctx, charts.Restored)
	}
	reset := engine.Order{ID: r.rec.Order.ID + "-reset", Token: g.Token, Kind: engine.OrderReset, Role: r.rec.From}
	if err := r.e.o.Sender.Send(ctx, g, r.t.Address, reset); fault.Is(err, fault.Denied) {
		return ErrNoGrant
	}
	// The state is not left before a look at what the first order to go back did, however long
	// that order took.
	r.moved = !r.asked
	r.asked = true
	return nil
}

// fire moves the chart and writes the record.
func (r *run) fire(ctx context.Context, e statechart.Event) error {
	before := r.chart.State()
	if _, err := r.chart.Fire(e); err != nil {
		return err
	}
	r.moved, r.asked = true, false
	r.entered = time.Now()
	if err := r.save(ctx); err != nil {
		return err
	}
	level.Info(r.e.logger).Log("msg", "order", "engine", r.t.Name, "order", r.rec.Order.ID, "event", e, "from", before, "state", r.chart.State(), "reason", r.rec.Reason)
	return nil
}

// save writes the record. If it fails, this process does not go on: whoever
// holds the lease next reads what the store holds.
func (r *run) save(ctx context.Context) error {
	r.rec.State = r.chart.State()
	r.rec.Since = time.Now().UTC()
	value, err := json.Marshal(r.rec)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "order record cannot be encoded", "report this as a defect")
	}
	obj, err := objstore.PutSettled(ctx, r.e.o.Store, KeyPrefix+r.t.Name, value, r.version, ulid.Make().String())
	if err != nil {
		return err
	}
	r.version = obj.Version
	return nil
}
