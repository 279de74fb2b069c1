// Package tcpqueue tells how many bytes that were sent on a connection have not been acknowledged, which shows whether
// the other host can still be reached.
package tcpqueue

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// acknowledging is implemented by connections that are not sockets and that know what the other side has received.
type acknowledging interface{ UnacknowledgedBytes() int }

// Unacknowledged returns the number of bytes that were sent on a connection and that the kernel of the other host has
// not acknowledged. It is 0 if that is not known.
func Unacknowledged(c net.Conn) int {
	if a, ok := c.(acknowledging); ok {
		return a.UnacknowledgedBytes()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0 // closed
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return 0 // closed
	}
	return n
}
