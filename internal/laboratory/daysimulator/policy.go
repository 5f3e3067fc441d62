package daysimulator

import (
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/ranker"
)

// Policy names the algorithm that places requests and items on engines.
type Policy string

// The policies.
const (
	// Fleet runs the production placement code on each VM.
	Fleet Policy = "fleet"
	// Omniscient is one central scheduler with complete and current knowledge.
	Omniscient Policy = "allSeeing"
	// LeastLocal makes each VM choose the engine with the least work of its own.
	LeastLocal Policy = "leastOwn"
	// RoundRobin makes each VM cycle through the engines.
	RoundRobin Policy = "roundRobin"
)

// newPolicy returns the implementation of a policy for a simulation.
func newPolicy(p Policy, s *simulator) policy {
	switch p {
	case Omniscient:
		return newOmniscient(s)
	case LeastLocal:
		return newLeastLocal(s)
	case RoundRobin:
		return newRoundRobin(s)
	case Fleet:
		return newFleet(s)
	default:
		panic(fmt.Sprintf("no policy %q", p))
	}
}

// policy places work for all VMs. Its methods that take an event are called when
// the VM concerned learns of the event, not when it happens on the engine.
type policy interface {
	// acquireOnline acquires a slot for a stream. It calls placed with the engine, maybe
	// later, or with nil if no engine accepts the stream.
	acquireOnline(st *stream, placed func(e *engine))
	// recordAnswer records what an engine tells of itself in an answer.
	recordAnswer(v *vm, e *engine, told answer)
	onlineEnded(v *vm, e *engine)
	itemEnded(v *vm, it *item, e *engine)
	// onlineFailed and itemFailed are called instead if the engine failed the request.
	onlineFailed(v *vm, e *engine)
	itemFailed(v *vm, it *item, e *engine)
	// itemsAdded is called when a VM has new items.
	itemsAdded(v *vm)
}

// waitingItems returns a VM's waiting items in the order in which they are to
// start.
func (s *simulator) waitingItems(v *vm) []*item {
	type key struct {
		job   string
		index int
	}
	var waiting []ranker.Item
	byKey := map[key]*item{}
	for _, it := range v.items {
		if it.work != nil {
			continue
		}
		byKey[key{it.job, it.index}] = it
		waiting = append(waiting, it.rankerItem())
	}
	ranker.Sort(waiting, s.now, s.fullRunTime())
	items := make([]*item, 0, len(waiting))
	for _, w := range waiting {
		items = append(items, byKey[key{w.Job, w.Index}])
	}
	return items
}

// fullRunTime returns how long an item of mean length takes on an empty engine.
func (s *simulator) fullRunTime() time.Duration {
	return time.Duration(s.day.ItemSteps * float64(s.day.Engine.Step))
}

// rankerItem returns the item's properties that determine its rank.
func (it *item) rankerItem() ranker.Item {
	return ranker.Item{Job: it.job, Index: it.index, Due: it.due, CompletedFraction: 1 - it.steps/it.totalSteps}
}

// engineLoad is the work that has been sent to one engine and has not ended.
type engineLoad struct {
	online int
	items  []placedItem // oldest first
}

type placedItem struct {
	item  *item
	owner *vm
}

func (p *engineLoad) load() int { return p.online + len(p.items) }

// omniscient assigns all slots of the fleet centrally. It knows all work from the
// moment of its placement, and which engines are slow. The tests compare the other
// policies with it.
type omniscient struct {
	s      *simulator
	placed map[*engine]*engineLoad
}

func newOmniscient(s *simulator) *omniscient {
	p := &omniscient{s: s, placed: map[*engine]*engineLoad{}}
	for _, e := range s.engines {
		p.placed[e] = &engineLoad{}
	}
	return p
}

// acquireOnline returns the engine with the shortest estimated time to the first
// event, and stops the engine's newest item if its sequences are exceeded.
func (p *omniscient) acquireOnline(st *stream, placed func(e *engine)) {
	var best *engine
	var shortest time.Duration
	for _, e := range p.s.engines {
		if st.avoid[e.id] || p.s.isFaulty(e) {
			continue
		}
		if wait := p.wait(st.vm, e); best == nil || wait < shortest {
			best, shortest = e, wait
		}
	}
	if best == nil {
		placed(nil)
		return
	}
	on := p.placed[best]
	on.online++
	if on.load() > best.spec.Sequences && len(on.items) > 0 {
		newest := on.items[len(on.items)-1]
		on.items = on.items[:len(on.items)-1]
		p.s.stopItem(newest.owner, newest.item)
	}
	placed(best)
}

// wait estimates the time until a VM receives a stream's first event.
func (p *omniscient) wait(v *vm, e *engine) time.Duration {
	on := p.placed[e]
	steps := e.spec.FirstSteps
	if ahead := on.online - e.spec.Sequences + 1; ahead > 0 {
		steps += float64(ahead) * p.s.day.StreamSteps / float64(e.spec.Sequences)
	}
	step := float64(e.spec.Step+time.Duration(on.load())*e.spec.PerRequest) * e.slowness()
	return time.Duration(steps*step) + 2*networkDelay(v.domain, e.domain)
}

