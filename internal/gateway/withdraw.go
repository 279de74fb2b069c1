package gateway

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/quarantine"
)

// withdrawInterval is how often attempts are compared with the quarantine.
const withdrawInterval = 50 * time.Millisecond

// withdrawals gives up attempts that wait for their first event at an instance, once their requests are quarantined: those
// that are queued there then crash nothing. It is safe for concurrent use.
type withdrawals struct {
	server *Server

	mu       sync.Mutex
	attempts map[*waitingAttempt]bool
	// reviewing is true while the next review is due.
	reviewing bool
}

// waitingAttempt is an attempt that waits for its first event.
type waitingAttempt struct {
	request, instance string
	fingerprint       quarantine.Fingerprint
	parts             []quarantine.Part
	watch             *hangWatch
}

// add begins to compare an attempt with the quarantine, unless nothing is suspected at all. The returned function ends that.
func (w *withdrawals) add(q *request, instance string, watch *hangWatch) (remove func()) {
	if q.trial || w.server.o.Quarantine.Empty() {
		return func() {}
	}
	a := &waitingAttempt{request: q.call.ID, instance: instance, fingerprint: q.fingerprint(), parts: q.parts(), watch: watch}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts[a] = true
	if !w.reviewing {
		w.reviewing = true
		time.AfterFunc(withdrawInterval, w.review)
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.attempts, a)
	}
}

// review gives up the attempts whose requests are quarantined, and runs again while attempts wait.
func (w *withdrawals) review() {
	w.mu.Lock()
	waiting := make([]*waitingAttempt, 0, len(w.attempts))
	for a := range w.attempts {
		waiting = append(waiting, a)
	}
	w.mu.Unlock()
	for _, a := range waiting {
		if w.server.isQuarantined(a.fingerprint, a.parts) && a.watch.withdraw() {
			w.server.count("withdrawn")
			level.Info(w.server.o.Logger).Log("msg", "attempt withdrawn: its request is quarantined", "request", a.request, "instance", a.instance)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reviewing = len(w.attempts) > 0; w.reviewing {
		time.AfterFunc(withdrawInterval, w.review)
	}
}

// isQuarantined reports whether a request is rejected at present.
func (s *Server) isQuarantined(f quarantine.Fingerprint, parts []quarantine.Part) bool {
	t := s.o.Quarantine
	return !t.Empty() && (t.Verdict(f).Refused || t.PartVerdict(parts).Refused)
}
