package scaler

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/capacity"
	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// DemandOptions configures orders by demand.
type DemandOptions struct {
	// Self is the name of this process, Writer identifies its run in writes to the store.
	Self, Writer string
	// Reports returns the last reports of work for a service, by scheduler.
	Reports func(service string) map[string]capacity.Report
	Store   objstore.Store
	// Prefix is the prefix of the objects with the learned demand, one for each service.
	Prefix string
}

const (
	// saveInterval is the minimum time between two writes of a service's learned demand.
	saveInterval = 10 * time.Second
	// saveTimeout limits one call of the store.
	saveTimeout = time.Second
	// peakChange is the relative change of the peak that is worth a write.
	peakChange = 0.1
)

// demandState is the state of one service.
type demandState struct {
	meter capacity.Meter
	// policy decides under the grant with the given token, 0 if the learned demand has not been loaded
	// for it.
	policy  *capacity.DemandPolicy
	token   int64
	saved   capacity.Learned
	version objstore.Version
	// standing is the highest number of on-demand engines that have been seen, or the number of engines
	// of an earlier holder.
	standing int
	// nextSave is the time before which the learned demand is not written or read again.
	nextSave time.Time
}

// isShort reports whether fewer engines serve than the operator or an earlier holder of the duty had.
func (st *demandState) isShort(v *fleet.View, service string) bool {
	serving, onDemand := 0, 0
	for _, i := range v.Usable(service) {
		if serving++; !i.Spot {
			onDemand++
		}
	}
	st.standing = max(st.standing, onDemand)
	return serving < st.standing
}

func (s *Scaler) demandState(service string) *demandState {
	st := s.demands[service]
	if st == nil {
		st = &demandState{}
		s.demands[service] = st
	}
	return st
}

// observeDemand measures the demand. Schedulers that don't hold the duty do so as well, to be able to
// continue.
func (s *Scaler) observeDemand(v *fleet.View) {
	if !v.Complete() || !v.Scheduling {
		return
	}
	schedulers := members.Names(v.GossipPeers)
	if !slices.Contains(schedulers, s.opts.Demand.Self) {
		schedulers = append(schedulers, s.opts.Demand.Self)
	}
	s.forget(v)
	for name, service := range v.Config.Services {
		if service.Scaling != nil {
			st := s.demandState(name)
			st.meter.Observe(time.Now(), schedulers, s.opts.Demand.Reports(name), st.isShort(v, name))
		}
	}
}

// scaleByDemand orders the engines that a service needs. Until the learned demand has been loaded,
// what stands is kept.
func (s *Scaler) scaleByDemand(ctx context.Context, g duty.Grant, v *fleet.View, service *fleet.Service) {
	st := s.demandState(service.Name)
	if st.token != g.Token && !s.load(ctx, g, st, service.Name) {
		return
	}
	in := capacity.DemandInput{Input: policyInput(v, service), Now: time.Now(), Demand: st.meter.Demand()}
	for n := range in.Domains {
		in.Domains[n].Exhausted = s.isExhausted(service.Name, in.Domains[n].Name)
	}
	for _, i := range v.Usable(service.Name) {
		in.Slots = max(in.Slots, i.Slots)
	}
	targets, need := st.policy.Decide(in)
	s.order(ctx, g, service, in.Domains, targets, demandLogger(s.logger, &in, need))
	s.status.set(newServiceStatus(&in, targets, need, service.Name))
	s.recordMetrics(service.Name, &in, need)
	s.save(ctx, st, service.Name, need.Engines)
}

// demandLogger returns a logger that adds the inputs of a decision.
func demandLogger(logger log.Logger, in *capacity.DemandInput, need capacity.Need) log.Logger {
	d := in.Demand
	return log.With(logger, "needed", need.Engines, "after_loss", need.AfterLoss, "known", d.Known, "peak_prefill", round(d.Peak.Prefill), "peak_decode", round(d.Peak.Decode),
		"latest_prefill", round(d.Latest.Prefill), "latest_decode", round(d.Latest.Decode), "demand_age", demandAge(in), "unavailable", len(need.Unavailable))
}

