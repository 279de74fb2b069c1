// Package confstore stores the configuration in the object API. A change writes
// immutable, content-addressed chunks and then, by a conditional put, one small
// head that refers to them. The change is accepted when that put takes effect.
package confstore

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
)

// Keys in the object API. The head is below the mirrored prefix; the chunks are not.
const (
	HeadKey     = "state/config/head"
	ChunkPrefix = "chunk/"
)

const (
	// workspaceBuckets is the number of chunks that the workspaces are hashed to.
	// A deployment can have tens of thousands of workspaces.
	workspaceBuckets  = 64
	fleetChunk        = "fleet"
	maxParallelChunks = 8
)

// Ref refers to a chunk by its name in the configuration and the digest of its
// content.
type Ref struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// Head describes one accepted revision of the configuration.
type Head struct {
	// Revision counts the accepted changes from 1.
	Revision int64 `json:"revision"`
	// ChangeID identifies the change. It is the same for all retries of a change.
	ChangeID string    `json:"changeID"`
	Author   string    `json:"author"`
	Note     string    `json:"note"`
	At       time.Time `json:"at"`
	// Parent is the digest of the previous head, which is stored as a chunk.
	Parent string `json:"parent,omitempty"`
	Chunks []Ref  `json:"chunks"`
}

// Digest returns the content address of a chunk.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// Split encodes a configuration as named chunks. Equal content gives equal
// chunks, so a change rewrites only the chunks that it affects.
func Split(c *config.Config) (map[string][]byte, error) {
	fleet := *c
	fleet.Workspaces = nil
	chunks := map[string][]byte{}
	if err := encodeChunk(chunks, fleetChunk, &fleet); err != nil {
		return nil, err
	}
	var buckets [workspaceBuckets][]config.Workspace
	for _, w := range c.Workspaces {
		b := xxhash.Sum64String(w.Name) % workspaceBuckets
		buckets[b] = append(buckets[b], w)
	}
	for i, ws := range buckets {
		if len(ws) == 0 {
			continue
		}
		slices.SortFunc(ws, func(a, b config.Workspace) int { return strings.Compare(a.Name, b.Name) })
		if err := encodeChunk(chunks, "workspaces-"+strconv.Itoa(i), &config.Config{Workspaces: ws}); err != nil {
			return nil, err
		}
	}
	return chunks, nil
}

func encodeChunk(chunks map[string][]byte, name string, part *config.Config) error {
	content, err := json.Marshal(part)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "configuration cannot be encoded", "report this as a defect")
	}
	if len(content) > objstore.MaxValueBytes {
		return fault.Newf(fault.Invalid, "remove entries that are no longer used", "part %s of the configuration has %d bytes, the limit is %d", name, len(content), objstore.MaxValueBytes)
	}
	chunks[name] = content
	return nil
}

// Join merges the decoded chunks of a configuration.
func Join(parts []*config.Config) *config.Config {
	var c config.Config
	for _, p := range parts {
		c.Hosts = append(c.Hosts, p.Hosts...)
		c.Pools = append(c.Pools, p.Pools...)
		c.Engines = append(c.Engines, p.Engines...)
		c.Models = append(c.Models, p.Models...)
		c.Services = append(c.Services, p.Services...)
		c.Routes = append(c.Routes, p.Routes...)
		c.Workspaces = append(c.Workspaces, p.Workspaces...)
	}
	return &c
}

// StoredHead is a head as it is stored.
type StoredHead struct {
	Head    Head
	Version objstore.Version
	// Raw is the head as encoded in the store.
	Raw []byte
}

// ParseHead decodes the object at HeadKey.
func ParseHead(obj objstore.Object) (StoredHead, error) {
	a := StoredHead{Version: obj.Version, Raw: obj.Value}
	if err := json.Unmarshal(obj.Value, &a.Head); err != nil {
		return a, fault.Wrap(err, fault.Internal, "configuration head cannot be read", "check who else writes to "+HeadKey)
	}
	return a, nil
}

// ReadHead reads the current head. It returns the zero value if there is none.
func ReadHead(ctx context.Context, s objstore.Store) (StoredHead, error) {
	obj, err := s.Get(ctx, HeadKey)
	if fault.Is(err, fault.NotFound) {
		return StoredHead{}, nil
	}
	if err != nil {
		return StoredHead{}, err
	}
	return ParseHead(obj)
}

// Change records who changes the configuration and why.
type Change struct {
	// ID identifies the change across retries. If it is empty, a new ID is generated.
	ID     string
	Author string
	Note   string
}

// Writer writes configurations to the object API.
type Writer struct {
	store objstore.Store
	now   func() time.Time
}

