// Package reach connects a host to instances, directly or through a peer that relays the connection, and tracks
// which paths of this host are cut. A path counts as cut only if a direct connection fails while one through a peer
// succeeds, so that an instance that is silent or gone is not taken for a cut path.
package reach

import (
	"sync"
	"time"
)

const (
	// doubtTime is how long after the discovery of a cut path the other paths are doubtful, unless they show
	// a sign of life.
	doubtTime = 10 * time.Second
	// probeInterval is the minimum time between two direct connections that are tried on a cut path.
	probeInterval = 250 * time.Millisecond
	// requiredProbes is how many of them must succeed in a row before the path is used again. With one,
	// a path that loses a third of its packets would be used half of the time.
	requiredProbes = 2
	// minProbeGap bounds the probes of this host to all instances: with hundreds of cut paths, each use of one
	// would otherwise probe it.
	minProbeGap = 20 * time.Millisecond
	// unreachableTime is how long no peer is asked for an instance that neither this host nor a peer reached.
	unreachableTime = 500 * time.Millisecond
)

// Mode says how to connect to an instance.
type Mode int

const (
	// Direct: the path works, as far as is known.
	Direct Mode = iota
	// Doubtful: another path was found to be cut, and this one has not shown a sign of life since.
	Doubtful
	// Relayed: the path is cut.
	Relayed
)

// path is what is known of the path to one address.
type path struct {
	cut bool
	// aliveAt is when an instance last responded over a direct connection.
	aliveAt time.Time
	// probes counts the direct connections in a row that succeeded while the path was cut; nextProbeAt is the
	// earliest time of the next one.
	probes      int
	nextProbeAt time.Time
	// unreachableAt is when neither this host nor a peer could connect.
	unreachableAt time.Time
}

// table holds the paths of this host by address. It is safe for concurrent use.
type table struct {
	mu    sync.Mutex
	paths map[string]*path
	// cutCount is the number of cut paths. cutFoundAt is when the last one was found.
	cutCount    int
	cutFoundAt  time.Time
	nextProbeAt time.Time
}

func newTable() *table { return &table{paths: map[string]*path{}} }

// get returns the path to an address. The caller holds the lock.
func (t *table) get(address string) *path {
	p := t.paths[address]
	if p == nil {
		p = &path{}
		t.paths[address] = p
	}
	return p
}

// mode returns how to connect to an address.
func (t *table) mode(address string, now time.Time) Mode {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	switch {
	case p != nil && p.cut:
		return Relayed
	case t.cutFoundAt.IsZero() || now.Sub(t.cutFoundAt) > doubtTime:
		return Direct
	case p == nil || p.aliveAt.Before(t.cutFoundAt):
		return Doubtful
	}
	return Direct
}

// recordAlive records that an instance responded over a direct connection that was open already. A cut path
// stays cut: open connections may go on working while new ones fail.
func (t *table) recordAlive(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(address).aliveAt = now
}

// aliveSince reports whether an instance responded over a direct connection at or after a time.
func (t *table) aliveSince(address string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	return p != nil && !p.aliveAt.Before(since)
}

// recordConnected records a new direct connection. It returns true if the path was cut and is used again from now on.
func (t *table) recordConnected(address string, now time.Time) (regained bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.get(address)
	p.aliveAt, p.unreachableAt = now, time.Time{}
	if !p.cut {
		return false
	}
	if p.probes++; p.probes < requiredProbes {
		return false
	}
	p.cut, p.probes = false, 0
	t.cutCount--
	return true
}

// recordCut records that a direct connection failed while a peer's succeeded. It returns true if the path was not
// known to be cut.
func (t *table) recordCut(address string, now time.Time) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.get(address)
	p.probes, p.nextProbeAt, p.unreachableAt = 0, now.Add(probeInterval), time.Time{}
	if p.cut {
		return false
	}
	p.cut = true
	t.cutCount++
	t.cutFoundAt = now
	return true
}

// recordUnreachable records that neither this host nor a peer could connect.
func (t *table) recordUnreachable(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(address).unreachableAt = now
}

// mayAskPeers reports whether a peer may succeed where this host fails.
func (t *table) mayAskPeers(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	return p == nil || p.unreachableAt.IsZero() || now.Sub(p.unreachableAt) > unreachableTime
}

// takeProbe reports whether a direct connection should be tried now on a cut path.
func (t *table) takeProbe(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	if p == nil || !p.cut || now.Before(p.nextProbeAt) || now.Before(t.nextProbeAt) {
		return false
	}
	p.nextProbeAt, t.nextProbeAt = now.Add(probeInterval), now.Add(minProbeGap)
	return true
}

// recordProbeFailed records that a direct connection failed on a cut path.
func (t *table) recordProbeFailed(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(address).probes = 0
}

// counts returns the number of cut paths and of all known ones.
func (t *table) counts() (cut, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutCount, len(t.paths)
}

// retain drops the paths to all addresses for which keep returns false.
func (t *table) retain(keep func(address string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, p := range t.paths {
		if keep(address) {
			continue
		}
		if p.cut {
			t.cutCount--
		}
		delete(t.paths, address)
	}
}
