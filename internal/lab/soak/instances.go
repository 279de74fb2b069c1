package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/internal/standin/lateresponse"
)

const (
	// streamEvents is the number of events of a stream, eventGap the time between two of them. A
	// stream must last long enough for faults to affect it.
	streamEvents = 16
	eventGap     = 50 * time.Millisecond
	// workTime is the time that a request takes before its response or first event.
	workTime = 15 * time.Millisecond
	// instanceSlots is the number of requests that an engine runs at a time. It is small, so that
	// engines fill up and change their stages.
	instanceSlots = 8
	// roleChangeTime is the time that an engine takes to change its stage.
	roleChangeTime = 300 * time.Millisecond
	// lateOrderDelay is the delay with which FaultLateOrders carries out an order that got no
	// response.
	lateOrderDelay = 2 * time.Second
	// softwareVersions is the number of versions of the engines' program. In one of oneVersionSeeds seeds there is
	// only one.
	softwareVersions = 2
	// maxVersions is the largest number of versions in a run.
	maxVersions     = 20
	oneVersionSeeds = 4
	// instancesHost is the last octet of the IP address of all instances, instancesPort the port of
	// the first one.
	instancesHost = 254
	// linksHost is the last octet of the IP address of all links. The address belongs to this run alone: on a shared one, the
	// port of a link that refuses connections could be taken by another run, which would then get its requests.
	linksHost     = 253
	instancesPort = 8000
)

// Services of the configuration. There are markServiceCount mark services. Configuration n routes
// the requests of kind Mark to markService(n), so that the service that gets one shows the version
// in force.
const (
	serviceApp       = "app"
	serviceModels    = "models"
	markServiceCount = 4
)

func markService(version int) string { return fmt.Sprintf("mark-%d", version%markServiceCount) }

// place is a Place of the layout and its current instance. A new instance takes over the address of
// the old one, as the platform reassigns the addresses of instances that ended.
type place struct {
	Place
	w       *world
	number  int
	address string

	mu      sync.Mutex
	current *fleetengine.Engine
	starts  int
	// draining is true if the current instance has announced that it drains, deregistered if its
	// registration was removed.
	draining, deregistered bool
	// lateShare is the share of responses that are followed by responses in excess.
	lateShare float64
	// version is the number of the version of the engines in seeds with releases.
	version int
	// server is nil while no instance is running. listener is closed separately, because just after
	// the start the server has not taken it over yet.
	server   *http.Server
	listener net.Listener
}

// softwareVersion returns the version of an instance's program. Each restart changes it, and neighbouring places
// differ, except in a share of the seeds, in which all instances have the same version.
func (w *world) softwareVersion(place, start int) string {
	if w.o.Seed%oneVersionSeeds == 0 {
		return versionName(0)
	}
	return versionName((place + start) % softwareVersions)
}

func versionName(n int) string { return fmt.Sprintf("v%d", n+1) }

func instanceID(place, start int) string { return fmt.Sprintf("i-%d-%d", place, start) }

func newPlace(w *world, number int, runs Place) (*place, error) {
	// A port assigned by the kernel could be taken by another connection while no instance is
	// listening.
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", w.subnet, instancesHost, instancesPort+number))
	if err != nil {
		return nil, err
	}
	p := &place{Place: runs, w: w, number: number, address: l.Addr().String()}
	p.start()
	p.serve(l)
	return p, nil
}

func (p *place) serve(l net.Listener) {
	s := &http.Server{Handler: p}
	lateresponse.Configure(s)
	p.mu.Lock()
	p.server, p.listener = s, l
	p.mu.Unlock()
	go func() { _ = s.Serve(lateresponse.Listener(l)) }() // ends when the place is closed
}

// start creates a new instance and registers it.
func (p *place) start() {
	p.mu.Lock()
	p.starts++
	e := fleetengine.New(instanceID(p.number, p.starts), p.Stage)
	e.ResponseDelay, e.RoleChange, e.OrderDelay = workTime, roleChangeTime, lateOrderDelay
	e.IdentifyRejections = p.w.identifiesRejections(p.number)
	if p.Service == serviceModels {
		e.Events, e.Gap = streamEvents, eventGap
		e.Software = p.software()
		p.poison(e)
		p.setGarble(e)
		p.setForeign(e)
		p.recordEngine(e)
	}
	e.OnEndless = func(id string) { p.w.observed.record(func() { p.w.observed.Endless[id] = true }) }
	e.OnStageChange = func(stage string) { p.register(e, stage) }
	p.current, p.draining, p.deregistered = e, false, false
	p.mu.Unlock()
	p.register(e, p.Stage)
	p.recordRegistration(e.ID)
}

// register writes the registration of an instance if it is still the current one.
func (p *place) register(e *fleetengine.Engine, stage string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != e || p.deregistered {
		return
	}
	p.w.store.Register(e.ID, fleetstore.Registration{
		Service: p.Service, Stage: stage, Address: p.address, Domain: p.Domain, Slots: instanceSlots, Software: e.Software, Draining: p.draining,
	})
}

// drain announces that the instance drains. It continues to serve requests.
func (p *place) drain() {
	p.mu.Lock()
	e := p.current
	p.draining = true
	p.mu.Unlock()
	p.register(e, e.Stage())
	p.recordWithdrawal(e.ID)
}

