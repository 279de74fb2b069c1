package trace

import (
	"cmp"
	"slices"
	"time"
)

// Change is something that each process comes to know by itself: a configuration that is in force, an instance
// that has gone, or that it is ready.
type Change struct {
	// What is the message, ID the configuration's version or the instance.
	What, ID string
	// First is when the first process said so.
	First time.Time
	// Processes is how many did, Half and Last how long after the first one half of them and all had.
	Processes  int
	Half, Last time.Duration
}

// reached are the messages that each process logs once a change has reached it, with the field that names it.
var reached = map[string]string{"configuration in force": "version", "instance gone": "id", "ready": ""}

// Reach returns how long changes took to reach the processes whose logs are given, in the order in which they
// were seen first. A process counts for its first word of a change.
func Reach(lines []Line) []Change {
	type key struct{ what, id string }
	heard := map[key]map[string]time.Time{}
	for _, l := range lines {
		field, ok := reached[l.Msg]
		if !ok {
			continue
		}
		k := key{l.Msg, l.Get(field)}
		if heard[k] == nil {
			heard[k] = map[string]time.Time{}
		}
		if at, known := heard[k][l.Process]; !known || l.At.Before(at) {
			heard[k][l.Process] = l.At
		}
	}
	out := make([]Change, 0, len(heard))
	for k, by := range heard {
		var times []time.Time
		for _, at := range by {
			times = append(times, at)
		}
		slices.SortFunc(times, time.Time.Compare)
		out = append(out, Change{
			What: k.what, ID: k.id, First: times[0], Processes: len(times),
			Half: times[(len(times)-1)/2].Sub(times[0]), Last: times[len(times)-1].Sub(times[0]),
		})
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Or(a.First.Compare(b.First), cmp.Compare(a.ID, b.ID)) })
	return out
}
