// Package placer decides which upstream runs which request, and when batch work yields
// to online work. It performs no I/O and has no clock of its own.
//
// Upstreams admit requests in the order of arrival and know no priorities, so a slot
// must be free, or be freed, before a request arrives. Each VM counts its own requests
// on each upstream and reports every change to its peers; decisions use the sums of
// these counts.
package placer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/healthtracker"
	"github.com/fescuespindle/fescuespindle/internal/online/ratelimiter"
)

// Tier is the distance of an upstream from this VM.
type Tier uint8

// The tiers, nearest first.
const (
	// TierDomain upstreams are in the VM's failure domain, and in its subset if the domain
	// has subsets.
	TierDomain Tier = iota
	// TierOutsideSubset upstreams are in the VM's domain, but not in its subset.
	TierOutsideSubset
	TierRegion // in another domain of the VM's region
	TierRemote // in another region
	tierCount
)

// Upstream is an upstream as listed by the platform.
type Upstream struct {
	ID        string
	Service   string
	Address   string
	Domain    string
	Version   string // of its software
	Sequences int    // maximum number of concurrent requests
	// Draining upstreams accept no new work.
	Draining bool
	// ProcessStart identifies the upstream's process, in Unix milliseconds. A restarted
	// process keeps no state.
	ProcessStart int64
}

// Load is the load that an upstream reports with an answer.
type Load struct {
	Running   int
	Waiting   int
	Sequences int
	// Slowness is the factor by which requests take longer than usual; 0 if unknown.
	Slowness float64
}

const (
	// peerTimeout is the age at which a peer VM's report expires, and largePeerTimeout
	// the same in a large fleet, where VMs report less often.
	peerTimeout      = 1500 * time.Millisecond
	largePeerTimeout = 3 * time.Second
	// slownessTTL is how long a reported slowness is used.
	slownessTTL = 500 * time.Millisecond
	// unreportedTTL is how long requests that no VM has reported are counted.
	unreportedTTL = 300 * time.Millisecond
	// defaultSequences applies to an upstream that is listed without a number of
	// sequences.
	defaultSequences = 4
)

// upstream is the state of one upstream.
type upstream struct {
	Upstream
	tier       Tier
	localCount Count
	peerCount  Count

	receivedSummary receivedSummary

	limitHolders []string // VMs that share its rate limit; nil until computed

	unreported        int // requests that no VM reports, as of unreportedAt
	unreportedAt      time.Time
	slowness          float64
	slownessAt        time.Time
	failures          healthtracker.FailureTracker
	announcedDraining bool // announced by the upstream, maybe before the platform lists it

	lastFullAt time.Time     // when capacity for batch work was last seen to be lacking
	batchDelay time.Duration // time after lastFullAt before this VM's batch work may start
	batchSlots []*Slot       // this VM's, oldest first
}

// load returns the number of requests known to be on the upstream.
func (u *upstream) load(now time.Time) int {
	load := u.localCount.Total() + u.peerCount.Total()
	if now.Sub(u.unreportedAt) < unreportedTTL {
		load += u.unreported
	}
	return max(load, u.summaryCount(now).Total())
}

// batchLoad returns the number of batch requests known to be on the upstream.
func (u *upstream) batchLoad(now time.Time) int {
	return max(u.localCount.Batch+u.peerCount.Batch, u.summaryCount(now).Batch)
}

// currentSlowness returns the factor by which the upstream is slower than usual; 1 if
// unknown.
func (u *upstream) currentSlowness(now time.Time) float64 {
	if u.slowness <= 1 || now.Sub(u.slownessAt) >= slownessTTL {
		return 1
	}
	return u.slowness
}

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

// Slot is the right to run one request on an upstream.
type Slot struct {
	upstream   *upstream
	info       Upstream // as of the acquisition
	acquiredAt time.Time
	isBatch    bool
	queued     bool // no slot was expected to be free at the acquisition
	answered   bool
	urgency    urgency // of batch work
	released   bool
	yielding   bool
}

// Upstream returns the upstream of the slot, as of its acquisition.
func (s *Slot) Upstream() Upstream { return s.info }

