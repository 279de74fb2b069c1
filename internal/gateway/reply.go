package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rockdoor/rockdoor/internal/lifecycle"
)

// reply is a final response that the gateway generates itself.
type reply struct {
	// status is the HTTP status; 0 derives it from the state of the request.
	status int
	// code names the outcome in logs and metrics.
	code string
	err  error
	// retryAfter is the Retry-After before jitter, 0 for no such header.
	retryAfter time.Duration
	// silent is true if the client has disconnected: the connection is closed without a reply.
	silent bool
}

// codeDeadline is the outcome of a request whose deadline has passed.
const codeDeadline = "deadline"

// codeLost is the outcome of a request that may have run and got no complete response.
const codeLost = "lost"

// codeShutdown is the outcome of a request that was in flight when the grace period of the process ended.
const codeShutdown = "shutdown"

// promisesNotRun reports whether clients take a status for the promise that their request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// replyFromState returns a reply whose status is derived from the state of the request.
func replyFromState(code string, err error, retryAfter time.Duration) *reply {
	return &reply{code: code, err: err, retryAfter: retryAfter}
}

// statusFor returns the status of the reply to a request that has ended. Status 503 promises
// the client that the request has not run and never will.
func (p *reply) statusFor(l *lifecycle.Request) int {
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

func replyWithStatus(status int, code string, err error, retryAfter time.Duration) *reply {
	return &reply{status: status, code: code, err: err, retryAfter: retryAfter}
}

// retryJitter is the maximum share by which Retry-After is randomly extended, so that rejected
// clients do not all retry at once.
const retryJitter = 0.5

func (p *reply) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if p.retryAfter > 0 {
		s := p.retryAfter.Seconds() * (1 + retryJitter*rand.Float64())
		h.Set("Retry-After", strconv.FormatFloat(s, 'f', 3, 64))
	}
	body := p.err.Error() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.status)
	_, _ = w.Write([]byte(body)) // a client that has disconnected needs no reply
}
