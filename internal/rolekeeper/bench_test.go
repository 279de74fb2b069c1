package rolekeeper

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/roles"
)

// observer has no right to order.
type observer struct{}

func (observer) Grant() (duty.Grant, bool) { return duty.Grant{}, false }

// BenchmarkReview reviews the roles of so many engines.
func BenchmarkReview(b *testing.B) {
	for _, n := range []int{120, 9543} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := &fleet.View{
				Scheduling: true, InstancesKnown: true, Processes: 985, Instances: map[string]*fleet.Instance{},
				Config: &fleet.Config{Services: map[string]fleet.Service{"s": {Name: "s", KVCapacity: 1}}},
			}
			for k := range n {
				i := &fleet.Instance{ID: fmt.Sprint("i-", k), Service: "s", Slots: 12, Role: engine.RoleMixed}
				if k%3 == 0 {
					i.Role = engine.RolePrefill
				}
				v.Instances[i.ID] = i
			}
			v.Index()
			k := New(Options{
				Authority: observer{}, Policy: roles.Packing, Placer: placement.New("a", nil, nil), View: func() *fleet.View { return v },
				Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
			})
			b.ReportAllocs()
			for b.Loop() {
				k.review(context.Background())
			}
		})
	}
}
