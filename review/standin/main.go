// Command standin runs the cases of the review. It starts the gateways as processes of their own, with
// the command of the deploy file, and is the store, the engines and the clients around them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRuntime ends a case that hangs.
const maxRuntime = 110 * time.Second

func main() {
	cases := map[string]func(*world) (broken bool, err error){"late-rejection": lateRejection, "double-slash": doubleSlash, "locked-out": lockedOut}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		os.Exit(exitNotRun)
	}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		<-stop
		w.close()
		os.Exit(exitNotRun)
	}()
	time.AfterFunc(maxRuntime, func() {
		w.close()
		fmt.Fprintln(os.Stderr, "case could not run: it took too long")
		os.Exit(exitNotRun)
	})
	broken, err := cases[os.Args[1]](w)
	w.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		fmt.Println("rule broken; see record.txt")
		os.Exit(exitBroken)
	}
	fmt.Println("rule held")
}
