package fleet

import "slices"

// Published holds, by service, the software versions that the store lists. A process that looks for the version of a
// stream relies on that list, so a version serves only once it is in it. Published is immutable.
type Published struct{ versions map[string][]string }

// NewPublished returns the published versions of each service.
func NewPublished(versions map[string][]string) *Published { return &Published{versions} }

// Has reports whether a version of a service is published.
func (p *Published) Has(service, version string) bool {
	return p != nil && slices.Contains(p.versions[service], version)
}

// filter returns the instances whose versions are published. If there are none, it returns all: without the store, nothing
// is published.
func (p *Published) filter(service string, instances []*Instance) []*Instance {
	unpublished := func(i *Instance) bool { return !p.Has(service, i.Software) }
	if !slices.ContainsFunc(instances, unpublished) {
		return instances
	}
	if out := slices.DeleteFunc(slices.Clone(instances), unpublished); len(out) > 0 {
		return out
	}
	return instances
}
