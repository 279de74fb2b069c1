package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/lease"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/objstore/memstore"
)

// fakeEngine keeps a record of the orders that took effect. How Give fails is
// decided by the test.
type fakeEngine struct {
	mu      sync.Mutex
	fencing bool
	role    engine.Role
	token   int64
	halfway bool
	taken   []engine.Order
	fail    memstore.Failure // of the next order
	crash   bool             // in the next order
}

func (e *fakeEngine) Status(context.Context, string) (engine.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Status{Role: e.role, Changing: e.halfway, Token: e.token}, nil
}

func (e *fakeEngine) Send(_ context.Context, g lease.Grant, _ string, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	how := e.fail
	e.fail = memstore.Works
	switch {
	case !g.Valid(0):
		return ErrNoGrant
	case how == memstore.Refuses:
		return fault.New(fault.Unavailable, "not sent", "")
	case how == memstore.LosesRequest:
		return fault.New(fault.Unknown, "lost", "")
	case e.fencing && o.Token < e.token:
		return fault.New(fault.Denied, "old token", "")
	}
	e.token = max(e.token, o.Token)
	e.take(o)
	if how == memstore.LosesAnswer {
		return fault.New(fault.Unknown, "lost", "")
	}
	return nil
}

func (e *fakeEngine) take(o engine.Order) {
	for _, old := range e.taken {
		if old.ID == o.ID {
			return
		}
	}
	switch o.Kind {
	case engine.OrderRole:
		e.taken = append(e.taken, o)
		e.halfway = e.crash
		if !e.crash {
			e.role = o.Role
		}
		e.crash = false
	case engine.OrderReset:
		e.halfway, e.role = false, o.Role
	}
}

func executor(s objstore.Store, e *fakeEngine, token int64) *Executor {
	g := lease.Grant{Token: token, Until: bootclock.Now().Add(time.Hour)}
	return New(Options{
		Store: s, Engines: statusOnly{e}, Sender: e, Holder: fmt.Sprint(token), Logger: log.NewNopLogger(), PollInterval: time.Millisecond,
		Grant:   func() (lease.Grant, bool) { return g, true },
		Drained: func(context.Context, Target, time.Time, objstore.Version) bool { return true },
	})
}

// statusOnly is an engine.Controller of which only Status is used.
type statusOnly struct{ *fakeEngine }

func (statusOnly) Give(context.Context, string, engine.Order) error { panic("not under the guard") }

func TestOrderWritesItsIntentFirst(t *testing.T) {
	s, e := memstore.New(), &fakeEngine{role: engine.RoleMixed}
	require.NoError(t, executor(s, e, 1).ChangeRole(context.Background(), Target{Name: "e"}, engine.RoleMixed, engine.RoleDecode, "test"))
	require.Equal(t, engine.RoleDecode, e.role)
	rec := record(t, s)
	require.Equal(t, charts.OrderDone, rec.State)
	require.False(t, rec.Open())

	s.FailWith(memstore.Down)
	err := executor(s, e, 1).ChangeRole(context.Background(), Target{Name: "e"}, engine.RoleDecode, engine.RoleMixed, "test")
	require.Error(t, err)
	require.Len(t, e.taken, 1, "no store, no new order")
}

func record(t *testing.T, s *memstore.Store) Record {
	s.FailWith(nil)
	obj, err := s.Get(context.Background(), KeyPrefix+"e")
	if fault.Is(err, fault.NotFound) {
		return Record{}
	}
	require.NoError(t, err)
	rec, err := ParseRecord(obj)
	require.NoError(t, err)
	return rec
}

// At each use of the store in turn the store begins to fail and the controller
// is gone; a successor finishes or undoes the order. The engine's own record is
// the oracle.
func TestSuccessorFinishesWhatAnyStepLeftBehind(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for _, giving := range []memstore.Failure{memstore.Works, memstore.LosesRequest, memstore.LosesAnswer} {
			for _, crash := range []bool{false, true} {
				for _, how := range []memstore.Failure{memstore.Refuses, memstore.LosesRequest, memstore.LosesAnswer} {
					for step := 1; step <= 9; step++ {
						name := fmt.Sprintf("fencing %t, order %d, crash %t, store %d at call %d", fencing, giving, crash, how, step)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							lostAt(t, fencing, giving, crash, how, step)
						})
					}
				}
			}
		}
	}
}

// recoverWithin is how long a successor goes on with its rounds: an engine may take longer than
// the timeout of a round where the tests' processes wait for a processor.
const recoverWithin = 2 * time.Second

