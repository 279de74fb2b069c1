package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// singleVersion returns a deployment in which v1 alone has served for longer than a stream may live.
func singleVersion(t *testing.T, gap time.Duration) (d *deployment, all []*process, links map[string]*storeLink) {
	d, links = newDeployment(t), map[string]*storeLink{}
	d.applyLimit = "3s"
	for _, p := range []string{"a", "b", "c"} {
		links[p] = d.isolateStoreLink(p)
	}
	d.addVersions(3, "v1")
	slowDown(d.engines[4:], gap)
	all = fleetStarts["few"](d)
	d.waitForPeers(all)
	time.Sleep(streamLife + 2*time.Second)
	return d, all, links
}

func slowDown(engines []*fleetengine.Engine, gap time.Duration) {
	for _, e := range engines {
		e.Gap = gap
	}
}

// join starts engines of v2 and returns them once a process knows them.
func (d *deployment) join(at *process, gap time.Duration) (joined []*fleetengine.Engine) {
	before := len(at.fetchStatus(d.t).Instances)
	for _, id := range []string{"v2-0", "v2-1", "v2-2"} {
		joined = append(joined, d.addEngineOf("v2", id))
	}
	slowDown(joined, gap)
	require.Eventually(d.t, func() bool { return len(at.fetchStatus(d.t).Instances) == before+len(joined) }, time.Second, time.Millisecond)
	return joined
}

// begunAt returns the number of streams of which a version has written events.
func (c *streamClients) begunAt(version string) (n int) {
	for _, r := range c.all {
		if r.versions[version] {
			n++
		}
	}
	return n
}

// TestHostOutOfStepJoinsNoVersions has a version join while two hosts lack the store, their peers or both. Streams that
// begin at the third host are resumed there.
func TestHostOutOfStepJoinsNoVersions(t *testing.T) {
	const (
		streams = 40
		gap     = 100 * time.Millisecond
	)
	for name, c := range map[string]struct {
		noStore, noPeers bool
		// minShare is the share of the streams of v1 that must continue.
		minShare float64
	}{
		"without the store":           {true, false, 0.95},
		"without peers":               {false, true, 0.95},
		"without the store and peers": {true, true, 0},
	} {
		for _, wait := range []time.Duration{300 * time.Millisecond, 1800 * time.Millisecond} {
			t.Run(name+" for "+wait.String(), func(t *testing.T) {
				d, all, links := singleVersion(t, gap)
				for _, p := range all[1:] {
					links[p.settings.Name].cut.Store(c.noStore)
					if c.noPeers {
						p.daemon.transport.Close()
					}
				}
				d.join(all[0], gap)
				time.Sleep(wait)
				clients := beginStreams(t, all[:1], streams, 2)
				clients.disconnect()
				clients.ended.Wait()
				ofJoined := clients.begunAt("v2")
				mixed, continued := clients.resume(all[1:])
				t.Logf("%d of %d streams began at the version that joined; %d have events of two versions; %d continued", ofJoined, streams, mixed, continued)
				if mixed > 0 {
					logLines(t, all, "resuming stream", "component=resumption")
				}
				require.Zero(t, mixed)
				if wait > time.Second {
					require.Positive(t, ofJoined)
				}
				require.GreaterOrEqual(t, float64(continued), c.minShare*float64(streams-ofJoined))
			})
		}
	}
}

// TestHostsKilledAsAVersionJoinsJoinNoVersions kills all hosts shortly after a version has joined. Its engines leave before
// the hosts are back.
func TestHostsKilledAsAVersionJoinsJoinNoVersions(t *testing.T) {
	const (
		streams = 40
		gap     = 250 * time.Millisecond
	)
	for _, wait := range []time.Duration{0, 300 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			d, all, links := singleVersion(t, gap)
			joined := d.join(all[0], gap)
			time.Sleep(wait)
			clients := beginStreams(t, all, streams, 1)
			for _, p := range all {
				p.kill(links[p.settings.Name])
			}
			for _, e := range joined {
				d.removeEngine(e.ID)
			}
			clients.ended.Wait()
			for _, p := range all {
				d.isolateStoreLink(p.settings.Name)
			}
			ofJoined := clients.begunAt("v2")
			all = fleetStarts["few"](d)
			mixed, continued := clients.resume(all)
			t.Logf("%d of %d streams began at the version that joined; %d have events of two versions; %d continued", ofJoined, streams, mixed, continued)
			if mixed > 0 {
				logLines(t, all, "resuming stream", "component=resumption")
			}
			require.Zero(t, mixed)
			if wait > time.Second {
				require.Positive(t, ofJoined)
			}
		})
	}
}

// TestHostOutOfStepWhenAVersionReplacesAnother has v1 drain as v2 joins, while two hosts lack the store and their peers. They
// reach the store again when streams that began at the third host are resumed at them.
func TestHostOutOfStepWhenAVersionReplacesAnother(t *testing.T) {
	const (
		streams = 40
		gap     = 50 * time.Millisecond
	)
	d, all, links := singleVersion(t, gap)
	for _, p := range all[1:] {
		links[p.settings.Name].cut.Store(true)
		p.daemon.transport.Close()
	}
	old := d.engines[4:7]
	d.join(all[0], gap)
	for _, e := range old {
		d.registerEngine(e, d.addresses[e.ID], "draining")
	}
	publishes := func() bool { return all[0].daemon.discovery.View().Published.Has("llm", "v2") }
	require.Eventually(t, publishes, 3*time.Second, time.Millisecond)
	clients := beginStreams(t, all[:1], streams, 1)
	clients.disconnect()
	clients.ended.Wait()
	ofJoined := clients.begunAt("v2")
	for _, p := range all[1:] {
		links[p.settings.Name].cut.Store(false)
	}
	mixed, continued := clients.resume(all[1:])
	t.Logf("%d of %d streams began at the version that joined; %d have events of two versions; %d continued", ofJoined, streams, mixed, continued)
	require.Zero(t, mixed)
}
