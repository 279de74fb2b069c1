package discovery

import (
	"context"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fleet"
)

const (
	// decodePiece is how many registrations are decoded at a time, decodePause the pause after them: 1 ms of a core
	// in 11, half of what a small host has.
	decodePiece = 100
	decodePause = 10 * time.Millisecond
	// decodeShare is the part of Within that the pauses take at the most, as no change is heard of in them.
	decodeShare = 0.2
)

// decodeAhead decodes the registrations of a process's first copy in small pieces, where it serves already: at once
// they keep a small host from its requests for half a second. The copy gets older by that.
func (d *Discovery) decodeAhead(ctx context.Context, f *RelayUpdate) {
	v := d.View()
	if !f.Full || !v.Ready() || v.InstancesKnown {
		return
	}
	begun := bootclock.Now()
	pieces := time.Duration(len(f.Events)/decodePiece + 1)
	wait := min(decodePause, d.tooOld(decodeShare)/pieces)
	f.decoded = make(map[string]*fleet.Instance, len(f.Events))
	for n, e := range f.Events {
		if e.Deleted || kindOf(e.Object.Key) != d.o.Prefixes.Instances {
			continue
		}
		if i, err := d.o.DecodeInstance(e.Object); err == nil { // one that cannot be read is logged when it is taken in
			f.decoded[e.Object.Key] = i
		}
		if n%decodePiece == decodePiece-1 {
			pause(ctx, wait)
		}
	}
	f.Age += bootclock.Since(begun)
}
