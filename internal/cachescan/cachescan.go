// Package cachescan asks engines, once in the life of a process, what their prefix
// caches keep. A process learns of later reads from its own work and from its peers; what
// was read before it started only the engines know, if the other processes were lost too:
// without it, prompts that an engine keeps are read again elsewhere.
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
	// listTimeout bounds one call.
	listTimeout = 800 * time.Millisecond
	// atOnce is how many engines are asked at a time.
	atOnce = 4
	// scanFor is for how long engines are asked: by then reads tell of the engines that matter. Some 300
	// engines are asked in half of it; without the bound each scheduler would ask 10,000 for many seconds,
	// with a new connection each.
	scanFor = time.Second
)

// Lister tells what an engine's prefix cache keeps.
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

// Run asks each engine of the view once, as far as time allows, and has the placer take in the answers. An
// engine that is not asked or does not answer is left out: what it keeps will be seen from later reads.
func Run(ctx context.Context, o Options) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, scanFor)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(atOnce)
	var asked atomic.Int64
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
				if ctx.Err() != nil { // it ended while this call waited for its turn
					return nil
				}
				asked.Add(1)
				o.ask(ctx, i, service.KVCapacity)
				return nil
			})
		}
	}
	_ = g.Wait() // no call returns an error
	level.Info(o.Logger).Log("msg", "caches listed", "asked", asked.Load(), "engines", all, "took", time.Since(begun).Round(time.Millisecond))
}

func (o *Options) ask(ctx context.Context, i *fleet.Instance, capacity int) {
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
