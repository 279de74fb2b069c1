package usage

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/members"
)

const (
	// syncInterval is how often counts are sent to another process. A process that is killed loses
	// what it has counted since the last time, a tenth of a window of 5 s.
	syncInterval = 500 * time.Millisecond
	// callTimeout limits one call of another process.
	callTimeout = 300 * time.Millisecond
	// maxAttempts is the number of processes that are tried in one round.
	maxAttempts = 3
)

// SyncerOptions of a Syncer.
type SyncerOptions struct {
	Ledger    *Ledger
	Transport *peer.Transport
	// Replicas returns the processes that hold counts of others, in this process's order of
	// preference and without itself.
	Replicas func() []members.Member
	Logger   log.Logger
}

// Syncer replicates the counts of this process to other processes, and holds the counts of others.
type Syncer struct {
	o      SyncerOptions
	logger log.Logger

	mu sync.Mutex
	// lastReplica is the process that received the counts last.
	lastReplica string
}

// NewSyncer returns a syncer that starts to work once Run is called.
func NewSyncer(o SyncerOptions) *Syncer {
	return &Syncer{o: o, logger: log.With(o.Logger, "component", "usage")}
}

// Run replicates counts until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	periodic.Run(ctx, syncInterval, s.Sync)
	return nil
}

// Sync sends the counts that have changed since the last call to another process.
func (s *Syncer) Sync(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replicas := s.o.Replicas()
	for _, replica := range replicas[:min(maxAttempts, len(replicas))] {
		if replica.Name != s.lastReplica {
			s.o.Ledger.MarkAllUnsent() // this replica has no counts yet
		}
		entries := s.o.Ledger.TakeUnsent()
		if len(entries) == 0 {
			return
		}
		err := s.send(ctx, replica, entries)
		if err == nil {
			s.lastReplica = replica.Name
			return
		}
		s.o.Ledger.MarkUnsent(entries)
		level.Info(s.logger).Log("msg", "counts not sent", "keeper", replica.Name, "windows", len(entries), "err", err)
	}
}

func (s *Syncer) send(ctx context.Context, replica members.Member, entries []Entry) error {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.o.Transport.Call(cctx, replica.Peer, &peerpb.Request{Body: &peerpb.Request_Usage{Usage: &peerpb.UsageCounts{Entries: encode(entries)}}})
	return err
}

// Collect asks all replicas for the counts of a window, and reports whether all of them responded.
func (s *Syncer) Collect(ctx context.Context, window int64) bool {
	replicas := s.o.Replicas()
	responded := make(chan bool, len(replicas))
	for _, replica := range replicas {
		go func() { responded <- s.collectFrom(ctx, replica, window) }()
	}
	all := true
	for range replicas {
		all = <-responded && all
	}
	return all
}

func (s *Syncer) collectFrom(ctx context.Context, replica members.Member, window int64) bool {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := s.o.Transport.Call(cctx, replica.Peer, &peerpb.Request{Body: &peerpb.Request_UsageQuery{UsageQuery: &peerpb.UsageQuery{Window: window}}})
	if err != nil {
		level.Info(s.logger).Log("msg", "counts not collected", "keeper", replica.Name, "window", window, "err", err)
		return false
	}
	s.o.Ledger.Merge(decode(resp.GetUsageQuery().GetEntries()))
	return true
}

// HandlePeer implements peer.Handler.
func (s *Syncer) HandlePeer(_ context.Context, req *peerpb.Request) *peerpb.Response {
	switch {
	case req.GetUsage() != nil:
		s.o.Ledger.Merge(decode(req.GetUsage().GetEntries()))
		return &peerpb.Response{Body: &peerpb.Response_Usage{Usage: &peerpb.UsageTaken{}}}
	case req.GetUsageQuery() != nil:
		entries := encode(s.o.Ledger.Entries(req.GetUsageQuery().GetWindow()))
		return &peerpb.Response{Body: &peerpb.Response_UsageQuery{UsageQuery: &peerpb.UsageReply{Entries: entries}}}
	}
	return &peerpb.Response{Error: "call is not known"}
}

func encode(entries []Entry) []*peerpb.UsageEntry {
	var out []*peerpb.UsageEntry
	for _, e := range entries {
		m := &peerpb.UsageEntry{Window: e.Window, Process: e.Source.Process, Incarnation: e.Source.Incarnation}
		for workspace, n := range e.Counts {
			m.Workspaces, m.Requests = append(m.Workspaces, workspace), append(m.Requests, uint32(n))
		}
		out = append(out, m)
	}
	return out
}

func decode(entries []*peerpb.UsageEntry) []Entry {
	var out []Entry
	for _, m := range entries {
		e := Entry{m.GetWindow(), Source{m.GetProcess(), m.GetIncarnation()}, map[string]int{}}
		for n, workspace := range m.GetWorkspaces()[:min(len(m.GetWorkspaces()), len(m.GetRequests()))] {
			e.Counts[workspace] = int(m.GetRequests()[n])
		}
		out = append(out, e)
	}
	return out
}
