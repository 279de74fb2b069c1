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
	// maxReported bounds how many engines one process asks for their load.
	maxReported     = 16
	parallelReports = 16
	reportTimeout   = time.Second
)

// Reporter asks engines for their status.
type Reporter struct {
	loop     *Loop
	engines  engine.Controller
	interval time.Duration
}

// NewReporter returns a reporter that has to be run.
func NewReporter(l *Loop, c engine.Controller, interval time.Duration) *Reporter {
	return &Reporter{loop: l, engines: c, interval: interval}
}

// Run asks until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
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

func (r *Reporter) round(ctx context.Context) {
	s := r.loop.Snapshot()
	if s.Config == nil {
		return
	}
	var g errgroup.Group
	g.SetLimit(parallelReports)
	for _, e := range s.Config.Config.Engines {
		if !r.asks(e.Name, s) {
			continue
		}
		g.Go(func() error {
			cctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			st, err := r.engines.Status(cctx, e.Address)
			r.loop.EngineReported(e.Name, Report{Status: st, Err: err, At: bootclock.Now()})
			return nil
		})
	}
	_ = g.Wait()
}

// asks reports whether this process asks the engine. In a large deployment each
// engine is asked by the few processes with the highest hash for it.
func (r *Reporter) asks(name string, s *Snapshot) bool {
	engines := len(s.Config.Config.Engines)
	if engines <= maxReported {
		return true
	}
	names := make([]string, len(s.Members))
	for i, m := range s.Members {
		names[i] = m.Name
	}
	askers := max(1, maxReported*len(names)/engines)
	return members.Rank(name, r.loop.o.Self.Name, names) < askers
}
