// Package resources tells how much memory and how many descriptors a process may use, and divides them among their uses.
package resources

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Shares of the memory limit. What they leave is for the program itself, the state of the deployment and garbage.
const (
	// GoShare is the share that is set as the soft limit of the Go runtime: from there on the garbage collector runs more
	// often. It does not include the pages of the program file.
	GoShare = 0.7
	// BodyShare is the share of buffered request and response bodies.
	BodyShare = 0.25
	// RelayShare is the share of connections that are relayed for other processes.
	RelayShare = 0.125
	// connectionShare is the share of client connections, headShare that of large heads of requests.
	connectionShare = 0.15
	headShare       = 0.1
)

const (
	// connectionMemory is the memory in bytes that a connection takes with its buffers, its goroutine and a head of usual size.
	connectionMemory = 16 << 10
	// hostShare is the share of the host's memory that a process uses if no limit is set anywhere.
	hostShare = 0.5
	// MaxMemory is above any real limit in bytes, and far enough from overflow to be multiplied.
	MaxMemory = 1 << 50
	// unknownMemoryMB and unknownDescriptors are used where the system does not tell its limits.
	unknownMemoryMB    = 512
	unknownDescriptors = 1024

	bytesPerMB = 1 << 20
)

// Shares of the descriptors. What they leave is for the store, files and calls to other processes and instances.
const (
	clientDescriptorShare   = 1. / 2
	idleDescriptorShare     = 1. / 8
	peerDescriptorShare     = 1. / 4
	waitingPeerShare        = 1. / 8
	operatorDescriptorShare = 1. / 64
	// minOperatorDescriptors is kept for each of the ports of operators and of readiness checks.
	minOperatorDescriptors = 8
)

// Limits are the limits of a process.
type Limits struct {
	MemoryMB float64
	// MemorySource says where the limit on the memory was found.
	MemorySource string
	Descriptors  int
}

// Detect returns the limits of this process. Settings of 0 are replaced by the limits of the environment: GOMEMLIMIT, the
// memory limit of the control group, or half of the host's memory, and the limit on open files.
func Detect(memoryMB float64, descriptors int) Limits {
	l := Limits{Descriptors: descriptors}
	l.MemoryMB, l.MemorySource = detectMemory(memoryMB)
	open := openFiles()
	switch {
	case l.Descriptors <= 0 && open == 0:
		l.Descriptors = unknownDescriptors
	case l.Descriptors <= 0, open > 0 && open < l.Descriptors:
		l.Descriptors = open
	}
	return l
}

func detectMemory(settingMB float64) (mb float64, source string) {
	host, group := hostMemory(), groupLimit()
	switch {
	case settingMB > 0:
		return settingMB, "settings"
	case initialGoLimit != math.MaxInt64:
		return float64(initialGoLimit) / bytesPerMB, "GOMEMLIMIT"
	case group > 0 && (host == 0 || group < host):
		return float64(group) / bytesPerMB, "control group"
	case host > 0:
		return hostShare * float64(host) / bytesPerMB, "host"
	}
	return unknownMemoryMB, "unknown"
}

// initialGoLimit is the limit that the environment sets. It is read before the process sets its own.
var initialGoLimit = debug.SetMemoryLimit(-1)

// groupLimitFile has the memory limit of the control group, as seen from inside it.
const groupLimitFile = "/sys/fs/cgroup/memory.max"

// groupLimit returns the memory limit of the control group in bytes, 0 if there is none.
func groupLimit() int64 {
	text, err := os.ReadFile(groupLimitFile)
	if err != nil {
		return 0 // not in a group, or one of another version
	}
	n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0 // "max"
	}
	return n
}

// hostMemory returns the memory of the host in bytes, 0 if it is not known.
func hostMemory() int64 {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var kb int64
		if _, err := fmt.Sscanf(lines.Text(), "MemTotal: %d kB", &kb); err == nil {
			return kb << 10
		}
	}
	return 0
}

// openFiles returns the limit on open files, 0 if it is not known.
func openFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Share returns a share of the memory in bytes. It is positive, as 0 would mean that there is no limit.
func (l Limits) Share(share float64) int64 {
	return int64(max(1, min(l.MemoryMB*share*bytesPerMB, MaxMemory)))
}

// HeadMemory returns the memory in bytes that large heads of requests may take.
func (l Limits) HeadMemory() int64 { return l.Share(headShare) }

// ClientDescriptors returns the number of descriptors for clients, and for the instances that handle their requests.
func (l Limits) ClientDescriptors() int {
	return max(1, min(int(clientDescriptorShare*float64(l.Descriptors)), int(l.Share(connectionShare)/connectionMemory)))
}

// IdleDescriptors returns the number of descriptors for idle connections to instances.
func (l Limits) IdleDescriptors() int { return max(1, int(idleDescriptorShare*float64(l.Descriptors))) }

// PeerDescriptors returns the number of descriptors for connections from other processes, and for those of them on which no call
// has arrived yet.
func (l Limits) PeerDescriptors() (all, waiting int) {
	return max(1, int(peerDescriptorShare*float64(l.Descriptors))), max(1, int(waitingPeerShare*float64(l.Descriptors)))
}

// OperatorDescriptors returns the number of descriptors for each of the ports of operators and of readiness checks.
func (l Limits) OperatorDescriptors() int {
	return max(minOperatorDescriptors, int(operatorDescriptorShare*float64(l.Descriptors)))
}
