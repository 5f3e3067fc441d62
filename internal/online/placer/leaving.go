package placer

// MarkDraining notes that the upstream of a place has said that it is about to leave.
// It gets no more work until it has started anew, whatever the platform's list
// says meanwhile. MarkDraining returns whether that is news.
func (p *Placer) MarkDraining(place *Slot) bool {
	p.mu.Lock()
	isNews := p.leave(place.listed.ID, place.listed.ProcessStart)
	p.mu.Unlock()
	if isNews {
		p.changed(Change{Upstream: place.listed.ID, Domain: place.listed.Domain})
	}
	return isNews
}

// Draining returns the upstreams that are known to leave although the platform
// doesn't list them so, with the start of their processes.
func (p *Placer) Draining() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaving := map[string]int64{}
	for id, born := range p.left.All() {
		if u, found := p.upstreams[id]; found && u.left && !u.Draining {
			leaving[id] = born
		}
	}
	return leaving
}

// ReceiveDraining takes in which upstreams other VMs know to leave.
func (p *Placer) ReceiveDraining(told map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, born := range told {
		p.leave(id, born)
	}
}

// leave notes that a process of an upstream leaves. The caller holds mu.
func (p *Placer) leave(id string, born int64) bool {
	if !p.left.Add(id, born) {
		return false
	}
	if u, found := p.upstreams[id]; found {
		u.left = p.left.Has(id, u.ProcessStart)
	}
	return true
}

// takesWork tells whether an upstream takes new work.
func (u *upstream) takesWork() bool { return !u.Draining && !u.left }
