package trace

import (
	"cmp"
	"slices"
	"time"
)

// Change is a change that each process notices on its own: a configuration that takes effect, a removed
// instance, or the readiness of the process itself.
type Change struct {
	// What is the log message, ID the version of the configuration or the ID of the instance.
	What, ID string
	// First is the time at which the first process logged the change.
	First time.Time
	// Processes is the number of processes that logged the change. Half and Last are the times from the
	// first process until half of them and until all of them had logged it.
	Processes  int
	Half, Last time.Duration
	// LastProcess is the process that logged the change last, and LastReason the message with which it had said within
	// reasonWindow before that its way to changes was broken, empty if it had not.
	LastProcess, LastReason string
}

// reasonWindow is how long before a change a process may have said why it receives changes late.
const reasonWindow = 5 * time.Second

// lateReasons are the messages of a process whose way to changes is broken.
var lateReasons = []string{
	"start", "store lost", "no scheduler answers", "scheduler does not respond", "relayed data is too old, reading the store directly",
	"direct read of the store failed", "configuration is not confirmed, looking for a confirmation", "read of the configuration failed",
}

// propagatedMessages are the messages that each process logs once a change has reached it, with the field
// that identifies the change.
var propagatedMessages = map[string]string{"configuration in force": "version", "instance gone": "id", "ready": ""}

// Propagation returns how long changes took to reach the processes that wrote the logs, in the order in which the
// changes were first logged. For each process only the first line about a change counts.
func Propagation(lines []Line) []Change {
	type key struct{ what, id string }
	seen := map[key]map[string]time.Time{}
	reasons := map[string][]Line{} // by process
	for _, l := range lines {
		if slices.Contains(lateReasons, l.Msg) {
			reasons[l.Process] = append(reasons[l.Process], l)
		}
		field, ok := propagatedMessages[l.Msg]
		if !ok {
			continue
		}
		k := key{l.Msg, l.Get(field)}
		if seen[k] == nil {
			seen[k] = map[string]time.Time{}
		}
		if at, known := seen[k][l.Process]; !known || l.At.Before(at) {
			seen[k][l.Process] = l.At
		}
	}
	out := make([]Change, 0, len(seen))
	for k, byProcess := range seen {
		var times []time.Time
		last := ""
		for process, at := range byProcess {
			times = append(times, at)
			if last == "" || at.After(byProcess[last]) {
				last = process
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		out = append(out, Change{
			What: k.what, ID: k.id, First: times[0], Processes: len(times),
			Half: times[(len(times)-1)/2].Sub(times[0]), Last: times[len(times)-1].Sub(times[0]),
			LastProcess: last, LastReason: lateReason(reasons[last], byProcess[last]),
		})
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Or(a.First.Compare(b.First), cmp.Compare(a.ID, b.ID)) })
	return out
}

// lateReason returns the message of the last line within reasonWindow before a time.
func lateReason(lines []Line, at time.Time) string {
	reason, saidAt := "", at.Add(-reasonWindow)
	for _, l := range lines {
		if !l.At.Before(saidAt) && l.At.Before(at) {
			reason, saidAt = l.Msg, l.At
		}
	}
	return reason
}
