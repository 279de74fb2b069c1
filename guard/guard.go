// Package guard bounds in time what a process writes to the outside, even if
// the process is stopped in the middle. It arms a kernel timer that kills the
// process at a deadline, does its check and its write, and disarms the timer.
//
// A process that is paused before the check notices at the check that the
// deadline has passed. A process that is paused between the check and the write
// is killed by the kernel at the deadline while it is still stopped, so the
// write never happens. Only a pause within those few microseconds that outlasts
// the deadline costs the process.
//
// The guard does not hold where the whole host is suspended and its kernel
// delivers the signal only after the process has run again.
package guard

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
)

// sigevent is struct sigevent of the kernel for 64-bit systems.
type sigevent struct {
	value  uint64
	signo  int32
	notify int32
	pad    [48]byte
}

// itimerspec is struct itimerspec of the kernel.
type itimerspec struct {
	interval unix.Timespec
	value    unix.Timespec
}

const (
	sigevSignal  = 0
	timerAbstime = 1
)

// Timer kills the process at an instant unless it is disarmed before.
type Timer struct{ id int32 }

// Arm starts a timer for the given instant of the boot-time clock.
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

// Disarm stops the timer.
func (t *Timer) Disarm() {
	_, _, _ = unix.RawSyscall(unix.SYS_TIMER_DELETE, uintptr(t.id), 0, 0)
}

// Do runs write if the deadline is at least margin away, with a timer armed for
// the deadline around both the check and the write. write must not block.
func Do(deadline bootclock.Instant, margin time.Duration, write func() error) error {
	if bootclock.Now().Add(margin) >= deadline {
		return ErrTooLate // a timer armed for the past would kill at once
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

// ErrTooLate means that the deadline was too near for the write.
var ErrTooLate = fault.New(fault.Denied, "authority ends too soon for this write", "the next holder of the lease carries on")
