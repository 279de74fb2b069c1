package rolekeeper

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
)

// setVersions sets the software versions of the engines, in order.
func (p *testPool) setVersions(versions ...string) {
	v := *p.view.Load()
	v.Instances = maps.Clone(v.Instances)
	for n, software := range versions {
		i := *v.Instances[p.engines[n].ID]
		i.Software = software
		v.Instances[i.ID] = &i
	}
	v.Index()
	p.view.Store(&v)
}

// TestLastDecodingEngineOfAVersionKeepsItsRole has prompts queue at a service of two versions, of which one has two engines. Streams
// of a version without an engine that decodes could not be resumed.
func TestLastDecodingEngineOfAVersionKeepsItsRole(t *testing.T) {
	p := newTestPool(t, "prefill", "decode", "decode", "decode", "decode", "decode", "decode", "decode")
	p.setVersions("v2", "v1", "v1", "v2", "v2", "v2", "v2", "v2")
	p.queued.Store(200)
	p.keeper("a")
	decoding := map[string]int{}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		p.refresh()
		clear(decoding)
		for _, e := range p.engines {
			if e.Stage() == "decode" {
				decoding[p.view.Load().Instances[e.ID].Software]++
			}
		}
		require.NotZero(t, decoding["v1"])
		require.NotZero(t, decoding["v2"])
	}
	require.NotEmpty(t, p.orders())
}

// TestPrefillEngineDecodesForAVersionThatLostTheOthers removes the only engine of a version that decodes.
func TestPrefillEngineDecodesForAVersionThatLostTheOthers(t *testing.T) {
	p := newTestPool(t, "prefill", "decode", "decode", "decode", "decode", "decode")
	p.setVersions("v1", "v1", "v2", "v2", "v2", "v2")
	k, stop := p.keeper("a")
	stop()
	in := k.policyInput(p.view.Load(), "s")
	require.Nil(t, k.restoreVersion(p.view.Load(), "s", in))
	v := *p.view.Load()
	v.Instances = maps.Clone(v.Instances)
	delete(v.Instances, p.engines[1].ID)
	v.Index()
	in = k.policyInput(&v, "s")
	c := k.restoreVersion(&v, "s", in)
	require.NotNil(t, c)
	require.Equal(t, p.engines[0].ID, c.Engine)
	require.Equal(t, engine.RoleMixed, c.To)
	in.Now = in.Now.Add(streamTime + time.Second)
	require.Nil(t, k.restoreVersion(&v, "s", in), "its streams have ended")
}
