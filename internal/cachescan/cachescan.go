// Package cachescan lists the prefix caches of the engines once after a process has started. A
// process learns of later prefills from its own work and from its peers. If all processes failed
// together, only the engines know which prompts were prefilled before. Without the scan, prompts
// that one engine has cached would be prefilled again on another one.
package cachescan

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/placement"
)

const (
	// listTimeout limits one call.
	listTimeout = 800 * time.Millisecond
	// maxConcurrent is the number of engines called at a time.
	maxConcurrent = 4
	// maxScanTime limits the scan. By then, new prefills show which engines matter. About 300 engines take
	// half of it. Without the limit, each scheduler would call 10,000 engines for many seconds, with a new
	// connection for each.
	maxScanTime = time.Second
)

// Lister lists the prompt parts in the prefix cache of an engine.
type Lister interface {
	CachedParts(ctx context.Context, address string) ([]engine.Part, error)
}

// Options of a scan.
type Options struct {
	View   func() *fleet.View
	Lister Lister
	Placer *placement.Placer
	Logger log.Logger
}

// Run calls each engine of the view once, as far as time allows, and passes the responses to the placer. An
// engine that is not called or does not respond is skipped. Its cache contents become known by later prefills.
func Run(ctx context.Context, o Options) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, maxScanTime)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	var called atomic.Int64
	all := 0
	v := o.View()
	for name, service := range v.Config.Services {
		if service.KVCapacity == 0 {
			continue
		}
		engines := slices.Clone(v.Usable(name))
		rand.Shuffle(len(engines), func(i, k int) { engines[i], engines[k] = engines[k], engines[i] })
		all += len(engines)
		for _, i := range engines {
			if ctx.Err() != nil {
				break
			}
			g.Go(func() error {
				if ctx.Err() != nil { // the scan ended while this call was waiting to start
					return nil
				}
				called.Add(1)
				o.scanEngine(ctx, i, service.KVCapacity)
				return nil
			})
		}
	}
	_ = g.Wait() // no call returns an error
	level.Info(o.Logger).Log("msg", "caches listed", "asked", called.Load(), "engines", all, "took", time.Since(begun).Round(time.Millisecond))
}

// scanEngine lists the cache of one engine.
func (o *Options) scanEngine(ctx context.Context, i *fleet.Instance, capacity int) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	parts, err := o.Lister.CachedParts(ctx, i.Address)
	if err != nil {
		level.Info(o.Logger).Log("msg", "cache not listed", "engine", i.ID, "err", err)
		return
	}
	o.Placer.RestoreCache(i, capacity, parts)
	level.Debug(o.Logger).Log("msg", "cache listed", "engine", i.ID, "parts", len(parts))
}