// Placer makes the placement decisions of one VM.
type Placer struct {
	self     string
	domain   string
	regions  map[string]string // region by domain
	onChange func(Change)

	mu                sync.Mutex
	random            *rand.Rand
	upstreams         map[string]*upstream
	byService         map[string][]*upstream
	peers             map[string]peer
	domainVMs         map[string][]string // by failure domain
	largeFleet        bool                // too many VMs for each to report to all others
	subscribers       map[string][]string // by upstream, computed on demand
	announcedDraining *healthtracker.DrainingSet
	meanSlotTimes     map[string]time.Duration // how long online requests hold a slot, by service
	meanReportAges    [tierCount]time.Duration // of what VMs of a tier have reported
	loadHistory       map[string]*loadHistory  // online load of the local domain, by service
	lastSampleAt      time.Time                // when loadHistory was last extended
	vmDomains         map[string]string        // failure domain by VM
	rotation          int
	limiter           *ratelimiter.Limiter
}

// Option sets one property of a Placer.
type Option func(*Placer)

// Change describes a change of this VM's requests on an upstream, or of the upstream's
// state.
type Change struct {
	Upstream string
	// Domain is the upstream's failure domain.
	Domain string
	// Yielding lists the VMs whose batch work on the upstream must yield now.
	Yielding []string
	// Failing holds the upstream if it has just failed, so that the failure is reported
	// to all VMs at once.
	Failing map[string]healthtracker.Failure
}

// WithOnChange sets a function that is called whenever this VM's requests on an
// upstream, or the upstream's state, have changed. It must not block or call the
// placer.
func WithOnChange(onChange func(Change)) Option {
	return func(p *Placer) { p.onChange = onChange }
}

// WithSeed makes all random decisions deterministic.
func WithSeed(seed uint64) Option {
	return func(p *Placer) { p.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns the placer of a VM in a failure domain.
func New(self, domain string, regions map[string]string, options ...Option) *Placer {
	p := &Placer{
		self: self, domain: domain, regions: regions, onChange: func(Change) {},
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		upstreams: map[string]*upstream{}, byService: map[string][]*upstream{}, peers: map[string]peer{},
		announcedDraining: healthtracker.NewDrainingSet(), subscribers: map[string][]string{},
		meanSlotTimes: map[string]time.Duration{}, loadHistory: map[string]*loadHistory{}, limiter: ratelimiter.New(),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SetUpstreams replaces the list of upstreams. The state of upstreams that remain is
// kept, unless their process has restarted or their address has changed.
func (p *Placer) SetUpstreams(list []Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.upstreams
	p.upstreams = make(map[string]*upstream, len(list))
	p.byService = map[string][]*upstream{}
	for _, listed := range list {
		u := p.mergeUpstream(old[listed.ID], listed)
		u.announcedDraining = p.announcedDraining.Has(listed.ID, listed.ProcessStart)
		p.upstreams[listed.ID] = u
		p.byService[listed.Service] = append(p.byService[listed.Service], u)
	}
	for _, members := range p.byService {
		slices.SortFunc(members, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	p.assignTiers()
	p.retainLimits()
}

func (p *Placer) mergeUpstream(known *upstream, listed Upstream) *upstream {
	if listed.Sequences <= 0 {
		listed.Sequences = defaultSequences
	}
	if known == nil || known.ProcessStart != listed.ProcessStart || known.Address != listed.Address {
		u := &upstream{Upstream: listed, batchDelay: batchDelay(p.self, listed.ID)}
		for _, peer := range p.peers {
			u.peerCount = u.peerCount.plus(peer.counts[listed.ID])
		}
		return u
	}
	known.Upstream = listed
	return known
}

func (p *Placer) tierOf(domain string) Tier {
	switch {
	case domain == p.domain:
		return TierDomain
	case p.regions[domain] == p.regions[p.domain]:
		return TierRegion
	default:
		return TierRemote
	}
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

// RecordLoad updates an upstream with the load that it has reported in an answer.
func (p *Placer) RecordLoad(slot *Slot, load Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := slot.upstream
	if load.Sequences > 0 {
		u.Sequences = load.Sequences
	}
	if load.Slowness > 0 {
		u.slowness, u.slownessAt = load.Slowness, now
	}
	known := u.localCount.Total() + u.peerCount.Total()
	u.unreported, u.unreportedAt = max(0, load.Running+load.Waiting-known), now
}

// Release releases a slot. Releasing it again has no effect.
func (p *Placer) Release(slot *Slot, now time.Time) {
	p.mu.Lock()
	if slot.released {
		p.mu.Unlock()
		return
	}
	slot.released = true
	p.recordSlotTime(slot, now)
	u := slot.upstream
	if slot.isBatch {
		u.localCount.Batch--
		u.batchSlots = slices.DeleteFunc(u.batchSlots, func(other *Slot) bool { return other == slot })
	} else {
		u.localCount.Online--
	}
	p.mu.Unlock()
	p.onChange(Change{Upstream: slot.info.ID, Domain: slot.info.Domain})
}
