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

// Queued returns whether no slot was expected to be free on the upstream at the acquisition, so
// that the request waits there.
func (s *Slot) Queued() bool { return s.queued }

// Placer makes the placement decisions of one VM.
type Placer struct {
	self     string
	domain   string
	regions  map[string]string // region by domain
	onChange func(Change)
	isCutOff func(now time.Time) bool

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
	nextLeaveAt       time.Time // when batch work may next acquire a slot outside the subset
	limiter           *ratelimiter.Limiter
	storeOutage       storeOutage
}

// Option sets one property of a Placer.
type Option func(*Placer)

// Change describes a change of this VM's requests on an upstream, or of the upstream's
// state.
type Change struct {
	Upstream string
	// Domain is the upstream's failure domain.
	Domain string
	// Released is the service of the upstream if online work has released a slot there;
	// otherwise empty.
	Released string
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

// WithCutOff sets a function that returns whether this VM itself is likely to be cut off from
// upstreams, so that its failures must not be reported. It must not call the placer.
func WithCutOff(isCutOff func(now time.Time) bool) Option {
	return func(p *Placer) { p.isCutOff = isCutOff }
}

// WithSeed makes all random decisions deterministic.
func WithSeed(seed uint64) Option {
	return func(p *Placer) { p.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns the placer of a VM in a failure domain.
func New(self, domain string, regions map[string]string, options ...Option) *Placer {
	p := &Placer{
		self: self, domain: domain, regions: regions, onChange: func(Change) {},
		isCutOff:  func(time.Time) bool { return false },
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
		u.hasJoined = u.hasJoined || (u != old[listed.ID] && len(old) > 0)
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
	if known.EntryVersion != listed.EntryVersion {
		known.lastBreakAt = time.Time{}
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
	p.onChange(slot.releaseChange())
}

// releaseChange returns the change that the release of the slot makes.
func (s *Slot) releaseChange() Change {
	change := Change{Upstream: s.info.ID, Domain: s.info.Domain}
	if !s.isBatch {
		change.Released = s.info.Service
	}
	return change
}
