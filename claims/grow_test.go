package claims

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHolderIsLostWhileAShardGrows has a fleet start slowly: the table is made when two
// members live, and one of them goes while the third copies. Every claim was granted by
// both of the first two, so the other one knows them all and nothing is lost.
func TestHolderIsLostWhileAShardGrows(t *testing.T) {
	a, b, c, d := Member{Name: "a", Domain: "1"}, Member{Name: "b", Domain: "2"}, Member{Name: "c", Domain: "3"}, Member{Name: "d", Domain: "2"}
	table, _ := Next(nil, []Member{a, b}, false)
	table, changed := Next(table, []Member{a, b, c}, false)
	require.True(t, changed)
	next, changed := Next(table, []Member{a, c, d}, false)
	require.True(t, changed, "the lost holder is replaced, nothing starts afresh")
	shard := &next.Shards[0]
	require.NotNil(t, shard.holder(d))
	require.Equal(t, 1, shard.remain())

	synced := next.withSynced(c, map[int]int64{0: shard.Epoch}).withSynced(d, map[int]int64{0: shard.Epoch})
	require.Equal(t, 2, synced.Shards[0].remain(), "from now on any two of three may grant")
	replaced, _ := Next(synced, []Member{a, c, b}, false)
	require.Equal(t, 2, replaced.Shards[0].remain(), "claims that d granted with one of the others")
	_, changed = nextShard(0, replaced.Shards[0], []Member{b, c}, false)
	require.False(t, changed, "too few know all claims")
}
