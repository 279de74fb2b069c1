// Package suspects tells the processes of a deployment which requests ended the instances
// that ran them.
package suspects

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/quarantine"
)

const (
	// gather is how long what is observed is collected before it is told: all requests in hand
	// at an engine break off together when it ends.
	gather = 10 * time.Millisecond
	// askEvery is how often one other process is asked for what was missed.
	askEvery = time.Second
	// askFirst is how often others are asked by a process that has just started and knows nothing,
	// until one has answered, or for firstTime: it would have requests end engines that all others
	// refuse.
	askFirst  = 20 * time.Millisecond
	firstTime = 2 * time.Second
	// callTimeout bounds one exchange.
	callTimeout = 500 * time.Millisecond
	// maxNews bounds the observations of one message; the rest follows with the next.
	maxNews = 2000
)

// Options of a Sharer.
type Options struct {
	// Run names this run of the process.
	Run       string
	Table     *quarantine.Table
	Transport *peer.Transport
	// Peers returns the processes that are told, without this one.
	Peers  func() []members.Member
	Logger log.Logger
}

// Syncer exchanges observations with other processes.
type Syncer struct {
	o      Options
	logger log.Logger
	// heard is true once another process has answered.
	heard atomic.Bool

	mu   sync.Mutex
	told map[string]told // by peer
}

// told is how far a peer and this process have told each other of what they know.
type told struct {
	// run is the peer's: its numbers begin anew with each.
	run string
	// has is the number of the newest observation here that the peer has, seen that of the newest
	// one there that this process has.
	has, seen uint64
}

// New returns a sharer that has to be run.
func New(o Options) *Syncer {
	return &Syncer{o: o, logger: log.With(o.Logger, "component", "suspects"), told: map[string]told{}}
}

// Run tells others what is new at once, and asks one of them each second, until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	tick := time.NewTicker(askFirst)
	defer tick.Stop()
	begun, first := bootclock.Now(), true
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.o.Table.Updates():
			time.Sleep(gather)
			s.tell(ctx, s.o.Peers())
		case <-tick.C:
			if first && (s.heard.Load() || bootclock.Since(begun) > firstTime) {
				first = false
				tick.Reset(askEvery)
			}
			if peers := s.o.Peers(); len(peers) > 0 {
				s.tell(ctx, []members.Member{peers[rand.IntN(len(peers))]})
			}
		}
	}
	return nil
}

// tell exchanges observations with some processes. It does not wait for them.
func (s *Syncer) tell(ctx context.Context, peers []members.Member) {
	for _, p := range peers {
		go s.exchange(ctx, p)
	}
}

func (s *Syncer) exchange(ctx context.Context, p members.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := s.o.Transport.Call(ctx, p.Peer, &peerpb.Request{Body: &peerpb.Request_Crashes{Crashes: s.message(p.Name)}})
	if err != nil {
		level.Debug(s.logger).Log("msg", "ends of instances not told", "peer", p.Name, "err", err)
		return
	}
	s.hear(resp.GetFrom().GetName(), resp.GetCrashes())
	s.heard.Store(true)
}

// HandlePeer implements peer.Handler.
func (s *Syncer) HandlePeer(_ context.Context, req *peerpb.Request) *peerpb.Response {
	name := req.GetFrom().GetName()
	s.hear(name, req.GetCrashes())
	return &peerpb.Response{Body: &peerpb.Response_Crashes{Crashes: s.message(name)}}
}

// message tells a peer what it is not known to have.
func (s *Syncer) message(peer string) *peerpb.Crashes {
	s.mu.Lock()
	t := s.told[peer]
	s.mu.Unlock()
	news, last := s.o.Table.ObservationsAfter(t.has, maxNews)
	m := &peerpb.Crashes{Run: s.o.Run, After: t.has, Last: last, SeenRun: t.run, Seen: t.seen}
	for _, o := range news {
		age := max(bootclock.Since(o.At), 0)
		m.News = append(m.News, &peerpb.Crash{Request: o.Request[:], Instance: o.Instance, RanMs: uint32(o.RunTime.Milliseconds()), AgeMs: uint32(age.Milliseconds())})
	}
	return m
}

// hear takes in what a peer knows, and how much of what this process knows it has.
func (s *Syncer) hear(peer string, m *peerpb.Crashes) {
	s.o.Table.Merge(decode(m.GetNews()))
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.told[peer]
	if t.run != m.GetRun() {
		t = told{run: m.GetRun()}
	}
	if m.GetAfter() <= t.seen { // otherwise some are missing in between: it does not know that this process is new
		t.seen = max(t.seen, m.GetLast())
	}
	t.has = 0
	if m.GetSeenRun() == s.o.Run {
		t.has = m.GetSeen()
	}
	s.told[peer] = t
}

func decode(news []*peerpb.Crash) []quarantine.Observation {
	var out []quarantine.Observation
	for _, c := range news {
		if len(c.GetRequest()) != len(quarantine.Fingerprint{}) {
			continue // of a version that names requests otherwise
		}
		at := bootclock.Now().Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		out = append(out, quarantine.Observation{Request: quarantine.Fingerprint(c.GetRequest()), Instance: c.GetInstance(), RunTime: time.Duration(c.GetRanMs()) * time.Millisecond, At: at})
	}
	return out
}