func lostAt(t *testing.T, fencing bool, giving memstore.Failure, crash bool, how memstore.Failure, step int) {
	s := memstore.New()
	e := &fakeEngine{role: engine.RoleMixed, fencing: fencing, fail: giving, crash: crash}
	calls := 0
	s.FailWith(func(op memstore.Op, _ string) memstore.Failure {
		if calls++; calls < step {
			return memstore.Works
		}
		if op != memstore.OpPut || calls > step {
			return memstore.Refuses
		}
		return how
	})
	target := Target{Name: "e", Fencing: fencing, ChangeTimeout: 5 * time.Millisecond}
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	defer cancel()
	_ = executor(s, e, 1).ChangeRole(ctx, target, engine.RoleMixed, engine.RoleDecode, "test")

	open := record(t, s).Open()
	next := executor(s, e, 2)
	recovered, err := next.Recover(context.Background(), target)
	for begun := time.Now(); err != nil && time.Since(begun) < recoverWithin; { // as the controller's rounds do
		_, err = next.Recover(context.Background(), target)
	}
	require.NoError(t, err)
	require.Equal(t, open, recovered)

	st, _ := e.Status(context.Background(), "")
	require.False(t, st.Changing, "left half-changed")
	rec := record(t, s)
	require.False(t, rec.Open())
	if rec.State == charts.OrderDone {
		require.Equal(t, engine.RoleDecode, st.Role)
	} else {
		require.Equal(t, engine.RoleMixed, st.Role, "state %q", rec.State)
	}
	require.LessOrEqual(t, len(e.taken), 1)
}

func TestSuccessorRaisesTheTokenFirst(t *testing.T) {
	s, e := memstore.New(), &fakeEngine{role: engine.RoleMixed, fencing: true, fail: memstore.LosesRequest}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	old := executor(s, e, 1)
	_ = old.ChangeRole(ctx, Target{Name: "e", Fencing: true}, engine.RoleMixed, engine.RoleDecode, "test")
	order := record(t, s).Order
	_, err := executor(s, e, 2).Recover(context.Background(), Target{Name: "e", Fencing: true, ChangeTimeout: time.Millisecond})
	require.NoError(t, err)
	g, _ := old.o.Grant()
	require.True(t, fault.Is(e.Send(context.Background(), g, "", order), fault.Denied), "the lost order comes late")
	require.Empty(t, e.taken)
}

func TestOneOpenOrderPerEngine(t *testing.T) {
	s, e := memstore.New(), &fakeEngine{role: engine.RoleMixed, fail: memstore.LosesRequest}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	x := executor(s, e, 1)
	_ = x.ChangeRole(ctx, Target{Name: "e"}, engine.RoleMixed, engine.RoleDecode, "test")
	err := x.ChangeRole(context.Background(), Target{Name: "e"}, engine.RoleMixed, engine.RolePrefill, "test")
	require.True(t, fault.Is(err, fault.Conflict))
}

// slowEngine is one whose answers to orders take longer than a change may.
type slowEngine struct{ *fakeEngine }

func (e slowEngine) Send(ctx context.Context, g lease.Grant, address string, o engine.Order) error {
	err := e.fakeEngine.Send(ctx, g, address, o)
	time.Sleep(4 * changeTimeout)
	return err
}

const changeTimeout = 5 * time.Millisecond

// An engine had gone back, but its answer to the order to do so had taken longer than a change
// may. It was given up as stuck without another look: in CI, beside other packages' tests, 1 of
// 324 cases ended with "engine e does not come back from an order" after 2 s of rounds, and 17 of
// 23,328 where six copies of the test ran at once.
func TestAnEngineIsLookedAtOnceMoreBeforeItIsStuck(t *testing.T) {
	s, e := memstore.New(), &fakeEngine{role: engine.RoleMixed, crash: true}
	x := executor(s, e, 1)
	x.o.Sender = slowEngine{e}
	target := Target{Name: "e", ChangeTimeout: changeTimeout}
	require.NoError(t, x.ChangeRole(context.Background(), target, engine.RoleMixed, engine.RoleDecode, "test"))
	require.Equal(t, charts.OrderFailed, record(t, s).State)
	require.False(t, e.halfway)
}

// A stuck engine is tried again a minute after it was found stuck. Each round of the holder began
// that minute anew, so that an engine that had come back meanwhile stayed out of service for as
// long as somebody looked after it.
func TestAStuckEngineIsTriedAgain(t *testing.T) {
	s, e := memstore.New(), &fakeEngine{role: engine.RoleDecode, halfway: true}
	rec := Record{
		Engine: "e", From: engine.RoleMixed, Holder: "1", State: charts.OrderStuck, Since: time.Now().Add(-2 * time.Minute),
		Order: engine.Order{ID: "o", Token: 1, Kind: engine.OrderRole, Role: engine.RoleDecode},
	}
	value, err := json.Marshal(rec)
	require.NoError(t, err)
	_, err = s.Put(context.Background(), KeyPrefix+"e", value, 0, "w")
	require.NoError(t, err)
	_, err = executor(s, e, 1).Recover(context.Background(), Target{Name: "e"})
	require.NoError(t, err)
	require.False(t, e.halfway)
	require.Equal(t, charts.OrderFailed, record(t, s).State)
}
