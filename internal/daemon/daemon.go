// Package daemon assembles the components of one rockdoor process and runs its
// lifecycle: start, join, serve, and a graceful shutdown.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/claims"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/confstore"
	"github.com/rockdoor/rockdoor/engine/httpcontrol"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/admin"
	"github.com/rockdoor/rockdoor/internal/attempt"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/connlimit"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/internal/controller"
	"github.com/rockdoor/rockdoor/internal/entry"
	"github.com/rockdoor/rockdoor/internal/httpserve"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/ratelimit"
	"github.com/rockdoor/rockdoor/internal/reach"
	"github.com/rockdoor/rockdoor/internal/resources"
	"github.com/rockdoor/rockdoor/internal/settings"
	"github.com/rockdoor/rockdoor/internal/suspects"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/mirror"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/objstore/httpapi"
	"github.com/rockdoor/rockdoor/orders"
	"github.com/rockdoor/rockdoor/quarantine"
	"github.com/rockdoor/rockdoor/routing"
	"github.com/rockdoor/rockdoor/statechart"
)

const (
	// mirrorPrefix is the key prefix of the objects that every process mirrors.
	mirrorPrefix = "state/"
	pollInterval = 50 * time.Millisecond
	// maxRelayBytes limits the memory that the relayed connections of peers may take.
	maxRelayBytes = 32 << 20
	// idleTimeout is how long a connection of a client may be idle.
	idleTimeout = time.Minute
	// firstCallTimeout is how long a connection of another process may take until its first call has arrived.
	firstCallTimeout  = 15 * time.Second
	unregisterTimeout = 2 * time.Second
	closeTimeout      = time.Second
	handOverTimeout   = 5 * time.Second
)

// Daemon is one rockdoor process.
type Daemon struct {
	set    *settings.Settings
	logger log.Logger
	reg    metrics.Registry
	self   members.Member
	chart  *statechart.Instance

	store       *objstore.Limited
	client      *httpapi.Client
	mirror      *mirror.Mirror
	refresher   *mirror.Refresher
	loader      *confstore.Loader
	loop        *control.Loop
	heartbeater *control.Heartbeater
	transport   *peer.Transport
	// relay relays connections of peers.
	relay *reach.Relay
	// quarantineSyncer shares reports on requests that crash their targets with the peers.
	quarantineSyncer *suspects.Syncer
	// rateLimitSyncer divides the rate limits of the targets among the processes.
	rateLimitSyncer *ratelimit.Syncer
	statusPoller    *control.StatusPoller
	tracker         *routing.Tracker
	entry           *entry.Server
	admin           *admin.Server
	manager         *controller.Manager
	claims          *claimService

	clientServer *http.Server
	adminServer  *http.Server
	// resources are the limits of the process, connections limits what clients and peers may take of them.
	resources   resources.Limits
	connections *connlimit.Limiter
}

// New returns a process. The caller must call Run.
func New(set *settings.Settings, logger log.Logger) *Daemon {
	d := &Daemon{
		set:     set,
		logger:  log.With(logger, "process", set.Name),
		reg:     metrics.NewRegistry(),
		chart:   charts.Process.Start(),
		mirror:  mirror.New(mirrorPrefix),
		tracker: &routing.Tracker{},
		self: members.Member{
			Name: set.Name, Incarnation: members.NewIncarnation(), Host: set.Host, Domain: set.Domain,
			Peer: set.Peer, Admin: set.Admin, Listen: set.Listen,
		},
	}
	d.resources = resources.Detect(set.MemoryMB, set.Descriptors)
	d.connections = connlimit.New(connlimit.Options{HeadMemory: d.resources.HeadMemory(), Limits: d.connectionLimits, Metrics: d.reg, Logger: d.logger})
	d.client = httpapi.New(set.Platform)
	d.store = objstore.NewLimited(d.client, objstore.Budget{
		CallsPerSecond: set.PlatformCalls.PerSecond, Burst: set.PlatformCalls.Burst, CallTimeout: set.PlatformCalls.Timeout.Std(),
	}, d.reg)
	d.buildControl()
	d.buildServers()
	return d
}

