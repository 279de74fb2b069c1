// Package statechart loads state charts from JSON, validates and interprets them.
// All instances of a chart share it; each instance holds only its current state.
//
// A chart is invalid if a state is unreachable, if a state neither handles nor
// ignores an event of the chart, if a final state has transitions, or if the chart
// has final states and none of them can be reached from a state.
package statechart

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/jsonc"
)

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

// Definition is the content of a chart file.
type Definition struct {
	Name    string                    `json:"name"`
	Doc     string                    `json:"doc"`
	Initial State                     `json:"initial"`
	Events  []Event                   `json:"events"`
	States  map[State]StateDefinition `json:"states"`
}

// StateDefinition defines one state of a chart.
type StateDefinition struct {
	Doc string `json:"doc"`
	// Final is true if an instance ends in this state.
	Final bool `json:"final,omitempty"`
	// On maps an event to the next state.
	On map[Event]State `json:"on,omitempty"`
	// Ignore lists events that don't change the state.
	Ignore []Event `json:"ignore,omitempty"`
	// Timeout is the maximum time in this state. TimeoutEvent must be fired when it has passed.
	Timeout      jsonc.Duration `json:"timeout,omitempty"`
	TimeoutEvent Event          `json:"timeoutEvent,omitempty"`
}

// Chart is a valid state chart. It is immutable and safe for concurrent use.
type Chart struct {
	definition Definition
	machine    *stateless.StateMachine
}

type instanceKey struct{}

// Load decodes and validates a chart.
func Load(text []byte) (*Chart, error) {
	var def Definition
	dec := json.NewDecoder(strings.NewReader(string(text)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&def); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "state chart cannot be read", "correct the chart file")
	}
	if ps := def.validate(); len(ps) > 0 {
		return nil, fault.New(fault.Invalid, "state chart "+def.Name+": "+strings.Join(ps, "; "), "correct the chart file")
	}
	return &Chart{definition: def, machine: build(def)}, nil
}

// MustLoad is like Load, but panics if the chart is invalid. It is meant for embedded charts.
func MustLoad(text []byte) *Chart {
	c, err := Load(text)
	if err != nil {
		panic(errors.WithStack(err))
	}
	return c
}

// Definition returns the definition of the chart. The caller must not modify it.
func (c *Chart) Definition() Definition { return c.definition }

func build(def Definition) *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			return ctx.Value(instanceKey{}).(*Instance).state, nil
		},
		func(ctx context.Context, s stateless.State) error {
			ctx.Value(instanceKey{}).(*Instance).state = s.(State)
			return nil
		},
		stateless.FiringImmediate,
	)
	for name, d := range def.States {
		cfg := m.Configure(name)
		for e, target := range d.On {
			if target == name {
				cfg.PermitReentry(e)
			} else {
				cfg.Permit(e, target)
			}
		}
		for _, e := range d.Ignore {
			cfg.Ignore(e)
		}
	}
	return m
}

// validate returns a description of each error in the definition.
func (d Definition) validate() []string {
	var ps []string
	if _, ok := d.States[d.Initial]; !ok {
		return []string{fmt.Sprintf("initial state %q is not defined", d.Initial)}
	}
	for _, name := range d.stateNames() {
		ps = append(ps, d.validateState(name)...)
	}
	reached := d.reachable(d.Initial)
	for _, name := range d.stateNames() {
		if !reached[name] {
			ps = append(ps, fmt.Sprintf("state %q cannot be reached", name))
		}
		if reached[name] && d.hasFinalState() && !d.canReachFinal(name) {
			ps = append(ps, fmt.Sprintf("state %q has no way to a final state", name))
		}
	}
	return ps
}

func (d Definition) validateState(name State) []string {
	var ps []string
	s := d.States[name]
	if s.Final && (len(s.On) > 0 || s.TimeoutEvent != "") {
		ps = append(ps, fmt.Sprintf("final state %q has transitions", name))
	}
	for e, target := range s.On {
		if !slices.Contains(d.Events, e) {
			ps = append(ps, fmt.Sprintf("state %q handles event %q, which is not declared", name, e))
		}
		if _, ok := d.States[target]; !ok {
			ps = append(ps, fmt.Sprintf("state %q leads to %q, which is not defined", name, target))
		}
	}
	for _, e := range d.Events {
		_, handled := s.On[e]
		ignored := slices.Contains(s.Ignore, e)
		if !handled && !ignored && !s.Final {
			ps = append(ps, fmt.Sprintf("state %q neither handles nor ignores event %q", name, e))
		}
		if handled && ignored {
			ps = append(ps, fmt.Sprintf("state %q both handles and ignores event %q", name, e))
		}
	}
	if s.TimeoutEvent != "" && s.On[s.TimeoutEvent] == "" {
		ps = append(ps, fmt.Sprintf("state %q does not handle its timeout event %q", name, s.TimeoutEvent))
	}
	if (s.TimeoutEvent == "") != (s.Timeout == 0) {
		ps = append(ps, fmt.Sprintf("state %q needs both timeout and timeoutEvent, or neither", name))
	}
	return ps
}

func (d Definition) stateNames() []State {
	names := make([]State, 0, len(d.States))
	for n := range d.States {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (d Definition) reachable(from State) map[State]bool {
	seen := map[State]bool{from: true}
	todo := []State{from}
	for len(todo) > 0 {
		next := d.States[todo[0]].On
		todo = todo[1:]
		for _, target := range next {
			if !seen[target] {
				seen[target] = true
				todo = append(todo, target)
			}
		}
	}
	return seen
}

func (d Definition) hasFinalState() bool {
	for _, s := range d.States {
		if s.Final {
			return true
		}
	}
	return false
}

func (d Definition) canReachFinal(from State) bool {
	for name := range d.reachable(from) {
		if d.States[name].Final {
			return true
		}
	}
	return false
}

// Instance is one run of a chart. It is safe for concurrent use.
type Instance struct {
	chart *Chart
	mu    sync.Mutex
	state State
	ctx   context.Context
}

// Start returns a new instance in the initial state.
func (c *Chart) Start() *Instance { return c.Resume(c.definition.Initial) }

// Resume returns an instance in the given state, for example one that was stored.
func (c *Chart) Resume(s State) *Instance {
	i := &Instance{chart: c, state: s}
	i.ctx = context.WithValue(context.Background(), instanceKey{}, i)
	return i
}

// State returns the current state.
func (i *Instance) State() State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state
}

// Final reports whether the instance has ended.
func (i *Instance) Final() bool { return i.chart.definition.States[i.State()].Final }

// Timeout returns the timeout of the current state, and the event to fire when it has passed. They
// are zero if the state has no timeout.
func (i *Instance) Timeout() (jsonc.Duration, Event) {
	s := i.chart.definition.States[i.State()]
	return s.Timeout, s.TimeoutEvent
}

// Fire fires event e and returns the new state. An event that the current state
// ignores changes nothing. In a final state every event is an error.
func (i *Instance) Fire(e Event) (State, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.chart.definition.States[i.state].Final {
		return i.state, fault.Newf(fault.Internal, "report this as a defect", "chart %s: event %q in final state %q", i.chart.definition.Name, e, i.state)
	}
	if err := i.chart.machine.FireCtx(i.ctx, e); err != nil {
		return i.state, fault.Wrap(err, fault.Internal, "chart "+i.chart.definition.Name, "report this as a defect")
	}
	return i.state, nil
}
