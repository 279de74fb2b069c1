// Package gatewayd assembles the components of one gateway process and runs it: startup, serving,
// reloading of settings, and a shutdown that lets the requests in flight finish.
package gatewayd

import (
	"context"
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

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/cachescan"
	"github.com/rockdoor/rockdoor/internal/connlimit"
	"github.com/rockdoor/rockdoor/internal/discovery"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/httpserve"
	"github.com/rockdoor/rockdoor/internal/loadshare"
	"github.com/rockdoor/rockdoor/internal/overload"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/internal/profilesync"
	"github.com/rockdoor/rockdoor/internal/ratelimit"
	"github.com/rockdoor/rockdoor/internal/reach"
	"github.com/rockdoor/rockdoor/internal/resources"
	"github.com/rockdoor/rockdoor/internal/resumption"
	"github.com/rockdoor/rockdoor/internal/rolekeeper"
	"github.com/rockdoor/rockdoor/internal/scaler"
	"github.com/rockdoor/rockdoor/internal/scheduler"
	"github.com/rockdoor/rockdoor/internal/settings"
	"github.com/rockdoor/rockdoor/internal/sharesync"
	"github.com/rockdoor/rockdoor/internal/suspects"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/internal/usage"
	"github.com/rockdoor/rockdoor/internal/workrate"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/platform"
	"github.com/rockdoor/rockdoor/quarantine"
	"github.com/rockdoor/rockdoor/truetime"
)

const (
	// exitMargin is the end of the grace period that is reserved for the exit of the process.
	exitMargin = 500 * time.Millisecond
	// A process that is shutting down exits once requiredIdlePolls polls in a row, one each
	// idlePollInterval, have found no request in flight. This is enough time for the arrival of
	// a request that was sent before its connection was closed.
	idlePollInterval  = 50 * time.Millisecond
	requiredIdlePolls = 4
	// endPollInterval is how often a process that exits looks whether the last responses have been sent.
	endPollInterval = 10 * time.Millisecond
	// headMargin is the time that the head of a request may take on its way besides the time that its client has.
	headMargin = 2 * time.Second
	// firstCallTimeout is how long a connection of another process may take until its first call has arrived.
	firstCallTimeout = 15 * time.Second
	// maxDefaultBytes limits each of the memory of buffered bodies and of relayed connections if the settings name no memory
	// limit.
	maxDefaultBytes = 64 << 20
	// staleViews is the age, as a multiple of the time that changes take to arrive, from which registrations count
	// as out of date.
	staleViews = 2
	// namedHelpers is the number of processes that a scheduler names to a host that has lost its paths. With
	// eight, one that reaches the instances is among them even if half of the hosts have lost theirs.
	namedHelpers = 8
	// startupTime is how long after its start a process may be busy with its start alone.
	startupTime = 5 * time.Second
	// cleanupInterval is how often the state of removed instances is dropped.
	cleanupInterval = 5 * time.Second
	// schedulerCheckInterval is how often a process checks whether it has become a scheduler,
	// which needs to know what the engines have cached.
	schedulerCheckInterval = 50 * time.Millisecond
	// handoverMargin is added to the delay between the last order of a lease holder and the first
	// one of the next holder. It covers the time that an order takes to reach its engine.
	handoverMargin = 500 * time.Millisecond
	// expiryMargin is subtracted from the drain limit, the time after which a removed instance
	// must receive nothing new. It covers requests that are already on their way.
	expiryMargin = 300 * time.Millisecond
)

