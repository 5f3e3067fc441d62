// Package admitter admits online requests as upstreams have free capacity. It shares
// the capacity fairly between callers, and rejects early the requests that could not
// be admitted in time.
package admitter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/queuer"
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
	// sameUrgency is the urgency of all requests.
	sameUrgency = 0
	// maxWaitingPerCaller bounds the waiting requests of one caller.
	maxWaitingPerCaller = 4096
)

// Queue is the admission queue of one pool. Callers are served in fair shares; all requests
// are equally urgent.
type Queue struct {
	hasCapacity CapacityCheck
	now         func() time.Time

	mu              sync.Mutex
	requests        *queuer.Queue
	starting        int     // admitted, but not yet counted by an upstream's gauge
	releaseInterval float64 // moving average, in nanoseconds, while requests wait
	lastRelease     time.Time
}

// CapacityCheck reports whether the pool has capacity for one more request.
type CapacityCheck func(chooser.CapacityQuery) bool

// New returns the queue of a pool. The queue calls hasCapacity while it holds its
// lock.
func New(hasCapacity CapacityCheck, now func() time.Time) *Queue {
	return &Queue{hasCapacity: hasCapacity, now: now, requests: queuer.New()}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.requests.Waiting()
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
	w := q.requests.PushFront(q.requests.Caller(e.Caller, e.Weight, q.now()), sameUrgency)
	q.admit(false)
	q.mu.Unlock()
	return q.await(ctx, w, e.Deadline.Sub(q.now()))
}

// await waits until a request is admitted, its timeout passes or ctx ends.
func (q *Queue) await(ctx context.Context, w *queuer.Waiter, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.Admitted():
		return nil
	case <-timer.C:
		return q.abandon(w, &BusyError{retryAt: q.now().Add(minRetryAfter)})
	case <-ctx.Done():
		return q.abandon(w, fmt.Errorf("%w: %w", ErrBusy, ctx.Err()))
	}
}

// admitOrEnqueue returns a waiter, or nil if the request was admitted or rejected at
// once.
func (q *Queue) admitOrEnqueue(e Entry) (w *queuer.Waiter, underShare bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	c := q.requests.Caller(e.Caller, e.Weight, now)
	if q.requests.Waiting() == 0 && q.hasCapacity(q.capacityQuery(c, false)) {
		q.starting++
		q.requests.RecordAdmission(c)
		return nil, false, nil
	}
	underShare = e.OnUnderShareWait != nil && q.standing(c) == chooser.StandingUnderShare
	wait := q.estimateWait(c)
	tooLong := now.Add(wait).After(e.Deadline) || wait > maxWait
	if (tooLong && !underShare) || c.Waiting() >= maxWaitingPerCaller {
		return nil, false, &BusyError{retryAt: now.Add(max(wait, minRetryAfter))}
	}
	w = q.requests.Push(c, sameUrgency)
	q.admit(false) // there may be capacity left that callers over their share can't use
	return w, underShare && c.Waiting() > 0, nil
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
	if c, found := q.requests.Known(requester); found {
		slots += float64(c.Running())
	}
	largest := slots / queuer.EffectiveWeight(weight)
	name := ""
	for c := range q.requests.Callers() {
		caller, remaining := c.Name(), float64(c.Running()-1)/c.Weight()
		better := remaining > largest || (remaining == largest && (name == "" || caller < name))
		if caller != requester && better && q.standing(c) == chooser.StandingOverShare {
			name, largest = caller, remaining
		}
	}
	return name, name != ""
}

// estimateWait returns how long a new request of the caller would wait. It counts the
// caller's own requests ahead of it, and for each of them the admissions that the
// other waiting callers get by their weights, at the average interval between
// releases. The total is capped at the number of waiting requests.
func (q *Queue) estimateWait(c *queuer.Caller) time.Duration {
	var weights float64
	for other := range q.requests.Callers() {
		if other.Waiting() > 0 || other == c {
			weights += other.Weight()
		}
	}
	turns := float64(c.Waiting()+1) * weights / c.Weight()
	turns = min(turns, float64(q.requests.Waiting()+1))
	return time.Duration(turns * q.releaseInterval)
}

// abandon removes a waiter and returns err, or returns nil if it was admitted meanwhile.
func (q *Queue) abandon(w *queuer.Waiter, err error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.requests.Remove(w) {
		return nil
	}
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
	if q.requests.Waiting() == 0 {
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
	for {
		w := q.requests.First(nil)
		if w == nil || !q.hasCapacity(q.capacityQuery(w.Caller(), remoteChange)) {
			break
		}
		q.starting++
		q.requests.Admit(w)
	}
	q.requests.RemoveIdle(q.now())
}

// capacityQuery returns the query for a request of the caller.
func (q *Queue) capacityQuery(c *queuer.Caller, remoteChange bool) chooser.CapacityQuery {
	return chooser.CapacityQuery{Starting: q.starting, Standing: q.standing(c), RemoteChange: remoteChange}
}

// standing compares the number of a caller's running requests to its share by weight
// among the callers that have running or waiting requests. A caller counts as alone
// only when no other has been seen for queuer.CallerRetention, since one that paused may
// return in a moment.
func (q *Queue) standing(c *queuer.Caller) chooser.Standing {
	weights := c.Weight()
	alone := true
	now := q.now()
	for other := range q.requests.Callers() {
		if other == c {
			continue
		}
		if other.Running() > 0 || other.Waiting() > 0 {
			weights += other.Weight()
		}
		alone = alone && now.Sub(other.LastSeen()) > queuer.CallerRetention
	}
	switch {
	case alone:
		return chooser.StandingSoleCaller
	case c.Running() == 0:
		return chooser.StandingUnderShare
	case float64(c.Running()) >= float64(q.requests.Running())*c.Weight()/weights:
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
	q.requests.Done(caller)
}
