package confstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/objstore/memstore"
	"github.com/rockdoor/rockdoor/selector"
)

func testConfig() *config.Config {
	return &config.Config{
		Hosts: []config.Host{{Name: "h1", Domain: "d1"}, {Name: "h2", Domain: "d2"}},
		Pools: []config.Pool{{Name: "p"}},
		Engines: []config.Engine{
			{Name: "e1", Pool: "p", Host: "h1", Address: "10.0.0.1:80", State: config.Active},
			{Name: "e2", Pool: "p", Host: "h2", Address: "10.0.0.2:80", State: config.Active},
		},
	}
}

func load(t *testing.T, s objstore.Store, l *Loader) (StoredHead, *config.Config) {
	a, err := ReadHead(context.Background(), s)
	require.NoError(t, err)
	c, err := l.Load(context.Background(), a.Head)
	require.NoError(t, err)
	return a, c.Config
}

func TestOnlyChangedChunksAreWritten(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	c := testConfig()
	for i := range 38000 {
		c.Workspaces = append(c.Workspaces, config.Workspace{Name: fmt.Sprintf("workspace-%d", i), Keys: []string{fmt.Sprintf("%064x", i)}})
	}
	a, err := NewWriter(s).Apply(ctx, StoredHead{}, c, Change{Author: "t"})
	require.NoError(t, err)
	require.Less(t, len(a.Raw), 16<<10, "the head stays small")
	before := s.Calls()[memstore.OpPut]
	c.Workspaces[7].Weight = 2
	_, err = NewWriter(s).Apply(ctx, a, c, Change{Author: "t"})
	require.NoError(t, err)
	require.Equal(t, 3, s.Calls()[memstore.OpPut]-before, "one chunk, the old head, the new head")
	_, got := load(t, s, NewLoader(StoreSource(s)))
	require.Len(t, got.Workspaces, 38000)
}

func TestConcurrentEditsAllTakeEffect(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	_, err := NewWriter(s).Apply(ctx, StoredHead{}, testConfig(), Change{})
	require.NoError(t, err)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e := Edit{Kind: KindEngine, Name: fmt.Sprintf("e%d", i%2+1), SetLabels: selector.Labels{fmt.Sprintf("l%d", i): "x"}}
			_, err := NewWriter(s).EditAll(ctx, NewLoader(StoreSource(s)), []Edit{e}, Change{})
			require.NoError(t, err)
		}()
	}
	wg.Wait()
	a, c := load(t, s, NewLoader(StoreSource(s)))
	require.EqualValues(t, 9, a.Head.Revision)
	require.Len(t, c.Engines[0].Labels, 4)
	require.Len(t, c.Engines[1].Labels, 4)
}

func TestInvalidEditsChangeNothing(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	_, err := NewWriter(s).Apply(ctx, StoredHead{}, testConfig(), Change{})
	require.NoError(t, err)
	for _, e := range []Edit{
		{Kind: KindEngine, Name: "e9"},
		{Kind: "door", Name: "e1"},
		{Kind: KindEngine, Name: "e1", Host: "h9"},
		{Kind: KindEngine, Name: "e1", SetLabels: selector.Labels{"domain": "x"}},
	} {
		_, err := NewWriter(s).EditAll(ctx, NewLoader(StoreSource(s)), []Edit{{Kind: KindEngine, Name: "e2", State: config.Draining}, e}, Change{})
		require.Error(t, err)
	}
	a, c := load(t, s, NewLoader(StoreSource(s)))
	require.EqualValues(t, 1, a.Head.Revision)
	require.Equal(t, config.Active, c.Engines[1].State)
}

func TestDamagedChunkIsFetchedFromNextSource(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	a, err := NewWriter(s).Apply(ctx, StoredHead{}, testConfig(), Change{})
	require.NoError(t, err)
	damaged := func(context.Context, string) ([]byte, error) { return []byte(`{"pools": []}`), nil }
	c, err := NewLoader(damaged, StoreSource(s)).Load(ctx, a.Head)
	require.NoError(t, err)
	require.Len(t, c.Config.Engines, 2)
	_, err = NewLoader(damaged).Load(ctx, a.Head)
	require.True(t, fault.Is(err, fault.Unavailable))
}

// The model of the history: the state is the current revision. An accepted change
// moves it from the change's base to the next revision, a conflict means that the
// base was already superseded, and an unknown outcome may be either.
type (
	historyInput struct {
		read bool
		base int64
	}
	historyOutput struct {
		revision int64
		kind     fault.Kind
	}
)

var historyModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(int64), input.(historyInput), output.(historyOutput)
		switch {
		case in.read:
			return out.revision == now, now
		case out.kind == "":
			return now == in.base, now + 1
		case out.kind == fault.Conflict:
			return now > in.base, now
		case out.kind == fault.Unavailable:
			return true, now
		default: // unknown: the change takes effect here if its base is current
			if now == in.base {
				return true, now + 1
			}
			return true, now
		}
	},
	Equal: func(a, b any) bool { return a.(int64) == b.(int64) },
}

// TestHistoriesOfRacingOperatorsAreLinearizable has operators change the
// configuration concurrently while puts of the head fail in every way that
// memstore offers. Each history must be explained by one order of accepted changes.
func TestHistoriesOfRacingOperatorsAreLinearizable(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	unknown, accepted := 0, 0
	const histories = 60
	for h := range histories {
		ops := raceOperators(t, seed+uint64(h))
		for _, op := range ops {
			out := op.Output.(historyOutput)
			if out.kind == fault.Unknown {
				unknown++
			} else if !op.Input.(historyInput).read && out.kind == "" {
				accepted++
			}
		}
		res := porcupine.CheckOperationsTimeout(historyModel, ops, 20*time.Second)
		require.Equal(t, porcupine.Ok, res, "seed %d", seed+uint64(h))
	}
	t.Logf("%d histories, %d accepted, %d unknown", histories, accepted, unknown)
	require.Positive(t, accepted)
}

func raceOperators(t *testing.T, seed uint64) []porcupine.Operation {
	s := memstore.New()
	var rngMu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	s.FailWith(func(op memstore.Op, key string) memstore.Failure {
		rngMu.Lock()
		defer rngMu.Unlock()
		if op != memstore.OpPut || key != HeadKey || rng.IntN(2) == 0 {
			return memstore.NoFailure
		}
		return memstore.Failure(1 + rng.IntN(3))
	})
	var mu sync.Mutex
	var ops []porcupine.Operation
	record := func(client int, start time.Time, in historyInput, out historyOutput) {
		end := time.Now().UnixNano()
		if out.kind == fault.Unknown {
			end = time.Now().Add(time.Hour).UnixNano() // the change may still take effect
		}
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: start.UnixNano(), Output: out, Return: end})
	}
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 5 {
				start := time.Now()
				base, err := ReadHead(context.Background(), s)
				if err != nil {
					continue
				}
				record(client, start, historyInput{read: true}, historyOutput{revision: base.Head.Revision})
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
				start = time.Now()
				_, err = NewWriter(s).Apply(ctx, base, testConfig(), Change{ID: fmt.Sprintf("%d-%d", client, n)})
				cancel()
				out := historyOutput{}
				if err != nil {
					out.kind = fault.KindOf(err)
				}
				record(client, start, historyInput{base: base.Head.Revision}, out)
			}
		}()
	}
	wg.Wait()
	return ops
}