func (d *Daemon) buildControl() {
	d.refresher = mirror.NewRefresher(d.mirror, d.store, d.isWatcher, d.logger)
	d.transport = peer.NewTransport(&peerpb.Identity{Name: d.self.Name, Incarnation: d.self.Incarnation}, d, d.reg, d.logger)
	d.loader = confstore.NewLoader(
		func(ctx context.Context, digest string) ([]byte, error) {
			return d.heartbeater.ChunkFromPeers(ctx, digest)
		},
		confstore.StoreSource(d.store),
	)
	d.loop = control.New(control.Options{
		Self: d.self, Mirror: d.mirror, Loader: d.loader, Heartbeat: d.set.Control.Heartbeat.Std(),
		StaleAfter: d.set.Control.StaleAfter.Std(), Metrics: d.reg, Logger: d.logger,
	})
	d.heartbeater = control.NewHeartbeater(control.HeartbeaterOptions{
		Loop: d.loop, Mirror: d.mirror, Transport: d.transport, Tracker: d.tracker, StoreReachable: d.store.Reachable,
		Seeds: d.set.Seeds, Interval: d.set.Control.Heartbeat.Std(), Logger: d.logger,
	})
	engines := httpcontrol.New(nil)
	d.statusPoller = control.NewStatusPoller(d.loop, engines, d.set.Control.Report.Std())
	d.manager = controller.New(controller.Options{
		Store: d.store, Engines: engines, Sender: orders.GuardedSender{}, Snapshot: d.loop.Snapshot, Mirror: d.mirror,
		Tracker: d.tracker, Self: d.self, LeaseTTL: d.set.Control.LeaseTTL.Std(), StaleAfter: d.set.Control.StaleAfter.Std(),
		Logger: d.logger,
	})
}

func (d *Daemon) buildServers() {
	d.claims = d.newClaimService()
	table := quarantine.NewTable()
	table.SetTrialPermission(func() bool { return false }) // the processes take turns
	d.quarantineSyncer = suspects.New(suspects.Options{Run: d.self.Incarnation, Table: table, Transport: d.transport, Peers: d.syncPeers, Logger: d.logger})
	limits := ratelimit.NewTable(d.self.Name, d.reg, d.logger)
	d.rateLimitSyncer = ratelimit.NewSyncer(ratelimit.Options{Self: d.self.Name, Table: limits, Transport: d.transport, Deciders: d.deciders, Peers: d.syncPeers, Logger: d.logger})
	d.entry = entry.New(entry.Options{
		Sender: d.newSender(), Settings: d.set, Snapshot: d.loop.Snapshot, Tracker: d.tracker, Process: d.process(), Claims: d.claims, Quarantine: table, Limits: limits,
		Metrics: d.reg, Logger: d.logger,
	})
	d.admin = admin.New(admin.Options{
		Store: d.store, Loader: d.loader, Snapshot: d.loop.Snapshot, Refresh: d.refresh, Ready: d.ready,
		Self: d.self, Explain: d.entry.Explain, Pools: d.manager.Status, Watcher: d.isWatcher, OwnLoad: d.tracker.Load, Metrics: d.reg, Logger: d.logger,
	})
	d.clientServer = &http.Server{Handler: d.entry}
	d.adminServer = &http.Server{Handler: d.admin}
}

// newSender returns a sender that reaches targets through peers where this host does not reach them, and has this
// process relay the connections of its peers.
func (d *Daemon) newSender() *attempt.Sender {
	sender := attempt.NewSender(d.reg)
	client := sender.Client()
	client.SetLogger(d.logger)
	client.SetMaxIdle(d.resources.IdleDescriptors())
	paths := reach.NewDialer(reach.Options{
		Self: d.self.Name, Direct: client.Connect, Instance: d.targetAt, Peers: d.syncPeers, Transport: d.transport, OnSilent: client.InterruptSilent, Metrics: d.reg, Logger: d.logger,
	})
	client.SetPaths(paths)
	d.relay = reach.NewRelay(reach.RelayOptions{
		Dialer: paths, Address: d.targetAddress, Helpers: func(string) []members.Member { return nil },
		Stopping: func() bool { return d.chart.State() != charts.ProcessServing }, MaxBytes: min(maxRelayBytes, d.resources.Share(resources.RelayShare)), FreeIdle: d.transport.DrainIdleRelayed, Metrics: d.reg, Logger: d.logger,
	})
	d.transport.SetRelay(d.relay)
	return sender
}

