// Package admitter lets online requests in as upstreams have room, in fair
// shares between callers, and refuses early what could not be run in time.
package admitter

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
)

// ErrBusy means that the request would have waited too long. It was not run.
var ErrBusy = errors.New("no room in time")

// BusyError tells when the caller may come back.
type BusyError struct {
	retryAt time.Time
}

// Error implements error.
func (e *BusyError) Error() string { return ErrBusy.Error() }

// Unwrap returns ErrBusy.
func (e *BusyError) Unwrap() error { return ErrBusy }

// RetryAt returns when the caller may come back.
func (e *BusyError) RetryAt() time.Time { return e.retryAt }

const (
	// maxWait bounds the time that a request spends in the queue.
	maxWait = 400 * time.Millisecond
	// minRetryWait is the shortest time after which callers are asked back.
	minRetryWait = time.Second
	// rateWeight is the weight of a new interval between releases.
	rateWeight = 0.05
	// callerMemory is how long a caller is reckoned with after its last request.
	callerMemory = 2 * time.Second
	// maxWaiting bounds the queue of one caller.
	maxWaiting = 4096
)

// Queue is the line of one pool. Callers take turns by stride scheduling: each
// admission moves a caller's virtual time on by the inverse of its weight, and
// the caller with the least virtual time goes next.
type Queue struct {
	room Room
	now  func() time.Time

	mu       sync.Mutex
	callers  map[string]*line
	virtual  float64
	waiting  int
	starting int
	running  int
	interval float64 // average nanoseconds between releases while requests wait
	released time.Time
}

type line struct {
	pass    float64
	weight  float64
	tickets []*ticket
	running int
	seenAt  time.Time
}

type ticket struct {
	admitted chan struct{}
	gone     bool
}

// Room tells whether the pool has room for one more request.
type Room func(chooser.Need) bool

// New returns a queue of a pool with room.
func New(room Room, now func() time.Time) *Queue {
	return &Queue{room: room, now: now, callers: map[string]*line{}}
}

// Waiting returns the number of requests in line.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Entry is a request that wants to be let in.
type Entry struct {
	Caller   string
	Weight   int
	Deadline time.Time
	// OnUnderShareWait, if set, is called once if the request has to wait although its
	// caller has less than its share.
	OnUnderShareWait func()
}

// Enter waits for the request's turn. It returns a BusyError at once if the
// wait would pass the deadline or the longest wait. Started and Done must be
// called once each after it returns nil.
func (q *Queue) Enter(ctx context.Context, e Entry) error {
	t, crowded, err := q.join(e)
	if t == nil {
		return err
	}
	if crowded {
		e.OnUnderShareWait()
	}
	return q.await(ctx, t, min(maxWait, e.Deadline.Sub(q.now())))
}

// Reenter is Enter for a request that had been let in before and has given its
// place up. It goes first in its caller's line and waits up to its deadline, and
// Crowded is not called.
func (q *Queue) Reenter(ctx context.Context, e Entry) error {
	q.mu.Lock()
	t := q.enqueue(q.line(e.Caller, weightOf(e.Weight)), 0)
	q.mu.Unlock()
	return q.await(ctx, t, e.Deadline.Sub(q.now()))
}

func (q *Queue) await(ctx context.Context, t *ticket, most time.Duration) error {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-t.admitted:
		return nil
	case <-timer.C:
		return q.leave(t, &BusyError{retryAt: q.now().Add(minRetryWait)})
	case <-ctx.Done():
		return q.leave(t, fmt.Errorf("%w: %w", ErrBusy, ctx.Err()))
	}
}

func weightOf(weight int) float64 { return float64(max(weight, 1)) }

// enqueue puts a request into a caller's line, and lets in whom it can: there
// may be room that callers over their share may not take.
func (q *Queue) enqueue(l *line, at int) *ticket {
	t := &ticket{admitted: make(chan struct{})}
	l.tickets = slices.Insert(l.tickets, at, t)
	q.waiting++
	q.admit(false)
	return t
}

// join returns a ticket to wait with, or nil if the request was let in or
// refused at once.
func (q *Queue) join(e Entry) (t *ticket, crowded bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.line(e.Caller, weightOf(e.Weight))
	if q.waiting == 0 && q.room(q.need(l, false)) {
		q.advance(l)
		return nil, false, nil
	}
	now := q.now()
	crowded = e.OnUnderShareWait != nil && q.standing(l) == chooser.StandingUnder
	wait := q.estimate(l)
	late := now.Add(wait).After(e.Deadline) || wait > maxWait
	if (late && !crowded) || len(l.tickets) >= maxWaiting {
		return nil, false, &BusyError{retryAt: now.Add(max(wait, minRetryWait))}
	}
	t = q.enqueue(l, len(l.tickets))
	return t, crowded && len(l.tickets) > 0, nil
}