// NewWriter returns a Writer that writes to s.
func NewWriter(s objstore.Store) *Writer { return &Writer{store: s, now: time.Now} }

// Apply stores c as the revision that follows base. The caller must have
// validated c.
//
// The error is Conflict if another change was accepted after base, Unavailable
// if the change was certainly not accepted, and Unknown if that cannot be
// determined yet. The text of an Unknown error contains the change ID, which
// appears in the history if the change was accepted.
func (w *Writer) Apply(ctx context.Context, base StoredHead, c *config.Config, ch Change) (StoredHead, error) {
	if ch.ID == "" {
		ch.ID = ulid.Make().String()
	}
	chunks, err := Split(c)
	if err != nil {
		return StoredHead{}, err
	}
	head := Head{Revision: base.Head.Revision + 1, ChangeID: ch.ID, Author: ch.Author, Note: ch.Note, At: w.now().UTC()}
	if base.Version != 0 {
		chunks["head"] = base.Raw
		head.Parent = Digest(base.Raw)
	}
	if err := w.putChunks(ctx, base.Head, chunks); err != nil {
		return StoredHead{}, err
	}
	delete(chunks, "head")
	for name, content := range chunks {
		head.Chunks = append(head.Chunks, Ref{Name: name, Digest: Digest(content)})
	}
	slices.SortFunc(head.Chunks, func(a, b Ref) int { return strings.Compare(a.Name, b.Name) })
	raw, err := json.Marshal(head)
	if err != nil {
		return StoredHead{}, fault.Wrap(err, fault.Internal, "configuration head cannot be encoded", "report this as a defect")
	}
	obj, err := objstore.PutSettled(ctx, w.store, HeadKey, raw, base.Version, ch.ID)
	if fault.Is(err, fault.Unknown) {
		return w.resolveFromHistory(ctx, head, err)
	}
	if err != nil {
		return StoredHead{}, err
	}
	return StoredHead{Head: head, Version: obj.Version, Raw: raw}, nil
}

// resolveFromHistory determines from the history whether a change was accepted
// whose head was overwritten before its writer could read it back.
func (w *Writer) resolveFromHistory(ctx context.Context, head Head, cause error) (StoredHead, error) {
	unknown := fault.Wrap(cause, fault.Unknown, "change "+head.ChangeID+" is not settled", "look for the change id in: rockdoor config history")
	current, err := ReadHead(ctx, w.store)
	if err != nil || current.Head.Revision < head.Revision {
		return StoredHead{}, unknown
	}
	for current.Head.Revision > head.Revision {
		if current, err = w.readParent(ctx, current); err != nil {
			return StoredHead{}, unknown
		}
	}
	if current.Head.ChangeID == head.ChangeID {
		return current, nil
	}
	return StoredHead{}, fault.Newf(fault.Conflict, "read the configuration again and repeat the change",
		"revision %d was taken by change %s of %s", head.Revision, current.Head.ChangeID, current.Head.Author)
}

func (w *Writer) readParent(ctx context.Context, a StoredHead) (StoredHead, error) {
	obj, err := w.store.Get(ctx, ChunkPrefix+a.Head.Parent)
	if err != nil {
		return StoredHead{}, err
	}
	return ParseHead(obj)
}

// putChunks writes the chunks that base does not already refer to.
func (w *Writer) putChunks(ctx context.Context, base Head, chunks map[string][]byte) error {
	existing := map[string]bool{}
	for _, r := range base.Chunks {
		existing[r.Digest] = true
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelChunks)
	for _, content := range chunks {
		digest := Digest(content)
		if existing[digest] {
			continue
		}
		g.Go(func() error {
			_, err := objstore.PutSettled(ctx, w.store, ChunkPrefix+digest, content, 0, digest)
			if fault.Is(err, fault.Conflict) {
				return nil // the chunk already exists, with the same content
			}
			if err != nil {
				return fault.Wrap(err, fault.Unavailable, "change was not accepted", "repeat the change when the platform store responds")
			}
			return nil
		})
	}
	return g.Wait()
}

// History returns up to limit heads, the newest first.
func History(ctx context.Context, s objstore.Store, limit int) ([]Head, error) {
	w := &Writer{store: s}
	a, err := ReadHead(ctx, s)
	if err != nil {
		return nil, err
	}
	var heads []Head
	for a.Head.Revision > 0 && len(heads) < limit {
		heads = append(heads, a.Head)
		if a.Head.Parent == "" {
			break
		}
		if a, err = w.readParent(ctx, a); err != nil {
			if fault.Is(err, fault.NotFound) {
				break // older history has been removed
			}
			return heads, err
		}
	}
	return heads, nil
}
