package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/placement"
)

// TestJobKeepsRankAndWorkspaceOfSender sends a job to a scheduler whose configuration has a
// different rank for the route. The rank set by the sender must be used.
func TestJobKeepsRankAndWorkspaceOfSender(t *testing.T) {
	config := &fleet.Config{Routes: []fleet.Route{{Name: "r", Rank: 1}}, Services: map[string]fleet.Service{"s": {Name: "s"}}}
	config.Index()
	view := &fleet.View{Config: config, InstancesKnown: true}
	view.Index()
	sent := &placement.Job{
		Route: &fleet.Route{Name: "r", Rank: 3}, WorkspaceRank: true, Workspace: "w", Service: fleet.Service{Name: "s"},
		Call: &engine.Call{ID: "id", PromptTokens: 2000}, Remaining: time.Second, ResponseTime: 4 * time.Second,
	}
	got, err := decodeJob(encodeJob(sent), view)
	require.NoError(t, err)
	require.Equal(t, "w", got.Workspace)
	require.Equal(t, 3, got.Route.Rank)
	require.Equal(t, sent.ResponseTime, got.ResponseTime)
}

// TestPlanOfASchedulerThatIgnoresTheVersion has a scheduler of an older version choose an instance of another
// software version than the one that may continue a stream.
func TestPlanOfASchedulerThatIgnoresTheVersion(t *testing.T) {
	config := &fleet.Config{Routes: []fleet.Route{{Name: "r"}}, Services: map[string]fleet.Service{"s": {Name: "s"}}}
	config.Index()
	v1, v2 := &fleet.Instance{ID: "a", Service: "s", Software: "v1"}, &fleet.Instance{ID: "b", Service: "s", Software: "v2"}
	view := &fleet.View{Config: config, InstancesKnown: true, Instances: map[string]*fleet.Instance{"a": v1, "b": v2}}
	view.Index()
	software := "v1"
	job := &placement.Job{Route: &config.Routes[0], Service: fleet.Service{Name: "s"}, Call: &engine.Call{ID: "id"}, Software: &software, Permitted: []*fleet.Instance{v1}}
	_, err := decodePlan(encodePlan(&placement.Plan{Target: v2}, 1, false), job, view)
	require.Error(t, err)
	job.Permitted = nil // the process knows no instances
	_, err = decodePlan(encodePlan(&placement.Plan{Target: v2}, 1, true), job, view)
	require.Error(t, err)
	plan, err := decodePlan(encodePlan(&placement.Plan{Target: v1}, 1, true), job, view)
	require.NoError(t, err)
	require.Equal(t, "a", plan.Target.ID)

	received, err := decodeJob(encodeJob(job), view)
	require.NoError(t, err)
	require.Equal(t, []*fleet.Instance{v1}, received.Permitted)
}
