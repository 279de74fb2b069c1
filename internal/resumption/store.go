package resumption

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
)

// Peers keep the records as long as one of them lives. For the time after the loss of all processes, the store has
// two kinds of objects: the versions that serve, written when they change, and, while several of them serve, the
// newest records of each process, written in turn to a fixed number of objects for each process.

const (
	// versionsName is the name of the object with the versions. The names of the other objects begin with recordsName.
	versionsName = "versions"
	recordsName  = "records."
	// saveGap is the minimum time between two writes of records by one process, for each process of the fleet. minSaveGap and
	// slotTime limit it.
	saveGap    = 16 * time.Millisecond
	minSaveGap = 100 * time.Millisecond
	// slotTime is how long a process writes its new records to the same object before it turns to the next one.
	slotTime = 500 * time.Millisecond
	// maxSlots limits the objects of one process. Records of streams that live longer than maxSlots times slotTime are
	// overwritten while they are valid.
	maxSlots = 40
	// maxSaving is the number of processes up to which records are written to the store: the writes of more would
	// take too much of the store's rate.
	maxSaving = 64
	// readTimeout limits a read of the store for which a client waits. recordsGap is the minimum time between two reads of the
	// records by one process.
	readTimeout = 250 * time.Millisecond
	recordsGap  = 200 * time.Millisecond
	// writeTimeout limits a write.
	writeTimeout = time.Second
)

// StoreOptions of a Registry.
type StoreOptions struct {
	Store objstore.Store
	// Stale is for reads that may be seconds old, nil if there is no cheaper way to read.
	Stale objstore.Store
	// Prefix is the key prefix of the objects, Process the name of this process in their names, and Writer
	// identifies this run of the process.
	Prefix, Process, Writer string
	// Clock is the wall clock on which the processes agree.
	Clock func() time.Time
}

// storedRecord is a record in the store. Until is its expiry in Unix milliseconds.
type storedRecord struct {
	Request   string `json:"r"`
	Workspace string `json:"w,omitempty"`
	Service   string `json:"s"`
	Software  string `json:"v"`
	Ambiguous bool   `json:"a,omitempty"`
	Until     int64  `json:"u"`
}

// saver writes records to the store. Only one goroutine may use it.
type saver struct {
	o StoreOptions
	// versions are those of the objects that this process has written, by slot.
	versions map[int]objstore.Version
	// period counts the slotTimes until the latest write, and records has what was written in it.
	period  int64
	records []storedRecord
}

// save adds records to the object whose turn it is.
func (s *saver) save(ctx context.Context, records []storedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if period := s.o.Clock().UnixMilli() / slotTime.Milliseconds(); period != s.period {
		s.period, s.records = period, nil
	}
	s.records = append(s.records, records...)
	s.records = s.records[max(0, len(s.records)-maxUnsaved):]
	value, err := json.Marshal(s.records)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "records of streams cannot be encoded", "report this as a defect")
	}
	slot := int(s.period % maxSlots)
	key := fmt.Sprintf("%s%s%s.%d", s.o.Prefix, recordsName, s.o.Process, slot)
	obj, err := s.o.Store.Put(ctx, key, value, s.versions[slot], s.o.Writer)
	if fault.Is(err, fault.Conflict) { // an earlier run of the process wrote it
		if obj, err = s.o.Store.Get(ctx, key); err == nil {
			obj, err = s.o.Store.Put(ctx, key, value, obj.Version, s.o.Writer)
		}
	}
	if err != nil {
		delete(s.versions, slot)
		return err
	}
	s.versions[slot] = obj.Version
	return nil
}

// runSaver writes records to the store until ctx ends, the first ones at once.
func (r *Registry) runSaver(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.wakeSaver:
			time.Sleep(batchDelay)
			r.savePending(ctx)
			time.Sleep(min(max(time.Duration(r.o.View().Processes)*saveGap, minSaveGap), slotTime))
		}
	}
}

// savePending writes the records that have not been written yet. While the store is away they stay for a later write.
func (r *Registry) savePending(ctx context.Context) {
	if v := r.o.View(); v.Processes > maxSaving || !v.StoreUp {
		return
	}
	r.mu.Lock()
	unsaved := r.unsaved
	r.unsaved = nil
	r.mu.Unlock()
	if len(unsaved) == 0 {
		return
	}
	now, wall := r.table.now(), r.saver.o.Clock()
	out := make([]storedRecord, 0, len(unsaved))
	for _, rec := range unsaved {
		out = append(out, storedRecord{rec.Request, rec.Workspace, rec.Service, rec.Software, rec.Ambiguous, wall.Add(rec.expires.Sub(now)).UnixMilli()})
	}
	if err := r.saver.save(ctx, out); err != nil {
		r.count("save_failed")
		level.Info(r.logger).Log("msg", "records of streams not written to the store", "records", len(out), "err", err)
	}
}

// storedRecords are the records of all processes.
type storedRecords map[streamKey]storedRecord

// newRecordReader returns reads of what the processes have written to the store.
func newRecordReader(o StoreOptions) *sharedReads[storedRecords] {
	return &sharedReads[storedRecords]{
		gap: func() time.Duration { return recordsGap },
		load: func(ctx context.Context) (storedRecords, error) {
			objs, _, err := o.Store.List(ctx, o.Prefix)
			out := storedRecords{}
			for _, obj := range objs {
				if strings.HasPrefix(obj.Key, o.Prefix+recordsName) {
					out.decode(obj)
				}
			}
			return out, err
		},
	}
}

// decode adds the content of an object. One that can't be decoded says nothing.
func (s storedRecords) decode(obj objstore.Object) {
	var records []storedRecord
	if json.Unmarshal(obj.Value, &records) != nil {
		return
	}
	for _, rec := range records {
		key := streamKey{rec.Workspace, rec.Request}
		if old, known := s[key]; known {
			rec.Ambiguous = rec.Ambiguous || old.Ambiguous || old.Service != rec.Service || old.Software != rec.Software
			rec.Until = max(rec.Until, old.Until)
		}
		s[key] = rec
	}
}

// findStored returns the origin of a stream by the records in the store.
func (r *Registry) findStored(ctx context.Context, workspace, request string, d *decision) (Origin, Source) {
	records, err := r.reader.read(ctx)
	d.recordsErr = err
	if err != nil {
		return Origin{}, SourceNone
	}
	now := r.o.Store.Clock()
	if rec, ok := records[streamKey{workspace, request}]; ok && request != "" && now.UnixMilli() < rec.Until {
		return known(Origin{Request: request, Workspace: workspace, Service: rec.Service, Software: rec.Software, Ambiguous: rec.Ambiguous}, SourceStore)
	}
	return Origin{}, SourceNone
}
