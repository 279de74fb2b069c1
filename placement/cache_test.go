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
	require.Zero(t, c.cachedTokens([]Part{a, b}))
	c.add([]Part{a, b}, 100)
	require.Equal(t, 500, c.cachedTokens([]Part{a, b}))
	require.Equal(t, 300, c.cachedTokens([]Part{a, {9, 50}}), "up to the first part that is not cached")
	require.Zero(t, c.cachedTokens([]Part{{9, 50}, b}), "a part is usable only with all parts before it")

	c.add([]Part{a, {3, 400}}, 100)
	require.Equal(t, 300, c.cachedTokens([]Part{a, b}), "the least recently used part was evicted, a was used again")
	require.Equal(t, 700, c.cachedTokens([]Part{a, {3, 400}}))
	require.LessOrEqual(t, c.used, 850)

	c.add(nil, 850)
	require.Zero(t, c.cachedTokens([]Part{a}))
	require.Empty(t, c.parts)
}

// TestOversizedPromptEmptiesPrefixCache checks that the cache stays consistent after a prompt that
// is larger than the engine's memory.
func TestOversizedPromptEmptiesPrefixCache(t *testing.T) {
	c := newPrefixCache()
	c.resize(1000)
	c.add([]Part{{1, 5000}}, 10)
	require.Zero(t, c.used)
	require.Empty(t, c.parts)
	require.Zero(t, c.order.Len())
}

func TestSharedParts(t *testing.T) {
	require.Empty(t, sharedParts(&engine.Call{}))
	require.Empty(t, sharedParts(&engine.Call{Parts: []engine.Part{{ID: "own", Tokens: 5}}}))
	parts := sharedParts(&engine.Call{Parts: []engine.Part{{ID: "a", Tokens: 5}, {ID: "b", Tokens: 6}, {ID: "own", Tokens: 7}}})
	require.Len(t, parts, 2)
	require.Equal(t, 5, parts[0].Tokens)
	require.Equal(t, 6, parts[1].Tokens)
	require.NotEqual(t, parts[0].ID, parts[1].ID)
}

// TestPrefillsAfterReturnsEachEntryOnce checks which prefills another process gets for the number of
// the newest one that it has.
func TestPrefillsAfterReturnsEachEntryOnce(t *testing.T) {
	p := New("a", nil, nil)
	for n := range 3 {
		p.prefillLog.add(Prefill{Instance: "i", UnsharedTokens: n}, time.Now())
	}
	all, last := p.PrefillsAfter(0)
	require.Len(t, all, 3)
	require.EqualValues(t, 3, last)
	fresh, _ := p.PrefillsAfter(2)
	require.Equal(t, []Prefill{{Instance: "i", UnsharedTokens: 2}}, fresh)
	none, _ := p.PrefillsAfter(3)
	require.Empty(t, none)
	again, _ := p.PrefillsAfter(99)
	require.Len(t, again, 3, "the number is from an earlier run of this process")
	for n := range p.prefillLog.recent {
		p.prefillLog.recent[n].at = p.prefillLog.recent[n].at.Add(-2 * prefillLogRetention)
	}
	p.prefillLog.add(Prefill{Instance: "i", UnsharedTokens: 3}, time.Now())
	late, _ := p.PrefillsAfter(0)
	require.Len(t, late, 1, "old entries are dropped")
}

// BenchmarkPrefixCache fills the cache of an engine with 305,000 tokens. The allocated bytes bound
// the memory of the model.
func BenchmarkPrefixCache(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		c := newPrefixCache()
		c.resize(305_000)
		for n := range uint64(60) {
			c.add([]Part{{1, 2520}, {2 + n, 3780}}, 2890)
		}
	}
}

// TestPrefixCacheIsBoundedInEntries has clients send prompts of many parts of few tokens or none.
func TestPrefixCacheIsBoundedInEntries(t *testing.T) {
	c := newPrefixCache()
	c.resize(1 << 30)
	c.limitEntries(1000)
	for n := range uint64(4 * minCacheEntries) {
		c.add([]Part{{n, 0}, {1 << 40, 3}}, 0)
	}
	require.Equal(t, minCacheEntries, c.order.Len())
	require.Len(t, c.parts, minCacheEntries)
	require.Equal(t, 3, c.cachedTokens([]Part{{1 << 40, 3}}), "what is used is kept")
	c.add([]Part{{7, 5}}, 0)
	require.LessOrEqual(t, c.used, 8)
}

// TestPrefillLogIsBoundedInParts has clients send prompts of thousands of parts. The message with all entries must not become
// larger than a message may be.
func TestPrefillLogIsBoundedInParts(t *testing.T) {
	p := New("a", nil, nil)
	for range 20 {
		p.prefillLog.add(Prefill{Instance: "i", Parts: make([]Part, maxLoggedParts/4)}, time.Now())
	}
	all, last := p.PrefillsAfter(0)
	require.Len(t, all, 4)
	require.EqualValues(t, 20, last)
	p.prefillLog.add(Prefill{Instance: "i", Parts: make([]Part, 2*maxLoggedParts)}, time.Now())
	none, last := p.PrefillsAfter(0)
	require.Empty(t, none)
	require.EqualValues(t, 21, last)
}