// targetAt returns the name of the target at an address, empty if there is none.
func (d *Daemon) targetAt(address string) string {
	for _, t := range d.targets() {
		if t.Address == address {
			return t.Name
		}
	}
	return ""
}

// targetAddress returns the address of a target, empty if there is none.
func (d *Daemon) targetAddress(name, _ string) string {
	if t := d.targets()[name]; t != nil {
		return t.Address
	}
	return ""
}

func (d *Daemon) targets() map[string]*config.Target {
	if c := d.loop.Snapshot().Config; c != nil {
		return c.Targets
	}
	return nil
}

// connectionLimits returns the limits of the settings on clients.
func (d *Daemon) connectionLimits() connlimit.Limits {
	return connlimit.Limits{HeadBytes: d.set.Limits.HeaderBytes, HeadTimeout: d.set.Limits.HeaderTimeout.Std(), IdleTimeout: idleTimeout}
}

// maxSyncPeers is the maximum number of peers to which this process sends an update.
// These peers forward the update to others.
const maxSyncPeers = 16

// syncPeers returns live members other than this process: all of them in a small fleet, a random
// sample in a large one.
func (d *Daemon) syncPeers() []members.Member {
	var out []members.Member
	for _, m := range d.loop.Snapshot().Members {
		if m.Health.IsAlive() && !m.Self {
			out = append(out, m.Member)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out[:min(maxSyncPeers, len(out))]
}

// deciders returns all members, since each of them places its own requests.
func (d *Daemon) deciders() ratelimit.Deciders {
	var out ratelimit.Deciders
	for _, m := range d.loop.Snapshot().Members {
		out.All = append(out.All, m.Member)
		if m.Health.IsAlive() {
			out.Reachable = append(out.Reachable, m.Name)
		}
	}
	out.Processes = len(out.All)
	return out
}

// isWatcher reports whether this process is one of those that watch the store, given the
// members that it believes to be alive.
func (d *Daemon) isWatcher() bool {
	var alive []members.Member
	for _, m := range d.loop.Snapshot().Members {
		if m.Health.IsAlive() {
			alive = append(alive, m.Member)
		}
	}
	return members.IsWatcher(alive, d.self)
}

// HandlePeer implements peer.Handler.
func (d *Daemon) HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	if resp := d.heartbeater.HandleRequest(req); resp != nil {
		return resp
	}
	if resp := d.claims.handle(req); resp != nil {
		return resp
	}
	switch {
	case req.GetCrashes() != nil:
		return d.quarantineSyncer.HandlePeer(ctx, req)
	case req.GetRateLimits() != nil:
		return d.rateLimitSyncer.HandlePeer(ctx, req)
	}
	return &peerpb.Response{Error: "call is not known"}
}

// refresh updates the mirror after a write by this process.
func (d *Daemon) refresh(ctx context.Context) { _ = d.refresher.Refresh(ctx, 0) }

func (d *Daemon) ready() error {
	if s := d.chart.State(); s != charts.ProcessServing {
		return fault.New(fault.Unavailable, "process is "+string(s), "wait, or ask another process")
	}
	if !d.loop.Snapshot().Fresh() {
		return fault.New(fault.Unavailable, "process has no contact with the platform or enough peers", "check the network of this host")
	}
	return nil
}

// Run serves until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	d.limitResources()
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var g run.Group
	add := func(f func(context.Context) error) {
		g.Add(func() error { return f(background) }, func(error) { stopBackground() })
	}
	add(d.loop.Run)
	add(d.refresher.Run)
	add(d.heartbeater.Run)
	add(d.statusPoller.Run)
	add(d.claims.reconciler.Run)
	add(d.runMaintenance)
	add(d.quarantineSyncer.Run)
	add(d.rateLimitSyncer.Run)
	add(d.connections.Run)
	g.Add(func() error { return d.transport.Serve(listeners.peer) }, func(error) { listeners.peer.Close(); d.transport.Close() })
	g.Add(func() error { return httpserve.Serve(background, d.adminServer, listeners.admin) }, func(error) { stopBackground(); closeServer(d.adminServer) })
	g.Add(func() error { return httpserve.Serve(background, d.clientServer, listeners.clients) }, func(error) { stopBackground(); closeServer(d.clientServer) })
	g.Add(func() error { return d.runLifecycle(ctx, background) }, func(error) { stopBackground() })
	err = g.Run()
	d.entry.Close()
	d.client.Close()
	return err
}

