package gatewayd

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/admin"
	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/scheduler"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/platform"
)

// Status is the state of a gateway as operators see it.
type Status struct {
	Name     string `json:"name"`
	Run      string `json:"run"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	InFlight int64  `json:"inHand"`
	// Config is the version of the configuration in force, 0 if there is none.
	Config         int64 `json:"config"`
	ConfigAgeMs    int64 `json:"configAgeMs"`
	InstancesAgeMs int64 `json:"instancesAgeMs"`
	StoreUp        bool  `json:"storeUp"`
	// Era counts how often the store was restored from an older snapshot, 0 if the store does not
	// report it.
	Era     int64 `json:"era"`
	Members int   `json:"members"`
	// Scheduling is true if the process is a scheduler. Schedulers are the names of all schedulers,
	// Watchers of those among them that watch the store, ReachableSchedulers of the other schedulers
	// that this process receives loads from.
	Scheduling          bool     `json:"scheduling"`
	Schedulers          []string `json:"schedulers"`
	Watchers            []string `json:"watchers"`
	ReachableSchedulers []string `json:"heard"`
	// CutPaths is the number of instances that this host reaches only through peers, LastHelper the peer that
	// last relayed a connection. RelayedConnections are the connections that this process relays for others.
	CutPaths           int    `json:"cutPaths"`
	LastHelper         string `json:"lastHelper,omitempty"`
	RelayedConnections int64  `json:"relayedConnections"`
	// Rejects are the objects in the store that this process has read and ignores, since they cannot be decoded.
	Rejects []platform.Reject `json:"rejects,omitempty"`
	// Followers says how current the processes are that get their updates from this one.
	Followers scheduler.Followers `json:"followers"`
	Instances []InstanceStatus    `json:"instances"`
}

// InstanceStatus is the state of an instance as a gateway knows it. Expired is true if its
// registration disappeared during a store outage; the instance stays in use until it is known whether
// the registration comes back.
type InstanceStatus struct {
	ID       string      `json:"id"`
	Service  string      `json:"service"`
	Address  string      `json:"address"`
	Domain   string      `json:"domain"`
	Software string      `json:"software,omitempty"`
	Role     engine.Role `json:"role,omitempty"`
	Draining bool        `json:"draining"`
	Expired  bool        `json:"lapsed"`
	Changing bool        `json:"changing"`
	// Cut is true if this host reaches the instance only through peers.
	Cut  bool           `json:"cut,omitempty"`
	Load placement.Load `json:"load"`
	// Suspensions are the reasons for which this process sends the instance no requests.
	Suspensions []placement.Suspension `json:"suspensions,omitempty"`
	// ShuttingDown is true if the instance has announced its shutdown to this process, and BackoffMs is the rest of the
	// time for which it asked this process to send nothing.
	ShuttingDown bool  `json:"shuttingDown,omitempty"`
	BackoffMs    int64 `json:"backoffMs,omitempty"`
}

// ready is the readiness check of the load balancer.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || !d.discovery.View().Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) metrics(w http.ResponseWriter, _ *http.Request) {
	v := d.discovery.View()
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, d.reg).Update(value) }
	gauge("view.config_age_ms", v.ConfigAge().Milliseconds())
	gauge("view.instances_age_ms", v.InstancesAge().Milliseconds())
	gauge("view.instances", int64(len(v.Instances)))
	cut, _ := d.paths.CutPaths()
	gauge("reach.cut_paths", int64(cut))
	gauge("relay.open", d.relay.Open())
	gauge("gateway.in_hand", d.gateway.InFlight())
	gauge("log.lines_dropped", d.logLosses.Dropped())
	gauge("log.lines_cut", d.logLosses.Cut())
	d.shareMetrics(gauge)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	admin.WriteMetrics(w, d.reg)
}

func (d *Daemon) status(w http.ResponseWriter, _ *http.Request) {
	v := d.discovery.View()
	st := Status{
		Name: d.settings.Name, Run: d.runID, Ready: v.Ready(), Stopping: d.stopping.Load(), InFlight: d.gateway.InFlight(),
		ConfigAgeMs: v.ConfigAge().Milliseconds(), InstancesAgeMs: v.InstancesAge().Milliseconds(), StoreUp: v.StoreUp, Era: v.Era,
		Members: v.Processes, Scheduling: v.Scheduling, Schedulers: members.Names(v.Schedulers), Watchers: members.Names(v.Watchers), ReachableSchedulers: d.loadSync.Reachable(), Followers: d.schedulerServer.Followers(), Instances: []InstanceStatus{},
	}
	st.CutPaths, _ = d.paths.CutPaths()
	st.LastHelper, st.RelayedConnections = d.paths.LastHelper(), d.relay.Open()
	st.Rejects = d.store.Rejects()
	if v.Config != nil {
		st.Config = v.Config.Version
	}
	for id, i := range v.Instances {
		shuttingDown, backoff := d.gateway.Announced(i.RunID())
		st.Instances = append(st.Instances, InstanceStatus{
			ID: id, Service: i.Service, Address: i.Address, Domain: i.Domain, Software: i.Software, Role: i.Role, Draining: i.Draining, Expired: i.Expired,
			Changing: d.isChangingRole(i), Load: d.placer.Load(i),
			Cut: d.paths.CutTo(i.Address), Suspensions: d.placer.Suspensions(id), ShuttingDown: shuttingDown, BackoffMs: backoff.Milliseconds(),
		})
	}
	d.writeJSON(w, http.StatusOK, st)
}

// logSuspension logs and counts the begin or the end of a suspension.
func (d *Daemon) logSuspension(s placement.Suspension, resumed bool) {
	if resumed {
		level.Info(d.logger).Log("msg", "instance is used again", "instance", s.Instance, "reason", s.Reason, "after", time.Since(s.Since).Round(time.Millisecond))
		return
	}
	metrics.GetOrRegisterCounter("placement.suspended."+string(s.Reason), d.reg).Inc(1)
	level.Info(d.logger).Log("msg", "instance is out of use", "instance", s.Instance, "reason", s.Reason, "evidence", s.Evidence, "next_probe", time.Until(s.NextProbe).Round(time.Millisecond))
}

func (d *Daemon) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	number := func(name string) int { n, _ := strconv.Atoi(q.Get(name)); return n } // a value that is not a number counts as 0
	e, err := d.gateway.Explain(r.Context(), gateway.ExplainRequest{
		Host: q.Get("host"), Path: q.Get("path"), ID: q.Get("id"), PromptPrefix: q.Get("subject"), Resumes: q.Get("resumes"), Workspace: q.Get("workspace"),
		PromptTokens: number("prompt"), SharedTokens: number("shared"),
	})
	switch {
	case fault.Is(err, fault.NotFound):
		d.writeJSON(w, http.StatusNotFound, admin.ErrorBody{Kind: fault.NotFound, Message: err.Error()})
	case err != nil:
		d.writeJSON(w, http.StatusServiceUnavailable, admin.ErrorBody{Kind: fault.KindOf(err), Message: err.Error()})
	default:
		d.writeJSON(w, http.StatusOK, e)
	}
}

func (d *Daemon) writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		level.Info(d.logger).Log("msg", "response to an operator could not be written", "err", err)
	}
}
