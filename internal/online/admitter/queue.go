// Package admitter admits online requests as upstreams have free capacity. It shares
// the capacity fairly between callers, and rejects early the requests that could not
// be admitted in time.
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

// ErrBusy means that the request would have waited too long, or was canceled while it
// waited. It was not run.
var ErrBusy = errors.New("no room in time")

// BusyError is an ErrBusy that says when the caller may retry.
type BusyError struct {
	retryAt time.Time
}

// Error implements error.
func (e *BusyError) Error() string { return ErrBusy.Error() }

// Unwrap returns ErrBusy.
func (e *BusyError) Unwrap() error { return ErrBusy }

// RetryAt returns the earliest time at which the caller should retry.
func (e *BusyError) RetryAt() time.Time { return e.retryAt }

const (
	// maxWait bounds the time that a request waits in the queue.
	maxWait = 400 * time.Millisecond
	// minRetryAfter is the shortest delay after which a caller is told to retry.
	minRetryAfter = time.Second
	// intervalWeight is the weight of a new sample in the moving average of the
	// interval between releases.
	intervalWeight = 0.05
	// callerRetention is how long after its last request a caller still counts as a
	// competitor of others.
	callerRetention = 2 * time.Second
	// maxWaitingPerCaller bounds the waiting requests of one caller.
	maxWaitingPerCaller = 4096
)

// Queue is the admission queue of one pool. Callers are served by stride scheduling:
// each admission advances a caller's pass, its virtual time, by the inverse of its
// weight, and the waiting caller with the least pass is admitted next.
type Queue struct {
	hasCapacity CapacityCheck
	now         func() time.Time

	mu              sync.Mutex
	callers         map[string]*callerQueue
	globalPass      float64 // pass of the last admitted caller, before its advance
	waiting         int
	starting        int     // admitted, but not yet counted by an upstream's gauge
	running         int     // admitted, and Done not yet called
	releaseInterval float64 // moving average, in nanoseconds, while requests wait
	lastRelease     time.Time
}

// callerQueue is the state of one caller.
type callerQueue struct {
	pass     float64
	weight   float64
	waiters  []*waiter
	running  int
	lastSeen time.Time
}

// waiter is a request that waits for admission.
type waiter struct {
	admitted  chan struct{}
	abandoned bool
}

// CapacityCheck reports whether the pool has capacity for one more request.
type CapacityCheck func(chooser.CapacityQuery) bool

// New returns the queue of a pool. The queue calls hasCapacity while it holds its
// lock.
func New(hasCapacity CapacityCheck, now func() time.Time) *Queue {
	return &Queue{hasCapacity: hasCapacity, now: now, callers: map[string]*callerQueue{}}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Entry is a request for admission.
type Entry struct {
	Caller   string
	Weight   int
	Deadline time.Time
	// OnUnderShareWait, if set, is called once if the request has to wait although its
	// caller has less than its share.
	OnUnderShareWait func()
}

// Enter waits until the request is admitted, for at most maxWait and up to its
// deadline, and otherwise returns a BusyError. It returns one at once if the caller
// has maxWaitingPerCaller requests in the queue, or if the estimated wait is too long;
// the estimate is ignored for a caller with less than its share if OnUnderShareWait is
// set. If ctx ends, the error is not a BusyError, but wraps ErrBusy. After Enter
// returns nil, Started and Done must be called once each.
func (q *Queue) Enter(ctx context.Context, e Entry) error {
	w, underShare, err := q.admitOrEnqueue(e)
	if w == nil {
		return err
	}
	if underShare {
		e.OnUnderShareWait()
	}
	return q.await(ctx, w, min(maxWait, e.Deadline.Sub(q.now())))
}

// Reenter is Enter for a request that was admitted before and has released its slot.
// The request goes to the front of its caller's queue and waits up to its deadline;
// OnUnderShareWait is not called.
func (q *Queue) Reenter(ctx context.Context, e Entry) error {
	q.mu.Lock()
	w := q.enqueue(q.callerQueue(e.Caller, effectiveWeight(e.Weight)), 0)
	q.mu.Unlock()
	return q.await(ctx, w, e.Deadline.Sub(q.now()))
}

// await waits until a request is admitted, its timeout passes or ctx ends.
func (q *Queue) await(ctx context.Context, w *waiter, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.admitted:
		return nil
	case <-timer.C:
		return q.abandon(w, &BusyError{retryAt: q.now().Add(minRetryAfter)})
	case <-ctx.Done():
		return q.abandon(w, fmt.Errorf("%w: %w", ErrBusy, ctx.Err()))
	}
}

