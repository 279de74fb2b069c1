package mirror_test

import (
	"context"
	"fmt"

	"github.com/go-kit/log"

	"github.com/rockdoor/rockdoor/mirror"
	"github.com/rockdoor/rockdoor/objstore/memstore"
)

// One copy reads the store, a second one copies from the first.
func Example() {
	ctx := context.Background()
	store := memstore.New()
	_, _ = store.Put(ctx, "state/a", []byte("1"), 0, "w1")
	first, second := mirror.New("state/"), mirror.New("state/")
	keeper := mirror.NewRefresher(first, store, func() bool { return true }, log.NewNopLogger())
	if err := keeper.Refresh(ctx, 0); err != nil {
		fmt.Println(err)
	}
	second.Apply(first.Since(second.Revision()))
	obj, ok := second.Get("state/a")
	fmt.Println(string(obj.Value), ok, second.Revision())
	// Output: 1 true 1
}