// MostOverShare returns the caller that is farthest over its share and would not have
// less for its weight than another caller if it gave that one a place. So two
// callers never take a place from each other in turn. It returns false if there
// is none.
func (q *Queue) MostOverShare(other string, weight int) (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	gain := 1.0
	if l, found := q.callers[other]; found {
		gain += float64(l.running)
	}
	most := gain / weightOf(weight)
	name := ""
	for caller, l := range q.callers {
		left := float64(l.running-1) / l.weight
		better := left > most || (left == most && (name == "" || caller < name))
		if caller != other && better && q.standing(l) == chooser.StandingOver {
			name, most = caller, left
		}
	}
	return name, name != ""
}

func (q *Queue) line(caller string, weight float64) *line {
	l, found := q.callers[caller]
	if !found {
		l = &line{}
		q.callers[caller] = l
	}
	l.weight = weight
	l.seenAt = q.now()
	if len(l.tickets) == 0 {
		l.pass = max(l.pass, q.virtual) // idle callers don't save up turns
	}
	return l
}

func (q *Queue) advance(l *line) {
	q.starting++
	l.running++
	q.running++
	q.virtual = l.pass
	l.pass += 1 / l.weight
}

// estimate returns how long a new request of the caller would wait: the
// requests ahead of it in its own line, each of which waits for the other
// callers' shares, at the average interval between releases.
func (q *Queue) estimate(l *line) time.Duration {
	var weights float64
	for _, other := range q.callers {
		if len(other.tickets) > 0 || other == l {
			weights += other.weight
		}
	}
	turns := float64(len(l.tickets)+1) * weights / l.weight
	turns = min(turns, float64(q.waiting+1))
	return time.Duration(turns * q.interval)
}

// leave takes a ticket out of the line, unless it was admitted meanwhile.
func (q *Queue) leave(t *ticket, err error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-t.admitted:
		return nil
	default:
	}
	t.gone = true
	q.waiting--
	return err
}

// Started notes that a request that was let in is counted by the gauge of its
// upstream now, or won't be sent. It is called once for each successful Enter.
func (q *Queue) Started() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.starting--
}

// Released notes that a request of the pool is over, and lets others in.
func (q *Queue) Released() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.noteRelease()
	q.admit(false)
}

// noteRelease measures the interval between releases, but only while requests
// wait: the intervals of an idle pool say nothing about a full one.
func (q *Queue) noteRelease() {
	if q.waiting == 0 {
		q.released = time.Time{}
		return
	}
	now := q.now()
	before := q.released
	q.released = now
	if before.IsZero() {
		return
	}
	passed := float64(now.Sub(before))
	if q.interval == 0 {
		q.interval = passed
	}
	q.interval += rateWeight * (passed - q.interval)
}

// Poll lets requests in after a change that this VM did not make itself, such
// as a new upstream or work of other VMs that ended.
func (q *Queue) Poll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admit(true)
}

// admit lets requests in while there is room. Heard tells that the VM has only
// heard of what other VMs do.
func (q *Queue) admit(heard bool) {
	for q.waiting > 0 {
		l := q.next()
		if l == nil || !q.room(q.need(l, heard)) {
			break
		}
		t := l.tickets[0]
		l.tickets = l.tickets[1:]
		if t.gone {
			continue
		}
		q.waiting--
		q.advance(l)
		close(t.admitted)
	}
	q.forgetIdle()
}

func (q *Queue) need(l *line, heard bool) chooser.Need {
	return chooser.Need{More: q.starting, Standing: q.standing(l), Heard: heard}
}

// standing compares a caller's running requests to its weight's share among the
// callers that have any request. A caller without such company may still have
// to reckon with one that comes back in a moment.
func (q *Queue) standing(l *line) chooser.Standing {
	weights := l.weight
	alone := true
	now := q.now()
	for _, other := range q.callers {
		if other == l {
			continue
		}
		if other.running > 0 || len(other.tickets) > 0 {
			weights += other.weight
		}
		alone = alone && now.Sub(other.seenAt) > callerMemory
	}
	switch {
	case alone:
		return chooser.StandingAlone
	case l.running == 0:
		return chooser.StandingUnder
	case float64(l.running) >= float64(q.running)*l.weight/weights:
		return chooser.StandingOver
	default:
		return chooser.StandingUnder
	}
}

// Done notes that a caller's request is over, however many attempts it took. It
// is called once for each successful Enter.
func (q *Queue) Done(caller string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if l, found := q.callers[caller]; found {
		l.running--
	}
}

// next returns the line of the caller whose turn it is.
func (q *Queue) next() *line {
	var best *line
	var bestName string
	for name, l := range q.callers {
		l.dropGone()
		if len(l.tickets) == 0 {
			continue
		}
		if best == nil || l.pass < best.pass || (l.pass == best.pass && name < bestName) {
			best, bestName = l, name
		}
	}
	return best
}

func (l *line) dropGone() {
	for len(l.tickets) > 0 && l.tickets[0].gone {
		l.tickets = l.tickets[1:]
	}
}

// forgetIdle drops callers without requests that have no debt and were not
// seen of late.
func (q *Queue) forgetIdle() {
	now := q.now()
	for name, l := range q.callers {
		idle := len(l.tickets) == 0 && l.running == 0 && now.Sub(l.seenAt) > callerMemory
		if idle && l.pass <= q.virtual {
			delete(q.callers, name)
		}
	}
}
