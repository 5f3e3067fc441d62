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
	// lazyPeriod is the time between two messages about falling counts.
	lazyPeriod = 50 * time.Millisecond
	// takeoverWait is how long a VM that has just become the keeper of an
	// upstream waits for the previous keeper's batch work to end.
	takeoverWait = time.Second
	// totalsPerSecond bounds the messages by which the VMs of a domain tell each
	// other of the totals on the upstreams that they look after. Each VM has an
	// equal share, but for a least one.
	totalsPerSecond      = 1200
	leastTotalsPerSecond = 30
	totalsBurst          = 60
	// nearlyFullShare is the share of free sequences, as a divisor, from which
	// other domains are asked for theirs.
	nearlyFullShare = 8
	// farShare is the part, as a divisor, of an upstream's room that a VM of
	// another domain takes before it asks again; others take theirs.
	farShare = 4
	// tellSlowness is the slowness from which a VM tells the others.
	tellSlowness = 2.5
)

// kept is an upstream that this VM looks after.
type kept struct {
	target   *publisher.Target
	upstream *chooser.Upstream
	room     *yielder.Limiter
	told     map[string]peer.UpstreamCount // as last told to each VM
	prompts  map[string]int                // bytes of long prompts of each other VM
	changed  bool                          // since all were told
	// prompting is the bytes of this VM's own long prompts that others were told.
	prompting int
}

// watched is an upstream whose reports this VM reads, whether or not it serves
// anything yet.
type watched struct {
	vm        vmlister.VM
	kind      deployer.Kind
	reportAt  time.Time
	reporting bool
}

// upstreams keeps what this VM knows of upstreams, and looks after those that
// rendezvous hashing gives it.
type upstreams struct {
	c         *Controller
	kept      map[string]*kept
	watched   map[string]*watched
	byID      map[string]*chooser.Upstream
	addresses map[string]string // entry VMs' peer addresses, from the list
	states    map[string]publisher.UpstreamState
	falling   map[string]*chooser.Upstream
	targets   map[string]*publisher.Target // by upstream
	active    map[string]bool              // upstreams with requests of this VM
	scarce    map[string]bool              // targets that are nearly full, by name
	lazyAt    time.Time
	nextTold  int
	greeted   map[memberKey]bool
	budget    *rate.Limiter
}

func newUpstreams(c *Controller) *upstreams {
	return &upstreams{
		c: c, kept: map[string]*kept{}, watched: map[string]*watched{}, byID: map[string]*chooser.Upstream{}, addresses: map[string]string{},
		states:  map[string]publisher.UpstreamState{},
		falling: map[string]*chooser.Upstream{}, targets: map[string]*publisher.Target{}, active: map[string]bool{},
		scarce: map[string]bool{},
		budget: rate.NewLimiter(leastTotalsPerSecond, totalsBurst),
	}
}

func (s *upstreams) listRead(list []vmlister.VM) {
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

// find returns an upstream of the view in force, or nil.
func (s *upstreams) find(id string) *chooser.Upstream { return s.byID[id] }

// viewChanged takes over the upstreams that the new view gives to this VM, and
// lets go of the others.
func (s *upstreams) viewChanged(v *publisher.View, now time.Time) {
	before := s.kept
	s.kept = map[string]*kept{}
	moved := map[*chooser.Upstream]bool{}
	old := s.byID
	s.byID = map[string]*chooser.Upstream{}
	s.targets = map[string]*publisher.Target{}
	for target := range v.Targets {
		for u := range target.Pool().All {
			s.byID[u.ID()] = u
			s.targets[u.ID()] = target
			if u.Owner() == s.c.Location.VM {
				s.keep(before[u.ID()], target, u, now)
			}
			if previous := old[u.ID()]; u.Gauge().Online() > 0 && (previous == nil || previous.Owner() != u.Owner()) {
				moved[u] = true
			}
		}
	}
	if len(moved) > 0 {
		s.onlineChanged(moved, now)
	}
}

func (s *upstreams) keep(k *kept, target *publisher.Target, u *chooser.Upstream, now time.Time) {
	d := target.Deployment()
	if k == nil {
		k = &kept{told: map[string]peer.UpstreamCount{}, prompts: map[string]int{}, changed: true}
		k.room = yielder.New(d.Sequences, d.OnlineReserve, d.BatchPercent, now.Add(takeoverWait))
	}
	k.target, k.upstream = target, u
	k.room.Configure(d.Sequences, d.OnlineReserve, d.BatchPercent)
	s.kept[u.ID()] = k
}

// membersChanged forgets the requests of VMs that are gone, and tells new ones
// what this VM knows.
func (s *upstreams) membersChanged(now time.Time) {
	live := s.c.members.names()
	for _, k := range s.kept {
		for _, vm := range k.room.VMs() {
			if s.c.members.isNeighbour(vm) && !slices.Contains(live, vm) {
				k.room.RemoveVM(vm, now)
				k.setPrompts(vm, 0)
			}
		}
	}
	s.greetNewMembers()
	s.budget.SetLimit(rate.Limit(max(totalsPerSecond/len(live), leastTotalsPerSecond)))
}

// greetNewMembers tells each VM that has joined what this VM knows of the
// upstreams that it looks after.
func (s *upstreams) greetNewMembers() {
	ids := make([]string, 0, len(s.watched))
	for id := range s.watched {
		ids = append(ids, id)
	}
	message := s.statesOf(ids)
	greeted := map[memberKey]bool{}
	for _, m := range s.c.members.live() {
		key := memberKey{vm: m.VM(), incarnation: m.Incarnation()}
		greeted[key] = true
		if !s.greeted[key] && len(message.States) > 0 {
			s.c.sender.Send(m.Address(), message)
		}
	}
	s.greeted = greeted
}

// memberKey is one process of a VM.
type memberKey struct {
	vm          string
	incarnation uint64
}

func (s *upstreams) keptIDs() []string {
	ids := make([]string, 0, len(s.kept))
	for id := range s.kept {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *upstreams) tick(now time.Time) {
	for _, w := range s.watched {
		s.readReport(w, now)
	}
	if now.Before(s.lazyAt) {
		return
	}
	s.lazyAt = now.Add(lazyPeriod)
	s.askFar(now)
	s.tellSlow(now)
	messages := map[string][]peer.UpstreamCount{}
	for _, u := range s.falling {
		count := ownCount(u)
		messages[u.Owner()] = append(messages[u.Owner()], count)
	}
	clear(s.falling)
	s.sendCounts(messages)
}

// tellSlow tells the domain of upstreams that this VM's own requests show to be
// slow, so that others need not find out for themselves.
func (s *upstreams) tellSlow(now time.Time) {
	for id := range s.active {
		u, target := s.byID[id], s.targets[id]
		if u == nil || u.Gauge().Online() == 0 {
			delete(s.active, id)
			continue
		}
		slowness := target.Pool().Slowness(u, now)
		if slowness >= tellSlowness && u.Gauge().MarkSlow(now, slowness) {
			s.c.Counters.Count("slow_marks_total")
			s.c.relay(peer.SlowSeen{Upstream: id, Percent: int(slowness * percent)})
		}
	}
}

func (s *upstreams) slowReceived(m peer.SlowSeen, now time.Time) {
	if u := s.byID[m.Upstream]; u != nil {
		u.Gauge().MarkSlow(now, float64(m.Percent)/percent)
	}
}