func demandAge(in *capacity.DemandInput) time.Duration {
	if in.Demand.ObservedAt.IsZero() {
		return -1
	}
	return in.Now.Sub(in.Demand.ObservedAt).Round(time.Millisecond)
}

func round(v float64) float64 { return math.Round(v*100) / 100 }

// load continues from what earlier holders of the duty have learned.
func (s *Scaler) load(ctx context.Context, g duty.Grant, st *demandState, service string) bool {
	if time.Now().Before(st.nextSave) && st.token == 0 {
		return false
	}
	sctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	obj, err := s.opts.Demand.Store.Get(sctx, s.opts.Demand.Prefix+service)
	var l capacity.Learned
	switch {
	case fault.Is(err, fault.NotFound):
	case err != nil:
		st.token, st.nextSave = 0, time.Now().Add(saveTimeout)
		level.Info(s.logger).Log("msg", "learned demand not read", "service", service, "err", err)
		return false
	default:
		if err := json.Unmarshal(obj.Value, &l); err != nil {
			level.Error(s.logger).Log("msg", "learned demand cannot be parsed; starting without it", "service", service, "revision", obj.Version, "err", err)
			l = capacity.Learned{}
		}
	}
	st.policy, st.token, st.saved, st.version = &capacity.DemandPolicy{}, g.Token, l, obj.Version
	st.policy.Restore(l.Engines)
	st.standing = max(st.standing, l.Engines)
	st.meter.Restore(l)
	level.Info(s.logger).Log("msg", "learned demand loaded", "service", service, "token", g.Token, "peak_prefill", round(l.Peak.Prefill), "peak_decode", round(l.Peak.Decode), "observed", l.Observed, "engines", l.Engines)
	return true
}

// save writes what has been learned, if it has changed, for the next holder of the duty.
func (s *Scaler) save(ctx context.Context, st *demandState, service string, engines int) {
	now := time.Now()
	next := st.meter.Learned()
	next.Engines = engines
	if engines == 0 || now.Before(st.nextSave) || !worthSaving(st.saved, next) {
		return
	}
	st.nextSave = now.Add(saveInterval)
	value, err := json.Marshal(next)
	if err != nil {
		level.Error(s.logger).Log("msg", "learned demand cannot be encoded", "service", service, "err", err)
		return
	}
	sctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	obj, err := objstore.PutSettled(sctx, s.opts.Demand.Store, s.opts.Demand.Prefix+service, value, st.version, s.opts.Demand.Writer+"/"+ulid.Make().String())
	level.Info(s.logger).Log("msg", "learned demand saved", "service", service, "engines", engines, "peak_prefill", round(next.Peak.Prefill), "peak_decode", round(next.Peak.Decode), "observed", next.Observed, "err", err)
	if err != nil {
		st.reread(sctx, s, service)
		return
	}
	st.saved, st.version = next, obj.Version
}

// reread finds the version to write to next after a write has failed. What this process has learned
// is newer than the object.
func (st *demandState) reread(ctx context.Context, s *Scaler, service string) {
	obj, err := s.opts.Demand.Store.Get(ctx, s.opts.Demand.Prefix+service)
	if err == nil || fault.Is(err, fault.NotFound) {
		st.version = obj.Version
	}
}

func worthSaving(saved, next capacity.Learned) bool {
	changed := func(a, b float64) bool { return math.Abs(a-b) > peakChange*max(a, b) }
	return saved.Engines != next.Engines || saved.Observed != next.Observed && (saved.Observed == 0 || next.Observed >= capacity.MinObserved) ||
		changed(saved.Peak.Prefill, next.Peak.Prefill) || changed(saved.Peak.Decode, next.Peak.Decode)
}

func (s *Scaler) recordMetrics(service string, in *capacity.DemandInput, need capacity.Need) {
	for name, value := range map[string]float64{
		"needed": float64(need.Engines), "needed_after_loss": float64(need.AfterLoss), "spot_target": float64(need.Spot), "on_demand_target": float64(need.OnDemand),
		"peak_prefill": in.Demand.Peak.Prefill, "peak_decode": in.Demand.Peak.Decode, "latest_prefill": in.Demand.Latest.Prefill, "latest_decode": in.Demand.Latest.Decode,
	} {
		metrics.GetOrRegisterGaugeFloat64(metricPrefix(service)+name, s.opts.Metrics).Update(value)
	}
}

