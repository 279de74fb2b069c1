package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

const (
	// convictAfter is how many instances must have ended under a request for it to be refused.
	// Others that were in hand there come back, and are in hand at the next end, less often.
	convictAfter = 3
	// refusedFor is how long it is refused after the last end. Then one try may run, since
	// engines are mended too.
	refusedFor = 10 * time.Minute
	// trialTime is how long a process lets no second try run beside one.
	trialTime = 10 * time.Second
	// suspectFor is how long an end is remembered of a request that is not refused.
	suspectFor = 10 * time.Minute
	// sameEnd is how far apart observations of one end may lie. Targets of the completion
	// service keep their names when they start again.
	sameEnd = 2 * time.Second
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
	// maxEnds bounds the ends that are remembered of one request.
	maxEnds = 8
)

// Observation says how a run of a request ended.
type Observation struct {
	Request Fingerprint
	// Instance is the one that ended under the request, empty if one ran it to a good end.
	Instance string
	// RunTime is how long the request had been there when the instance ended.
	RunTime time.Duration
	At      bootclock.Instant
}

// Verdict says whether a request may be sent to an instance.
type Verdict struct {
	// Refused is true if it may not, RetryAfter when asking again makes sense.
	Refused    bool
	RetryAfter time.Duration
	// Quarantined is true if the request is to blame, Trial if this try may run all the same, since
	// its time has passed.
	Quarantined, Trial bool
	// CrashedInstances are the instances that ended under it.
	CrashedInstances []string
}

// Suspect is a request under which instances have ended.
type Suspect struct {
	Request Fingerprint
	Verdict Verdict
	// SinceLastCrash is how long ago the last one ended.
	SinceLastCrash time.Duration
}

// Table holds what is known of requests under which instances have ended. It is safe for
// concurrent use.
type Table struct {
	now func() bootclock.Instant

	mu sync.Mutex
	// last numbers the observations.
	last     uint64
	suspects map[Fingerprint]*suspect
	// convicted are the requests that are to blame, as of the observation judged.
	convicted map[Fingerprint]bool
	judged    uint64
	// news has an entry if something was observed.
	news chan struct{}
}

// suspect is what is known of one request.
type suspect struct {
	ends []numbered
	// sound is the newest good run, with number 0 if there is none.
	sound numbered
	// trial is when the last try was let through after its time.
	trial bootclock.Instant
}

// numbered is an observation with its number in this table.
type numbered struct {
	number uint64
	Observation
}

// same reports whether two observations are of one end: several processes may have had the
// request there.
func (n numbered) same(o Observation) bool {
	apart := n.At.Sub(o.At)
	return n.Instance == o.Instance && max(apart, -apart) < sameEnd
}

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{now: bootclock.Now, suspects: map[Fingerprint]*suspect{}, news: make(chan struct{}, 1)}
}

// SetClock replaces the clock. It is called before the table is used.
func (t *Table) SetClock(now func() bootclock.Instant) { t.now = now }

// Updates has an entry when something new was observed or told.
func (t *Table) Updates() <-chan struct{} { return t.news }

// Empty reports whether no request is suspected, so that no fingerprint needs to be computed.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects) == 0
}

// RecordCrash takes in that an instance has ended under a request that had been there for a while, and
// returns the verdict on it.
func (t *Table) RecordCrash(f Fingerprint, instance string, ran time.Duration) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(Observation{f, instance, ran, t.now()})
	return t.verdict(f)
}

// RecordSuccess takes in that an instance has run a request to a good end.
func (t *Table) RecordSuccess(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(Observation{Request: f, At: t.now()})
}

// Merge takes in what others have observed.
func (t *Table) Merge(all []Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range all {
		t.take(o)
	}
}

// take takes an observation in unless it is known or says nothing new. What others tell seems
// later than it was by the way of their messages, so that no later time alone may be news: all
// would tell each other the same without end. The caller holds the lock.
func (t *Table) take(o Observation) {
	s := t.suspects[o.Request]
	if s == nil && o.Instance == "" {
		return // nothing speaks against it
	}
	if s == nil {
		s = &suspect{}
		t.makeRoom()
		t.suspects[o.Request] = s
	}
	if !s.isNews(o) {
		return
	}
	t.last++
	if o.Instance == "" {
		s.sound = numbered{t.last, o}
	} else {
		s.ends = append(s.ends, numbered{t.last, o})
		slices.SortFunc(s.ends, func(a, b numbered) int { return cmp.Compare(a.At, b.At) })
		s.ends = s.ends[max(len(s.ends)-maxEnds, 0):]
	}
	select {
	case t.news <- struct{}{}:
	default: // there is some already
	}
}

