package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/quarantine"
)

// TestQuarantinedAttemptsAreWithdrawn quarantines a part of a prompt while requests with it wait at an engine, to be run or
// to be prefilled. A request that was sent to be run may have run.
func TestQuarantinedAttemptsAreWithdrawn(t *testing.T) {
	const (
		verdictAfter = 100 * time.Millisecond
		bound        = 700 * time.Millisecond
	)
	for name, c := range map[string]struct {
		path   string
		header http.Header
		status int
	}{
		"run, repeatable":   {pathModel, promptOf("dead"), http.StatusBadGateway},
		"run, at most once": {pathAtMostOnceStream, promptOf("dead"), http.StatusBadGateway},
		"prefill":           {pathModel, prompt("dead"), http.StatusServiceUnavailable},
		"sound":             {pathModel, promptOf("sound"), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			table := quarantine.NewTable()
			parts := quarantine.PartsOf("", "m", []string{"dead"})
			table.RecordPartCrash(parts, "i-1")
			decode, prefill := fleetengine.New("d", fleetengine.StageDecode), fleetengine.New("p", fleetengine.StagePrefill)
			decode.Events, decode.ResponseDelay = 3, time.Second
			prefill.Fail(fleetengine.Hang, -1)
			var outcomes []placement.Outcome
			r := newHarness(t, harnessOptions{
				model: []*fleetengine.Engine{decode, prefill}, quarantine: table,
				onPlaced: func(*harness, placement.Plan) {}, onAttemptEnded: func(o placement.Outcome) { outcomes = append(outcomes, o) },
			})
			time.AfterFunc(verdictAfter, func() {
				table.RecordPartCrash(parts, "i-2")
				table.RecordPartCrash(parts, "i-3")
			})
			begun := time.Now()
			got := r.send(http.MethodPost, c.path, "a", "x", c.header)
			require.Equal(t, c.status, got.status, got.body)
			if c.status == http.StatusOK {
				return
			}
			require.Less(t, time.Since(begun), bound)
			require.NotContains(t, outcomes, placement.Failed, "the engine is not at fault")
		})
	}
}

// promptOf returns the headers of a request to a model with a prompt of a few tokens.
func promptOf(part string) http.Header {
	h := prompt(part)
	h.Set("X-Token-Count", "300,2")
	h.Set("X-Prompt-Prefix", part+":200,ff:100")
	return h
}
