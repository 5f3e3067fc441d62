// Package queuer orders requests that wait for capacity: the more urgent ones first, and
// equally urgent ones in fair shares between their callers. It has no lock and no clock of its
// own; both interfaces for callers use it.
package queuer

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"
)

// CallerRetention is how long after its last request a caller still counts as a competitor
// of others.
const CallerRetention = 2 * time.Second

// Queue holds the waiting requests of all callers. Callers are served by stride scheduling:
// each admission advances a caller's pass, its virtual time, by the inverse of its weight, and
// among equally urgent requests that of the caller with the least pass is next.
type Queue struct {
	callers    map[string]*Caller
	globalPass float64 // pass of the last admitted caller, before its advance
	waiting    int
	running    int // admitted, and Done not yet called
}

// Caller is the state of one caller.
type Caller struct {
	name     string
	pass     float64
	weight   float64
	waiters  []*Waiter // the most urgent first, equally urgent ones in order of arrival
	running  int
	recent   float64 // requests, as of lastSeen, each weighing less the older it is
	lastSeen time.Time
}

// Waiter is a request that waits.
type Waiter struct {
	caller   *Caller
	urgency  int
	admitted chan struct{}
}

// New returns an empty queue.
func New() *Queue { return &Queue{callers: map[string]*Caller{}} }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of requests that were admitted and are not done.
func (q *Queue) Running() int { return q.running }

// Caller returns a caller's state at the arrival of a request, and creates it if there is
// none. A weight below 1 counts as 1.
func (q *Queue) Caller(name string, weight int, now time.Time) *Caller {
	c, found := q.callers[name]
	if !found {
		c = &Caller{name: name}
		q.callers[name] = c
	}
	c.weight = EffectiveWeight(weight)
	c.recent = 1 + c.Recent(now)
	c.lastSeen = now
	if len(c.waiters) == 0 {
		c.pass = max(c.pass, q.globalPass) // idle callers accumulate no credit
	}
	return c
}

// Known returns a caller's state if it has any.
func (q *Queue) Known(name string) (*Caller, bool) {
	c, found := q.callers[name]
	return c, found
}

// Callers returns the callers with requests, and those that had some within CallerRetention.
func (q *Queue) Callers() iter.Seq[*Caller] { return maps.Values(q.callers) }

// EffectiveWeight returns a weight, which is at least 1.
func EffectiveWeight(weight int) float64 { return float64(max(weight, 1)) }

// Name returns the caller's name.
func (c *Caller) Name() string { return c.name }

// Weight returns the weight of the caller's share.
func (c *Caller) Weight() float64 { return c.weight }

// Running returns the number of the caller's requests that were admitted and are not done.
func (c *Caller) Running() int { return c.running }

// Waiting returns the number of the caller's waiting requests.
func (c *Caller) Waiting() int { return len(c.waiters) }

// LastSeen returns when the caller's last request arrived.
func (c *Caller) LastSeen() time.Time { return c.lastSeen }

// Recent returns the number of the caller's recent requests. Each counts for less the older it
// is.
func (c *Caller) Recent(now time.Time) float64 {
	return c.recent * math.Exp(-float64(now.Sub(c.lastSeen))/float64(CallerRetention))
}

// demand is what a caller has recently asked for.
type demand struct {
	requests float64
	weight   float64
}

func (d demand) perWeight() float64 { return d.requests / d.weight }

// ExceedsShare returns whether a caller has recently asked for more than its fair share, if only the
// given part of all requests can be served. Callers that ask for less than their share leave the
// rest of it to the others (max-min fairness).
func (q *Queue) ExceedsShare(c *Caller, part float64, now time.Time) bool {
	var demands []demand
	remaining, weights := 0.0, 0.0
	for other := range q.Callers() {
		if now.Sub(other.lastSeen) <= CallerRetention {
			demands = append(demands, demand{requests: other.Recent(now), weight: other.weight})
			remaining, weights = remaining+part*other.Recent(now), weights+other.weight
		}
	}
	if len(demands) == 1 {
		return false // there is nobody to share with
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.perWeight(), b.perWeight()) })
	for _, d := range demands {
		if d.perWeight() > remaining/weights {
			break
		}
		remaining, weights = remaining-d.requests, weights-d.weight
	}
	return weights > 0 && c.Recent(now)/c.weight > remaining/weights
}