// remove deletes the registration. The instance continues to serve for a while, like instances that
// never announce that they drain.
func (p *place) remove() {
	p.mu.Lock()
	e := p.current
	p.deregistered = true
	p.w.store.Deregister(e.ID)
	p.mu.Unlock()
	p.recordWithdrawal(e.ID)
}

// recordEngine records the start of a decode engine.
func (p *place) recordEngine(e *fleetengine.Engine) {
	if p.isDecode() {
		p.w.observed.record(func() {
			p.w.observed.Engines = append(p.w.observed.Engines, &EngineRun{Instance: e.ID, Software: e.Software, Started: time.Now()})
		})
	}
}

func (p *place) recordWithdrawal(id string) {
	p.w.observed.record(func() { p.w.observed.Withdrawals = append(p.w.observed.Withdrawals, Withdrawal{id, time.Now()}) })
}

// crash aborts all connections and starts a new instance with another ID. The registration of the
// old one expires after the given time.
func (p *place) crash(expiry time.Duration) {
	if p.terminate(expiry) {
		p.startAt(p.address)
	}
}

// terminate ends the current instance. It returns false if none is running.
func (p *place) terminate(expiry time.Duration) bool {
	p.mu.Lock()
	old, server, listener := p.current, p.server, p.listener
	p.server = nil
	p.mu.Unlock()
	if server == nil {
		return false
	}
	p.w.observed.record(func() { p.w.observed.endEngine(old.ID); p.w.markAborted(old.ID) }) // before the in-flight requests end
	syscall.ForkLock.RLock()                                                                // a child between fork and exec would keep the port
	_ = listener.Close()                                                                    // the next instance listens here
	syscall.ForkLock.RUnlock()
	_ = server.Close() // aborts the open connections on purpose
	p.w.runAfter(expiry, func() {
		p.w.store.Deregister(old.ID)
		p.recordWithdrawal(old.ID)
	})
	return true
}

// startAt starts a new instance at an address.
func (p *place) startAt(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		p.w.recordFailure(fmt.Errorf("cannot listen at place %d: %w", p.number, err))
		return
	}
	p.mu.Lock()
	p.address = address
	p.mu.Unlock()
	p.start()
	p.serve(l)
}

// swapAddresses ends two instances and starts new ones, each at the address of the other, after the
// time for which the platform does not reassign addresses.
func (p *place) swapAddresses(other *place) {
	if p == other || !p.terminate(registrationExpiry) {
		return
	}
	if !other.terminate(registrationExpiry) {
		p.startAt(p.address)
		return
	}
	mine, its := p.address, other.address
	p.w.runAfter(addressReuseDelay, func() {
		p.startAt(its)
		other.startAt(mine)
	})
}

// currentInstance returns the instance that was started last.
func (p *place) currentInstance() *fleetengine.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

func (p *place) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		_ = p.server.Close() // at the end of a run
	}
}

// ServeHTTP implements http.Handler. It records each arrival and how it ends.
func (p *place) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := p.currentInstance()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request body was incomplete
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if fleetengine.IsOrder(r) {
		p.serveOrder(e, w, r, body)
		return
	}
	a := fleetengine.ParseArrival(r, body)
	if a.ID == "" {
		e.ServeHTTP(w, r) // not a client's request
		return
	}
	p.serveRequest(e, w, r, a)
}

func (p *place) serveOrder(e *fleetengine.Engine, w http.ResponseWriter, r *http.Request, body []byte) {
	in, err := fleetengine.ParseOrder(body)
	if err != nil {
		in.Holder = "unreadable"
	}
	o := &Order{To: e.ID, From: p.w.sender(r.RemoteAddr), Holder: in.Holder, Token: in.Token, At: time.Now()}
	p.w.observed.record(func() { p.w.observed.Orders = append(p.w.observed.Orders, o) })
	e.ServeHTTP(w, r)
}

func (p *place) serveRequest(e *fleetengine.Engine, w http.ResponseWriter, r *http.Request, in fleetengine.Arrival) {
	rec := &responseRecorder{ResponseWriter: w, status: http.StatusOK}
	a := &Arrival{Arrival: in, Instance: e.ID, Software: e.Software, Service: p.Service, At: time.Now()}
	p.w.observed.record(func() { p.w.observed.Arrivals = append(p.w.observed.Arrivals, a) })
	done := false
	defer func() {
		p.w.observed.record(func() {
			a.Ended, a.Status, a.Aborted = time.Now(), rec.status, a.Aborted || !done
			a.ResponseStart, a.RateLimited = rec.responseStart, fleetengine.StatesRateLimit(rec.Header())
			a.Ran = !a.PrefillOnly && !fleetengine.NotRun(rec.status, rec.Header())
		})
	}()
	e.ServeHTTP(rec, r)
	done = true
	p.followUp(r, in)
}

// responseRecorder records the status of a response and when it began.
type responseRecorder struct {
	http.ResponseWriter
	status int
	// responseStart is when the response began.
	responseStart time.Time
}

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.recordStart()
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(b []byte) (int, error) {
	r.recordStart()
	return r.ResponseWriter.Write(b)
}

func (r *responseRecorder) recordStart() {
	if r.responseStart.IsZero() {
		r.responseStart = time.Now()
	}
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
