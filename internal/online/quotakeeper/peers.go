package quotakeeper

import (
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
)

const (
	// answerTime is how long a VM may take to answer until it counts as silent. A message between
	// regions, a busy VM and a lost message that is sent once more fit into it.
	answerTime = 100 * time.Millisecond
	// resendTime is how long after a report it is sent once more, and to other VMs too.
	resendTime = 40 * time.Millisecond
	// maxBackups is the number of other VMs that a late report is sent to.
	maxBackups = 2
	// silentAskInterval is the time between two messages to a silent VM that is needed, or to a domain that is
	// cut off.
	silentAskInterval = 200 * time.Millisecond
	// domainAnswerTime is how long none of the VMs that were asked may answer until their domain counts
	// as cut off.
	domainAnswerTime = 4 * domainAskInterval
	// domainAskInterval is the time between two messages to a domain that doesn't answer.
	domainAskInterval = 50 * time.Millisecond
	// minFreshTime and maxFreshTime bound how long a domain that was heard from is not asked. Between them,
	// maxUnnoticed requests at the largest quota in question may be admitted meanwhile.
	minFreshTime = 100 * time.Millisecond
	maxFreshTime = time.Second
	maxUnnoticed = 5.0
)

// Member is a live VM.
type Member struct {
	VM     string
	Domain string
}

// peer is what is known of another VM.
type peer struct {
	domain  string
	heardAt time.Time
	askedAt time.Time // when it was first asked since it was heard from; zero if it wasn't
	sentAt  time.Time // when it was last asked
	silent  bool
}

// domain is what is known of a failure domain.
type domain struct {
	vms     []string // other VMs than this one
	size    int      // with this VM
	heardAt time.Time
	askedAt time.Time // when it was first asked since it was heard from; zero if it wasn't
	sentAt  time.Time
	next    int // index of the VM to ask next
	cutOff  bool
}

// peers are the live VMs, and which of them answer.
type peers struct {
	self    Member
	vms     map[string]*peer
	domains map[string]*domain
	names   []string // all VMs, this one included
	known   bool     // whether the list has been set
	// epoch changes whenever another VM can be the keeper of a team.
	epoch uint64
}

func newPeers(self Member) *peers {
	return &peers{self: self, vms: map[string]*peer{}, domains: map[string]*domain{}}
}

// set replaces the list of live VMs. What is known of those that stay is kept.
func (p *peers) set(members []Member) {
	before, domainsBefore := p.vms, p.domains
	p.vms, p.domains, p.names = map[string]*peer{}, map[string]*domain{}, nil
	p.known = true
	p.epoch++
	p.add(p.self.VM, p.self.Domain, domainsBefore)
	for _, m := range members {
		if m.VM == p.self.VM || p.vms[m.VM] != nil {
			continue
		}
		vm := before[m.VM]
		if vm == nil {
			vm = &peer{}
		}
		vm.domain = m.Domain
		p.vms[m.VM] = vm
		d := p.add(m.VM, m.Domain, domainsBefore)
		d.vms = append(d.vms, m.VM)
	}
}

// add adds a VM to the names and counts it in its domain.
func (p *peers) add(vm, domainName string, before map[string]*domain) *domain {
	p.names = append(p.names, vm)
	d := p.domains[domainName]
	if d == nil {
		d = &domain{}
		if old := before[domainName]; old != nil {
			*d = *old
			d.vms, d.size = nil, 0
		}
		p.domains[domainName] = d
	}
	d.size++
	return d
}

// hear records that a VM has sent something.
func (p *peers) hear(vm string, now time.Time) {
	v := p.vms[vm]
	if v == nil {
		return
	}
	if v.silent {
		v.silent = false
		p.epoch++
	}
	v.heardAt, v.askedAt = now, time.Time{}
	d := p.domains[v.domain]
	if d.cutOff {
		d.cutOff = false
		p.epoch++
	}
	d.heardAt, d.askedAt = now, time.Time{}
}

// ask records that a VM was sent something that it must answer.
func (p *peers) ask(vm string, now time.Time) {
	v := p.vms[vm]
	if v == nil {
		return
	}
	if v.askedAt.IsZero() {
		v.askedAt = now
	}
	v.sentAt = now
}

// isLate returns whether a VM should have answered by now.
func (p *peers) isLate(vm string, after time.Duration, now time.Time) bool {
	v := p.vms[vm]
	return v != nil && !v.askedAt.IsZero() && now.Sub(v.askedAt) >= after
}

// update marks a VM that has not answered in time as silent.
func (p *peers) update(vm string, now time.Time) {
	if p.isLate(vm, answerTime, now) && !p.vms[vm].silent {
		p.vms[vm].silent = true
		p.epoch++
	}
}

