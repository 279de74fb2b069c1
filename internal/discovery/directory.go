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

// directory is a summary of a large fleet in the store: its size, its schedulers and its watchers.
// It spares a starting process the list of all members. When all 985 processes of a fleet restarted
// at once, 985 lists of 985 members were 390 MB, more than the store could send before their
// timeouts, so that every list failed. Schedulers, and processes that were schedulers until they
// became unresponsive, still list the members, since they have to know at once which processes they
// replace. The directory is a hint: if none of the processes in it answers, the members are listed.
type directory struct {
	Processes int `json:"processes"`
	// Instances is the number of engines and backend servers.
	Instances  int              `json:"instances"`
	Schedulers []members.Member `json:"schedulers"`
	// Watchers are the names of the schedulers that watch the store.
	Watchers []string `json:"watchers"`
}

// directoryRead is the event that the directory was read.
type directoryRead struct{ directory }

// Counts in the directory beyond these are not those of a fleet.
const (
	maxProcesses = 1 << 20
	maxInstances = 1 << 24
)

// directoryTimeout bounds a write of the directory, including its retries.
const directoryTimeout = 5 * time.Second

// readDirectory returns the directory. The error is of kind NotFound if there is no usable one.
func (d *Discovery) readDirectory(ctx context.Context) (directory, error) {
	var dir directory
	ctx, cancel := context.WithTimeout(ctx, StoreCallTimeout(d.o.ApplyLimit))
	defer cancel()
	obj, err := d.o.Stale.Get(ctx, d.directoryKey())
	if err != nil {
		return dir, err
	}
	if err := json.Unmarshal(obj.Value, &dir); err != nil {
		return dir, fault.Wrap(err, fault.NotFound, "directory of the fleet cannot be decoded", "the members are listed instead")
	}
	if dir.Processes > maxProcesses || dir.Instances < 0 || dir.Instances > maxInstances {
		return dir, fault.Newf(fault.NotFound, "the members are listed instead; check who else writes to "+obj.Key, "directory of the fleet has %d processes and %d instances", dir.Processes, dir.Instances)
	}
	if dir.Processes <= members.MaxFullMesh || len(dir.Schedulers) == 0 {
		return dir, fault.New(fault.NotFound, "directory is of a small fleet or names no schedulers", "the members are listed instead")
	}
	if d.o.Self.IsSchedulerCandidate(dir.Schedulers) {
		return dir, fault.New(fault.NotFound, "this process may become a scheduler and needs the list of members", "the members are listed instead")
	}
	return dir, nil
}

func (d *Discovery) directoryKey() string { return d.o.Prefixes.Directory + mainObject }

// joinFromDirectory takes the schedulers and the size of the fleet from the directory instead of
// from a list of the members.
func (d *Discovery) joinFromDirectory(dir directory) {
	if d.joined {
		return
	}
	watchers := slices.DeleteFunc(slices.Clone(dir.Schedulers), func(m members.Member) bool { return !slices.Contains(dir.Watchers, m.Name) })
	d.joined = true
	d.cur.Processes = dir.Processes
	d.expectedInstances.Store(int64(dir.Instances))
	d.setSchedulers(dir.Schedulers, watchers, dir.Schedulers)
}

// maxCountDrift is the relative error that the counts in the directory may have.
const maxCountDrift = 0.1

// equivalent reports whether two directories are the same except for small differences in the counts.
func (r *directory) equivalent(other directory) bool {
	return sameNames(r.Schedulers, other.Schedulers) && slices.Equal(r.Watchers, other.Watchers) &&
		approxEqual(r.Processes, other.Processes) && approxEqual(r.Instances, other.Instances)
}

// approxEqual reports whether n differs from other by at most maxCountDrift.
func approxEqual(n, other int) bool {
	return math.Abs(float64(n-other)) <= maxCountDrift*float64(other)
}

// updateDirectory writes the directory if it has changed and this process is the first watcher of a
// large fleet.
func (d *Discovery) updateDirectory(ctx context.Context) {
	first := len(d.cur.Watchers) > 0 && d.cur.Watchers[0].Name == d.o.Self.Name
	if !first || d.cur.Processes <= members.MaxFullMesh {
		return
	}
	current := directory{Processes: d.cur.Processes, Instances: len(d.instances), Schedulers: d.cur.Schedulers, Watchers: members.Names(d.cur.Watchers)}
	if current.equivalent(d.writtenDirectory) {
		return
	}
	d.writtenDirectory = current
	value, err := json.Marshal(current)
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
		d.logDirectoryWrite(err)
		return
	}
	if err == nil && bytes.Equal(old.Value, value) {
		return
	}
	_, err = objstore.PutSettled(ctx, d.o.Store, key, value, old.Version, d.o.RunID+"-"+members.NewIncarnation())
	d.logDirectoryWrite(err)
}

// logDirectoryWrite logs the result of a write. After a failure the directory stays as it is until
// its content changes again, which is acceptable for a hint.
func (d *Discovery) logDirectoryWrite(err error) {
	if err != nil {
		level.Warn(d.logger).Log("msg", "directory not written", "err", err)
		return
	}
	level.Info(d.logger).Log("msg", "directory written")
}
