// Package overload sheds new connections of a process that gets more work than its processor can do, for example because
// a load balancer hands most new connections to one host. A connection that is closed before its request was read tells
// the client that nothing has run, so that it tries another host.
package overload

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
)

const (
	// sampleInterval is the time between two samples of the delay with which the process runs.
	sampleInterval = 50 * time.Millisecond
	// maxDelay is the delay of a sample from which the processor counts as overloaded. A processor quota delays a process
	// by up to 100 ms without any overload.
	maxDelay = 120 * time.Millisecond
	// The share of new connections that are shed rises by shareRise with each sample that is late, up to maxShare, and
	// falls by shareFall with each other one.
	shareRise = 0.2
	shareFall = 0.04
	maxShare  = 0.75
)

// Options of a Shedder.
type Options struct {
	// MayShed reports whether there are other hosts that clients can try, and this one isn't just starting.
	MayShed func() bool
	Metrics metrics.Registry
	Logger  log.Logger
}

// Shedder decides which new connections are shed. It is safe for concurrent use.
type Shedder struct {
	o      Options
	logger log.Logger

	mu    sync.Mutex
	share float64
}

// New returns a shedder. The caller must call Run.
func New(o Options) *Shedder {
	return &Shedder{o: o, logger: log.With(o.Logger, "component", "overload")}
}

// Run samples the delay with which this process runs until ctx ends.
func (s *Shedder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		due := time.Now().Add(sampleInterval)
		select {
		case <-ctx.Done():
		case <-time.After(sampleInterval):
			s.sample(time.Since(due), s.o.MayShed())
		}
	}
	return nil
}

// sample records how late the process ran.
func (s *Shedder) sample(delay time.Duration, mayShed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.share
	if delay > maxDelay && mayShed {
		s.share = min(s.share+shareRise, maxShare)
	} else {
		s.share = max(s.share-shareFall, 0)
	}
	if (before == 0) != (s.share == 0) {
		level.Info(s.logger).Log("msg", "shedding of new connections changed", "shedding", s.share > 0, "delay", delay.Round(time.Millisecond))
	}
}

// Share returns the share of new connections that are shed.
func (s *Shedder) Share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share
}

// Listener returns a listener that closes the shed connections of another one.
func (s *Shedder) Listener(l net.Listener) net.Listener { return &listener{l, s} }

type listener struct {
	net.Listener
	shedder *Shedder
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || rand.Float64() >= l.shedder.Share() {
			return conn, err
		}
		metrics.GetOrRegisterCounter("overload.shed_connections", l.shedder.o.Metrics).Inc(1)
		_ = conn.Close() // nothing was read
	}
}
