package feed

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/objstore"
)

func object(key string, version int) objstore.Object {
	return objstore.Object{Key: key, Version: objstore.Version(version)}
}

func keys(u Update) []string {
	var out []string
	for _, e := range u.Events {
		text := fmt.Sprint(e.Object.Key, e.Object.Version)
		if e.Deleted {
			text += "-"
		}
		out = append(out, text)
	}
	return out
}

func TestFollowerReceivesMissingChanges(t *testing.T) {
	f := New("r1")
	f.Put(object("a", 1))
	f.Put(object("b", 2))
	first, changed := f.Since(Position{})
	require.True(t, first.Full)
	require.Equal(t, []string{"a1", "b2"}, keys(first))

	f.Put(object("a", 3))
	f.Put(object("a", 4))
	f.Remove("b")
	f.Remove("never added")
	<-changed
	next, _ := f.Since(first.Position)
	require.False(t, next.Full)
	require.Equal(t, []string{"a4", "b2-"}, keys(next), "each object once, in its current version")
	none, _ := f.Since(next.Position)
	require.Empty(t, none.Events)

	other, _ := f.Since(Position{RunID: "r0", Sequence: 5})
	require.True(t, other.Full, "positions of another run are not comparable")
	require.Equal(t, []string{"a4"}, keys(other))
}

// TestRemovalsAreForgotten checks that a follower whose position is older than the forgotten removals
// receives a full update.
func TestRemovalsAreForgotten(t *testing.T) {
	f := New("r1")
	f.Put(object("stays", 1))
	old, _ := f.Since(Position{})
	for n := range 2 * maxRemoved {
		key := fmt.Sprint(n)
		f.Put(object(key, n))
		f.Remove(key)
	}
	u, _ := f.Since(old.Position)
	require.True(t, u.Full)
	require.Equal(t, []string{"stays1"}, keys(u))
	require.Len(t, f.changes, maxRemoved+1)
}

// TestCostOfPollDependsOnChangesOnly has followers of feeds with 100 and with 10,000 objects poll after one change. In
// both cases only this change may be examined.
func TestCostOfPollDependsOnChangesOnly(t *testing.T) {
	for _, objects := range []int{100, 10_000} {
		f := feedOf(objects)
		all, _ := f.Since(Position{})
		require.Len(t, all.Events, objects)
		f.Put(object("0", objects+1))
		require.Len(t, f.after(all.Position.Sequence), 1)
		u, _ := f.Since(all.Position)
		require.Equal(t, []string{fmt.Sprint("0", objects+1)}, keys(u))
	}
}

// TestReplacedChangesAreDropped changes one object many times.
func TestReplacedChangesAreDropped(t *testing.T) {
	f := feedOf(10)
	start, _ := f.Since(Position{})
	for n := range 10 * minCompactLength {
		f.Put(object("3", n))
	}
	require.LessOrEqual(t, len(f.log), minCompactLength)
	u, _ := f.Since(start.Position)
	require.Equal(t, []string{fmt.Sprint("3", 10*minCompactLength-1)}, keys(u))
}

func feedOf(objects int) *Feed {
	f := New("r1")
	for n := range objects {
		f.Put(object(fmt.Sprint(n), n))
	}
	return f
}

// BenchmarkSince polls for one change of a feed of 10,000 objects.
func BenchmarkSince(b *testing.B) {
	f := feedOf(10_000)
	all, _ := f.Since(Position{})
	f.Put(object("0", 10_001))
	for b.Loop() {
		f.Since(all.Position)
	}
}
