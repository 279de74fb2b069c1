package soak

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// configModel is the configuration of a process: each observation allows a set of versions, and the version never decreases.
var configModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, _ any) []any {
		var out []any
		for _, v := range input.([]int) {
			if v >= state.(int) {
				out = append(out, v)
			}
		}
		return out
	},
}).ToModel()

// TestNeverDecreasesAgreesWithPorcupine compares the check with a search of all orders.
func TestNeverDecreasesAgreesWithPorcupine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var intervals []versionInterval
		var ops []porcupine.Operation
		for n := range rapid.IntRange(0, 7).Draw(t, "intervals") {
			from := rapid.IntRange(0, 12).Draw(t, "from")
			to := from + rapid.IntRange(0, 6).Draw(t, "length")
			var versions []int
			for v := range 5 {
				if rapid.Bool().Draw(t, "allowed") {
					versions = append(versions, v)
				}
			}
			// Times are distinct, since porcupine leaves the order of equal ones open.
			start, end := int64(100*from+n), int64(100*to+50+n)
			intervals = append(intervals, versionInterval{time.Unix(0, start), time.Unix(0, end), versions})
			ops = append(ops, porcupine.Operation{ClientId: n, Input: versions, Call: start, Return: end})
		}
		require.Equal(t, porcupine.CheckOperations(configModel, ops), neverDecreases(intervals))
	})
}
