package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/members"
)

const (
	// maxPolledEngines is the approximate maximum number of engines that one process
	// polls.
	maxPolledEngines = 16
	maxParallelPolls = 16
	pollTimeout      = time.Second
)

// StatusPoller polls engines for their status.
type StatusPoller struct {
	loop     *Loop
	engines  engine.Controller
	interval time.Duration
}

// NewStatusPoller returns a poller. The caller must call Run.
func NewStatusPoller(l *Loop, c engine.Controller, interval time.Duration) *StatusPoller {
	return &StatusPoller{loop: l, engines: c, interval: interval}
}

// Run polls until ctx ends.
func (r *StatusPoller) Run(ctx context.Context) error {
	tick := time.NewTicker(r.interval)
	defer tick.Stop()
	for {
		r.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (r *StatusPoller) round(ctx context.Context) {
	s := r.loop.Snapshot()
	if s.Config == nil {
		return
	}
	var g errgroup.Group
	g.SetLimit(maxParallelPolls)
	for _, e := range s.Config.Config.Engines {
		if !r.polls(e.Name, s) {
			continue
		}
		g.Go(func() error {
			cctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			st, err := r.engines.Status(cctx, e.Address)
			r.loop.EngineReported(e.Name, Report{Status: st, Err: err, At: bootclock.Now()})
			return nil
		})
	}
	_ = g.Wait()
}

// polls reports whether this process polls the engine. In a large deployment each
// engine is polled by a few processes, chosen by rendezvous hashing.
func (r *StatusPoller) polls(name string, s *Snapshot) bool {
	engines := len(s.Config.Config.Engines)
	if engines <= maxPolledEngines {
		return true
	}
	names := make([]string, len(s.Members))
	for i, m := range s.Members {
		names[i] = m.Name
	}
	pollers := max(1, maxPolledEngines*len(names)/engines)
	return members.Rank(name, r.loop.o.Self.Name, names) < pollers
}
