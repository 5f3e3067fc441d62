package placer

import "time"

const (
	// peerTimeout is the age at which a peer VM's report expires, and largePeerTimeout
	// the same in a large fleet, where VMs report less often.
	peerTimeout      = 1500 * time.Millisecond
	largePeerTimeout = 3 * time.Second
)

// Count is the number of requests of one VM on one upstream.
type Count struct {
	_      struct{} `cbor:",toarray"` // field names would make up most of a message
	Online int
	Batch  int
}

// Total returns the number of online and batch requests.
func (c Count) Total() int { return c.Online + c.Batch }

func (c Count) plus(other Count) Count {
	return Count{Online: c.Online + other.Online, Batch: c.Batch + other.Batch}
}

func (c Count) minus(other Count) Count {
	return Count{Online: c.Online - other.Online, Batch: c.Batch - other.Batch}
}

// Report is the load of one VM: a count for each upstream on which it has requests.
type Report map[string]Count

// peer is the last report of a peer VM.
type peer struct {
	counts     Report
	receivedAt time.Time
}

// ReceiveReport replaces the last report of a peer VM.
func (p *Placer) ReceiveReport(vm string, report Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordReportAge(vm, now)
	p.forgetPeer(vm)
	p.peers[vm] = peer{counts: report, receivedAt: now}
	for id, count := range report {
		if u, found := p.upstreams[id]; found {
			u.peerCount = u.peerCount.plus(count)
			u.updateLastFull(now)
		}
	}
	p.sampleLoad(now)
}

// Expire discards the reports of VMs that have not reported for too long.
func (p *Placer) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := peerTimeout
	if p.largeFleet {
		timeout = largePeerTimeout
	}
	for vm, last := range p.peers {
		if now.Sub(last.receivedAt) > timeout {
			p.forgetPeer(vm)
		}
	}
	p.limiter.Expire(p.holdsLimit, now)
}

func (p *Placer) forgetPeer(vm string) {
	for id, count := range p.peers[vm].counts {
		if u, found := p.upstreams[id]; found {
			u.peerCount = u.peerCount.minus(count)
		}
	}
	delete(p.peers, vm)
}

// Report returns this VM's own requests on each upstream.
func (p *Placer) Report() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := Report{}
	for id, u := range p.upstreams {
		if u.localCount.Total() > 0 {
			report[id] = u.localCount
		}
	}
	return report
}
