package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rockdoor/rockdoor/wallclock"
)

// Ports of a gateway. Each gateway has its own IP address.
const (
	portClients   = 8080
	portReadiness = 8081
	portMetrics   = 9464
	portPeers     = 7660
)

// gateway is a gateway process. When the process ends, a new one replaces it under the same name.
type gateway struct {
	w      *world
	number int
	ip     string

	mu  sync.Mutex
	cmd *exec.Cmd
	// incarnation counts the starts. ended is closed when the process of this incarnation has
	// exited.
	incarnation int
	ended       chan struct{}
	// sentSignal is the signal that was sent to end this incarnation. exceededGrace is true if it
	// had to be killed after the grace period.
	sentSignal      string
	exceededGrace   bool
	stopRequestedAt time.Time
	// activeFreezes counts the freezes that have not ended.
	activeFreezes int
	retrySlack    float64
}

func newGateway(w *world, number int) *gateway {
	ended := make(chan struct{})
	close(ended)
	return &gateway{
		w: w, number: number, ip: fmt.Sprintf("%s.%d", w.subnet, number+1), ended: ended, retrySlack: w.o.Bounds.RetrySlack,
	}
}

func (g *gateway) name() string            { return gatewayName(g.number) }
func (g *gateway) address(port int) string { return fmt.Sprintf("%s:%d", g.ip, port) }
func (g *gateway) settingsFile() string    { return filepath.Join(g.w.o.Dir, g.name()+".json") }
func (g *gateway) logFile() string         { return filepath.Join(g.w.o.Dir, g.name()+".log") }
func (g *gateway) clockFile() string       { return filepath.Join(g.w.o.Dir, g.name()+".clock") }
func gatewayName(number int) string        { return fmt.Sprintf("gateway-%d", number) }

// setClock sets the clock error of the process and of those that replace it.
func (g *gateway) setClock(by time.Duration) error {
	if err := replaceFile(g.clockFile(), by.String()); err != nil {
		return fmt.Errorf("cannot set clock of %s: %w", g.name(), err)
	}
	return nil
}

// replaceFile writes a file so that a process which reads it meanwhile gets the old content or the new one. Overlapping calls
// for the same file are safe; one of them is the last.
func replaceFile(name, text string) error {
	next, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".next-")
	if err != nil {
		return err
	}
	_, err = next.WriteString(text)
	if err = errors.Join(err, next.Close()); err != nil {
		return err
	}
	return os.Rename(next.Name(), name)
}

// writeSettings writes the settings file as the platform does.
func (g *gateway) writeSettings() error {
	b, host := g.w.o.Bounds, g.w.o.Layout.host(g.number)
	text := fmt.Sprintf(`{
  "name": %q, "domain": %q, "store": %q,
  "listen": %q, "readiness": %q, "metrics": %q, "peer": %q, "weight": %v, "memoryMB": %v, "descriptors": %d,
  "bounds": {"apply": %q, "settle": %q, "drain": %q, "grace": %q, "notice": %q, "lease": %q,
    "retryRatio": %v, "retrySlack": %v, "retryWindow": %q},
  "duties": {"address": %q, "kinds": "metering", "usageWindow": "1s", "usageDue": "4s"},
  "scheduling": {"wholeRequests": "auto", "engineProfiles": "auto", "workspaceShares": "auto", "engineOrders": "demand", "hungAttempts": "auto"},
}
`, g.name(), host.Domain, g.w.storeLink(g).Address,
		g.address(portClients), g.address(portReadiness), g.address(portMetrics), g.address(portPeers), host.Weight, g.w.o.MemoryMB, g.w.o.Descriptors,
		b.Apply, b.ContactTime, b.Drain, b.Grace, b.Notice, b.Lease, b.RetryRatio, g.retrySlack, b.RetryWindow, g.w.apiLink(g).Address)
	if err := replaceFile(g.settingsFile(), text); err != nil {
		return fmt.Errorf("cannot write settings of %s: %w", g.name(), err)
	}
	return nil
}

// start starts a new incarnation if the previous one has exited.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running() {
		return nil
	}
	log, err := os.OpenFile(g.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("cannot open log of %s: %w", g.name(), err)
	}
	defer log.Close()
	args := append(append([]string{}, g.w.o.Command[1:]...), "gateway", "serve", "--settings", g.settingsFile())
	cmd := exec.Command(g.w.o.Command[0], args...)
	cmd.Env = append(append(os.Environ(), g.w.o.Env...), wallclock.OffsetFileVariable+"="+g.clockFile())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("cannot start %s: %w", g.name(), err)
	}
	g.cmd, g.incarnation, g.ended, g.sentSignal, g.exceededGrace, g.activeFreezes = cmd, g.incarnation+1, make(chan struct{}), "", false, 0
	incarnation := g.incarnation
	g.w.observed.record(func() { g.w.observed.Starts[g.number] = append(g.w.observed.Starts[g.number], time.Now()) })
	go g.waitForExit(cmd, incarnation, g.ended)
	return nil
}

