// Package gatewayd wires the parts of one gateway process and runs its life:
// start, serve, reload, and a stop that cuts no request.
package gatewayd

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/cachescan"
	"github.com/rockdoor/rockdoor/internal/discovery"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/httpserve"
	"github.com/rockdoor/rockdoor/internal/loadshare"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/internal/ratelimit"
	"github.com/rockdoor/rockdoor/internal/rolekeeper"
	"github.com/rockdoor/rockdoor/internal/scheduler"
	"github.com/rockdoor/rockdoor/internal/settings"
	"github.com/rockdoor/rockdoor/internal/suspects"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/internal/usage"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/platform"
	"github.com/rockdoor/rockdoor/quarantine"
	"github.com/rockdoor/rockdoor/truetime"
)

const (
	// headerTimeout, headerBytes and idleTimeout bound connections of callers;
	// they are wider than any limit that an operator states, which callers keep.
	headerTimeout = 5 * time.Second
	headerBytes   = 64 << 10
	idleTimeout   = 2 * time.Minute
	// exitMargin is kept from the end of the grace period for ending the process.
	exitMargin = 500 * time.Millisecond
	// emptyTick and emptyTicks say for how long no request must have been in hand
	// before a process that stops ends: the time in which a request that was sent
	// before its connection was closed arrives.
	emptyTick  = 50 * time.Millisecond
	emptyTicks = 4
	// memoryShare is the part of the memory at which the collector works harder.
	memoryShare = 0.7
	// holdShare is the part of the memory that bodies of requests and answers may take.
	holdShare = 0.25
	// housekeeping is how often what is kept of instances that left is dropped.
	housekeeping = 5 * time.Second
	// listingCheck is how often a process looks whether it has become a scheduler, and
	// should know what the engines keep.
	listingCheck = 50 * time.Millisecond
	// apartMargin is added to the time between the orders of two holders, for the
	// way of an order to its engine.
	apartMargin = 500 * time.Millisecond
	// lapseMargin is kept from the time in which an instance that left must get
	// nothing new, for requests that are on their way.
	lapseMargin = 300 * time.Millisecond
)

// Daemon is one gateway process.
type Daemon struct {
	set *settings.Gateway
	// bounds are those of the settings that were read last.
	bounds atomic.Pointer[settings.Bounds]
	file   string
	logger log.Logger
	reg    metrics.Registry
	run    string
	// dropped returns how many log lines were dropped.
	dropped func() int64

	store     *platform.Store
	discovery *discovery.Discovery
	client    *upstream.Client
	placer    *placement.Placer
	transport *peer.Transport
	share     *loadshare.Syncer
	// suspects are requests under which instances have ended, told is what the processes tell
	// each other of them.
	suspects *quarantine.Table
	told     *suspects.Syncer
	// limits are the rates that instances limit themselves to, grants is how the processes share them.
	limits    *ratelimit.Table
	grants    *ratelimit.Syncer
	asker     *scheduler.Client
	scheduler *scheduler.Server
	authority *duty.Authority
	roles     *rolekeeper.Keeper
	// duties are done while this process has the authority. usage is nil where usage is not
	// reported.
	duties   []func(context.Context)
	usage    *usage.Sharer
	clock    *truetime.Clock
	gateway  *gateway.Server
	stopping atomic.Bool

	callers, readiness, operators *http.Server
}

