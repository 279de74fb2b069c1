package trace

import (
	"cmp"
	"regexp"
	"slices"

	"github.com/rockdoor/rockdoor/placement"
)

// Phase is the last step of its processing that a request had reached when it ended.
type Phase string

// Phases of a request.
const (
	// PhaseWaiting: nothing had been sent to an instance.
	PhaseWaiting Phase = "waiting"
	// PhasePrefilling: a prefill engine had been chosen for the prompt.
	PhasePrefilling Phase = "reading"
	// PhasePrefilled: the prompt had been prefilled, and the request had been sent to no instance to
	// run it.
	PhasePrefilled Phase = "read"
	// PhaseSent: the request had been sent to an instance, and no instance had started to run it.
	PhaseSent Phase = "sent"
	// PhaseRunning: an instance may have started to run the request, and the client had received nothing.
	PhaseRunning Phase = "running"
	// PhaseRunningWhole: an instance had started to prefill and decode the request as a whole, and no
	// event had been sent to the client.
	PhaseRunningWhole Phase = "running-whole"
	// PhaseRelaying: the client had received a part of the response.
	PhaseRelaying Phase = "relaying"
)

// Group is a set of requests of one route that ended in the same way.
type Group struct {
	Route, Service, Outcome string
	Phase                   Phase
	// Error is the error without the parts that differ between the requests.
	Error string
	// Count is the number of requests, ExampleID the ID of one of them.
	Count     int
	ExampleID string
}

// Summarize groups the requests that did not succeed, the largest group first. It expects the log lines of
// all requests.
func Summarize(lines []Line) []Group {
	hasPrefillEngine, isWhole := map[string]bool{}, map[string]bool{}
	groups := map[Group]*Group{}
	for _, l := range lines {
		id := l.Get("request")
		switch {
		case id == "":
		case l.Msg == "decision":
			hasPrefillEngine[id] = hasPrefillEngine[id] || l.Get("reader") != ""
			isWhole[id] = placement.Reason(l.Get("reason")).Whole()
		case l.Msg == "request" && l.Get("outcome") != "ok":
			addToGroup(groups, l, phaseOf(l, hasPrefillEngine[id], isWhole[id]))
		}
	}
	out := make([]Group, 0, len(groups))
	for _, g := range groups {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.ExampleID, b.ExampleID))
	})
	return out
}

func addToGroup(groups map[Group]*Group, l Line, p Phase) {
	key := Group{Route: l.Get("route"), Service: l.Get("service"), Outcome: l.Get("outcome"), Phase: p, Error: normalizeError(l.Get("err"))}
	g := groups[key]
	if g == nil {
		g = &Group{}
		*g = key
		g.ExampleID = l.Get("request")
		groups[key] = g
	}
	g.Count++
}

// phaseOf returns the phase in which the request of a line ended. hasPrefillEngine is true if an engine was
// chosen to prefill its prompt, isWhole if its last target was chosen to prefill and decode it.
func phaseOf(l Line, hasPrefillEngine, isWhole bool) Phase {
	nonZero := func(key string) bool { return l.Get(key) != "" && l.Get(key) != "0" && l.Get(key) != "0s" }
	switch {
	case nonZero("events"):
		return PhaseRelaying
	case nonZero("runs") && isWhole:
		return PhaseRunningWhole
	case nonZero("runs"):
		return PhaseRunning
	case nonZero("sends"):
		return PhaseSent
	case nonZero("read"):
		return PhasePrefilled
	case hasPrefillEngine:
		return PhasePrefilling
	}
	return PhaseWaiting
}

// variableParts matches the parts in which errors with the same cause differ: addresses, identifiers of
// instances, and long numbers.
var variableParts = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+(:\d+)?|\b[\w-]*[0-9a-f]{6,}\b`)

func normalizeError(err string) string { return variableParts.ReplaceAllString(err, "*") }
