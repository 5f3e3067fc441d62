package daysimulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/peerteller"
	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/slotqueuer"
)

const service = "model"

// fleet is the policy of the production code: each VM has its own placer, which
// knows of other VMs only what they have reported, and its own report schedule.
type fleet struct {
	s   *simulator
	vms []*vmPolicy
}

// vmPolicy runs the placement code of one VM.
type vmPolicy struct {
	f           *fleet
	vm          *vm
	placer      *placer.Placer
	schedule    *peerteller.Schedule
	peers       []peerteller.Peer
	onlineSlots map[*engine][]*placer.Slot // of online requests
	itemOf      map[*placer.Slot]*item
	slotOf      map[*item]*placer.Slot
	scheduled   bool // a call of scheduleItems is scheduled
	queue       *slotqueuer.Queuer
	waiting     []*waitingStream
	reportAt    time.Duration // when the next call of sendReports is scheduled, or -1
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
		f.vms = append(f.vms, f.newVMPolicy(&s.vms[i], list, regions))
	}
	for _, d := range f.vms {
		f.tick(d)
	}
	return f
}

func vmName(n int) string { return fmt.Sprintf("vm-%03d", n) }

func (f *fleet) newVMPolicy(v *vm, list []placer.Upstream, regions map[string]string) *vmPolicy {
	d := &vmPolicy{
		f: f, vm: v, onlineSlots: map[*engine][]*placer.Slot{},
		itemOf: map[*placer.Slot]*item{}, slotOf: map[*item]*placer.Slot{}, reportAt: -1,
		queue: slotqueuer.New(),
	}
	d.placer = placer.New(vmName(v.number), v.domain.Name, regions, placer.WithSeed(f.s.day.Seed+uint64(v.number)),
		placer.WithOnChange(func(c placer.Change) {
			d.schedule.Change(c)
			d.scheduleReports()
			d.wake()
		}))
	d.schedule = peerteller.NewSchedule(vmName(v.number), v.domain.Name, d.placer.Subscribers)
	d.placer.SetUpstreams(list)
	d.placer.SetVMs(f.names())
	for i := range f.s.vms {
		if other := &f.s.vms[i]; other != v {
			d.peers = append(d.peers, peerteller.Peer{
				VM: vmName(other.number), Domain: other.domain.Name, Remote: other.domain.Region != v.domain.Region,
			})
		}
	}
	return d
}

// names returns the names of the VMs by failure domain.
func (f *fleet) names() map[string][]string {
	names := map[string][]string{}
	for i := range f.s.vms {
		v := &f.s.vms[i]
		names[v.domain.Name] = append(names[v.domain.Name], vmName(v.number))
	}
	return names
}

// toTime converts a time of the day to the absolute time that the placers expect.
func toTime(at time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(at) }

func (f *fleet) now() time.Time { return toTime(f.s.now) }

// tickPeriod is the time between two expiry checks of a VM.
const tickPeriod = 100 * time.Millisecond

func (f *fleet) tick(d *vmPolicy) {
	d.placer.Expire(f.now())
	d.scheduleReports()
	d.wake()
	if !d.vm.lost {
		f.s.schedule(f.s.now+tickPeriod, func() { f.tick(d) })
	}
}

// scheduleReports schedules the next reports to other VMs, unless earlier ones are
// scheduled already.
func (d *vmPolicy) scheduleReports() {
	next := max(d.schedule.Next().Sub(toTime(0)), d.f.s.now)
	if d.vm.lost || (d.reportAt >= d.f.s.now && d.reportAt <= next) {
		return
	}
	d.reportAt = next
	d.f.s.schedule(next, d.sendReports)
}

func (d *vmPolicy) sendReports() {
	now := d.f.now()
	reportTo, summarizeTo := d.schedule.TakeDue(d.peers, now), d.schedule.TakeSummaryDue(d.peers, now)
	d.reportAt = -1
	d.scheduleReports()
	if d.vm.lost {
		return
	}
	d.send(reportTo, nil)
	if len(summarizeTo) > 0 {
		d.send(summarizeTo, d.placer.Summary())
	}
	d.sendLimits(now)
}

