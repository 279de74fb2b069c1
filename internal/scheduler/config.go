package scheduler

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/discovery"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// offeredSchedulers is how many schedulers a process offers its configuration to. The others ask them for it.
const offeredSchedulers = 2

// FetchConfig implements discovery.Relay. Schedulers of other failure domains are asked first, since those of a domain
// are often partitioned together.
func (c *Client) FetchConfig(ctx context.Context, known discovery.ConfigVersions, n int, received func(discovery.ConfigUpdate)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	others := c.remoteSchedulers()
	for _, s := range others[:min(n, len(others))] {
		calls.Go(func() {
			u, err := c.FetchConfigFrom(ctx, s, known)
			if err != nil {
				level.Info(c.logger).Log("msg", "scheduler did not tell its configuration", "scheduler", s.Name, "err", err)
				return
			}
			received(u)
		})
	}
}

// remoteSchedulers returns the other schedulers in random order, those of other failure domains first.
func (c *Client) remoteSchedulers() []members.Member {
	others := c.OtherSchedulers()
	rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	isNear := func(s members.Member) int {
		if s.Domain == c.o.Self.Domain {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(others, func(a, b members.Member) int { return isNear(a) - isNear(b) })
	return others
}

// FetchConfigFrom implements discovery.Relay.
func (c *Client) FetchConfigFrom(ctx context.Context, from members.Member, known discovery.ConfigVersions) (discovery.ConfigUpdate, error) {
	fctx, cancel := context.WithTimeout(ctx, max(c.o.longPollWait(), minSlack))
	defer cancel()
	asked := bootclock.Now()
	resp, err := c.o.Transport.Call(fctx, from.Peer, &peerpb.Request{Body: &peerpb.Request_ConfigQuery{ConfigQuery: &peerpb.ConfigQuery{
		ConfigVersion: int64(known.Config), RulesVersion: int64(known.Rules),
	}}})
	if err != nil {
		return discovery.ConfigUpdate{}, err
	}
	m := resp.GetConfig()
	if m == nil {
		return discovery.ConfigUpdate{}, fault.Newf(fault.Internal, "run the same version everywhere", "process %s sent a response of the wrong type", from.Name)
	}
	u := discovery.ConfigUpdate{From: from.Name, StoreUp: m.GetStoreUp(), InstancesRevision: objstore.Revision(m.GetInstancesRevision())}
	// The ages are those of some time after the call was sent.
	u.ConfirmedAt = asked.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	u.FreshAt = asked.Add(-time.Duration(m.GetProofAgeMs()) * time.Millisecond)
	for _, o := range m.GetObjects() {
		u.Objects = append(u.Objects, objstore.Object{Key: o.GetKey(), Value: o.GetValue(), Version: objstore.Version(o.GetVersion())})
	}
	return u, nil
}

// OfferConfig implements discovery.Relay.
func (c *Client) OfferConfig(ctx context.Context) {
	others := c.OtherSchedulers()
	octx, cancel := context.WithTimeout(ctx, max(c.o.longPollWait(), minSlack))
	defer cancel()
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, s := range others[:min(offeredSchedulers, len(others))] {
		calls.Go(func() {
			req := &peerpb.Request{Body: &peerpb.Request_ConfigOffer{ConfigOffer: &peerpb.ConfigOffer{Peer: c.o.Self.Peer}}}
			if _, err := c.o.Transport.Call(octx, s.Peer, req); err != nil {
				level.Info(c.logger).Log("msg", "scheduler did not take the offered configuration", "scheduler", s.Name, "err", err)
			}
		})
	}
}

// configState handles a query for the configuration.
func (s *Server) configState(q *peerpb.ConfigQuery) *peerpb.Response {
	v := s.o.View() // before the feed, so that the ages hold for its objects
	if v.Config == nil {
		return &peerpb.Response{Error: "process has no configuration yet"}
	}
	known := []int64{q.GetConfigVersion(), q.GetRulesVersion()}
	out := &peerpb.ConfigState{
		AgeMs: v.ConfigAge().Milliseconds() + 1, ProofAgeMs: v.ConfigStaleness().Milliseconds() + 1, // rounded up
		InstancesRevision: int64(v.InstancesRevision), StoreUp: v.StoreUp,
	}
	for _, e := range s.partialSnapshots.get(s.feed, s.o.InstancePrefix).Events {
		if !slices.Contains(known, int64(e.Object.Version)) {
			out.Objects = append(out.Objects, encodeObjects([]objstore.Event{e})...)
		}
	}
	return &peerpb.Response{Body: &peerpb.Response_Config{Config: out}}
}

// configOffered handles the offer of a configuration.
func (s *Server) configOffered(from *peerpb.Identity, m *peerpb.ConfigOffer) *peerpb.Response {
	s.o.OnConfigOffer(members.Member{Name: from.GetName(), Peer: m.GetPeer()})
	return &peerpb.Response{Body: &peerpb.Response_Config{Config: &peerpb.ConfigState{}}}
}
