package claims

import (
	"context"
	"time"
)

// Peers reaches the claim holders of other processes.
type Peers interface {
	// Claim sends a claim to a holder. An error means that its verdict is not
	// known; the claim may have been granted.
	Claim(ctx context.Context, to Member, c Claim) (Reply, error)
	// Abandon withdraws a claim at a holder.
	Abandon(ctx context.Context, to Member, c Claim) error
	// Page asks a holder for claims of a shard.
	Page(ctx context.Context, to Member, shard int, epoch int64, after string) (page []Record, more, ready bool, err error)
}

const (
	claimTimeout   = time.Second
	abandonTimeout = 2 * time.Second
)

// Result of an acquisition.
type Result struct {
	// Granted: the request may run, at this process only.
	Granted bool
	// Seen: another claimant holds or held the key.
	Seen bool
	// Mismatch: the key was used for another request.
	Mismatch bool
	// Claimant and Process that hold the key, if seen.
	Claimant string
	Process  string
	// Grants and Holders say how many of the holders granted.
	Grants, Holders int
}

// Claimant claims keys for one process. It is safe for concurrent use.
type Claimant struct {
	store *Store
	peers Peers
}

// NewClaimant returns a claimant that uses the table that its process's store
// has adopted.
func NewClaimant(s *Store, p Peers) *Claimant { return &Claimant{store: s, peers: p} }

// Acquire claims a key. If it is not granted, the claim is withdrawn at all
// holders. The request may run only if Granted.
func (c *Claimant) Acquire(ctx context.Context, claim Claim) Result {
	t := c.store.Table()
	if t == nil {
		return Result{}
	}
	shard := &t.Shards[t.ShardOf(claim.Key)]
	claim.Epoch = shard.Epoch
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	replies := make(chan Reply, len(shard.Holders))
	for _, h := range shard.Holders {
		go func() { replies <- c.ask(ctx, h.Member, claim) }()
	}
	r := Result{Holders: len(shard.Holders)}
	quorum := Quorum(len(shard.Holders))
	for left := len(shard.Holders); left > 0 && !r.Granted && r.Grants+left >= quorum; left-- {
		r.add(<-replies)
		r.Granted = r.Grants >= quorum
	}
	if !r.Granted {
		c.drainSeen(&r, replies)
		c.Abandon(claim)
	}
	return r
}

// drainSeen takes in the verdicts that have arrived already, since one of them
// may name who holds the key.
func (c *Claimant) drainSeen(r *Result, replies chan Reply) {
	for {
		select {
		case reply := <-replies:
			r.add(reply)
		default:
			return
		}
	}
}

func (r *Result) add(reply Reply) {
	switch reply.Verdict {
	case Granted:
		r.Grants++
	case Seen, Mismatch:
		r.Seen = true
		r.Mismatch = r.Mismatch || reply.Verdict == Mismatch
		r.Claimant, r.Process = reply.Claimant, reply.Process
	}
}

func (c *Claimant) ask(ctx context.Context, to Member, claim Claim) Reply {
	if to.Name == c.store.self.Name && to.Incarnation == c.store.self.Incarnation {
		return c.store.Claim(claim)
	}
	reply, err := c.peers.Claim(ctx, to, claim)
	if err != nil {
		return Reply{Verdict: Abstain}
	}
	return reply
}

// Abandon withdraws a claim whose request has not run and will not run. It
// returns at once for remote holders; a withdrawal that is lost only keeps the
// key from being used until its window has passed.
func (c *Claimant) Abandon(claim Claim) {
	t := c.store.Table()
	if t == nil {
		return
	}
	for _, h := range t.Shards[t.ShardOf(claim.Key)].Holders {
		if h.Name == c.store.self.Name && h.Incarnation == c.store.self.Incarnation {
			c.store.Abandon(claim)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
			defer cancel()
			_ = c.peers.Abandon(ctx, h.Member, claim)
		}()
	}
}
