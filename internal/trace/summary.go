package trace

import (
	"cmp"
	"regexp"
	"slices"
)

// Phase is how far a request had come when it ended.
type Phase string

// Phases of a request.
const (
	// PhaseWaiting: nothing had been sent to an instance.
	PhaseWaiting Phase = "waiting"
	// PhaseReading: an engine had its prompt.
	PhaseReading Phase = "reading"
	// PhaseRead: its prompt had been read, and it had been sent to no runner.
	PhaseRead Phase = "read"
	// PhaseSent: it had been sent, and no instance had begun it.
	PhaseSent Phase = "sent"
	// PhaseRunning: an instance may have begun it, and the caller had got nothing.
	PhaseRunning Phase = "running"
	// PhaseRelaying: the caller had got a part of the answer.
	PhaseRelaying Phase = "relaying"
)

// Group is requests of a route that ended in the same way.
type Group struct {
	Route, Service, Outcome string
	Phase                   Phase
	// Why is the error, with what differs between requests left out.
	Why string
	// Count is how many there are, First the id of one of them.
	Count int
	First string
}

// Summarize groups the requests that did not end well, the largest group first. It
// expects the lines of all requests.
func Summarize(lines []Line) []Group {
	readers := map[string]bool{}
	groups := map[Group]*Group{}
	for _, l := range lines {
		id := l.Get("request")
		switch {
		case id == "":
		case l.Msg == "decision" && l.Get("reader") != "":
			readers[id] = true
		case l.Msg == "request" && l.Get("outcome") != "ok":
			add(groups, l, phase(l, readers[id]))
		}
	}
	out := make([]Group, 0, len(groups))
	for _, g := range groups {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.First, b.First))
	})
	return out
}

func add(groups map[Group]*Group, l Line, p Phase) {
	key := Group{Route: l.Get("route"), Service: l.Get("service"), Outcome: l.Get("outcome"), Phase: p, Why: alike(l.Get("err"))}
	g := groups[key]
	if g == nil {
		g = &Group{}
		*g = key
		g.First = l.Get("request")
		groups[key] = g
	}
	g.Count++
}

// phase tells how far the request of a line had come. hadReader is true if an engine
// was chosen to read its prompt.
func phase(l Line, hadReader bool) Phase {
	some := func(key string) bool { return l.Get(key) != "" && l.Get(key) != "0" && l.Get(key) != "0s" }
	switch {
	case some("events"):
		return PhaseRelaying
	case some("runs"):
		return PhaseRunning
	case some("sends"):
		return PhaseSent
	case some("read"):
		return PhaseRead
	case hadReader:
		return PhaseReading
	}
	return PhaseWaiting
}

// particulars are what differs between the errors of requests with the same cause:
// addresses, identifiers of instances, and numbers.
var particulars = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+(:\d+)?|\b[\w-]*[0-9a-f]{6,}\b`)

func alike(err string) string { return particulars.ReplaceAllString(err, "*") }