// Admitted is closed once the request is admitted.
func (w *Waiter) Admitted() <-chan struct{} { return w.admitted }

// Push adds a request behind the caller's others of the same urgency; 0 is the most urgent.
func (q *Queue) Push(c *Caller, urgency int) *Waiter {
	behind := slices.IndexFunc(c.waiters, func(other *Waiter) bool { return other.urgency > urgency })
	if behind < 0 {
		behind = len(c.waiters)
	}
	return q.insert(c, urgency, behind)
}

// PushFront adds a request before the caller's others of the same urgency.
func (q *Queue) PushFront(c *Caller, urgency int) *Waiter {
	before := slices.IndexFunc(c.waiters, func(other *Waiter) bool { return other.urgency >= urgency })
	if before < 0 {
		before = len(c.waiters)
	}
	return q.insert(c, urgency, before)
}

func (q *Queue) insert(c *Caller, urgency, index int) *Waiter {
	w := &Waiter{caller: c, urgency: urgency, admitted: make(chan struct{})}
	c.waiters = slices.Insert(c.waiters, index, w)
	q.waiting++
	return w
}

// First returns the request that is to be admitted next among those for which skip, unless it
// is nil, returns false. It returns nil if there is none.
func (q *Queue) First(skip func(*Waiter) bool) *Waiter {
	var first *Waiter
	for _, c := range q.callers {
		if w := c.first(skip); w != nil && (first == nil || w.precedes(first)) {
			first = w
		}
	}
	return first
}

func (c *Caller) first(skip func(*Waiter) bool) *Waiter {
	for _, w := range c.waiters {
		if skip == nil || !skip(w) {
			return w
		}
	}
	return nil
}

// precedes returns whether the request is admitted before one of another caller.
func (w *Waiter) precedes(other *Waiter) bool {
	switch {
	case w.urgency != other.urgency:
		return w.urgency < other.urgency
	case w.caller.pass != other.caller.pass:
		return w.caller.pass < other.caller.pass
	default:
		return w.caller.name < other.caller.name
	}
}

// Caller returns the caller of the request.
func (w *Waiter) Caller() *Caller { return w.caller }

// Admit removes a request from the queue and counts it as admitted.
func (q *Queue) Admit(w *Waiter) {
	q.Remove(w)
	q.RecordAdmission(w.caller)
	close(w.admitted)
}

// RecordAdmission counts an admitted request and advances its caller's pass.
func (q *Queue) RecordAdmission(c *Caller) {
	c.running++
	q.running++
	q.globalPass = max(q.globalPass, c.pass)
	c.pass += 1 / c.weight
}

// Remove removes a request that no longer waits. It returns false if it is not in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	index := slices.Index(w.caller.waiters, w)
	if index < 0 {
		return false
	}
	w.caller.waiters = slices.Delete(w.caller.waiters, index, index+1)
	q.waiting--
	return true
}

// Done records that an admitted request of a caller has ended.
func (q *Queue) Done(caller string) {
	q.running--
	if c, found := q.callers[caller]; found {
		c.running--
	}
}

// RemoveIdle removes callers that have no requests, were not seen for CallerRetention, and
// whose pass is not ahead of the queue's. Removing one that is ahead would erase what it owes
// to others.
func (q *Queue) RemoveIdle(now time.Time) {
	for name, c := range q.callers {
		idle := len(c.waiters) == 0 && c.running == 0 && now.Sub(c.lastSeen) > CallerRetention
		if idle && c.pass <= q.globalPass {
			delete(q.callers, name)
		}
	}
}
