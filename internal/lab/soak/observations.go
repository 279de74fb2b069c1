package soak

import (
	"strconv"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// Kind is a kind of request.
type Kind string

// Kinds of requests. The path of a request begins with the name of its kind.
const (
	// Once must not be retried after it may have run.
	Once Kind = "once"
	// Repeat may be retried.
	Repeat Kind = "repeat"
	// Stream has a streamed response that may be resumed at another engine.
	Stream Kind = "stream"
	// StreamOnce has a streamed response and must not be retried after it may have run.
	StreamOnce Kind = "stream-once"
	// Mark goes to a different service with each version of the configuration.
	Mark Kind = "mark"
	// Only goes to a route that exists only in a few versions of the configuration.
	Only Kind = "only"
)

// AtMostOnce reports whether requests of the kind must not run more than once.
func (k Kind) AtMostOnce() bool { return k == Once || k == StreamOnce }

// Streams reports whether responses of the kind are streamed as events.
func (k Kind) Streams() bool { return k == Stream || k == StreamOnce }

// Call is one request as its client observed it.
type Call struct {
	ID   string
	Kind Kind
	Path string
	Body string
	// Begun is the ID of the client's first attempt, empty if this is it. Attempt counts the attempts under one ID, from 0.
	Begun   string
	Attempt int
	// Gateway is the number of the gateway process, Incarnation the number of times that it had
	// been started.
	Gateway, Incarnation int
	// Sent is when the client began to write the request, Ended when the response or the connection
	// ended.
	Sent, Ended time.Time
	// Timeout is the deadline that the client states, relative to Sent.
	Timeout time.Duration
	// Resumes is the ID of the call that began the stream which this one resumes after the event After, ResumesAttempt its
	// attempt. It is empty for a new request.
	Resumes        string
	ResumesAttempt int
	After          int
	// Subject is the last part of the prompt that other requests share, empty for none.
	Subject string
	// Poisoned is true if a part of the prompt crashes engines.
	Poisoned bool
	// CanceledAt is when the client closed its connection before the response; zero if it did not.
	CanceledAt time.Time
	// Dropped is true if the client closed its connection to resume the stream elsewhere.
	Dropped bool
	// Whole is when the last byte of a slow upload was sent; zero for other requests and until then.
	Whole time.Time
	// Slow is true if the client sends the request with a pause.
	Slow bool
	// Unsent is true if the connection ended before the request had been written completely.
	Unsent bool
	// Status is 0 if no response header was received.
	Status int
	// Sealed is true if the response has a seal, which only instances add.
	Sealed bool
	// Complete is true if the framing of the response says that it is complete.
	Complete     bool
	ResponseBody string
	// RetryAfter is how long a rejection asks the client to wait.
	RetryAfter time.Duration
	// ReusedConn is true if the connection had carried an earlier request, EndAnnounced if its end had been announced.
	ReusedConn, EndAnnounced bool
	// Unread is true if the client takes the request for one that the process has not read.
	Unread bool
	Err    string
}

// key tells the attempts of all clients apart.
func (c *Call) key() string { return attemptKey(c.ID, attemptText(c.Attempt)) }

// resumedKey returns the key of the call that began the stream which this one resumes.
func (c *Call) resumedKey() string { return attemptKey(c.Resumes, attemptText(c.ResumesAttempt)) }

// key returns the key of the call that the arrival belongs to.
func (a *Arrival) key() string { return attemptKey(a.ID, a.Attempt) }

func attemptKey(id, attempt string) string {
	if attempt == "" {
		return id
	}
	return id + "#" + attempt
}

// attemptText returns what a request states as the number of its attempt.
func attemptText(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

// duration returns the time from sending the request to its end.
func (c *Call) duration() time.Duration { return c.Ended.Sub(c.Sent) }

// Arrival is one request as an instance observed it.
type Arrival struct {
	fleetengine.Arrival
	Instance, Service string
	// Software is the version of the instance's program, empty for none.
	Software string
	At       time.Time
	// Ended is when the instance finished the request; zero while it works on it.
	Ended time.Time
	// Status is the status of the response. Aborted is true if the instance aborted the connection.
	Status  int
	Aborted bool
	// Ran is true if the instance began to run the request.
	Ran bool
	// ResponseStart is when the response began; zero if it did not. RateLimited is true if the
	// response announced a rate limit.
	ResponseStart time.Time
	RateLimited   bool
}

// Order is a call that only the duty holder may make.
type Order struct {
	// To is the ID of an engine, or the platform's API.
	To     string
	From   string
	Holder string
	Token  int64
	At     time.Time
}

// Lease is one change of the duty holder in the store.
type Lease struct {
	Holder string
	Token  int64
	At     time.Time
}

// ConfigWrite is one write of a configuration version.
type ConfigWrite struct {
	Index      int
	Sent, Done time.Time
}

// Withdrawal is the time at which an instance was told to drain or its registration was removed.
type Withdrawal struct {
	Instance string
	At       time.Time
}

// EngineRun is the time in which a decode engine ran.
type EngineRun struct {
	Instance, Software string
	// Ended is zero while the engine runs.
	Started, Ended time.Time
}

// Disturbance is a period in which a fault was active.
type Disturbance struct {
	Fault Fault
	// Gateways are the affected processes. A store-wide fault affects all processes.
	Gateways []int
	From, To time.Time
}

// Exit is the exit of a process.
type Exit struct {
	Gateway, Incarnation int
	At                   time.Time
	// SentSignal is the last signal that was sent to end the process; empty if it exited on its
	// own.
	SentSignal string
	Code       int
	// Signal is the signal that killed the process; empty if it exited.
	Signal string
	// ExceededGrace is true if SIGKILL was sent after the grace period. StopRequestedAt is when the
	// process was asked to stop.
	ExceededGrace   bool
	StopRequestedAt time.Time
}

// Observations are what clients, instances and the store observed. Access to the fields is guarded
// by mu.
type Observations struct {
	mu           sync.Mutex
	Calls        []*Call
	Arrivals     []*Arrival
	Orders       []*Order
	Leases       []Lease
	ConfigWrites []ConfigWrite
	Withdrawals  []Withdrawal
	Limits       []*Limit
	Disturbances []*Disturbance
	Exits        []Exit
	Engines      []*EngineRun
	// PeakMemoryMB and MostDescriptors are the most that any process took.
	PeakMemoryMB    float64
	MostDescriptors int
	// PartCrashes are the times at which engines crashed under a part of a prompt.
	PartCrashes []time.Time
	// LateResponses counts the responses in excess.
	LateResponses int
	// Starts are the times at which processes were started, Ready those at which the balancer found them ready first, by
	// process number.
	Starts, Ready map[int][]time.Time
	Registered    []Registered
	// Garbled has the IDs of the requests for which an instance sent garbage.
	Garbled map[string]bool
	// Foreign and Endless have those for which one sent a response that is no stream, or a body without end.
	Foreign, Endless map[string]bool
}

func newObservations() *Observations {
	return &Observations{Starts: map[int][]time.Time{}, Ready: map[int][]time.Time{}, Garbled: map[string]bool{}, Foreign: map[string]bool{}, Endless: map[string]bool{}}
}

// endEngine records the end of an engine. The caller holds the lock.
func (f *Observations) endEngine(id string) {
	for _, e := range f.Engines {
		if e.Instance == id {
			e.Ended = time.Now()
		}
	}
}

// record calls add while holding the lock.
func (f *Observations) record(add func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add()
}
