// Package profilesync shares the profiles of engines. Each scheduler sends the others what it measured
// itself, and the holder of the duties keeps the sum in the store, where schedulers read it when they start.
package profilesync

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/profile"
)

const (
	// reviewInterval is how often the profiles are computed.
	reviewInterval = time.Second
	// minAnnounceTime is how long after a review the digests have the profiles that are due, and
	// announcePerPeer raises it with the number of peers. Each peer receives about one digest in that time.
	// More would only cost bytes, since a lost profile is sent again.
	minAnnounceTime = 100 * time.Millisecond
	announcePerPeer = 3 * time.Millisecond
	// maxPerDigest is the maximum number of profiles in a digest, of some 60 bytes each.
	maxPerDigest = 32
	// refreshInterval is the interval at which unchanged profiles are sent again, for peers that have
	// started since or have lost a digest. With many profiles, it takes longer.
	refreshInterval = 20 * time.Second
	// lifetime is how long the profile of a peer is used after it was last sent.
	lifetime = 2 * time.Minute
	// maxProfiles is the maximum number of profiles that are sent, kept of one peer, or stored.
	maxProfiles = 2048
	// minChange is the change of the logarithm of a speed, and minGrowth the growth of the number of
	// samples, from which a profile is sent again.
	minChange = 0.2
	minGrowth = 3.0
	// minDifference is the difference of the logarithm of a speed from the typical engine's from which a
	// profile is sent and stored.
	minDifference = 0.1
)

// Options of a Syncer.
type Options struct {
	Placer *placement.Placer
	Store  objstore.Store
	// Prefix is the key prefix of the profiles in the store.
	Prefix string
	// Writer identifies this run of the process in its writes to the store.
	Writer    string
	Authority duty.Granter
	View      func() *fleet.View
	Metrics   metrics.Registry
	Logger    log.Logger
}

// Syncer implements loadshare.Extension. Only its Run accesses the fields above mu.
type Syncer struct {
	o      Options
	logger log.Logger
	stored storedState
	// sent are the profiles as they were last due, by instance.
	sent map[string]*sentProfile
	// queue has the instances whose profiles are due next, in order.
	queue []string
	// reviewed is reused between reviews.
	reviewed []placement.ProfileStatus
	// classes counts the engines by class, and used those that are served by their profiles.
	classes map[profile.Class]int64
	used    int64

	mu sync.Mutex
	// due are the profiles that the digests have until dueUntil.
	due      []*peerpb.EngineProfile
	dueUntil time.Time
	peers    map[string]*peerProfiles
	// statuses are the latest profiles by instance.
	statuses map[string]placement.ProfileStatus
}

type sentProfile struct {
	startTime int64
	measured  profile.Profile
	at        time.Time
	queued    bool
}

// peerProfiles are the profiles that one run of a peer has measured, by instance.
type peerProfiles struct {
	incarnation string
	byInstance  map[string]peerProfile
}

type peerProfile struct {
	startTime  int64
	profile    profile.Profile
	receivedAt time.Time
}

// New returns a syncer. The caller must call Run.
func New(o Options) *Syncer {
	return &Syncer{
		o: o, logger: log.With(o.Logger, "component", "profiles"), sent: map[string]*sentProfile{}, classes: map[profile.Class]int64{}, peers: map[string]*peerProfiles{},
		statuses: map[string]placement.ProfileStatus{},
	}
}

// Run reviews the profiles until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	periodic.Run(ctx, reviewInterval, func(ctx context.Context) { s.review(ctx, time.Now()) })
	return nil
}

// review computes the profiles of some engines, and sends and stores what has changed. A process that is no scheduler
// places next to nothing, so it has nothing to review.
func (s *Syncer) review(ctx context.Context, now time.Time) {
	s.dropLapsed(now)
	v := s.o.View()
	if !v.Complete() || !v.Scheduling {
		return
	}
	s.restore(ctx, now)
	s.reviewed = s.o.Placer.ReviewProfiles(s.reviewed[:0])
	s.record(s.reviewed)
	s.report(s.reviewed)
	s.queueChanged(s.reviewed, now)
	s.publish(now, max(minAnnounceTime, time.Duration(len(v.GossipPeers))*announcePerPeer))
	s.save(ctx, now)
}

// record keeps the profiles, without those of engines of which nothing is known any more.
func (s *Syncer) record(reviewed []placement.ProfileStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range reviewed {
		if before, ok := s.statuses[p.Instance]; ok {
			s.count(before, -1)
			delete(s.statuses, p.Instance)
		}
		if !p.Unknown() {
			s.count(p, 1)
			s.statuses[p.Instance] = p
		}
	}
}

func (s *Syncer) count(p placement.ProfileStatus, change int64) {
	s.classes[p.Class] += change
	if p.Used {
		s.used += change
	}
}

// report logs the engines whose classes have changed, and updates the metrics.
func (s *Syncer) report(reviewed []placement.ProfileStatus) {
	for _, p := range reviewed {
		if p.Unknown() || p.Class == p.Previous || p.Previous == "" && (p.Class == profile.Unknown || p.Class == profile.Typical) {
			continue
		}
		level.Info(s.logger).Log("msg", "class of engine changed", "engine", p.Instance, "service", p.Service, "class", p.Class, "before", p.Previous,
			"prefill", round(p.Profile.Prefill.Speed()), "decode", round(p.Profile.Decode.Speed()),
			"prefill_samples", round(p.Profile.Prefill.Samples), "decode_samples", round(p.Profile.Decode.Samples), "used", p.Used)
		metrics.GetOrRegisterCounter("profiles.class_changes", s.o.Metrics).Inc(1)
	}
	for _, c := range []profile.Class{profile.Slow, profile.Typical, profile.Fast} {
		metrics.GetOrRegisterGauge("profiles."+string(c), s.o.Metrics).Update(s.classes[c])
	}
	metrics.GetOrRegisterGauge("profiles.used", s.o.Metrics).Update(s.used)
}

