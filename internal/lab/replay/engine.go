package replay

import (
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/placement"
)

// simEngine reads one prompt at a time and keeps every shared part: the loads' subjects fit
// into the engines' memory several times.
type simEngine struct {
	kept    map[string]bool
	busy    bool
	waiting []*simRead
}

// simRead is a prompt that waits at an engine until its caller leaves.
type simRead struct {
	rank    int
	until   time.Time
	subject string
	call    *engine.Call
	ticket  *placement.Ticket
	done    func()
}

// take drops the prompts that nobody waits for any more and returns the most urgent of the
// others, of equal ones the first; nil if there is none.
func (e *simEngine) take(now time.Time) *simRead {
	e.waiting = slices.DeleteFunc(e.waiting, func(w *simRead) bool {
		gone := now.After(w.until)
		if gone {
			w.ticket.Cancel()
		}
		return gone
	})
	if len(e.waiting) == 0 {
		return nil
	}
	next := slices.MinFunc(e.waiting, func(a, b *simRead) int { return a.rank - b.rank })
	e.waiting = slices.DeleteFunc(e.waiting, func(w *simRead) bool { return w == next })
	return next
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

// events is a heap, the earliest first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	v, _ := x.(event)
	*e = append(*e, v)
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
