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

// noLists is a store that does not answer lists of the members.
type noLists struct{ http.Handler }

func (n noLists) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && strings.HasSuffix(r.URL.Path, "/rockdoor-members") {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.Handler.ServeHTTP(w, r)
}

func setDirectory(fake *fleetstore.Server, text string) {
	fake.Set("rockdoor-directory", "main", map[string]any{"write": "w", "value": json.RawMessage(text)})
}

// TestAProcessOfALargeFleetJoinsWithoutTheMembers has a process start whose store does not answer lists of
// the members, as one that 985 ask at once for 985 does not: the directory says whom to follow.
func TestAProcessOfALargeFleetJoinsWithoutTheMembers(t *testing.T) {
	fake := fleetstore.New()
	setDirectory(fake, `{"processes": 985, "instances": 10003, "watchers": ["other"], "schedulers": [
		{"name": "other", "domain": "a", "peer": "10.0.0.9:1", "weight": 1}, {"name": "other-2", "domain": "a", "peer": "10.0.0.8:1", "weight": 1}]}`)
	relay := make(copies)
	view := startOn(t, noLists{fake}, relay)
	tell(relay, true, 10, registered("i-1", 5), configAt(1))
	eventually(t, func() bool { return view().Ready() && view().Accepts("s", "i-1") })
	require.Equal(t, []string{"other"}, members.Names(view().Schedulers))
}

// startWithHead starts a process that serves with the head of a copy.
func startWithHead(t *testing.T) (copies, func() *fleet.View) {
	t.Helper()
	relay := make(copies)
	view := startFollowing(t, relay)
	head := followedWith(false, 10, configAt(1))
	head.Partial = true
	relay <- head
	eventually(t, func() bool { return view().Ready() })
	return relay, view
}

// TestAProcessIsReadyWithTheHeadOfACopy has a scheduler tell the configuration alone: the process serves what
// that one places, and copies the instances after that.
func TestAProcessIsReadyWithTheHeadOfACopy(t *testing.T) {
	relay, view := startWithHead(t)
	require.False(t, view().Complete())
	require.False(t, view().StoppedAccepting("s", "i-1"), "nothing is known of it")
	tell(relay, true, 10, registered("i-1", 5), configAt(1))
	eventually(t, func() bool { return view().Complete() && view().Accepts("s", "i-1") })
	require.True(t, view().StoppedAccepting("s", "i-2"))
}

// TestAFirstCopyLeavesTimeForRequests has a process that serves already copy 2,000 registrations: it decodes them in
// pieces with pauses, by which the copy gets older.
func TestAFirstCopyLeavesTimeForRequests(t *testing.T) {
	const pauses = 150 * time.Millisecond // of 200
	var events []objstore.Event
	for n := range 2000 {
		events = append(events, registered(fmt.Sprint("i-", n), 5))
	}
	events = append(events, configAt(1))
	relay, view := startWithHead(t)
	tell(relay, true, 10, events...)
	told := time.Now()
	eventually(t, func() bool { return view().Complete() })
	require.Greater(t, time.Since(told), pauses)
	require.Greater(t, view().InstancesAge(), pauses)
	require.Len(t, view().Instances, 2000)
}

// TestADirectoryOfNoUseIsPassedOver has the directory be one of a small fleet, or nothing that can be read.
func TestADirectoryOfNoUseIsPassedOver(t *testing.T) {
	for _, text := range []string{`{"processes": 3, "schedulers": [{"name": "other"}]}`, `{"processes": 985}`, `[]`, `"x"`} {
		fake := fleetstore.New()
		setDirectory(fake, text)
		setConfig(fake, 1)
		view := startOn(t, fake, nil)
		eventually(t, func() bool { return version(view()) == 1 && view().Scheduling })
	}
}

// TestTheFirstWatcherKeepsTheDirectory has a process find itself the first watcher of a large fleet.
func TestTheFirstWatcherKeepsTheDirectory(t *testing.T) {
	fake := fleetstore.New()
	for n := range members.MaxFullMesh + 2 {
		setMember(t, fake, fmt.Sprint("m-", n))
	}
	self := members.Member{Name: "z-self", Incarnation: members.NewIncarnation(), Domain: "a", Weight: 2}
	watcher := discoveryOf(t, self, fake, make(copies), nil)
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