func round(x float64) float64 { return math.Round(100*x) / 100 }

// queueChanged queues the profiles that differ from the typical engine or did when they were last sent,
// and have changed or were last sent a while ago.
func (s *Syncer) queueChanged(reviewed []placement.ProfileStatus, now time.Time) {
	for _, p := range reviewed {
		last := s.sent[p.Instance]
		switch {
		case p.Unknown():
			delete(s.sent, p.Instance)
			continue
		case last == nil && (!differs(p.Own) || len(s.sent) >= maxProfiles):
			continue
		case last == nil:
			last = &sentProfile{}
			s.sent[p.Instance] = last
		case last.startTime == p.StartTime && !changed(last.measured, p.Own) && now.Sub(last.at) < refreshInterval:
			continue
		}
		last.startTime, last.measured = p.StartTime, p.Own
		if !last.queued {
			last.queued = true
			s.queue = append(s.queue, p.Instance)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(id string) bool { return s.sent[id] == nil })
}

// differs reports whether a profile differs from the typical engine with some confidence.
func differs(p profile.Profile) bool {
	return p.Prefill.Known() && math.Abs(p.Prefill.Log) >= minDifference || p.Decode.Known() && math.Abs(p.Decode.Log) >= minDifference
}

func changed(before, after profile.Profile) bool {
	return changedEstimate(before.Prefill, after.Prefill) || changedEstimate(before.Decode, after.Decode)
}

func changedEstimate(before, after profile.Estimate) bool {
	return math.Abs(after.Log-before.Log) >= minChange || after.Samples >= minGrowth*max(before.Samples, 1)
}

// publish has the digests announce the first profiles of the queue for a time.
func (s *Syncer) publish(now time.Time, announce time.Duration) {
	n := min(len(s.queue), maxPerDigest)
	var due []*peerpb.EngineProfile
	for _, id := range s.queue[:n] {
		last := s.sent[id]
		last.at, last.queued = now, false
		due = append(due, encode(id, last.startTime, last.measured))
	}
	s.queue = slices.Delete(s.queue, 0, n)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due, s.dueUntil = due, now.Add(announce)
}

// dropLapsed drops the profiles that peers have not sent for a while.
func (s *Syncer) dropLapsed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.peers {
		for id, known := range p.byInstance {
			if now.Sub(known.receivedAt) > lifetime {
				delete(p.byInstance, id)
			}
		}
		if len(p.byInstance) == 0 {
			delete(s.peers, name)
		}
	}
}

func encode(id string, startTime int64, p profile.Profile) *peerpb.EngineProfile {
	return &peerpb.EngineProfile{
		Instance: id, Born: startTime, PrefillSpeed: p.Prefill.Speed(), DecodeSpeed: p.Decode.Speed(), PrefillSamples: p.Prefill.Samples, DecodeSamples: p.Decode.Samples,
	}
}

// AddTo implements loadshare.Extension.
func (s *Syncer) AddTo(d *peerpb.LoadDigest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.due) > 0 && time.Now().Before(s.dueUntil) {
		d.Profiles = s.due
	}
}

// Apply implements loadshare.Extension. An older digest that arrives late is corrected by the next refresh.
func (s *Syncer) Apply(from *peerpb.Identity, d *peerpb.LoadDigest) {
	if len(d.GetProfiles()) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[from.GetName()]
	if p == nil || p.incarnation != from.GetIncarnation() {
		p = &peerProfiles{incarnation: from.GetIncarnation(), byInstance: map[string]peerProfile{}}
		s.peers[from.GetName()] = p
	}
	now := time.Now()
	for _, m := range d.GetProfiles() {
		if _, known := p.byInstance[m.GetInstance()]; !known && len(p.byInstance) >= maxProfiles {
			continue
		}
		p.byInstance[m.GetInstance()] = peerProfile{m.GetBorn(), profile.Profile{
			Prefill: profile.FromSpeed(m.GetPrefillSpeed(), m.GetPrefillSamples()), Decode: profile.FromSpeed(m.GetDecodeSpeed(), m.GetDecodeSamples()),
		}, now}
	}
}

// Forget implements loadshare.Extension. What a silent peer has measured stays true until it lapses.
func (s *Syncer) Forget(string) {}

// PeerProfile returns the profile of a run of an engine by the measurements of the peers.
func (s *Syncer) PeerProfile(instance string, startTime int64) profile.Profile {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := profile.Profile{}
	for _, p := range s.peers {
		if known, ok := p.byInstance[instance]; ok && known.startTime == startTime {
			out = out.Merge(known.profile)
		}
	}
	return out
}

// Statuses returns the latest profiles, sorted by instance.
func (s *Syncer) Statuses() []placement.ProfileStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedFunc(maps.Values(s.statuses), func(a, b placement.ProfileStatus) int { return cmp.Compare(a.Instance, b.Instance) })
}
