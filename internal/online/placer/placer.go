// Package placer decides which upstream runs which work, and when batch work
// gives way to online work. It has no network and no clock of its own.
//
// Upstreams admit requests in the order in which they come and know no
// priorities, so a place must be free, or made free, before a request arrives.
// Each VM counts its own work on each upstream and tells all others of every
// change; the sums of these counts are what the decisions go by.
package placer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/healthtracker"
)

// Tier tells how far an upstream is from this VM.
type Tier uint8

// The tiers, nearest first.
const (
	TierDomain Tier = iota
	// TierOutside upstreams are in the VM's domain, but not in its subset.
	TierOutside
	TierRegion
	TierRemote
	tiers
)

// Upstream is one upstream as the platform lists it.
type Upstream struct {
	ID        string
	Service   string
	Address   string
	Domain    string
	Sequences int // requests that it runs at a time
	// Draining upstreams take no new work.
	Draining bool
	// ProcessStart is the start of its process; another one knows nothing of before.
	ProcessStart int64
}

// Load is what an upstream says of itself in an answer.
type Load struct {
	Running   int
	Waiting   int
	Sequences int
	// Slowness is the factor by which work takes longer than usual; 0 if unknown.
	Slowness float64
}

const (
	// peerTimeout is the age at which the word of another VM counts no more, and
	// largePeerTimeout the same in a large fleet, where VMs tell less often.
	peerTimeout      = 1500 * time.Millisecond
	largePeerTimeout = 3 * time.Second
	// slowSpell is how long an upstream that was slow is taken to stay so.
	slowSpell = 500 * time.Millisecond
	// unseenMemory is how long work that no VM tells of is taken to last.
	unseenMemory = 300 * time.Millisecond
	// defaultSequences is taken for an upstream that doesn't tell.
	defaultSequences = 4
)

// upstream is the state of one upstream.
type upstream struct {
	Upstream
	tier   Tier
	own    Count
	others Count

	summary summary

	unseen   int // work that no VM tells of, as of unseenAt
	unseenAt time.Time
	slowness float64
	slowAt   time.Time
	failing  healthtracker.FailureTracker
	left     bool // it has said that it leaves, which the list may not say yet

	fullAt    time.Time     // when there was last seen to be no room for batch work
	batchWait time.Duration // how long after that this VM's may come
	batch     []*Slot       // this VM's, oldest first
}

// load returns all requests that are known to be on the upstream.
func (u *upstream) load(now time.Time) int {
	load := u.own.Total() + u.others.Total()
	if now.Sub(u.unseenAt) < unseenMemory {
		load += u.unseen
	}
	return max(load, u.summed(now).Total())
}

// batchLoad returns all batch work that is known to be on the upstream.
func (u *upstream) batchLoad(now time.Time) int {
	return max(u.own.Batch+u.others.Batch, u.summed(now).Batch)
}

// slow returns the factor by which the upstream is slower than usual.
func (u *upstream) slow(now time.Time) float64 {
	if u.slowness <= 1 || now.Sub(u.slowAt) >= slowSpell {
		return 1
	}
	return u.slowness
}

// Count is the work of one VM on one upstream.
type Count struct {
	_      struct{} `cbor:",toarray"` // names would be most of a message
	Online int
	Batch  int
}

// Total returns all work.
func (c Count) Total() int { return c.Online + c.Batch }

func (c Count) plus(other Count) Count {
	return Count{Online: c.Online + other.Online, Batch: c.Batch + other.Batch}
}

func (c Count) minus(other Count) Count {
	return Count{Online: c.Online - other.Online, Batch: c.Batch - other.Batch}
}

// Report is what a VM tells of its work: a count for each upstream with any.
type Report map[string]Count

// peer is what another VM has told.
type peer struct {
	counts Report
	heard  time.Time
}

// Slot is the right to run one request on an upstream.
type Slot struct {
	upstream *upstream
	listed   Upstream // as it was when the place was taken
	taken    time.Time
	isBatch  bool
	waits    bool // all places were taken by online work
	answered bool
	urgency  urgency // of batch work
	ended    bool
	stopping bool
}

// Upstream returns where the request runs, as it was when the place was taken.
func (p *Slot) Upstream() Upstream { return p.listed }

// Placer is the decisions of one VM.
type Placer struct {
	self    string
	domain  string
	regions map[string]string // region by domain
	changed func(Change)

	mu        sync.Mutex
	random    *rand.Rand
	upstreams map[string]*upstream
	services  map[string][]*upstream
	peers     map[string]peer
	vms       map[string][]string // by failure domain
	large     bool                // there are too many VMs for each to tell all others
	audiences map[string][]string // by upstream, as far as they were asked for
	left      *healthtracker.DrainingSet
	runs      map[string]time.Duration // how long online requests have a place, by service
	ages      [tiers]time.Duration     // the mean age of what VMs of a tier have told
	history   map[string]*history      // the online load of this domain, by service
	sampled   time.Time                // when that was last added to
	domains   map[string]string        // of other VMs
	turn      int
}