func (g *gateway) waitForExit(cmd *exec.Cmd, incarnation int, ended chan struct{}) {
	err := cmd.Wait()
	e := Exit{Gateway: g.number, Incarnation: incarnation, At: time.Now()}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		e.Code = exit.ExitCode()
		if status, ok := exit.Sys().(syscall.WaitStatus); ok && status.Signaled() {
			e.Signal = status.Signal().String()
		}
	}
	g.mu.Lock()
	e.SentSignal, e.ExceededGrace, e.StopRequestedAt = g.sentSignal, g.exceededGrace, g.stopRequestedAt
	close(ended)
	g.mu.Unlock()
	g.w.observed.record(func() { g.w.observed.Exits = append(g.w.observed.Exits, e) })
	if e.SentSignal == "" {
		g.w.logEvent("%s exited on its own with code %d %s", g.name(), e.Code, e.Signal)
		g.w.runAfter(restartDelay, func() { g.w.recordFailure(g.start()) })
	}
}

// restartDelay is the time after which a process that exited on its own is started again.
const restartDelay = 500 * time.Millisecond

// running reports whether the process of this incarnation is running. Callers hold the lock.
func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// state returns the number of the incarnation, and whether it is running and was not told to end.
func (g *gateway) state() (incarnation int, serving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation, g.running() && g.sentSignal == ""
}

// stopping reports whether an incarnation was told to exit by itself.
func (g *gateway) stopping(incarnation int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation == incarnation && g.sentSignal == "SIGTERM" && !g.exceededGrace
}

// pid returns the process ID of this incarnation.
func (g *gateway) pid() (pid int, running bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running() {
		return 0, false
	}
	return g.cmd.Process.Pid, true
}

// done returns a channel that is closed when the current incarnation has exited.
func (g *gateway) done() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// signal sends a signal to the process of this incarnation. Callers hold the lock.
func (g *gateway) signal(s syscall.Signal) {
	if !g.running() {
		return
	}
	if err := g.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		g.w.recordFailure(fmt.Errorf("cannot send signal %s to %s: %w", s, g.name(), err))
	}
}

// kill ends the process with SIGKILL.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running() {
		g.sentSignal = "SIGKILL"
	}
	g.signal(syscall.SIGKILL)
}

// stop ends the process with SIGTERM, and with SIGKILL after the grace period.
func (g *gateway) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running() || g.sentSignal != "" {
		return
	}
	g.sentSignal, g.stopRequestedAt = "SIGTERM", time.Now()
	g.signal(syscall.SIGTERM)
	ended := g.ended
	g.w.runAfter(g.w.o.Bounds.Grace, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.ended == ended && g.running() {
			g.exceededGrace = true
			g.signal(syscall.SIGKILL)
		}
	})
}

// throttlePeriod is the period in which a process is given its share of the time. Kernels use the same for quotas.
const throttlePeriod = 100 * time.Millisecond

// throttle lets the process run for a share of the time only, until the run ends.
func (g *gateway) throttle(share float64) {
	signal := func(s syscall.Signal) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.activeFreezes == 0 {
			g.signal(s)
		}
	}
	run := time.Duration(share * float64(throttlePeriod))
	for g.w.ctx.Err() == nil {
		signal(syscall.SIGCONT)
		time.Sleep(run)
		signal(syscall.SIGSTOP)
		time.Sleep(throttlePeriod - run)
	}
	signal(syscall.SIGCONT)
}

// freeze suspends the process for a time. Overlapping freezes end with the last one.
func (g *gateway) freeze(length time.Duration, d *Disturbance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.activeFreezes++
	incarnation := g.incarnation
	g.signal(syscall.SIGSTOP)
	g.w.endAfter(length, d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.incarnation != incarnation {
			return
		}
		if g.activeFreezes--; g.activeFreezes == 0 {
			g.signal(syscall.SIGCONT)
		}
	})
}

// reload writes settings with another retry slack, which is at most the one in the bounds, and has
// the process read them.
func (g *gateway) reload(slack float64) error {
	g.mu.Lock()
	g.retrySlack = slack
	g.mu.Unlock()
	if err := g.writeSettings(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signal(syscall.SIGHUP)
	return nil
}
