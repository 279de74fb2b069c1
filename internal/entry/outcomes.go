package entry

import (
	"net/http"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxOutcomes bounds the requests with a key whose outcome is remembered.
	maxOutcomes = 65536
	// maxKept bounds the answers that are kept, in bytes, and maxAnswerKept one
	// of them.
	maxKept       = 16 << 20
	maxAnswerKept = 256 << 10
)

// OutcomeState is how far a request with an idempotency key is.
type OutcomeState string

// States of a request with a key.
const (
	// OutcomeNone: this process knows nothing of the request (any more).
	OutcomeNone OutcomeState = "none"
	// OutcomeWithdrawn: the request has not run and will not run.
	OutcomeWithdrawn OutcomeState = "withdrawn"
	OutcomeRunning   OutcomeState = "running"
	OutcomeDone      OutcomeState = "done"
)

// Outcome is what became of a request with an idempotency key.
type Outcome struct {
	State OutcomeState
	// Kept is true if the answer follows.
	Kept        bool
	Status      int
	ContentType string
	Body        []byte
	// Outcome is the final state of the request.
	Outcome string
}

// outcomes remembers what became of this process's requests with a key. It is
// safe for concurrent use.
type outcomes struct {
	mu   sync.Mutex
	all  *simplelru.LRU[string, *Outcome] // by claimant
	kept int
}

func newOutcomes() *outcomes {
	o := &outcomes{}
	all, err := simplelru.NewLRU(maxOutcomes, func(_ string, v *Outcome) { o.kept -= len(v.Body) })
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	o.all = all
	return o
}

func (o *outcomes) begin(claimant string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all.Add(claimant, &Outcome{State: OutcomeRunning})
}

func (o *outcomes) withdraw(claimant string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all.Add(claimant, &Outcome{State: OutcomeWithdrawn})
}

// finish records an outcome. Older answers are dropped if there is no room.
func (o *outcomes) finish(claimant string, out Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	out.State = OutcomeDone
	o.all.Remove(claimant)
	o.kept += len(out.Body)
	o.all.Add(claimant, &out)
	for o.kept > maxKept {
		if _, _, ok := o.all.RemoveOldest(); !ok {
			return
		}
	}
}

func (o *outcomes) get(claimant string) Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v, ok := o.all.Get(claimant); ok {
		return *v
	}
	return Outcome{State: OutcomeNone}
}

// recorder keeps a copy of an answer while it is written to the caller.
type recorder struct {
	http.ResponseWriter
	status int
	body   []byte
	// overflow is true if the answer is too large to be kept.
	overflow bool
}

// Unwrap lets http.NewResponseController reach the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

func (r *recorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	if !r.overflow && len(r.body)+len(p) <= maxAnswerKept {
		r.body = append(r.body, p...)
	} else {
		r.overflow, r.body = true, nil
	}
	return r.ResponseWriter.Write(p)
}

// outcome returns what was written.
func (r *recorder) outcome(final string) Outcome {
	return Outcome{Kept: !r.overflow, Status: r.status, ContentType: r.Header().Get("Content-Type"), Body: r.body, Outcome: final}
}