// Option sets one property of a Placer.
type Option func(*Placer)

// Change is a change of the VM's own work on an upstream.
type Change struct {
	Upstream string
	// Domain is the upstream's failure domain.
	Domain string
	// Yielding are the VMs whose batch work there has to give way now.
	Yielding []string
	// Failing is the upstream that has just failed, if one has, which all VMs
	// should know.
	Failing map[string]healthtracker.Failure
}

// WithOnChange sets a function that is called whenever the VM's own work on an
// upstream has changed. It must not block or call the placer.
func WithOnChange(changed func(Change)) Option {
	return func(p *Placer) { p.changed = changed }
}

// WithSeed makes all that is drawn follow from a seed.
func WithSeed(seed uint64) Option {
	return func(p *Placer) { p.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns the placer of a VM in a failure domain.
func New(self, domain string, regions map[string]string, options ...Option) *Placer {
	p := &Placer{
		self: self, domain: domain, regions: regions, changed: func(Change) {},
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		upstreams: map[string]*upstream{}, services: map[string][]*upstream{}, peers: map[string]peer{},
		left: healthtracker.NewDrainingSet(), audiences: map[string][]string{}, runs: map[string]time.Duration{},
		history: map[string]*history{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SetUpstreams replaces the list of upstreams. What is known of those that stay
// is kept, unless they have started anew.
func (p *Placer) SetUpstreams(list []Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.upstreams
	p.upstreams = make(map[string]*upstream, len(list))
	p.services = map[string][]*upstream{}
	for _, listed := range list {
		u := p.keep(old[listed.ID], listed)
		u.left = p.left.Has(listed.ID, listed.ProcessStart)
		p.upstreams[listed.ID] = u
		p.services[listed.Service] = append(p.services[listed.Service], u)
	}
	for _, members := range p.services {
		slices.SortFunc(members, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	p.deal()
}

func (p *Placer) keep(known *upstream, listed Upstream) *upstream {
	if listed.Sequences <= 0 {
		listed.Sequences = defaultSequences
	}
	if known == nil || known.ProcessStart != listed.ProcessStart || known.Address != listed.Address {
		u := &upstream{Upstream: listed, batchWait: batchWait(p.self, listed.ID)}
		for _, peer := range p.peers {
			u.others = u.others.plus(peer.counts[listed.ID])
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

// ReceiveReport replaces what another VM has told of its work.
func (p *Placer) ReceiveReport(vm string, report Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteAge(vm, now)
	p.forget(vm)
	p.peers[vm] = peer{counts: report, heard: now}
	for id, count := range report {
		if u, found := p.upstreams[id]; found {
			u.others = u.others.plus(count)
			u.noteFull(now)
		}
	}
	p.noteHistory(now)
}

// Expire forgets the word of VMs that have been silent for too long.
func (p *Placer) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := peerTimeout
	if p.large {
		timeout = largePeerTimeout
	}
	for vm, told := range p.peers {
		if now.Sub(told.heard) > timeout {
			p.forget(vm)
		}
	}
}

func (p *Placer) forget(vm string) {
	for id, count := range p.peers[vm].counts {
		if u, found := p.upstreams[id]; found {
			u.others = u.others.minus(count)
		}
	}
	delete(p.peers, vm)
}

// Report returns this VM's own work.
func (p *Placer) Report() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := Report{}
	for id, u := range p.upstreams {
		if u.own.Total() > 0 {
			report[id] = u.own
		}
	}
	return report
}

// RecordLoad takes in what an upstream says of its load in an answer.
func (p *Placer) RecordLoad(place *Slot, load Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := place.upstream
	if load.Sequences > 0 {
		u.Sequences = load.Sequences
	}
	if load.Slowness > 0 {
		u.slowness, u.slowAt = load.Slowness, now
	}
	known := u.own.Total() + u.others.Total()
	u.unseen, u.unseenAt = max(0, load.Running+load.Waiting-known), now
}

// Release gives a place back.
func (p *Placer) Release(place *Slot, now time.Time) {
	p.mu.Lock()
	if place.ended {
		p.mu.Unlock()
		return
	}
	place.ended = true
	p.noteRun(place, now)
	u := place.upstream
	if place.isBatch {
		u.own.Batch--
		u.batch = slices.DeleteFunc(u.batch, func(other *Slot) bool { return other == place })
	} else {
		u.own.Online--
	}
	p.mu.Unlock()
	p.changed(Change{Upstream: place.listed.ID, Domain: place.listed.Domain})
}
