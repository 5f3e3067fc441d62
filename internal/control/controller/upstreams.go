package controller

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/fescuespindle/fescuespindle/internal/batch/yielder"
	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/control/publisher"
	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

const (
	reportPeriod  = 500 * time.Millisecond
	reportTimeout = time.Second
	// flushPeriod is the time between two reports of decreased counts, of slow
	// upstreams, and of counts to owners in other failure domains.
	flushPeriod = 50 * time.Millisecond
	// takeoverDelay is how long a VM that has just become the owner of an upstream
	// waits for the previous owner's batch work to end.
	takeoverDelay = time.Second
	// totalsPerSecond limits the OnlineTotals messages that the VMs of a failure domain
	// push to each other. Each VM has an equal share, but at least
	// minTotalsPerSecond.
	totalsPerSecond    = 1200
	minTotalsPerSecond = 30
	totalsBurst        = 60
	// nearlyFullDivisor defines when a target is nearly full: when at most
	// 1/nearlyFullDivisor of its sequences in this failure domain are free. The owners
	// of its upstreams in other domains are then queried.
	nearlyFullDivisor = 8
	// creditsDivisor limits a VM of another failure domain to 1/creditsDivisor of an
	// upstream's free sequences until it queries the owner again, since other VMs use
	// the upstream too.
	creditsDivisor = 4
	// slowReportThreshold is the slowness, as a factor of a typical upstream, from
	// which a VM reports an upstream to its failure domain.
	slowReportThreshold = 2.5
)

// ownedUpstream is an upstream in the current view that this VM owns.
type ownedUpstream struct {
	target          *publisher.Target
	upstream        *chooser.Upstream
	limiter         *yielder.Limiter
	sent            map[string]peer.UpstreamCount // last totals sent to each VM
	peerPromptBytes map[string]int                // bytes of long prompts, by peer VM
	changed         bool                          // whether some VMs lack the newest totals
	// sentPromptBytes is the bytes of this VM's own long prompts when its totals were
	// last compared.
	sentPromptBytes int
}

// polledUpstream is an upstream that this VM owns and whose load reports it reads,
// whether or not the upstream serves any model yet.
type polledUpstream struct {
	vm            vmlister.VM
	kind          deployer.Kind
	nextReportAt  time.Time
	reportPending bool
}

// upstreams holds the state of all known upstreams, and manages those that rendezvous
// hashing assigns to this VM.
type upstreams struct {
	c             *Controller
	owned         map[string]*ownedUpstream
	polled        map[string]*polledUpstream
	byID          map[string]*chooser.Upstream
	addresses     map[string]string // peer addresses of entry VMs on the VM list
	states        map[string]publisher.UpstreamState
	decreased     map[string]*chooser.Upstream
	targetOf      map[string]*publisher.Target // by upstream ID
	active        map[string]bool              // IDs of upstreams with requests of this VM
	nearlyFull    map[string]bool              // names of targets that are nearly full
	nextFlushAt   time.Time
	nextRecipient int
	syncedMembers map[memberKey]bool
	totalsBudget  *rate.Limiter
}

func newUpstreams(c *Controller) *upstreams {
	return &upstreams{
		c: c, owned: map[string]*ownedUpstream{}, polled: map[string]*polledUpstream{},
		byID: map[string]*chooser.Upstream{}, addresses: map[string]string{},
		states:    map[string]publisher.UpstreamState{},
		decreased: map[string]*chooser.Upstream{}, targetOf: map[string]*publisher.Target{}, active: map[string]bool{},
		nearlyFull:   map[string]bool{},
		totalsBudget: rate.NewLimiter(minTotalsPerSecond, totalsBurst),
	}
}

func (s *upstreams) setList(list []vmlister.VM) {
	listed := map[string]bool{}
	for _, vm := range list {
		listed[vm.ID] = true
		if vm.Kind == vmlister.KindEntry {
			s.addresses[vm.ID] = vm.Peer
		}
	}
	for id := range s.states {
		if !listed[id] {
			delete(s.states, id)
		}
	}
}

// upstream returns an upstream of the current view, or nil.
func (s *upstreams) upstream(id string) *chooser.Upstream { return s.byID[id] }