// Daemon is one gateway process.
type Daemon struct {
	settings *settings.Gateway
	// bounds are the bounds of the settings that were loaded last.
	bounds    atomic.Pointer[settings.Bounds]
	file      string
	logger    log.Logger
	reg       metrics.Registry
	runID     string
	logLosses LogLosses

	store     *platform.Store
	discovery *discovery.Discovery
	client    *upstream.Client
	// paths connects to instances, through other processes where this host reaches them no longer. relay serves
	// the connections of other processes.
	paths     *reach.Dialer
	relay     *reach.Relay
	placer    *placement.Placer
	transport *peer.Transport
	loadSync  *loadshare.Syncer
	// profiles is nil unless the settings enable profiles of engines.
	profiles *profilesync.Syncer
	// suspects are requests during whose runs instances have crashed. crashSync exchanges them
	// between the processes.
	suspects  *quarantine.Table
	crashSync *suspects.Syncer
	// crashKeeper keeps what is quarantined in the store.
	crashKeeper *suspects.Keeper
	// limits are the rate limits that instances announce. grantSync divides each rate among the
	// processes.
	limits    *ratelimit.Table
	grantSync *ratelimit.Syncer
	// shareSync exchanges the use of engine time by workspaces, nil if that is disabled.
	shareSync *sharesync.Syncer
	// streams knows which software versions began the streams of clients.
	streams         *resumption.Registry
	schedulerClient *scheduler.Client
	schedulerServer *scheduler.Server
	authority       *duty.Authority
	roles           *rolekeeper.Keeper
	// duties run while this process has the authority for them. usage is nil where usage is not
	// reported.
	duties []func(context.Context)
	usage  *usage.Syncer
	// workTable has the work of all schedulers, nil unless engines are ordered by demand. scaler is nil
	// where no engines are ordered.
	workTable *workrate.Table
	scaler    *scaler.Scaler
	clock     *truetime.Clock
	gateway   *gateway.Server
	// shedder sheds new connections of clients while this host has more than it can do.
	shedder  *overload.Shedder
	stopping atomic.Bool
	// resources are the limits of the process, connections limits what clients and peers may take of them.
	resources   resources.Limits
	connections *connlimit.Limiter

	clientServer, readinessServer, operatorServer *http.Server
}

// LogLosses tells how many log lines were dropped, and how many were cut since they were too long.
type LogLosses interface {
	Dropped() int64
	Cut() int64
}

