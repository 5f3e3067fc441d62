package placer

import (
	"math"
	"time"
)

// The load that a VM knows of upstreams outside its domain is outdated. This is
// harmless while load is even. When it steps up everywhere, however, the remote slots
// that seem to be free have just been taken by the VMs there, and all VMs here would
// send to the few upstreams that seem to have the most free slots:
//
//	local domain, known now:      7 7 7 7 7 7 of 7 slots taken
//	other domain, as of 300 ms:   4 3 5 4 6 4 of 7 slots taken
//	other domain, now:            7 7 7 7 7 7
//
// The load of such an upstream is therefore estimated from values that change more
// slowly: the reported mean of its domain, plus the change of the local domain's mean
// since that report. The older the report, the less the upstream's deviation from the
// mean of its domain counts.

const (
	// loadTimeConstant is the time constant with which the reported load of a single
	// upstream loses its weight, as a multiple of the mean slot time.
	loadTimeConstant = 0.2
	// reportAgeWeight is the weight of a new interval between two reports in the moving
	// average.
	reportAgeWeight = 0.05
	// sampleInterval is the shortest time between two samples of the local domain's
	// load; the last maxSamples are kept.
	sampleInterval = 25 * time.Millisecond
	maxSamples     = 64
)

// sample is the mean online load of the TierDomain upstreams of a service at one time.
type sample struct {
	at   time.Time
	mean float64
}

// loadHistory holds the samples of one service, oldest first.
type loadHistory struct{ samples []sample }

// changeSince returns the change of the load since a given time.
func (h *loadHistory) changeSince(then time.Time) float64 {
	if h == nil || len(h.samples) == 0 {
		return 0
	}
	old := h.samples[0].mean
	for _, s := range h.samples {
		if s.at.After(then) {
			break
		}
		old = s.mean
	}
	return h.samples[len(h.samples)-1].mean - old
}

// sampleLoad takes a sample of each service if one is due. The caller must hold mu.
func (p *Placer) sampleLoad(now time.Time) {
	if now.Sub(p.lastSampleAt) < sampleInterval {
		return
	}
	p.lastSampleAt = now
	for service, members := range p.byService {
		sum, n := 0, 0
		for _, u := range members {
			if u.tier == TierDomain {
				sum, n = sum+u.onlineCount(now), n+1
			}
		}
		if n == 0 {
			continue
		}
		h, found := p.loadHistory[service]
		if !found {
			h = &loadHistory{}
			p.loadHistory[service] = h
		}
		if len(h.samples) == maxSamples {
			h.samples = append(h.samples[:0], h.samples[1:]...)
		}
		h.samples = append(h.samples, sample{at: now, mean: float64(sum) / float64(n)})
	}
}

// recordReportAge updates the mean report age of a VM's tier when a report of the VM
// arrives. The caller must hold mu.
func (p *Placer) recordReportAge(vm string, now time.Time) {
	if last, found := p.peers[vm]; found {
		p.recordReportGap(p.tierOf(p.vmDomains[vm]), now.Sub(last.receivedAt))
	}
}

// recordReportGap updates the mean report age of a tier with the time between two
// reports from the same source, half of which is their mean age. The caller must hold
// mu.
func (p *Placer) recordReportGap(tier Tier, gap time.Duration) {
	p.meanReportAges[tier] += time.Duration(reportAgeWeight * float64(gap/2-p.meanReportAges[tier]))
}

// onlineCount returns the number of online requests known to be on the upstream.
func (u *upstream) onlineCount(now time.Time) int { return u.load(now) - u.batchLoad(now) }

// loadEstimate is the estimated current load of the upstreams of a service.
type loadEstimate struct {
	domainMeans      map[string]float64 // reported online requests of peer VMs per upstream, by domain
	trends           [tierCount]float64 // change of the local mean since the reports
	deviationWeights [tierCount]float64 // weight of a single upstream's deviation from its domain's mean
}

// loadEstimate returns the load estimate for the upstreams of a service. The caller
// must hold mu.
func (p *Placer) loadEstimate(service string, now time.Time) loadEstimate {
	e := loadEstimate{domainMeans: map[string]float64{}}
	counts := map[string]int{}
	for _, u := range p.byService[service] {
		if u.tier != TierDomain {
			e.domainMeans[u.Domain] += float64(u.onlineCount(now) - u.localCount.Online)
			counts[u.Domain]++
		}
	}
	for domain, n := range counts {
		e.domainMeans[domain] /= float64(n)
	}
	timeConstant := loadTimeConstant * float64(p.meanSlotTime(service))
	for tier := range tierCount {
		age := p.meanReportAges[tier]
		e.trends[tier] = p.loadHistory[service].changeSince(now.Add(-age))
		e.deviationWeights[tier] = math.Exp(-float64(age) / timeConstant)
	}
	return e
}

// freeSlots returns the number of slots on an upstream that are expected to be free if
// all batch work yields; a negative number counts the requests in its queue.
func (e *loadEstimate) freeSlots(u *upstream, now time.Time) float64 {
	online := float64(u.onlineCount(now))
	if u.tier != TierDomain {
		local, mean := float64(u.localCount.Online), e.domainMeans[u.Domain]
		peers := mean + e.trends[u.tier] + e.deviationWeights[u.tier]*(online-local-mean)
		online = local + max(peers, 0)
	}
	return float64(u.Sequences) - online
}