func (p *omniscient) recordAnswer(*vm, *engine, answer) {}

func (p *omniscient) onlineEnded(_ *vm, e *engine) {
	p.placed[e].online--
	p.startItems()
}

func (p *omniscient) itemEnded(_ *vm, it *item, e *engine) {
	on := p.placed[e]
	for i, placed := range on.items {
		if placed.item == it {
			on.items = append(on.items[:i:i], on.items[i+1:]...)
			break
		}
	}
	p.startItems()
}

func (p *omniscient) onlineFailed(v *vm, e *engine) { p.onlineEnded(v, e) }

func (p *omniscient) itemFailed(v *vm, it *item, e *engine) { p.itemEnded(v, it, e) }

func (p *omniscient) itemsAdded(*vm) { p.startItems() }

// startItems starts the items with the earliest deadlines on free slots of engines
// that aren't slow. It leaves one slot of each engine to online requests.
func (p *omniscient) startItems() {
	for _, e := range p.s.engines {
		on := p.placed[e]
		for !e.slow && !p.s.isFaulty(e) && on.load() < e.spec.Sequences-1 {
			it, owner := p.first()
			if it == nil {
				return
			}
			on.items = append(on.items, placedItem{item: it, owner: owner})
			p.s.startItem(owner, it, e)
		}
	}
}

// first returns the waiting item with the earliest deadline and its VM, or nil.
func (p *omniscient) first() (*item, *vm) {
	var first *item
	var owner *vm
	for i := range p.s.vms {
		v := &p.s.vms[i]
		if waiting := p.s.waitingItems(v); len(waiting) > 0 && (first == nil || waiting[0].due < first.due) {
			first, owner = waiting[0], v
		}
	}
	return first, owner
}

// localPolicy uses only what each VM knows of its own work. It chooses an engine
// for each request, and limits each VM to a fixed share of the slots for items.
type localPolicy struct {
	s         *simulator
	localLoad []map[*engine]int // requests on each engine, by VM
	items     []int             // running items, by VM
	choose    func(p *localPolicy, v *vm, avoid map[string]bool) *engine
	turn      int
}

func newLeastLocal(s *simulator) *localPolicy {
	return newLocalPolicy(s, func(p *localPolicy, v *vm, avoid map[string]bool) *engine {
		var best *engine
		p.turn++
		for i := range s.engines {
			e := s.engines[(i+p.turn)%len(s.engines)]
			if !avoid[e.id] && (best == nil || p.localLoad[v.number][e] < p.localLoad[v.number][best]) {
				best = e
			}
		}
		return best
	})
}

func newRoundRobin(s *simulator) *localPolicy {
	turns := make([]int, len(s.vms))
	return newLocalPolicy(s, func(_ *localPolicy, v *vm, avoid map[string]bool) *engine {
		for range s.engines {
			turns[v.number]++
			e := s.engines[(turns[v.number]+v.number*len(s.engines)/len(s.vms))%len(s.engines)]
			if !avoid[e.id] {
				return e
			}
		}
		return nil
	})
}

func newLocalPolicy(s *simulator, choose func(*localPolicy, *vm, map[string]bool) *engine) *localPolicy {
	p := &localPolicy{s: s, choose: choose, items: make([]int, len(s.vms))}
	for range s.vms {
		p.localLoad = append(p.localLoad, map[*engine]int{})
	}
	return p
}

func (p *localPolicy) acquireOnline(st *stream, placed func(e *engine)) {
	placed(p.acquire(st.vm, st.avoid))
}

func (p *localPolicy) acquire(v *vm, avoid map[string]bool) *engine {
	e := p.choose(p, v, avoid)
	if e != nil {
		p.localLoad[v.number][e]++
	}
	return e
}

func (p *localPolicy) recordAnswer(*vm, *engine, answer) {}

func (p *localPolicy) onlineEnded(v *vm, e *engine) { p.localLoad[v.number][e]-- }

func (p *localPolicy) itemEnded(v *vm, _ *item, e *engine) {
	p.localLoad[v.number][e]--
	p.items[v.number]--
	p.itemsAdded(v)
}

func (p *localPolicy) onlineFailed(v *vm, e *engine) { p.onlineEnded(v, e) }

func (p *localPolicy) itemFailed(v *vm, it *item, e *engine) { p.itemEnded(v, it, e) }

// itemsAdded starts items up to the VM's share of a third of all slots.
func (p *localPolicy) itemsAdded(v *vm) {
	const batchDivisor = 3
	limit := max(1, len(p.s.engines)*p.s.day.Engine.Sequences/len(p.s.vms)/batchDivisor)
	for _, it := range p.s.waitingItems(v) {
		if p.items[v.number] >= limit {
			return
		}
		e := p.acquire(v, nil)
		p.items[v.number]++
		p.s.startItem(v, it, e)
	}
}
