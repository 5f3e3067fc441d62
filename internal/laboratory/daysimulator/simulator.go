package daysimulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/faces/gateway"
)

// Result is what a day came to.
type Result struct {
	Streams  int
	InAim    int
	Refused  int // streams that no engine took
	Items    int
	InTime   int           // items done before their job was due
	Yields   int           // runs of items that gave way
	Messages int           // that VMs have sent each other
	FirstP50 time.Duration // time to the first event
	FirstP99 time.Duration
	Used     float64 // share of the engines' places, over the day
}

// StreamShare returns the share of the streams that were in time.
func (r Result) StreamShare() float64 { return share(r.InAim, r.Streams) }

// ItemShare returns the share of the items that were in time.
func (r Result) ItemShare() float64 { return share(r.InTime, r.Items) }

func share(n, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(n) / float64(of)
}

// String returns the result as a row of a table.
func (r Result) String() string {
	return fmt.Sprintf("streams in aim %.3f, items in time %.3f, first p50 %v p99 %v, refused %d, yields %d, used %.2f",
		r.StreamShare(), r.ItemShare(), r.FirstP50.Round(time.Millisecond), r.FirstP99.Round(time.Millisecond), r.Refused,
		r.Yields, r.Used)
}

// simulator is a day under way.
type simulator struct {
	day     Day
	policy  policy
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	order   int
	jobs    int
	engines []*engine
	vms     []vm
	result  Result
	firsts  []time.Duration
}

// vm is one VM: where it is, and what it has to do.
type vm struct {
	number int
	domain Domain
	items  []*item // that wait or run
	lost   bool
}

// item is one batch item.
type item struct {
	job    string
	index  int
	due    time.Duration
	whole  float64
	steps  float64 // left
	work   *work   // while it runs
	engine *engine
}

// Play plays a day with a policy and returns what it came to.
func Play(day Day, p Policy) Result {
	s := &simulator{day: day, random: rand.New(rand.NewPCG(day.Seed, day.Seed))}
	for _, d := range day.Domains {
		for n := range d.Engines {
			s.engines = append(s.engines, &engine{id: fmt.Sprintf("%s-%02d", d.Name, n), domain: d, spec: day.Engine})
		}
		for range d.VMs {
			s.vms = append(s.vms, vm{number: len(s.vms), domain: d})
		}
	}
	s.policy = newPolicy(p, s)
	s.arrive(day.Streams, s.stream)
	s.arrive(day.Jobs, s.job)
	for _, e := range s.engines {
		s.at(time.Duration(s.random.Int64N(int64(day.Engine.SlowPeriod))), func() { s.drawSlow(e) })
	}
	if day.Lost != none {
		s.at(day.LostAt, func() { s.lose(day.Lost) })
	}
	s.run(day.Length + day.Due)
	return s.finish()
}

func (s *simulator) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next, _ := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// at plans something. Things planned for the same moment happen in the order in
// which they were planned.
func (s *simulator) at(when time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: max(when, s.now), order: s.order, run: run})
}

// arrive brings things about at a rate until the end of the day.
func (s *simulator) arrive(rate Rate, what func()) {
	const most = 0.05 // a step of the rate is noticed within so many seconds
	gap := min(s.random.ExpFloat64()/max(rate(s.now), 1e-9), most)
	s.at(s.now+time.Duration(gap*float64(time.Second)), func() {
		if s.now >= s.day.Length {
			return
		}
		if gap < most {
			what()
		}
		s.arrive(rate, what)
	})
}

// living returns a random VM.
func (s *simulator) living() *vm {
	for {
		v := &s.vms[s.random.IntN(len(s.vms))]
		if !v.lost {
			return v
		}
	}
}

// stream lets an online request arrive.
func (s *simulator) stream() {
	v := s.living()
	arrived := s.now
	s.result.Streams++
	w := &work{steps: expected(s.day.StreamSteps, s.random.Float64())}
	s.send(v, w, arrived, nil)
}

const maxSends = 6

// send sends a stream to an engine, and to another one if it is refused.
func (s *simulator) send(v *vm, w *work, arrived time.Duration, avoid map[string]bool) {
	e, later := s.policy.online(v, arrived, avoid)
	if later {
		s.at(s.now+gateway.SlotPollInterval/2+time.Duration(s.random.Int64N(int64(gateway.SlotPollInterval))), func() { s.send(v, w, arrived, avoid) })
		return
	}
	if e == nil || len(avoid) >= maxSends {
		s.result.Refused++
		return
	}
	way := delay(v.domain, e.domain)
	w.onFirst = func(at time.Duration) {
		first := at + way - arrived
		s.firsts = append(s.firsts, first)
		if first <= s.day.Aim {
			s.result.InAim++
		}
		load, slowness := e.load(), e.slowness()
		s.at(at+way, func() { s.policy.answered(v, e, load, slowness) })
	}
	w.onEnd = func(at time.Duration) { s.at(at+way, func() { s.policy.onlineEnded(v, e) }) }
	s.at(s.now+way, func() {
		if s.add(e, w) {
			return
		}
		s.at(s.now+way, func() {
			s.policy.onlineEnded(v, e)
			tried := map[string]bool{e.id: true}
			for id := range avoid {
				tried[id] = true
			}
			s.send(v, w, arrived, tried)
		})
	})
}

