package daysimulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Result holds the counts and latencies of one simulated day.
type Result struct {
	Streams       int
	OnTimeStreams int // streams whose first event met the latency target
	Rejected      int // streams that no engine accepted
	GaveUp        int // streams whose callers left before the first event
	Failed        int // streams that an engine failed; they are not sent again
	Items         int
	OnTimeItems   int           // items that completed before their job's deadline
	Yields        int           // runs of items that were stopped for online requests or a lost VM
	Messages      int           // reports between VMs
	LimitExcess   int           // requests by which an engine's rate limit was exceeded, at most
	LimitUsed     float64       // mean share of their rate limits that engines were sent
	RejectedAfter time.Duration // longest time from a stream's arrival to its rejection
	FirstP50      time.Duration // time to the first event
	FirstP99      time.Duration
	Utilization   float64 // share of the engines' slots in use, averaged over time
	Hot           Share   // streams of the hot team
	Others        Share   // streams of the other teams
	Urgent        Share   // the more urgent half of the streams
	LessUrgent    Share   // the others
}

// StreamShare returns the share of the streams that met the latency target.
func (r Result) StreamShare() float64 { return share(r.OnTimeStreams, r.Streams) }

// ItemShare returns the share of the items that met their deadline.
func (r Result) ItemShare() float64 { return share(r.OnTimeItems, r.Items) }

// YieldsPerItem returns how often an item was stopped on average.
func (r Result) YieldsPerItem() float64 { return share(r.Yields, r.Items) }

func share(n, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(n) / float64(of)
}

// String formats the result on one line.
func (r Result) String() string {
	return fmt.Sprintf("streams in aim %.3f, items in time %.3f, first p50 %v p99 %v, refused %d, failed %d, yields %d (%.2f an item), used %.2f",
		r.StreamShare(), r.ItemShare(), r.FirstP50.Round(time.Millisecond), r.FirstP99.Round(time.Millisecond), r.Rejected,
		r.Failed, r.Yields, r.YieldsPerItem(), r.Utilization)
}

// simulator holds the state of one simulation.
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

// vm is one VM and the items that it owns.
type vm struct {
	number int
	domain Domain
	items  []*item // waiting and running
	lost   bool
}

// item is one batch item.
type item struct {
	job        string
	index      int
	due        time.Duration
	totalSteps float64
	steps      float64  // left
	work       *request // nil unless it runs
	engine     *engine
}

// Simulate simulates a day under a policy.
func Simulate(day Day, p Policy) Result {
	s := &simulator{day: day, random: rand.New(rand.NewPCG(day.Seed, day.Seed))}
	for _, d := range day.Domains {
		for n := range d.Engines {
			s.engines = append(s.engines, &engine{
				id: fmt.Sprintf("%s-%02d", d.Name, n), number: len(s.engines), domain: d, spec: day.Engine, pace: day.Engine.pace(n),
			})
		}
		for range d.VMs {
			s.vms = append(s.vms, vm{number: len(s.vms), domain: d})
		}
	}
	s.assignRateLimits()
	s.policy = newPolicy(p, s)
	s.generateArrivals(day.Streams, s.arriveStream)
	s.generateArrivals(day.Jobs, s.arriveJob)
	for _, e := range s.engines {
		s.schedule(time.Duration(s.random.Int64N(int64(day.Engine.SlowPeriod))), func() { s.drawSlow(e) })
	}
	if day.LostVM != noVM {
		s.schedule(day.LostAt, func() { s.loseVM(day.LostVM) })
	}
	s.run(day.Length + day.JobTimeout)
	return s.finish()
}

func (s *simulator) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next, _ := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// schedule schedules an event. Events at the same time run in the order in which they
// were scheduled.
func (s *simulator) schedule(when time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: max(when, s.now), order: s.order, run: run})
}

