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
	// holderLostAfter is how long a member may be unresponsive before its claims move to
	// other holders.
	holderLostAfter = 5 * time.Second
	// processSeparator separates name and incarnation in the identifier of a process.
	processSeparator = "/"
)

// claimService connects the claims of this process with those of the other members.
type claimService struct {
	*claims.Acquirer
	store      *claims.Store
	reconciler *claims.Reconciler
	d          *Daemon
}

var _ entry.Claims = (*claimService)(nil)

func (d *Daemon) newClaimService() *claimService {
	self := claims.Member{Name: d.self.Name, Incarnation: d.self.Incarnation, Domain: d.self.Domain}
	c := &claimService{d: d, store: claims.NewStore(self, d.set.Control.ClaimWindow.Std())}
	peers := claimPeers{d}
	c.Acquirer = claims.NewAcquirer(c.store, peers)
	c.reconciler = claims.NewReconciler(claims.ReconcilerOptions{
		Store: c.store, Peers: peers, Objects: d.store, Live: c.liveHolders, Registrar: c.isRegistrar, Refresh: d.refresh, Logger: d.logger,
		Mirrored: func() (objstore.Object, bool) { return d.mirror.Get(claims.TableKey) },
	})
	return c
}

// process identifies this run of the process to its peers.
func (d *Daemon) process() string { return d.self.Name + processSeparator + d.self.Incarnation }

// liveHolders returns the members that may hold claims: those that are alive, and those
// that have been unresponsive for less than holderLostAfter.
func (c *claimService) liveHolders() []claims.Member {
	var out []claims.Member
	for _, m := range c.d.loop.Snapshot().Members {
		if mayHoldClaims(m) {
			out = append(out, claims.Member{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain})
		}
	}
	return out
}

func mayHoldClaims(m control.MemberState) bool {
	return m.Health.IsAlive() || m.Health == members.Suspected && bootclock.Since(m.LastContact) < holderLostAfter
}

// isRegistrar reports whether this process is the registrar, which assigns the claim
// holders: the live member that ranks first by rendezvous hashing.
func (c *claimService) isRegistrar() bool {
	if !c.d.isRegistered() {
		return false
	}
	var names []string
	for _, m := range c.liveHolders() {
		names = append(names, m.Name)
	}
	return members.Rank("registrar", c.d.self.Name, names) == 0
}

// Outcome implements entry.Claims.
func (c *claimService) Outcome(ctx context.Context, process, claimant string) (entry.Outcome, error) {
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
	return entry.Outcome{}, fault.New(fault.Unknown, "process "+process+" is no longer registered", "the outcome cannot be determined")
}

// handle responds to peer calls that concern claims. It returns nil for any other call.
func (c *claimService) handle(req *peerpb.Request) *peerpb.Response {
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

// claimPeers calls the claim holders of other processes.
type claimPeers struct{ d *Daemon }

var _ claims.Peers = claimPeers{}

// address returns the peer address of a member. It fails if the member has been restarted,
// since a claim must only reach the run of the process that the claim table names.
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

// call calls a member and fails if the response is from another run of the process.
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
