// Package members keeps the list of rockdoor processes. A process registers
// through the object API; the list reaches everybody by the mirror. Who is
// alive is learned from heartbeats between a bounded number of neighbours, so
// the cost per process does not grow with the fleet.
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

// KeyPrefix is where the members of the completion service register.
const KeyPrefix = "state/members/"

const (
	// GossipPeersPerProcess is how many neighbours a process chooses; it is chosen by
	// about as many others. Fleets of up to FullMesh processes all meet.
	GossipPeersPerProcess = 6
	MaxFullMesh           = 16
	// WatchersPerDomain is how many processes of a failure domain watch the store.
	WatchersPerDomain = 2
	// SchedulersPerDomain is how many processes of a failure domain work for the others of
	// a fleet of more than FullMesh: one, and one that stands by.
	SchedulersPerDomain = 2
	// MaxWatchers is how many of them watch the store; the others follow these.
	MaxWatchers = 3
)

// Member is the registration of one run of a process.
type Member struct {
	Name string `json:"name"`
	// Incarnation orders the runs of one name; it rises with each start.
	Incarnation string `json:"incarnation"`
	Host        string `json:"host"`
	Domain      string `json:"domain"`
	// Peer, Admin and Listen are the addresses of the process.
	Peer   string `json:"peer"`
	Admin  string `json:"admin"`
	Listen string `json:"listen"`
	// Weight is how much work the process can take on for others, in shares of a core.
	Weight float64 `json:"weight,omitempty"`
}

// NewIncarnation returns an incarnation that is later than all earlier ones of
// hosts whose clocks agree to the millisecond.
func NewIncarnation() string {
	return ulid.MustNew(ulid.Timestamp(wallclock.Now()), ulid.DefaultEntropy()).String()
}

// StartedBefore reports whether m started that much before other, as far as the clocks of
// their hosts agree.
func (m Member) StartedBefore(other Member, by time.Duration) bool {
	a, err := ulid.Parse(m.Incarnation)
	b, err2 := ulid.Parse(other.Incarnation)
	return err == nil && err2 == nil && a.Timestamp().Add(by).Before(b.Timestamp())
}

// Parse reads registrations from objects whose keys end in their names, ordered
// by name.
// Objects that cannot be read are skipped.
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

// Decode reads one registration. It reports false if the object is none.
func Decode(o objstore.Object) (Member, bool) {
	var m Member
	err := json.Unmarshal(o.Value, &m)
	return m, err == nil && strings.HasSuffix(o.Key, "/"+m.Name)
}

// Names returns the names of members in their order.
func Names(ms []Member) []string {
	out := make([]string, 0, len(ms))
	for _, m := range ms {
		out = append(out, m.Name)
	}
	return out
}

// Register writes self to the store, below prefix. It replaces an earlier incarnation and
// fails with Conflict if a later one is registered.
func Register(ctx context.Context, s objstore.Store, prefix string, self Member) error {
	value, err := json.Marshal(self)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "member cannot be encoded", "report this as a defect")
	}
	key := prefix + self.Name
	// Most often nothing is registered under the name, and one call is enough.
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
			return fault.Newf(fault.Conflict, "stop one of the two processes or give it another name",
				"a later process named %s is registered from %s", self.Name, old.Peer)
		}
	}
	_, err = objstore.PutSettled(ctx, s, key, value, obj.Version, self.Incarnation)
	return err
}

// Unregister removes the registration of m below prefix if it is still the one
// in force.
func Unregister(ctx context.Context, s objstore.Store, prefix string, m Member) error {
	obj, err := s.Get(ctx, prefix+m.Name)
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var now Member
	if json.Unmarshal(obj.Value, &now) == nil && now.Incarnation != m.Incarnation {
		return nil
	}
	return s.Delete(ctx, obj.Key, obj.Version)
}

// Contains reports whether one of the members has a name.
func Contains(all []Member, name string) bool {
	return slices.ContainsFunc(all, func(m Member) bool { return m.Name == name })
}

// GossipPeers returns the members that self exchanges heartbeats with on its own
// initiative: all of a small fleet, else the NeighboursEach with the highest
// hash of the pair. The graph is random and differs at every process, so news
// reaches all in a few hops and no process has more to do than another.
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

// Rank returns how many of the names have a higher hash with key than self has.
// Processes that know the same names so agree on who does what, without a word.
func Rank(key, self string, names []string) int {
	mine, higher := xxhash.Sum64String(key+"\x00"+self), 0
	for _, n := range names {
		if n != self && xxhash.Sum64String(key+"\x00"+n) > mine {
			higher++
		}
	}
	return higher
}

// IsWatcher reports whether self is one of the watchers of its failure domain,
// given the members that are believed alive.
func IsWatcher(alive []Member, self Member) bool {
	var near []string
	for _, m := range alive {
		if m.Domain == self.Domain {
			near = append(near, m.Name)
		}
	}
	return Rank("watch", self.Name, near) < WatchersPerDomain
}

// Schedulers returns the members that work for the others, ordered by failure domain and
// preference: all of a fleet of up to FullMesh, else in each domain those with the largest
// weight, and among equals those with the highest hash, so that all that know the same
// members name the same ones. Members for which passOver holds are left out; nil leaves
// none out.
func Schedulers(all []Member, passOver func(name string) bool) []Member {
	candidates := slices.Clone(all)
	if passOver != nil {
		candidates = slices.DeleteFunc(candidates, func(m Member) bool { return passOver(m.Name) })
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), preferred(a, b))
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

// preferred orders members of a failure domain by who is to work for the others first.
func preferred(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(scheduleScore(b.Name), scheduleScore(a.Name)), cmp.Compare(a.Name, b.Name))
}

// IsSchedulerCandidate reports whether a member is one of those that work for the others in a large fleet, if
// schedulers do now: it is one of them, goes before one of its failure domain, or these are too few.
func (m Member) IsSchedulerCandidate(schedulers []Member) bool {
	before := 0
	for _, s := range schedulers {
		if s.Domain == m.Domain && s.Name != m.Name && preferred(s, m) < 0 {
			before++
		}
	}
	return before < SchedulersPerDomain
}

// Watchers returns those of the schedulers that watch the store: all of a fleet of up to
// FullMesh processes, else a few, in different failure domains as far as there are any.
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
		slices.SortFunc(part, func(a, b Member) int { return cmp.Compare(scheduleScore(b.Name), scheduleScore(a.Name)) })
	}
	out := append(first, second...)
	return out[:min(MaxWatchers, len(out))]
}

func scheduleScore(name string) uint64 { return xxhash.Sum64String("schedule\x00" + name) }

// Health is what a process believes about a member.
type Health string

// Healths of a member.
const (
	// Unheard members are neighbours that have not been heard yet.
	Unheard Health = "unheard"
	Alive   Health = "alive"
	// Presumed members are no neighbours; nobody says that they are silent.
	Presumed Health = "presumed"
	// Suspected members have missed heartbeats. They may be paused or cut off.
	Suspected Health = "suspected"
	// Leaving members have said that they stop.
	Leaving Health = "leaving"
)

// IsAlive reports whether a member is believed to serve.
func (h Health) IsAlive() bool { return h == Alive || h == Presumed }

// SuspectAfter is how many heartbeat intervals may pass without word.
const SuspectAfter = 4

// HealthAt returns the health of a member last heard at the given age.
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
