package placement

import (
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
)

const (
	// minOpenTime is the time for which an instance that is taken out of use gets no requests before one probe is let
	// through. Each failed probe doubles the time.
	minOpenTime = 250 * time.Millisecond
	// maxMisdirectedTime bounds the time between two probes of a misdirected instance. A rejected probe is sent
	// elsewhere at once.
	maxMisdirectedTime = 2 * time.Second
	// One in jobsPerProbe jobs may be a probe when one is due, while other instances can take the jobs.
	jobsPerProbe = 4
	// An instance counts as silent after minUnanswered attempts without a response, the first of which began minSilence
	// ago, if it has sent nothing meanwhile. Engines that work are silent for up to 0.6 s.
	minUnanswered = 3
	minSilence    = 1200 * time.Millisecond
)

// probation keeps an instance out of use, except for probes, until one of them shows that the instance can be used
// again. The zero value is an instance in use.
type probation struct {
	// openTime is the current time between two probes, 0 while the instance is in use. openedAt is when it was taken
	// out of use.
	openTime time.Duration
	openedAt time.Time
	// probeAt is the earliest time of the next probe request. probing is true while a probe is in
	// flight.
	probeAt time.Time
	probing bool
}

func (p *probation) open() bool { return p.openTime > 0 }

// canSend reports whether a request may be sent to the instance.
func (p *probation) canSend(now time.Time) bool { return !p.open() || !now.Before(p.probeAt) }

// recordSend records that a request was sent. While the instance is out of use that request is the probe,
// and no other request follows until it has ended or the open time has passed again.
func (p *probation) recordSend(now time.Time) {
	if p.open() {
		p.probing, p.probeAt = true, now.Add(p.openTime)
	}
}

// recordFailure takes the instance out of use, or doubles the time until the next probe after a failed one. Other
// failures while the instance is out of use don't extend the time.
func (p *probation) recordFailure(now time.Time, maxOpenTime time.Duration) {
	switch {
	case !p.open():
		p.openTime, p.openedAt = minOpenTime, now
	case p.probing:
		p.openTime = min(2*p.openTime, maxOpenTime)
	default:
		return
	}
	p.probing, p.probeAt = false, now.Add(p.openTime)
}

// misdirection keeps an instance out of use that stated that a request was not meant for it: another instance has taken over
// its address, or it has changed its role.
type misdirection struct {
	probation
	// address and role are those of the instance's registration, empty before the first request. changedAt is when they
	// last changed.
	address   string
	role      engine.Role
	changedAt time.Time
}

// observeRegistration puts the instance back into use if its registration has changed.
func (m *misdirection) observeRegistration(i *fleet.Instance, now time.Time) {
	if m.address != "" {
		m.changedAt = now
	}
	m.address, m.role, m.probation = i.Address, i.Role, probation{}
}

// isOf reports whether the belief is about the instance as it is registered.
func (m *misdirection) isOf(i *fleet.Instance) bool {
	return m.address == i.Address && m.role == i.Role
}

// record records the response to a request that was sent at startedAt.
func (m *misdirection) record(misdirected bool, startedAt, now time.Time) {
	switch {
	case startedAt.Before(m.changedAt): // the response is about the earlier registration
	case misdirected:
		m.recordFailure(now, maxMisdirectedTime)
	case m.open() && startedAt.After(m.openedAt):
		m.probation = probation{}
	}
}

// silence keeps an instance out of use that accepts requests and sends nothing. Attempts that end with their clients' timeouts
// don't count as failures, since under overload they end so at sound instances too. These respond to others meanwhile.
type silence struct {
	probation
	// unanswered counts the attempts without a response since the last response, firstAt is when the first of them
	// began.
	unanswered  int
	firstAt     time.Time
	respondedAt time.Time
}

// recordUnanswered records an attempt that began at startedAt and got no response.
func (q *silence) recordUnanswered(startedAt, now time.Time) {
	if startedAt.Before(q.respondedAt) {
		return // it has responded to another request since
	}
	if q.unanswered == 0 || startedAt.Before(q.firstAt) {
		q.firstAt = startedAt
	}
	q.unanswered++
	if q.unanswered >= minUnanswered && now.Sub(q.firstAt) >= minSilence {
		q.recordFailure(now, maxOpenTime)
	}
}

// recordResponse records that the instance has sent something.
func (q *silence) recordResponse(now time.Time) { *q = silence{respondedAt: now} }
