package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// directory is what a large fleet keeps in the store of who works for the others, so that a process which
// starts need not list all members: after a loss of all, 985 lists of 985 members were 390 MB, more than the
// store sent in the time in which each had to arrive, so that none did. Those that work for the others, or
// that did until they were silent, list them: they have to know at once whose places they take. It is a hint:
// where those that it names do not answer, the members are listed.
type directory struct {
	Processes int `json:"processes"`
	// Instances is how many engines and backend servers there are.
	Instances  int              `json:"instances"`
	Schedulers []members.Member `json:"schedulers"`
	// Watchers are the names of those schedulers that watch the store.
	Watchers []string `json:"watchers"`
}

// directoryRead is a directory as an event.
type directoryRead struct{ directory }

// directoryTimeout bounds a write of the directory, with all its tries.
const directoryTimeout = 5 * time.Second

// readDirectory returns the directory. The error is of kind NotFound if there is none of use.
func (d *Discovery) readDirectory(ctx context.Context) (directory, error) {
	var dir directory
	ctx, cancel := context.WithTimeout(ctx, StoreCallTimeout(d.o.ApplyLimit))
	defer cancel()
	obj, err := d.o.Stale.Get(ctx, d.directoryKey())
	if err != nil {
		return dir, err
	}
	if err := json.Unmarshal(obj.Value, &dir); err != nil {
		return dir, fault.Wrap(err, fault.NotFound, "directory of the fleet cannot be read", "the members are listed")
	}
	if dir.Processes <= members.MaxFullMesh || len(dir.Schedulers) == 0 {
		return dir, fault.New(fault.NotFound, "directory is that of a small fleet", "the members are listed")
	}
	if d.o.Self.IsSchedulerCandidate(dir.Schedulers) {
		return dir, fault.New(fault.NotFound, "this process is to work for the others", "the members are listed")
	}
	return dir, nil
}

func (d *Discovery) directoryKey() string { return d.o.Prefixes.Directory + mainName }

// joinBy takes in a directory, in the place of a list of the members.
func (d *Discovery) joinBy(dir directory) {
	if d.joined {
		return
	}
	watchers := slices.DeleteFunc(slices.Clone(dir.Schedulers), func(m members.Member) bool { return !slices.Contains(dir.Watchers, m.Name) })
	d.joined = true
	d.cur.Processes = dir.Processes
	d.expected.Store(int64(dir.Instances))
	d.setSchedulers(dir.Schedulers, watchers, dir.Schedulers)
}

// sizeDrift is by which part the numbers may be off in the directory.
const sizeDrift = 0.1

// like reports whether a directory says the same as another, but for small changes of the numbers.
func (r *directory) like(other directory) bool {
	return sameNames(r.Schedulers, other.Schedulers) && slices.Equal(r.Watchers, other.Watchers) &&
		about(r.Processes, other.Processes) && about(r.Instances, other.Instances)
}

// about reports whether a number is near another.
func about(n, other int) bool { return math.Abs(float64(n-other)) <= sizeDrift*float64(other) }

// keepDirectory writes the directory if this process is the first watcher of a large fleet and what it says
// has changed.
func (d *Discovery) keepDirectory(ctx context.Context) {
	first := len(d.cur.Watchers) > 0 && d.cur.Watchers[0].Name == d.o.Self.Name
	if !first || d.cur.Processes <= members.MaxFullMesh {
		return
	}
	now := directory{Processes: d.cur.Processes, Instances: len(d.instances), Schedulers: d.cur.Schedulers, Watchers: members.Names(d.cur.Watchers)}
	if now.like(d.written) {
		return
	}
	d.written = now
	value, err := json.Marshal(now)
	if err != nil {
		level.Error(d.logger).Log("msg", "directory not written", "err", err)
		return
	}
	go d.writeDirectory(ctx, value)
}

func (d *Discovery) writeDirectory(ctx context.Context, value []byte) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	key := d.directoryKey()
	old, err := d.o.Store.Get(ctx, key)
	if err != nil && !fault.Is(err, fault.NotFound) {
		d.directoryKept(err)
		return
	}
	if err == nil && bytes.Equal(old.Value, value) {
		return
	}
	_, err = objstore.PutSettled(ctx, d.o.Store, key, value, old.Version, d.o.RunID+"-"+members.NewIncarnation())
	d.directoryKept(err)
}

// directoryKept logs how a write ended. One that failed leaves the directory as it was, until who it names
// changes again: it is a hint.
func (d *Discovery) directoryKept(err error) {
	if err != nil {
		level.Warn(d.logger).Log("msg", "directory not written", "err", err)
		return
	}
	level.Info(d.logger).Log("msg", "directory written")
}
