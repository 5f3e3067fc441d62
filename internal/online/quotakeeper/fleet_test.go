package quotakeeper_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
)

var start = time.Unix(1_700_000_000, 0)

// event is something that happens to a fleet.
type event struct {
	at     time.Duration
	number int // events of the same time happen in order
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].number < e[j].number)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// vm is a VM of a fleet.
type vm struct {
	member    quotakeeper.Member
	region    int
	keeper    *quotakeeper.Keeper
	boots     uint64
	alive     bool
	wakesAt   time.Duration // while frozen
	stepAt    time.Duration // of the next step
	cutOff    bool          // from all other VMs
	delayedBy time.Duration // a slow VM
}

// fleet is a number of VMs in six domains of two regions, with a network between them.
type fleet struct {
	vms      []*vm
	byName   map[string]*vm
	terms    quotakeeper.Terms
	limits   map[string]quotakeeper.Limit
	random   *rand.Rand
	now      time.Duration
	queue    events
	events   int
	lost     float64 // share of the messages
	apart    bool    // the regions don't reach each other
	drop     func(quotakeeper.Message) bool
	messages int

	admitted  map[string][]time.Duration
	decisions map[string][]decision
}

// decision is what became of a request.
type decision struct {
	at       time.Duration
	admitted bool
	outcome  quotakeeper.Outcome
}

const domains = 6

func newFleet(vms int, seed uint64, limits map[string]quotakeeper.Limit) *fleet {
	f := &fleet{
		byName: map[string]*vm{}, limits: limits, random: rand.New(rand.NewPCG(seed, uint64(vms))),
		terms:    quotakeeper.Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		admitted: map[string][]time.Duration{}, decisions: map[string][]decision{},
	}
	for n := range vms {
		domain := n % domains
		v := &vm{
			member: quotakeeper.Member{VM: fmt.Sprint("vm", n), Domain: fmt.Sprint("domain", domain)},
			region: domain % 2, stepAt: time.Hour,
		}
		f.vms = append(f.vms, v)
		f.byName[v.member.VM] = v
	}
	for _, v := range f.vms {
		f.boot(v)
	}
	return f
}

func (f *fleet) at() time.Time { return start.Add(f.now) }

// after schedules something.
func (f *fleet) after(delay time.Duration, do func()) {
	f.events++
	heap.Push(&f.queue, event{at: f.now + delay, number: f.events, do: do})
}

// run runs the fleet until a time.
func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// boot starts a new process of a VM.
func (f *fleet) boot(v *vm) {
	v.boots++
	v.alive = true
	v.keeper = quotakeeper.New(v.member, f.random.Uint64(), f.terms)
	v.keeper.SetLimits(f.limits, f.at())
	v.keeper.SetMembers(f.members())
	v.stepAt = time.Hour
}

func (f *fleet) members() []quotakeeper.Member {
	var all []quotakeeper.Member
	for _, v := range f.vms {
		all = append(all, v.member)
	}
	return all
}

// kill ends the process of a VM for a time. The VM stays in the list of VMs.
func (f *fleet) kill(v *vm, downtime time.Duration) {
	v.alive = false
	f.after(downtime, func() { f.boot(v) })
}

// freeze stops a VM for a time. What arrives meanwhile waits.
func (f *fleet) freeze(v *vm, d time.Duration) {
	v.wakesAt = f.now + d
	f.after(d, func() {
		v.stepAt = f.now
		f.step(v)
	})
}

// reaches returns whether a message from a to b arrives.
func (f *fleet) reaches(a, b *vm) bool {
	return !a.cutOff && !b.cutOff && (!f.apart || a.region == b.region) && f.random.Float64() >= f.lost
}

// step lets a VM send what is due.
func (f *fleet) step(v *vm) {
	if !v.alive || f.now < v.wakesAt || v.stepAt > f.now {
		return
	}
	envelopes, pause := v.keeper.Step(f.at())
	v.stepAt = time.Hour
	f.wake(v, pause)
	slices.SortFunc(envelopes, func(a, b quotakeeper.Envelope) int { return cmp.Compare(a.To, b.To) })
	for _, e := range envelopes {
		f.send(v, e)
	}
}

