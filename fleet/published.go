package fleet

import "slices"

// Published holds, by service, the software versions that the store lists. A process that looks for the version of a
// stream relies on that list, so a version serves only once it is in it. Published is immutable. All versions serve if
// it is nil.
type Published struct {
	versions map[string][]string
	open     map[string]bool
}

// NewPublished returns the published versions of each service. If no instance of these may run a request, those of other
// versions may at the open services.
func NewPublished(versions map[string][]string, open map[string]bool) *Published {
	return &Published{versions, open}
}

// Has reports whether a version of a service is published.
func (p *Published) Has(service, version string) bool {
	return p != nil && slices.Contains(p.versions[service], version)
}

// filter returns the instances that may get new requests.
func (p *Published) filter(service string, instances []*Instance) []*Instance {
	unpublished := func(i *Instance) bool { return !p.Has(service, i.Software) }
	if p == nil || !slices.ContainsFunc(instances, unpublished) {
		return instances
	}
	if out := slices.DeleteFunc(slices.Clone(instances), unpublished); len(out) > 0 || !p.open[service] {
		return out
	}
	return instances
}