// job lets a batch job arrive.
func (s *simulator) job() {
	v := s.living()
	s.jobs++
	job := fmt.Sprintf("job-%05d", s.jobs)
	for index := range JobItems {
		steps := expected(s.day.ItemSteps, s.random.Float64())
		v.items = append(v.items, &item{job: job, index: index, due: s.now + s.day.Due, whole: steps, steps: steps})
		s.result.Items++
	}
	s.policy.changed(v)
}

// startItem runs an item on an engine.
func (s *simulator) startItem(v *vm, it *item, e *engine) {
	w := &work{steps: it.steps}
	it.work, it.engine = w, e
	way := delay(v.domain, e.domain)
	w.onFirst = func(at time.Duration) {
		load, slowness := e.load(), e.slowness()
		s.at(at+way, func() { s.policy.answered(v, e, load, slowness) })
	}
	w.onEnd = func(at time.Duration) {
		if at <= it.due {
			s.result.InTime++
		}
		v.items = slices.DeleteFunc(v.items, func(other *item) bool { return other == it })
		s.at(at+way, func() { s.policy.itemEnded(v, it, e) })
	}
	s.at(s.now+way, func() {
		if it.work != w {
			return // it has given way on its way
		}
		if !s.add(e, w) {
			it.work, it.engine = nil, nil
			s.at(s.now+way, func() { s.policy.itemEnded(v, it, e) })
		}
	})
}

// stopItem lets a running item give way; it keeps what it has made.
func (s *simulator) stopItem(v *vm, it *item) {
	w, e := it.work, it.engine
	it.work, it.engine = nil, nil
	s.result.Yields++
	way := delay(v.domain, e.domain)
	s.at(s.now+way, func() {
		e.remove(w, s.now)
		if w.running {
			it.steps = max(min(it.steps, w.steps), 1)
		}
		s.watch(e)
	})
	s.at(s.now+2*way, func() { s.policy.itemEnded(v, it, e) })
}

func (s *simulator) add(e *engine, w *work) bool {
	taken := e.add(w, s.now)
	s.watch(e)
	return taken
}

// watch plans the next thing that happens on an engine.
func (s *simulator) watch(e *engine) {
	at, found := e.next()
	if !found {
		return
	}
	version := e.version
	s.at(at, func() {
		if e.version != version {
			return
		}
		firsts, ends := e.collect(s.now)
		for _, w := range firsts {
			w.onFirst(s.now)
		}
		for _, w := range ends {
			w.onEnd(s.now)
		}
		s.watch(e)
	})
}

func (s *simulator) drawSlow(e *engine) {
	e.advance(s.now)
	e.slow = s.random.Float64() < s.day.Engine.SlowShare
	e.version++
	s.watch(e)
	s.at(s.now+s.day.Engine.SlowPeriod, func() { s.drawSlow(e) })
}

// takeoverTime is how long the items of a VM that is lost wait for another one.
const takeoverTime = 4 * time.Second

// lose ends a VM. Another VM takes its items over; what engines still make for
// its callers isn't looked at.
func (s *simulator) lose(number int) {
	lost := &s.vms[number]
	lost.lost = true
	for _, it := range lost.items {
		if it.work != nil {
			s.stopItem(lost, it)
		}
	}
	left := lost.items
	lost.items = nil
	s.at(s.now+takeoverTime, func() {
		v := s.living()
		v.items = append(v.items, left...)
		s.policy.changed(v)
	})
}

func (s *simulator) finish() Result {
	slices.Sort(s.firsts)
	if n := len(s.firsts); n > 0 {
		s.result.FirstP50, s.result.FirstP99 = s.firsts[n/2], s.firsts[n*99/100]
	}
	var busy time.Duration
	for _, e := range s.engines {
		busy += e.busy
	}
	places := float64(len(s.engines)*s.day.Engine.Sequences) * float64(s.now)
	s.result.Used = float64(busy) / places
	return s.result
}

// event is something that happens at a moment.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) {
	e, _ := x.(event)
	*q = append(*q, e)
}

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
