// Package lease grants one process at a time the authority over a shard, through
// one object in the object store. Times are measured on the boot-time clock.
//
// The TTL of a lease starts for its holder before the holder sends the write that
// acquires or renews it. For a successor it starts when the successor sees the last
// renewal, and the maximum drift between two clocks is added to it. Every grant has
// a fencing token that is higher than all previous ones and is never reused.
package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/jsonc"
	"github.com/rockdoor/rockdoor/objstore"
)

// KeyPrefix is the key prefix of leases. It is not mirrored, since renewals are
// frequent and concern only the candidates.
const KeyPrefix = "lease/"

const (
	// renewalsPerTTL is the number of renewals of a lease within its TTL.
	renewalsPerTTL = 3
	// maxDriftDivisor divides the TTL of a lease to give the maximum drift between the clocks of
	// two hosts during the TTL.
	maxDriftDivisor = 100
)

// Record is the content of a lease object.
type Record struct {
	// Holder is the name of the holder process, Incarnation identifies its current run.
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Address is where the holder listens for its peers. If a later process listens there,
	// the holder has terminated.
	Address string `json:"address"`
	// Token is the fencing token of the holder's grant, TTL the life of the lease after each renewal.
	Token int64          `json:"token"`
	TTL   jsonc.Duration `json:"ttl"`
	// Released is true if the holder has released the lease.
	Released bool `json:"released"`
	// Renewal counts renewals, so that every write of a holder is different.
	Renewal int64 `json:"renewal"`
	// GoverningLease is the name of another lease whose holder also holds this one. A process that
	// acquires the governing lease may take over this one without waiting for it to expire.
	GoverningLease string `json:"heir,omitempty"`
}

// Grant is authority for a limited time.
type Grant struct {
	// Token is the fencing token, which is higher than that of any earlier grant of the lease.
	Token int64
	// Until is when the authority ends.
	Until bootclock.Instant
	// Resumed is true if no other process has held the lease since this process last held it.
	Resumed bool
	// now is the clock of Until. If it is nil, the clock of the host is used.
	now func() bootclock.Instant
}

// Valid reports whether the grant is valid for at least margin from now.
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
	// Prefix is the key prefix of the lease. If it is empty, KeyPrefix is used.
	Prefix string
	// Shard is the name of the lease.
	Shard       string
	Holder      string
	Incarnation string
	Address     string
	TTL         time.Duration
	// HolderTerminated reports whether the holder in a record is known to have terminated, and how
	// that is known. Its lease is then taken over before it expires. HolderTerminated may be nil.
	HolderTerminated func(Record) (reason string, terminated bool)
	// GoverningLease is written into the record. A lease whose record has the same value is taken
	// over at once. If it is empty, the lease of another holder is taken over only after it is
	// released or expired, or after its holder has terminated.
	GoverningLease string
	// NextToken returns the token of a new grant, which must be at least minToken. It is called
	// immediately before the lease is acquired; if it fails, the lease is not acquired. If it is
	// nil, the token is minToken.
	NextToken func(ctx context.Context, minToken int64) (int64, error)
	// Now is the clock. If it is nil, the clock of the host is used.
	Now    func() bootclock.Instant
	Logger log.Logger
}

// Lessee competes for the lease of one shard. It is safe for concurrent use.
type Lessee struct {
	o      Options
	logger log.Logger

	mu      sync.Mutex
	grant   Grant
	version objstore.Version
	record  Record
	// seenVersion is the latest version of another holder's record. It was first seen at seenAt.
	seenVersion objstore.Version
	seenAt      bootclock.Instant
	waitReason  string
	// grantEra is the era of the store in which the lease was acquired. seenEra is the latest era,
	// first seen at seenEraAt.
	grantEra  int64
	seenEra   int64
	seenEraAt bootclock.Instant
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

// Grant returns the current grant, and whether it is valid. A grant of an earlier era of the store is
// not valid: the snapshot from which the store was restored may lack it, so that another process may
// acquire the lease.
func (l *Lessee) Grant() (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grant.Token != 0 && objstore.EraOf(l.o.Store) != l.grantEra {
		level.Warn(l.logger).Log("msg", "lease is of an earlier era of the store", "token", l.grant.Token, "era", l.grantEra)
		l.grant = Grant{}
	}
	return l.grant, l.grant.Valid(0)
}

// WaitReason returns what prevents this process from acquiring the lease, or an empty string if
// nothing does.
func (l *Lessee) WaitReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitReason
}

// Drift returns the maximum clock drift, which a successor adds to the TTL of a lease.
func Drift(ttl time.Duration) time.Duration { return ttl / maxDriftDivisor }

// Interval returns how long to wait until the next Step.
func (l *Lessee) Interval() time.Duration {
	base := l.o.TTL / renewalsPerTTL
	return base*9/10 + rand.N(base/5)
}

// Step renews the lease if it is held, and otherwise tries to acquire it.
func (l *Lessee) Step(ctx context.Context) error {
	if _, held := l.Grant(); held {
		return l.renew(ctx)
	}
	return l.Acquire(ctx, 0)
}

