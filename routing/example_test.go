package routing_test

import (
	"fmt"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/routing"
)

func Example() {
	policy, err := routing.New(routing.LeastOutstanding)
	if err != nil {
		fmt.Println(err)
		return
	}
	d := routing.Choose(policy, routing.Cost{PrefillTokens: 1000, DecodeTokens: 100}, []routing.Candidate{
		{Target: &config.Target{Name: "busy"}, Load: routing.Load{Requests: 9}},
		{Target: &config.Target{Name: "idle"}, Load: routing.Load{Requests: 1}},
	})
	fmt.Println(d.Chosen.Target.Name, d.RunnerUp.Target.Name, d.Reason)
	// Output: idle busy best-score
}
