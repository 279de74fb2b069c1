// Package members maintains the list of rockdoor processes. A process registers through the
// object API, and the mirror distributes the list to all processes. Which members are alive is
// learned from heartbeats between a bounded number of gossip peers, so that the cost per process
// does not grow with the fleet.
package members

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/wallclock"
)

// KeyPrefix is the key prefix of the members of the completion service.
const KeyPrefix = "state/members/"

const (
	// GossipPeersPerProcess is how many gossip peers a process chooses. About as many others choose
	// it. In fleets of up to MaxFullMesh processes every process exchanges heartbeats with all others.
	GossipPeersPerProcess = 6
	MaxFullMesh           = 16
	// WatchersPerDomain is how many processes of a failure domain watch the store of the completion
	// service; see IsWatcher.
	WatchersPerDomain = 2
	// SchedulersPerDomain is how many processes of a failure domain schedule for the others in
	// a fleet of more than MaxFullMesh processes: one and a standby.
	SchedulersPerDomain = 2
	// MaxWatchers is the maximum number of schedulers that watch the store in such a fleet; the
	// other schedulers follow these.
	MaxWatchers = 3
)

// Member is the registration of one run of a process.
type Member struct {
	Name string `json:"name"`
	// Incarnation orders the runs of processes with the same name; it rises with each start.
	Incarnation string `json:"incarnation"`
	Host        string `json:"host"`
	Domain      string `json:"domain"`
	// Peer, Admin and Listen are the addresses of the process.
	Peer   string `json:"peer"`
	Admin  string `json:"admin"`
	Listen string `json:"listen"`
	// Weight is the capacity of the process to schedule for others, as a share of a CPU core.
	Weight float64 `json:"weight,omitempty"`
}

// NewIncarnation returns an incarnation that is greater than all earlier ones from hosts whose
// clocks agree to the millisecond.
func NewIncarnation() string {
	return ulid.MustNew(ulid.Timestamp(wallclock.Now()), ulid.DefaultEntropy()).String()
}

// StartedBefore reports whether m started more than the given time before other, as far as the
// clocks of their hosts agree.
func (m Member) StartedBefore(other Member, by time.Duration) bool {
	a, err := ulid.Parse(m.Incarnation)
	b, err2 := ulid.Parse(other.Incarnation)
	return err == nil && err2 == nil && a.Timestamp().Add(by).Before(b.Timestamp())
}

// Parse decodes registrations whose keys end in the members' names, sorted by name. Objects that
// cannot be decoded are skipped.
func Parse(objs []objstore.Object) []Member {
	var ms []Member
	for _, o := range objs {
		if m, ok := Decode(o); ok {
			ms = append(ms, m)
		}
	}
	slices.SortFunc(ms, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return ms
}

// Decode decodes one registration. It reports false if the object is not a valid one.
func Decode(o objstore.Object) (Member, bool) {
	var m Member
	err := json.Unmarshal(o.Value, &m)
	return m, err == nil && strings.HasSuffix(o.Key, "/"+m.Name)
}

// Names returns the names of the members, in the same order.
func Names(ms []Member) []string {
	out := make([]string, 0, len(ms))
	for _, m := range ms {
		out = append(out, m.Name)
	}
	return out
}

// Register writes self to the store under prefix. It replaces an earlier incarnation, and fails
// with Conflict if a later one is registered.
func Register(ctx context.Context, s objstore.Store, prefix string, self Member) error {
	value, err := json.Marshal(self)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "member cannot be encoded", "report this as a defect")
	}
	key := prefix + self.Name
	// Usually nothing is registered under the name, so that one call is enough.
	if _, err = s.Put(ctx, key, value, 0, self.Incarnation); err == nil {
		return nil
	}
	obj, err := s.Get(ctx, key)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	var old Member
	if err == nil && json.Unmarshal(obj.Value, &old) == nil {
		if old.Incarnation == self.Incarnation {
			return nil
		}
		if old.Incarnation > self.Incarnation {
			return fault.Newf(fault.Conflict, "stop one of the two processes or rename it",
				"a process named %s that started later is registered from %s", self.Name, old.Peer)
		}
	}
	_, err = objstore.PutSettled(ctx, s, key, value, obj.Version, self.Incarnation)
	return err
}

// Unregister removes the registration of m under prefix unless another incarnation has replaced
// it.
func Unregister(ctx context.Context, s objstore.Store, prefix string, m Member) error {
	obj, err := s.Get(ctx, prefix+m.Name)
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var current Member
	if json.Unmarshal(obj.Value, &current) == nil && current.Incarnation != m.Incarnation {
		return nil
	}
	return s.Delete(ctx, obj.Key, obj.Version)
}

// Contains reports whether one of the members has the given name.
func Contains(all []Member, name string) bool {
	return slices.ContainsFunc(all, func(m Member) bool { return m.Name == name })
}

