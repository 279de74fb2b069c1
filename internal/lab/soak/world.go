package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetapi"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
)

const (
	// Names of link parties other than gateway processes and instances.
	partyClients = "callers"
	partyAPI     = "api"
	partyStore   = "store"
	// balancerInterval is the time between two readiness checks of a process by the balancer. After
	// balancerMisses failed checks in a row, the balancer takes the process out of rotation.
	balancerInterval = time.Second
	balancerMisses   = 2
)

// world is the environment of a run: the gateway processes, their clients' links, the stand-ins and
// the observations.
type world struct {
	// scheduleBegun is when the faults began, nil before.
	scheduleBegun atomic.Pointer[time.Time]
	// released is when versions changed last, nil before.
	released atomic.Pointer[time.Time]
	// outOfStep are the processes that were suspended or cut off last while a version joins, nil before.
	outOfStep     atomic.Pointer[[]int]
	o             Options
	subnet        string
	observed      *Observations
	store         *fleetstore.Server
	api           *fleetapi.Server
	storeHandlers []*fleetstore.ClientHandler
	places        []*place
	gateways      []*gateway

	ctx    context.Context
	cancel context.CancelFunc
	// pending counts the scheduled steps of injected faults that have not run yet.
	pending atomic.Int64

	mu         sync.Mutex
	links      map[[2]string]*Link
	senders    map[string]string // sending party by the local address of the link's connection
	inRotation []bool            // by process number: whether the balancer sends it new connections
	failure    error
	servers    []*http.Server
	eventLog   *os.File
	// storeFault counts the faults of the store, so that the end of one does not clear a later one.
	storeFault int
}

func newWorld(ctx context.Context, o Options) (*world, error) {
	o.setDefaults()
	pid := os.Getpid()
	w := &world{
		o: o, subnet: fmt.Sprintf("127.%d.%d", 220+pid%30, pid/30%250), observed: newObservations(), store: fleetstore.New(), api: fleetapi.New(),
		links: map[[2]string]*Link{}, senders: map[string]string{}, inRotation: make([]bool, o.Processes),
	}
	events, err := os.Create(filepath.Join(o.Dir, "soak.log"))
	if err != nil {
		return nil, err
	}
	w.eventLog = events
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.store.SetObserver(w.recordLease)
	if o.Layout.isCustom() {
		w.store.SetEra(1) // its schedule restores the store from older snapshots
	}
	for number, runs := range o.Layout.Places {
		p, err := newPlace(w, number, runs)
		if err != nil {
			return nil, err
		}
		w.places = append(w.places, p)
	}
	for n := range o.Processes {
		g := newGateway(w, n)
		w.gateways = append(w.gateways, g)
		w.storeHandlers = append(w.storeHandlers, w.store.HandlerFor(g.name(), w.linkAddresses(g)))
	}
	return w, nil
}

// runAfter runs f after a delay unless the run ends before.
func (w *world) runAfter(d time.Duration, f func()) {
	w.pending.Add(1)
	go func() {
		defer w.pending.Add(-1)
		select {
		case <-w.ctx.Done():
		case <-time.After(d):
			f()
		}
	}()
}

// logEvent writes a line to soak.log, the log of injected faults.
func (w *world) logEvent(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("ts=%s msg=\"fault injected\" what=%q\n", time.Now().UTC().Format(time.RFC3339Nano), fmt.Sprintf(format, args...))
	if _, err := w.eventLog.WriteString(line); err != nil && w.failure == nil {
		w.failure = fmt.Errorf("cannot write the log of faults: %w", err)
	}
}

// recordFailure records a failure of the soak itself. Only the first failure is kept; nil is
// ignored.
func (w *world) recordFailure(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failure == nil {
		w.failure = err
	}
}

func (w *world) recordedFailure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failure
}

// recordLease records a change of the duty holder.
func (w *world) recordLease(c fleetstore.Change) {
	holder, token, ok := c.Lease()
	if !ok {
		return
	}
	w.observed.record(func() { w.observed.Leases = append(w.observed.Leases, Lease{holder, token, time.Now()}) })
}

// link returns the link between two parties. The first call creates it, with the given target
// address.
func (w *world) link(from, to, target string) *Link {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := [2]string{from, to}
	if l := w.links[key]; l != nil {
		return l
	}
	l, err := NewLink(fmt.Sprintf("%s.%d", w.subnet, linksHost), from, to, target, func(local string) { w.recordSender(local, from) })
	if err != nil {
		if w.failure == nil {
			w.failure = fmt.Errorf("cannot create link from %s to %s: %w", from, to, err)
		}
		return &Link{Address: target}
	}
	w.links[key] = l
	return l
}

