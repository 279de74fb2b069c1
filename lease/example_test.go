package lease_test

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"github.com/rockdoor/rockdoor/lease"
	"github.com/rockdoor/rockdoor/objstore/memstore"
)

func Example() {
	ctx := context.Background()
	l := lease.New(lease.Options{
		Store: memstore.New(), Shard: "pool/a", Holder: "entry-1", Incarnation: "1", TTL: time.Minute, Logger: log.NewNopLogger(),
	})
	if err := l.Step(ctx); err != nil { // call it again after every l.Interval()
		fmt.Println(err)
	}
	g, held := l.Grant()
	fmt.Println(held, g.Token)
	fmt.Println(l.Release(ctx))
	// Output:
	// true 1
	// <nil>
}
