package members_test

import (
	"context"
	"fmt"

	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore/memstore"
)

func Example() {
	ctx := context.Background()
	store := memstore.New()
	self := members.Member{Name: "entry-1", Incarnation: members.NewIncarnation(), Domain: "a", Peer: "127.0.0.1:7002"}
	if err := members.Register(ctx, store, members.KeyPrefix, self); err != nil {
		fmt.Println(err)
		return
	}
	objs, _, _ := store.List(ctx, members.KeyPrefix)
	for _, m := range members.Parse(objs) {
		fmt.Println(m.Name, m.Peer)
	}
	// Output: entry-1 127.0.0.1:7002
}
