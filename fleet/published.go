package fleet

import "slices"

// Published holds, by service, the software versions that the store lists. A process that looks for the version of a
// stream relies on that list, so a version serves only once it is in it. Published is immutable. All versions serve if
// it is nil.
type Published struct {
	versions map[string][]string
	open     map[string]bool
}

// NewPublished returns the published versions of each service. Open services don't wait until a version that takes the place of
// another one is published.
func NewPublished(versions map[string][]string, open map[string]bool) *Published {
	return &Published{versions, open}
}

// Has reports whether a version of a service is published.
func (p *Published) Has(service, version string) bool {
	return p != nil && slices.Contains(p.versions[service], version)
}

// filter returns the instances that may get new requests: those of published versions. If there are none, it returns all, unless
// the service is not open and its published versions still drain.
func (p *Published) filter(service string, instances []*Instance, all map[string]*Instance) []*Instance {
	unpublished := func(i *Instance) bool { return !p.Has(service, i.Software) }
	if p == nil || !slices.ContainsFunc(instances, unpublished) {
		return instances
	}
	if out := slices.DeleteFunc(slices.Clone(instances), unpublished); len(out) > 0 || !p.open[service] && p.drains(service, all) {
		return out
	}
	return instances
}

// drains reports whether an instance of a published version drains.
func (p *Published) drains(service string, all map[string]*Instance) bool {
	for _, i := range all {
		if i.Draining && i.Service == service && p.Has(service, i.Software) {
			return true
		}
	}
	return false
}
