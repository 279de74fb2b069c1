package scheduler

import (
	"context"
	"fmt"
	"testing"

	"github.com/rockdoor/rockdoor/placement"
)

// BenchmarkPlace places prompts through a scheduler in another process's place, over
// loopback, among engines as many as three deployments have.
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
			see([]*node{s, a}, []*node{s}, engines...)
			ctx := context.Background()
			for i := 0; b.Loop(); i++ {
				plan, ticket := a.Place(ctx, jobOf(a, fmt.Sprint(i%200)))
				if plan.DecidedBy != "a-sched" {
					b.Fatal("the scheduler did not answer in time")
				}
				ticket = ticket.PlaceDecode(ctx, jobOf(a, "x"), &plan)
				ticket.RunEnded(placement.Succeeded)
			}
		})
	}
}