// New returns a process that serves once Run is called. file is the path that the settings were
// loaded from, losses tells what the log has lost.
func New(set *settings.Gateway, file string, logger log.Logger, losses LogLosses) *Daemon {
	d := &Daemon{settings: set, file: file, logLosses: losses, reg: metrics.NewRegistry(), runID: members.NewIncarnation(), clock: truetime.New()}
	d.logger = log.With(logger, "process", set.Name)
	d.bounds.Store(&set.Bounds)
	d.store = platform.NewStore(set.Store).WithPageTimeout(discovery.StoreCallTimeout(set.Bounds.Apply.Std()))
	d.store.OnInvalidEra(func(text string) {
		level.Error(d.logger).Log("msg", "store returned an invalid era; keeping the last valid one", "text", text)
	})
	rejections := metrics.GetOrRegisterCounter("platform.objects_rejected", d.reg)
	d.store.OnRejection(func() { rejections.Inc(1) })
	d.store.OnReject(func(r platform.Reject) {
		level.Error(d.logger).Log("msg", "object in the store ignored: it cannot be decoded", "key", r.Key, "revision", r.Version, "reason", r.Reason)
	})
	self := members.Member{
		Name: set.Name, Incarnation: d.runID, Host: set.Name, Domain: set.Domain,
		Peer: set.Peer, Admin: set.Metrics, Listen: set.Listen, Weight: set.Weight,
	}
	d.discovery = discovery.New(discovery.Options{
		Self: self, RunID: d.runID, Relay: d, IsUnresponsive: func(name string) bool { return d.loadSync.Unresponsive(name) }, OnUnregistered: func() { d.loadSync.CheckRegistration() },
		OnStoreRestored: func() { d.loadSync.RegisterAfterRestore() },
		Store:           d.store, Stale: d.store.WithStaleReads(),
		Prefixes: discovery.Prefixes{
			Config: platform.ConfigPrefix, Instances: platform.InstancePrefix, Rules: platform.RulesPrefix, Members: platform.MemberPrefix, Directory: platform.DirectoryPrefix,
		},
		DecodeConfig: d.store.DecodeConfig, DecodeInstance: d.store.DecodeInstance, RedactConfig: platform.RedactKeys, MaxConfigStaleness: set.Bounds.MaxConfigStaleness(),
		ApplyLimit: set.Bounds.Apply.Std(), PropagationLimit: set.Bounds.PropagationLimit(), SettleTime: set.Bounds.Settle.Std(), ExpiredRetention: set.Bounds.Drain.Std() - expiryMargin, Metrics: d.reg, Logger: d.logger,
	})
	d.resources = resources.Detect(set.MemoryMB, set.Descriptors)
	d.connections = connlimit.New(connlimit.Options{HeadMemory: d.resources.HeadMemory(), Limits: d.connectionLimits, Metrics: d.reg, Logger: d.logger})
	d.client = upstream.New(d.reg)
	d.client.SetLogger(d.logger)
	d.client.SetMaxIdle(d.resources.IdleDescriptors())
	d.placer = placement.New(set.Domain, d.peerLoad, d.isChangingRole)
	d.suspects = quarantine.NewTable()
	d.suspects.SetTrialPermission(func() bool { _, ok := d.authority.Grant(); return ok }) // one trial in the fleet
	d.limits = ratelimit.NewTable(self.Name, d.reg, d.logger)
	d.placer.SetLimiter(d.limits)
	d.placer.SetSuspensionObserver(d.logSuspension)
	d.placer.SetFeatures(placement.Features{
		WholeRequests: set.Scheduling.WholeRequests == settings.Auto, EngineProfiles: set.Scheduling.EngineProfiles == settings.Auto, WorkspaceShares: set.Scheduling.WorkspaceShares == settings.Auto,
	})
	d.buildPeerServices(self)
	onRunStart := d.buildDuties(self)
	d.gateway = gateway.New(gateway.Options{
		View: d.discovery.View, Ready: d.discovery.Ready(), Protocol: platform.Protocol{}, Client: d.client, Scheduler: d.schedulerClient, Placer: d.placer, FailureDomain: set.Domain,
		MaxConfigStaleness: set.Bounds.MaxConfigStaleness(), AwaitConfirmation: d.discovery.AwaitConfirmation,
		Budget: gateway.RetryBudgetConfig{
			Ratio: set.Bounds.RetryRatio, Slack: set.Bounds.RetrySlack, Window: set.Bounds.RetryWindow.Std(),
			Processes: func() int { return d.discovery.View().Processes },
		},
		Quarantine: d.suspects, RateLimits: d.limits, GiveUpHungAttempts: set.Scheduling.HungAttempts == settings.Auto, Streams: d.streams, OnRunStart: onRunStart, Metrics: d.reg, Logger: d.logger,
	})
	started := bootclock.Now()
	d.shedder = overload.New(overload.Options{
		MayShed: func() bool { return bootclock.Since(started) > startupTime && d.discovery.View().Processes > 1 }, Metrics: d.reg, Logger: d.logger,
	})
	d.buildServers()
	return d
}

