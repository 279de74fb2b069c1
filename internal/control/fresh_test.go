package control

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/confstore"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/mirror"
	"github.com/rockdoor/rockdoor/objstore"
)

// A process is paused beyond its staleness limit, then receives the head of a newer configuration
// that it has not loaded yet. It must not become fresh: its mirror is current, but it still serves
// under the old configuration. In one of four runs of all tests, a real process served under
// revision 1 although revision 2 was required.
func TestProcessWithPendingConfigIsNotFresh(t *testing.T) {
	const staleAfter = 150 * time.Millisecond
	for name, c := range map[string]struct {
		// next is the newer configuration, err is the error of its load, and fresh tells whether
		// the process must become fresh.
		next  string
		err   error
		fresh bool
	}{
		"while the load is in progress":         {`{"hosts": [ ]}`, nil, false},
		"while no source has the configuration": {`{"hosts": [ ]}`, fault.New(fault.Unavailable, "no peer has it", "wait"), false},
		"an invalid configuration is skipped":   {`{"hosts": [{"name": ""}]}`, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			part := []byte(`{"hosts": []}`)
			loads := 0
			loader := confstore.NewLoader(func(ctx context.Context, digest string) ([]byte, error) {
				if loads++; loads == 1 {
					return part, nil
				}
				if c.err != nil || c.fresh {
					return []byte(c.next), c.err
				}
				select {
				case <-release:
				case <-ctx.Done():
				}
				return nil, fault.New(fault.Unavailable, "too late", "none")
			})
			m := mirror.New("state/")
			l := New(Options{Self: members.Member{Name: "a"}, Mirror: m, Loader: loader, Heartbeat: 50 * time.Millisecond, StaleAfter: staleAfter, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); _ = l.Run(ctx) }()
			t.Cleanup(func() { close(release); cancel(); <-done })
			head := func(revision int64, chunk []byte) mirror.Delta {
				d := mirror.Delta{Revision: objstore.Revision(revision), Full: true}
				add := func(key string, value any) {
					text, err := json.Marshal(value)
					require.NoError(t, err)
					d.Events = append(d.Events, objstore.Event{
						Object: objstore.Object{Key: key, Value: text, Version: objstore.Version(revision)}, Revision: objstore.Revision(revision),
					})
				}
				add(confstore.HeadKey, confstore.Head{Revision: revision, Chunks: []confstore.Ref{{Digest: confstore.Digest(chunk)}}})
				for _, name := range []string{"a", "b", "c"} {
					add(members.KeyPrefix+name, members.Member{Name: name, Incarnation: name})
				}
				return d
			}
			m.Apply(head(1, part))
			require.Eventually(t, func() bool { return l.Snapshot().Revision == 1 && l.Snapshot().Fresh() }, time.Second, time.Millisecond)
			require.Eventually(t, func() bool { return !l.Snapshot().Fresh() }, time.Second, time.Millisecond, "paused")
			m.Apply(head(2, []byte(c.next)))
			fresh := false
			for end := time.Now().Add(time.Second); time.Now().Before(end) && !fresh; {
				m.Confirm(2, 0)
				fresh = l.Snapshot().Fresh()
				time.Sleep(time.Millisecond)
			}
			require.Equal(t, c.fresh, fresh, "with revision %d in force", l.Snapshot().Revision)
		})
	}
}