// New builds a process that has to be run. file is where the settings came from,
// dropped returns how many log lines were dropped.
func New(set *settings.Gateway, file string, logger log.Logger, dropped func() int64) *Daemon {
	d := &Daemon{set: set, file: file, dropped: dropped, reg: metrics.NewRegistry(), run: members.NewIncarnation(), clock: truetime.New()}
	d.logger = log.With(logger, "process", set.Name)
	d.bounds.Store(&set.Bounds)
	d.store = platform.NewStore(set.Store).WithPageTimeout(discovery.StoreCallTimeout(set.Bounds.Apply.Std()))
	d.store.OnInvalidEra(func(text string) {
		level.Error(d.logger).Log("msg", "era of the store cannot be used, the one known before is taken", "text", text)
	})
	self := members.Member{
		Name: set.Name, Incarnation: members.NewIncarnation(), Host: set.Name, Domain: set.Domain,
		Peer: set.Peer, Admin: set.Metrics, Listen: set.Listen, Weight: set.Weight,
	}
	d.discovery = discovery.New(discovery.Options{
		Self: self, RunID: d.run, Relay: d, IsUnresponsive: func(name string) bool { return d.share.Unresponsive(name) }, OnUnregistered: func() { d.share.CheckRegistration() },
		OnStoreRestored: func() { d.share.RegisterAfterRestore() },
		Store:           d.store, Stale: d.store.WithStaleReads(),
		Prefixes: discovery.Prefixes{
			Config: platform.ConfigPrefix, Instances: platform.InstancePrefix, Rules: platform.RulesPrefix, Members: platform.MemberPrefix, Directory: platform.DirectoryPrefix,
		},
		DecodeConfig: platform.DecodeConfig, DecodeInstance: platform.DecodeInstance, RedactConfig: platform.RedactKeys, MaxConfigStaleness: set.Bounds.MaxProofAge(),
		ApplyLimit: set.Bounds.Apply.Std(), PropagationLimit: set.Bounds.Within(), SettleTime: set.Bounds.Settle.Std(), ExpiredRetention: set.Bounds.Drain.Std() - lapseMargin, Metrics: d.reg, Logger: d.logger,
	})
	d.client = upstream.New(d.reg)
	d.placer = placement.New(set.Domain, d.peerLoad, d.isChanging)
	d.suspects = quarantine.NewTable()
	d.limits = ratelimit.NewTable(self.Name, d.reg, d.logger)
	d.placer.SetLimiter(d.limits)
	d.buildShare(self)
	began := d.buildDuties(self)
	d.gateway = gateway.New(gateway.Options{
		View: d.discovery.View, Ready: d.discovery.Ready(), Protocol: platform.Protocol{}, Client: d.client, Scheduler: d.asker, Placer: d.placer, FailureDomain: set.Domain,
		MaxConfigStaleness: set.Bounds.MaxProofAge(),
		Budget: gateway.RetryBudgetConfig{
			Ratio: set.Bounds.RetryRatio, Slack: set.Bounds.RetrySlack, Window: set.Bounds.RetryWindow.Std(),
			Processes: func() int { return d.discovery.View().Processes },
		},
		Quarantine: d.suspects, RateLimits: d.limits, OnRunStart: began, Metrics: d.reg, Logger: d.logger,
	})
	d.buildServers()
	return d
}

// buildShare builds what works together with the other gateways.
func (d *Daemon) buildShare(self members.Member) {
	d.transport = peer.NewTransport(&peerpb.Identity{Name: self.Name, Incarnation: self.Incarnation}, d, d.reg, d.logger)
	d.authority = duty.New(duty.Options{
		Store: d.store, Prefix: platform.LeasePrefix, Self: self, TTL: d.set.Bounds.Lease.Std(), HandoverDelay: d.set.Bounds.Lease.Std() + apartMargin,
		View: d.discovery.View, LivePeers: func() []string { return d.share.Reachable() }, Logger: d.logger,
	})
	d.roles = rolekeeper.New(rolekeeper.Options{
		Authority: d.authority, Policy: d.set.RolePolicy, Engines: platform.NewEngineClient(d.client), Placer: d.placer, View: d.discovery.View,
		Metrics: d.reg, Logger: d.logger,
	})
	d.share = loadshare.New(loadshare.Options{
		Self: self, Store: d.store, Prefix: platform.MemberPrefix, Transport: d.transport, Placer: d.placer, RoleChanges: d.roles.Changing,
		Members: func() []members.Member { return d.mesh() }, Clock: d.clock, Logger: d.logger,
	})
	o := scheduler.Options{Self: self, View: d.discovery.View, Transport: d.transport, Placer: d.placer, Limits: d.limits, Quarantine: d.suspects, InstancePrefix: platform.InstancePrefix, HasContact: d.hears, PropagationLimit: d.set.Bounds.Within(), Clock: d.clock, Metrics: d.reg, Logger: d.logger}
	d.asker, d.scheduler = scheduler.NewClient(o), scheduler.NewServer(o, d.discovery.Feed())
	d.told = suspects.New(suspects.Options{Run: d.run, Table: d.suspects, Transport: d.transport, Peers: d.tellWhom, Logger: d.logger})
	d.grants = ratelimit.NewSyncer(ratelimit.Options{Self: self.Name, Table: d.limits, Transport: d.transport, Deciders: d.deciders, Peers: d.tellWhom, Logger: d.logger})
}

// hears reports whether another scheduler tells this one of its work.
func (d *Daemon) hears(name string) bool { return slices.Contains(d.share.Reachable(), name) }

// mesh returns the schedulers, none if this process is not one.
func (d *Daemon) mesh() []members.Member {
	if v := d.discovery.View(); v.Scheduling {
		return v.GossipPeers
	}
	return nil
}