func (w *world) recordSender(local, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.senders[local] = from
}

// sender returns the party whose link connected from a local address.
func (w *world) sender(address string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.senders[address]
}

// linksOf returns all links that start or end at a process.
func (w *world) linksOf(g *gateway) []*Link {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*Link
	for key, l := range w.links {
		if slices.Contains(key[:], g.name()) {
			out = append(out, l)
		}
	}
	return out
}

// serve starts an HTTP server for a stand-in and returns its address.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go func() { _ = s.Serve(l) }() // ends when the world is closed
	return l.Addr().String(), nil
}

// createLinks connects each process with the store, the platform's API and the clients.
func (w *world) createLinks() error {
	api, err := w.serve(http.HandlerFunc(w.serveAPI))
	if err != nil {
		return err
	}
	for _, g := range w.gateways {
		address, err := w.serve(w.storeHandlers[g.number])
		if err != nil {
			return err
		}
		w.link(g.name(), partyStore, address)
		w.link(g.name(), partyAPI, api)
		w.link(partyClients, g.name(), g.address(portClients))
	}
	return w.recordedFailure()
}

func (w *world) storeLink(g *gateway) *Link  { return w.link(g.name(), partyStore, "") }
func (w *world) apiLink(g *gateway) *Link    { return w.link(g.name(), partyAPI, "") }
func (w *world) clientLink(g *gateway) *Link { return w.link(partyClients, g.name(), "") }

// serveAPI records the calls to the platform's API, which only the duty holder may make.
func (w *world) serveAPI(rw http.ResponseWriter, r *http.Request) {
	in, err := fleetapi.ReadCall(r)
	o := &Order{To: partyAPI, From: w.sender(r.RemoteAddr), Holder: in.Holder, Token: in.Token, At: in.At}
	if err != nil {
		w.logEvent("the API received a call without authority: %s", err) // its token was never granted
	}
	w.observed.record(func() { w.observed.Orders = append(w.observed.Orders, o) })
	w.api.ServeHTTP(rw, r)
}

// linkAddresses returns the functions that replace the addresses a process reads from the store by
// those of its links, so that all its traffic passes through them.
func (w *world) linkAddresses(g *gateway) fleetstore.Addresses {
	return fleetstore.Addresses{
		Instance: func(address string) string { return w.instanceLinkAddress(g, address) },
		Member:   func(name, address string) string { return w.link(g.name(), name, address).Address },
	}
}

// instanceLinkAddress returns the address of the process's link to the instance at an address.
func (w *world) instanceLinkAddress(g *gateway, address string) string {
	return w.link(g.name(), instanceParty(address), address).Address
}

// instanceParty returns the party name for whichever instance runs at an address.
func instanceParty(address string) string { return partyInstances + "-" + address }

// markAborted marks all unfinished arrivals at an instance as aborted by it. Callers hold the lock
// of the observations.
func (w *world) markAborted(instance string) {
	for _, a := range w.observed.Arrivals {
		if a.Instance == instance && a.Ended.IsZero() {
			a.Aborted = true
		}
	}
}

// runBalancer checks the readiness of every process until the run ends.
func (w *world) runBalancer() {
	client := &http.Client{Timeout: balancerInterval / 2, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, g := range w.gateways {
		go func() {
			misses, lastReady := 0, 0
			for w.ctx.Err() == nil {
				incarnation, _ := g.state()
				if misses++; isReady(client, g) {
					misses = 0
					if incarnation != lastReady {
						lastReady = incarnation
						w.observed.record(func() { w.observed.Ready[g.number] = append(w.observed.Ready[g.number], time.Now()) })
					}
				}
				w.mu.Lock()
				w.inRotation[g.number] = misses == 0 || w.inRotation[g.number] && misses < balancerMisses
				w.mu.Unlock()
				time.Sleep(balancerInterval)
			}
		}()
	}
}

func isReady(client *http.Client, g *gateway) bool {
	resp, err := client.Get("http://" + g.address(portReadiness) + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// readyProcesses returns the numbers of the processes that get new connections from the balancer.
func (w *world) readyProcesses() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []int
	for n, in := range w.inRotation {
		if in {
			out = append(out, n)
		}
	}
	return out
}

// close kills all processes and shuts down the links and stand-ins.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, g := range w.gateways {
		<-g.done()
	}
	w.cancel()
	w.mu.Lock()
	links, servers := w.links, w.servers
	w.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
	for _, s := range servers {
		_ = s.Close() // at the end of a run
	}
	for _, p := range w.places {
		p.close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.eventLog.Close() // every line has been written
}
