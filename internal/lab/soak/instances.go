package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
)

const (
	// streamEvents is how many events a stream has, eventGap the time between two: a stream
	// lasts long enough for faults to strike it.
	streamEvents = 16
	eventGap     = 50 * time.Millisecond
	// workTime is how long a request takes before its answer or first event.
	workTime = 15 * time.Millisecond
	// instanceSlots is small, so that engines fill up and change their stages.
	instanceSlots = 8
	// roleChange is how long a change of the stage takes.
	roleChange = 300 * time.Millisecond
	// lateOrder is how late an order that was not answered is carried out.
	lateOrder = 2 * time.Second
	// instancesHost is the last number of the IP of all instances, instancesPort the port of
	// the first one.
	instancesHost = 254
	instancesPort = 8000
)

// Services of the configuration. Those of marks follow each other with the versions.
const (
	serviceApp    = "app"
	serviceModels = "models"
	markServices  = 4
)

func markService(version int) string { return fmt.Sprintf("mark-%d", version%markServices) }

// place is an address at which one instance after the other runs, as the platform gives the
// addresses of those that ended to others.
type place struct {
	Place
	w       *world
	number  int
	address string

	mu     sync.Mutex
	now    *fleetengine.Engine
	starts int
	// draining and gone are of the instance that runs now: it has stated that it will leave, and
	// its registration was taken away.
	draining, gone bool
	// server is nil while nothing runs here. listener is closed by itself: the server does not
	// know it yet just after its start.
	server   *http.Server
	listener net.Listener
}

func instanceID(place, start int) string { return fmt.Sprintf("i-%d-%d", place, start) }

func newPlace(w *world, number int, runs Place) (*place, error) {
	// A port that the system gives out could be taken by a connection while nothing runs here.
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
	p.mu.Lock()
	p.server, p.listener = s, l
	p.mu.Unlock()
	go func() { _ = s.Serve(l) }() // ends when the place is closed
}

// start begins the life of a new instance.
func (p *place) start() {
	p.mu.Lock()
	p.starts++
	e := fleetengine.New(instanceID(p.number, p.starts), p.Stage)
	e.Work, e.RoleChange, e.OrderDelay = workTime, roleChange, lateOrder
	if p.Service == serviceModels {
		e.Events, e.Gap = streamEvents, eventGap
	}
	e.Changed = func(stage string) { p.write(e, stage) }
	p.now, p.draining, p.gone = e, false, false
	p.mu.Unlock()
	p.write(e, p.Stage)
}

// write writes the registration of an instance if it is still the one that runs here.
func (p *place) write(e *fleetengine.Engine, stage string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now != e || p.gone {
		return
	}
	p.w.store.Register(e.ID, fleetstore.Registration{
		Service: p.Service, Stage: stage, Address: p.address, Domain: p.Domain, Slots: instanceSlots, Draining: p.draining,
	})
}

// drain states that the instance will leave. It goes on serving.
func (p *place) drain() {
	p.mu.Lock()
	e := p.now
	p.draining = true
	p.mu.Unlock()
	p.write(e, e.Stage())
	p.left(e.ID)
}

// remove takes the registration away. The instance goes on serving for a while, as
// instances do that never state that they drain.
func (p *place) remove() {
	p.mu.Lock()
	e := p.now
	p.gone = true
	p.w.store.Deregister(e.ID)
	p.mu.Unlock()
	p.left(e.ID)
}

func (p *place) left(id string) {
	p.w.facts.note(func() { p.w.facts.Leavings = append(p.w.facts.Leavings, Leaving{id, time.Now()}) })
}

// crash breaks all connections off, and has a new instance begin under another id. The
// registration of the old one lapses later.
func (p *place) crash(lapse time.Duration) {
	if p.down(lapse) {
		p.up(p.address)
	}
}

// down ends the instance. It reports false if none runs here.
func (p *place) down(lapse time.Duration) bool {
	p.mu.Lock()
	old, server, listener := p.now, p.server, p.listener
	p.server = nil
	p.mu.Unlock()
	if server == nil {
		return false
	}
	p.w.facts.note(func() { p.w.broke(old.ID) }) // before the requests in hand end
	_ = listener.Close()                         // the next instance listens here
	_ = server.Close()                           // what it breaks off is meant
	p.w.later(lapse, func() {
		p.w.store.Deregister(old.ID)
		p.left(old.ID)
	})
	return true
}

// up begins a new instance at an address.
func (p *place) up(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		p.w.fail(fmt.Errorf("place %d cannot listen: %w", p.number, err))
		return
	}
	p.mu.Lock()
	p.address = address
	p.mu.Unlock()
	p.start()
	p.serve(l)
}

// exchange ends two instances and begins new ones, each at the address of the other, after
// the time for which the platform gives addresses to nobody.
func (p *place) exchange(other *place) {
	if p == other || !p.down(lapseTime) {
		return
	}
	if !other.down(lapseTime) {
		p.up(p.address)
		return
	}
	mine, its := p.address, other.address
	p.w.later(reuseAfter, func() {
		p.up(its)
		other.up(mine)
	})
}

// instance returns the one that runs here.
func (p *place) instance() *fleetengine.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

func (p *place) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		_ = p.server.Close() // at the end of a run
	}
}

// ServeHTTP implements http.Handler. It notes what arrives and how it ends.
func (p *place) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := p.instance()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request did not arrive whole
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if fleetengine.IsOrder(r) {
		p.order(e, w, r, body)
		return
	}
	a := fleetengine.ReadArrival(r, body)
	if a.ID == "" {
		e.ServeHTTP(w, r) // no caller's request
		return
	}
	p.request(e, w, r, a)
}

func (p *place) order(e *fleetengine.Engine, w http.ResponseWriter, r *http.Request, body []byte) {
	in, err := fleetengine.ReadOrder(body)
	if err != nil {
		in.Holder = "unreadable"
	}
	o := &Order{To: e.ID, From: p.w.sender(r.RemoteAddr), Holder: in.Holder, Token: in.Token, At: time.Now()}
	p.w.facts.note(func() { p.w.facts.Orders = append(p.w.facts.Orders, o) })
	e.ServeHTTP(w, r)
}

func (p *place) request(e *fleetengine.Engine, w http.ResponseWriter, r *http.Request, in fleetengine.Arrival) {
	rec := &recorder{ResponseWriter: w, status: http.StatusOK}
	a := &Arrival{Arrival: in, Instance: e.ID, Service: p.Service, At: time.Now()}
	p.w.facts.note(func() { p.w.facts.Arrivals = append(p.w.facts.Arrivals, a) })
	done := false
	defer func() {
		p.w.facts.note(func() {
			a.Ended, a.Status, a.Broke = time.Now(), rec.status, a.Broke || !done
			a.Headed, a.Limited = rec.headed, fleetengine.NamesLimit(rec.Header())
			a.Ran = !a.Read && !fleetengine.NotRun(rec.status, rec.Header())
		})
	}()
	e.ServeHTTP(rec, r)
	done = true
}

// recorder notes the status of an answer, and when it began.
type recorder struct {
	http.ResponseWriter
	status int
	// headed is when the answer began.
	headed time.Time
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.begin()
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) {
	r.begin()
	return r.ResponseWriter.Write(b)
}

func (r *recorder) begin() {
	if r.headed.IsZero() {
		r.headed = time.Now()
	}
}

// Unwrap lets http.ResponseController find what the server offers.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
