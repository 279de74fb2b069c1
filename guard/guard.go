// Package guard prevents a process from writing after a deadline, even if the
// process is stopped between checking the deadline and writing. It arms a kernel
// timer that kills the process at the deadline, checks the deadline, writes, and
// disarms the timer.
//
// If the process is paused before the check, the check detects that the deadline
// has passed. If it is paused between the check and the write, the kernel kills it
// at the deadline while it is still stopped, so the write never happens. The
// process is lost only if a pause begins within these few microseconds and lasts
// beyond the deadline.
//
// The guard gives no protection if the whole host is suspended and its kernel
// delivers the signal only after the process has resumed.
package guard

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
)

// sigevent is the kernel's struct sigevent on 64-bit systems.
type sigevent struct {
	value  uint64
	signo  int32
	notify int32
	pad    [48]byte
}

// itimerspec is the kernel's struct itimerspec.
type itimerspec struct {
	interval unix.Timespec
	value    unix.Timespec
}

const (
	sigevSignal  = 0
	timerAbstime = 1
)

// Timer kills the process at a given instant unless it is disarmed before.
type Timer struct{ id int32 }

// Arm starts a Timer for an instant of the boot-time clock.
func Arm(at bootclock.Instant) (*Timer, error) {
	ev := sigevent{signo: int32(unix.SIGKILL), notify: sigevSignal}
	t := &Timer{}
	_, _, errno := unix.RawSyscall(unix.SYS_TIMER_CREATE, unix.CLOCK_BOOTTIME, uintptr(unsafe.Pointer(&ev)), uintptr(unsafe.Pointer(&t.id)))
	if errno != 0 {
		return nil, fault.Wrap(errno, fault.Internal, "kernel timer cannot be created", "raise the limit on pending signals of this process")
	}
	spec := itimerspec{value: unix.NsecToTimespec(int64(max(at, 1)))}
	_, _, errno = unix.RawSyscall6(unix.SYS_TIMER_SETTIME, uintptr(t.id), timerAbstime, uintptr(unsafe.Pointer(&spec)), 0, 0, 0)
	if errno != 0 {
		t.Disarm()
		return nil, fault.Wrap(errno, fault.Internal, "kernel timer cannot be armed", "report this as a defect")
	}
	return t, nil
}

// Disarm deletes the timer.
func (t *Timer) Disarm() {
	_, _, _ = unix.RawSyscall(unix.SYS_TIMER_DELETE, uintptr(t.id), 0, 0)
}

// Do runs write if at least margin remains until the deadline, and returns
// ErrTooLate otherwise. A Timer for the deadline is armed during both the check and
// the write. write must not block.
func Do(deadline bootclock.Instant, margin time.Duration, write func() error) error {
	if bootclock.Now().Add(margin) >= deadline {
		return ErrTooLate // a timer for a past instant would kill the process at once
	}
	t, err := Arm(deadline)
	if err != nil {
		return err
	}
	defer t.Disarm()
	if bootclock.Now().Add(margin) >= deadline {
		return ErrTooLate
	}
	return write()
}

// ErrTooLate means that less than the margin remained until the deadline.
var ErrTooLate = fault.New(fault.Denied, "authority ends too soon for this write", "the next holder of the lease carries on")
