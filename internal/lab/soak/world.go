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
	// partyCallers and partyAPI are the names of parties at the ends of links, besides the
	// processes and the places of instances.
	partyCallers = "callers"
	partyAPI     = "api"
	partyStore   = "store"
	// balancerInterval is how often the balancer asks whether a process is ready, and
	// balancerMisses after how many misses it takes it out.
	balancerInterval = time.Second
	balancerMisses   = 2
)

// world is everything around the processes, and the processes.
type world struct {
	o      Options
	subnet string
	facts  *Facts
	store  *fleetstore.Server
	api    *fleetapi.Server
	fronts []*fleetstore.Front
	places []*place
	gates  []*gateway

	ctx    context.Context
	cancel context.CancelFunc
	// pending counts what is still to come of the faults that were put in.
	pending atomic.Int64

	mu      sync.Mutex
	links   map[[2]string]*Link
	senders map[string]string // by the address from which a link connects
	in      []bool            // by number of process, what the balancer believes
	failure error
	servers []*http.Server
	events  *os.File
	// storeFault counts the faults of the store, so that one does not end a later one.
	storeFault int
}

func newWorld(ctx context.Context, o Options) (*world, error) {
	o.complete()
	pid := os.Getpid()
	w := &world{
		o: o, subnet: fmt.Sprintf("127.%d.%d", 220+pid%30, pid/30%250), facts: newFacts(), store: fleetstore.New(), api: fleetapi.New(),
		links: map[[2]string]*Link{}, senders: map[string]string{}, in: make([]bool, o.Processes),
	}
	events, err := os.Create(filepath.Join(o.Dir, "soak.log"))
	if err != nil {
		return nil, err
	}
	w.events = events
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.store.Observe(w.storeChanged)
	if o.Layout.grown() {
		w.store.SetEra(1) // its schedule has the store come back from older copies
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
		w.gates = append(w.gates, g)
		w.fronts = append(w.fronts, w.store.Front(g.name(), w.addressesFor(g)))
	}
	return w, nil
}

// later runs f after a time unless the run has ended.
func (w *world) later(d time.Duration, f func()) {
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

// event writes a line to the log of what was done from outside.
func (w *world) event(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("ts=%s msg=\"fault put in\" what=%q\n", time.Now().UTC().Format(time.RFC3339Nano), fmt.Sprintf(format, args...))
	if _, err := w.events.WriteString(line); err != nil && w.failure == nil {
		w.failure = fmt.Errorf("log of faults: %w", err)
	}
}

// fail notes a failure of the soak itself, the first one only. A nil error is none.
func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failure == nil {
		w.failure = err
	}
}

func (w *world) failed() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failure
}

// storeChanged notes who holds the duties.
func (w *world) storeChanged(c fleetstore.Change) {
	holder, token, ok := c.Lease()
	if !ok {
		return
	}
	w.facts.note(func() { w.facts.Leases = append(w.facts.Leases, Lease{holder, token, time.Now()}) })
}

// link returns the link between two parties, which is made when it is asked for first.
func (w *world) link(from, to, target string) *Link {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := [2]string{from, to}
	if l := w.links[key]; l != nil {
		return l
	}
	l, err := NewLink(from, to, target, func(local string) { w.connected(local, from) })
	if err != nil {
		if w.failure == nil {
			w.failure = fmt.Errorf("link from %s to %s: %w", from, to, err)
		}
		return &Link{Address: target}
	}
	w.links[key] = l
	return l
}

func (w *world) connected(local, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.senders[local] = from
}

// sender returns the party whose link connected from an address.
func (w *world) sender(address string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.senders[address]
}

// linksOf returns the links of a process.
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

// serve has a stand-in listen and returns its address.
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

// connect puts the store and the platform's API before each process.
func (w *world) connect() error {
	api, err := w.serve(http.HandlerFunc(w.serveAPI))
	if err != nil {
		return err
	}
	for _, g := range w.gates {
		address, err := w.serve(w.fronts[g.number])
		if err != nil {
			return err
		}
		w.link(g.name(), partyStore, address)
		w.link(g.name(), partyAPI, api)
		w.link(partyCallers, g.name(), g.address(portCallers))
	}
	return w.failed()
}

func (w *world) storeLink(g *gateway) *Link   { return w.link(g.name(), partyStore, "") }
func (w *world) apiLink(g *gateway) *Link     { return w.link(g.name(), partyAPI, "") }
func (w *world) callersLink(g *gateway) *Link { return w.link(partyCallers, g.name(), "") }

// serveAPI notes the calls that only the holder of the duties makes.
func (w *world) serveAPI(rw http.ResponseWriter, r *http.Request) {
	in, err := fleetapi.ReadCall(r)
	o := &Order{To: partyAPI, From: w.sender(r.RemoteAddr), Holder: in.Holder, Token: in.Token, At: in.At}
	if err != nil {
		w.event("the API got a call without authority: %s", err) // its token was never granted
	}
	w.facts.note(func() { w.facts.Orders = append(w.facts.Orders, o) })
	w.api.ServeHTTP(rw, r)
}

// addressesFor puts the links of a process in the place of the addresses that it learns from
// the store.
func (w *world) addressesFor(g *gateway) fleetstore.Addresses {
	return fleetstore.Addresses{
		Instance: func(address string) string { return w.instanceLink(g, address) },
		Member:   func(name, address string) string { return w.link(g.name(), name, address).Address },
	}
}

// instanceLink returns the address of the link of a process to an instance at an address.
func (w *world) instanceLink(g *gateway, address string) string {
	return w.link(g.name(), addressParty(address), address).Address
}

// addressParty is the name of whatever instance runs at an address.
func addressParty(address string) string { return partyInstances + "-" + address }

// broke notes that an instance breaks off all that it works on. The caller holds the lock of
// the facts.
func (w *world) broke(instance string) {
	for _, a := range w.facts.Arrivals {
		if a.Instance == instance && a.Ended.IsZero() {
			a.Broke = true
		}
	}
}

// balance asks every process whether it is ready until the run ends.
func (w *world) balance() {
	client := &http.Client{Timeout: balancerInterval / 2, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, g := range w.gates {
		go func() {
			misses := 0
			for w.ctx.Err() == nil {
				if misses++; ready(client, g) {
					misses = 0
				}
				w.mu.Lock()
				w.in[g.number] = misses == 0 || w.in[g.number] && misses < balancerMisses
				w.mu.Unlock()
				time.Sleep(balancerInterval)
			}
		}()
	}
}

func ready(client *http.Client, g *gateway) bool {
	resp, err := client.Get("http://" + g.address(portReadiness) + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// readyProcesses returns the numbers of those that get new connections.
func (w *world) readyProcesses() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []int
	for n, in := range w.in {
		if in {
			out = append(out, n)
		}
	}
	return out
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, g := range w.gates {
		g.kill()
	}
	for _, g := range w.gates {
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
	_ = w.events.Close() // every line has been written
}
