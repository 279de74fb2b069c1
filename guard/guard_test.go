package guard

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
)

const (
	childVariable  = "ROCKDOOR_GUARD_CHILD"
	timeToDeadline = 300 * time.Millisecond
)

func TestMain(m *testing.M) {
	if where := os.Getenv(childVariable); where != "" {
		child(where)
		return
	}
	os.Exit(m.Run())
}

// child stops itself at the given place and tries to write after it is continued.
func child(where string) {
	deadline := bootclock.Now().Add(timeToDeadline)
	pause := func(here string) {
		if here == where {
			fmt.Println("stopped")
			_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		}
	}
	write := func() error {
		pause("inside")
		fmt.Println("written")
		return nil
	}
	pause("before")
	if where == "unguarded" {
		if bootclock.Now() < deadline {
			fmt.Println("stopped")
			_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
			fmt.Println("written")
		}
		return
	}
	if err := Do(deadline, 0, write); err != nil {
		fmt.Println("refused")
	}
	pause("after")
}

// run starts a child, waits until it has stopped itself, and continues it only
// when its deadline has passed.
func run(t *testing.T, where string) (lines []string, killed bool) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVariable+"="+where)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	sc := bufio.NewScanner(out)
	for sc.Scan() {
		lines = append(lines, sc.Text())
		if sc.Text() == "stopped" {
			time.Sleep(2 * timeToDeadline)
			_ = cmd.Process.Signal(syscall.SIGCONT)
		}
	}
	err = cmd.Wait()
	if exit, ok := err.(*exec.ExitError); ok {
		status := exit.Sys().(syscall.WaitStatus)
		killed = status.Signaled() && status.Signal() == syscall.SIGKILL
	}
	return lines, killed
}

func TestProcessPausedPastItsDeadlineNeverWritesLate(t *testing.T) {
	lines, killed := run(t, "unguarded")
	require.Equal(t, []string{"stopped", "written"}, lines, "a check alone does not prevent a late write")
	require.False(t, killed)

	lines, killed = run(t, "inside")
	require.Equal(t, []string{"stopped"}, lines)
	require.True(t, killed, "killed by the kernel while it was stopped")

	lines, killed = run(t, "before")
	require.Equal(t, []string{"stopped", "refused"}, lines)
	require.False(t, killed, "a pause before the guarded section does not kill the process")

	lines, killed = run(t, "after")
	require.Equal(t, []string{"written", "stopped"}, lines)
	require.False(t, killed)
}

func TestDoRefusesWhenTheDeadlineIsNear(t *testing.T) {
	wrote := false
	err := Do(bootclock.Now().Add(time.Second), 2*time.Second, func() error { wrote = true; return nil })
	require.True(t, fault.Is(err, fault.Denied))
	require.False(t, wrote)
	require.NoError(t, Do(bootclock.Now().Add(time.Minute), time.Second, func() error { wrote = true; return nil }))
	require.True(t, wrote)
}

func BenchmarkDo(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_ = Do(bootclock.Now().Add(time.Minute), time.Second, func() error { return nil })
	}
}
