// Package suspects exchanges observations between the processes of a deployment about which
// requests crashed the instances that ran them.
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
	// batchDelay is how long observations are collected before they are sent: when an engine
	// crashes, all requests in flight there fail together.
	batchDelay = 10 * time.Millisecond
	// pollInterval is how often one random process is asked for missed observations.
	pollInterval = time.Second
	// startupPollInterval is how often a process that has just started asks others, until another
	// process has responded or startupPeriod is over. Without observations it would let requests
	// crash engines that all other processes reject.
	startupPollInterval = 20 * time.Millisecond
	startupPeriod       = 2 * time.Second
	// callTimeout limits one exchange.
	callTimeout = 500 * time.Millisecond
	// maxObservations limits the observations in one message. The rest follows in the next ones.
	maxObservations = 2000
)

// Options of a Syncer.
type Options struct {
	// Run names this run of the process.
	Run       string
	Table     *quarantine.Table
	Transport *peer.Transport
	// Peers returns the processes to exchange observations with, without this process.
	Peers  func() []members.Member
	Logger log.Logger
}

// Syncer exchanges observations with other processes.
type Syncer struct {
	o      Options
	logger log.Logger
	// synced is true once another process has responded.
	synced atomic.Bool

	mu         sync.Mutex
	peerStates map[string]peerState // by peer
}

// peerState is how far a peer and this process have synchronized their observations.
type peerState struct {
	// run is that of the peer. Each run of a process numbers its observations anew.
	run string
	// acked is the number of the newest observation of this process that the peer has, received
	// that of the newest observation of the peer that this process has.
	acked, received uint64
}

// New returns a syncer. The caller must call Run.
func New(o Options) *Syncer {
	return &Syncer{o: o, logger: log.With(o.Logger, "component", "suspects"), peerStates: map[string]peerState{}}
}

// Run sends new observations immediately and exchanges with one random process each second, until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	tick := time.NewTicker(startupPollInterval)
	defer tick.Stop()
	begun, startup := bootclock.Now(), true
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.o.Table.Updates():
			time.Sleep(batchDelay)
			s.exchangeAll(ctx, s.o.Peers())
		case <-tick.C:
			if startup && (s.synced.Load() || bootclock.Since(begun) > startupPeriod) {
				startup = false
				tick.Reset(pollInterval)
			}
			if peers := s.o.Peers(); len(peers) > 0 {
				s.exchangeAll(ctx, []members.Member{peers[rand.IntN(len(peers))]})
			}
		}
	}
	return nil
}

// exchangeAll exchanges observations with the given processes. It does not wait for the responses.
func (s *Syncer) exchangeAll(ctx context.Context, peers []members.Member) {
	for _, p := range peers {
		go s.exchange(ctx, p)
	}
}

func (s *Syncer) exchange(ctx context.Context, p members.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := s.o.Transport.Call(ctx, p.Peer, &peerpb.Request{Body: &peerpb.Request_Crashes{Crashes: s.newMessage(p.Name)}})
	if err != nil {
		level.Debug(s.logger).Log("msg", "crashes of instances not sent", "peer", p.Name, "err", err)
		return
	}
	s.applyMessage(resp.GetFrom().GetName(), resp.GetCrashes())
	s.synced.Store(true)
}

// HandlePeer implements peer.Handler.
func (s *Syncer) HandlePeer(_ context.Context, req *peerpb.Request) *peerpb.Response {
	name := req.GetFrom().GetName()
	s.applyMessage(name, req.GetCrashes())
	return &peerpb.Response{Body: &peerpb.Response_Crashes{Crashes: s.newMessage(name)}}
}

// newMessage returns a message with the observations that a peer is not known to have.
func (s *Syncer) newMessage(peer string) *peerpb.Crashes {
	s.mu.Lock()
	t := s.peerStates[peer]
	s.mu.Unlock()
	observations, last := s.o.Table.ObservationsAfter(t.acked, maxObservations)
	m := &peerpb.Crashes{Run: s.o.Run, After: t.acked, Last: last, SeenRun: t.run, Seen: t.received}
	for _, o := range observations {
		age := max(bootclock.Since(o.At), 0)
		c := &peerpb.Crash{Kind: uint32(o.Kind), Request: o.Request[:], Instance: o.Instance, CompletedBy: o.CompletedBy, RanMs: uint32(o.RunTime.Milliseconds()), AgeMs: uint32(age.Milliseconds())}
		if o.Kind == quarantine.KindRequest {
			m.News = append(m.News, c)
		} else {
			m.PartNews = append(m.PartNews, c)
		}
	}
	return m
}

// applyMessage applies the observations of a peer and records which of this process's observations the peer has.
func (s *Syncer) applyMessage(peer string, m *peerpb.Crashes) {
	s.o.Table.Merge(append(decode(m.GetNews()), decode(m.GetPartNews())...))
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.peerStates[peer]
	if t.run != m.GetRun() {
		t = peerState{run: m.GetRun()}
	}
	if m.GetAfter() <= t.received { // otherwise observations before After are missing: the peer does not know that this process has restarted
		t.received = max(t.received, m.GetLast())
	}
	t.acked = 0
	if m.GetSeenRun() == s.o.Run {
		t.acked = m.GetSeen()
	}
	s.peerStates[peer] = t
}

func decode(crashes []*peerpb.Crash) []quarantine.Observation {
	var out []quarantine.Observation
	for _, c := range crashes {
		if len(c.GetRequest()) != len(quarantine.Fingerprint{}) {
			continue // sent by a version with different fingerprints
		}
		at := bootclock.Now().Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		out = append(out, quarantine.Observation{Kind: quarantine.Kind(c.GetKind()), Request: quarantine.Fingerprint(c.GetRequest()), Instance: c.GetInstance(), CompletedBy: c.GetCompletedBy(), RunTime: time.Duration(c.GetRanMs()) * time.Millisecond, At: at})
	}
	return out
}
