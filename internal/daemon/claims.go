package daemon

import (
	"context"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/claims"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/internal/entry"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// lostAfter is how long a member may be silent before others hold its claims.
	lostAfter = 5 * time.Second
	// processSeparator stands between name and incarnation of a process.
	processSeparator = "/"
)

// claimPart is a process's part in the claims of the fleet.
type claimPart struct {
	*claims.Claimant
	store  *claims.Store
	keeper *claims.Keeper
	d      *Daemon
}

var _ entry.Claims = (*claimPart)(nil)

func (d *Daemon) newClaimPart() *claimPart {
	self := claims.Member{Name: d.self.Name, Incarnation: d.self.Incarnation, Domain: d.self.Domain}
	c := &claimPart{d: d, store: claims.NewStore(self, d.set.Control.ClaimWindow.Std())}
	peers := claimPeers{d}
	c.Claimant = claims.NewClaimant(c.store, peers)
	c.keeper = claims.NewKeeper(claims.KeeperOptions{
		Store: c.store, Peers: peers, Objects: d.store, Live: c.live, Registrar: c.registrar, Refresh: d.refresh, Logger: d.logger,
		Mirrored: func() (objstore.Object, bool) { return d.mirror.Get(claims.TableKey) },
	})
	return c
}

// process identifies this run of the process to the others.
func (d *Daemon) process() string { return d.self.Name + processSeparator + d.self.Incarnation }

// live returns the members that may hold claims: those that are heard, and
// those that have been silent only for a short time.
func (c *claimPart) live() []claims.Member {
	var out []claims.Member
	for _, m := range c.d.loop.Snapshot().Members {
		if mayHold(m) {
			out = append(out, claims.Member{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain})
		}
	}
	return out
}

func mayHold(m control.MemberState) bool {
	return m.Health.IsAlive() || m.Health == members.Suspected && bootclock.Since(m.Heard) < lostAfter
}

// registrar reports whether this process has the highest hash of all that live
// and so changes the holders.
func (c *claimPart) registrar() bool {
	if !c.d.isRegistered() {
		return false
	}
	var names []string
	for _, m := range c.live() {
		names = append(names, m.Name)
	}
	return members.Rank("registrar", c.d.self.Name, names) == 0
}

// Outcome implements entry.Claims.
func (c *claimPart) Outcome(ctx context.Context, process, claimant string) (entry.Outcome, error) {
	if process == c.d.process() {
		return c.d.entry.Outcome(claimant), nil
	}
	for _, m := range c.d.loop.Snapshot().Members {
		if m.Name+processSeparator+m.Incarnation != process {
			continue
		}
		req := &peerpb.Request{Body: &peerpb.Request_ClaimOutcome{ClaimOutcome: &peerpb.ClaimOutcome{Claimant: claimant}}}
		resp, err := c.d.transport.Call(ctx, m.Peer, req)
		if err != nil {
			return entry.Outcome{}, err
		}
		return decodeOutcome(resp.GetClaimOutcome()), nil
	}
	return entry.Outcome{}, fault.New(fault.Unknown, "process "+process+" is gone", "nobody can tell the outcome")
}

// answer answers the peer calls that concern claims, or returns nil.
func (c *claimPart) answer(req *peerpb.Request) *peerpb.Response {
	switch b := req.Body.(type) {
	case *peerpb.Request_Claim:
		claim := decodeClaim(b.Claim)
		if b.Claim.GetAbandon() {
			c.store.Abandon(claim)
			return &peerpb.Response{Body: &peerpb.Response_Claim{Claim: &peerpb.ClaimReply{}}}
		}
		return &peerpb.Response{Body: &peerpb.Response_Claim{Claim: encodeReply(c.store.Claim(claim))}}
	case *peerpb.Request_ClaimSync:
		page, more, ready := c.store.Page(int(b.ClaimSync.GetShard()), b.ClaimSync.GetEpoch(), b.ClaimSync.GetAfterKey())
		return &peerpb.Response{Body: &peerpb.Response_ClaimSync{ClaimSync: encodePage(page, more, ready)}}
	case *peerpb.Request_ClaimOutcome:
		out := c.d.entry.Outcome(b.ClaimOutcome.GetClaimant())
		return &peerpb.Response{Body: &peerpb.Response_ClaimOutcome{ClaimOutcome: encodeOutcome(out)}}
	}
	return nil
}

// claimPeers reaches the claim holders of other processes.
type claimPeers struct{ d *Daemon }

var _ claims.Peers = claimPeers{}

// address returns where a member listens for its peers. A claim is only sent to
// the run of the process that the table names.
func (p claimPeers) address(to claims.Member) (string, error) {
	for _, m := range p.d.loop.Snapshot().Members {
		if m.Name == to.Name && m.Incarnation == to.Incarnation {
			return m.Peer, nil
		}
	}
	return "", fault.New(fault.Unavailable, "member "+to.Name+" is not registered", "another holder takes its place")
}

func (p claimPeers) call(ctx context.Context, to claims.Member, req *peerpb.Request) (*peerpb.Response, error) {
	address, err := p.address(to)
	if err != nil {
		return nil, err
	}
	return call(ctx, p.d.transport, address, to, req)
}

// call refuses an answer of another run of the process than the one meant.
func call(ctx context.Context, t *peer.Transport, address string, to claims.Member, req *peerpb.Request) (*peerpb.Response, error) {
	resp, err := t.Call(ctx, address, req)
	if err != nil {
		return nil, err
	}
	if resp.GetFrom().GetIncarnation() != to.Incarnation {
		return nil, fault.New(fault.Unavailable, "member "+to.Name+" has been restarted", "another holder takes its place")
	}
	return resp, nil
}

// Claim implements claims.Peers.
func (p claimPeers) Claim(ctx context.Context, to claims.Member, c claims.Claim) (claims.Reply, error) {
	resp, err := p.call(ctx, to, &peerpb.Request{Body: &peerpb.Request_Claim{Claim: encodeClaim(c)}})
	if err != nil {
		return claims.Reply{}, err
	}
	return decodeReply(resp.GetClaim()), nil
}

// Abandon implements claims.Peers.
func (p claimPeers) Abandon(ctx context.Context, to claims.Member, c claims.Claim) error {
	claim := encodeClaim(c)
	claim.Abandon = true
	_, err := p.call(ctx, to, &peerpb.Request{Body: &peerpb.Request_Claim{Claim: claim}})
	return err
}

// Page implements claims.Peers.
func (p claimPeers) Page(ctx context.Context, to claims.Member, shard int, epoch int64, after string) ([]claims.Record, bool, bool, error) {
	req := &peerpb.ClaimSync{Shard: uint32(shard), Epoch: epoch, AfterKey: after}
	resp, err := p.call(ctx, to, &peerpb.Request{Body: &peerpb.Request_ClaimSync{ClaimSync: req}})
	if err != nil {
		return nil, false, false, err
	}
	page := resp.GetClaimSync()
	return decodePage(page), page.GetMore(), page.GetReady(), nil
}
