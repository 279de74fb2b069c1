package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/limits"
	"github.com/rockdoor/rockdoor/statechart"
)

// Error codes in replies to clients, in addition to the kinds of package fault.
const (
	codeNoTarget     = "no_permitted_target"
	codeOverloaded   = "overloaded"
	codeStale        = "configuration_stale"
	codeNotReady     = "not_ready"
	codeWrongEntry   = "wrong_entry_host"
	codeUnknown      = "outcome_unknown"
	codeFailed       = "target_failed"
	codeTooLarge     = "request_too_large"
	codeSlowBody     = "request_too_slow"
	codeNoRoute      = "no_route"
	codeMethod       = "method_not_allowed"
	codeDeadline     = "deadline_exceeded"
	codeKeyMismatch  = "idempotency_key_reused"
	codeKeyInUse     = "idempotency_key_in_use"
	codeQuarantined  = "request_ends_targets"
	codeClaimMissing = "claim_not_granted"
	codeStopping     = "stopping"
)

// reply is a final response that rockdoor generates itself.
type reply struct {
	status int
	code   string
	err    error
	// outcome is a final state of the request chart.
	outcome statechart.State
	// retryAfter is the time after which the client may retry, 0 if a retry is
	// pointless.
	retryAfter time.Duration
}

// errorReply returns a reply with the outcome of a request that was never attempted.
// run.do replaces that outcome by the actual one.
func errorReply(status int, code string, err error, retryAfter time.Duration) *reply {
	return &reply{status: status, code: code, err: err, outcome: charts.RequestNotRun, retryAfter: retryAfter}
}

// errorReplyFor maps an error that occurred before the request ran to a reply.
func errorReplyFor(err error) *reply {
	var limited *limits.RejectionError
	if errors.As(err, &limited) {
		return errorReply(http.StatusTooManyRequests, string(limited.Err.Kind), limited.Err, limited.RetryAfter)
	}
	kind := fault.KindOf(err)
	status := map[fault.Kind]int{
		fault.Invalid:     http.StatusBadRequest,
		fault.NotFound:    http.StatusNotFound,
		fault.Denied:      http.StatusUnauthorized,
		fault.Conflict:    http.StatusConflict,
		fault.Exhausted:   http.StatusTooManyRequests,
		fault.Unavailable: http.StatusServiceUnavailable,
	}[kind]
	if status == 0 {
		status = http.StatusInternalServerError
	}
	return errorReply(status, string(kind), err, 0)
}

// errorType returns the error type of the completion API for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

func (p *reply) body() []byte {
	b, _ := json.Marshal(openai.ErrorBody{Error: openai.ErrorDetail{
		Message: p.err.Error(), Type: errorType(p.status), Code: p.code,
	}})
	return append(b, '\n')
}

// setRetryAfter sets the Retry-After header, in whole seconds, and Retry-After-Ms,
// for clients that support a shorter wait.
func setRetryAfter(h http.Header, d time.Duration) {
	if d <= 0 {
		return
	}
	h.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	h.Set("Retry-After-Ms", strconv.FormatInt(d.Milliseconds(), 10))
}

// writeUnread writes a reply to a request whose body has not been read. The connection is closed after it: the HTTP server would
// otherwise wait for the body before it sends the reply.
func (p *reply) writeUnread(w http.ResponseWriter, r *http.Request, id string) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	p.write(w, id)
}

func (p *reply) write(w http.ResponseWriter, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(p.outcome))
	if id != "" {
		h.Set(HeaderRequest, id)
	}
	setRetryAfter(h, p.retryAfter)
	w.WriteHeader(p.status)
	_, _ = w.Write(p.body())
}
