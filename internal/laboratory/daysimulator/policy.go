package daysimulator

import (
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/ranker"
)

// Policy names who makes the decisions of a day.
type Policy string

// The policies.
const (
	// Fleet is the VMs as they are.
	Fleet Policy = "fleet"
	// AllSeeing is one scheduler for the whole fleet.
	AllSeeing Policy = "allSeeing"
	// LeastOwn is VMs that each send to the engine on which they have least work
	// themselves.
	LeastOwn Policy = "leastOwn"
	// RoundRobin is VMs that each send to one engine after the other.
	RoundRobin Policy = "roundRobin"
)

// newPolicy returns the decisions of a day under way.
func newPolicy(p Policy, s *simulator) policy {
	switch p {
	case AllSeeing:
		return newAllSeeing(s)
	case LeastOwn:
		return newLeastOwn(s)
	case RoundRobin:
		return newRoundRobin(s)
	case Fleet:
		return newFleet(s)
	default:
		panic(fmt.Sprintf("no policy %q", p))
	}
}

// policy decides for all VMs of a day. It is told of what happens to their work
// when the VM concerned comes to know it.
type policy interface {
	// online takes a place for a stream that has arrived at a moment; nil is none, for
	// the time being if it may ask again later.
	online(v *vm, arrived time.Duration, avoid map[string]bool) (e *engine, later bool)
	// answered tells what an engine said of itself in an answer.
	answered(v *vm, e *engine, load int, slowness float64)
	onlineEnded(v *vm, e *engine)
	itemEnded(v *vm, it *item, e *engine)
	// changed is called when a VM has new items.
	changed(v *vm)
}

// pending returns a VM's items that wait, in the order in which they get room.
func (s *simulator) pending(v *vm) []*item {
	type name struct {
		job   string
		index int
	}
	var waiting []ranker.Item
	named := map[name]*item{}
	for _, it := range v.items {
		if it.work != nil {
			continue
		}
		named[name{it.job, it.index}] = it
		waiting = append(waiting, it.ranked())
	}
	ranker.Sort(waiting, s.now, s.wholeRun())
	items := make([]*item, 0, len(waiting))
	for _, w := range waiting {
		items = append(items, named[name{w.Job, w.Index}])
	}
	return items
}

// wholeRun returns how long a whole item takes on an empty engine.
func (s *simulator) wholeRun() time.Duration {
	return time.Duration(s.day.ItemSteps * float64(s.day.Engine.Step))
}

// ranked returns what an item's turn goes by.
func (it *item) ranked() ranker.Item {
	return ranker.Item{Job: it.job, Index: it.index, Due: it.due, CompletedFraction: 1 - it.steps/it.whole}
}

// placed is the work that has been sent to one engine and has not ended.
type placed struct {
	online int
	items  []placedItem // oldest first
}

type placedItem struct {
	item  *item
	owner *vm
}

func (p *placed) load() int { return p.online + len(p.items) }

// allSeeing hands out every place of the fleet itself: it knows all work that was
// sent, from the moment of its own decision, and which engines are slow. It is
// what the others are compared with.
type allSeeing struct {
	s      *simulator
	placed map[*engine]*placed
}

func newAllSeeing(s *simulator) *allSeeing {
	p := &allSeeing{s: s, placed: map[*engine]*placed{}}
	for _, e := range s.engines {
		p.placed[e] = &placed{}
	}
	return p
}

// online takes the engine that begins the request soonest once batch work has
// given way.
func (p *allSeeing) online(v *vm, _ time.Duration, avoid map[string]bool) (e *engine, later bool) {
	var best *engine
	var least time.Duration
	for _, e := range p.s.engines {
		if avoid[e.id] {
			continue
		}
		if wait := p.wait(v, e); best == nil || wait < least {
			best, least = e, wait
		}
	}
	if best == nil {
		return nil, false
	}
	on := p.placed[best]
	on.online++
	if on.load() > best.spec.Sequences && len(on.items) > 0 {
		newest := on.items[len(on.items)-1]
		on.items = on.items[:len(on.items)-1]
		p.s.stopItem(newest.owner, newest.item)
	}
	return best, false
}