// metricPrefix returns the prefix of a service's metrics.
func metricPrefix(service string) string {
	return "scaler." + strings.Map(func(r rune) rune {
		if r < unicode.MaxASCII && (unicode.IsLetter(r) || unicode.IsDigit(r)) {
			return r
		}
		return '_'
	}, service) + "."
}

// forget drops the state of services whose engines are no longer ordered.
func (s *Scaler) forget(v *fleet.View) {
	for name := range s.demands {
		if v.Config.Services[name].Scaling != nil {
			continue
		}
		delete(s.demands, name)
		s.opts.Metrics.Each(func(metric string, _ any) {
			if strings.HasPrefix(metric, metricPrefix(name)) {
				s.opts.Metrics.Unregister(metric)
			}
		})
	}
	s.status.retain(func(name string) bool { return s.demands[name] != nil })
}

// ServiceStatus is the last decision for a service, as operators see it.
type ServiceStatus struct {
	Service string    `json:"service"`
	At      time.Time `json:"at"`
	// Known is true if the demand has been observed for long enough. DemandAgeMs is the time since it was
	// last observed, -1 if it has not been.
	Known       bool           `json:"known"`
	DemandAgeMs int64          `json:"demandAgeMs"`
	Latest      capacity.Rate  `json:"latest"`
	Peak        capacity.Rate  `json:"peak"`
	Needed      int            `json:"needed"`
	AfterLoss   int            `json:"afterLoss"`
	Releasing   bool           `json:"releasing"`
	Domains     []DomainStatus `json:"domains"`
}

// DomainStatus is the part of a decision that concerns one failure domain.
type DomainStatus struct {
	Domain         string `json:"domain"`
	OnDemand       int    `json:"onDemand"`
	Spot           int    `json:"spot"`
	OnDemandTarget int    `json:"onDemandTarget"`
	SpotTarget     int    `json:"spotTarget"`
	// Unavailable is true if the domain has no spot engines available at present.
	Unavailable bool `json:"unavailable"`
}

func newServiceStatus(in *capacity.DemandInput, targets []capacity.Target, need capacity.Need, service string) ServiceStatus {
	out := ServiceStatus{
		Service: service, At: in.Now, Known: in.Demand.Known, DemandAgeMs: -1, Latest: in.Demand.Latest, Peak: in.Demand.Peak,
		Needed: need.Engines, AfterLoss: need.AfterLoss, Releasing: need.Releasing,
	}
	if age := demandAge(in); age >= 0 {
		out.DemandAgeMs = age.Milliseconds()
	}
	for n, d := range in.Domains {
		out.Domains = append(out.Domains, DomainStatus{
			Domain: d.Name, OnDemand: d.OnDemand, Spot: d.Spot, OnDemandTarget: targets[n].OnDemand, SpotTarget: targets[n].Spot,
			Unavailable: slices.Contains(need.Unavailable, d.Name),
		})
	}
	return out
}

// statusTable has the last decisions. It is safe for concurrent use.
type statusTable struct {
	mu       sync.Mutex
	services map[string]ServiceStatus
}

func (t *statusTable) set(st ServiceStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services == nil {
		t.services = map[string]ServiceStatus{}
	}
	t.services[st.Service] = st
}

func (t *statusTable) retain(keep func(service string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.services, func(name string, _ ServiceStatus) bool { return !keep(name) })
}

// Status returns the last decisions of this process by demand, none if it never held the duty.
func (s *Scaler) Status() []ServiceStatus {
	s.status.mu.Lock()
	defer s.status.mu.Unlock()
	out := make([]ServiceStatus, 0, len(s.status.services))
	for _, name := range slices.Sorted(maps.Keys(s.status.services)) {
		out = append(out, s.status.services[name])
	}
	return out
}