// sendLimits sends the rate limits of upstreams to the VMs that they are due to.
func (d *vmPolicy) sendLimits(now time.Time) {
	news, toReport := d.placer.HasRateLimitNews(now)
	due := d.schedule.TakeLimitsDue(d.peers, news, toReport, now)
	report := d.placer.RateLimitReport(now)
	for _, peer := range due {
		relay := peerteller.RelaysNews(len(d.peers)) && peer.Domain != d.vm.domain.Name
		d.deliver(peer, func(p *placer.Placer) { p.ReceiveRateLimits(report, relay, d.f.now()) })
	}
}

// deliver handles a message at a peer once it has arrived there.
func (d *vmPolicy) deliver(peer peerteller.Peer, handle func(p *placer.Placer)) {
	var number int
	if _, err := fmt.Sscanf(peer.VM, "vm-%d", &number); err != nil {
		return
	}
	other := d.f.vms[number]
	d.f.s.result.Messages++
	d.f.s.schedule(d.f.s.now+networkDelay(d.vm.domain, other.vm.domain), func() {
		handle(other.placer)
		other.wake()
	})
}

// send sends the VM's current load and failures to peers, with a summary if it
// isn't nil.
func (d *vmPolicy) send(peers []peerteller.Peer, summary placer.Summary) {
	if len(peers) == 0 {
		return
	}
	now := d.f.now()
	report, failing, sent := d.placer.Report(), d.placer.Failing(now), d.placer.SentToLimited(now)
	for _, peer := range peers {
		d.deliver(peer, func(p *placer.Placer) {
			p.ReceiveReport(vmName(d.vm.number), report, d.f.now())
			p.ReceiveSentToLimited(vmName(d.vm.number), sent)
			p.ReceiveSummary(summary, d.f.now())
			p.ReceiveFailures(vmName(d.vm.number), failing, d.f.now())
		})
	}
}

func (f *fleet) acquireOnline(st *stream, placed func(e *engine)) {
	d := f.vms[st.vm.number]
	w := &waitingStream{placed: placed}
	w.ticket, w.err = d.queue.Enter(slotqueuer.Request{
		Team: f.s.teamName(st), Urgency: st.urgency, Work: f.onlineWork(st),
		Acquire: func(work placer.OnlineWork, now time.Time) error {
			slot, err := d.placer.AcquireOnline(work, now)
			if err == nil {
				w.engine = d.holdOnline(slot)
			}
			return err //nolint:wrapcheck // compared by the queuer
		},
	}, f.now())
	if w.ticket == nil {
		w.end()
	} else {
		d.waiting = append(d.waiting, w)
		f.poll(d, w)
	}
	d.endWaits()
}

// waitingStream is a stream that waits for a slot, or whose wait has just ended.
type waitingStream struct {
	ticket *slotqueuer.Ticket
	engine *engine
	err    error
	placed func(e *engine)
}

func (w *waitingStream) end() { w.placed(w.engine) }

// hasEnded returns whether the wait has ended.
func (w *waitingStream) hasEnded() bool {
	select {
	case <-w.ticket.Done():
		return true
	default:
		return false
	}
}

// poll asks for slots at random times until the wait of a stream has ended.
func (f *fleet) poll(d *vmPolicy, w *waitingStream) {
	delay := gateway.SlotPollInterval/2 + time.Duration(f.s.random.Int64N(int64(gateway.SlotPollInterval)))
	f.s.schedule(f.s.now+delay, func() {
		if w.hasEnded() {
			return
		}
		d.askForSlots()
		if !w.hasEnded() {
			f.poll(d, w)
		}
	})
}

// askForSlots lets waiting streams acquire slots that have become free.
func (d *vmPolicy) askForSlots() {
	d.queue.Ask(service, d.f.now())
	d.endWaits()
}

// endWaits sends the streams whose waits have ended.
func (d *vmPolicy) endWaits() {
	var ended []*waitingStream
	d.waiting = slices.DeleteFunc(d.waiting, func(w *waitingStream) bool {
		if w.hasEnded() {
			ended = append(ended, w)
			return true
		}
		return false
	})
	for _, w := range ended {
		w.end()
	}
}

func (f *fleet) onlineWork(st *stream) placer.OnlineWork {
	work := placer.OnlineWork{
		Service: service, Avoid: st.avoid, Target: toTime(st.arrivedAt + f.s.day.LatencyTarget),
		WaitUntil: toTime(st.arrivedAt + gateway.MaxSlotWait),
	}
	if timeout := f.s.day.Timeout; timeout > 0 {
		work.Deadline, work.WaitUntil = toTime(st.arrivedAt+timeout), toTime(st.arrivedAt+timeout/gateway.SlotWaitDivisor)
	}
	return work
}

