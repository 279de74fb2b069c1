package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/objstore/memstore"
)

// cluster is a set of processes that hold claims. A property test draws which of
// their calls fail.
type cluster struct {
	t       *rapid.T
	objects *memstore.Store
	procs   map[string]*process // by name
	started int
	// partitions contains the pairs of processes, or of a process and "store", that are
	// partitioned from each other; see pair.
	partitions map[string]bool
	// suspected contains the processes that are alive but that the others consider dead.
	suspected map[string]bool
	// runs counts how often each key was run.
	runs map[string]int
}

type process struct {
	cluster    *cluster
	m          Member
	store      *Store
	reconciler *Reconciler
	claim      *Acquirer
	mirrored   objstore.Object // the mirror
	down       bool
}

const testWindow = time.Hour

func (w *cluster) start(i int) {
	w.started++
	name := fmt.Sprintf("p%d", i)
	p := &process{cluster: w, m: Member{name, fmt.Sprintf("%04d", w.started), fmt.Sprintf("d%d", i%3)}}
	p.store = NewStore(p.m, testWindow)
	p.claim = NewAcquirer(p.store, p)
	p.reconciler = NewReconciler(ReconcilerOptions{
		Store: p.store, Peers: p, Objects: p, Logger: log.NewNopLogger(), Live: w.live,
		Mirrored: func() (objstore.Object, bool) { return p.mirrored, p.mirrored.Version > 0 },
		// Every process may change the table, which tests more races than a single registrar.
		Registrar: func() bool { return true },
	})
	w.procs[name] = p
}

func (w *cluster) live() []Member {
	var out []Member
	for i := range 5 {
		if p := w.procs[fmt.Sprintf("p%d", i)]; p != nil && !p.down && !w.suspected[p.m.Name] {
			out = append(out, p.m)
		}
	}
	return out
}

func pair(a, b string) string { return min(a, b) + "|" + max(a, b) }

func (w *cluster) connected(from, to string) bool { return !w.partitions[pair(from, to)] }

// refresh copies the table from the store, as the mirror does in production.
func (p *process) refresh() {
	if !p.cluster.connected(p.m.Name, "store") {
		return
	}
	if obj, err := p.cluster.objects.Get(context.Background(), TableKey); err == nil {
		p.mirrored = obj
	}
}

func (p *process) peer(to Member) (*process, error) {
	other := p.cluster.procs[to.Name]
	if other == nil || other.down || other.m != to || !p.cluster.connected(p.m.Name, to.Name) {
		return nil, fault.New(fault.Unavailable, "member is unreachable", "")
	}
	return other, nil
}

func (p *process) Claim(_ context.Context, to Member, c Claim) (Reply, error) {
	other, err := p.peer(to)
	if err != nil {
		return Reply{}, err
	}
	reply := other.store.Claim(c)
	return reply, nil
}

func (p *process) Abandon(_ context.Context, to Member, c Claim) error {
	other, err := p.peer(to)
	if err == nil {
		other.store.Abandon(c)
	}
	return err
}

func (p *process) Page(_ context.Context, to Member, shard int, epoch int64, after string) ([]Record, bool, bool, error) {
	other, err := p.peer(to)
	if err != nil {
		return nil, false, false, err
	}
	page, more, ready := other.store.Page(shard, epoch, after)
	return page, more, ready, nil
}

// The following methods implement objstore.Store, as far as writing the table needs it.

func (p *process) Put(ctx context.Context, key string, value []byte, v objstore.Version, id string) (objstore.Object, error) {
	if !p.cluster.connected(p.m.Name, "store") {
		return objstore.Object{}, fault.New(fault.Unavailable, "cut", "")
	}
	return p.cluster.objects.Put(ctx, key, value, v, id)
}
func (p *process) Get(ctx context.Context, key string) (objstore.Object, error) {
	return p.cluster.objects.Get(ctx, key)
}
func (p *process) List(context.Context, string) ([]objstore.Object, objstore.Revision, error) {
	panic("not used")
}
func (p *process) Delete(context.Context, string, objstore.Version) error { panic("not used") }
func (p *process) Watch(context.Context, string, objstore.Revision, time.Duration) ([]objstore.Event, objstore.Revision, error) {
	panic("not used")
}

// acquisition claims a key in steps that the test schedules: the claim is sent to
// one holder at a time, and other events happen between the steps.
type acquisition struct {
	p      *process
	claim  Claim
	todo   []Holder
	grants int
	quorum int
}

