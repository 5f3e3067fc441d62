package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/online/gauger"
	"github.com/fescuespindle/fescuespindle/internal/online/linkmeter"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// counts is a dispatcher.Counter that can be read.
type counts struct {
	mu   sync.Mutex
	sums map[string]int
}

func (c *counts) Count(name string) { c.Add(name, 1) }

func (c *counts) Add(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sums[name] += n
}

func (c *counts) get(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sums[name]
}

// nopObserver is an observer without effect, and an isolator that isolates every
// suspect.
type nopObserver struct{}

func (nopObserver) OnlineChanged(*chooser.Upstream, bool)   {}
func (nopObserver) StrikeRecorded(quarantiner.Strike)       {}
func (nopObserver) DrainingSeen(*chooser.Upstream)          {}
func (nopObserver) SlownessSeen(*chooser.Upstream, float64) {}
func (nopObserver) Isolate(context.Context, *chooser.Upstream, quarantiner.Fingerprint) (func(), bool) {
	return func() {}, true
}

// denyingIsolator denies the given number of isolations and grants all later ones.
type denyingIsolator struct {
	denials atomic.Int32
}

func (i *denyingIsolator) Isolate(context.Context, *chooser.Upstream, quarantiner.Fingerprint) (func(), bool) {
	return func() {}, i.denials.Add(-1) < 0
}

// engine handles an attempt with the given request identifier.
type engine func(w http.ResponseWriter, r *http.Request, id string)

// fixture is a dispatcher with engines as its upstreams.
type fixture struct {
	dispatcher *dispatcher.Dispatcher
	lane       *dispatcher.Lane
	counts     *counts
	requests   atomic.Int32
}

// newFixture returns a fixture whose requests go to its engines in turn.
func newFixture(t *testing.T, engines ...engine) *fixture {
	t.Helper()
	return newFixtureWithPolicy(t, chooser.RoundRobin{}, engines...)
}

func newFixtureWithPolicy(t *testing.T, policy chooser.Policy, engines ...engine) *fixture {
	t.Helper()
	return newFixtureWithOptions(t, nopObserver{}, []dispatcher.Option{dispatcher.WithPolicy(policy)}, engines...)
}

func newFixtureWithOptions(
	t *testing.T, isolator dispatcher.Isolator, options []dispatcher.Option, engines ...engine,
) *fixture {
	t.Helper()
	f := &fixture{counts: &counts{sums: map[string]int{}}, lane: dispatcher.NewLane("model", time.Now)}
	var upstreams []*chooser.Upstream
	for n, answer := range engines {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
			answer(w, r, r.Header.Get(upstream.HeaderRequestID))
		}))
		t.Cleanup(server.Close)
		upstreams = append(upstreams, chooser.NewUpstream(fmt.Sprint("engine-", n), server.Listener.Addr().String(), 8,
			&gauger.Gauge{}, chooser.WithLocation("domain", "region", chooser.TierDomain)))
	}
	f.lane.SetPool(chooser.NewPool(upstreams))
	r := relayer.New(nil)
	t.Cleanup(r.CloseIdle)
	f.dispatcher = dispatcher.New(r, nopObserver{}, isolator, linkmeter.New(f.counts), f.counts, quarantiner.New(),
		options...)
	return f
}

// send sends a request and returns the text of its answer, which is truncated if there
// is an error.
func (f *fixture) send(ctx context.Context) (string, error) {
	n := f.requests.Add(1)
	response, rejected := f.dispatcher.Open(ctx, f.lane, dispatcher.Request{
		ID: fmt.Sprint("request-", n), Caller: "clerks", Weight: 1, Path: upstream.PathChat, Body: []byte("{}"),
		Deadline: time.Now().Add(30 * time.Second), Fingerprint: quarantiner.Fingerprint(n),
	})
	if rejected != nil {
		return "", rejected
	}
	defer response.Close()
	text := ""
	for {
		data, err := response.Next()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += string(data)
	}
}

// expectIdle waits until all attempts have ended and checks that no gauge counts an
// online request.
func (f *fixture) expectIdle(t *testing.T) {
	t.Helper()
	f.dispatcher.Wait()
	for u := range f.lane.Pool().All {
		qt.Check(t, u.Gauge().Online(), qt.Equals, 0, qt.Commentf("%s", u.ID()))
	}
}

func event(w http.ResponseWriter, id, text string) {
	_, _ = fmt.Fprintf(w, `data: {"id":%q,"by":%q}`+"\n\n", id, text)
	_ = http.NewResponseController(w).Flush()
}

// completing returns an engine that answers with two events and the end marker.
func completing(name string) engine {
	return func(w http.ResponseWriter, _ *http.Request, id string) {
		event(w, id, name)
		event(w, id, name)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

func rejecting(w http.ResponseWriter, _ *http.Request, _ string) {
	w.Header().Set(upstream.HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func failing(w http.ResponseWriter, _ *http.Request, _ string) {
	w.WriteHeader(http.StatusInternalServerError)
}

func crashing(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) }

// crashingWhileRunning sends the header of its answer before it crashes.
func crashingWhileRunning(w http.ResponseWriter, _ *http.Request, _ string) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// truncating sends one event and breaks the connection.
func truncating(w http.ResponseWriter, _ *http.Request, id string) {
	event(w, id, "cut")
	panic(http.ErrAbortHandler)
}

func TestFailureBeforeTheFirstEventIsRetriedElsewhere(t *testing.T) {
	for name, bad := range map[string]engine{"refused": rejecting, "crashed": crashing} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, bad, completing("good"))
			// The order in which the upstreams are tried may spare the bad one at first,
			// so requests are sent until one has been retried.
			for n := 0; n < 6 || f.counts.get("retries_total") == 0; n++ {
				qt.Assert(t, n < 200, qt.IsTrue, qt.Commentf("no attempt was retried"))
				text, err := f.send(t.Context())
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, text, qt.Matches, `(\{"id":"request-[0-9]+-[0-9]","by":"good"\}){2}`)
			}
			f.expectIdle(t)
		})
	}
}

