package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

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
	lazyPeriod = 100 * time.Millisecond
	// takeoverWait is how long a VM that has just become the keeper of an
	// upstream waits for the previous keeper's batch work to end.
	takeoverWait = time.Second
)

// kept is an upstream that this VM looks after.
type kept struct {
	target    *publisher.Target
	upstream  *chooser.Upstream
	room      *yielder.Room
	told      map[string]int // others' totals as last told to each VM
	reportAt  time.Time
	reporting bool
}

// upstreams keeps what this VM knows of upstreams, and looks after those that
// rendezvous hashing gives it.
type upstreams struct {
	c         *Controller
	kept      map[string]*kept
	byID      map[string]*chooser.Upstream
	addresses map[string]string // entry VMs' peer addresses, from the list
	states    map[string]publisher.UpstreamState
	reports   map[string]upstream.LoadReport
	falling   map[string]*chooser.Upstream
	lazyAt    time.Time
}

func newUpstreams(c *Controller) *upstreams {
	return &upstreams{
		c: c, kept: map[string]*kept{}, byID: map[string]*chooser.Upstream{}, addresses: map[string]string{},
		states: map[string]publisher.UpstreamState{}, reports: map[string]upstream.LoadReport{},
		falling: map[string]*chooser.Upstream{},
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
			delete(s.reports, id)
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
	for target := range v.Targets {
		for u := range target.Pool().All {
			s.byID[u.ID()] = u
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
		k = &kept{told: map[string]int{}}
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
			}
		}
	}
	s.broadcastStates(s.keptIDs())
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
// are told to the keeper at once, since batch work must yield to them; falling
// ones can wait.
func (s *upstreams) onlineChanged(changed map[*chooser.Upstream]bool, now time.Time) {
	messages := map[string][]peer.UpstreamCount{}
	for u, rising := range changed {
		online := u.Gauge().Online()
		if k, found := s.kept[u.ID()]; found {
			k.room.SetOnline(s.c.Place.VM, online, now)
			continue
		}
		if !rising {
			s.falling[u.ID()] = u
			continue
		}
		delete(s.falling, u.ID())
		messages[u.Keeper()] = append(messages[u.Keeper()], peer.UpstreamCount{Upstream: u.ID(), Online: online})
	}
	s.sendCounts(messages)
}

func (s *upstreams) sendCounts(messages map[string][]peer.UpstreamCount) {
	for keeper, counts := range messages {
		if address := s.addresses[keeper]; address != "" {
			s.c.sender.Send(address, peer.OnlineCounts{Counts: counts})
		}
	}
}

func (s *upstreams) tick(now time.Time) {
	for _, k := range s.kept {
		s.readReport(k, now)
	}
	if now.Before(s.lazyAt) {
		return
	}
	s.lazyAt = now.Add(lazyPeriod)
	messages := map[string][]peer.UpstreamCount{}
	for id, u := range s.falling {
		count := peer.UpstreamCount{Upstream: id, Online: u.Gauge().Online()}
		messages[u.Keeper()] = append(messages[u.Keeper()], count)
	}
	clear(s.falling)
	s.sendCounts(messages)
	s.tellTotals()
}

// tellTotals tells each VM with requests on a kept upstream how many others
// have, if that has changed.
func (s *upstreams) tellTotals() {
	messages := map[string][]peer.UpstreamCount{}
	for id, k := range s.kept {
		k.upstream.Gauge().SetOthers(k.room.OthersOf(s.c.Place.VM))
		for _, vm := range k.room.VMs() {
			others := k.room.OthersOf(vm)
			if vm != s.c.Place.VM && k.told[vm] != others {
				k.told[vm] = others
				messages[vm] = append(messages[vm], peer.UpstreamCount{Upstream: id, Online: others})
			}
		}
	}
	for vm, others := range messages {
		if address := s.addresses[vm]; address != "" {
			s.c.sender.Send(address, peer.OnlineTotals{Others: others})
		}
	}
}

// countsReceived takes other VMs' counts, and answers with the others' totals.
func (s *upstreams) countsReceived(from peer.Sender, m peer.OnlineCounts, now time.Time) {
	var others []peer.UpstreamCount
	for _, count := range m.Counts {
		k, found := s.kept[count.Upstream]
		if !found {
			continue
		}
		k.room.SetOnline(from.VM, count.Online, now)
		k.upstream.Gauge().SetOthers(k.room.OthersOf(s.c.Place.VM))
		k.told[from.VM] = k.room.OthersOf(from.VM)
		others = append(others, peer.UpstreamCount{Upstream: count.Upstream, Online: k.told[from.VM]})
	}
	if len(others) > 0 {
		s.c.sender.Send(from.Address, peer.OnlineTotals{Others: others})
	}
}

func (s *upstreams) totalsReceived(m peer.OnlineTotals) {
	for _, others := range m.Others {
		if u := s.byID[others.Upstream]; u != nil {
			u.Gauge().SetOthers(others.Online)
		}
	}
}

// readReport asks a kept upstream for its load.
func (s *upstreams) readReport(k *kept, now time.Time) {
	if k.reporting || now.Before(k.reportAt) {
		return
	}
	k.reporting = true
	k.reportAt = now.Add(reportPeriod)
	u := k.upstream
	kind := k.target.Deployment().Kind
	s.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		report, err := s.fetchReport(ctx, u)
		return func(time.Time) {
			k.reporting = false
			if err != nil {
				s.c.Counters.Count("report_failures_total")
				return
			}
			s.reportRead(u, kind, report)
		}
	})
}

func (s *upstreams) fetchReport(ctx context.Context, u *chooser.Upstream) (upstream.LoadReport, error) {
	answer, err := s.c.Relayer.Call(ctx, relayer.Attempt{
		ID: fmt.Sprintf("%s-report", s.c.Place.VM), Address: u.Address(), Method: http.MethodGet, Path: upstream.PathLoad,
	}, true)
	if err != nil {
		return upstream.LoadReport{}, err
	}
	var report upstream.LoadReport
	if err := json.Unmarshal(answer.Body(), &report); err != nil {
		return report, fmt.Errorf("decode load report: %w", err)
	}
	return report, nil
}

func (s *upstreams) reportRead(u *chooser.Upstream, kind deployer.Kind, report upstream.LoadReport) {
	u.Gauge().SetReported(report.Running + report.Waiting)
	s.reports[u.ID()] = report
	var models []string
	if kind == deployer.KindEngine && report.Role == upstream.RoleServing {
		for _, model := range report.Loaded {
			models = append(models, model.Name)
		}
	}
	s.setState(u.ID(), publisher.NewUpstreamState(report.Leaving, models), true)
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
	var message peer.UpstreamStates
	for _, id := range ids {
		state, known := s.states[id]
		if known {
			message.States = append(message.States,
				peer.UpstreamState{Upstream: id, Leaving: state.Leaving(), Models: state.Models()})
		}
	}
	if len(message.States) > 0 {
		s.c.relay(message)
	}
}

func (s *upstreams) statesReceived(m peer.UpstreamStates) {
	for _, state := range m.States {
		if _, own := s.kept[state.Upstream]; !own {
			s.setState(state.Upstream, publisher.NewUpstreamState(state.Leaving, state.Models), false)
		}
	}
}

// leavingSeen takes an upstream's own refusal because it is leaving, which
// comes before any report of it.
func (s *upstreams) leavingSeen(id string) {
	state := s.states[id]
	s.setState(id, publisher.NewUpstreamState(true, state.Models()), true)
}
