package placement

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/rockdoor/rockdoor/fleet"
)

const (
	// firstRate is the speed of reading, in tokens a millisecond, that is assumed
	// until it has been measured.
	firstRate = 200.0
	// rateStep is the weight of a new measurement of the speed.
	rateStep = 0.05
	// keptSubjects bounds the subjects that one engine is believed to keep.
	keptSubjects = 2048
	// failureStep is the weight of one outcome in the share of failures.
	failureStep = 0.2
	// failureFade is the time in which an old share of failures halves, so that
	// an instance that recovered is tried again.
	failureFade = 2 * time.Second
	// failurePenalty is how much worse an instance that always fails looks.
	failurePenalty = 30.0
)

// state is what is known about one instance.
type state struct {
	id string
	// own is what this process has in hand there.
	own Load
	// rate is the speed of reading in tokens a millisecond.
	rate float64
	kept *lru.Cache[string, struct{}]
	// failures is the share of recent requests that failed, as of failedAt.
	failures float64
	failedAt time.Time
}

func (p *Placer) state(i *fleet.Instance) *state {
	st := p.instances[i.ID]
	if st == nil {
		kept, err := lru.New[string, struct{}](keptSubjects)
		if err != nil {
			panic(err) // only for a size that is not positive
		}
		st = &state{id: i.ID, rate: firstRate, kept: kept}
		p.instances[i.ID] = st
	}
	return st
}

// load returns what all processes have in hand.
func (p *Placer) load(st *state) Load {
	peers := p.peers(st.id)
	return Load{Requests: st.own.Requests + peers.Requests, Reading: st.own.Reading + peers.Reading}
}

func (s *state) keeps(subject string) bool { return subject != "" && s.kept.Contains(subject) }

// penalty is the factor by which an instance looks worse for its failures.
func (s *state) penalty() float64 {
	if s.failures == 0 {
		return 1
	}
	age := time.Since(s.failedAt).Seconds() / failureFade.Seconds()
	return 1 + failurePenalty*s.failures/(1+age*age)
}

func (s *state) outcome(failed bool) {
	now := 0.0
	if failed {
		now, s.failedAt = 1, time.Now()
	}
	s.failures += (now - s.failures) * failureStep
	if s.failures < failureStep/10 {
		s.failures = 0
	}
}

// Own returns what this process has in hand at each instance where it has any.
func (p *Placer) Own() map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]Load{}
	for id, st := range p.instances {
		if st.own != (Load{}) {
			out[id] = st.own
		}
	}
	return out
}

// Retain forgets all instances but those that keep names.
func (p *Placer) Retain(keep func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, st := range p.instances {
		if st.own == (Load{}) && !keep(id) {
			delete(p.instances, id)
		}
	}
}

// Ticket is a placed job. Its methods may be called once each.
type Ticket struct {
	p       *Placer
	subject string
	reader  *state
	runner  *state
	reading int
	begun   time.Time
	ahead   int
}

func (p *Placer) begin(j *Job, plan *Plan) *Ticket {
	t := &Ticket{p: p, subject: j.Call.Subject(), runner: p.state(plan.Runner), begun: time.Now()}
	t.runner.own.Requests++
	if plan.Reader != nil {
		t.reader = p.state(plan.Reader)
		t.ahead = p.load(t.reader).Reading
		t.reading = plan.Uncached
		t.reader.own.Requests++
		t.reader.own.Reading += t.reading
	}
	return t
}

// Read records how reading apart ended.
func (t *Ticket) Read(ok bool) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	r := t.reader
	if r == nil {
		return
	}
	t.reader = nil
	r.own.Requests--
	r.own.Reading -= t.reading
	r.outcome(!ok)
	if !ok {
		return
	}
	r.kept.Add(t.subject, struct{}{})
	ms := float64(time.Since(t.begun)) / float64(time.Millisecond)
	if measured := float64(t.ahead+t.reading) / ms; measured > 0 {
		r.rate += (measured - r.rate) * rateStep
	}
}

// Run records how the request ended at the runner.
func (t *Ticket) Run(ok bool) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.runner == nil {
		return
	}
	t.runner.own.Requests--
	t.runner.outcome(!ok)
	t.runner = nil
}

// Cancel takes the job back without a verdict on the instances.
func (t *Ticket) Cancel() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.reader != nil {
		t.reader.own.Requests--
		t.reader.own.Reading -= t.reading
		t.reader = nil
	}
	if t.runner != nil {
		t.runner.own.Requests--
		t.runner = nil
	}
}
