package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// misbehavingPerProcess is the number of misbehaving clients at each process.
	misbehavingPerProcess = 6
	// maxHoldTime is the longest time for which a misbehaving client holds a connection.
	maxHoldTime = 3 * time.Second
	// oddHeadBytes is the size of the heads with many fields.
	oddHeadBytes = 12 << 10
	// resourceInterval is the time between two looks at the memory and the descriptors of a process.
	resourceInterval = 100 * time.Millisecond
)

// oddTexts returns what misbehaving clients send: heads that never end, heads of odd forms, and requests without their bodies.
func oddTexts() []string {
	var fields strings.Builder
	for n := 0; fields.Len() < oddHeadBytes; n++ {
		fmt.Fprintf(&fields, "a%x:\r\n", n)
	}
	head := "POST /none/ HTTP/1.1\r\nHost: " + hostName + "\r\n"
	return []string{
		"", "GET", head, head + fields.String(), head + fields.String() + "\r\n", head + "Content-Length: 9\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\n1;",
		head + "Expect: 100-continue\r\nContent-Length: 9\r\n\r\n", "\r\n\r\n\r\n", "\x00\x01\xff", head + " folded\r\n", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
		head + "X-Request-Id: " + strings.Repeat("i", oddHeadBytes) + "\r\n\r\n", "GET /" + strings.Repeat("%41", oddHeadBytes/3) + " HTTP/1.1\r\nHost: h\r\n\r\n",
	}
}

// startMisbehaving starts clients at each process that send odd texts to one of its ports, hold the connection for a while and
// begin anew.
func (w *world) startMisbehaving(ctx context.Context, all *sync.WaitGroup) {
	texts := oddTexts()
	for n, g := range w.gateways {
		for k := range misbehavingPerProcess {
			rng := rand.New(rand.NewPCG(w.o.Seed, uint64(n*misbehavingPerProcess+k)))
			all.Go(func() {
				for ctx.Err() == nil {
					port := []int{portClients, portClients, portReadiness, portMetrics, portPeers}[rng.IntN(5)]
					misbehave(ctx, g.address(port), texts[rng.IntN(len(texts))], time.Duration(rng.Int64N(int64(maxHoldTime))))
				}
			})
		}
	}
}

// misbehave sends a text on a new connection and holds the connection.
func misbehave(ctx context.Context, address, text string, hold time.Duration) {
	defer func() {
		select {
		case <-ctx.Done():
		case <-time.After(hold):
		}
	}()
	conn, err := net.DialTimeout("tcp", address, hold+time.Millisecond)
	if err != nil {
		return // the process is down, or has no room
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	time.AfterFunc(hold, func() { conn.Close() })
	_, _ = io.WriteString(conn, text) // the process may close the connection
}

// watchResources records the peak of the memory and of the descriptors of all processes until ctx ends.
func (w *world) watchResources(ctx context.Context) {
	for ctx.Err() == nil {
		for _, g := range w.gateways {
			pid, running := g.pid()
			if !running {
				continue
			}
			memory, descriptors := usedBy(pid)
			w.observed.record(func() {
				w.observed.PeakMemoryMB = max(w.observed.PeakMemoryMB, memory)
				w.observed.MostDescriptors = max(w.observed.MostDescriptors, descriptors)
			})
		}
		time.Sleep(resourceInterval)
	}
}

// usedBy returns the peak of the resident memory of a process, in MB, and the number of its descriptors; 0 once it has ended.
func usedBy(pid int) (memoryMB float64, descriptors int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmHWM: %f kB", &kb); err == nil {
			memoryMB = kb / 1024
		}
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return memoryMB, 0
	}
	return memoryMB, len(open)
}

// processesStayWithinLimits checks the memory and the descriptors of the processes if the options limit them.
func (c *checker) processesStayWithinLimits() Guarantee {
	g := Guarantee{Name: "processes stay within their memory and descriptors"}
	if c.o.MemoryMB > 0 {
		g.Cases++
		if c.observed.PeakMemoryMB > c.o.MemoryMB {
			g.addViolation("", "a process took %.0f MB, the limit is %.0f MB", c.observed.PeakMemoryMB, c.o.MemoryMB)
		}
	}
	if c.o.Descriptors > 0 {
		g.Cases++
		if c.observed.MostDescriptors >= c.o.Descriptors {
			g.addViolation("", "a process had %d descriptors open, the limit is %d", c.observed.MostDescriptors, c.o.Descriptors)
		}
	}
	return g
}
