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

// Ports of a gateway, each of which has an IP number of its own.
const (
	portCallers   = 8080
	portReadiness = 8081
	portMetrics   = 9464
	portPeers     = 7660
)

// gateway is a gateway process and those that take its place.
type gateway struct {
	w      *world
	number int
	ip     string

	mu  sync.Mutex
	cmd *exec.Cmd
	// life counts the starts, ended is closed when the process of this life has ended.
	life  int
	ended chan struct{}
	// why is the signal that ends this life, overdue that it outlived the grace period.
	why     string
	overdue bool
	asked   time.Time
	// frozen counts the freezes that have not ended.
	frozen int
	slack  float64
}

func newGateway(w *world, number int) *gateway {
	ended := make(chan struct{})
	close(ended)
	return &gateway{
		w: w, number: number, ip: fmt.Sprintf("%s.%d", w.subnet, number+1), ended: ended, slack: w.o.Bounds.RetrySlack,
	}
}

func (g *gateway) name() string            { return gatewayName(g.number) }
func (g *gateway) address(port int) string { return fmt.Sprintf("%s:%d", g.ip, port) }
func (g *gateway) settingsFile() string    { return filepath.Join(g.w.o.Dir, g.name()+".json") }
func (g *gateway) logFile() string         { return filepath.Join(g.w.o.Dir, g.name()+".log") }
func (g *gateway) clockFile() string       { return filepath.Join(g.w.o.Dir, g.name()+".clock") }
func gatewayName(number int) string        { return fmt.Sprintf("gateway-%d", number) }

// setClock has the clock of the process, and of those that take its place, be wrong.
func (g *gateway) setClock(by time.Duration) error {
	next := g.clockFile() + ".next"
	if err := os.WriteFile(next, []byte(by.String()), 0o600); err != nil {
		return fmt.Errorf("clock of %s: %w", g.name(), err)
	}
	if err := os.Rename(next, g.clockFile()); err != nil {
		return fmt.Errorf("clock of %s: %w", g.name(), err)
	}
	return nil
}

// writeSettings writes the settings file as the platform does.
func (g *gateway) writeSettings() error {
	b, host := g.w.o.Bounds, g.w.o.Layout.host(g.number)
	text := fmt.Sprintf(`{
  "name": %q, "domain": %q, "store": %q,
  "listen": %q, "readiness": %q, "metrics": %q, "peer": %q, "weight": %v, "memoryMB": %v,
  "bounds": {"apply": %q, "settle": %q, "drain": %q, "grace": %q, "notice": %q, "lease": %q,
    "retryRatio": %v, "retrySlack": %v, "retryWindow": %q},
  "duties": {"address": %q, "kinds": "metering", "usageWindow": "1s", "usageDue": "4s"},
}
`, g.name(), host.Domain, g.w.storeLink(g).Address,
		g.address(portCallers), g.address(portReadiness), g.address(portMetrics), g.address(portPeers), host.Weight, g.w.o.MemoryMB,
		b.Apply, b.Contact, b.Drain, b.Grace, b.Notice, b.Lease, b.RetryRatio, g.slack, b.RetryWindow, g.w.apiLink(g).Address)
	if err := os.WriteFile(g.settingsFile(), []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", g.name(), err)
	}
	return nil
}

// start begins a new life if the one before has ended.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running() {
		return nil
	}
	log, err := os.OpenFile(g.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", g.name(), err)
	}
	defer log.Close()
	args := append(append([]string{}, g.w.o.Command[1:]...), "gateway", "serve", "--settings", g.settingsFile())
	cmd := exec.Command(g.w.o.Command[0], args...)
	cmd.Env = append(append(os.Environ(), g.w.o.Env...), wallclock.FileVariable+"="+g.clockFile())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s does not start: %w", g.name(), err)
	}
	g.cmd, g.life, g.ended, g.why, g.overdue, g.frozen = cmd, g.life+1, make(chan struct{}), "", false, 0
	life := g.life
	g.w.facts.note(func() { g.w.facts.Starts[g.number] = append(g.w.facts.Starts[g.number], time.Now()) })
	go g.await(cmd, life, g.ended)
	return nil
}

func (g *gateway) await(cmd *exec.Cmd, life int, ended chan struct{}) {
	err := cmd.Wait()
	e := Exit{Gateway: g.number, Life: life, At: time.Now()}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		e.Code = exit.ExitCode()
		if status, ok := exit.Sys().(syscall.WaitStatus); ok && status.Signaled() {
			e.Signal = status.Signal().String()
		}
	}
	g.mu.Lock()
	e.Why, e.Overdue, e.Asked = g.why, g.overdue, g.asked
	close(ended)
	g.mu.Unlock()
	g.w.facts.note(func() { g.w.facts.Exits = append(g.w.facts.Exits, e) })
	if e.Why == "" {
		g.w.event("%s ended by itself with code %d %s", g.name(), e.Code, e.Signal)
		g.w.later(startAgain, func() { g.w.fail(g.start()) })
	}
}

// startAgain is how long after its end a process is started again that nobody told to end.
const startAgain = 500 * time.Millisecond

// running reports whether the process of this life has not ended. The caller holds the lock.
func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// state returns the number of the life, and whether it is running and has not been told to end.
func (g *gateway) state() (life int, serving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.life, g.running() && g.why == ""
}

// pid returns the id of the process of this life.
func (g *gateway) pid() (pid int, running bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running() {
		return 0, false
	}
	return g.cmd.Process.Pid, true
}

// done returns what is closed when the present life has ended.
func (g *gateway) done() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// signal sends a signal to the process of this life, by its id.
func (g *gateway) signal(s syscall.Signal) {
	if !g.running() {
		return
	}
	if err := g.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		g.w.fail(fmt.Errorf("signal %s to %s: %w", s, g.name(), err))
	}
}

// kill ends the process at once.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running() {
		g.why = "SIGKILL"
	}
	g.signal(syscall.SIGKILL)
}

// stop asks the process to end, and ends it after the grace period.
func (g *gateway) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running() || g.why != "" {
		return
	}
	g.why, g.asked = "SIGTERM", time.Now()
	g.signal(syscall.SIGTERM)
	ended := g.ended
	g.w.later(g.w.o.Bounds.Grace, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.ended == ended && g.running() {
			g.overdue = true
			g.signal(syscall.SIGKILL)
		}
	})
}

// freeze stops the process for a time. Freezes that overlap end with the last one.
func (g *gateway) freeze(length time.Duration, d *Disturbance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen++
	life := g.life
	g.signal(syscall.SIGSTOP)
	g.w.until(length, d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.life != life {
			return
		}
		if g.frozen--; g.frozen == 0 {
			g.signal(syscall.SIGCONT)
		}
	})
}

// reload has the process read settings with another slack that is no larger than the bound.
func (g *gateway) reload(slack float64) error {
	g.mu.Lock()
	g.slack = slack
	g.mu.Unlock()
	if err := g.writeSettings(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signal(syscall.SIGHUP)
	return nil
}