func closeServer(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

// limitResources sets the limit on the memory of the Go runtime and logs what clients and peers may take at most.
func (d *Daemon) limitResources() {
	debug.SetMemoryLimit(d.resources.Share(resources.GoShare))
	peers, waiting := d.resources.PeerDescriptors()
	level.Info(d.logger).Log("msg", "connection limits", "memory_mb", d.resources.MemoryMB, "source", d.resources.MemorySource, "descriptors", d.resources.Descriptors,
		"clients", d.resources.ClientDescriptors(), "peers", peers, "peers_waiting", waiting, "operators", d.resources.OperatorDescriptors(), "head_bytes", d.resources.HeadMemory())
}

type listeners struct{ clients, admin, peer net.Listener }

// listen opens all listeners, or none.
func (d *Daemon) listen() (listeners, error) {
	out, err := d.listenUnlimited()
	if err != nil {
		return out, err
	}
	clients := d.connections.Listen("clients", out.clients, connlimit.Bounds{Descriptors: d.resources.ClientDescriptors(), PerRequest: 1})
	clients.Configure(d.clientServer)
	operators := d.connections.Listen("operators", out.admin, connlimit.Bounds{Descriptors: d.resources.OperatorDescriptors()})
	operators.Configure(d.adminServer)
	all, waiting := d.resources.PeerDescriptors()
	peers := d.connections.Listen("peers", out.peer, connlimit.Bounds{Descriptors: all, Waiting: waiting, FirstTimeout: firstCallTimeout})
	return listeners{clients: clients, admin: operators, peer: peers}, nil
}

func (d *Daemon) listenUnlimited() (listeners, error) {
	var out listeners
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{{d.set.Listen, &out.clients}, {d.set.Admin, &out.admin}, {d.set.Peer, &out.peer}} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			for _, o := range []net.Listener{out.clients, out.admin, out.peer} {
				if o != nil {
					o.Close()
				}
			}
			return out, fault.Wrap(err, fault.Invalid, "cannot listen on "+l.address, "check the addresses in the settings and that no other process uses them")
		}
		*l.to = opened
	}
	return out, nil
}

// runLifecycle joins the fleet, serves until ctx ends and shuts down. It returns when the
// process may exit.
func (d *Daemon) runLifecycle(ctx, background context.Context) error {
	if err := d.join(ctx); err != nil {
		d.finishRequests(background) // clients may use a process before it is ready
		d.fire(charts.StopAsked)
		return nil
	}
	d.fire(charts.Joined)
	d.heartbeater.SetPhase(background, peerpb.Phase_PHASE_SERVING)
	go d.stayRegistered(ctx)
	_ = d.manager.Run(ctx) // until ctx ends; releases its leases
	d.fire(charts.StopAsked)
	d.stop(background)
	return nil
}

func (d *Daemon) fire(e statechart.Event) {
	state, err := d.chart.Fire(e)
	if err != nil {
		level.Error(d.logger).Log("msg", "state chart", "err", err)
		return
	}
	level.Info(d.logger).Log("msg", "process", "state", state, "incarnation", d.self.Incarnation)
}

