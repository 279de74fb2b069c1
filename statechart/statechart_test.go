package statechart_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/statechart"
)

const door = `{
  "name": "door", "initial": "closed", "events": ["open", "close", "burn"],
  "states": {
    "closed": {"on": {"open": "opened", "burn": "gone"}, "ignore": ["close"]},
    "opened": {"on": {"close": "closed", "burn": "gone"}, "ignore": ["open"], "timeout": "5s", "timeoutEvent": "close"},
    "gone": {"final": true}
  }
}`

func Example() {
	chart := statechart.MustLoad([]byte(door))
	d := chart.Start()
	state, err := d.Fire("open")
	fmt.Println(state, err)
	state, err = d.Fire("open") // ignored
	fmt.Println(state, err)
	// Output:
	// opened <nil>
	// opened <nil>
}

func TestInstancesAreIndependentAndFinalStatesRefuse(t *testing.T) {
	chart := statechart.MustLoad([]byte(door))
	a, b := chart.Start(), chart.Resume("opened")
	_, err := a.Fire("burn")
	require.NoError(t, err)
	require.True(t, a.Final())
	require.Equal(t, statechart.State("opened"), b.State())
	_, err = a.Fire("open")
	require.ErrorContains(t, err, "final state")
	require.Equal(t, statechart.State("gone"), a.State())
	_, event := b.Timeout()
	require.Equal(t, statechart.Event("close"), event)
}

func TestLoadRefusesBrokenCharts(t *testing.T) {
	for want, text := range map[string]string{
		"cannot be reached":           `{"name":"x","initial":"a","events":["e"],"states":{"a":{"ignore":["e"]},"b":{"ignore":["e"]}}}`,
		"neither handles nor ignores": `{"name":"x","initial":"a","events":["e"],"states":{"a":{}}}`,
		"both handles and ignores":    `{"name":"x","initial":"a","events":["e"],"states":{"a":{"on":{"e":"a"},"ignore":["e"]}}}`,
		"not declared":                `{"name":"x","initial":"a","events":[],"states":{"a":{"on":{"e":"a"}}}}`,
		"not defined":                 `{"name":"x","initial":"a","events":["e"],"states":{"a":{"on":{"e":"b"}}}}`,
		"no way to a final state":     `{"name":"x","initial":"a","events":["e","f"],"states":{"a":{"on":{"e":"b","f":"z"}},"b":{"ignore":["e","f"]},"z":{"final":true}}}`,
		"has transitions":             `{"name":"x","initial":"a","events":["e"],"states":{"a":{"final":true,"on":{"e":"a"}}}}`,
		"needs both timeout":          `{"name":"x","initial":"a","events":["e"],"states":{"a":{"ignore":["e"],"timeout":"1s"}}}`,
		"initial state":               `{"name":"x","initial":"q","events":[],"states":{"a":{}}}`,
		"cannot be read":              `{"nam":"x"}`,
	} {
		_, err := statechart.Load([]byte(text))
		require.ErrorContains(t, err, want)
	}
}