// buildPeerServices builds the components that communicate with the other gateways.
func (d *Daemon) buildPeerServices(self members.Member) {
	d.transport = peer.NewTransport(&peerpb.Identity{Name: self.Name, Incarnation: self.Incarnation}, d, d.reg, d.logger)
	d.buildPaths(self)
	d.authority = duty.New(duty.Options{
		Store: d.store, Prefix: platform.LeasePrefix, Self: self, TTL: d.settings.Bounds.Lease.Std(), HandoverDelay: d.settings.Bounds.Lease.Std() + handoverMargin,
		View: d.discovery.View, LivePeers: func() []string { return d.loadSync.Reachable() }, Logger: d.logger,
	})
	d.roles = rolekeeper.New(rolekeeper.Options{
		Authority: d.authority, Policy: d.settings.RolePolicy, Engines: platform.NewEngineClient(d.client), Placer: d.placer, View: d.discovery.View,
		Metrics: d.reg, Logger: d.logger,
	})
	var extensions []loadshare.Extension
	if d.placer.LearnsProfiles() {
		d.profiles = profilesync.New(profilesync.Options{
			Placer: d.placer, Store: d.store, Prefix: platform.ProfilesPrefix, Writer: self.Incarnation, Authority: d.authority, View: d.discovery.View, Metrics: d.reg, Logger: d.logger,
		})
		d.placer.SetPeerProfiles(d.profiles.PeerProfile)
		extensions = append(extensions, d.profiles)
	}
	if d.settings.Scheduling.WorkspaceShares == settings.Auto {
		d.shareSync = sharesync.New(sharesync.Options{Placer: d.placer, View: d.discovery.View, Store: d.store.WithStaleReads(), Prefix: platform.SharesPrefix, Logger: d.logger})
		extensions = append(extensions, d.shareSync)
	}
	if d.settings.Scheduling.EngineOrders == settings.OrdersByDemand && d.settings.Duties.Has(platform.DutyCapacity) {
		d.workTable = workrate.New(self.Name, self.Incarnation, d.discovery.View, d.placer.WorkTotals)
		extensions = append(extensions, d.workTable)
	}
	d.loadSync = loadshare.New(loadshare.Options{
		Self: self, Store: d.store, Prefix: platform.MemberPrefix, Transport: d.transport, Placer: d.placer, RoleChanges: d.roles.Changing,
		Members: func() []members.Member { return d.gossipPeers() }, Extensions: extensions, Clock: d.clock, Logger: d.logger,
	})
	o := scheduler.Options{Self: self, View: d.discovery.View, Transport: d.transport, Placer: d.placer, Limits: d.limits, Quarantine: d.suspects, OnConfigOffer: d.discovery.ConfigOffered, InstancePrefix: platform.InstancePrefix, HasContact: d.hasContact, PropagationLimit: d.settings.Bounds.PropagationLimit(), Clock: d.clock, Metrics: d.reg, Logger: d.logger}
	d.schedulerClient, d.schedulerServer = scheduler.NewClient(o), scheduler.NewServer(o, d.discovery.Feed())
	d.streams = resumption.New(resumption.Options{
		View: d.discovery.View, Transport: d.transport, Peers: d.schedulerClient.OtherSchedulers, StaleAfter: staleViews * d.settings.Bounds.PropagationLimit(), DrainUse: d.settings.Bounds.Drain.Std() - expiryMargin, Store: d.streamStore(self), OnPublished: d.discovery.SetPublished, Metrics: d.reg, Logger: d.logger,
	})
	d.crashSync = suspects.New(suspects.Options{Run: d.runID, Table: d.suspects, Transport: d.transport, Peers: d.observationPeers, Logger: d.logger})
	d.crashKeeper = suspects.NewKeeper(suspects.KeeperOptions{
		Table: d.suspects, Store: d.store, Prefix: platform.QuarantinePrefix, Writer: self.Incarnation, Authority: d.authority, Clock: d.clock.Now, Logger: d.logger,
	})
	d.grantSync = ratelimit.NewSyncer(ratelimit.Options{Self: self.Name, Table: d.limits, Transport: d.transport, Deciders: d.deciders, Peers: d.observationPeers, Logger: d.logger})
}

// streamStore returns where the origins of streams are kept for the time after the loss of all processes.
func (d *Daemon) streamStore(self members.Member) *resumption.StoreOptions {
	return &resumption.StoreOptions{Store: d.store, Stale: d.store.WithStaleReads(), Prefix: platform.StreamsPrefix, Process: self.Name, Writer: self.Incarnation, Clock: d.clock.Now}
}

