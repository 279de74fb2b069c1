package scheduler

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStreamContinuesIfItsSchedulerKnowsMoreEnginesToDrain resumes a stream whose last engine drains, which only the
// scheduler knows yet.
func TestStreamContinuesIfItsSchedulerKnowsMoreEnginesToDrain(t *testing.T) {
	s, a := newNode(t, "a-sched"), newNode(t, "a-1")
	setView([]*node{s, a}, []*node{s}, "ad1")
	known := s.view.Load().Instances["ad1"]
	known.Draining = true
	s.view.Load().Index()
	job := jobFor(a, "x")
	software := known.Software
	job.Software = &software
	plan, ticket := a.Place(context.Background(), job)
	require.NotNil(t, ticket, plan.Reason)
	require.Equal(t, "ad1", plan.Target.ID)
	job = jobFor(a, "x")
	_, ticket = a.Place(context.Background(), job)
	require.Nil(t, ticket, "a request that begins anew is rejected")
}