// effectiveWeight returns a caller's weight, which is at least 1.
func effectiveWeight(weight int) float64 { return float64(max(weight, 1)) }

// enqueue inserts a request into a caller's queue and admits the requests for which
// there is capacity: some may be left that callers over their share can't use.
func (q *Queue) enqueue(c *callerQueue, index int) *waiter {
	w := &waiter{admitted: make(chan struct{})}
	c.waiters = slices.Insert(c.waiters, index, w)
	q.waiting++
	q.admit(false)
	return w
}

// admitOrEnqueue returns a waiter, or nil if the request was admitted or rejected at
// once.
func (q *Queue) admitOrEnqueue(e Entry) (w *waiter, underShare bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.callerQueue(e.Caller, effectiveWeight(e.Weight))
	if q.waiting == 0 && q.hasCapacity(q.capacityQuery(c, false)) {
		q.recordAdmission(c)
		return nil, false, nil
	}
	now := q.now()
	underShare = e.OnUnderShareWait != nil && q.standing(c) == chooser.StandingUnderShare
	wait := q.estimateWait(c)
	tooLong := now.Add(wait).After(e.Deadline) || wait > maxWait
	if (tooLong && !underShare) || len(c.waiters) >= maxWaitingPerCaller {
		return nil, false, &BusyError{retryAt: now.Add(max(wait, minRetryAfter))}
	}
	w = q.enqueue(c, len(c.waiters))
	return w, underShare && len(c.waiters) > 0, nil
}

// MostOverShare returns the caller that is furthest over its share, relative to its
// weight, and could give up a slot to the requester, which has the given weight. Only
// callers qualify that, with one slot less, would still have at least as much for their
// weight as the requester with one slot more. This keeps two callers from taking the
// same slot from each other in turn. It returns false if no caller qualifies.
func (q *Queue) MostOverShare(requester string, weight int) (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	slots := 1.0
	if c, found := q.callers[requester]; found {
		slots += float64(c.running)
	}
	largest := slots / effectiveWeight(weight)
	name := ""
	for caller, c := range q.callers {
		remaining := float64(c.running-1) / c.weight
		better := remaining > largest || (remaining == largest && (name == "" || caller < name))
		if caller != requester && better && q.standing(c) == chooser.StandingOverShare {
			name, largest = caller, remaining
		}
	}
	return name, name != ""
}

// callerQueue returns the queue of a caller, which it creates if there is none.
func (q *Queue) callerQueue(caller string, weight float64) *callerQueue {
	c, found := q.callers[caller]
	if !found {
		c = &callerQueue{}
		q.callers[caller] = c
	}
	c.weight = weight
	c.lastSeen = q.now()
	if len(c.waiters) == 0 {
		c.pass = max(c.pass, q.globalPass) // idle callers accumulate no credit
	}
	return c
}

// recordAdmission counts an admitted request and advances its caller's pass.
func (q *Queue) recordAdmission(c *callerQueue) {
	q.starting++
	c.running++
	q.running++
	q.globalPass = c.pass
	c.pass += 1 / c.weight
}

// estimateWait returns how long a new request of the caller would wait. It counts the
// caller's own requests ahead of it, and for each of them the admissions that the
// other waiting callers get by their weights, at the average interval between
// releases. The total is capped at the number of waiting requests.
func (q *Queue) estimateWait(c *callerQueue) time.Duration {
	var weights float64
	for _, other := range q.callers {
		if len(other.waiters) > 0 || other == c {
			weights += other.weight
		}
	}
	turns := float64(len(c.waiters)+1) * weights / c.weight
	turns = min(turns, float64(q.waiting+1))
	return time.Duration(turns * q.releaseInterval)
}

// abandon marks a waiter as abandoned and returns err, or returns nil if it was admitted
// meanwhile. The waiter stays in its queue until removeAbandoned or admit drops it.
func (q *Queue) abandon(w *waiter, err error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	default:
	}
	w.abandoned = true
	q.waiting--
	return err
}