// A failure after the first event is returned as an error: the events of a second attempt
// must not follow those of the first.
func TestFailureAfterTheFirstEventIsNotRetried(t *testing.T) {
	f := newFixture(t, truncating, truncating)
	text, err := f.send(t.Context())
	qt.Check(t, err, qt.ErrorIs, relayer.ErrTruncated)
	qt.Check(t, text, qt.Matches, `\{"id":"request-1-1","by":"cut"\}`)
	qt.Check(t, f.counts.get("retries_total"), qt.Equals, 0)
	f.expectIdle(t)
}

// Once an engine stalls before its first event, a hedge on the other engine answers, and
// no event of the abandoned attempt gets into the answer.
func TestHedgeOvertakesStalledAttempt(t *testing.T) {
	stalled := make(chan struct{})
	var stalls atomic.Bool
	late := func(w http.ResponseWriter, r *http.Request, id string) {
		if stalls.Load() {
			select {
			case <-stalled:
			case <-r.Context().Done():
			}
		}
		completing("late")(w, r, id)
	}
	f := newFixture(t, late, completing("good"))
	for range 40 { // establishes the usual time to the first token
		_, err := f.send(t.Context())
		qt.Assert(t, err, qt.IsNil)
	}
	stalls.Store(true)
	for range 4 {
		text, err := f.send(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, text, qt.Matches, `(\{"id":"request-[0-9]+-[0-9]","by":"good"\}){2}`)
	}
	qt.Check(t, f.counts.get("hedges_total") > 0, qt.IsTrue)
	close(stalled)
	f.expectIdle(t)
}

// A crash makes the request a suspect. Its retry waits while isolation is denied, instead
// of being rejected.
func TestSuspectWaitsUntilItCanBeIsolated(t *testing.T) {
	const denials = 30
	isolator := &denyingIsolator{}
	isolator.denials.Store(denials)
	// Without hedges, as one that meets the crash makes a suspect of a request that is answered all the
	// same. The next request is no suspect then: the upstream was down when it came.
	f := newFixtureWithOptions(t, isolator, []dispatcher.Option{
		dispatcher.WithPolicy(chooser.RoundRobin{}), dispatcher.WithHedging(false),
	}, crashing, completing("good"))
	for f.counts.get("retries_total") == 0 { // until a request has reached the crashing engine
		text, err := f.send(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, text, qt.Matches, `(\{"id":"request-[0-9]+-[0-9]","by":"good"\}){2}`)
	}
	qt.Check(t, isolator.denials.Load() < 0, qt.IsTrue)
	f.expectIdle(t)
}

// If the caller cancels, the engine's request is canceled too.
func TestCancelEndsTheAttempt(t *testing.T) {
	started := make(chan struct{}, 1)
	ended := make(chan struct{})
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request, _ string) {
		started <- struct{}{}
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() {
		_, err := f.send(ctx)
		qt.Check(t, err, qt.ErrorIs, context.Canceled)
	})
	<-started
	cancel()
	group.Wait()
	<-ended
	f.expectIdle(t)
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	const requests, burst, share = 100, 20, 0.10
	f := newFixtureWithPolicy(t, chooser.Balanced{}, rejecting, rejecting, rejecting)
	for range requests {
		_, err := f.send(t.Context())
		qt.Assert(t, err, qt.IsNotNil)
	}
	retries := f.counts.get("retries_total")
	qt.Check(t, retries >= burst, qt.IsTrue, qt.Commentf("%d", retries))
	qt.Check(t, retries <= burst+share*requests, qt.IsTrue, qt.Commentf("%d", retries))
	f.expectIdle(t)
}

func TestRejectionReportsWhetherTheRequestRan(t *testing.T) {
	tests := map[string]struct {
		answer   engine
		reason   dispatcher.Reason
		ran      relayer.Ran
		mayRetry bool
	}{
		"refused before it ran": {rejecting, dispatcher.ReasonFailed, relayer.RanNot, true},
		"failed":                {failing, dispatcher.ReasonFailed, relayer.RanFailed, true},
		"broken off":            {crashing, dispatcher.ReasonFailed, relayer.RanMaybe, true},
		"crashed each engine":   {crashingWhileRunning, dispatcher.ReasonTooManyCrashes, relayer.RanFailed, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWithPolicy(t, chooser.Balanced{}, test.answer, test.answer)
			_, err := f.send(t.Context())
			var rejected *dispatcher.RejectedError
			qt.Assert(t, errors.As(err, &rejected), qt.IsTrue)
			qt.Check(t, rejected.Reason(), qt.Equals, test.reason)
			qt.Check(t, rejected.Ran(), qt.Equals, test.ran)
			qt.Check(t, !rejected.RetryAt().IsZero(), qt.Equals, test.mayRetry)
			f.expectIdle(t)
		})
	}
}
