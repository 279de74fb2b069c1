package replay

import "time"

// event is an action at a point in virtual time.
type event struct {
	at time.Time
	do func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) {
	v, _ := x.(event)
	*e = append(*e, v)
}

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
