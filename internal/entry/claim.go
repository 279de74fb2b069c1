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

// Claims grants requests with an idempotency key.
type Claims interface {
	Acquire(ctx context.Context, c claims.Claim) claims.Result
	// Abandon withdraws a claim whose request has not run.
	Abandon(c claims.Claim)
	// Outcome asks the process that runs a claimed request what became of it.
	Outcome(ctx context.Context, process, claimant string) (Outcome, error)
}

const (
	claimTries   = 4
	claimBackoff = 15 * time.Millisecond
	claimWait    = time.Second
	outcomeTime  = time.Second
	// HeaderReplayed marks an answer that was given before.
	HeaderReplayed = "Rockdoor-Replayed"
	digestBytes    = 16
)

// claimed reports whether the call must be claimed before it runs.
func (c *call) claimed() bool { return c.key != "" && !c.idempotent }

// digest identifies the content of the call.
func (c *call) digest() string {
	h := sha256.New()
	h.Write([]byte(c.method + "\x00" + c.uri + "\x00"))
	h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Outcome returns what this process knows of a claimed request.
func (s *Server) Outcome(claimant string) Outcome { return s.outcomes.get(claimant) }

// serveClaimed runs the call if its key is granted, and otherwise answers as the
// request that holds the key was answered.
func (r *run) serveClaimed() {
	claim := claims.Claim{
		Key: r.claimKey(), Claimant: r.c.id, Digest: r.c.digest(), Process: r.s.o.Process,
	}
	var res claims.Result
	for range claimTries {
		r.s.outcomes.begin(claim.Claimant)
		if res = r.s.o.Claims.Acquire(r.ctx, claim); res.Granted {
			r.claim = &claim
			r.record()
			r.finish(r.do())
			return
		}
		r.s.outcomes.withdraw(claim.Claimant)
		if res.Seen && r.duplicate(res) {
			return
		}
		time.Sleep(claimBackoff + rand.N(claimBackoff))
		claim.Claimant = r.c.id + "-" + hex.EncodeToString([]byte{byte(rand.IntN(256)), byte(rand.IntN(256))})
	}
	if res.Seen {
		r.duplicateUnknown()
		return
	}
	r.life.Fire(charts.Refused)
	level.Info(r.s.o.Logger).Log("msg", "claim not granted", "request", r.c.id, "grants", res.Grants, "holders", res.Holders, "seen", res.Seen)
	r.finish(refusal(http.StatusServiceUnavailable, codeClaimMissing,
		fault.New(fault.Unavailable, "not enough holders of the idempotency key can vouch that it is new", "ask again after the time in Retry-After"), claimWait+rand.N(claimWait)))
}

// claimKey is the key as the holders know it: each workspace has its own.
func (r *run) claimKey() string { return r.c.workspace.Name + "\x00" + r.c.key }

// record keeps a copy of the answer for callers that ask again.
func (r *run) record() { r.w = &recorder{ResponseWriter: r.w} }

// settleClaim remembers the outcome, or withdraws the claim of a call that has
// not run, so that it may be sent again.
func (r *run) settleClaim(outcome statechart.State) {
	if outcome == charts.RequestNotRun {
		r.s.outcomes.withdraw(r.claim.Claimant)
		r.s.o.Claims.Abandon(*r.claim)
		return
	}
	r.s.outcomes.finish(r.claim.Claimant, r.w.(*recorder).outcome(string(outcome)))
}

// duplicate answers a call whose key another request holds. It returns false if
// that request turns out to have been withdrawn, so that the key may be claimed
// again.
func (r *run) duplicate(res claims.Result) bool {
	if res.Mismatch {
		r.answerDuplicate(refusal(http.StatusUnprocessableEntity, codeKeyMismatch,
			fault.New(fault.Invalid, "idempotency key was used for another request", "use a new key for each request"), 0))
		return true
	}
	out := r.askOutcome(res)
	switch {
	case out.State == OutcomeWithdrawn:
		// Its own process says so, but a holder that had copied the claim has not
		// heard of it.
		r.s.o.Claims.Abandon(claims.Claim{Key: r.claimKey(), Claimant: res.Claimant})
		return false
	case out.State == OutcomeRunning:
		r.answerDuplicate(&reply{status: http.StatusConflict, code: codeKeyInUse, outcome: charts.RequestUnknown, retryAfter: claimWait,
			err: fault.New(fault.Conflict, "a request with this idempotency key is running", "ask again after the time in Retry-After for its answer")})
	case out.State == OutcomeDone && out.Kept:
		r.replay(out)
	case out.State == OutcomeDone:
		r.answerDuplicate(&reply{status: http.StatusConflict, code: codeKeyInUse, outcome: statechart.State(out.Outcome),
			err: fault.New(fault.Conflict, "a request with this idempotency key has ended, its answer was too large to be kept", "do not send it again; its outcome is in the header "+HeaderOutcome)})
	default:
		r.duplicateUnknown()
	}
	return true
}

// duplicateUnknown answers a call whose key is held by a request that nobody can
// tell the outcome of.
func (r *run) duplicateUnknown() {
	r.answerDuplicate(&reply{status: http.StatusBadGateway, code: codeUnknown, outcome: charts.RequestUnknown,
		err: fault.New(fault.Unknown, "a request with this idempotency key may have run and its outcome is not known", "find out by other means whether it took effect")})
}

// askOutcome asks the process that claimed the key. The zero state means that
// nobody can tell.
func (r *run) askOutcome(res claims.Result) Outcome {
	if res.Process == "" {
		return Outcome{}
	}
	ctx, cancel := context.WithTimeout(r.ctx, outcomeTime)
	defer cancel()
	out, err := r.s.o.Claims.Outcome(ctx, res.Process, res.Claimant)
	if err != nil {
		return Outcome{}
	}
	return out
}

func (r *run) answerDuplicate(rep *reply) {
	r.life.Fire(charts.Duplicate)
	r.finish(rep)
}

// replay gives the answer that the request with the same key got.
func (r *run) replay(out Outcome) {
	r.life.Fire(charts.Duplicate)
	h := r.w.Header()
	r.identify(h)
	h.Set(HeaderReplayed, "true")
	h.Set(HeaderOutcome, out.Outcome)
	if out.ContentType != "" {
		h.Set("Content-Type", out.ContentType)
	}
	r.w.WriteHeader(out.Status)
	_, _ = (&deadlineWriter{w: r.w}).Write(out.Body)
	r.finish(nil)
}
