package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/fescuespindle/fescuespindle/internal/chooser"
	"github.com/fescuespindle/fescuespindle/internal/peer"
	"github.com/fescuespindle/fescuespindle/internal/platform"
	"github.com/fescuespindle/fescuespindle/internal/publisher"
	"github.com/fescuespindle/fescuespindle/internal/relayer"
	"github.com/fescuespindle/fescuespindle/internal/stepper"
	"github.com/fescuespindle/fescuespindle/internal/upstream"
	"github.com/fescuespindle/fescuespindle/internal/yielder"
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
	room     *yielder.Room
	told     map[string]peer.UpstreamCount // as last told to each VM
	prompts  map[string]int                // bytes of long prompts of each other VM
	changed  bool                          // since all were told
	// prompting is the bytes of this VM's own long prompts that others were told.
	prompting int
}

// watched is an upstream whose reports this VM reads, whether or not it serves
// anything yet.
type watched struct {
	vm        platform.VM
	kind      deployer.Kind
	reportAt  time.Time
	reporting bool
}

// totals returns what a VM is told of the requests of all others on the upstream.
func (k *kept) totals(id, vm string) peer.UpstreamCount {
	return peer.UpstreamCount{
		Upstream: id, Online: k.room.OthersOf(vm), Batch: k.upstream.Gauge().Batch(), PromptBytes: k.promptsOf(vm),
	}
}

// promptsOf returns the bytes of the prompts of all VMs but one.
func (k *kept) promptsOf(vm string) int {
	bytes := k.upstream.Gauge().Prompts()
	for other, n := range k.prompts {
		if other != vm {
			bytes += n
		}
	}
	return bytes
}