// updateDomains marks the domains in which no VM has answered in time as cut off.
func (p *peers) updateDomains(now time.Time) {
	for _, d := range p.domains {
		if !d.cutOff && !d.askedAt.IsZero() && now.Sub(d.askedAt) >= domainAnswerTime {
			d.cutOff = true
			p.epoch++
		}
	}
}

// extendAnswerTimes gives all VMs more time to answer, as this VM stood still so long. The rest of the time counts: a VM
// that often stands still for a moment is to notice lost ones too.
func (p *peers) extendAnswerTimes(pause time.Duration, now time.Time) {
	for _, v := range p.vms {
		v.askedAt = postponed(v.askedAt, pause, now)
	}
	for _, d := range p.domains {
		d.askedAt = postponed(d.askedAt, pause, now)
	}
}

// postponed returns a later time, up to now; zero stays.
func postponed(at time.Time, by time.Duration, now time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	if later := at.Add(by); later.Before(now) {
		return later
	}
	return now
}

// answers returns whether a VM answers, as far as is known. This VM does.
func (p *peers) answers(vm string) bool {
	v := p.vms[vm]
	return v == nil || (!v.silent && !p.domains[v.domain].cutOff)
}

// keeperOf returns the keeper of a team: the first VM by rendezvous hashing of those that answer. It also
// returns the silent VMs before it. The keeper is "" while the list of VMs isn't known.
func (p *peers) keeperOf(team string) (keeper string, silent []string) {
	if !p.known {
		return "", nil
	}
	var best uint64
	for _, name := range p.names {
		if !p.answers(name) {
			continue
		}
		if weight := weigher.Weight(team, name); keeper == "" || weight < best {
			keeper, best = name, weight
		}
	}
	for name := range p.vms {
		if !p.answers(name) && weigher.Weight(team, name) < best {
			silent = append(silent, name)
		}
	}
	return keeper, silent
}

// othersOf returns the VMs that would be the keeper of a team without this one, first the first one.
func (p *peers) othersOf(team string, n int) []string {
	var others []string
	for _, name := range weigher.Order(team, p.names) {
		if name != p.self.VM && p.answers(name) && len(others) < n {
			others = append(others, name)
		}
	}
	return others
}

// backupsOf returns the first VMs of some other domains than the keeper's, as far as they answer.
func (p *peers) backupsOf(team, keeper string) []string {
	avoided := map[string]bool{p.self.Domain: true}
	if v := p.vms[keeper]; v != nil {
		avoided = map[string]bool{v.domain: true}
	}
	var backups []string
	for len(backups) < maxBackups {
		backup := p.firstOutside(team, avoided)
		if backup == "" {
			break
		}
		backups = append(backups, backup)
		avoided[p.vms[backup].domain] = true
	}
	return backups
}

// firstOutside returns the first VM by rendezvous hashing that answers and is in none of some domains,
// or "".
func (p *peers) firstOutside(team string, domains map[string]bool) string {
	first := ""
	var best uint64
	for name, v := range p.vms {
		if domains[v.domain] || !p.answers(name) {
			continue
		}
		if weight := weigher.Weight(team, name); first == "" || weight < best {
			first, best = name, weight
		}
	}
	return first
}

// relayOf returns the VM of a domain that tells the others there of a team, or "".
func (p *peers) relayOf(team string, d *domain) string {
	relay := ""
	var best uint64
	for _, name := range d.vms {
		if !p.answers(name) {
			continue
		}
		if weight := weigher.Weight(team, name); relay == "" || weight < best {
			relay, best = name, weight
		}
	}
	return relay
}

// share returns the part of a quota that the VMs in touch with this one may use: that of the domains
// from which it hears. A VM that hears nothing in its own domain has only its own part.
func (p *peers) share() float64 {
	reached := 0
	for name, d := range p.domains {
		switch {
		case !d.cutOff:
			reached += d.size
		case name == p.self.Domain:
			reached++
		}
	}
	return float64(reached) / float64(max(len(p.names), 1))
}

// askDomains returns VMs of the domains that have not been heard from for a time, to be asked.
func (p *peers) askDomains(fresh time.Duration, now time.Time) []string {
	var asked []string
	for _, d := range p.domains {
		interval := domainAskInterval
		if d.cutOff {
			interval = silentAskInterval
		}
		if len(d.vms) == 0 || now.Sub(d.heardAt) < fresh || now.Sub(d.sentAt) < interval {
			continue
		}
		asked = append(asked, p.nextOf(d))
		d.sentAt = now
		if d.askedAt.IsZero() {
			d.askedAt = now
		}
	}
	return asked
}

// nextOf returns the next VM of a domain to ask; silent ones only if there is no other.
func (p *peers) nextOf(d *domain) string {
	for range d.vms {
		d.next++
		if vm := d.vms[d.next%len(d.vms)]; !p.vms[vm].silent {
			return vm
		}
	}
	d.next++
	return d.vms[d.next%len(d.vms)]
}
