package resumption

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// listGap is the minimum time between two reads of the list by one process, for each process of the fleet. maxListGap
	// limits it.
	listGap    = 2 * time.Millisecond
	maxListGap = 500 * time.Millisecond
)

// versionList reads the list of versions in the store.
type versionList struct {
	o StoreOptions
	*sharedReads[storedVersions]
}

// listResult is the result of a read.
type listResult struct {
	versions storedVersions
	err      error
}

// evidence returns what the list says of a service's versions during the life of a stream. A version counts for a while after it
// was last seen, since processes whose registrations are out of date may use it.
func (l *listResult) evidence(service string, life time.Duration, r *Registry) Evidence {
	if l.err != nil {
		return Evidence{}
	}
	now := r.list.o.Clock()
	return Evidence{
		Versions: l.versions.evidence(service, now, life+r.o.StaleAfter).Versions,
		Complete: l.versions.evidence(service, now, life).Complete,
	}
}

func newVersionList(o StoreOptions, processes func() int) *versionList {
	l := &versionList{o: o}
	l.sharedReads = &sharedReads[storedVersions]{
		gap: func() time.Duration { return min(time.Duration(processes())*listGap, maxListGap) },
		load: func(ctx context.Context) (storedVersions, error) {
			v, _, err := getVersions(ctx, o)
			return v, err
		},
	}
	return l
}

// getVersions reads the list of versions. It is empty if nobody has written it.
func getVersions(ctx context.Context, o StoreOptions) (v storedVersions, at objstore.Version, err error) {
	obj, err := o.Store.Get(ctx, o.Prefix+versionsName)
	if fault.Is(err, fault.NotFound) {
		return v, 0, nil
	}
	if err != nil {
		return v, 0, err
	}
	if err = json.Unmarshal(obj.Value, &v); v.Era != obj.Version.Era() {
		v.Since = 0 // nobody has confirmed it since the store was restored
	}
	return v, obj.Version, err
}
