package scheduler

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rockdoor/rockdoor/internal/discovery"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/placement"
)

// BenchmarkPlace measures placement through a remote scheduler over loopback, with as many
// engines as three existing deployments have.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 104, 2700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, a := newNode(b, "a-sched"), newNode(b, "a-1")
			var engines []string
			for i := range n {
				kind := "p"
				if i%3 == 0 {
					kind = "d"
				}
				engines = append(engines, fmt.Sprint("a", kind, i))
			}
			setView([]*node{s, a}, []*node{s}, engines...)
			ctx := context.Background()
			for i := 0; b.Loop(); i++ {
				plan, ticket := a.Place(ctx, jobFor(a, fmt.Sprint(i%200)))
				if plan.DecidedBy != "a-sched" {
					b.Fatal("the scheduler did not respond in time")
				}
				ticket = ticket.PlaceDecode(ctx, jobFor(a, "x"), &plan)
				ticket.RunEnded(placement.Succeeded)
			}
		})
	}
}

// BenchmarkConfigQuery measures a question for the configuration to another scheduler that has no newer one, at both
// processes together.
func BenchmarkConfigQuery(b *testing.B) {
	s, a := newNode(b, "a-sched"), newNode(b, "a-1")
	setView([]*node{s, a}, []*node{s}, "ap1")
	s.Server.o.InstancePrefix = "servers/"
	s.feed.Put(objstore.Object{Key: "config/main", Version: 4})
	known := discovery.ConfigVersions{Config: 4}
	for b.Loop() {
		if _, err := a.FetchConfigFrom(context.Background(), s.self, known); err != nil {
			b.Fatal(err)
		}
	}
	state := s.configState(&peerpb.ConfigQuery{ConfigVersion: 4})
	b.ReportMetric(float64(proto.Size(state)), "bytes/answer")
}
