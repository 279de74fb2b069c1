// Package usage counts the requests that start to run, for each workspace and window of true time, and
// reports each window once. The counts of a process are replicated to another process, so that few are
// lost if the process is killed. The content of a report is decided once, in the store, before it is
// sent.
package usage

import (
	"maps"
	"sync"
	"time"
)

// retainedWindows is the number of windows whose counts are retained. If the store or the platform's API
// is down for longer, the oldest counts are lost.
const retainedWindows = 60

// Source is one run of a process that counts requests.
type Source struct{ Process, Incarnation string }

// Entry is the counts of one source in one window.
type Entry struct {
	// Window is the number of the window, as Ledger.Window returns it.
	Window int64
	Source Source
	// Counts are the numbers of requests by workspace. They never decrease.
	Counts map[string]int
}

// Ledger holds the counts of this process and the replicated counts of others. It is safe for
// concurrent use.
type Ledger struct {
	self         Source
	windowLength time.Duration
	now          func() time.Time

	mu      sync.Mutex
	windows map[int64]map[Source]map[string]int
	// unsent are the windows in which the counts of this process have changed since they were last
	// taken by TakeUnsent.
	unsent map[int64]bool
}

// NewLedger returns an empty ledger with windows of the given length. now returns the true time.
func NewLedger(self Source, length time.Duration, now func() time.Time) *Ledger {
	return &Ledger{self: self, windowLength: length, now: now, windows: map[int64]map[Source]map[string]int{}, unsent: map[int64]bool{}}
}

// Window returns the number of the window that contains t. Window 0 starts at the Unix epoch.
func (l *Ledger) Window(t time.Time) int64 { return t.UnixNano() / int64(l.windowLength) }

// currentWindow returns the window that contains the present time.
func (l *Ledger) currentWindow() int64 { return l.Window(l.now()) }

// oldestWindow returns the oldest window whose counts are retained.
func (l *Ledger) oldestWindow() int64 { return l.currentWindow() - retainedWindows }

// age returns how long ago a window ended.
func (l *Ledger) age(window int64) time.Duration {
	return l.now().Sub(time.Unix(0, (window+1)*int64(l.windowLength)))
}

// CountRequest counts a request of a workspace that starts to run now.
func (l *Ledger) CountRequest(workspace string) {
	window := l.currentWindow()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts(window, l.self)[workspace]++
	l.unsent[window] = true
}

// counts returns the counts of a source in a window, for reading and writing. The caller holds the lock.
func (l *Ledger) counts(window int64, s Source) map[string]int {
	sources := l.windows[window]
	if sources == nil {
		sources = map[Source]map[string]int{}
		l.windows[window] = sources
		l.dropOldWindows()
	}
	if sources[s] == nil {
		sources[s] = map[string]int{}
	}
	return sources[s]
}

// dropOldWindows drops the windows before oldestWindow. The caller holds the lock.
func (l *Ledger) dropOldWindows() {
	oldest := l.oldestWindow()
	for window := range l.windows {
		if window < oldest {
			delete(l.windows, window)
			delete(l.unsent, window)
		}
	}
}

// Merge adds counts of other processes. Counts never decrease, so entries may arrive repeatedly, late, or
// from several processes that have them.
func (l *Ledger) Merge(entries []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.oldestWindow()
	for _, e := range entries {
		if e.Source == l.self || e.Window < oldest {
			continue
		}
		counts := l.counts(e.Window, e.Source)
		for workspace, n := range e.Counts {
			counts[workspace] = max(counts[workspace], n)
		}
	}
}

// Entries returns the counts of all sources in a window.
func (l *Ledger) Entries(window int64) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for s, counts := range l.windows[window] {
		out = append(out, Entry{window, s, maps.Clone(counts)})
	}
	return out
}

// Total returns the sums of the counts of all sources in a window, by workspace.
func (l *Ledger) Total(window int64) map[string]int {
	out := map[string]int{}
	for _, e := range l.Entries(window) {
		for workspace, n := range e.Counts {
			out[workspace] += n
		}
	}
	return out
}

// TakeUnsent returns the counts of this process in the windows in which they have changed since they were
// last taken.
func (l *Ledger) TakeUnsent() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for window := range l.unsent {
		out = append(out, Entry{window, l.self, maps.Clone(l.windows[window][l.self])})
	}
	clear(l.unsent)
	return out
}

// MarkUnsent makes TakeUnsent return entries again that were taken but did not arrive.
func (l *Ledger) MarkUnsent(entries []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		l.unsent[e.Window] = true
	}
}

// MarkAllUnsent makes TakeUnsent return the counts of this process in all windows.
func (l *Ledger) MarkAllUnsent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window, sources := range l.windows {
		if sources[l.self] != nil {
			l.unsent[window] = true
		}
	}
}
