package daysimulator

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/peerteller"
	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

const service = "model"

// fleet makes the decisions that the VMs make: each has a placer of its own that
// knows what other VMs have told, by the schedule that decides when they tell.
type fleet struct {
	s        *simulator
	deciders []*decider
}

// decider is the deciding code of one VM.
type decider struct {
	f        *fleet
	vm       *vm
	placer   *placer.Placer
	schedule *peerteller.Schedule
	peers    []peerteller.Peer
	places   map[*engine][]*placer.Slot // online, by engine
	items    map[*placer.Slot]*item
	runs     map[*item]*placer.Slot
	pending  bool // a look for room is planned
	telling  time.Duration
}

func newFleet(s *simulator) *fleet {
	f := &fleet{s: s}
	regions := map[string]string{}
	for _, d := range s.day.Domains {
		regions[d.Name] = d.Region
	}
	var list []placer.Upstream
	for _, e := range s.engines {
		list = append(list, placer.Upstream{
			ID: e.id, Service: service, Address: e.id, Domain: e.domain.Name, Sequences: s.day.Engine.Sequences,
		})
	}
	for i := range s.vms {
		f.deciders = append(f.deciders, f.newDecider(&s.vms[i], list, regions))
	}
	for _, d := range f.deciders {
		f.tick(d)
	}
	return f
}

func vmName(n int) string { return fmt.Sprintf("vm-%03d", n) }

func (f *fleet) newDecider(v *vm, list []placer.Upstream, regions map[string]string) *decider {
	d := &decider{
		f: f, vm: v, places: map[*engine][]*placer.Slot{},
		items: map[*placer.Slot]*item{}, runs: map[*item]*placer.Slot{}, telling: -1,
	}
	d.placer = placer.New(vmName(v.number), v.domain.Name, regions, placer.WithSeed(f.s.day.Seed+uint64(v.number)),
		placer.WithOnChange(func(c placer.Change) {
			d.schedule.Change(c)
			d.planTelling()
			d.wake()
		}))
	d.schedule = peerteller.NewSchedule(vmName(v.number), v.domain.Name, d.placer.Subscribers)
	d.placer.SetUpstreams(list)
	d.placer.SetVMs(f.names())
	for i := range f.s.vms {
		if other := &f.s.vms[i]; other != v {
			d.peers = append(d.peers, peerteller.Peer{
				VM: vmName(other.number), Domain: other.domain.Name, Far: other.domain.Region != v.domain.Region,
			})
		}
	}
	return d
}

// names returns the VMs by failure domain.
func (f *fleet) names() map[string][]string {
	names := map[string][]string{}
	for i := range f.s.vms {
		v := &f.s.vms[i]
		names[v.domain.Name] = append(names[v.domain.Name], vmName(v.number))
	}
	return names
}

// clock turns a moment of the day into a time.
func clock(at time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(at) }

func (f *fleet) now() time.Time { return clock(f.s.now) }

// tickPeriod is the time between two looks at what only time brings about.
const tickPeriod = 100 * time.Millisecond

func (f *fleet) tick(d *decider) {
	d.placer.Expire(f.now())
	d.planTelling()
	d.wake()
	if !d.vm.lost {
		f.s.at(f.s.now+tickPeriod, func() { f.tick(d) })
	}
}

// planTelling plans the next message to other VMs.
func (d *decider) planTelling() {
	next := max(d.schedule.Next().Sub(clock(0)), d.f.s.now)
	if d.vm.lost || (d.telling >= d.f.s.now && d.telling <= next) {
		return
	}
	d.telling = next
	d.f.s.at(next, d.tell)
}

func (d *decider) tell() {
	now := d.f.now()
	told, summarized := d.schedule.TakeDue(d.peers, now), d.schedule.TakeSummaryDue(d.peers, now)
	d.telling = -1
	d.planTelling()
	if d.vm.lost {
		return
	}
	d.send(told, nil)
	if len(summarized) > 0 {
		d.send(summarized, d.placer.Summary())
	}
}