// join waits until this process has a fresh configuration, has tried to exchange
// heartbeats with every recipient, so that it learns of a newer configuration, and has
// tried to register. It does not wait for the platform to be reachable.
func (d *Daemon) join(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		if err := d.refresher.Refresh(ctx, 0); err != nil {
			level.Warn(d.logger).Log("msg", "cannot read the platform store at start", "err", err)
		}
		if err := members.Register(ctx, d.store, members.KeyPrefix, d.self); err != nil {
			level.Warn(d.logger).Log("msg", "not registered", "err", err)
		}
		d.refresh(ctx)
	}()
	tried := false
	for {
		s := d.loop.Snapshot()
		if tried && d.mirror.Revision() != mirror.NoRevision && s.Config != nil && d.heartbeater.ProbedAll() && s.Fresh() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-registered:
			tried, registered = true, nil
		case <-tick.C:
		}
	}
}

// stayRegistered registers this process again whenever the registration is missing or is
// not the one of this run, for instance after the platform was unreachable at start.
func (d *Daemon) stayRegistered(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	for {
		wait := d.set.Control.StaleAfter.Std() / 4
		if !d.isRegistered() {
			if err := members.Register(ctx, d.store, members.KeyPrefix, d.self); err != nil {
				level.Warn(d.logger).Log("msg", "not registered", "err", err)
				wait = retry.NextBackOff()
			} else {
				retry.Reset()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// handOverClaims waits, up to handOverTimeout, until other processes hold the claims that
// this process holds. They take over these claims because the heartbeats of this process
// announce its shutdown.
func (d *Daemon) handOverClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	// Serving counts this process too, which can no longer hold claims. With at most
	// Replicas members, no other member can replace it as a holder.
	for d.claims.store.HasShards() && d.loop.Snapshot().Serving > claims.Replicas {
		select {
		case <-ctx.Done():
			level.Warn(d.logger).Log("msg", "claims not handed over", "claims", d.claims.store.ClaimCount())
			return
		case <-tick.C:
		}
	}
}

func (d *Daemon) isRegistered() bool {
	for _, m := range members.Parse(d.mirror.List(members.KeyPrefix + d.self.Name)) {
		if m.Name == d.self.Name {
			return m.Incarnation == d.self.Incarnation
		}
	}
	return false
}

// finishRequests refuses new connections and waits for the requests in flight, also those that are relayed for peers. It ends
// those that have not ended after stopTimeout.
func (d *Daemon) finishRequests(background context.Context) {
	end := time.Now().Add(d.set.Limits.StopTimeout.Std())
	d.entry.Drain().Begin(end)
	d.transport.DrainRelayed()
	ctx, cancel := context.WithDeadline(background, end)
	defer cancel()
	if err := httpserve.Finish(ctx, d.clientServer, d.entry.Drain()); err != nil {
		level.Warn(d.logger).Log("msg", "requests were still in flight at the end of stopTimeout", "err", err)
	}
	if d.awaitRelayed(ctx); d.relay.Active() > 0 {
		level.Warn(d.logger).Log("msg", "requests of peers were still relayed at the end of stopTimeout", "requests", d.relay.Active())
	}
}

// awaitRelayed waits, until ctx ends, for the requests that are relayed for peers.
func (d *Daemon) awaitRelayed(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for d.relay.Active() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// stop shuts down: the process first reports that it is not ready, then refuses new
// connections, and then completes the in-flight requests.
func (d *Daemon) stop(background context.Context) {
	d.entry.Drain().Begin(time.Now().Add(d.set.Limits.StopGrace.Std() + d.set.Limits.StopTimeout.Std()))
	d.transport.DrainRelayed()
	d.heartbeater.SetPhase(background, peerpb.Phase_PHASE_LEAVING)
	time.Sleep(d.set.Limits.StopGrace.Std())
	d.handOverClaims(background)
	d.fire(charts.GraceOver)
	d.finishRequests(background)
	uctx, ucancel := context.WithTimeout(background, unregisterTimeout)
	defer ucancel()
	if err := members.Unregister(uctx, d.store, members.KeyPrefix, d.self); err != nil {
		level.Warn(d.logger).Log("msg", "registration not removed", "err", err)
	}
	d.fire(charts.AllFinished)
}
