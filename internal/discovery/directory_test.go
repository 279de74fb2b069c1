package discovery_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/platform"
)

// noMemberLists is a store that rejects lists of the members.
type noMemberLists struct{ http.Handler }

func (n noMemberLists) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && strings.HasSuffix(r.URL.Path, "/rockdoor-members") {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.Handler.ServeHTTP(w, r)
}

func setDirectory(fake *fleetstore.Server, text string) {
	fake.Set("rockdoor-directory", "main", map[string]any{"write": "w", "value": json.RawMessage(text)})
}

// TestJoinFromDirectoryWithoutMemberList has a process start while the store fails lists of the
// members, as a store does that 985 processes ask for 985 members at once. The directory names the schedulers.
func TestJoinFromDirectoryWithoutMemberList(t *testing.T) {
	fake := fleetstore.New()
	setDirectory(fake, `{"processes": 985, "instances": 10003, "watchers": ["other"], "schedulers": [
		{"name": "other", "domain": "a", "peer": "10.0.0.9:1", "weight": 1}, {"name": "other-2", "domain": "a", "peer": "10.0.0.8:1", "weight": 1}]}`)
	relay := newFakeRelay()
	view := startOn(t, noMemberLists{fake}, relay)
	sendUpdate(relay, true, 10, registered("i-1", 5), configAt(1))
	eventually(t, func() bool { return view().Ready() && view().Accepts("s", "i-1") })
	require.Equal(t, []string{"other"}, members.Names(view().Schedulers))
}

// TestImpossibleDirectoryIsNotUsed has a process start beside a directory with counts that no fleet has.
func TestImpossibleDirectoryIsNotUsed(t *testing.T) {
	for _, counts := range []string{`"processes": 9000000000000, "instances": 10`, `"processes": 985, "instances": -1`, `"processes": 985, "instances": 1125899906842624`, `"processes": 1e30`} {
		fake := fleetstore.New()
		setDirectory(fake, `{`+counts+`, "watchers": ["other"], "schedulers": [{"name": "other", "domain": "a", "peer": "10.0.0.9:1", "weight": 1}, {"name": "other-2", "domain": "a", "peer": "10.0.0.8:1", "weight": 1}]}`)
		setConfig(fake, 1)
		view := startOn(t, fake, newFakeRelay())
		eventually(t, func() bool { return view().Ready() })
		require.Equal(t, []string{"self"}, members.Names(view().Schedulers), counts)
	}
}

// startWithPartialSnapshot starts a process that serves requests with a partial snapshot.
func startWithPartialSnapshot(t *testing.T) (fakeRelay, func() *fleet.View) {
	t.Helper()
	relay := newFakeRelay()
	view := startFollowing(t, relay)
	partial := updateWith(false, 10, configAt(1))
	partial.Partial = true
	relay.updates <- partial
	eventually(t, func() bool { return view().Ready() })
	return relay, view
}

// TestProcessIsReadyWithPartialSnapshot has a scheduler send the configuration alone. The process is ready
// with it, as that scheduler places its requests, and fetches the instances later.
func TestProcessIsReadyWithPartialSnapshot(t *testing.T) {
	relay, view := startWithPartialSnapshot(t)
	require.False(t, view().Complete())
	require.False(t, view().StoppedAccepting("s", "i-1"), "the instances are not known yet")
	sendUpdate(relay, true, 10, registered("i-1", 5), configAt(1))
	eventually(t, func() bool { return view().Complete() && view().Accepts("s", "i-1") })
	require.True(t, view().StoppedAccepting("s", "i-2"))
}

// TestFirstSnapshotIsDecodedInBatches has a process that already serves requests receive 2,000 registrations.
// It must decode them in batches with pauses, and add the pauses to the age of the data.
func TestFirstSnapshotIsDecodedInBatches(t *testing.T) {
	const pauses = 150 * time.Millisecond // the pauses take 200 ms in all
	var events []objstore.Event
	for n := range 2000 {
		events = append(events, registered(fmt.Sprint("i-", n), 5))
	}
	events = append(events, configAt(1))
	relay, view := startWithPartialSnapshot(t)
	sendUpdate(relay, true, 10, events...)
	sent := time.Now()
	eventually(t, func() bool { return view().Complete() })
	require.Greater(t, time.Since(sent), pauses)
	require.Greater(t, view().InstancesAge(), pauses)
	require.Len(t, view().Instances, 2000)
}

// TestUnusableDirectoryIsIgnored has directories that are of a small fleet, incomplete or not decodable.
func TestUnusableDirectoryIsIgnored(t *testing.T) {
	for _, text := range []string{`{"processes": 3, "schedulers": [{"name": "other"}]}`, `{"processes": 985}`, `[]`, `"x"`} {
		fake := fleetstore.New()
		setDirectory(fake, text)
		setConfig(fake, 1)
		view := startOn(t, fake, nil)
		eventually(t, func() bool { return version(view()) == 1 && view().Scheduling })
	}
}

// TestFirstWatcherWritesDirectory checks the directory that the first watcher of a large fleet writes.
func TestFirstWatcherWritesDirectory(t *testing.T) {
	fake := fleetstore.New()
	for n := range members.MaxFullMesh + 2 {
		setMember(t, fake, fmt.Sprint("m-", n))
	}
	self := members.Member{Name: "z-self", Incarnation: members.NewIncarnation(), Domain: "a", Weight: 2}
	watcher := startDiscoveryAs(t, self, fake, newFakeRelay(), nil)
	server := httptest.NewServer(fake)
	defer server.Close()
	store := platform.NewStore(server.Listener.Addr().String())
	defer store.Close()
	var dir struct {
		Processes  int
		Schedulers []members.Member
		Watchers   []string
	}
	eventually(t, func() bool {
		obj, err := store.Get(context.Background(), platform.DirectoryPrefix+"main")
		return err == nil && json.Unmarshal(obj.Value, &dir) == nil
	})
	require.Equal(t, members.MaxFullMesh+3, dir.Processes)
	require.Equal(t, members.Names(watcher.View().Schedulers), members.Names(dir.Schedulers))
	require.Equal(t, members.Names(watcher.View().Watchers), dir.Watchers)
	require.Equal(t, "z-self", dir.Watchers[0])
}