// send sends what the VM tells now to others.
func (d *decider) send(peers []peerteller.Peer, summary placer.Summary) {
	if len(peers) == 0 {
		return
	}
	report, failing := d.placer.Report(), d.placer.Failing(d.f.now())
	for _, peer := range peers {
		var number int
		if _, err := fmt.Sscanf(peer.VM, "vm-%d", &number); err != nil {
			continue
		}
		other := d.f.deciders[number]
		d.f.s.result.Messages++
		d.f.s.at(d.f.s.now+delay(d.vm.domain, other.vm.domain), func() {
			other.placer.ReceiveReport(vmName(d.vm.number), report, d.f.now())
			other.placer.ReceiveSummary(summary, d.f.now())
			other.placer.ReceiveFailures(failing, d.f.now())
			other.wake()
		})
	}
}

func (f *fleet) online(v *vm, arrived time.Duration, avoid map[string]bool) (e *engine, later bool) {
	d := f.deciders[v.number]
	place, err := d.placer.AcquireOnline(placer.OnlineWork{
		Service: service, Avoid: avoid, Target: clock(arrived + f.s.day.Aim), WaitUntil: clock(arrived + gateway.MaxSlotWait),
	}, f.now())
	if err != nil {
		return nil, errors.Is(err, placer.ErrRetryLater)
	}
	e = f.s.engineNamed(place.Upstream().ID)
	d.places[e] = append(d.places[e], place)
	return e, false
}

func (f *fleet) answered(v *vm, e *engine, load int, slowness float64) {
	d := f.deciders[v.number]
	if place := d.anyPlace(e); place != nil {
		d.placer.RecordAnswer(place, f.now())
		running := min(load, e.spec.Sequences)
		d.placer.RecordLoad(place, placer.Load{
			Running: running, Waiting: load - running, Sequences: e.spec.Sequences, Slowness: slowness,
		}, f.now())
	}
}

// anyPlace returns a place that the VM has on an engine.
func (d *decider) anyPlace(e *engine) *placer.Slot {
	if places := d.places[e]; len(places) > 0 {
		return places[0]
	}
	for _, it := range d.vm.items {
		if it.engine == e && d.runs[it] != nil {
			return d.runs[it]
		}
	}
	return nil
}

func (f *fleet) onlineEnded(v *vm, e *engine) {
	d := f.deciders[v.number]
	if places := d.places[e]; len(places) > 0 {
		d.places[e] = places[1:]
		d.placer.Release(places[0], f.now())
	}
}

func (f *fleet) itemEnded(v *vm, it *item, _ *engine) {
	d := f.deciders[v.number]
	if place, found := d.runs[it]; found {
		delete(d.runs, it)
		delete(d.items, place)
		d.placer.Release(place, f.now())
	}
}

func (f *fleet) changed(v *vm) { f.deciders[v.number].wake() }

// wake plans a look for work that must give way and for room.
func (d *decider) wake() {
	if d.pending || d.vm.lost {
		return
	}
	d.pending = true
	d.f.s.at(d.f.s.now, d.look)
}

func (d *decider) look() {
	d.pending = false
	now := d.f.now()
	yielding := d.placer.Yield(now)
	slices.SortStableFunc(yielding, func(a, b *placer.Slot) int { // a day follows from its seed
		return strings.Compare(a.Upstream().ID, b.Upstream().ID)
	})
	for _, place := range yielding {
		if it, found := d.items[place]; found && it.work != nil {
			d.f.s.stopItem(d.vm, it)
		}
	}
	if len(d.vm.items) == len(d.runs) {
		return
	}
	for _, it := range d.f.s.pending(d.vm) {
		if _, stopping := d.runs[it]; stopping {
			continue // its last run has not ended yet
		}
		latest := clock(it.ranked().LatestStart(d.f.s.wholeRun()))
		place, found := d.placer.AcquireBatch(placer.BatchWork{Service: service, LatestStart: latest}, now)
		if !found {
			return
		}
		d.runs[it], d.items[place] = place, it
		d.f.s.startItem(d.vm, it, d.f.s.engineNamed(place.Upstream().ID))
	}
}

func (s *simulator) engineNamed(id string) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}
