package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/claims"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/statechart"
)

// Claims grants the right to run a request under an idempotency key to one
// claimant.
type Claims interface {
	Acquire(ctx context.Context, c claims.Claim) claims.Result
	// Abandon withdraws a claim whose request has not run.
	Abandon(c claims.Claim)
	// Outcome asks the process that claimed a request for the request's outcome.
	Outcome(ctx context.Context, process, claimant string) (Outcome, error)
}

const (
	maxClaimAttempts = 4
	claimBackoff     = 15 * time.Millisecond
	claimRetryAfter  = time.Second
	outcomeTimeout   = time.Second
	// HeaderReplayed marks the stored response of an earlier request with the same
	// idempotency key.
	HeaderReplayed = "Rockdoor-Replayed"
	digestBytes    = 16
)

// claimed reports whether the call needs a claim before it runs.
func (c *call) claimed() bool { return c.key != "" && !c.idempotent }

// digest returns a hash of the method, URI and body, by which a reuse of the
// idempotency key for another request is detected.
func (c *call) digest() string {
	h := sha256.New()
	h.Write([]byte(c.method + "\x00" + c.uri + "\x00"))
	h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Outcome returns the state of a claimed request at this process.
func (s *Server) Outcome(claimant string) Outcome { return s.outcomes.get(claimant) }

// serveClaimed runs the call if its idempotency key is granted. Otherwise it
// replies with the outcome of the request that holds the key.
func (r *run) serveClaimed() {
	claim := claims.Claim{
		Key: r.claimKey(), Claimant: r.c.id, Digest: r.c.digest(), Process: r.s.o.Process,
	}
	var res claims.Result
	for range maxClaimAttempts {
		r.s.outcomes.begin(claim.Claimant)
		if res = r.s.o.Claims.Acquire(r.ctx, claim); res.Granted {
			r.claim = &claim
			r.recordResponse()
			r.finish(r.do())
			return
		}
		r.s.outcomes.withdraw(claim.Claimant)
		if res.Seen && r.handleDuplicate(res) {
			return
		}
		if !r.sleep(claimBackoff + rand.N(claimBackoff)) {
			break
		}
		claim.Claimant = r.c.id + "-" + hex.EncodeToString([]byte{byte(rand.IntN(256)), byte(rand.IntN(256))})
	}
	if res.Seen {
		r.replyOutcomeUnknown()
		return
	}
	r.lifecycle.Fire(charts.Refused)
	level.Info(r.s.o.Logger).Log("msg", "claim not granted", "request", r.c.id, "grants", res.Grants, "holders", res.Holders, "seen", res.Seen)
	r.finish(errorReply(http.StatusServiceUnavailable, codeClaimMissing,
		fault.New(fault.Unavailable, "too few claim holders confirmed that the idempotency key is unused", "ask again after the time in Retry-After"), claimRetryAfter+rand.N(claimRetryAfter)))
}

// claimKey returns the key under which the claim is stored. Idempotency keys are
// scoped to the workspace.
func (r *run) claimKey() string { return r.c.workspace.Name + "\x00" + r.c.key }

// recordResponse captures the response, so that it can be replayed to duplicates
// of the request.
func (r *run) recordResponse() { r.w = &recorder{ResponseWriter: r.w} }

// completeClaim stores the outcome of a call that may have run. It withdraws the
// claim of a call that has not run, so that the client may send it again.
func (r *run) completeClaim(outcome statechart.State) {
	if outcome == charts.RequestNotRun {
		r.s.outcomes.withdraw(r.claim.Claimant)
		r.s.o.Claims.Abandon(*r.claim)
		return
	}
	r.s.outcomes.finish(r.claim.Claimant, r.w.(*recorder).outcome(string(outcome)))
}

// handleDuplicate replies to a call whose idempotency key is held by another request.
// It returns false without a reply if that request has been withdrawn, so that
// the key may be claimed again.
func (r *run) handleDuplicate(res claims.Result) bool {
	if res.Mismatch {
		r.replyToDuplicate(errorReply(http.StatusUnprocessableEntity, codeKeyMismatch,
			fault.New(fault.Invalid, "idempotency key was used for another request", "use a new key for each request"), 0))
		return true
	}
	out := r.fetchOutcome(res)
	switch {
	case out.State == OutcomeWithdrawn:
		// The claiming process withdrew the claim, but a holder with a replica of
		// the claim has not received the withdrawal.
		r.s.o.Claims.Abandon(claims.Claim{Key: r.claimKey(), Claimant: res.Claimant})
		return false
	case out.State == OutcomeRunning:
		r.replyToDuplicate(&reply{status: http.StatusConflict, code: codeKeyInUse, outcome: charts.RequestUnknown, retryAfter: claimRetryAfter,
			err: fault.New(fault.Conflict, "a request with this idempotency key is running", "retry after the time in Retry-After to get its response")})
	case out.State == OutcomeDone && out.Stored:
		r.replay(out)
	case out.State == OutcomeDone:
		r.replyToDuplicate(&reply{status: http.StatusConflict, code: codeKeyInUse, outcome: statechart.State(out.Outcome),
			err: fault.New(fault.Conflict, "a request with this idempotency key has ended, its response was too large to be stored", "do not send it again; its outcome is in the header "+HeaderOutcome)})
	default:
		r.replyOutcomeUnknown()
	}
	return true
}

// replyOutcomeUnknown replies to a call whose idempotency key is held by a request
// whose outcome cannot be determined.
func (r *run) replyOutcomeUnknown() {
	r.replyToDuplicate(&reply{status: http.StatusBadGateway, code: codeUnknown, outcome: charts.RequestUnknown,
		err: fault.New(fault.Unknown, "a request with this idempotency key may have run and its outcome is unknown", "find out by other means whether it took effect")})
}

// fetchOutcome asks the process that claimed the key for the outcome. It returns
// the zero Outcome if the outcome cannot be determined.
func (r *run) fetchOutcome(res claims.Result) Outcome {
	if res.Process == "" {
		return Outcome{}
	}
	ctx, cancel := context.WithTimeout(r.ctx, outcomeTimeout)
	defer cancel()
	out, err := r.s.o.Claims.Outcome(ctx, res.Process, res.Claimant)
	if err != nil {
		return Outcome{}
	}
	return out
}

func (r *run) replyToDuplicate(rep *reply) {
	r.lifecycle.Fire(charts.Duplicate)
	r.finish(rep)
}

// replay sends the stored response of the request with the same key.
func (r *run) replay(out Outcome) {
	r.lifecycle.Fire(charts.Duplicate)
	h := r.w.Header()
	r.setResponseHeaders(h)
	h.Set(HeaderReplayed, "true")
	h.Set(HeaderOutcome, out.Outcome)
	if out.ContentType != "" {
		h.Set("Content-Type", out.ContentType)
	}
	r.w.WriteHeader(out.Status)
	_, _ = (&deadlineWriter{w: r.w}).Write(out.Body)
	r.finish(nil)
}