// deciders returns the processes that decide where requests run.
func (d *Daemon) deciders() ratelimit.Deciders {
	v := d.discovery.View()
	return ratelimit.Deciders{All: v.GossipPeers, Reachable: d.share.Reachable(), Processes: v.Processes}
}

// toldSchedulers is how many schedulers a process that is none tells of what it sees of instances.
const toldSchedulers = 2

// tellWhom returns whom this process tells of what it sees of instances: the schedulers tell each
// other, and another process those that it asks first.
func (d *Daemon) tellWhom() []members.Member {
	others := d.asker.OtherSchedulers()
	if d.discovery.View().Scheduling {
		return others
	}
	return others[:min(toldSchedulers, len(others))]
}

// Follow implements discovery.Relay.
func (d *Daemon) Follow(ctx context.Context, after feed.Position) (discovery.RelayUpdate, error) {
	return d.asker.Follow(ctx, after)
}

// FetchFresher implements discovery.Relay.
func (d *Daemon) FetchFresher(ctx context.Context, age time.Duration) (discovery.RelayUpdate, error) {
	return d.asker.FetchFresher(ctx, age)
}

func (d *Daemon) isChanging(i *fleet.Instance) bool {
	return d.roles.IsChanging(i.ID) || d.share.IsChangingRole(i)
}

func (d *Daemon) peerLoad(instance string) placement.Load { return d.share.Load(instance) }

// HandlePeer implements peer.Handler.
func (d *Daemon) HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	switch {
	case req.GetLoads() != nil:
		return d.share.HandlePeer(ctx, req)
	case req.GetCrashes() != nil:
		return d.told.HandlePeer(ctx, req)
	case req.GetRateLimits() != nil:
		return d.grants.HandlePeer(ctx, req)
	case d.usage != nil && (req.GetUsage() != nil || req.GetUsageQuery() != nil):
		return d.usage.HandlePeer(ctx, req)
	}
	return d.scheduler.HandlePeer(ctx, req)
}

func (d *Daemon) buildServers() {
	d.callers = httpServer(d.gateway)
	ready := mux.NewRouter()
	ready.HandleFunc("/readyz", d.ready).Methods(http.MethodGet)
	d.readiness = httpServer(ready)
	operators := mux.NewRouter()
	operators.HandleFunc("/readyz", d.ready).Methods(http.MethodGet)
	operators.HandleFunc("/metrics", d.metrics).Methods(http.MethodGet)
	operators.HandleFunc("/status", d.status).Methods(http.MethodGet)
	operators.HandleFunc("/explain", d.explain).Methods(http.MethodGet)
	operators.HandleFunc("/quarantine", d.quarantine).Methods(http.MethodGet)
	operators.HandleFunc("/limits", d.rateLimits).Methods(http.MethodGet)
	operators.HandleFunc("/quarantine/{fingerprint}", d.clearQuarantine).Methods(http.MethodDelete)
	d.operators = httpServer(operators)
}

func httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes, IdleTimeout: idleTimeout,
		ErrorLog: stdlog.New(io.Discard, "", 0), // callers can provoke these lines at will; the metrics count
	}
}

