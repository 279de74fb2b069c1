package placement

import (
	"fmt"
	"slices"
	"time"
)

// SuspensionReason says why this process sends an instance no requests.
type SuspensionReason string

// Reasons of suspensions.
const (
	// SuspendedFailing: the instance failed several requests in a row.
	SuspendedFailing SuspensionReason = "failing"
	// SuspendedMisdirected: the instance stated that a request was not meant for it.
	SuspendedMisdirected SuspensionReason = "misdirected"
	// SuspendedSilent: the instance accepted several requests and has sent nothing since.
	SuspendedSilent SuspensionReason = "silent"
)

// Suspension says that this process sends an instance no requests.
type Suspension struct {
	Instance string           `json:"instance"`
	Reason   SuspensionReason `json:"reason"`
	// Evidence is what the instance did, for operators.
	Evidence string    `json:"evidence"`
	Since    time.Time `json:"since"`
	// NextProbe is when a request may be sent to the instance to find out whether it can be used again.
	NextProbe time.Time `json:"nextProbe"`
}

// SetSuspensionObserver sets a function that is called when an instance is suspended, with resumed false, and when the
// suspension ends. It must not block or call the placer, and must be set before the placer is used.
func (p *Placer) SetSuspensionObserver(observe func(s Suspension, resumed bool)) {
	p.onSuspension = observe
}

// Suspensions returns the reasons for which this process sends an instance no requests.
func (p *Placer) Suspensions(id string) []Suspension {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.instances[id]; st != nil {
		return st.suspensions()
	}
	return nil
}

// suspensions returns the suspensions of the instance. The caller holds the placer's lock.
func (s *instanceState) suspensions() []Suspension {
	var out []Suspension
	if b := &s.breaker; b.open() {
		out = append(out, Suspension{s.id, SuspendedFailing, fmt.Sprintf("%d failed attempts in a row", b.failures), b.openedAt, b.probeAt})
	}
	if m := &s.misdirection; m.open() {
		out = append(out, Suspension{s.id, SuspendedMisdirected, "states that a request to " + m.address + " is not meant for it", m.openedAt, m.probeAt})
	}
	if q := &s.silence; q.open() {
		out = append(out, Suspension{s.id, SuspendedSilent, fmt.Sprintf("%d requests in a row without a response", q.unanswered), q.openedAt, q.probeAt})
	}
	return out
}

// observeSuspensions calls change and reports the suspensions that it begins or ends. The caller holds the lock.
func (p *Placer) observeSuspensions(s *instanceState, change func()) {
	if p.onSuspension == nil {
		change()
		return
	}
	before := s.suspensions()
	change()
	after := s.suspensions()
	p.reportMissing(after, before, false)
	p.reportMissing(before, after, true)
}

// reportMissing reports the suspensions in all that others lacks.
func (p *Placer) reportMissing(all, others []Suspension, resumed bool) {
	for _, s := range all {
		if !slices.ContainsFunc(others, func(o Suspension) bool { return o.Reason == s.Reason }) {
			p.onSuspension(s, resumed)
		}
	}
}
