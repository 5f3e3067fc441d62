// Package servicecaller sends calls to plain services. Repeatable calls are retried at
// other upstreams; other calls are retried only if they certainly did not run.
package servicecaller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/admitter"
	"github.com/fescuespindle/fescuespindle/internal/online/budgeter"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/online/linkmeter"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
)

const (
	maxAttempts = 3
	// Each call earns retryRatio of a retry; unspent ones add up to retryBurst.
	retryRatio = 0.10
	retryBurst = 10
	// failureBackoff is how long an upstream is not used after a failure. It doubles with
	// each consecutive failure; see gauger.Gauge.RecordFailure.
	failureBackoff = 200 * time.Millisecond
)

// Sender sends one attempt.
type Sender interface {
	Call(ctx context.Context, a relayer.Attempt, repeatable bool) (relayer.Answer, error)
}

// Call is a caller's request to a service.
type Call struct {
	ID         string
	Caller     string
	Weight     int
	Method     string
	Path       string
	Body       []byte
	Header     http.Header
	Deadline   time.Time
	Repeatable bool
}

// Caller sends service calls from one VM.
type Caller struct {
	sender   Sender
	observer dispatcher.Observer
	link     dispatcher.Link
	counter  dispatcher.Counter
	policy   chooser.Policy
	retries  *budgeter.Budget
}

// New returns a caller that picks upstreams with the policy chooser.Balanced.
func New(
	sender Sender, observer dispatcher.Observer, link dispatcher.Link, counter dispatcher.Counter,
) *Caller {
	return &Caller{
		sender: sender, observer: observer, link: link, counter: counter, policy: chooser.Balanced{},
		retries: budgeter.New(retryRatio, retryBurst),
	}
}

// Do sends a call once it is admitted. An error of the queue wraps admitter.ErrBusy;
// any other is a relayer.AttemptError.
func (c *Caller) Do(ctx context.Context, lane *dispatcher.Lane, call Call) (relayer.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	entry := admitter.Entry{Caller: call.Caller, Weight: call.Weight, Deadline: call.Deadline}
	if err := lane.Queue().Enter(ctx, entry); err != nil {
		return relayer.Answer{}, err //nolint:wrapcheck // wraps ErrBusy, which callers check for
	}
	started := false
	markStarted := func() {
		if !started {
			started = true
			lane.Queue().Started()
		}
	}
	defer markStarted()
	defer lane.Queue().Done(call.Caller)
	c.retries.Earn()
	return c.callWithRetries(ctx, lane, call, markStarted)
}

// callWithRetries sends a call to up to maxAttempts upstreams. A call that is not
// repeatable is sent again only if it certainly did not run.
func (c *Caller) callWithRetries(
	ctx context.Context, lane *dispatcher.Lane, call Call, markStarted func(),
) (relayer.Answer, error) {
	var avoid *chooser.Upstream
	var lastErr error = relayer.NewAttemptError(relayer.RanNot, dispatcher.ErrNoUpstream)
	worst := relayer.RanNot // over all attempts
	for n := range maxAttempts {
		now := time.Now()
		choice, ok := c.policy.Choose(lane.Pool(),
			chooser.Request{Avoid: avoid, MaxTier: dispatcher.MaxTier(c.link, now), Now: now})
		if !ok {
			break
		}
		answer, err := c.attempt(ctx, lane, call, choice.Upstream, n, markStarted)
		if err == nil {
			return answer, nil
		}
		failure := relayer.AsAttemptError(err)
		lastErr = failure
		worst = max(worst, failure.Ran())
		if failure.Status() != 0 || !c.mayRetry(ctx, call, failure) {
			break
		}
		avoid = choice.Upstream
	}
	if failure := relayer.AsAttemptError(lastErr); failure.Status() != 0 {
		return relayer.Answer{}, failure
	}
	return relayer.Answer{}, relayer.NewAttemptError(worst, lastErr)
}

// mayRetry returns whether a failed call may be sent again, and takes one retry from
// the budget if so.
func (c *Caller) mayRetry(ctx context.Context, call Call, failure *relayer.AttemptError) bool {
	if ctx.Err() != nil || (!call.Repeatable && failure.Ran() != relayer.RanNot) {
		return false
	}
	if !c.retries.Spend() {
		return false
	}
	c.counter.Count("retries_total")
	return true
}

// attempt sends the n-th attempt of a call, counted from 0, to an upstream and records its
// outcome.
func (c *Caller) attempt(
	ctx context.Context, lane *dispatcher.Lane, call Call, u *chooser.Upstream, n int, markStarted func(),
) (relayer.Answer, error) {
	now := time.Now()
	u.Gauge().BeginOnline(now)
	c.observer.OnlineChanged(u, true)
	markStarted()
	defer func() {
		u.Gauge().EndOnline()
		c.observer.OnlineChanged(u, false)
		lane.Queue().Released()
	}()
	answer, err := c.sender.Call(ctx, relayer.Attempt{
		ID: fmt.Sprintf("%s-%d", call.ID, n), Address: u.Address(), Method: call.Method, Path: call.Path,
		Body: call.Body, Header: call.Header, Deadline: call.Deadline,
	}, call.Repeatable)
	if u.Tier() == chooser.TierRemote {
		c.link.Count(linkmeter.PurposeService, len(call.Body)+len(answer.Body()), time.Now())
	}
	if err == nil {
		u.Gauge().RecordEvent(time.Now(), 0)
		return answer, nil
	}
	failure := relayer.AsAttemptError(err)
	if failure.Status() == 0 {
		c.counter.Count("failures_total{ran=\"" + failure.Ran().String() + "\"}")
		u.Gauge().RecordFailure(time.Now(), failureBackoff)
	}
	if failure.Draining() {
		u.Gauge().SetDraining(true)
		c.observer.DrainingSeen(u)
	}
	return answer, failure
}