// TestKeysRunAtMostOnce claims keys repeatedly while processes crash, restart and
// are partitioned and while the holders change. Each key must run at most once.
func TestKeysRunAtMostOnce(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &cluster{t: t, objects: memstore.New(), procs: map[string]*process{}, partitions: map[string]bool{}, suspected: map[string]bool{}, runs: map[string]int{}}
		for i := range 3 {
			w.start(i)
		}
		for range 6 { // enough rounds for all processes to hold their shards
			for i := range 3 {
				w.procs[fmt.Sprint("p", i)].refresh()
				w.procs[fmt.Sprint("p", i)].reconciler.Step(context.Background())
			}
		}
		var open []*acquisition
		name := func(label string) string {
			return fmt.Sprintf("p%d", rapid.IntRange(0, 4).Draw(t, label))
		}
		for n := range rapid.IntRange(20, 150).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"keep", "keep", "keep", "refresh", "refresh", "claim", "claim", "ask", "ask", "ask", "ask", "ask", "ask", "ask", "ask", "crash", "restart", "give up", "suspect", "cut", "heal"}).Draw(t, "step") {
			case "keep":
				if p := w.procs[name("p")]; p != nil && !p.down {
					p.reconciler.Step(context.Background())
				}
			case "refresh":
				if p := w.procs[name("p")]; p != nil && !p.down {
					p.refresh()
				}
			case "claim":
				if p := w.procs[name("p")]; p != nil && !p.down && p.store.Table() != nil {
					key := fmt.Sprintf("k%d", rapid.IntRange(0, 1).Draw(t, "key"))
					tb := p.store.Table()
					shard := tb.Shards[tb.ShardOf(key)]
					c := Claim{Key: key, Claimant: fmt.Sprint("c", n), Digest: "d", Process: p.m.Name, Epoch: shard.Epoch}
					open = append(open, &acquisition{p, c, shard.Holders, 0, Quorum(len(shard.Holders))})
				}
			case "ask":
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "acquisition")
					if !open[i].sendNext(w) {
						open = append(open[:i], open[i+1:]...)
					}
				}
			case "crash":
				if p := w.procs[name("p")]; p != nil {
					p.down = true
				}
			case "restart":
				i := rapid.IntRange(0, 4).Draw(t, "p")
				w.start(i)
			case "give up":
				if p := w.procs[name("p")]; p != nil && !p.down && p.store.Table() != nil {
					if next, changed := Next(p.store.Table(), w.live(), true); changed {
						_ = p.reconciler.writeTable(context.Background(), next)
					}
				}
			case "suspect":
				w.suspected[name("p")] = true
			case "cut":
				w.partitions[pair(name("a"), rapid.SampledFrom([]string{"store", "p0", "p1", "p2"}).Draw(t, "b"))] = true
			case "heal":
				clear(w.partitions)
				clear(w.suspected)
			}
		}
		for key, n := range w.runs {
			granted++
			if n > 1 {
				t.Fatalf("%s ran %d times", key, n)
			}
		}
	})
	t.Logf("%d keys ran", granted)
	require.Greater(t, granted, 20)
}

// sendNext sends the claim to the next holder. It returns false once the acquisition
// has ended.
func (a *acquisition) sendNext(w *cluster) bool {
	if a.p.down {
		return false // the claiming process crashed; its claims stay at the holders
	}
	if len(a.todo) == 0 {
		a.p.store.Abandon(a.claim)
		for _, h := range a.p.store.Table().Shards[a.p.store.Table().ShardOf(a.claim.Key)].Holders {
			_ = a.p.Abandon(context.Background(), h.Member, a.claim)
		}
		return false
	}
	reply := a.p.claim.sendClaim(context.Background(), a.todo[0].Member, a.claim)
	a.todo = a.todo[1:]
	if reply.Verdict == Granted {
		a.grants++
	}
	if a.grants >= a.quorum {
		w.runs[a.claim.Key]++
		return false
	}
	return true
}

func members(n int) []Member {
	ms := make([]Member, n)
	for i := range ms {
		ms[i] = Member{fmt.Sprintf("m%d", i), "1", fmt.Sprintf("d%d", i%3)}
	}
	return ms
}

func TestHoldersAreInDifferentDomainsAndBalanced(t *testing.T) {
	table, changed := Next(nil, members(9), false)
	require.True(t, changed)
	per := map[string]int{}
	for _, s := range table.Shards {
		domains := map[string]bool{}
		for _, h := range s.Holders {
			domains[h.Domain] = true
			per[h.Name]++
		}
		require.Len(t, domains, Replicas)
	}
	require.Len(t, per, 9)
	_, changed = Next(table, members(9), true)
	require.False(t, changed, "all holders are live")
}

