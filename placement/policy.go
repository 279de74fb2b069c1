package placement

import "slices"

// Mechanism is a part of the placement policy that can be disabled on its own to measure its
// effect.
type Mechanism string

const (
	// SeparatePrefill runs the prefill of long prompts on engines that don't decode.
	SeparatePrefill Mechanism = "apart"
	// LateLast prefills late requests after all others.
	LateLast Mechanism = "late-last"
	// LateByRank prefills late requests in the order of their routes' ranks instead of arrival.
	LateByRank Mechanism = "late-in-order"
	// RejectWouldTimeOut rejects requests that cannot be prefilled before the client times out.
	RejectWouldTimeOut Mechanism = "refuse-hopeless"
	// LatencyTargetMargin reserves a part of the latency target for estimation errors.
	LatencyTargetMargin Mechanism = "target-margin"
	// RankedQueue counts only prompts that are prefilled before a new one towards its queueing delay.
	RankedQueue Mechanism = "ranked-queue"
	// HalfOfRunning counts half of a less urgent prompt as queueing delay if no others are pending.
	HalfOfRunning Mechanism = "half-of-begun"
	// Attention is the term of the prefill model that grows with pairs of tokens.
	Attention Mechanism = "attention"
	// CleanSamples fits the prefill model only to prefills that had an engine to themselves.
	CleanSamples Mechanism = "clean-samples"
	// Outliers gives little weight in the fit to prefills that took much longer than expected.
	Outliers Mechanism = "outliers"
	// Slowdown multiplies estimates by the engine's measured slowdown factor.
	Slowdown Mechanism = "pace"
	// KnownPrefixes reduces the estimate where shared parts of the prompt are cached.
	KnownPrefixes Mechanism = "known-caches"
	// Fetch lets a prefill engine fetch shared parts from the engine that has most of them cached.
	Fetch Mechanism = "fetch"
	// PreferredEngines prefills a prefix that no engine has cached at its preferred engine.
	PreferredEngines Mechanism = "homes"
	// LocalPrefill prefers prefill engines in the request's own failure domain.
	LocalPrefill Mechanism = "near-reader"
	// LocalTarget prefers targets in the request's own failure domain.
	LocalTarget Mechanism = "near-runner"
	// TargetNearPrefill prefers targets in the failure domain of the prefill engine.
	TargetNearPrefill Mechanism = "runner-near-reader"
	// StartingCounts gives extra weight to requests whose responses have not begun.
	StartingCounts Mechanism = "starting-counts"
	// SlowTargets sends fewer requests to targets with longer gaps between events than the median.
	SlowTargets Mechanism = "slow-runners"
	// Profiles divides the work by the engines' measured speeds where these differ, and runs responses
	// on engines that are fast enough for them.
	Profiles Mechanism = "engine-profiles"
	// SparePrefillCandidates keeps long responses away from engines that are likely to become prefill
	// engines next.
	SparePrefillCandidates Mechanism = "spare-runners"
	// QueueLimit bounds the number of requests in flight at a target.
	QueueLimit Mechanism = "queue-limit"
	// Penalty worsens the score of instances with recent failures.
	Penalty Mechanism = "penalty"
	// WholeRequests runs prefill and decode of a long prompt on one engine if the response is still
	// expected in time. It needs Features.WholeRequests.
	WholeRequests Mechanism = "whole"
	// Breakers stops requests to instances that fail all of them.
	Breakers Mechanism = "breakers"
	// WorkspaceShares divides engine time among workspaces while there is too little of it.
	WorkspaceShares Mechanism = "workspace-shares"
)

var mechanisms = []Mechanism{
	SeparatePrefill, LateLast, LateByRank, RejectWouldTimeOut, LatencyTargetMargin, RankedQueue, HalfOfRunning, Attention, CleanSamples, Outliers, Slowdown, KnownPrefixes,
	Fetch, PreferredEngines, LocalPrefill, LocalTarget, TargetNearPrefill, StartingCounts, SlowTargets, SparePrefillCandidates, QueueLimit, Penalty, Breakers, WholeRequests, Profiles, WorkspaceShares,
}

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism { return slices.Clone(mechanisms) }

// Policy is the set of enabled mechanisms. The zero value enables all of them.
type Policy struct {
	// disabled has a bit for each disabled mechanism.
	disabled uint32
}

// Without returns the policy with a mechanism disabled. An unknown mechanism changes nothing.
func (p Policy) Without(m Mechanism) Policy {
	p.disabled |= mechanismBit(m)
	return p
}

// Has reports whether a mechanism is enabled.
func (p Policy) Has(m Mechanism) bool { return p.disabled == 0 || p.disabled&mechanismBit(m) == 0 }

// mechanismBit returns the bit of a mechanism, 0 if it is unknown.
func mechanismBit(m Mechanism) uint32 {
	n := slices.Index(mechanisms, m)
	if n < 0 {
		return 0
	}
	return 1 << n
}
