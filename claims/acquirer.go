package claims

import (
	"context"
	"time"
)

// Peers calls the claim holders in other processes.
type Peers interface {
	// Claim sends a claim to a holder. An error means that the verdict is
	// unknown; the holder may have granted the claim.
	Claim(ctx context.Context, to Member, c Claim) (Reply, error)
	// Abandon withdraws a claim at a holder.
	Abandon(ctx context.Context, to Member, c Claim) error
	// Page fetches claims of a shard from a holder; see Store.Page.
	Page(ctx context.Context, to Member, shard int, epoch int64, after string) (page []Record, more, ready bool, err error)
}

const (
	claimTimeout   = time.Second
	abandonTimeout = 2 * time.Second
)

// Result is the outcome of Acquire.
type Result struct {
	// Granted means that the request may run, in this process only.
	Granted bool
	// Seen means that a holder reported another claimant of the key.
	Seen bool
	// Mismatch means that the key was claimed for a request with different content.
	Mismatch bool
	// Claimant and Process hold the key. They are set if Seen is.
	Claimant string
	Process  string
	// Grants is how many of the Holders granted the claim.
	Grants, Holders int
}

// Acquirer claims keys on behalf of one process. It is safe for concurrent use.
type Acquirer struct {
	store *Store
	peers Peers
}

// NewAcquirer sets up the acquisition of keys for the process of s. The holders of
// a key are those in the table that s has adopted.
func NewAcquirer(s *Store, p Peers) *Acquirer { return &Acquirer{store: s, peers: p} }

// Acquire claims a key at all its holders. The request may run only if the
// result is Granted; otherwise the claim has been withdrawn.
func (c *Acquirer) Acquire(ctx context.Context, claim Claim) Result {
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
		go func() { replies <- c.sendClaim(ctx, h.Member, claim) }()
	}
	r := Result{Holders: len(shard.Holders)}
	quorum := Quorum(len(shard.Holders))
	for remaining := len(shard.Holders); remaining > 0 && !r.Granted && r.Grants+remaining >= quorum; remaining-- {
		r.add(<-replies)
		r.Granted = r.Grants >= quorum
	}
	if !r.Granted {
		c.drainReplies(&r, replies)
		c.Abandon(claim)
	}
	return r
}

// drainReplies adds the replies that have already arrived, since one of these
// replies may name the claimant that holds the key.
func (c *Acquirer) drainReplies(r *Result, replies chan Reply) {
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

func (c *Acquirer) sendClaim(ctx context.Context, to Member, claim Claim) Reply {
	if to.Name == c.store.self.Name && to.Incarnation == c.store.self.Incarnation {
		return c.store.Claim(claim)
	}
	reply, err := c.peers.Claim(ctx, to, claim)
	if err != nil {
		return Reply{Verdict: Abstain}
	}
	return reply
}

// Abandon withdraws a claim whose request has not run and will not run. It does
// not wait for remote holders; if a withdrawal is lost, the key merely stays
// claimed until the window has passed.
func (c *Acquirer) Abandon(claim Claim) {
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
