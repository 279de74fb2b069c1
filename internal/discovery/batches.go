package discovery

import (
	"context"
	"time"

	"github.com/rockdoor/rockdoor/fleet"
)

const (
	// decodeBatch is how many registrations are decoded at a time, and decodePause the pause
	// after each batch. A batch takes 1 ms, so that decoding uses 1/11 of a core, half of the
	// CPU of a small host.
	decodeBatch = 100
	decodePause = 10 * time.Millisecond
	// decodePauseShare is the maximum share of the propagation limit for all pauses together, since
	// no changes are received during them.
	decodePauseShare = 0.2
)

// decodeInBatches decodes the registrations of the first full snapshot in small batches if the process
// already serves requests: decoding them at once keeps a small host from its requests for half a
// second.
func (d *Discovery) decodeInBatches(ctx context.Context, f *RelayUpdate) {
	v := d.View()
	if !f.Full || !v.Ready() || v.InstancesKnown {
		return
	}
	batches := time.Duration(len(f.Events)/decodeBatch + 1)
	wait := min(decodePause, d.shareOfLimit(decodePauseShare)/batches)
	f.decoded = make(map[string]*fleet.Instance, len(f.Events))
	for n, e := range f.Events {
		if e.Deleted || keyPrefix(e.Object.Key) != d.o.Prefixes.Instances {
			continue
		}
		if i, err := d.o.DecodeInstance(e.Object); err == nil {
			f.decoded[e.Object.Key] = i
		}
		if n%decodeBatch == decodeBatch-1 {
			sleep(ctx, wait)
		}
	}
}
