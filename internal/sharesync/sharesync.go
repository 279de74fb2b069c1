// Package sharesync exchanges the use of engine time by workspaces between schedulers, and reads the
// operator's settings of workspaces.
package sharesync

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/shares"
)

const (
	// maxListed is the number of workspaces per service that a digest names. With 72 workspaces of skew
	// 1.2, those beyond it ask for less than an equal share each.
	maxListed = 16
	// maxReceived bounds what is taken from one digest.
	maxReceived = 4 * (maxListed + 1)
	// encodeInterval is how long an encoded list is used again. Digests to several peers are sent within
	// this time.
	encodeInterval = 20 * time.Millisecond
	// settingsInterval is how often the settings are read. Operators change them a few times a day.
	settingsInterval = 10 * time.Second
	// settingsTimeout limits one read.
	settingsTimeout = 2 * time.Second
	// settingsObject is the name of the object with the settings.
	settingsObject = "main"
)

// SettingsKey returns the key of the settings below a prefix.
func SettingsKey(prefix string) string { return prefix + settingsObject }

// Options of a Syncer.
type Options struct {
	Placer *placement.Placer
	View   func() *fleet.View
	// Store is read for the settings under Prefix. Stale reads are sufficient.
	Store  objstore.Store
	Prefix string
	Logger log.Logger
}

// Syncer exchanges use. It implements loadshare.Extension.
type Syncer struct {
	o      Options
	logger log.Logger

	mu        sync.Mutex
	encoded   []*peerpb.WorkspaceUse
	encodedAt time.Time
	// version is that of the settings in force, 0 if there are none.
	version objstore.Version
}

// New returns a syncer.
func New(o Options) *Syncer {
	return &Syncer{o: o, logger: log.With(o.Logger, "component", "shares")}
}

// AddTo implements loadshare.Extension.
func (s *Syncer) AddTo(d *peerpb.LoadDigest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.encodedAt.IsZero() || now.Sub(s.encodedAt) >= encodeInterval || now.Before(s.encodedAt) {
		s.encoded, s.encodedAt = encode(s.o.Placer.WorkspaceUse(maxListed)), now
	}
	d.Workspaces = s.encoded // not changed after it was encoded
}

// Apply implements loadshare.Extension. A digest that arrives out of order is at most an interval
// older than the one that it replaces.
func (s *Syncer) Apply(from *peerpb.Identity, d *peerpb.LoadDigest) {
	s.o.Placer.ApplyPeerUse(from.GetName(), decode(d.GetWorkspaces()))
}

// Forget implements loadshare.Extension.
func (s *Syncer) Forget(peer string) { s.o.Placer.ForgetPeerUse(peer) }

func encode(uses map[string][]shares.Use) []*peerpb.WorkspaceUse {
	var out []*peerpb.WorkspaceUse
	for service, list := range uses {
		for _, u := range list {
			out = append(out, &peerpb.WorkspaceUse{
				Service: service, Workspace: u.Workspace, PendingMs: u.PendingMs, RecentMs: u.DemandMs, Others: uint32(u.Others),
				HeldMs: encodeUrgencies(&u.HeldMs), GrantedMs: encodeUrgencies(&u.GrantedMs),
			})
		}
	}
	return out
}

// encodeUrgencies leaves out the last urgencies without time.
func encodeUrgencies(ms *[shares.Urgencies]float64) []float32 {
	n := shares.Urgencies
	for n > 0 && ms[n-1] == 0 {
		n--
	}
	out := make([]float32, n)
	for i := range out {
		out[i] = float32(ms[i])
	}
	return out
}

func decode(list []*peerpb.WorkspaceUse) map[string][]shares.Use {
	out := map[string][]shares.Use{}
	for _, u := range list[:min(len(list), maxReceived)] {
		out[u.GetService()] = append(out[u.GetService()], shares.Use{
			Workspace: u.GetWorkspace(), Others: int(u.GetOthers()), PendingMs: u.GetPendingMs(), DemandMs: u.GetRecentMs(),
			HeldMs: decodeUrgencies(u.GetHeldMs()), GrantedMs: decodeUrgencies(u.GetGrantedMs()),
		})
	}
	return out
}

func decodeUrgencies(list []float32) (out [shares.Urgencies]float64) {
	for n, ms := range list[:min(len(list), shares.Urgencies)] {
		out[n] = float64(ms)
	}
	return out
}

// Run reads the settings while this process is a scheduler and has workspaces, until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	periodic.Run(ctx, settingsInterval, func(ctx context.Context) {
		if v := s.o.View(); v.Scheduling && v.Config != nil && v.Config.Workspaces() > 0 {
			s.ReadSettings(ctx)
		}
	})
	return nil
}

// ReadSettings reads the settings once. If they can't be read or are invalid, those in force stay.
func (s *Syncer) ReadSettings(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	obj, err := s.o.Store.Get(ctx, SettingsKey(s.o.Prefix))
	if fault.Is(err, fault.NotFound) {
		obj, err = objstore.Object{}, nil
	}
	if err != nil {
		level.Debug(s.logger).Log("msg", "shares not read", "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if obj.Version == s.version {
		return
	}
	s.version = obj.Version
	var settings *shares.Settings
	if len(obj.Value) > 0 {
		if settings, err = shares.Parse(obj.Value); err != nil {
			level.Error(s.logger).Log("msg", "shares ignored: they are invalid", "revision", obj.Version, "err", err)
			return
		}
	}
	s.o.Placer.SetShareSettings(settings)
	level.Info(s.logger).Log("msg", "shares in force", "revision", obj.Version)
}
