package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rockdoor/rockdoor/internal/lifecycle"
)

// reply is a final answer that the gateway itself gives.
type reply struct {
	// status is 0 if it follows from the state of the request.
	status int
	// code names the outcome in logs and metrics.
	code string
	err  error
	// retryAfter is when asking again makes sense, 0 if it does not.
	retryAfter time.Duration
	// silent is true if nobody waits for the reply: the connection is closed instead.
	silent bool
}

// codeDeadline is the outcome of a request whose time is up.
const codeDeadline = "deadline"

// given returns a reply whose status follows from the state of the request.
func given(code string, err error, retryAfter time.Duration) *reply {
	return &reply{code: code, err: err, retryAfter: retryAfter}
}

// statusIn returns the status for a request that has ended: 503 promises that it has
// not run and never will.
func (p *reply) statusIn(l *lifecycle.Request) int {
	switch {
	case p.status != 0:
		return p.status
	case !l.MayHaveRun():
		return http.StatusServiceUnavailable
	case p.code == codeDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func refusal(status int, code string, err error, retryAfter time.Duration) *reply {
	return &reply{status: status, code: code, err: err, retryAfter: retryAfter}
}

// retrySpread is by which part a time to come back is stretched at random, so
// that refused callers don't return together.
const retrySpread = 0.5

func (p *reply) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if p.retryAfter > 0 {
		s := p.retryAfter.Seconds() * (1 + retrySpread*rand.Float64())
		h.Set("Retry-After", strconv.FormatFloat(s, 'f', 3, 64))
	}
	body := p.err.Error() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.status)
	_, _ = w.Write([]byte(body)) // a caller that is gone needs no answer
}
