// Package cachescan asks engines, once in the life of a process, what their prefix
// caches keep. A process learns of later reads from its own work and from its peers; what
// was read before it started only the engines know, if the other processes were lost too:
// without it, prompts that an engine keeps are read again elsewhere.
package cachescan

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/placement"
)

const (
	// listTimeout bounds one call.
	listTimeout = 800 * time.Millisecond
	// atOnce is how many engines are asked at a time.
	atOnce = 4
)

// Lister tells what an engine's prefix cache keeps.
type Lister interface {
	Kept(ctx context.Context, address string) ([]engine.Part, error)
}

// Options of a scan.
type Options struct {
	View   func() *fleet.View
	Lister Lister
	Placer *placement.Placer
	Logger log.Logger
}

// Run asks each engine of the view once and has the placer take in the answers. An engine
// that does not answer is left out: what it keeps will be seen from later reads.
func Run(ctx context.Context, o Options) {
	begun := time.Now()
	v := o.View()
	var wg sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for name, service := range v.Config.Services {
		if service.KVCapacity == 0 {
			continue
		}
		for _, i := range v.Usable(name) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				slots <- struct{}{}
				defer func() { <-slots }()
				o.ask(ctx, i, service.KVCapacity)
			}()
		}
	}
	wg.Wait()
	level.Info(o.Logger).Log("msg", "caches listed", "took", time.Since(begun).Round(time.Millisecond))
}

func (o *Options) ask(ctx context.Context, i *fleet.Instance, capacity int) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	parts, err := o.Lister.Kept(ctx, i.Address)
	if err != nil {
		level.Info(o.Logger).Log("msg", "cache not listed", "engine", i.ID, "err", err)
		return
	}
	o.Placer.Restore(i, capacity, parts)
	level.Debug(o.Logger).Log("msg", "cache listed", "engine", i.ID, "parts", len(parts))
}
