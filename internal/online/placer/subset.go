package placer

import (
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/subsetter"
)

const (
	// summaryTTL is how long a received summary of another domain's upstreams is used.
	summaryTTL = 4 * time.Second
	// MaxFullMeshVMs is the number of VMs up to which each reports to all others. In a
	// larger fleet, a VM reports a change to the subscribers of the upstream, and sends
	// summaries to other domains.
	MaxFullMeshVMs = 96
)

// Summary is the load that a VM knows of each upstream of its own domain.
type Summary map[string]Count

// receivedSummary is the last received summary of one upstream of another domain.
type receivedSummary struct {
	total      Count
	localCount int // this VM's requests there at the receipt
	receivedAt time.Time
}

// SetVMs replaces the list of VMs, by failure domain. It includes this VM.
func (p *Placer) SetVMs(vms map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domainVMs, p.vmDomains = vms, map[string]string{}
	count := 0
	for domain, inDomain := range vms {
		count += len(inDomain)
		for _, vm := range inDomain {
			p.vmDomains[vm] = domain
		}
	}
	p.largeFleet = count > MaxFullMeshVMs
	p.assignTiers()
}

// assignTiers sets the tiers of all upstreams. The caller must hold mu.
func (p *Placer) assignTiers() {
	clear(p.subscribers)
	for _, u := range p.upstreams {
		u.limitHolders = nil
		u.tier = p.tierOf(u.Domain)
		if u.tier == TierDomain && !p.isFullMesh(u.Domain) && !slices.Contains(p.subscribersOf(u.Upstream), p.self) {
			u.tier = TierOutsideSubset
		}
	}
}

// isFullMesh reports whether all VMs of a domain subscribe to all of its upstreams.
// The caller must hold mu.
func (p *Placer) isFullMesh(domain string) bool {
	return !p.largeFleet || len(p.domainVMs[domain]) <= subsetter.SubsettingThreshold
}

// Subscribers returns the VMs to which a change on an upstream must be reported at
// once; all is true if these are all VMs of its domain. If a service has so few
// upstreams in a large domain that each has too many subscribers, it returns none:
// they learn of the change with the regular reports.
func (p *Placer) Subscribers(id string) (vms []string, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, found := p.upstreams[id]
	if !found {
		return nil, false
	}
	if p.isFullMesh(u.Domain) {
		return nil, true
	}
	if p.limiter.IsLimited(id) {
		return p.limitHolders(u), false
	}
	if vms = p.subscribersOf(u.Upstream); len(vms) > 2*subsetter.SubsettingThreshold {
		return nil, false
	}
	return vms, false
}

// subscribersOf returns the subscribers of an upstream in a large domain. The caller
// must hold mu.
func (p *Placer) subscribersOf(u Upstream) []string {
	if vms, found := p.subscribers[u.ID]; found {
		return vms
	}
	var upstreams []string
	for _, other := range p.byService[u.Service] {
		if other.Domain == u.Domain {
			upstreams = append(upstreams, other.ID)
		}
	}
	for id, vms := range subsetter.Subscribers(p.domainVMs[u.Domain], upstreams) {
		p.subscribers[id] = vms
	}
	return p.subscribers[u.ID]
}

// Summary returns the load that this VM knows of each upstream of its own domain.
func (p *Placer) Summary() Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := Summary{}
	for id, u := range p.upstreams {
		if u.Domain == p.domain {
			known[id] = u.localCount.plus(u.peerCount)
		}
	}
	return known
}

// ReceiveSummary records the load that a VM of another domain knows of the upstreams
// there.
func (p *Placer) ReceiveSummary(reported Summary, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, total := range reported {
		if u, found := p.upstreams[id]; found && u.Domain != p.domain {
			if !u.receivedSummary.receivedAt.IsZero() {
				p.recordReportGap(u.tier, now.Sub(u.receivedSummary.receivedAt))
			}
			u.receivedSummary = receivedSummary{total: total, localCount: u.localCount.Total(), receivedAt: now}
			u.updateLastFull(now)
		}
	}
}

// summaryCount returns the requests on an upstream of another domain by the last
// summary, adjusted by the change in the number of this VM's own requests there since,
// which counts as online. It returns zero if there is no summary or it has expired.
func (u *upstream) summaryCount(now time.Time) Count {
	if u.receivedSummary.receivedAt.IsZero() || now.Sub(u.receivedSummary.receivedAt) >= summaryTTL {
		return Count{}
	}
	total := u.receivedSummary.total
	total.Online = max(0, total.Online+u.localCount.Total()-u.receivedSummary.localCount)
	return total
}
