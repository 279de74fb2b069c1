package guard_test

import (
	"fmt"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/guard"
)

func Example() {
	deadline := bootclock.Now().Add(time.Minute)
	err := guard.Do(deadline, time.Second, func() error {
		fmt.Println("written in time")
		return nil
	})
	fmt.Println(err)
	// Output:
	// written in time
	// <nil>
}