// buildPaths builds the components that connect to instances and relay connections.
func (d *Daemon) buildPaths(self members.Member) {
	d.paths = reach.NewDialer(reach.Options{Self: self.Name, Direct: d.client.Connect, Instance: func(address string) string { return d.discovery.View().InstanceAt(address) }, Peers: d.relayPeers, Transport: d.transport, OnSilent: d.client.InterruptSilent, Metrics: d.reg, Logger: d.logger})
	d.client.SetPaths(d.paths)
	d.relay = reach.NewRelay(reach.RelayOptions{
		Dialer: d.paths, Address: func(id, address string) string { return d.discovery.View().AddressOf(id, address) }, Stopping: d.stopping.Load,
		Helpers:  func(except string) []members.Member { return d.schedulerServer.RelayingFollowers(namedHelpers, except) },
		MaxBytes: d.relayBytes(), FreeIdle: d.transport.DrainIdleRelayed, Metrics: d.reg, Logger: d.logger,
	})
	d.transport.SetRelay(d.relay)
}

// relayBytes returns the memory in bytes that relayed connections may take.
func (d *Daemon) relayBytes() int64 {
	return memoryShare(d.resources, resources.RelayShare, d.settings.MemoryMB)
}

// relayPeers returns the processes that may relay connections to instances: those that every process knows.
func (d *Daemon) relayPeers() []members.Member {
	v := d.discovery.View()
	out := slices.Clone(v.Schedulers)
	for _, m := range v.GossipPeers {
		if !members.Contains(out, m.Name) {
			out = append(out, m)
		}
	}
	return out
}

// hasContact reports whether this process receives the loads of the scheduler with the given name.
func (d *Daemon) hasContact(name string) bool { return slices.Contains(d.loadSync.Reachable(), name) }

// gossipPeers returns the schedulers that this process exchanges loads with, none if it is not a
// scheduler itself.
func (d *Daemon) gossipPeers() []members.Member {
	if v := d.discovery.View(); v.Scheduling {
		return v.GossipPeers
	}
	return nil
}

// deciders returns the processes that choose the instances for requests.
func (d *Daemon) deciders() ratelimit.Deciders {
	v := d.discovery.View()
	return ratelimit.Deciders{All: v.GossipPeers, Reachable: d.loadSync.Reachable(), Processes: v.Processes}
}

// maxNotifiedSchedulers is the number of schedulers that receive the observations of a process that is
// not a scheduler itself.
const maxNotifiedSchedulers = 2

// observationPeers returns the processes that receive what this one observes of instances, such as
// crashes and rate limits. A scheduler sends its observations to all other schedulers, another
// process to the first schedulers in its order of preference.
func (d *Daemon) observationPeers() []members.Member {
	others := d.schedulerClient.OtherSchedulers()
	if d.discovery.View().Scheduling {
		return others
	}
	return others[:min(maxNotifiedSchedulers, len(others))]
}

// Follow implements discovery.Relay.
func (d *Daemon) Follow(ctx context.Context, after feed.Position) (discovery.RelayUpdate, error) {
	return d.schedulerClient.Follow(ctx, after)
}

// FetchFresher implements discovery.Relay.
func (d *Daemon) FetchFresher(ctx context.Context, age time.Duration) (discovery.RelayUpdate, error) {
	return d.schedulerClient.FetchFresher(ctx, age)
}

// FetchConfig implements discovery.Relay.
func (d *Daemon) FetchConfig(ctx context.Context, known discovery.ConfigVersions, n int, received func(discovery.ConfigUpdate)) {
	d.schedulerClient.FetchConfig(ctx, known, n, received)
}

// FetchConfigFrom implements discovery.Relay.
func (d *Daemon) FetchConfigFrom(ctx context.Context, from members.Member, known discovery.ConfigVersions) (discovery.ConfigUpdate, error) {
	return d.schedulerClient.FetchConfigFrom(ctx, from, known)
}

// OfferConfig implements discovery.Relay.
func (d *Daemon) OfferConfig(ctx context.Context) { d.schedulerClient.OfferConfig(ctx) }

func (d *Daemon) isChangingRole(i *fleet.Instance) bool {
	return d.roles.IsChanging(i.ID) || d.loadSync.IsChangingRole(i)
}

func (d *Daemon) peerLoad(instance string) placement.Load { return d.loadSync.Load(instance) }