// wait estimates the time until a stream's first event.
func (p *allSeeing) wait(v *vm, e *engine) time.Duration {
	on := p.placed[e]
	steps := e.spec.FirstSteps
	if ahead := on.online - e.spec.Sequences + 1; ahead > 0 {
		steps += float64(ahead) * p.s.day.StreamSteps / float64(e.spec.Sequences)
	}
	step := float64(e.spec.Step+time.Duration(on.load())*e.spec.PerRequest) * e.slowness()
	return time.Duration(steps*step) + 2*delay(v.domain, e.domain)
}

func (p *allSeeing) answered(*vm, *engine, int, float64) {}

func (p *allSeeing) onlineEnded(_ *vm, e *engine) {
	p.placed[e].online--
	p.fill()
}

func (p *allSeeing) itemEnded(_ *vm, it *item, e *engine) {
	on := p.placed[e]
	for i, placed := range on.items {
		if placed.item == it {
			on.items = append(on.items[:i:i], on.items[i+1:]...)
			break
		}
	}
	p.fill()
}

func (p *allSeeing) changed(*vm) { p.fill() }

// fill gives free places, but for one on each engine, to the items that are due
// first.
func (p *allSeeing) fill() {
	for _, e := range p.s.engines {
		on := p.placed[e]
		for !e.slow && on.load() < e.spec.Sequences-1 {
			it, owner := p.first()
			if it == nil {
				return
			}
			on.items = append(on.items, placedItem{item: it, owner: owner})
			p.s.startItem(owner, it, e)
		}
	}
}

// first returns the item that is due first of all that wait.
func (p *allSeeing) first() (*item, *vm) {
	var first *item
	var owner *vm
	for i := range p.s.vms {
		v := &p.s.vms[i]
		if waiting := p.s.pending(v); len(waiting) > 0 && (first == nil || waiting[0].due < first.due) {
			first, owner = waiting[0], v
		}
	}
	return first, owner
}

// simple is what a VM can do that knows its own work only: it takes a place for
// each request by itself, and has a fixed share of the places for its items.
type simple struct {
	s      *simulator
	own    []map[*engine]int // by VM
	items  []int             // running, by VM
	choose func(p *simple, v *vm, avoid map[string]bool) *engine
	turn   int
}

func newLeastOwn(s *simulator) *simple {
	return newSimple(s, func(p *simple, v *vm, avoid map[string]bool) *engine {
		var best *engine
		p.turn++
		for i := range s.engines {
			e := s.engines[(i+p.turn)%len(s.engines)]
			if !avoid[e.id] && (best == nil || p.own[v.number][e] < p.own[v.number][best]) {
				best = e
			}
		}
		return best
	})
}

func newRoundRobin(s *simulator) *simple {
	turns := make([]int, len(s.vms))
	return newSimple(s, func(_ *simple, v *vm, avoid map[string]bool) *engine {
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

func newSimple(s *simulator, choose func(*simple, *vm, map[string]bool) *engine) *simple {
	p := &simple{s: s, choose: choose, items: make([]int, len(s.vms))}
	for range s.vms {
		p.own = append(p.own, map[*engine]int{})
	}
	return p
}

func (p *simple) online(v *vm, _ time.Duration, avoid map[string]bool) (e *engine, later bool) {
	if e = p.choose(p, v, avoid); e != nil {
		p.own[v.number][e]++
	}
	return e, false
}

func (p *simple) answered(*vm, *engine, int, float64) {}

func (p *simple) onlineEnded(v *vm, e *engine) { p.own[v.number][e]-- }

func (p *simple) itemEnded(v *vm, _ *item, e *engine) {
	p.own[v.number][e]--
	p.items[v.number]--
	p.changed(v)
}

// changed starts items up to the VM's share of a third of all places.
func (p *simple) changed(v *vm) {
	const batchShare = 3
	most := max(1, len(p.s.engines)*p.s.day.Engine.Sequences/len(p.s.vms)/batchShare)
	for _, it := range p.s.pending(v) {
		if p.items[v.number] >= most {
			return
		}
		e, _ := p.online(v, p.s.now, nil)
		p.items[v.number]++
		p.s.startItem(v, it, e)
	}
}