// setPrompts takes the bytes of the long prompts that another VM has there.
func (k *kept) setPrompts(vm string, bytes int) {
	if k.prompts[vm] == bytes {
		return
	}
	k.changed = true
	k.prompts[vm] = bytes
	if bytes == 0 {
		delete(k.prompts, vm)
	}
	others := 0
	for _, n := range k.prompts {
		others += n
	}
	k.upstream.Gauge().SetOthersPrompts(others)
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

func (s *upstreams) listRead(list []platform.VM) {
	listed := map[string]bool{}
	for _, vm := range list {
		listed[vm.ID] = true
		if vm.Kind == platform.VMEntry {
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
			if u.Keeper() == s.c.Place.VM {
				s.keep(before[u.ID()], target, u, now)
			}
			if previous := old[u.ID()]; u.Gauge().Online() > 0 && (previous == nil || previous.Keeper() != u.Keeper()) {
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
				k.room.DropVM(vm, now)
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

// onlineChanged takes changes of this VM's own online requests. Rising counts
// are told to the keeper at once, since batch work must yield to them. Falling
// ones can wait, unless requests of other VMs may be waiting for the place.
func (s *upstreams) onlineChanged(changed map[*chooser.Upstream]bool, now time.Time) {
	messages := map[string][]peer.UpstreamCount{}
	for u, rising := range changed {
		online := u.Gauge().Online()
		s.active[u.ID()] = true
		if k, found := s.kept[u.ID()]; found {
			k.setOnline(s.c.Place.VM, online, now)
			continue
		}
		if !rising && !s.isScarce(u.ID()) {
			s.falling[u.ID()] = u
			continue
		}
		delete(s.falling, u.ID())
		messages[u.Keeper()] = append(messages[u.Keeper()], ownCount(u))
	}
	s.sendCounts(messages)
}

// isScarce tells whether an upstream belongs to a target that is nearly full.
func (s *upstreams) isScarce(id string) bool {
	target := s.targets[id]
	return target != nil && s.scarce[target.Name()]
}

// ownCount returns what the keeper is told of this VM's requests.
func ownCount(u *chooser.Upstream) peer.UpstreamCount {
	return peer.UpstreamCount{Upstream: u.ID(), Online: u.Gauge().Online(), PromptBytes: u.Gauge().Prompts()}
}

func (s *upstreams) sendCounts(messages map[string][]peer.UpstreamCount) {
	for keeper, counts := range messages {
		if address := s.addresses[keeper]; address != "" {
			s.c.sender.Send(address, peer.OnlineCounts{Counts: counts})
		}
	}
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
		messages[u.Keeper()] = append(messages[u.Keeper()], count)
	}
	clear(s.falling)
	s.sendCounts(messages)
}

// pushTotals tells the VMs of the domain, at once, how many online requests
// others have on upstreams whose total has changed. VMs that send to the same
// upstreams need this to leave the last sequences to each other. A budget keeps
// the messages of a VM bounded: beyond it, VMs hear of a change later.
func (s *upstreams) pushTotals(now time.Time) {
	changed := s.changedKept(now)
	if len(changed) == 0 {
		return
	}
	members := s.c.members.live()
	for range members {
		s.nextTold = (s.nextTold + 1) % len(members)
		m := members[s.nextTold]
		message := s.totalsFor(m.VM(), changed)
		if len(message.Others) == 0 {
			continue
		}
		if !s.budget.AllowN(now, 1) {
			return
		}
		for _, others := range message.Others {
			s.kept[others.Upstream].told[m.VM()] = others
		}
		s.c.sender.Send(m.Address(), message)
	}
	for _, id := range changed {
		s.kept[id].changed = false
	}
}

// changedKept returns the kept upstreams whose total has changed since all
// were told.
func (s *upstreams) changedKept(now time.Time) []string {
	var changed []string
	for _, id := range s.keptIDs() {
		k := s.kept[id]
		k.upstream.Gauge().SetOthers(k.room.OthersOf(s.c.Place.VM), now)
		if prompts := k.upstream.Gauge().Prompts(); prompts != k.prompting {
			k.prompting = prompts
			k.changed = true
		}
		if k.changed {
			changed = append(changed, id)
		}
	}
	return changed
}

// totalsFor returns what a VM has not been told yet.
func (s *upstreams) totalsFor(vm string, ids []string) peer.OnlineTotals {
	var message peer.OnlineTotals
	for _, id := range ids {
		k := s.kept[id]
		if totals := k.totals(id, vm); k.told[vm] != totals {
			message.Others = append(message.Others, totals)
		}
	}
	return message
}

// countsReceived takes another VM's counts. A VM of another domain, which isn't
// told of every change, gets the totals in return.
func (s *upstreams) countsReceived(from peer.Sender, m peer.OnlineCounts, now time.Time) {
	var reply peer.OnlineTotals
	for _, count := range m.Counts {
		if k, found := s.kept[count.Upstream]; found {
			k.setOnline(from.VM, count.Online, now)
			k.setPrompts(from.VM, count.PromptBytes)
			reply.Others = append(reply.Others, k.totals(count.Upstream, from.VM))
		}
	}
	if len(reply.Others) > 0 && !s.c.members.isNeighbour(from.VM) {
		s.c.sender.Send(from.Address, reply)
	}
}

// askFar asks the keepers of other domains for their totals while this domain's
// upstreams are nearly full, so that requests can go there if there is room.
func (s *upstreams) askFar(now time.Time) {
	messages := map[string][]peer.UpstreamCount{}
	clear(s.scarce)
	for target := range s.c.Publisher.View().Targets {
		if !nearlyFull(target, now) {
			continue
		}
		s.scarce[target.Name()] = true
		for u := range target.Pool().All {
			if u.Tier() != chooser.TierDomain {
				count := ownCount(u)
				messages[u.Keeper()] = append(messages[u.Keeper()], count)
			}
		}
	}
	s.sendCounts(messages)
}

// nearlyFull tells whether a target's upstreams in this domain have little room
// left, or requests wait for it.
func nearlyFull(target *publisher.Target, now time.Time) bool {
	free, all := 0, 0
	for _, u := range target.Pool().Tier(chooser.TierDomain) {
		free += target.Pool().FreeAt(u, now)
		all += u.Sequences()
	}
	return target.Lane().Queue().Waiting() > 0 || free*nearlyFullShare <= all
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

// setOnline takes the number of online requests that a VM has on the upstream.
func (k *kept) setOnline(vm string, n int, now time.Time) {
	before := k.room.Total()
	k.room.SetOnline(vm, n, now)
	k.changed = k.changed || k.room.Total() != before
}

func (s *upstreams) totalsReceived(m peer.OnlineTotals, now time.Time) {
	for _, others := range m.Others {
		if u := s.byID[others.Upstream]; u != nil {
			u.Gauge().SetOthers(others.Online, now)
			if u.Tier() != chooser.TierDomain {
				u.Gauge().SetCredits((u.Sequences() - u.Gauge().OnlineTotal()) / farShare)
			}
			u.Gauge().SetOthersBatch(others.Batch)
			u.Gauge().SetOthersPrompts(others.PromptBytes)
		}
	}
}

// watch takes over the reports of the listed upstreams that rendezvous hashing
// gives to this VM.
func (s *upstreams) watch(keepers map[string][]string) {
	before := s.watched
	s.watched = map[string]*watched{}
	for _, d := range s.c.config.doc.Deployments {
		for _, vm := range s.c.list {
			mine := vm.Kind == platform.VMUpstream && vm.Pool == d.Pool && d.Serves(vm.Region) &&
				publisher.Keeper(vm.ID, keepers[vm.Domain]) == s.c.Place.VM
			if !mine {
				continue
			}
			w, found := before[vm.ID]
			if !found {
				w = &watched{}
			}
			w.vm, w.kind = vm, d.Kind
			s.watched[vm.ID] = w
		}
	}
}

// keeps tells whether this VM looks after a listed upstream.
func (s *upstreams) keeps(vm platform.VM) bool {
	_, found := s.watched[vm.ID]
	return found
}

// addressOf returns the address of an upstream that this VM looks after.
func (s *upstreams) addressOf(id string) string {
	if w, found := s.watched[id]; found {
		return w.vm.Address
	}
	return ""
}

// readReport asks an upstream for its load and what it has in memory.
func (s *upstreams) readReport(w *watched, now time.Time) {
	if w.reporting || now.Before(w.reportAt) {
		return
	}
	w.reporting = true
	w.reportAt = now.Add(reportPeriod)
	vm, kind := w.vm, w.kind
	s.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		report, err := s.fetchReport(ctx, vm.Address)
		return func(time.Time) {
			w.reporting = false
			if err != nil {
				s.c.Counters.Count("report_failures_total")
				return
			}
			s.reportRead(vm.ID, kind, report)
		}
	})
}

func (s *upstreams) fetchReport(ctx context.Context, address string) (upstream.LoadReport, error) {
	answer, err := s.c.Relayer.Call(ctx, relayer.Attempt{
		ID: s.c.Place.VM + "-report", Address: address, Method: http.MethodGet, Path: upstream.PathLoad,
	}, true)
	if err != nil {
		return upstream.LoadReport{}, fmt.Errorf("read load report: %w", err)
	}
	var report upstream.LoadReport
	if err := json.Unmarshal(answer.Body(), &report); err != nil {
		return report, fmt.Errorf("decode load report: %w", err)
	}
	return report, nil
}

func (s *upstreams) reportRead(id string, kind deployer.Kind, report upstream.LoadReport) {
	if u := s.byID[id]; u != nil {
		u.Gauge().SetReported(report.Running + report.Waiting)
	}
	s.c.orders.core.Reported(id, report)
	var models []string
	if kind == deployer.KindEngine && report.Role == upstream.RoleServing {
		for _, model := range report.Loaded {
			models = append(models, model.Name)
		}
	}
	s.setState(id, publisher.NewUpstreamState(report.Leaving, models), true)
}

// setState keeps a state, and tells the domain if it has changed and this VM
// is the one that looks after the upstream.
func (s *upstreams) setState(id string, state publisher.UpstreamState, tell bool) {
	before, known := s.states[id]
	if known && before.Equal(state) {
		return
	}
	s.states[id] = state
	if u := s.byID[id]; u != nil {
		u.Gauge().SetLeaving(state.Leaving())
	}
	s.c.stale = true
	s.c.Counters.Count("upstream_changes_total")
	if tell {
		s.broadcastStates([]string{id})
	}
}

func (s *upstreams) broadcastStates(ids []string) {
	if message := s.statesOf(ids); len(message.States) > 0 {
		s.c.relay(message)
	}
}

func (s *upstreams) statesOf(ids []string) peer.UpstreamStates {
	var message peer.UpstreamStates
	for _, id := range ids {
		state, known := s.states[id]
		if known {
			message.States = append(message.States,
				peer.UpstreamState{Upstream: id, Leaving: state.Leaving(), Models: state.Models()})
		}
	}
	return message
}

func (s *upstreams) statesReceived(m peer.UpstreamStates) {
	for _, state := range m.States {
		if _, own := s.watched[state.Upstream]; !own {
			s.setState(state.Upstream, publisher.NewUpstreamState(state.Leaving, state.Models), false)
		}
	}
}

func (s *upstreams) slowReceived(m peer.SlowSeen, now time.Time) {
	if u := s.byID[m.Upstream]; u != nil {
		u.Gauge().MarkSlow(now, float64(m.Percent)/percent)
	}
}

// leavingSeen takes an upstream's own refusal because it is leaving, which
// comes before any report of it.
func (s *upstreams) leavingSeen(id string) {
	state := s.states[id]
	s.setState(id, publisher.NewUpstreamState(true, state.Models()), true)
}
