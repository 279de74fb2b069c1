package profilesync

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/profile"
)

const (
	// objectName is the name of the object that holds the profiles.
	objectName = "main"
	// storeTimeout limits one call of the store.
	storeTimeout = time.Second
	// restoreRetry is the interval at which a process that has started tries to read the profiles.
	restoreRetry = 5 * time.Second
	// saveInterval is the time between two comparisons with the object, and the minimum between two writes. Profiles settle within it after a change.
	saveInterval = 15 * time.Second
	// minStoredChange is the change of the logarithm of a speed from which the object is written again.
	minStoredChange = 0.2
)

// record is the content of the object.
type record struct {
	Engines map[string]storedProfile `json:"engines"`
}

// storedProfile is the profile of an engine: its prefill speed, decode speed, and the samples of each.
type storedProfile [4]float64

func (p storedProfile) profile() profile.Profile {
	return profile.Profile{Prefill: profile.FromSpeed(p[0], p[2]), Decode: profile.FromSpeed(p[1], p[3])}
}

// storedState is what this process knows of the object.
type storedState struct {
	restored bool
	// triedAt is when the object was last read, compared or written. version is 0 if it has not been read.
	triedAt time.Time
	version objstore.Version
	record  record
	// token is the fencing token under which the object was read.
	token int64
}

// restore reads the profiles once. Without the store, the process learns from its peers and requests.
func (s *Syncer) restore(ctx context.Context, now time.Time) {
	if s.stored.restored || now.Sub(s.stored.triedAt) < restoreRetry {
		return
	}
	s.stored.triedAt = now
	if !s.read(ctx) {
		return
	}
	s.stored.restored = true
	if len(s.stored.record.Engines) > maxProfiles {
		level.Error(s.logger).Log("msg", "too many profiles are stored; they are not used", "engines", len(s.stored.record.Engines))
		return
	}
	for id, p := range s.stored.record.Engines {
		s.o.Placer.RestoreProfile(id, p.profile())
	}
	level.Info(s.logger).Log("msg", "profiles restored", "engines", len(s.stored.record.Engines), "version", s.stored.version)
}

// read reads the object. It reports whether its content is known now.
func (s *Syncer) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := s.o.Store.Get(ctx, s.o.Prefix+objectName)
	s.stored.version, s.stored.record = 0, record{}
	switch {
	case fault.Is(err, fault.NotFound):
	case err != nil:
		level.Info(s.logger).Log("msg", "profiles not read", "err", err)
		return false
	default:
		s.stored.version = obj.Version
		if err := json.Unmarshal(obj.Value, &s.stored.record); err != nil {
			level.Error(s.logger).Log("msg", "profiles cannot be parsed; they are written anew", "version", obj.Version, "err", err)
			s.stored.record = record{}
		}
	}
	return true
}

// save writes the profiles if this process holds the duties and they have changed.
func (s *Syncer) save(ctx context.Context, now time.Time) {
	g, ok := s.o.Authority.Grant()
	if !ok || now.Sub(s.stored.triedAt) < saveInterval {
		return
	}
	if s.stored.token != g.Token {
		s.stored.triedAt = now
		if !s.read(ctx) {
			return
		}
		s.stored.token = g.Token
	}
	s.stored.triedAt = now
	next := recordOf(s.Statuses())
	if !next.differsFrom(s.stored.record) {
		return
	}
	value, err := json.Marshal(next)
	if err == nil {
		wctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		var obj objstore.Object
		if obj, err = s.o.Store.Put(wctx, s.o.Prefix+objectName, value, s.stored.version, s.o.Writer); err == nil {
			s.stored.version, s.stored.record = obj.Version, next
			metrics.GetOrRegisterCounter("profiles.saved", s.o.Metrics).Inc(1)
		}
	}
	if err != nil {
		s.stored.token = 0 // the version is unknown
	}
	level.Info(s.logger).Log("msg", "profiles saved", "engines", len(next.Engines), "bytes", len(value), "token", g.Token, "err", err)
}

// recordOf returns the profiles that differ from the typical engine.
func recordOf(statuses []placement.ProfileStatus) record {
	out := record{Engines: map[string]storedProfile{}}
	for _, p := range statuses {
		if differs(p.Profile) && len(out.Engines) < maxProfiles {
			out.Engines[p.Instance] = storedProfile{round(p.Profile.Prefill.Speed()), round(p.Profile.Decode.Speed()), math.Round(p.Profile.Prefill.Samples), math.Round(p.Profile.Decode.Samples)}
		}
	}
	return out
}

// differsFrom reports whether a profile that differs from the typical engine is missing in the earlier record or
// has changed much there, or one of the earlier record is gone.
func (r record) differsFrom(before record) bool {
	for id, p := range r.Engines {
		q, known := before.Engines[id]
		after, earlier := p.profile(), q.profile()
		if !known || math.Abs(after.Prefill.Log-earlier.Prefill.Log) >= minStoredChange || math.Abs(after.Decode.Log-earlier.Decode.Log) >= minStoredChange {
			return true
		}
	}
	return len(r.Engines) != len(before.Engines)
}
