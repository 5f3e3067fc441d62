// Package slotqueuer queues the online requests of a VM that find no slot in time. When a slot
// may have become free, the more urgent requests are asked first, and equally urgent ones in
// fair shares between teams. It performs no I/O and has no clock of its own.
package slotqueuer

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/queuer"
)

const (
	// equalWeight is the weight of each team.
	equalWeight = 1
	// shortageMemory is how long after a request found no slot slots still count as short.
	shortageMemory = time.Second
	// minPollInterval is the least time between polls: each may ask all requests that wait.
	minPollInterval = 5 * time.Millisecond
	// yieldDivisor sets how long a request leaves the last free slots to others for each reason that
	// it has, as a share of the time from its arrival to its latency target.
	yieldDivisor = 3
	// servedPart is the part of all requests for which there are slots in a shortage. It decides whose
	// demand exceeds a fair share of them.
	servedPart = 0.8
)

// Request is a request for a slot.
type Request struct {
	// Team is the team whose share the request counts in; empty for none.
	Team string
	// Urgency is the rank of the request; 0 is the most urgent.
	Urgency int
	Work    placer.OnlineWork
	// Acquire acquires a slot. The request waits while it returns placer.ErrRetryLater; with any
	// other result the wait ends. It is called with the lock held, maybe by the goroutine of
	// another request, and must not call the queuer.
	Acquire func(work placer.OnlineWork, now time.Time) error
}

// Queuer holds the waiting requests of one VM.
type Queuer struct {
	mu    sync.Mutex
	lanes map[string]*lane // by service
}

// lane holds the requests of one service.
type lane struct {
	requests  *queuer.Queue
	tickets   map[*queuer.Waiter]*Ticket
	passes    int
	lastAsked time.Time
	// shortUntil is until when slots count as short, and urgentUntil until when there are requests
	// of an urgency.
	shortUntil  time.Time
	urgentUntil map[int]time.Time
}

// Ticket is a waiting request.
type Ticket struct {
	request  Request
	lane     *lane
	waiter   *queuer.Waiter
	done     chan struct{}
	err      error
	lastPass int // in which the request was asked
}

// New returns a queuer without requests.
func New() *Queuer { return &Queuer{lanes: map[string]*lane{}} }

// Enter acquires a slot for a request, after those waiting requests that precede it. If the
// request has to wait, it returns its ticket; otherwise the result of Acquire.
func (q *Queuer) Enter(r Request, now time.Time) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.laneOf(r.Work.Service)
	team := l.requests.Caller(r.Team, equalWeight, now)
	l.urgentUntil[r.Urgency] = now.Add(queuer.CallerRetention)
	if reasons := l.reasonsToYield(team, r.Urgency, now); reasons > 0 {
		toTarget := max(r.Work.Target.Sub(now), 0)
		r.Work.YieldUntil = now.Add(time.Duration(reasons) * toTarget / yieldDivisor)
	}
	if l.requests.Waiting() == 0 {
		if err := l.acquire(&r, now); !errors.Is(err, placer.ErrRetryLater) {
			l.recordResult(team, err)
			return nil, err
		}
	}
	t := &Ticket{request: r, lane: l, done: make(chan struct{})}
	hasAsked := l.requests.Waiting() == 0
	t.waiter = l.requests.Push(team, r.Urgency)
	l.tickets[t.waiter] = t
	if !hasAsked {
		l.ask(t, now)
	}
	if l.tickets[t.waiter] == nil {
		return nil, t.err
	}
	return t, nil
}

func (q *Queuer) laneOf(service string) *lane {
	l, found := q.lanes[service]
	if !found {
		l = &lane{requests: queuer.New(), tickets: map[*queuer.Waiter]*Ticket{}, urgentUntil: map[int]time.Time{}}
		q.lanes[service] = l
	}
	return l
}

// Ask asks the waiting requests of a service for whether they can acquire a slot now, in order.
// It is called when a slot may have become free.
func (q *Queuer) Ask(service string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l, found := q.lanes[service]; found {
		l.ask(nil, now)
	}
}

// Poll is Ask for the case that nothing is known to have changed. It does nothing if the requests have just been
// asked, as the cost of their polls would grow with the square of their number.
func (q *Queuer) Poll(service string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l, found := q.lanes[service]; found && now.Sub(l.lastAsked) >= minPollInterval {
		l.ask(nil, now)
	}
}