// Acquire tries to acquire the lease under a new token of at least minToken, even if this process
// already holds it.
func (l *Lessee) Acquire(ctx context.Context, minToken int64) error {
	l.dropGrant()
	obj, err := l.o.Store.Get(ctx, l.o.Prefix+l.o.Shard)
	if err != nil && !fault.Is(err, fault.NotFound) {
		l.setWaitReason("the platform store")
		return err
	}
	at := l.o.Now()
	era := objstore.EraOf(l.o.Store)
	if !l.eraSettled(era, at) {
		return nil
	}
	var rec Record
	if err == nil {
		if jerr := json.Unmarshal(obj.Value, &rec); jerr != nil {
			return fault.Wrap(jerr, fault.Internal, "lease of "+l.o.Shard+" cannot be read", "check who else writes to "+obj.Key)
		}
		if !l.canTakeOver(obj.Version, rec, at) {
			return nil
		}
	}
	token, err := l.nextToken(ctx, max(rec.Token+1, minToken, objstore.TokenBase(era)+1))
	if err != nil {
		return err
	}
	next := Record{
		Holder: l.o.Holder, Incarnation: l.o.Incarnation, Address: l.o.Address, Token: token, TTL: jsonc.Duration(l.o.TTL), GoverningLease: l.o.GoverningLease,
	}
	l.mu.Lock()
	sameEra := l.grantEra == era
	l.mu.Unlock()
	return l.write(ctx, obj.Version, next, era, sameEra && rec.Holder == l.o.Holder && rec.Incarnation == l.o.Incarnation)
}

// eraSettled reports whether all grants of earlier eras of the store have expired, based on when this
// process first saw the current era: the snapshot from which the store was restored may not have the
// latest holder of the lease. There is nothing to wait for if the store does not count eras, since it
// then never loses a grant, or if the lease has a governing lease.
func (l *Lessee) eraSettled(era int64, at bootclock.Instant) bool {
	if era == 0 || l.o.GoverningLease != "" {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if era != l.seenEra {
		l.seenEra, l.seenEraAt = era, at
		level.Info(l.logger).Log("msg", "store's era", "era", era)
	}
	remaining := l.o.TTL + Drift(l.o.TTL) - at.Sub(l.seenEraAt)
	if remaining <= 0 {
		return true
	}
	l.waitReason = "grants of earlier eras of the store, for " + remaining.Round(time.Millisecond).String()
	return false
}

// dropGrant ends the current grant.
func (l *Lessee) dropGrant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant = Grant{}
}

func (l *Lessee) nextToken(ctx context.Context, minToken int64) (int64, error) {
	if l.o.NextToken == nil {
		return minToken, nil
	}
	return l.o.NextToken(ctx, minToken)
}

// canTakeOver reports whether a lease with the given record may be acquired now.
func (l *Lessee) canTakeOver(v objstore.Version, rec Record, at bootclock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.Released {
		return true
	}
	if rec.Holder == l.o.Holder && rec.Incarnation == l.o.Incarnation {
		return true // this process's own grant, which has expired on its own clock or was dropped by Acquire
	}
	if rec.GoverningLease != "" && rec.GoverningLease == l.o.GoverningLease {
		return true
	}
	if reason, terminated := l.holderTerminated(rec); terminated {
		level.Info(l.logger).Log("msg", "lease taken over early", "holder", rec.Holder, "incarnation", rec.Incarnation, "reason", reason)
		return true
	}
	if v != l.seenVersion {
		l.seenVersion, l.seenAt = v, at
	}
	remaining := rec.TTL.Std() + Drift(rec.TTL.Std()) - at.Sub(l.seenAt)
	if remaining <= 0 {
		return true
	}
	l.waitReason = "lease of " + rec.Holder + ", for " + remaining.Round(time.Millisecond).String() + " unless it is renewed or released"
	return false
}

func (l *Lessee) holderTerminated(rec Record) (string, bool) {
	if l.o.HolderTerminated == nil {
		return "", false
	}
	return l.o.HolderTerminated(rec)
}

func (l *Lessee) setWaitReason(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waitReason = what
}

// write writes a record and, if this succeeds in the given era of the store, updates the grant. Its
// validity starts before the write is sent. resumed is the value of Grant.Resumed.
func (l *Lessee) write(ctx context.Context, v objstore.Version, rec Record, era int64, resumed bool) error {
	value, err := json.Marshal(rec)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "lease cannot be encoded", "report this as a defect")
	}
	sent := l.o.Now()
	obj, err := objstore.PutSettled(ctx, l.o.Store, l.o.Prefix+l.o.Shard, value, v, l.o.Holder+"/"+ulid.Make().String())
	if err == nil && obj.Version.Era() != era {
		err = fault.New(fault.Conflict, "store was restored from an older snapshot while the lease was written", "it is tried again")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if fault.Is(err, fault.Conflict) || errors.Is(err, objstore.ErrOtherEra) {
			l.grant = Grant{}
		}
		return err
	}
	l.grantEra = era
	if l.grant.Token != rec.Token {
		level.Info(l.logger).Log("msg", "lease held", "token", rec.Token)
	}
	l.version, l.record, l.waitReason = obj.Version, rec, ""
	l.grant = Grant{Token: rec.Token, Until: sent.Add(rec.TTL.Std()), Resumed: resumed, now: l.o.Now}
	return nil
}

func (l *Lessee) renew(ctx context.Context) error {
	l.mu.Lock()
	v, rec, era, resumed := l.version, l.record, l.grantEra, l.grant.Resumed
	l.mu.Unlock()
	rec.Renewal++
	return l.write(ctx, v, rec, era, resumed)
}

// Release marks the lease as released in its record, so that a successor need not
// wait. The caller must no longer act under the grant.
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