func TestShardWithTwoLostHoldersIsResetOnlyIfAllowed(t *testing.T) {
	table, _ := Next(nil, members(3), false)
	live := append(members(3)[:1], Member{"x", "1", "d1"}, Member{"y", "1", "d2"})
	_, changed := Next(table, live, false)
	require.False(t, changed)
	fresh, changed := Next(table, live, true)
	require.True(t, changed)
	require.Equal(t, fresh.Shards[0].Epoch, fresh.Shards[0].ResetEpoch)
	s := NewStore(live[0], time.Hour)
	s.Adopt(table)
	c := Claim{Key: "k", Claimant: "a", Epoch: 1}
	require.Equal(t, Granted, s.Claim(c).Verdict)
	s.Adopt(fresh)
	c.Epoch = 2
	require.Equal(t, Abstain, s.Claim(c).Verdict, "lost claims may not have expired")
	s.Adopt(fresh.withoutResetMarks())
	require.Equal(t, Granted, s.Claim(c).Verdict)
}

func TestReplacementHolderAbstainsUntilSynced(t *testing.T) {
	table, _ := Next(nil, members(3), false)
	live := append(members(3)[:2], Member{"x", "1", "d2"})
	next, changed := Next(table, live, false)
	require.True(t, changed)
	s := next.Shards[0]
	require.EqualValues(t, 2, s.Epoch)
	require.Zero(t, s.ResetEpoch)
	x := NewStore(Member{"x", "1", "d2"}, time.Hour)
	x.Adopt(next)
	require.Equal(t, Abstain, x.Claim(Claim{Key: "k", Claimant: "a", Epoch: 2}).Verdict)
}

func TestVerdicts(t *testing.T) {
	m := members(1)
	table, _ := Next(nil, m, false)
	s := NewStore(m[0], time.Hour)
	c := Claim{Key: "k", Claimant: "a", Digest: "d", Process: "m0", Epoch: 1}
	require.Equal(t, Abstain, s.Claim(c).Verdict, "no table yet")
	s.Adopt(table)
	require.Equal(t, Granted, s.Claim(c).Verdict)
	require.Equal(t, Granted, s.Claim(c).Verdict, "repeated by the same claimant")
	other := c
	other.Claimant = "b"
	require.Equal(t, Reply{Seen, "a", "m0"}, s.Claim(other))
	other.Digest = "x"
	require.Equal(t, Mismatch, s.Claim(other).Verdict)
	s.Abandon(other)
	require.Equal(t, Mismatch, s.Claim(other).Verdict, "only the claimant can withdraw")
	s.Abandon(c)
	require.Equal(t, Abstain, s.Claim(c).Verdict, "a claim that arrives after its withdrawal")
	require.Equal(t, Granted, s.Claim(other).Verdict)
	other.Epoch = 7
	require.Equal(t, Abstain, s.Claim(other).Verdict, "another epoch")
	require.Equal(t, 1, s.ClaimCount())
}

func TestClaimsExpireAfterTheWindow(t *testing.T) {
	m := members(1)
	table, _ := Next(nil, m, false)
	s := NewStore(m[0], time.Nanosecond)
	s.Adopt(table)
	require.Equal(t, Granted, s.Claim(Claim{Key: "k", Claimant: "a", Epoch: 1}).Verdict)
	time.Sleep(time.Millisecond)
	require.Equal(t, Granted, s.Claim(Claim{Key: "k", Claimant: "b", Epoch: 1}).Verdict)
	time.Sleep(time.Millisecond)
	s.Expire()
	require.Zero(t, s.ClaimCount())
}

func TestKeyIsFreeOnlyWhenAllClaimsAreWithdrawn(t *testing.T) {
	m := members(1)
	table, _ := Next(nil, m, false)
	s := NewStore(m[0], time.Hour)
	s.Adopt(table)
	shard := table.ShardOf("k")
	require.True(t, s.Import(shard, 1, []Record{{Key: "k", Claimant: "a"}}))
	require.True(t, s.Import(shard, 1, []Record{{Key: "k", Claimant: "b"}}))
	s.Abandon(Claim{Key: "k", Claimant: "a", Epoch: 1})
	require.Equal(t, Seen, s.Claim(Claim{Key: "k", Claimant: "c", Epoch: 1}).Verdict)
	page, _, ready := s.Page(shard, 1, "")
	require.True(t, ready)
	require.Len(t, page, 1)
	s.Abandon(Claim{Key: "k", Claimant: "b", Epoch: 1})
	require.Equal(t, Granted, s.Claim(Claim{Key: "k", Claimant: "c", Epoch: 1}).Verdict)
}

func FuzzParseTable(f *testing.F) {
	table, _ := Next(nil, members(3), false)
	text, _ := json.Marshal(table)
	f.Add(text)
	f.Add([]byte(`{"shards": [{"epoch": -1}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		table, err := ParseTable(objstore.Object{Value: text})
		if err != nil || len(table.Shards) == 0 {
			return
		}
		s := NewStore(members(1)[0], time.Hour)
		s.Adopt(table)
		s.Claim(Claim{Key: "k", Claimant: "a", Epoch: 1})
		Next(table, members(2), true)
	})
}