// Done records that a request of a team, which has got a slot, has released it.
func (q *Queuer) Done(service, team string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l, found := q.lanes[service]; found {
		l.requests.Done(team)
		l.requests.RemoveIdle(now)
	}
}

// Retain discards what is known of all services except the given ones and those with requests.
func (q *Queuer) Retain(services map[string]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.lanes, func(service string, l *lane) bool {
		return !services[service] && l.requests.Waiting() == 0 && l.requests.Running() == 0
	})
}

// Waiting returns the number of waiting requests.
func (q *Queuer) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, l := range q.lanes {
		n += l.requests.Waiting()
	}
	return n
}

// Leave ends the wait of a request whose caller has left. It returns false if the wait has ended
// already, so that Err tells the result.
func (q *Queuer) Leave(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(t.lane.tickets, t.waiter)
	return t.lane.requests.Remove(t.waiter)
}

// Done is closed when the wait has ended.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Err returns the result of Acquire. It must not be called before the wait has ended.
func (t *Ticket) Err() error { return t.err }

// kind is what requests have in common that get a slot, or none, under the same conditions.
type kind struct {
	isLate       bool
	yields       bool
	takesAny     bool // upstream, however long the queue there
	limitWaitEnd bool // whether it no longer waits for rate limits
	versions     string
}

// kind returns the kind of the request, or false if others tell nothing of it.
func (t *Ticket) kind(now time.Time) (kind, bool) {
	work := t.request.Work
	return kind{
		isLate: work.IsLate(now), yields: now.Before(work.YieldUntil), takesAny: !now.Before(work.WaitUntil),
		limitWaitEnd: !now.Before(work.LimitWaitUntil), versions: strings.Join(work.Versions, " "),
	}, len(work.Avoid) == 0
}

// ask asks the requests in order, and lets those that can acquire a slot do so. After one of a
// kind has to wait on, the others of this kind aren't asked, but for the newcomer: it may
// still be in time at the end of a queue in which the others would be late.
func (l *lane) ask(newcomer *Ticket, now time.Time) {
	l.passes++
	l.lastAsked = now
	var waitOn []kind
	for {
		w := l.requests.First(func(w *queuer.Waiter) bool {
			t := l.tickets[w]
			k, isKnown := t.kind(now)
			return t.lastPass == l.passes || (isKnown && t != newcomer && slices.Contains(waitOn, k))
		})
		if w == nil {
			return
		}
		t := l.tickets[w]
		t.lastPass = l.passes
		err := l.acquire(&t.request, now)
		if errors.Is(err, placer.ErrRetryLater) {
			k, _ := t.kind(now)
			waitOn = append(waitOn, k)
			continue
		}
		l.end(t, err)
	}
}

// end ends the wait of a request.
func (l *lane) end(t *Ticket, err error) {
	l.requests.Remove(t.waiter)
	delete(l.tickets, t.waiter)
	l.recordResult(t.waiter.Caller(), err)
	t.err = err
	close(t.done)
}

// acquire acquires a slot, and records that slots are short if there is none. That a request
// yields shows nothing.
func (l *lane) acquire(r *Request, now time.Time) error {
	err := r.Acquire(r.Work, now)
	if errors.Is(err, placer.ErrRetryLater) && !now.Before(r.Work.YieldUntil) {
		l.shortUntil = now.Add(shortageMemory)
	}
	return err
}

// reasonsToYield returns how many reasons a request has to leave the last free slots to others for
// a while, also to those that come through other VMs. It has none unless slots are short. Each of
// these is one: there are more urgent requests; its team asks for more than its share.
func (l *lane) reasonsToYield(team *queuer.Caller, urgency int, now time.Time) int {
	if !now.Before(l.shortUntil) {
		return 0
	}
	reasons := 0
	for other, until := range l.urgentUntil {
		if other < urgency && now.Before(until) {
			reasons++
			break
		}
	}
	if l.requests.ExceedsShare(team, servedPart, now) {
		reasons++
	}
	return reasons
}

// recordResult counts a request that has got a slot in its team's share.
func (l *lane) recordResult(team *queuer.Caller, err error) {
	if err == nil {
		l.requests.RecordAdmission(team)
	}
}