// Started records that an admitted request is now counted by its upstream's gauge, or
// will not be sent. It must be called once for each successful Enter or Reenter.
func (q *Queue) Started() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.starting--
}

// Released records that an attempt has ended and is no longer counted by its upstream's
// gauge, and admits waiting requests. Unlike Done, it is called for every attempt of a
// request.
func (q *Queue) Released() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordReleaseInterval()
	q.admit(false)
}

// recordReleaseInterval updates the average interval between releases, but only while
// requests wait: the intervals of an idle pool don't show how fast a full one is.
func (q *Queue) recordReleaseInterval() {
	if q.waiting == 0 {
		q.lastRelease = time.Time{}
		return
	}
	now := q.now()
	previous := q.lastRelease
	q.lastRelease = now
	if previous.IsZero() {
		return
	}
	elapsed := float64(now.Sub(previous))
	if q.releaseInterval == 0 {
		q.releaseInterval = elapsed
	}
	q.releaseInterval += intervalWeight * (elapsed - q.releaseInterval)
}

// AdmitAfterRemoteChange admits waiting requests after a change that this VM did not
// cause, such as a new upstream or the end of another VM's work.
func (q *Queue) AdmitAfterRemoteChange() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admit(true)
}

// admit admits waiting requests while there is capacity. remoteChange says that it was
// triggered by a report on other VMs, not by an event on this one.
func (q *Queue) admit(remoteChange bool) {
	for q.waiting > 0 {
		c := q.nextCaller()
		if c == nil || !q.hasCapacity(q.capacityQuery(c, remoteChange)) {
			break
		}
		w := c.waiters[0]
		c.waiters = c.waiters[1:]
		if w.abandoned {
			continue
		}
		q.waiting--
		q.recordAdmission(c)
		close(w.admitted)
	}
	q.removeIdleCallers()
}

// capacityQuery returns the query for a request of the caller.
func (q *Queue) capacityQuery(c *callerQueue, remoteChange bool) chooser.CapacityQuery {
	return chooser.CapacityQuery{Starting: q.starting, Standing: q.standing(c), RemoteChange: remoteChange}
}

// standing compares the number of a caller's running requests to its share by weight
// among the callers that have running or waiting requests. A caller counts as alone
// only when no other has been seen for callerRetention, since one that paused may
// return in a moment.
func (q *Queue) standing(c *callerQueue) chooser.Standing {
	weights := c.weight
	alone := true
	now := q.now()
	for _, other := range q.callers {
		if other == c {
			continue
		}
		if other.running > 0 || len(other.waiters) > 0 {
			weights += other.weight
		}
		alone = alone && now.Sub(other.lastSeen) > callerRetention
	}
	switch {
	case alone:
		return chooser.StandingSoleCaller
	case c.running == 0:
		return chooser.StandingUnderShare
	case float64(c.running) >= float64(q.running)*c.weight/weights:
		return chooser.StandingOverShare
	default:
		return chooser.StandingUnderShare
	}
}

// Done records that a caller's request has ended, however many attempts it took. It
// must be called once for each successful Enter or Reenter.
func (q *Queue) Done(caller string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if c, found := q.callers[caller]; found {
		c.running--
	}
}

// nextCaller returns the queue of the waiting caller with the least pass, or nil.
func (q *Queue) nextCaller() *callerQueue {
	var best *callerQueue
	var bestName string
	for name, c := range q.callers {
		c.removeAbandoned()
		if len(c.waiters) == 0 {
			continue
		}
		if best == nil || c.pass < best.pass || (c.pass == best.pass && name < bestName) {
			best, bestName = c, name
		}
	}
	return best
}

// removeAbandoned removes the abandoned waiters at the front of the queue.
func (c *callerQueue) removeAbandoned() {
	for len(c.waiters) > 0 && c.waiters[0].abandoned {
		c.waiters = c.waiters[1:]
	}
}

// removeIdleCallers removes callers that have no requests, were not seen for
// callerRetention, and whose pass is not ahead of the queue's. Removing one that is
// ahead would erase what it owes to others.
func (q *Queue) removeIdleCallers() {
	now := q.now()
	for name, c := range q.callers {
		idle := len(c.waiters) == 0 && c.running == 0 && now.Sub(c.lastSeen) > callerRetention
		if idle && c.pass <= q.globalPass {
			delete(q.callers, name)
		}
	}
}