// generateArrivals runs a function at Poisson arrivals until the end of the day.
func (s *simulator) generateArrivals(rate Rate, what func()) {
	const maxGap = 0.05 // seconds after which a changed rate is read at the latest
	gap := min(s.random.ExpFloat64()/max(rate(s.now), 1e-9), maxGap)
	s.schedule(s.now+time.Duration(gap*float64(time.Second)), func() {
		if s.now >= s.day.Length {
			return
		}
		if gap < maxGap {
			what()
		}
		s.generateArrivals(rate, what)
	})
}

// randomLiveVM returns a random VM that is not lost.
func (s *simulator) randomLiveVM() *vm {
	for {
		v := &s.vms[s.random.IntN(len(s.vms))]
		if !v.lost {
			return v
		}
	}
}

// arriveStream generates an online request at a random VM.
func (s *simulator) arriveStream() {
	st := &stream{vm: s.randomLiveVM(), arrivedAt: s.now}
	st.work = &request{steps: drawSteps(s.day.StreamSteps, s.random.Float64())}
	s.drawTeam(st)
	s.result.Streams++
	s.countStream(st)
	if s.day.Timeout > 0 {
		s.schedule(s.now+s.day.Timeout, func() { s.giveUp(st) })
	}
	s.send(st)
}

// maxSends bounds the engines that a stream is sent to.
const maxSends = 6

// send sends a stream to an engine, and to another one if that rejects it.
func (s *simulator) send(st *stream) {
	s.policy.acquireOnline(st, func(e *engine) {
		if e == nil || len(st.avoid) >= maxSends {
			s.result.Rejected++
			s.result.RejectedAfter = max(s.result.RejectedAfter, s.now-st.arrivedAt)
			return
		}
		s.sendTo(e, st)
	})
}

func (s *simulator) sendTo(e *engine, st *stream) {
	v, w := st.vm, st.work
	st.engine = e
	latency := networkDelay(v.domain, e.domain)
	w.onFirst = func(at time.Duration) {
		first := at + latency - st.arrivedAt
		s.firsts = append(s.firsts, first)
		if first <= s.day.LatencyTarget {
			s.result.OnTimeStreams++
			s.countOnTime(st)
		}
		told := e.tell(at)
		s.schedule(at+latency, func() { s.policy.recordAnswer(v, e, told) })
	}
	w.onEnd = func(at time.Duration) { s.schedule(at+latency, func() { s.policy.onlineEnded(v, e) }) }
	s.schedule(s.now+latency, func() {
		if s.fails(e) {
			s.result.Failed++
			s.schedule(s.now+latency, func() { s.policy.onlineFailed(v, e) })
			return
		}
		if s.add(e, w) {
			return
		}
		s.schedule(s.now+latency, func() {
			s.policy.onlineEnded(v, e)
			if st.avoid == nil {
				st.avoid = map[string]bool{}
			}
			st.avoid[e.id] = true
			s.send(st)
		})
	})
}

// giveUp ends a stream whose caller leaves, unless its first event was sent.
func (s *simulator) giveUp(st *stream) {
	if st.engine == nil || st.work.firstSent {
		return
	}
	s.result.GaveUp++
	v, e := st.vm, st.engine
	latency := networkDelay(v.domain, e.domain)
	s.schedule(s.now+latency, func() {
		e.remove(st.work, s.now)
		s.scheduleEngine(e)
		s.policy.onlineEnded(v, e)
	})
}

// arriveJob generates a batch job of JobItems items at a random VM.
func (s *simulator) arriveJob() {
	v := s.randomLiveVM()
	s.jobs++
	job := fmt.Sprintf("job-%05d", s.jobs)
	for index := range JobItems {
		steps := drawSteps(s.day.ItemSteps, s.random.Float64())
		v.items = append(v.items, &item{
			job: job, index: index, due: s.now + s.day.JobTimeout, totalSteps: steps, steps: steps,
		})
		s.result.Items++
	}
	s.policy.itemsAdded(v)
}

