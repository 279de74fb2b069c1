package mirror

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/objstore/memstore"
)

// Mirrors that follow the store or each other, in any order and with gaps, are exact as of their
// revision, which never goes back.
func TestMirrorsAreExactAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := memstore.New()
		expected := map[objstore.Revision]string{0: "[]"}
		mirrors := []*Mirror{New("s/"), New("s/"), New("s/")}
		refreshers := make([]*Refresher, len(mirrors))
		for i, m := range mirrors {
			refreshers[i] = NewRefresher(m, store, func() bool { return true }, log.NewNopLogger())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "mirror")
			before := mirrors[i].Revision()
			switch rapid.SampledFrom([]string{"write", "write", "delete", "read", "copy", "stale copy"}).Draw(t, "op") {
			case "write":
				key := fmt.Sprintf("s/%d", rapid.IntRange(0, 3).Draw(t, "key"))
				old, _ := store.Get(ctx, key)
				obj, err := store.Put(ctx, key, []byte(fmt.Sprint(len(expected))), old.Version, "")
				require.NoError(t, err)
				expected[objstore.Revision(obj.Version)] = contents(store)
			case "delete":
				if objs, rev, _ := store.List(ctx, "s/"); len(objs) > 0 {
					require.NoError(t, store.Delete(ctx, objs[0].Key, objs[0].Version))
					expected[rev+1] = contents(store)
				}
			case "read":
				require.NoError(t, refreshers[i].Refresh(ctx, 0))
			case "copy":
				from := mirrors[rapid.IntRange(0, 2).Draw(t, "from")]
				mirrors[i].Apply(from.Since(before))
			case "stale copy":
				from := mirrors[rapid.IntRange(0, 2).Draw(t, "from")]
				mirrors[i].Apply(from.Since(objstore.Revision(rapid.IntRange(-1, 5).Draw(t, "after"))))
			}
			if now := mirrors[i].Revision(); now < before {
				t.Fatalf("revision went back from %d to %d", before, now)
			} else if now != NoRevision && fmt.Sprint(values(mirrors[i].List("s/"))) != expected[now] {
				t.Fatalf("at revision %d the mirror holds %v, the store held %s", now, values(mirrors[i].List("s/")), expected[now])
			}
		}
	})
}

func contents(s *memstore.Store) string {
	objs, _, _ := s.List(context.Background(), "s/")
	return fmt.Sprint(values(objs))
}

func values(objs []objstore.Object) []string {
	out := []string{}
	for _, o := range objs {
		out = append(out, o.Key+"="+string(o.Value))
	}
	return out
}

func TestAgeComesOnlyFromConfirmations(t *testing.T) {
	m := New("s/")
	require.Equal(t, NeverConfirmed, m.Age())
	m.Apply(Delta{Revision: 5, Full: true, Age: NeverConfirmed})
	require.Equal(t, NeverConfirmed, m.Age(), "a snapshot without a confirmation")
	m.Confirm(4, 0)
	require.Equal(t, NeverConfirmed, m.Age(), "a confirmation of another revision")
	m.Confirm(5, time.Hour)
	require.GreaterOrEqual(t, m.Age(), time.Hour)
	m.Confirm(5, time.Minute)
	require.Less(t, m.Age(), 2*time.Minute)
	m.Confirm(5, time.Hour)
	require.Less(t, m.Age(), 2*time.Minute, "an older confirmation")
}

func TestWatchGapIsHealedByAList(t *testing.T) {
	ctx := context.Background()
	store := memstore.New()
	m := New("s/")
	r := NewRefresher(m, store, func() bool { return true }, log.NewNopLogger())
	require.NoError(t, r.Refresh(ctx, 0))
	v := objstore.Version(0)
	for range 5000 {
		obj, err := store.Put(ctx, "s/a", nil, v, "")
		require.NoError(t, err)
		v = obj.Version
	}
	require.NoError(t, r.Refresh(ctx, 0))
	require.EqualValues(t, 5000, m.Revision())
	require.Less(t, bootclock.Since(m.confirmedAt), time.Minute)
}
