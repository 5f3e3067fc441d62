package placer

// MarkDraining records that the upstream of a slot has announced that it is draining.
// It receives no more work until its process has restarted, whatever the platform
// lists in the meantime. MarkDraining reports whether this was not known before.
func (p *Placer) MarkDraining(slot *Slot) bool {
	p.mu.Lock()
	isNew := p.recordDraining(slot.info.ID, slot.info.ProcessStart)
	p.mu.Unlock()
	if isNew {
		p.onChange(Change{Upstream: slot.info.ID, Domain: slot.info.Domain})
	}
	return isNew
}

// Draining returns the upstreams that are known to be draining although the platform
// does not list them so, with their process starts.
func (p *Placer) Draining() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	draining := map[string]int64{}
	for id, processStart := range p.announcedDraining.All() {
		if u, found := p.upstreams[id]; found && u.announcedDraining && !u.Draining {
			draining[id] = processStart
		}
	}
	return draining
}

// ReceiveDraining records which upstreams peer VMs know to be draining, by process
// start.
func (p *Placer) ReceiveDraining(reported map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, processStart := range reported {
		p.recordDraining(id, processStart)
	}
}

// recordDraining records that a process of an upstream is draining, and reports
// whether this was not known before. The caller must hold mu.
func (p *Placer) recordDraining(id string, processStart int64) bool {
	if !p.announcedDraining.Add(id, processStart) {
		return false
	}
	if u, found := p.upstreams[id]; found {
		u.announcedDraining = p.announcedDraining.Has(id, u.ProcessStart)
	}
	return true
}

// acceptsWork reports whether the upstream accepts new work.
func (u *upstream) acceptsWork() bool { return !u.Draining && !u.announcedDraining }