// HandlePeer implements peer.Handler.
func (d *Daemon) HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	switch {
	case req.GetLoads() != nil:
		return d.loadSync.HandlePeer(ctx, req)
	case req.GetStreamOrigins() != nil, req.GetStreamQuery() != nil:
		return d.streams.HandlePeer(ctx, req)
	case req.GetCrashes() != nil:
		return d.crashSync.HandlePeer(ctx, req)
	case req.GetRateLimits() != nil:
		return d.grantSync.HandlePeer(ctx, req)
	case d.usage != nil && (req.GetUsage() != nil || req.GetUsageQuery() != nil):
		return d.usage.HandlePeer(ctx, req)
	}
	return d.schedulerServer.HandlePeer(ctx, req)
}

func (d *Daemon) buildServers() {
	d.clientServer = &http.Server{Handler: d.gateway}
	ready := mux.NewRouter()
	ready.HandleFunc("/readyz", d.ready).Methods(http.MethodGet)
	d.readinessServer = &http.Server{Handler: ready}
	operators := mux.NewRouter()
	operators.HandleFunc("/readyz", d.ready).Methods(http.MethodGet)
	operators.HandleFunc("/metrics", d.metrics).Methods(http.MethodGet)
	operators.HandleFunc("/status", d.status).Methods(http.MethodGet)
	operators.HandleFunc("/explain", d.explain).Methods(http.MethodGet)
	operators.HandleFunc("/quarantine", d.quarantine).Methods(http.MethodGet)
	operators.HandleFunc("/profiles", d.engineProfiles).Methods(http.MethodGet)
	operators.HandleFunc("/limits", d.rateLimits).Methods(http.MethodGet)
	operators.HandleFunc("/shares", d.shares).Methods(http.MethodGet)
	operators.HandleFunc("/capacity", d.capacity).Methods(http.MethodGet)
	operators.HandleFunc("/quarantine/{fingerprint}", d.clearQuarantine).Methods(http.MethodDelete)
	d.operatorServer = &http.Server{Handler: operators}
}

// connectionLimits returns the limits on clients that the configuration sets. The times are extended, so that a client that
// keeps the published ones never reaches them.
func (d *Daemon) connectionLimits() connlimit.Limits {
	c := d.discovery.View().Config
	if c == nil {
		return connlimit.Limits{}
	}
	return connlimit.Limits{
		HeadBytes: c.Limits.HeaderBytes, HeadTimeout: max(c.Limits.HeaderTimeout+headMargin, connlimit.DefaultHeadTimeout), IdleTimeout: max(c.Limits.IdleTimeout, connlimit.DefaultIdleTimeout),
	}
}

