package claims_test

import (
	"context"
	"fmt"
	"time"

	"github.com/rockdoor/rockdoor/claims"
)

// A fleet of one process is the only holder of all its claims.
func Example() {
	self := claims.Member{Name: "entry-1", Incarnation: "1", Domain: "a"}
	table, _ := claims.Next(nil, []claims.Member{self}, false)
	store := claims.NewStore(self, time.Minute)
	store.Adopt(table)
	c := claims.NewAcquirer(store, nil)
	first := c.Acquire(context.Background(), claims.Claim{Key: "k", Claimant: "request-1", Process: "entry-1"})
	second := c.Acquire(context.Background(), claims.Claim{Key: "k", Claimant: "request-2", Process: "entry-1"})
	fmt.Println(first.Granted, second.Granted, second.Claimant)
	// Output: true false request-1
}
