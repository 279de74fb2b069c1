package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// What is asked for minAsked times or more, over minAskedTime or more, must be served at least once.
	minAsked     = 4
	minAskedTime = 8 * time.Second
)

// wasServed reports whether a client got what it asked for.
func wasServed(call *Call) bool {
	return call.Complete && (call.Status == http.StatusOK || call.Kind == Only && call.Status == http.StatusNotFound)
}

// countsAsAsked reports whether a client waited for the response of a sound request.
func countsAsAsked(call *Call) bool { return !call.Poisoned && call.CanceledAt.IsZero() }

// groupsOf returns what a call stands for: its client, kind, host, subject and polled path.
func groupsOf(call *Call) []string {
	caller := call.ID
	if at := strings.LastIndex(call.ID, "-"); at > 0 {
		caller = call.ID[:at]
	}
	out := []string{"client " + caller, "kind " + string(call.Kind), "host " + gatewayName(call.Gateway)}
	if call.Subject != "" {
		out = append(out, "subject "+call.Subject+" of "+string(call.Kind))
	}
	if strings.HasSuffix(call.Path, polledPath) {
		out = append(out, "path "+call.Path)
	}
	return out
}

// neverServed checks that each client, kind, host, subject and polled path is served: once in the whole run, and once again
// after the faults have ended.
func (c *checker) neverServed() Guarantee {
	g := Guarantee{Name: "each client, kind, host, subject and polled path is served"}
	recovered := c.faultsEnded.Add(c.o.Bounds.Recovery)
	all := map[string][]*Call{}
	for _, call := range c.observed.Calls {
		if !countsAsAsked(call) {
			continue
		}
		for _, group := range groupsOf(call) {
			all[group] = append(all[group], call)
			if call.Sent.After(recovered) {
				all[group+" after the faults"] = append(all[group+" after the faults"], call)
			}
		}
	}
	longest, of := time.Duration(0), ""
	for group, calls := range all {
		slices.SortFunc(calls, func(a, b *Call) int { return cmp.Compare(a.Sent.UnixNano(), b.Sent.UnixNano()) })
		if gap := longestUnserved(calls); gap > longest {
			longest, of = gap, group
		}
		asked := calls[len(calls)-1].Sent.Sub(calls[0].Sent)
		if len(calls) < minAsked || asked < minAskedTime {
			continue
		}
		g.Cases++
		if !slices.ContainsFunc(calls, wasServed) {
			g.addViolation(calls[len(calls)-1].ID, "%s: asked for %d times over %s, never served", group, len(calls), asked.Round(time.Millisecond))
		}
	}
	g.Closest = fmt.Sprintf(" (the longest time without service: %s, %s)", longest.Round(time.Millisecond), of)
	return g
}

// longestUnserved returns the longest time from the first to the last of consecutive calls that were not served.
func longestUnserved(calls []*Call) (longest time.Duration) {
	var since *Call
	for _, call := range calls {
		switch {
		case wasServed(call):
			since = nil
		case since == nil:
			since = call
		default:
			longest = max(longest, call.Sent.Sub(since.Sent))
		}
	}
	return longest
}
