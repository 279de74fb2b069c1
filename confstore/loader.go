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

// Source fetches the chunk with the given digest.
type Source func(ctx context.Context, digest string) ([]byte, error)

// StoreSource returns a Source that reads chunks from the object API.
func StoreSource(s objstore.Store) Source {
	return func(ctx context.Context, digest string) ([]byte, error) {
		obj, err := s.Get(ctx, ChunkPrefix+digest)
		return obj.Value, err
	}
}

// Loader loads the configuration of a head. It caches the chunks of the last head
// that it loaded: a later load fetches only the chunks that changed, and peers can
// fetch chunks from this process. It is safe for concurrent use.
type Loader struct {
	sources []Source

	mu     sync.Mutex
	chunks map[string]chunk // by digest
}

type chunk struct {
	raw  []byte
	part *config.Config
}

// NewLoader returns a loader that tries the sources in order.
func NewLoader(sources ...Source) *Loader {
	return &Loader{sources: sources, chunks: map[string]chunk{}}
}

// Chunk returns a cached chunk, for a peer that requests it.
func (l *Loader) Chunk(digest string) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.chunks[digest]
	return c.raw, ok
}

// Load returns the compiled configuration of head.
func (l *Loader) Load(ctx context.Context, head Head) (*config.Compiled, error) {
	chunks := make([]chunk, len(head.Chunks))
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelChunks)
	for i, ref := range head.Chunks {
		g.Go(func() error {
			c, err := l.getChunk(gctx, ref.Digest)
			chunks[i] = c
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	parts := make([]*config.Config, len(chunks))
	byDigest := make(map[string]chunk, len(chunks))
	for i, c := range chunks {
		parts[i] = c.part
		byDigest[head.Chunks[i].Digest] = c
	}
	compiled, err := config.Compile(Join(parts))
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.chunks = byDigest
	l.mu.Unlock()
	return compiled, nil
}

func (l *Loader) getChunk(ctx context.Context, digest string) (chunk, error) {
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
			last = fault.New(fault.Unavailable, "chunk "+digest+" does not match its digest", "the next source is tried")
			continue
		}
		var part config.Config
		if err := json.Unmarshal(raw, &part); err != nil {
			return chunk{}, fault.Wrap(err, fault.Internal, "chunk "+digest+" cannot be read", "check that all processes run the same version")
		}
		return chunk{raw: raw, part: &part}, nil
	}
	return chunk{}, fault.Wrap(last, fault.Unavailable, "chunk "+digest+" is not available from any source", "check the platform store and the peers")
}
