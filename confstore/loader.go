package confstore

import (
	"context"
	"encoding/json"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
)

// Source returns the chunk with a digest, or an error.
type Source func(ctx context.Context, digest string) ([]byte, error)

// StoreSource reads chunks from the object API.
func StoreSource(s objstore.Store) Source {
	return func(ctx context.Context, digest string) ([]byte, error) {
		obj, err := s.Get(ctx, ChunkPrefix+digest)
		return obj.Value, err
	}
}

// Loader loads the configuration of a head. It keeps the chunks of the last
// head that it loaded, so that a change costs only what it touches, and serves
// them to peers. It is safe for concurrent use.
type Loader struct {
	sources []Source

	mu     sync.Mutex
	chunks map[string]chunk // by digest
}

type chunk struct {
	raw  []byte
	part *config.Config
}

// NewLoader returns a loader that asks the sources in order.
func NewLoader(sources ...Source) *Loader {
	return &Loader{sources: sources, chunks: map[string]chunk{}}
}

// Chunk returns a chunk that the loader holds, for a peer.
func (l *Loader) Chunk(digest string) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.chunks[digest]
	return c.raw, ok
}

// Load returns the compiled configuration of head.
func (l *Loader) Load(ctx context.Context, head Head) (*config.Compiled, error) {
	got := make([]chunk, len(head.Chunks))
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelChunks)
	for i, ref := range head.Chunks {
		g.Go(func() error {
			c, err := l.chunk(gctx, ref.Digest)
			got[i] = c
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	parts := make([]*config.Config, len(got))
	held := make(map[string]chunk, len(got))
	for i, c := range got {
		parts[i] = c.part
		held[head.Chunks[i].Digest] = c
	}
	compiled, err := config.Compile(Join(parts))
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.chunks = held
	l.mu.Unlock()
	return compiled, nil
}

func (l *Loader) chunk(ctx context.Context, digest string) (chunk, error) {
	l.mu.Lock()
	c, ok := l.chunks[digest]
	l.mu.Unlock()
	if ok {
		return c, nil
	}
	var last error
	for _, source := range l.sources {
		raw, err := source(ctx, digest)
		if err != nil {
			last = err
			continue
		}
		if Digest(raw) != digest {
			last = fault.New(fault.Unavailable, "chunk "+digest+" arrived damaged", "it is asked for again elsewhere")
			continue
		}
		var part config.Config
		if err := json.Unmarshal(raw, &part); err != nil {
			return chunk{}, fault.Wrap(err, fault.Internal, "chunk "+digest+" cannot be read", "check that all processes run the same version")
		}
		return chunk{raw: raw, part: &part}, nil
	}
	return chunk{}, fault.Wrap(last, fault.Unavailable, "chunk "+digest+" cannot be had", "check the platform store and the peers")
}
