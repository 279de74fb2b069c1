package resources

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSharesFit checks that the shares of a process add up to no more than its limits.
func TestSharesFit(t *testing.T) {
	for mb, descriptors := range map[float64]int{64: 600, 144: 1024, 184: 2000, 284: 4100, 4096: 100_000} {
		l := Limits{MemoryMB: mb, Descriptors: descriptors}
		peers, waiting := l.PeerDescriptors()
		require.Less(t, waiting, peers)
		require.Less(t, l.ClientDescriptors()+l.IdleDescriptors()+peers+2*l.OperatorDescriptors(), descriptors)
		connections := int64(l.ClientDescriptors()) * connectionMemory
		require.Less(t, l.Share(BodyShare)+l.Share(RelayShare)+l.HeadMemory()+connections, l.Share(GoShare))
	}
}

func TestDefaultsComeFromTheEnvironment(t *testing.T) {
	l := Detect(0, 0)
	require.Positive(t, l.MemoryMB)
	require.Positive(t, l.Descriptors)
	require.NotEqual(t, "settings", l.MemorySource)
	set := Detect(64, 10)
	require.Equal(t, Limits{MemoryMB: 64, MemorySource: "settings", Descriptors: 10}, set)
	require.Equal(t, l.Descriptors, Detect(64, 1<<30).Descriptors, "the limit of the system holds")
}
