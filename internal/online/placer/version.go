package placer

import "slices"

// hasVersion returns whether the software of the upstream is of one of some versions; an empty
// list stands for any.
func (u *upstream) hasVersion(versions []string) bool {
	return len(versions) == 0 || slices.Contains(versions, u.Version)
}

// AcceptsVersion returns whether an upstream of a service with a software version accepts
// work, whether or not it has a slot for it now.
func (p *Placer) AcceptsVersion(service, version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.byService[service], func(u *upstream) bool {
		return u.Version == version && u.acceptsWork()
	})
}