// Run serves until ctx ends, then shuts down and lets the requests in flight finish. Each value
// received from reload makes the process load its settings again.
func (d *Daemon) Run(ctx context.Context, reload <-chan struct{}) error {
	level.Info(d.logger).Log("msg", "start", "run", d.runID, "listen", d.settings.Listen, "store", d.settings.Store, "domain", d.settings.Domain)
	d.limitMemory(d.settings.MemoryMB)
	d.logConnectionLimits()
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var g run.Group
	for _, s := range []struct {
		name    string
		server  *http.Server
		address string
		bounds  connlimit.Bounds
	}{
		{"clients", d.clientServer, d.settings.Listen, connlimit.Bounds{Descriptors: d.resources.ClientDescriptors(), PerRequest: 1}},
		{"readiness", d.readinessServer, d.settings.Readiness, connlimit.Bounds{Descriptors: d.resources.OperatorDescriptors()}},
		{"operators", d.operatorServer, d.settings.Metrics, connlimit.Bounds{Descriptors: d.resources.OperatorDescriptors()}},
	} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "cannot listen on "+s.address, "check the addresses in the settings and that no other process uses them")
		}
		if s.server == d.clientServer {
			l = d.shedder.Listener(l)
		}
		limited := d.connections.Listen(s.name, l, s.bounds)
		limited.Configure(s.server)
		g.Add(func() error { return httpserve.Serve(background, s.server, limited) }, func(error) { stopBackground(); _ = s.server.Close() })
	}
	peers, err := net.Listen("tcp", d.settings.Peer)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "cannot listen on "+d.settings.Peer, "check the address peer in the settings")
	}
	all, waiting := d.resources.PeerDescriptors()
	limitedPeers := d.connections.Listen("peers", peers, connlimit.Bounds{Descriptors: all, Waiting: waiting, FirstTimeout: firstCallTimeout})
	g.Add(func() error { return d.transport.Serve(limitedPeers) }, func(error) { _ = peers.Close(); d.transport.Close() })
	g.Add(func() error { return d.connections.Run(background) }, func(error) { stopBackground() })
	go d.crashKeeper.Load(background, func() bool { v := d.discovery.View(); return v.Ready() && v.Scheduling })
	g.Add(func() error { return d.crashSync.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.streams.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.shedder.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.grantSync.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.loadSync.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.discovery.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.schedulerClient.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.schedulerServer.Run(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.cleanUp(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.rebuildCacheLists(background) }, func(error) { stopBackground() })
	g.Add(func() error { return d.runDuties(ctx, background) }, func(error) { stopBackground() })
	if d.profiles != nil {
		g.Add(func() error { return d.profiles.Run(background) }, func(error) { stopBackground() })
	}
	if d.shareSync != nil {
		g.Add(func() error { return d.shareSync.Run(background) }, func(error) { stopBackground() })
	}
	if d.usage != nil {
		g.Add(func() error { return d.usage.Run(background) }, func(error) { stopBackground() })
	}
	g.Add(func() error { return d.serveUntilStopped(ctx, reload) }, func(error) { stopBackground() })
	err = g.Run()
	d.store.Close()
	level.Info(d.logger).Log("msg", "stop", "run", d.runID, "in_hand", d.gateway.InFlight())
	return err
}

// serveUntilStopped handles reloads until ctx ends, then shuts the process down. It returns when the
// process may exit.
func (d *Daemon) serveUntilStopped(ctx context.Context, reload <-chan struct{}) error {
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

// reload loads the settings again and applies the retry budget, the memory limit and the shutdown
// times at once. Other changes take effect at the next start. If the settings cannot be loaded,
// the old ones stay in force.
func (d *Daemon) reload() {
	set, err := settings.LoadGateway(d.file)
	if err != nil {
		level.Error(d.logger).Log("msg", "settings not reloaded", "file", d.file, "err", err)
		return
	}
	d.bounds.Store(&set.Bounds)
	d.gateway.SetRetryBudget(set.Bounds.RetryRatio, set.Bounds.RetrySlack)
	d.limitMemory(set.MemoryMB)
	level.Info(d.logger).Log("msg", "reload", "changed", *set != *d.settings, "at_next_start", set.NeedsRestart(d.settings))
}

// limitMemory applies the memory limit of the settings, in MB, or the default if it is 0.
func (d *Daemon) limitMemory(mb float64) {
	limits := resources.Detect(mb, 0)
	debug.SetMemoryLimit(limits.Share(resources.GoShare))
	buffers := memoryShare(limits, resources.BodyShare, mb)
	d.gateway.SetBufferLimit(buffers)
	level.Info(d.logger).Log("msg", "memory limits", "memory_mb", limits.MemoryMB, "source", limits.MemorySource, "buffer_bytes", buffers, "default", mb <= 0)
}

// logConnectionLimits logs what clients and peers may take at most.
func (d *Daemon) logConnectionLimits() {
	peers, waiting := d.resources.PeerDescriptors()
	level.Info(d.logger).Log("msg", "connection limits", "descriptors", d.resources.Descriptors, "clients", d.resources.ClientDescriptors(), "peers", peers, "peers_waiting", waiting,
		"operators", d.resources.OperatorDescriptors(), "head_bytes", d.resources.HeadMemory())
}

// memoryShare returns a share of the memory in bytes. It is limited by maxDefaultBytes if no limit is set.
func memoryShare(limits resources.Limits, share, settingMB float64) int64 {
	if settingMB <= 0 {
		return min(maxDefaultBytes, limits.Share(share))
	}
	return limits.Share(share)
}

// stop shuts the service down: it first reports not ready, then accepts no new connections, then
// waits for the requests in flight.
func (d *Daemon) stop() {
	end := time.Now().Add(d.bounds.Load().Grace.Std() - exitMargin)
	d.stopping.Store(true)
	d.gateway.BeginStop(end)
	d.transport.DrainRelayed()
	level.Info(d.logger).Log("msg", "stopping", "in_hand", d.gateway.InFlight(), "left", time.Until(end).Round(time.Millisecond))
	time.Sleep(d.bounds.Load().Notice.Std())
	d.transport.DrainRelayed() // connections that were set up while the stop began
	go d.deregister()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	go func() { _ = httpserve.Shutdown(ctx, d.clientServer) }() // the error is ignored: waitUntilIdle waits for the requests in flight
	if !d.waitUntilIdle(ctx) {
		level.Warn(d.logger).Log("msg", "requests were still in flight at the end of the grace period", "in_hand", d.gateway.InFlight())
	}
	d.gateway.EndRequests() // also rejects what arrives from now on
	if d.usage != nil {
		d.usage.Sync(ctx) // another process must hold the counts before this one exits
	}
	d.awaitResponses()
}

// awaitResponses waits until the responses of requests that have been ended have been sent.
func (d *Daemon) awaitResponses() {
	until := time.Now().Add(exitMargin / 2)
	for d.gateway.InFlight() > 0 && time.Now().Before(until) {
		time.Sleep(endPollInterval)
	}
	time.Sleep(endPollInterval) // a request is no longer in flight shortly before its response is sent
}

// waitUntilIdle waits until no request, also of a process for which this one relays, has been in flight for
// requiredIdlePolls polls in a row. It
// reports false if ctx ends first while requests are in flight. It does not wait for idle
// connections: clients may keep them open for seconds.
func (d *Daemon) waitUntilIdle(ctx context.Context) bool {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for idlePolls := 0; idlePolls < requiredIdlePolls; {
		select {
		case <-ctx.Done():
			return d.gateway.InFlight() == 0
		case <-tick.C:
		}
		if idlePolls++; d.gateway.InFlight()+d.relay.Active() > 0 {
			idlePolls = 0
		}
	}
	return true
}

// deregister removes the registration of this process. Its timeout is the notice period, so that it
// does not make the shutdown longer.
func (d *Daemon) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), d.bounds.Load().Notice.Std())
	defer cancel()
	d.loadSync.Leave(ctx)
}

// rebuildCacheLists asks the engines what they have cached each time this process becomes a
// scheduler.
func (d *Daemon) rebuildCacheLists(ctx context.Context) error {
	scheduling := false
	periodic.Run(ctx, schedulerCheckInterval, func(ctx context.Context) {
		v := d.discovery.View()
		was := scheduling
		if scheduling = v.Ready() && v.Scheduling; scheduling && !was {
			cachescan.Run(ctx, cachescan.Options{View: d.discovery.View, Lister: platform.NewEngineClient(d.client), Placer: d.placer, Logger: d.logger})
		}
	})
	return nil
}

// cleanUp drops the state that is kept for removed instances, and closes idle connections to them.
func (d *Daemon) cleanUp(ctx context.Context) error {
	var before map[string]*fleet.Instance
	periodic.Run(ctx, cleanupInterval, func(context.Context) {
		v := d.discovery.View()
		d.placer.Retain(func(id string) bool { return v.Instances[id] != nil })
		addresses := map[string]bool{}
		runs := map[string]bool{}
		for _, i := range v.Instances {
			addresses[i.Address] = true
			runs[i.RunID()] = true
		}
		d.paths.Retain(func(address string) bool { return addresses[address] })
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
