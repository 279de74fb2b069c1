package soak

import (
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// Kind is a kind of request.
type Kind string

// Kinds of requests. The route of each begins with its name.
const (
	// Once must not be repeated.
	Once Kind = "once"
	// Repeat may be repeated.
	Repeat Kind = "repeat"
	// Stream may be resumed.
	Stream Kind = "stream"
	// StreamOnce must not be repeated and has events.
	StreamOnce Kind = "stream-once"
	// Mark goes to a service that changes with each version of the configuration.
	Mark Kind = "mark"
	// Only goes to a route that few versions have.
	Only Kind = "only"
)

// AtMostOnce reports whether requests of the kind must not run twice.
func (k Kind) AtMostOnce() bool { return k == Once || k == StreamOnce }

// Streams reports whether answers of the kind have events.
func (k Kind) Streams() bool { return k == Stream || k == StreamOnce }

// Call is one request as its caller saw it.
type Call struct {
	ID   string
	Kind Kind
	Path string
	Body string
	// Gateway is the number of the process that was asked, Life how often it had been started.
	Gateway, Life int
	// Sent is when the request had been written, Ended when the answer or the connection ended.
	Sent, Ended time.Time
	// Wait is the time that the caller states.
	Wait time.Duration
	// Left is when the caller closed its connection before the answer, zero if it did not.
	Left time.Time
	// Unsent is true if the connection ended before the request had been written whole.
	Unsent bool
	// Status is 0 if no head of an answer came.
	Status int
	Sealed bool
	// Whole is true if the answer looks complete.
	Whole  bool
	Answer string
	// Kept is true if an earlier request was answered on the same connection.
	Kept bool
	Err  string
}

// took returns how long the caller had to do with the request.
func (c *Call) took() time.Duration { return c.Ended.Sub(c.Sent) }

// Arrival is one request as an instance saw it.
type Arrival struct {
	fleetengine.Arrival
	Instance, Service string
	At                time.Time
	// Ended is when the instance had done with it, zero if it works on it.
	Ended time.Time
	// Status is that of the answer; Broke is true if the instance broke off.
	Status int
	Broke  bool
	// Ran is true if it began to run.
	Ran bool
	// Headed is when its answer began, zero if it did not. Limited is true if that named a rate limit.
	Headed  time.Time
	Limited bool
}

// Order is a call that only the holder of the duties makes.
type Order struct {
	// To is an engine, or the platform's API.
	To     string
	From   string
	Holder string
	Token  int64
	At     time.Time
}

// Lease is one change of the record of who holds the duties.
type Lease struct {
	Holder string
	Token  int64
	At     time.Time
}

// Applied is a version of the configuration that was written.
type Applied struct {
	Index      int
	Sent, Done time.Time
}

// Leaving is an instance that was told to drain, or whose registration was removed.
type Leaving struct {
	Instance string
	At       time.Time
}

// Disturbance is a time in which a fault was in force.
type Disturbance struct {
	Fault Fault
	// Gateways are those that it touched, all if it is empty.
	Gateways []int
	From, To time.Time
}

// Exit is the end of a process.
type Exit struct {
	Gateway, Life int
	At            time.Time
	// Why is the last signal that was sent to end it, empty if it ended by itself.
	Why  string
	Code int
	// Signal is the one that it died of, empty if it exited.
	Signal string
	// Overdue is true if it had to be killed after the grace period, Asked is when it was asked to end.
	Overdue bool
	Asked   time.Time
}

// Facts are what callers, instances and the store saw. They are safe for concurrent use.
type Facts struct {
	mu           sync.Mutex
	Calls        []*Call
	Arrivals     []*Arrival
	Orders       []*Order
	Leases       []Lease
	Applied      []Applied
	Leavings     []Leaving
	Limits       []*Limit
	Disturbances []*Disturbance
	Exits        []Exit
	Starts       map[int][]time.Time
}

func newFacts() *Facts { return &Facts{Starts: map[int][]time.Time{}} }

// note adds to the facts under their lock.
func (f *Facts) note(add func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add()
}