// holdOnline records the slot of a stream and returns its engine.
func (d *vmPolicy) holdOnline(slot *placer.Slot) *engine {
	e := d.f.s.engineNamed(slot.Upstream().ID)
	d.onlineSlots[e] = append(d.onlineSlots[e], slot)
	return e
}

func (f *fleet) recordAnswer(v *vm, e *engine, told answer) {
	d := f.vms[v.number]
	slot := d.anySlot(e)
	if slot == nil {
		return
	}
	d.placer.RecordAnswer(slot, f.now())
	running := min(told.load, e.spec.Sequences)
	d.placer.RecordLoad(slot, placer.Load{
		Running: running, Waiting: told.load - running, Sequences: e.spec.Sequences, Slowness: told.slowness,
	}, f.now())
	d.placer.RecordRateLimit(slot, told.rateLimit, f.now())
}

// anySlot returns a slot that the VM holds on an engine, or nil.
func (d *vmPolicy) anySlot(e *engine) *placer.Slot {
	if slots := d.onlineSlots[e]; len(slots) > 0 {
		return slots[0]
	}
	for _, it := range d.vm.items {
		if it.engine == e && d.slotOf[it] != nil {
			return d.slotOf[it]
		}
	}
	return nil
}

func (f *fleet) onlineEnded(v *vm, e *engine) {
	d := f.vms[v.number]
	if slots := d.onlineSlots[e]; len(slots) > 0 {
		d.onlineSlots[e] = slots[1:]
		d.placer.Release(slots[0], f.now())
		d.askForSlots()
	}
}

func (f *fleet) onlineFailed(v *vm, e *engine) {
	d := f.vms[v.number]
	if slots := d.onlineSlots[e]; len(slots) > 0 {
		slot := slots[len(slots)-1] // the newest, as failures come at once
		d.onlineSlots[e] = slots[:len(slots)-1]
		d.placer.RecordFailure(slot, f.now())
		d.placer.Release(slot, f.now())
	}
}

func (f *fleet) itemFailed(v *vm, it *item, e *engine) {
	if slot, found := f.vms[v.number].slotOf[it]; found {
		f.vms[v.number].placer.RecordFailure(slot, f.now())
	}
	f.itemEnded(v, it, e)
}

func (f *fleet) itemEnded(v *vm, it *item, _ *engine) {
	d := f.vms[v.number]
	if slot, found := d.slotOf[it]; found {
		delete(d.slotOf, it)
		delete(d.itemOf, slot)
		d.placer.Release(slot, f.now())
	}
}

func (f *fleet) itemsAdded(v *vm) { f.vms[v.number].wake() }

// wake schedules a call of scheduleItems at the current time.
func (d *vmPolicy) wake() {
	if d.scheduled || d.vm.lost {
		return
	}
	d.scheduled = true
	d.f.s.schedule(d.f.s.now, d.scheduleItems)
}

// scheduleItems stops the items that must yield and starts waiting ones while
// the placer grants slots.
func (d *vmPolicy) scheduleItems() {
	d.scheduled = false
	now := d.f.now()
	yielding := d.placer.Yield(now)
	slices.SortStableFunc(yielding, func(a, b *placer.Slot) int { // a day must be deterministic
		return strings.Compare(a.Upstream().ID, b.Upstream().ID)
	})
	for _, slot := range yielding {
		if it, found := d.itemOf[slot]; found && it.work != nil {
			d.f.s.stopItem(d.vm, it)
		}
	}
	if len(d.vm.items) == len(d.slotOf) {
		return
	}
	for _, it := range d.f.s.waitingItems(d.vm) {
		if _, stopping := d.slotOf[it]; stopping {
			continue // its previous run has not ended yet
		}
		latest := toTime(it.rankerItem().LatestStart(d.f.s.fullRunTime()))
		slot, found := d.placer.AcquireBatch(placer.BatchWork{Service: service, LatestStart: latest}, now)
		if !found {
			return
		}
		d.slotOf[it], d.itemOf[slot] = slot, it
		d.f.s.startItem(d.vm, it, d.f.s.engineNamed(slot.Upstream().ID))
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
