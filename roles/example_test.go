package roles_test

import (
	"fmt"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/roles"
)

func Example() {
	policy, err := roles.New(roles.CostBenefit)
	if err != nil {
		fmt.Println(err)
		return
	}
	in := roles.Input{
		Engines: []roles.Engine{{Name: "a", Role: engine.RoleMixed, Movable: true}, {Name: "b", Role: engine.RoleMixed}},
		Demand:  roles.Demand{Prefill: 14000}, // the prefill capacity of one engine
		Weights: roles.Weights{Goodput: 1, Change: 3},
	}
	start := time.Unix(0, 0)
	for t := time.Duration(0); ; t += time.Second {
		in.Now = start.Add(t)
		if c := policy.Decide(in); c != nil {
			fmt.Println(c.Engine, c.To, "after", t)
			return
		}
	}
	// Output: a prefill after 10s
}