// GossipPeers returns the gossip peers to which self sends heartbeats on its own initiative: all
// members of a small fleet, otherwise the GossipPeersPerProcess with the highest hash of the pair of
// names. The graph is random, so that updates reach all members in a few hops and the load is
// spread evenly.
func GossipPeers(all []Member, self string) []Member {
	others := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.Name == self })
	if len(all) <= MaxFullMesh {
		return others
	}
	slices.SortFunc(others, func(a, b Member) int {
		return cmp.Compare(pairScore(self, b.Name), pairScore(self, a.Name))
	})
	return others[:GossipPeersPerProcess]
}

func pairScore(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return xxhash.Sum64String(a + "\x00" + b)
}

// Rank returns how many of the other names have a higher hash with key than self. Processes that
// know the same names thus agree on who does a task without exchanging messages.
func Rank(key, self string, names []string) int {
	own, higher := xxhash.Sum64String(key+"\x00"+self), 0
	for _, n := range names {
		if n != self && xxhash.Sum64String(key+"\x00"+n) > own {
			higher++
		}
	}
	return higher
}

// IsWatcher reports whether self is one of the processes of its failure domain that watch the store
// of the completion service, given the members that are believed alive. Gateways use Watchers.
func IsWatcher(alive []Member, self Member) bool {
	var sameDomain []string
	for _, m := range alive {
		if m.Domain == self.Domain {
			sameDomain = append(sameDomain, m.Name)
		}
	}
	return Rank("watch", self.Name, sameDomain) < WatchersPerDomain
}

// Schedulers returns the members that schedule for the others, ordered by failure domain and
// preference: all members of a fleet of up to MaxFullMesh processes, otherwise the preferred
// SchedulersPerDomain of each failure domain. Preferred are those with the largest weight, and
// among equals those with the highest hash, so that processes that know the same members choose
// the same schedulers. Members for which excluded returns true are left out; excluded may be nil.
func Schedulers(all []Member, excluded func(name string) bool) []Member {
	candidates := slices.Clone(all)
	if excluded != nil {
		candidates = slices.DeleteFunc(candidates, func(m Member) bool { return excluded(m.Name) })
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), comparePreference(a, b))
	})
	if len(all) <= MaxFullMesh {
		return candidates
	}
	taken := map[string]int{}
	return slices.DeleteFunc(candidates, func(m Member) bool {
		taken[m.Domain]++
		return taken[m.Domain] > SchedulersPerDomain
	})
}

// comparePreference orders the members of a failure domain by how well they suit as schedulers.
func comparePreference(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(schedulerScore(b.Name), schedulerScore(a.Name)), cmp.Compare(a.Name, b.Name))
}

// IsSchedulerCandidate reports whether m would be a scheduler of a large fleet, given its current
// schedulers: fewer than SchedulersPerDomain of its failure domain are preferred to it.
func (m Member) IsSchedulerCandidate(schedulers []Member) bool {
	preferred := 0
	for _, s := range schedulers {
		if s.Domain == m.Domain && s.Name != m.Name && comparePreference(s, m) < 0 {
			preferred++
		}
	}
	return preferred < SchedulersPerDomain
}

// Watchers returns the schedulers that watch the store: all of them in a fleet of up to MaxFullMesh
// processes, otherwise up to MaxWatchers, in different failure domains if possible.
func Watchers(schedulers []Member, processes int) []Member {
	if processes <= MaxFullMesh {
		return schedulers
	}
	var first, second []Member
	for n, m := range schedulers {
		if n == 0 || schedulers[n-1].Domain != m.Domain {
			first = append(first, m)
		} else {
			second = append(second, m)
		}
	}
	for _, part := range [][]Member{first, second} {
		slices.SortFunc(part, func(a, b Member) int { return cmp.Compare(schedulerScore(b.Name), schedulerScore(a.Name)) })
	}
	out := append(first, second...)
	return out[:min(MaxWatchers, len(out))]
}

func schedulerScore(name string) uint64 { return xxhash.Sum64String("schedule\x00" + name) }

// Health is what a process believes about the state of a member.
type Health string

// States of a member.
const (
	// Unheard members are gossip peers from which no heartbeat has arrived yet.
	Unheard Health = "unheard"
	Alive   Health = "alive"
	// Presumed members are not gossip peers, and no process reports them unresponsive.
	Presumed Health = "presumed"
	// Suspected members have missed heartbeats. They may be paused or disconnected.
	Suspected Health = "suspected"
	// Leaving members have announced that they are shutting down.
	Leaving Health = "leaving"
)

// IsAlive reports whether the member is believed to serve requests.
func (h Health) IsAlive() bool { return h == Alive || h == Presumed }

// SuspectAfter is the number of heartbeat intervals without a heartbeat after which a member is
// suspected.
const SuspectAfter = 4

// HealthAt returns the health of a gossip peer whose last heartbeat has the given age.
func HealthAt(heard bool, age, interval time.Duration, leaving bool) Health {
	switch {
	case !heard:
		return Unheard
	case leaving:
		return Leaving
	case age > SuspectAfter*interval:
		return Suspected
	default:
		return Alive
	}
}