// applyView replaces the owned upstreams by those that the new view assigns to this
// VM. It reports this VM's online requests to the new owner of each reassigned upstream.
func (s *upstreams) applyView(v *publisher.View, now time.Time) {
	previouslyOwned := s.owned
	s.owned = map[string]*ownedUpstream{}
	reassigned := map[*chooser.Upstream]bool{}
	previousByID := s.byID
	s.byID = map[string]*chooser.Upstream{}
	s.targetOf = map[string]*publisher.Target{}
	for target := range v.Targets {
		for u := range target.Pool().All {
			s.byID[u.ID()] = u
			s.targetOf[u.ID()] = target
			if u.Owner() == s.c.Location.VM {
				s.own(previouslyOwned[u.ID()], target, u, now)
			}
			if previous := previousByID[u.ID()]; u.Gauge().Online() > 0 &&
				(previous == nil || previous.Owner() != u.Owner()) {
				reassigned[u] = true
			}
		}
	}
	if len(reassigned) > 0 {
		s.onlineChanged(reassigned, now)
	}
}

func (s *upstreams) own(o *ownedUpstream, target *publisher.Target, u *chooser.Upstream, now time.Time) {
	d := target.Deployment()
	if o == nil {
		o = &ownedUpstream{sent: map[string]peer.UpstreamCount{}, peerPromptBytes: map[string]int{}, changed: true}
		o.limiter = yielder.New(d.Sequences, d.OnlineReserve, d.BatchPercent, now.Add(takeoverDelay))
	}
	o.target, o.upstream = target, u
	o.limiter.Configure(d.Sequences, d.OnlineReserve, d.BatchPercent)
	s.owned[u.ID()] = o
}

// updateMembers removes the requests of VMs that have left or are leaving from the owned
// upstreams, sends upstream states to new VMs, and adjusts the rate of OnlineTotals messages.
func (s *upstreams) updateMembers(now time.Time) {
	active := s.c.members.activeNames()
	for _, o := range s.owned {
		for _, vm := range o.limiter.VMs() {
			if s.c.members.inDomain(vm) && !slices.Contains(active, vm) {
				o.limiter.RemoveVM(vm, now)
				o.setPeerPromptBytes(vm, 0)
			}
		}
	}
	s.syncNewMembers()
	s.totalsBudget.SetLimit(rate.Limit(max(totalsPerSecond/len(active), minTotalsPerSecond)))
}

// syncNewMembers sends the states of the upstreams that this VM owns to each VM that
// has joined.
func (s *upstreams) syncNewMembers() {
	ids := make([]string, 0, len(s.polled))
	for id := range s.polled {
		ids = append(ids, id)
	}
	message := s.statesOf(ids)
	synced := map[memberKey]bool{}
	for _, m := range s.c.members.live() {
		key := memberKey{vm: m.VM(), incarnation: m.Incarnation()}
		synced[key] = true
		if !s.syncedMembers[key] && len(message.States) > 0 {
			s.c.sender.Send(m.Address(), message)
		}
	}
	s.syncedMembers = synced
}

// memberKey identifies one incarnation of a VM.
type memberKey struct {
	vm          string
	incarnation uint64
}

func (s *upstreams) ownedIDs() []string {
	ids := make([]string, 0, len(s.owned))
	for id := range s.owned {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *upstreams) tick(now time.Time) {
	for _, p := range s.polled {
		s.readReport(p, now)
	}
	if now.Before(s.nextFlushAt) {
		return
	}
	s.nextFlushAt = now.Add(flushPeriod)
	s.queryRemoteOwners(now)
	s.reportSlow(now)
	messages := map[string][]peer.UpstreamCount{}
	for _, u := range s.decreased {
		count := localCount(u)
		messages[u.Owner()] = append(messages[u.Owner()], count)
	}
	clear(s.decreased)
	s.sendCounts(messages)
}

// reportSlow reports to the failure domain the upstreams that are slow for this VM's own
// requests, so that other VMs avoid them before their own requests become slow.
func (s *upstreams) reportSlow(now time.Time) {
	for id := range s.active {
		u, target := s.byID[id], s.targetOf[id]
		if u == nil || u.Gauge().Online() == 0 {
			delete(s.active, id)
			continue
		}
		slowness := target.Pool().Slowness(u, now)
		if slowness >= slowReportThreshold && u.Gauge().MarkSlow(now, slowness) {
			s.c.Counters.Count("slow_marks_total")
			s.c.sendToDomain(peer.SlowSeen{Upstream: id, Percent: int(slowness * percent)})
		}
	}
}

func (s *upstreams) receiveSlow(m peer.SlowSeen, now time.Time) {
	if u := s.byID[m.Upstream]; u != nil {
		u.Gauge().MarkSlow(now, float64(m.Percent)/percent)
	}
}
