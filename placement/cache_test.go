package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
)

func TestPrefixCache(t *testing.T) {
	c := newPrefixCache()
	c.resize(1000) // 850 tokens
	a, b := Part{1, 300}, Part{2, 200}
	require.Zero(t, c.kept([]Part{a, b}))
	c.read([]Part{a, b}, 100)
	require.Equal(t, 500, c.kept([]Part{a, b}))
	require.Equal(t, 300, c.kept([]Part{a, {9, 50}}), "up to the first part that is not kept")
	require.Zero(t, c.kept([]Part{{9, 50}, b}), "a part is of use only with those before it")

	c.read([]Part{a, {3, 400}}, 100)
	require.Equal(t, 300, c.kept([]Part{a, b}), "what was unused for the longest time gives way, a was used again")
	require.Equal(t, 700, c.kept([]Part{a, {3, 400}}))
	require.LessOrEqual(t, c.used, 850)

	c.read(nil, 850)
	require.Zero(t, c.kept([]Part{a}))
	require.Empty(t, c.parts)
}

// TestOversizedPromptEmptiesTheCache checks that a prompt larger than the memory
// leaves a consistent belief.
func TestOversizedPromptEmptiesTheCache(t *testing.T) {
	c := newPrefixCache()
	c.resize(1000)
	c.read([]Part{{1, 5000}}, 10)
	require.Zero(t, c.used)
	require.Empty(t, c.parts)
	require.Zero(t, c.order.Len())
}

func TestSharedParts(t *testing.T) {
	require.Empty(t, partsOf(&engine.Call{}))
	require.Empty(t, partsOf(&engine.Call{Parts: []engine.Part{{ID: "own", Tokens: 5}}}))
	parts := partsOf(&engine.Call{Parts: []engine.Part{{ID: "a", Tokens: 5}, {ID: "b", Tokens: 6}, {ID: "own", Tokens: 7}}})
	require.Len(t, parts, 2)
	require.Equal(t, 5, parts[0].Tokens)
	require.Equal(t, 6, parts[1].Tokens)
	require.NotEqual(t, parts[0].ID, parts[1].ID)
}

// TestReadsAreToldOnce checks what other processes get for the number of the newest
// read that they have.
func TestReadsAreToldOnce(t *testing.T) {
	p := New("a", nil, nil)
	for n := range 3 {
		p.reads.add(Prefill{Instance: "i", UnsharedTokens: n}, time.Now())
	}
	all, last := p.PrefillsAfter(0)
	require.Len(t, all, 3)
	require.EqualValues(t, 3, last)
	fresh, _ := p.PrefillsAfter(2)
	require.Equal(t, []Prefill{{Instance: "i", UnsharedTokens: 2}}, fresh)
	none, _ := p.PrefillsAfter(3)
	require.Empty(t, none)
	again, _ := p.PrefillsAfter(99)
	require.Len(t, again, 3, "a number of an earlier run of this process")
	for n := range p.reads.recent {
		p.reads.recent[n].at = p.reads.recent[n].at.Add(-2 * logKept)
	}
	p.reads.add(Prefill{Instance: "i", UnsharedTokens: 3}, time.Now())
	late, _ := p.PrefillsAfter(0)
	require.Len(t, late, 1, "old reads are not kept")
}

// BenchmarkPrefixCache fills the cache of one engine of 305,000 tokens; the bytes are
// a bound on what is kept of it.
func BenchmarkPrefixCache(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		c := newPrefixCache()
		c.resize(305_000)
		for n := range uint64(60) {
			c.read([]Part{{1, 2520}, {2 + n, 3780}}, 2890)
		}
	}
}
