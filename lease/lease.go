// Package lease gives one process at a time the authority over a shard, through
// one object of the object API. Times are measured on the boot-time clock.
//
// The holder counts its lease from before it sent the grant or renewal. A
// successor counts from when it saw the last renewal, and adds a bound on the
// drift between two clocks. Every grant carries a fencing token that is higher
// than all before and is never used again.
package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/jsonc"
	"github.com/rockdoor/rockdoor/objstore"
)

// KeyPrefix is where leases are kept. It is not mirrored, since renewals are
// frequent and concern only the candidates.
const KeyPrefix = "lease/"

const (
	// renewals is how often a lease is renewed in its life.
	renewals = 3
	// driftShare bounds how much faster one host's clock runs than another's, as
	// a share of the lease's life.
	driftShare = 100
)

// Record is the content of a lease object.
type Record struct {
	// Holder and Incarnation name one run of a process.
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Address is where the holder listens for its peers. A later process that
	// listens there proves that the holder is over.
	Address string         `json:"address"`
	Token   int64          `json:"token"`
	TTL     jsonc.Duration `json:"ttl"`
	// Released is true if the holder gave the lease up in writing.
	Released bool `json:"released"`
	// Renewal makes every write of a holder different.
	Renewal int64 `json:"renewal"`
	// Heir names another lease whose holder has this one too: whoever gets that one need not
	// wait for this one.
	Heir string `json:"heir,omitempty"`
}

// Grant is authority for a time.
type Grant struct {
	Token int64
	// Until is when the authority ends.
	Until bootclock.Instant
	// Resumed is true if nobody else has had the authority since this process had it last.
	Resumed bool
	// now is the clock of Until; nil is that of the host.
	now func() bootclock.Instant
}

// Valid reports whether the grant holds for at least margin from now.
func (g Grant) Valid(margin time.Duration) bool {
	now := g.now
	if now == nil {
		now = bootclock.Now
	}
	return g.Token > 0 && now().Add(margin) < g.Until
}

// Options of a Lessee.
type Options struct {
	Store objstore.Store
	// Prefix is where the lease is kept; KeyPrefix if it is empty.
	Prefix string
	// Shard names what the lease is about.
	Shard       string
	Holder      string
	Incarnation string
	Address     string
	TTL         time.Duration
	// HolderTerminated says whether the holder in a record is proven to be over, so that its
	// lease need not be waited out, and by what. It may be nil.
	HolderTerminated func(Record) (reason string, gone bool)
	// Heir is written into the record, and a record with the same one is taken over at once.
	// It is empty for a lease that is waited for.
	Heir string
	// Token returns the token of a new grant, which is least or more. It is asked just before
	// the lease is taken, and an error leaves the lease alone. Without it the token is least.
	Token func(ctx context.Context, least int64) (int64, error)
	// Now is the clock; that of the host if it is nil.
	Now    func() bootclock.Instant
	Logger log.Logger
}

// Lessee wants the lease of one shard. It is safe for concurrent use.
type Lessee struct {
	o      Options
	logger log.Logger

	mu      sync.Mutex
	grant   Grant
	version objstore.Version
	record  Record
	// seen is the last version of another holder's record, since seenAt.
	seen    objstore.Version
	seenAt  bootclock.Instant
	waiting string
	// era is that of the store in which the grant was given, seenEra the newest one that was seen,
	// since eraAt.
	era     int64
	seenEra int64
	eraAt   bootclock.Instant
}

// New returns a Lessee that does not hold the lease yet.
func New(o Options) *Lessee {
	if o.Prefix == "" {
		o.Prefix = KeyPrefix
	}
	if o.Now == nil {
		o.Now = bootclock.Now
	}
	return &Lessee{o: o, logger: log.With(o.Logger, "component", "lease", "shard", o.Shard)}
}

// Grant returns the authority in force, if any. One of an earlier era of the store is none: what the
// store came back with may lack it, and another process may get the lease.
func (l *Lessee) Grant() (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grant.Token != 0 && objstore.EraOf(l.o.Store) != l.era {
		level.Warn(l.logger).Log("msg", "lease is of an earlier era of the store", "token", l.grant.Token, "era", l.era)
		l.grant = Grant{}
	}
	return l.grant, l.grant.Valid(0)
}

// WaitReason says what an acquisition waits for; empty if it does not wait.
func (l *Lessee) WaitReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}

// Drift returns what a successor adds to the life of a lease.
func Drift(ttl time.Duration) time.Duration { return ttl / driftShare }

// Interval returns how long to wait until the next Step.
func (l *Lessee) Interval() time.Duration {
	base := l.o.TTL / renewals
	return base*9/10 + rand.N(base/5)
}

// Step renews the lease if it is held, and otherwise tries to get it.
func (l *Lessee) Step(ctx context.Context) error {
	if _, held := l.Grant(); held {
		return l.renew(ctx)
	}
	return l.Acquire(ctx, 0)
}

