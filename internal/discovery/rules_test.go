package discovery_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/platform"
)

func TestRules(t *testing.T) {
	fake, view := start(t)
	rules := map[string]any{"selectors": map[string]string{"*": "domain=a"}}
	fake.Set("rockdoor-rules", "main", map[string]any{"write": "w", "value": rules})
	eventually(t, func() bool { return view().Rules != nil })
	_, ok := view().Rules.Permits("r", &fleet.Instance{Domain: "b"})
	require.False(t, ok)
	fake.Remove("rockdoor-rules", "main")
	eventually(t, func() bool { return view().Rules == nil })
}

const (
	onlyA = `{"selectors": {"*": "domain=a"}}`
	onlyB = `{"selectors": {"*": "domain=b"}}`
)

func permits(v *fleet.View, domain string) bool {
	_, ok := v.Rules.Permits("r", &fleet.Instance{Domain: domain})
	return ok
}

// TestRulesVersionNeverDecreases has a process receive snapshots with older rules or none. A process that changes to
// another scheduler receives a full snapshot, which may be older than its own data if the watchers lost the store one
// after the other. The older rules were once applied, and requests ran where the newest rules forbid it: the log had
// "rules in force revision=10" and after it "rules in force revision=5" or "rules removed".
func TestRulesVersionNeverDecreases(t *testing.T) {
	relay := newFakeRelay()
	view := startFollowing(t, relay)
	configs := 0
	sendSnapshot := func(events ...objstore.Event) {
		configs++
		sendUpdate(relay, true, 1, append(events, configAt(configs))...)
		eventually(t, func() bool { return version(view()) == int64(configs) })
	}
	sendSnapshot(rulesAt(5, onlyB))
	require.True(t, permits(view(), "b"))
	sendSnapshot(rulesAt(10, onlyA))
	require.False(t, permits(view(), "b"))
	sendSnapshot(rulesAt(5, onlyB))
	require.False(t, permits(view(), "b"), "the rules went back to an older version")
	sendSnapshot()
	require.False(t, permits(view(), "b"), "a snapshot without rules removes none")
	sendSnapshot(rulesAt(12, onlyB))
	require.False(t, permits(view(), "a"))
}

// TestRemovedRulesStayRemoved has one scheduler report that the rules were removed, and another one, which
// lags behind, send the former rules.
func TestRemovedRulesStayRemoved(t *testing.T) {
	relay := newFakeRelay()
	view := startFollowing(t, relay)
	sendUpdate(relay, true, 1, rulesAt(5, onlyB))
	eventually(t, func() bool { return view().Rules != nil })
	sendUpdate(relay, true, 1, rulesAt(7, ""))
	eventually(t, func() bool { return view().Rules == nil })
	sendUpdate(relay, true, 1, rulesAt(5, onlyB))
	sendUpdate(relay, true, 1, rulesAt(6, onlyA))
	sendUpdate(relay, true, 1, rulesAt(9, onlyA))
	eventually(t, func() bool { return view().Rules != nil })
	require.False(t, permits(view(), "b"))
}

// TestRulesChangeWhileAllWatchersAreCutOff has all watchers lose the store while the operator changes the rules. The
// processes that follow them once read the configuration and the registrations from the store directly, but not the
// rules, and kept the old rules until the watchers were back.
func TestRulesChangeWhileAllWatchersAreCutOff(t *testing.T) {
	relay := newFakeRelay()
	fake := fleetstore.New()
	setRules := func(text string) {
		fake.Set("rockdoor-rules", "main", map[string]any{"write": "w", "value": json.RawMessage(text)})
	}
	setRules(onlyA)
	view := startFollowingOn(t, fake, relay)
	cut := time.Now()
	sendAgingUpdates(t, relay, cut,
		configAt(1),
		rulesAt(1, onlyA),
	)
	require.Eventually(t, func() bool { return view().Rules != nil && permits(view(), "a") }, propagationLimit/2, tick)
	setRules(onlyB)
	require.Eventually(t, func() bool { return permits(view(), "b") }, propagationLimit-time.Since(cut), tick)
	time.Sleep(propagationLimit / 2)
	require.True(t, permits(view(), "b"), "older data changes nothing")
	require.False(t, permits(view(), "a"))
	fake.Remove("rockdoor-rules", "main")
	require.Eventually(t, func() bool { return view().Rules == nil }, propagationLimit, tick)
	time.Sleep(propagationLimit / 2)
	require.Nil(t, view().Rules, "snapshots that still contain the rules change nothing")
}

func rulesAt(version int, text string) objstore.Event {
	return objstore.Event{Object: objstore.Object{Key: platform.RulesPrefix + "main", Version: objstore.Version(version), Value: []byte(text)}}
}

