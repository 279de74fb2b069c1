package daemon

import (
	"time"

	"github.com/rockdoor/rockdoor/claims"
	"github.com/rockdoor/rockdoor/internal/entry"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
)

func encodeClaim(c claims.Claim) *peerpb.Claim {
	return &peerpb.Claim{Key: c.Key, Claimant: c.Claimant, Digest: c.Digest, Process: c.Process, Epoch: c.Epoch}
}

func decodeClaim(c *peerpb.Claim) claims.Claim {
	return claims.Claim{Key: c.GetKey(), Claimant: c.GetClaimant(), Digest: c.GetDigest(), Process: c.GetProcess(), Epoch: c.GetEpoch()}
}

var verdicts = map[claims.Verdict]peerpb.Verdict{
	claims.Abstain:  peerpb.Verdict_VERDICT_ABSTAIN,
	claims.Granted:  peerpb.Verdict_VERDICT_GRANTED,
	claims.Seen:     peerpb.Verdict_VERDICT_SEEN,
	claims.Mismatch: peerpb.Verdict_VERDICT_MISMATCH,
}

func encodeReply(r claims.Reply) *peerpb.ClaimReply {
	return &peerpb.ClaimReply{Verdict: verdicts[r.Verdict], Claimant: r.Claimant, Process: r.Process}
}

// decodeReply decodes a reply to a claim. An unknown verdict counts as an abstention.
func decodeReply(r *peerpb.ClaimReply) claims.Reply {
	out := claims.Reply{Verdict: claims.Abstain, Claimant: r.GetClaimant(), Process: r.GetProcess()}
	for v, pb := range verdicts {
		if pb == r.GetVerdict() {
			out.Verdict = v
		}
	}
	return out
}

func encodePage(page []claims.Record, more, ready bool) *peerpb.ClaimSyncReply {
	out := &peerpb.ClaimSyncReply{Ready: ready, More: more}
	for _, r := range page {
		out.Claims = append(out.Claims, &peerpb.ClaimRecord{
			Key: r.Key, Claimant: r.Claimant, Digest: r.Digest, Process: r.Process, AgeMs: r.Age.Milliseconds(), Abandoned: r.Abandoned,
		})
	}
	return out
}

func decodePage(page *peerpb.ClaimSyncReply) []claims.Record {
	var out []claims.Record
	for _, r := range page.GetClaims() {
		out = append(out, claims.Record{
			Key: r.GetKey(), Claimant: r.GetClaimant(), Digest: r.GetDigest(), Process: r.GetProcess(),
			Age: time.Duration(r.GetAgeMs()) * time.Millisecond, Abandoned: r.GetAbandoned(),
		})
	}
	return out
}

func encodeOutcome(o entry.Outcome) *peerpb.ClaimOutcomeReply {
	return &peerpb.ClaimOutcomeReply{
		State: string(o.State), Kept: o.Stored, Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body, Outcome: o.Outcome,
	}
}

func decodeOutcome(o *peerpb.ClaimOutcomeReply) entry.Outcome {
	return entry.Outcome{
		State: entry.OutcomeState(o.GetState()), Stored: o.GetKept(), Status: int(o.GetStatus()), ContentType: o.GetContentType(),
		Body: o.GetBody(), Outcome: o.GetOutcome(),
	}
}