// Acquire tries to get the lease under a new token of least or more, also if this process
// holds it already.
func (l *Lessee) Acquire(ctx context.Context, least int64) error {
	l.drop()
	obj, err := l.o.Store.Get(ctx, l.o.Prefix+l.o.Shard)
	if err != nil && !fault.Is(err, fault.NotFound) {
		l.wait("the platform store")
		return err
	}
	at := l.o.Now()
	era := objstore.EraOf(l.o.Store)
	if !l.settled(era, at) {
		return nil
	}
	var rec Record
	if err == nil {
		if jerr := json.Unmarshal(obj.Value, &rec); jerr != nil {
			return fault.Wrap(jerr, fault.Internal, "lease of "+l.o.Shard+" cannot be read", "check who else writes to "+obj.Key)
		}
		if !l.free(obj.Version, rec, at) {
			return nil
		}
	}
	token, err := l.token(ctx, max(rec.Token+1, least, objstore.TokenBase(era)+1))
	if err != nil {
		return err
	}
	next := Record{
		Holder: l.o.Holder, Incarnation: l.o.Incarnation, Address: l.o.Address, Token: token, TTL: jsonc.Duration(l.o.TTL), Heir: l.o.Heir,
	}
	l.mu.Lock()
	same := l.era == era
	l.mu.Unlock()
	return l.take(ctx, obj.Version, next, era, same && rec.Holder == l.o.Holder && rec.Incarnation == l.o.Incarnation)
}

// settled reports whether the store has been in its era for so long that all grants of earlier ones
// have ended, as far as this process has seen: the copy that the store came back with need not say
// who has the lease. A store that counts no eras never loses a grant, and a lease with an heir is
// not waited for.
func (l *Lessee) settled(era int64, at bootclock.Instant) bool {
	if era == 0 || l.o.Heir != "" {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if era != l.seenEra {
		l.seenEra, l.eraAt = era, at
		level.Info(l.logger).Log("msg", "store's era", "era", era)
	}
	left := l.o.TTL + Drift(l.o.TTL) - at.Sub(l.eraAt)
	if left <= 0 {
		return true
	}
	l.waiting = "grants of earlier eras of the store, for " + left.Round(time.Millisecond).String()
	return false
}

// drop ends the grant in force.
func (l *Lessee) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant = Grant{}
}

func (l *Lessee) token(ctx context.Context, least int64) (int64, error) {
	if l.o.Token == nil {
		return least, nil
	}
	return l.o.Token(ctx, least)
}

// free reports whether the lease of another holder may be taken over now.
func (l *Lessee) free(v objstore.Version, rec Record, at bootclock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.Released {
		return true
	}
	if rec.Holder == l.o.Holder && rec.Incarnation == l.o.Incarnation {
		return true // this process's own grant, which has ended by its own clock
	}
	if rec.Heir != "" && rec.Heir == l.o.Heir {
		return true
	}
	if reason, gone := l.gone(rec); gone {
		level.Info(l.logger).Log("msg", "lease taken over early", "holder", rec.Holder, "incarnation", rec.Incarnation, "reason", reason)
		return true
	}
	if v != l.seen {
		l.seen, l.seenAt = v, at
	}
	left := rec.TTL.Std() + Drift(rec.TTL.Std()) - at.Sub(l.seenAt)
	if left <= 0 {
		return true
	}
	l.waiting = "lease of " + rec.Holder + ", for " + left.Round(time.Millisecond).String() + " unless it is renewed or released"
	return false
}

func (l *Lessee) gone(rec Record) (string, bool) {
	if l.o.HolderTerminated == nil {
		return "", false
	}
	return l.o.HolderTerminated(rec)
}

func (l *Lessee) wait(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = what
}

// take writes a record and, if that succeeds in the same era of the store, holds the lease from before
// the write was sent. resumed is that of the grant.
func (l *Lessee) take(ctx context.Context, v objstore.Version, rec Record, era int64, resumed bool) error {
	value, err := json.Marshal(rec)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "lease cannot be encoded", "report this as a defect")
	}
	sent := l.o.Now()
	obj, err := objstore.PutSettled(ctx, l.o.Store, l.o.Prefix+l.o.Shard, value, v, l.o.Holder+"/"+ulid.Make().String())
	if err == nil && obj.Version.Era() != era {
		err = fault.New(fault.Conflict, "store came back from an older copy while the lease was written", "it is tried again")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if fault.Is(err, fault.Conflict) {
			l.grant = Grant{}
		}
		return err
	}
	l.era = era
	if l.grant.Token != rec.Token {
		level.Info(l.logger).Log("msg", "lease held", "token", rec.Token)
	}
	l.version, l.record, l.waiting = obj.Version, rec, ""
	l.grant = Grant{Token: rec.Token, Until: sent.Add(rec.TTL.Std()), Resumed: resumed, now: l.o.Now}
	return nil
}

func (l *Lessee) renew(ctx context.Context) error {
	l.mu.Lock()
	v, rec, era, resumed := l.version, l.record, l.era, l.grant.Resumed
	l.mu.Unlock()
	rec.Renewal++
	return l.take(ctx, v, rec, era, resumed)
}

// Release gives the lease up in writing, so that a successor need not wait.
// Nothing may be done under the grant any more when it is called.
func (l *Lessee) Release(ctx context.Context) error {
	l.mu.Lock()
	v, rec, held := l.version, l.record, l.grant.Valid(0)
	l.grant = Grant{}
	l.mu.Unlock()
	if !held {
		return nil
	}
	rec.Released = true
	value, err := json.Marshal(rec)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "lease cannot be encoded", "report this as a defect")
	}
	_, err = l.o.Store.Put(ctx, l.o.Prefix+l.o.Shard, value, v, l.o.Holder+"/"+ulid.Make().String())
	return err
}
