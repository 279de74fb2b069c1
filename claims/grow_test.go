package claims

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHolderLostWhileShardGrowsCausesNoReset covers a fleet that starts slowly: the table is
// created with two live members, and one of them fails while a third copies the
// claims. Both of the first two granted every claim, so the remaining one knows all
// of them and the shard must not be reset.
func TestHolderLostWhileShardGrowsCausesNoReset(t *testing.T) {
	a, b, c, d := Member{Name: "a", Domain: "1"}, Member{Name: "b", Domain: "2"}, Member{Name: "c", Domain: "3"}, Member{Name: "d", Domain: "2"}
	table, _ := Next(nil, []Member{a, b}, false)
	table, changed := Next(table, []Member{a, b, c}, false)
	require.True(t, changed)
	next, changed := Next(table, []Member{a, c, d}, false)
	require.True(t, changed, "the lost holder is replaced without a reset")
	shard := &next.Shards[0]
	require.NotNil(t, shard.holder(d))
	require.Equal(t, 1, shard.requiredSynced())

	synced := next.withSynced(c, map[int]int64{0: shard.Epoch}).withSynced(d, map[int]int64{0: shard.Epoch})
	require.Equal(t, 2, synced.Shards[0].requiredSynced(), "any two of three holders may grant a claim now")
	replaced, _ := Next(synced, []Member{a, c, b}, false)
	require.Equal(t, 2, replaced.Shards[0].requiredSynced(), "d may have granted claims with only one of the others")
	_, changed = nextShard(0, replaced.Shards[0], []Member{b, c}, false)
	require.False(t, changed, "too few synced holders remain")
}
