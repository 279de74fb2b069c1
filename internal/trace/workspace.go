package trace

import (
	"cmp"
	"slices"
)

// WorkspaceOutcomes counts the requests of one workspace by how they ended.
type WorkspaceOutcomes struct {
	Name string
	// Requests counts all requests, Served those with a complete response, Refused those that certainly did
	// not run, Failed the others, also those that the client aborted.
	Requests, Served, Refused, Failed int
}

// ShareServed returns the share of the requests that were served, 0 if there are none.
func (w WorkspaceOutcomes) ShareServed() float64 {
	if w.Requests == 0 {
		return 0
	}
	return float64(w.Served) / float64(w.Requests)
}

func (w *WorkspaceOutcomes) count(l Line) {
	w.Requests++
	switch {
	case l.Get("outcome") == "ok":
		w.Served++
	case l.Get("may_have_run") == "false":
		w.Refused++
	default:
		w.Failed++
	}
}

// ByWorkspace counts requests by workspace, sorted by the share that was served with the lowest first, and
// counts all of them together. Requests without a workspace are left out. It expects the lines of all requests,
// also of successful ones, which are logged at level debug.
func ByWorkspace(lines []Line) (each []WorkspaceOutcomes, all WorkspaceOutcomes) {
	found := map[string]*WorkspaceOutcomes{}
	for _, l := range lines {
		name := l.Get("workspace")
		if l.Msg != "request" || name == "" {
			continue
		}
		if found[name] == nil {
			found[name] = &WorkspaceOutcomes{Name: name}
		}
		found[name].count(l)
		all.count(l)
	}
	for _, w := range found {
		each = append(each, *w)
	}
	slices.SortFunc(each, func(a, b WorkspaceOutcomes) int {
		return cmp.Or(cmp.Compare(a.ShareServed(), b.ShareServed()), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
	return each, all
}