// wake schedules a step of a VM, unless it is about to take one.
func (f *fleet) wake(v *vm, delay time.Duration) {
	at := max(f.now+delay, v.wakesAt)
	if at >= v.stepAt {
		return
	}
	v.stepAt = at
	f.after(at-f.now, func() {
		if v.stepAt == at {
			f.step(v)
		}
	})
}

func (f *fleet) send(from *vm, e quotakeeper.Envelope) {
	f.messages++
	to := f.byName[e.To]
	if to == nil || !f.reaches(from, to) || (f.drop != nil && f.drop(e.Message)) {
		return
	}
	delay := time.Millisecond + time.Duration(f.random.IntN(3000))*time.Microsecond
	if from.region != to.region {
		delay += 8 * time.Millisecond
	}
	f.after(delay+from.delayedBy+to.delayedBy, func() { f.deliver(from, to, e.Message) })
}

func (f *fleet) deliver(from, to *vm, m quotakeeper.Message) {
	if !to.alive {
		return
	}
	if f.now < to.wakesAt {
		f.after(to.wakesAt-f.now, func() { f.deliver(from, to, m) })
		return
	}
	to.keeper.Receive(from.member.VM, m, f.at())
	f.wake(to, 0)
}

// request sends a request of a team to a VM.
func (f *fleet) request(v *vm, team string) {
	if !v.alive || f.now < v.wakesAt {
		return // the caller asks another VM, or none
	}
	d := v.keeper.Admit(team, f.at())
	f.decisions[team] = append(f.decisions[team], decision{f.now, d.Outcome == quotakeeper.Admitted, d.Outcome})
	if d.Outcome == quotakeeper.Admitted {
		f.admitted[team] = append(f.admitted[team], f.now)
	}
	f.wake(v, time.Millisecond)
}

// load sends requests of a team to some VMs from now on, at a rate that may change with time.
func (f *fleet) load(team string, vms []*vm, until time.Duration, perSecond func(now time.Duration) float64) {
	var next func()
	next = func() {
		rate := perSecond(f.now)
		if f.now >= until {
			return
		}
		if rate > 0 {
			f.request(vms[f.random.IntN(len(vms))], team)
		}
		f.after(time.Duration(f.random.ExpFloat64()*float64(time.Second)/max(rate, 0.01)), next)
	}
	f.after(time.Duration(f.random.ExpFloat64()*float64(time.Second)/max(perSecond(f.now), 0.01)), next)
}

// mostWithin returns the largest number of times within a window.
func mostWithin(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for last, at := range times {
		for times[first] < at-window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// needless returns how many requests were rejected although the team's quota, less what had been
// admitted until then, had a token left.
func needless(decisions []decision, l quotakeeper.Limit) (rejected int) {
	tokens, filledAt := l.Burst, time.Duration(0)
	for _, d := range decisions {
		tokens = min(tokens+l.PerSecond*(d.at-filledAt).Seconds(), max(l.Burst, 1))
		filledAt = d.at
		switch {
		case d.admitted:
			tokens--
		case tokens >= 1:
			rejected++
		}
	}
	return rejected
}

// pick returns some of the VMs, at random.
func (f *fleet) pick(n int) []*vm {
	shuffled := slices.Clone(f.vms)
	f.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(n, len(shuffled))]
}

// keeperOf returns the VM that is the keeper of a team while all VMs answer.
func (f *fleet) keeperOf(team string) *vm {
	names := make([]string, 0, len(f.vms))
	for _, v := range f.vms {
		names = append(names, v.member.VM)
	}
	return f.byName[weigher.Order(team, names)[0]]
}

// anyTeam returns one of the teams, always the same.
func (f *fleet) anyTeam() string { return slices.Min(slices.Collect(maps.Keys(f.limits))) }

// stepNow lets a VM send what is due.
func (v *vm) stepNow(f *fleet) {
	v.stepAt = f.now
	f.step(v)
}

// setLimit changes the limit of a team at all VMs.
func (f *fleet) setLimit(team string, l quotakeeper.Limit) {
	f.limits[team] = l
	for _, v := range f.vms {
		v.keeper.SetLimits(f.limits, f.at())
	}
}
