package scheduler

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// minPackBytes is the total size of values from which the objects of an update are compressed.
	// 3,000 registrations are 0.8 MB, compressed 0.1 MB. A single change is sent uncompressed.
	minPackBytes = 8 << 10
	// maxCachedPacks is the number of cached compressed updates. Followers are at most a few
	// changes apart, and after a start all of them request the same update.
	maxCachedPacks = 4
	// maxUnpackedBytes limits the size of a decompressed update. It is enough for about 200,000 registrations.
	maxUnpackedBytes = 64 << 20
)

// packCache compresses updates and caches the newest ones. It is safe for concurrent use.
type packCache struct {
	mu     sync.Mutex
	cached []packedUpdate
}

// packedUpdate is the compressed objects of one update. A full update is identified by its position alone.
type packedUpdate struct {
	full      bool
	after, at feed.Position
	bytes     []byte
}

// shouldPack reports whether the objects of an update are large enough to be compressed.
func shouldPack(u feed.Update) bool {
	size := 0
	for _, e := range u.Events {
		size += len(e.Object.Value)
	}
	return size >= minPackBytes
}

// get returns the compressed objects of an update for a follower at the position after.
func (p *packCache) get(after feed.Position, u feed.Update) ([]byte, error) {
	if u.Full {
		after = feed.Position{}
	}
	p.mu.Lock()
	defer p.mu.Unlock() // held while compressing: the other callers wait for the same update
	for _, k := range p.cached {
		if k.full == u.Full && k.after == after && k.at == u.Position {
			return k.bytes, nil
		}
	}
	packed, err := packObjects(u.Events)
	if err != nil {
		return nil, err
	}
	p.cached = append(p.cached, packedUpdate{u.Full, after, u.Position, packed})
	if len(p.cached) > maxCachedPacks {
		p.cached = p.cached[1:]
	}
	return packed, nil
}

func packObjects(events []objstore.Event) ([]byte, error) {
	raw, err := proto.Marshal(&peerpb.FollowUpdate{Objects: encodeObjects(events)})
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func unpackObjects(packed []byte) ([]*peerpb.MirrorObject, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	if err != nil {
		return nil, unpackError(err)
	}
	var m peerpb.FollowUpdate
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, unpackError(err)
	}
	return m.GetObjects(), nil
}

func unpackError(err error) error {
	return fault.Wrap(err, fault.Internal, "snapshot of a scheduler cannot be decompressed", "run the same version everywhere; another scheduler is asked")
}

func encodeObjects(events []objstore.Event) []*peerpb.MirrorObject {
	out := make([]*peerpb.MirrorObject, 0, len(events))
	for _, e := range events {
		out = append(out, &peerpb.MirrorObject{Key: e.Object.Key, Value: e.Object.Value, Version: int64(e.Object.Version), Deleted: e.Deleted})
	}
	return out
}