// isNews reports whether an observation changes anything: a good run after an end, or another
// end; if as many as are kept are known, a later one.
func (s *suspect) isNews(o Observation) bool {
	if o.Instance == "" {
		since := s.since()
		return len(since) > 0 && o.At > since[0].At
	}
	if slices.ContainsFunc(s.ends, func(n numbered) bool { return n.same(o) }) {
		return false
	}
	return len(s.ends) < maxEnds || o.At > s.lastEnd().Add(sameEnd)
}

// makeRoom forgets what is old, and the suspect with the fewest and oldest ends if there are
// too many. The caller holds the lock.
func (t *Table) makeRoom() {
	now := t.now()
	for f, s := range t.suspects {
		if now.Sub(s.lastEnd()) > suspectFor+refusedFor {
			delete(t.suspects, f)
		}
	}
	if len(t.suspects) < maxSuspects {
		return
	}
	var least Fingerprint
	for f, s := range t.suspects {
		l := t.suspects[least]
		if l == nil || cmp.Or(cmp.Compare(len(s.since()), len(l.since())), cmp.Compare(s.lastEnd(), l.lastEnd())) < 0 {
			least = f
		}
	}
	delete(t.suspects, least)
}

// since returns the ends since the last good run.
func (s *suspect) since() []numbered {
	for n, e := range s.ends {
		if s.sound.number == 0 || e.At > s.sound.At {
			return s.ends[n:]
		}
	}
	return nil
}

func (s *suspect) lastEnd() bootclock.Instant {
	if len(s.ends) == 0 {
		return 0
	}
	return s.ends[len(s.ends)-1].At
}

// Admit returns the verdict on a request that is to be sent to an instance. A try that is let
// through after its time has passed counts as the trial.
func (t *Table) Admit(f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.verdict(f)
	if v.Quarantined && !v.Refused {
		v.Trial, t.suspects[f].trial = true, t.now()
	}
	return v
}

// Verdict returns the verdict on a request without letting it through.
func (t *Table) Verdict(f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(f)
}

func (t *Table) verdict(f Fingerprint) Verdict {
	s := t.suspects[f]
	if s == nil {
		return Verdict{}
	}
	var v Verdict
	for _, e := range s.since() {
		v.CrashedInstances = append(v.CrashedInstances, e.Instance)
	}
	if v.Quarantined = t.blamed()[f]; !v.Quarantined {
		return v
	}
	until := s.lastEnd().Add(refusedFor)
	if s.trial > 0 {
		until = max(until, s.trial.Add(trialTime))
	}
	if left := until.Sub(t.now()); left > 0 {
		v.Refused, v.RetryAfter = true, left
	}
	return v
}

// Suspects returns all requests under which instances have ended, those that are refused first.
func (t *Table) Suspects() []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var out []Suspect
	for f, s := range t.suspects {
		out = append(out, Suspect{f, t.verdict(f), now.Sub(s.lastEnd())})
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Verdict.CrashedInstances), len(a.Verdict.CrashedInstances)), cmp.Compare(a.SinceLastCrash, b.SinceLastCrash))
	})
	return out
}

// ObservationsAfter returns up to most of the observations after the one with a number, in their order, and the
// number of the last of them.
func (t *Table) ObservationsAfter(number uint64, most int) ([]Observation, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []numbered
	for _, s := range t.suspects {
		for _, o := range append([]numbered{s.sound}, s.ends...) {
			if o.number > number {
				all = append(all, o)
			}
		}
	}
	slices.SortFunc(all, func(a, b numbered) int { return cmp.Compare(a.number, b.number) })
	all = all[:min(most, len(all))]
	out := make([]Observation, 0, len(all))
	for _, o := range all {
		number = o.number
		out = append(out, o.Observation)
	}
	return out, number
}