// startItem sends an item to an engine.
func (s *simulator) startItem(v *vm, it *item, e *engine) {
	w := &request{steps: it.steps}
	it.work, it.engine = w, e
	latency := networkDelay(v.domain, e.domain)
	w.onFirst = func(at time.Duration) {
		told := e.tell(at)
		s.schedule(at+latency, func() { s.policy.recordAnswer(v, e, told) })
	}
	w.onEnd = func(at time.Duration) {
		if at <= it.due {
			s.result.OnTimeItems++
		}
		v.items = slices.DeleteFunc(v.items, func(other *item) bool { return other == it })
		s.schedule(at+latency, func() { s.policy.itemEnded(v, it, e) })
	}
	s.schedule(s.now+latency, func() {
		if it.work != w {
			return // it was stopped before it reached the engine
		}
		if s.fails(e) {
			it.work, it.engine = nil, nil
			s.schedule(s.now+latency, func() { s.policy.itemFailed(v, it, e) })
			return
		}
		if !s.add(e, w) {
			it.work, it.engine = nil, nil
			s.schedule(s.now+latency, func() { s.policy.itemEnded(v, it, e) })
		}
	})
}

// stopItem stops a running item, which keeps its progress.
func (s *simulator) stopItem(v *vm, it *item) {
	w, e := it.work, it.engine
	it.work, it.engine = nil, nil
	s.result.Yields++
	latency := networkDelay(v.domain, e.domain)
	s.schedule(s.now+latency, func() {
		e.remove(w, s.now)
		if w.running {
			it.steps = max(min(it.steps, w.steps), 1)
		}
		s.scheduleEngine(e)
	})
	s.schedule(s.now+2*latency, func() { s.policy.itemEnded(v, it, e) })
}

// fails returns whether an engine fails a request that has just arrived.
func (s *simulator) fails(e *engine) bool {
	return s.isFaulty(e) && s.random.Float64() < e.spec.Faulty.Share
}

func (s *simulator) isFaulty(e *engine) bool { return e.spec.Faulty.includes(e.number, s.now) }

func (s *simulator) add(e *engine, w *request) bool {
	e.rateLimit.recordArrival(s.now)
	accepted := e.add(w, s.now)
	s.scheduleEngine(e)
	return accepted
}

// scheduleEngine schedules the engine's next event.
func (s *simulator) scheduleEngine(e *engine) {
	at, found := e.next()
	if !found {
		return
	}
	version := e.version
	s.schedule(at, func() {
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
		s.scheduleEngine(e)
	})
}

func (s *simulator) drawSlow(e *engine) {
	e.advance(s.now)
	e.slow = s.random.Float64() < s.day.Engine.SlowShare
	e.version++
	s.scheduleEngine(e)
	s.schedule(s.now+s.day.Engine.SlowPeriod, func() { s.drawSlow(e) })
}

// takeoverTime is the time from the loss of a VM until another VM owns its items.
const takeoverTime = 4 * time.Second

// loseVM makes a VM fail. Another VM takes over its items. The VM's streams are
// not canceled and still count in the result.
func (s *simulator) loseVM(number int) {
	lost := &s.vms[number]
	lost.lost = true
	for _, it := range lost.items {
		if it.work != nil {
			s.stopItem(lost, it)
		}
	}
	orphaned := lost.items
	lost.items = nil
	s.schedule(s.now+takeoverTime, func() {
		v := s.randomLiveVM()
		v.items = append(v.items, orphaned...)
		s.policy.itemsAdded(v)
	})
}

func (s *simulator) finish() Result {
	s.recordRateLimits()
	slices.Sort(s.firsts)
	if n := len(s.firsts); n > 0 {
		s.result.FirstP50, s.result.FirstP99 = s.firsts[n/2], s.firsts[n*99/100]
	}
	var busy time.Duration
	for _, e := range s.engines {
		busy += e.busy
	}
	available := float64(len(s.engines)*s.day.Engine.Sequences) * float64(s.now)
	s.result.Utilization = float64(busy) / available
	return s.result
}

// event is a function to run at a time of the day.
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
