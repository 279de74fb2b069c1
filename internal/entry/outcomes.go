package entry

import (
	"net/http"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxOutcomes is the maximum number of requests with an idempotency key whose
	// outcome is stored.
	maxOutcomes = 65536
	// maxStoredBytes limits the total size of the stored responses, in bytes.
	// maxStoredResponse limits the size of each.
	maxStoredBytes    = 16 << 20
	maxStoredResponse = 256 << 10
)

// OutcomeState is the state of a request with an idempotency key at one process.
type OutcomeState string

// States of a request with an idempotency key.
const (
	// OutcomeNone: this process has no record of the request, or no longer has one.
	OutcomeNone OutcomeState = "none"
	// OutcomeWithdrawn: the request has not run and will not run.
	OutcomeWithdrawn OutcomeState = "withdrawn"
	OutcomeRunning   OutcomeState = "running"
	OutcomeDone      OutcomeState = "done"
)

// Outcome is the outcome of a request with an idempotency key.
type Outcome struct {
	State OutcomeState
	// Stored is true if Status, ContentType and Body hold the response.
	Stored      bool
	Status      int
	ContentType string
	Body        []byte
	// Outcome is the final state of the request.
	Outcome string
}

// outcomes stores the outcomes of this process's requests with an idempotency key.
// It is safe for concurrent use.
type outcomes struct {
	mu          sync.Mutex
	byClaimant  *simplelru.LRU[string, *Outcome]
	storedBytes int
}

func newOutcomes() *outcomes {
	o := &outcomes{}
	all, err := simplelru.NewLRU(maxOutcomes, func(_ string, v *Outcome) { o.storedBytes -= len(v.Body) })
	if err != nil {
		panic(err) // NewLRU fails only if the size is not positive
	}
	o.byClaimant = all
	return o
}

func (o *outcomes) begin(claimant string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byClaimant.Add(claimant, &Outcome{State: OutcomeRunning})
}

func (o *outcomes) withdraw(claimant string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byClaimant.Add(claimant, &Outcome{State: OutcomeWithdrawn})
}

// finish stores an outcome. It evicts the oldest outcomes while the stored
// responses exceed maxStoredBytes.
func (o *outcomes) finish(claimant string, out Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	out.State = OutcomeDone
	o.byClaimant.Remove(claimant)
	o.storedBytes += len(out.Body)
	o.byClaimant.Add(claimant, &out)
	for o.storedBytes > maxStoredBytes {
		if _, _, ok := o.byClaimant.RemoveOldest(); !ok {
			return
		}
	}
}

func (o *outcomes) get(claimant string) Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v, ok := o.byClaimant.Get(claimant); ok {
		return *v
	}
	return Outcome{State: OutcomeNone}
}

// recorder copies a response while it is written to the client.
type recorder struct {
	http.ResponseWriter
	status int
	body   []byte
	// overflow is true if the response is too large to be stored.
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
	if !r.overflow && len(r.body)+len(p) <= maxStoredResponse {
		r.body = append(r.body, p...)
	} else {
		r.overflow, r.body = true, nil
	}
	return r.ResponseWriter.Write(p)
}

// outcome returns the recorded response with the final state of the request.
func (r *recorder) outcome(final string) Outcome {
	return Outcome{Stored: !r.overflow, Status: r.status, ContentType: r.Header().Get("Content-Type"), Body: r.body, Outcome: final}
}