// TestUndecodableRulesAreIgnored has a process start when the newest rules were written by a newer software version and
// cannot be decoded. The process once recorded their version as the one in force, and then ignored as older the last
// valid rules, which its scheduler has and enforces. Without rules it permitted everything; its last log line about
// rules was the rejection of revision 20.
func TestUndecodableRulesAreIgnored(t *testing.T) {
	relay := newFakeRelay()
	view := startFollowing(t, relay)
	sendUpdate(relay, true, 1, rulesAt(20, `{"selectors": {"*": "domain=a"}, "newer": 1}`))
	sendUpdate(relay, true, 1, rulesAt(10, onlyA))
	eventually(t, func() bool { return view().Rules != nil })
	require.False(t, permits(view(), "b"))
}

// emptyListServer answers lists of rules that may be stale with an empty list whose revision is newer than
// the rules.
type emptyListServer struct {
	*fleetstore.Server
	on atomic.Bool
}

func (s *emptyListServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if s.on.Load() && strings.HasSuffix(r.URL.Path, "/rockdoor-rules") && q.Has("stale_ok") && !q.Has("watch") {
		_, _ = w.Write([]byte(`{"items": [], "has_more": false, "current_rev": 60}`)) // an error means that the client has disconnected
		return
	}
	s.Server.ServeHTTP(w, r)
}

// TestStaleEmptyListRemovesNoRules covers lists of rules that may be seconds old. The revision of such a list can be
// newer than its content. After an empty list with revision 60 a process once ignored the rules of revision 31 for
// good, and permitted everything.
func TestStaleEmptyListRemovesNoRules(t *testing.T) {
	fake := &emptyListServer{Server: fleetstore.New()}
	for range 30 {
		setConfig(fake.Server, 1)
	}
	fake.Set("rockdoor-rules", "main", map[string]any{"write": "w", "value": json.RawMessage(onlyA)})
	for range 28 {
		setConfig(fake.Server, 1)
	}
	fake.on.Store(true)
	view := startOn(t, fake, nil)
	eventually(t, func() bool { return version(view()) == 1 && view().Rules != nil })
	require.False(t, permits(view(), "b"))
	fake.DropHistory() // ends the watches, so that everything is listed again
	time.Sleep(applyLimit)
	require.NotNil(t, view().Rules)
}

// TestRulesRemovedByRelayStayRemoved has a relayed removal followed by an older snapshot.
func TestRulesRemovedByRelayStayRemoved(t *testing.T) {
	relay := newFakeRelay()
	view := startFollowing(t, relay)
	sendUpdate(relay, true, 1, rulesAt(5, onlyB))
	eventually(t, func() bool { return view().Rules != nil })
	removal := rulesAt(5, "")
	removal.Deleted = true
	sendUpdate(relay, false, 1, removal)
	eventually(t, func() bool { return view().Rules == nil })
	sendUpdate(relay, true, 1, rulesAt(5, onlyB), configAt(1))
	eventually(t, func() bool { return version(view()) == 1 })
	require.Nil(t, view().Rules)
}

// TestOlderRulesUpdateIsIgnored has a process receive a removal that is older than its rules, and a
// snapshot without rules but with newer registrations.
func TestOlderRulesUpdateIsIgnored(t *testing.T) {
	relay := newFakeRelay()
	view := startFollowing(t, relay)
	sendUpdate(relay, true, 1, rulesAt(10, onlyA))
	eventually(t, func() bool { return view().Rules != nil })
	removal := rulesAt(5, "")
	removal.Deleted = true
	sendUpdate(relay, false, 1, removal, configAt(1))
	eventually(t, func() bool { return version(view()) == 1 })
	require.NotNil(t, view().Rules)
	sendUpdate(relay, true, 100, configAt(2))
	eventually(t, func() bool { return version(view()) == 2 })
	require.NotNil(t, view().Rules)
}

// TestFollowersReceiveRemovalOfRules checks the feed that a watching process has for its followers.
func TestFollowersReceiveRemovalOfRules(t *testing.T) {
	fake := fleetstore.New()
	d := startDiscovery(t, fake, nil, nil)
	fake.Set("rockdoor-rules", "main", map[string]any{"write": "w", "value": json.RawMessage(onlyA)})
	eventually(t, func() bool { return d.View().Rules != nil })
	before, _ := d.Feed().Since(feed.Position{})
	fake.Remove("rockdoor-rules", "main")
	eventually(t, func() bool { return d.View().Rules == nil })
	u, _ := d.Feed().Since(before.Position)
	require.Len(t, u.Events, 1)
	require.Equal(t, platform.RulesPrefix+"main", u.Events[0].Object.Key)
	require.Empty(t, u.Events[0].Object.Value)
	require.Greater(t, u.Events[0].Object.Version, before.Events[len(before.Events)-1].Object.Version)
}
