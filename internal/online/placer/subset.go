package placer

import (
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/subsetter"
)

const (
	// summaryLife is how long what was heard of the upstreams of another domain
	// counts.
	summaryLife = 4 * time.Second
	// MaxFullMeshVMs is the number of VMs up to which each of them tells all others of
	// its work. In a larger fleet a VM tells those that must know of a change, and
	// the other domains by summaries.
	MaxFullMeshVMs = 96
)

// Summary is what a VM knows of all work on the upstreams of its own domain.
type Summary map[string]Count

// summary is what was heard of one upstream of another domain.
type summary struct {
	total Count
	own   int // this VM's work there when it heard
	at    time.Time
}

// SetVMs replaces the list of VMs, this one among them, by failure domain.
func (p *Placer) SetVMs(vms map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms, p.domains = vms, map[string]string{}
	count := 0
	for domain, inDomain := range vms {
		count += len(inDomain)
		for _, vm := range inDomain {
			p.domains[vm] = domain
		}
	}
	p.large = count > MaxFullMeshVMs
	p.deal()
}

// deal finds out which upstreams are in this VM's subset. The caller holds mu.
func (p *Placer) deal() {
	clear(p.audiences)
	for _, u := range p.upstreams {
		u.tier = p.tierOf(u.Domain)
		if u.tier == TierDomain && !p.isWhole(u.Domain) && !slices.Contains(p.audienceOf(u.Upstream), p.self) {
			u.tier = TierOutside
		}
	}
}

// isWhole tells whether all VMs of a domain share the knowledge of all of its
// upstreams. The caller holds mu.
func (p *Placer) isWhole(domain string) bool {
	return !p.large || len(p.vms[domain]) <= subsetter.SubsettingThreshold
}

// Subscribers returns the VMs that must be told at once of a change on an upstream;
// all is true if these are all VMs of its domain. A service with few upstreams has
// all VMs of a large domain in the audience of each; they hear of it in time with
// the rest.
func (p *Placer) Subscribers(id string) (vms []string, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, found := p.upstreams[id]
	if !found {
		return nil, false
	}
	if p.isWhole(u.Domain) {
		return nil, true
	}
	if vms = p.audienceOf(u.Upstream); len(vms) > 2*subsetter.SubsettingThreshold {
		return nil, false
	}
	return vms, false
}

// audienceOf returns the audience of an upstream in a large domain. The caller
// holds mu.
func (p *Placer) audienceOf(u Upstream) []string {
	if vms, found := p.audiences[u.ID]; found {
		return vms
	}
	var upstreams []string
	for _, other := range p.services[u.Service] {
		if other.Domain == u.Domain {
			upstreams = append(upstreams, other.ID)
		}
	}
	for id, vms := range subsetter.Subscribers(p.vms[u.Domain], upstreams) {
		p.audiences[id] = vms
	}
	return p.audiences[u.ID]
}

// Summary returns what this VM knows of the upstreams of its own domain.
func (p *Placer) Summary() Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := Summary{}
	for id, u := range p.upstreams {
		if u.Domain == p.domain {
			known[id] = u.own.plus(u.others)
		}
	}
	return known
}

// ReceiveSummary takes in what a VM of another domain knows of its upstreams.
func (p *Placer) ReceiveSummary(told Summary, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, total := range told {
		if u, found := p.upstreams[id]; found && u.Domain != p.domain {
			if !u.summary.at.IsZero() {
				p.noteGap(u.tier, now.Sub(u.summary.at))
			}
			u.summary = summary{total: total, own: u.own.Total(), at: now}
			u.noteFull(now)
		}
	}
}

// summed returns the work on an upstream of another domain by the last summary,
// with what this VM has begun since.
func (u *upstream) summed(now time.Time) Count {
	if u.summary.at.IsZero() || now.Sub(u.summary.at) >= summaryLife {
		return Count{}
	}
	total := u.summary.total
	total.Online = max(0, total.Online+u.own.Total()-u.summary.own)
	return total
}