// Run serves until ctx ends, then stops without cutting a request. Each value
// of reload makes the process read its settings again.
func (d *Daemon) Run(ctx context.Context, reload <-chan struct{}) error {
	level.Info(d.logger).Log("msg", "start", "run", d.run, "listen", d.set.Listen, "store", d.set.Store, "domain", d.set.Domain)
	d.limitMemory(d.set.MemoryMB)
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var g run.Group
	for _, s := range []struct {
		server  *http.Server
		address string
	}{{d.callers, d.set.Listen}, {d.readiness, d.set.Readiness}, {d.operators, d.set.Metrics}} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "cannot listen on "+s.address, "check the addresses in the settings and that no other process uses them")
		}
		g.Add(func() error { return httpserve.Serve(background, s.server, l) }, func(error) { stopBackground(); _ = s.server.Close() })
	}
	peers, err := net.Listen("tcp", d.set.Peer)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "cannot listen on "+d.set.Peer, "check the address peer in the settings")
	}
	g.Add(func() error { return d.transport.Serve(peers) }, func(error) { _ = peers.Close(); d.transport.Close() })
	g.Add(func() error { return d.told.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.grants.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.share.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.discovery.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.asker.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.scheduler.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.keepHouse(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.listCaches(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.doDuties(ctx, background) }, func(error) { stopBackground() })
	if d.usage != nil {
		g.Add(func() error { return d.usage.Run(background) }, func(error) { stopBackground() })
	}
	g.Add(func() error { return d.live(ctx, reload) }, func(error) { stopBackground() })
	err = g.Run()
	d.store.Close()
	level.Info(d.logger).Log("msg", "stop", "run", d.run, "in_hand", d.gateway.InFlight())
	return err
}

// live is the life of the process. It returns when the process may exit.
func (d *Daemon) live(ctx context.Context, reload <-chan struct{}) error {
	ready := d.discovery.Ready()
	for {
		select {
		case <-ctx.Done():
			d.stop()
			return nil
		case <-ready:
			ready = nil
			v := d.discovery.View()
			level.Info(d.logger).Log("msg", "ready", "config", v.Config.Version, "instances_known", v.InstancesKnown)
		case <-reload:
			d.reload()
		}
	}
}

// reload reads the settings again and applies the retry budget, the memory and the times of
// a stop at once. What else has changed takes effect at the next start. Settings that cannot
// be read leave the old ones in force.
func (d *Daemon) reload() {
	set, err := settings.LoadGateway(d.file)
	if err != nil {
		level.Error(d.logger).Log("msg", "settings not reloaded", "file", d.file, "err", err)
		return
	}
	d.bounds.Store(&set.Bounds)
	d.gateway.SetRetryBudget(set.Bounds.RetryRatio, set.Bounds.RetrySlack)
	d.limitMemory(set.MemoryMB)
	level.Info(d.logger).Log("msg", "reload", "changed", *set != *d.set, "at_next_start", set.AtNextStart(d.set))
}

func (d *Daemon) limitMemory(mb float64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb * memoryShare * (1 << 20)))
		d.gateway.SetBufferLimit(int64(mb * holdShare * (1 << 20)))
	}
}

// stop ends the service: not ready first, then no new connections, then all
// requests in hand are finished.
func (d *Daemon) stop() {
	begun := time.Now()
	d.stopping.Store(true)
	d.gateway.DisableKeepAlives()
	level.Info(d.logger).Log("msg", "stopping", "in_hand", d.gateway.InFlight())
	time.Sleep(d.bounds.Load().Notice.Std())
	go d.leave()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(d.bounds.Load().Grace.Std()-exitMargin))
	defer cancel()
	go func() { _ = d.callers.Shutdown(ctx) }() // the requests in hand are what is waited for
	empty := d.emptied(ctx)
	if d.usage != nil {
		d.usage.Share(ctx) // what has been counted must not go with this process
	}
	if !empty {
		level.Warn(d.logger).Log("msg", "requests were still in hand at the end of the grace period", "in_hand", d.gateway.InFlight())
	}
}

// emptied waits until no request has been in hand for a moment. Connections that
// carry none are not waited for: callers may keep them open unused for seconds.
func (d *Daemon) emptied(ctx context.Context) bool {
	tick := time.NewTicker(emptyTick)
	defer tick.Stop()
	for empty := 0; empty < emptyTicks; {
		select {
		case <-ctx.Done():
			return d.gateway.InFlight() == 0
		case <-tick.C:
		}
		if empty++; d.gateway.InFlight() > 0 {
			empty = 0
		}
	}
	return true
}

// leave removes the registration, within the time that a stop has anyway.
func (d *Daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), d.bounds.Load().Notice.Std())
	defer cancel()
	d.share.Leave(ctx)
}

// listCaches asks the engines what they keep each time this process becomes a scheduler.
func (d *Daemon) listCaches(ctx context.Context) error {
	scheduling := false
	periodic.Run(ctx, listingCheck, func(ctx context.Context) {
		v := d.discovery.View()
		was := scheduling
		if scheduling = v.Ready() && v.Scheduling; scheduling && !was {
			cachescan.Run(ctx, cachescan.Options{View: d.discovery.View, Lister: platform.NewEngineClient(d.client), Placer: d.placer, Logger: d.logger})
		}
	})
	return nil
}

// keepHouse drops what is kept of instances that left.
func (d *Daemon) keepHouse(ctx context.Context) error {
	var before map[string]*fleet.Instance
	periodic.Run(ctx, housekeeping, func(context.Context) {
		v := d.discovery.View()
		d.placer.Retain(func(id string) bool { return v.Instances[id] != nil })
		runs := map[string]bool{}
		for _, i := range v.Instances {
			runs[i.RunID()] = true
		}
		d.gateway.RetainInstances(func(run string) bool { return runs[run] })
		for id, i := range before {
			if now := v.Instances[id]; now == nil || now.StartTime != i.StartTime {
				d.client.CloseIdle(i.Address)
			}
		}
		before = v.Instances
	})
	return nil
}
