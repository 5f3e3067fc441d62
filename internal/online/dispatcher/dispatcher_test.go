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

// counts counts events by name.
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

// bystander hears of everything and isolates every suspect.
type bystander struct{}

func (bystander) OnlineChanged(*chooser.Upstream, bool)   {}
func (bystander) StrikeRecorded(quarantiner.Strike)       {}
func (bystander) DrainingSeen(*chooser.Upstream)          {}
func (bystander) SlownessSeen(*chooser.Upstream, float64) {}
func (bystander) Isolate(context.Context, *chooser.Upstream, quarantiner.Fingerprint) (func(), bool) {
	return func() {}, true
}

// busyIsolator has no upstream free for a suspect for so many looks.
type busyIsolator struct {
	looks atomic.Int32
}

func (i *busyIsolator) Isolate(context.Context, *chooser.Upstream, quarantiner.Fingerprint) (func(), bool) {
	return func() {}, i.looks.Add(-1) < 0
}

// engine answers an attempt in its own way.
type engine func(w http.ResponseWriter, r *http.Request, id string)

// bench is a dispatcher in front of engines.
type bench struct {
	dispatcher *dispatcher.Dispatcher
	lane       *dispatcher.Lane
	counts     *counts
	requests   atomic.Int32
}

// newBench returns a bench whose requests go to its engines in turn.
func newBench(t *testing.T, engines ...engine) *bench {
	t.Helper()
	return newBenchWith(t, chooser.RoundRobin{}, engines...)
}

func newBenchWith(t *testing.T, policy chooser.Policy, engines ...engine) *bench {
	t.Helper()
	return newIsolatedBench(t, policy, bystander{}, engines...)
}

func newIsolatedBench(t *testing.T, policy chooser.Policy, isolator dispatcher.Isolator, engines ...engine) *bench {
	t.Helper()
	b := &bench{counts: &counts{sums: map[string]int{}}, lane: dispatcher.NewLane("model", time.Now)}
	var upstreams []*chooser.Upstream
	for n, answer := range engines {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			answer(w, r, r.Header.Get(upstream.HeaderRequestID))
		}))
		t.Cleanup(server.Close)
		upstreams = append(upstreams, chooser.NewUpstream(fmt.Sprint("engine-", n), server.Listener.Addr().String(), 8,
			&gauger.Gauge{}, chooser.WithLocation("domain", "region", chooser.TierDomain)))
	}
	b.lane.SetPool(chooser.NewPool(upstreams))
	r := relayer.New(nil)
	t.Cleanup(r.Close)
	b.dispatcher = dispatcher.New(r, bystander{}, isolator, linkmeter.New(b.counts), b.counts, quarantiner.New(),
		dispatcher.WithPolicy(policy))
	return b
}

// send sends a request and returns its whole answer.
func (b *bench) send(ctx context.Context) (string, error) {
	n := b.requests.Add(1)
	response, refused := b.dispatcher.Open(ctx, b.lane, dispatcher.Request{
		ID: fmt.Sprint("request-", n), Caller: "clerks", Weight: 1, Path: upstream.PathChat, Body: []byte("{}"),
		Deadline: time.Now().Add(30 * time.Second), Fingerprint: quarantiner.Fingerprint(n),
	})
	if refused != nil {
		return "", refused
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

// expectIdle waits until no attempt is left and checks that nothing is counted
// as running.
func (b *bench) expectIdle(t *testing.T) {
	t.Helper()
	b.dispatcher.Wait()
	for u := range b.lane.Pool().All {
		qt.Check(t, u.Gauge().Online(), qt.Equals, 0, qt.Commentf("%s", u.ID()))
	}
}

func event(w http.ResponseWriter, id, text string) {
	_, _ = fmt.Fprintf(w, `data: {"id":%q,"by":%q}`+"\n\n", id, text)
	_ = http.NewResponseController(w).Flush()
}

// whole answers with two events and the end mark.
func whole(name string) engine {
	return func(w http.ResponseWriter, _ *http.Request, id string) {
		event(w, id, name)
		event(w, id, name)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

func refusing(w http.ResponseWriter, _ *http.Request, _ string) {
	w.Header().Set(upstream.HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func failing(w http.ResponseWriter, _ *http.Request, _ string) {
	w.WriteHeader(http.StatusInternalServerError)
}

func crashing(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) }

// crashingWhileRunning begins its answer before it crashes.
func crashingWhileRunning(w http.ResponseWriter, _ *http.Request, _ string) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// cutAfterFirst answers one event and breaks the connection.
func cutAfterFirst(w http.ResponseWriter, _ *http.Request, id string) {
	event(w, id, "cut")
	panic(http.ErrAbortHandler)
}

func TestFailureBeforeTheFirstEventIsRetriedElsewhere(t *testing.T) {
	for name, bad := range map[string]engine{"refused": refusing, "crashed": crashing} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, bad, whole("good"))
			// Ties between upstreams are drawn, so it takes a few sends until the bad
			// one has had its turn.
			for n := 0; n < 6 || b.counts.get("retries_total") == 0; n++ {
				qt.Assert(t, n < 200, qt.IsTrue, qt.Commentf("no attempt was ever retried"))
				text, err := b.send(t.Context())
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, text, qt.Matches, `(\{"id":"request-[0-9]+-[0-9]","by":"good"\}){2}`)
			}
			b.expectIdle(t)
		})
	}
}

func TestNoRetryIsSplicedOnToABegunAnswer(t *testing.T) {
	b := newBench(t, cutAfterFirst, cutAfterFirst)
	text, err := b.send(t.Context())
	qt.Check(t, err, qt.ErrorIs, relayer.ErrTruncated)
	qt.Check(t, text, qt.Matches, `\{"id":"request-1-1","by":"cut"\}`)
	qt.Check(t, b.counts.get("retries_total"), qt.Equals, 0)
	b.expectIdle(t)
}

func TestHedgeOvertakesAndTheLoserIsNotHeard(t *testing.T) {
	stalled := make(chan struct{})
	var stalls atomic.Bool
	late := func(w http.ResponseWriter, r *http.Request, id string) {
		if stalls.Load() {
			select {
			case <-stalled:
			case <-r.Context().Done():
			}
		}
		whole("late")(w, r, id)
	}
	b := newBench(t, late, whole("good"))
	for range 40 { // learns what is usual
		_, err := b.send(t.Context())
		qt.Assert(t, err, qt.IsNil)
	}
	stalls.Store(true)
	for range 4 {
		text, err := b.send(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, text, qt.Matches, `(\{"id":"request-[0-9]+-[0-9]","by":"good"\}){2}`)
	}
	qt.Check(t, b.counts.get("hedges_total") > 0, qt.IsTrue)
	close(stalled)
	b.expectIdle(t)
}

func TestSuspectWaitsUntilItCanBeIsolated(t *testing.T) {
	const denials = 30
	isolator := &busyIsolator{}
	isolator.looks.Store(denials)
	b := newIsolatedBench(t, chooser.RoundRobin{}, isolator, crashing, whole("good"))
	for b.counts.get("retries_total") == 0 { // until one has met the engine that crashes
		text, err := b.send(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, text, qt.Matches, `(\{"id":"request-[0-9]+-[0-9]","by":"good"\}){2}`)
	}
	qt.Check(t, isolator.looks.Load() < 0, qt.IsTrue)
	b.expectIdle(t)
}

func TestCallerThatLeavesEndsItsAttempt(t *testing.T) {
	begun := make(chan struct{}, 1)
	ended := make(chan struct{})
	b := newBench(t, func(_ http.ResponseWriter, r *http.Request, _ string) {
		begun <- struct{}{}
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() {
		_, err := b.send(ctx)
		qt.Check(t, err, qt.ErrorIs, context.Canceled)
	})
	<-begun
	cancel()
	group.Wait()
	<-ended
	b.expectIdle(t)
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	const requests, burst, share = 100, 20, 0.10
	b := newBenchWith(t, chooser.Balanced{}, refusing, refusing, refusing)
	for range requests {
		_, err := b.send(t.Context())
		qt.Assert(t, err, qt.IsNotNil)
	}
	retries := b.counts.get("retries_total")
	qt.Check(t, retries >= burst, qt.IsTrue, qt.Commentf("%d", retries))
	qt.Check(t, retries <= burst+share*requests, qt.IsTrue, qt.Commentf("%d", retries))
	b.expectIdle(t)
}

func TestFinalAnswerTellsWhetherTheRequestRan(t *testing.T) {
	tests := map[string]struct {
		answer    engine
		reason    dispatcher.Reason
		ran       relayer.Ran
		comeAgain bool
	}{
		"refused before it ran": {refusing, dispatcher.ReasonFailed, relayer.RanNot, true},
		"failed":                {failing, dispatcher.ReasonFailed, relayer.RanFailed, true},
		"broken off":            {crashing, dispatcher.ReasonFailed, relayer.RanMaybe, true},
		"crashed each engine":   {crashingWhileRunning, dispatcher.ReasonTooManyCrashes, relayer.RanFailed, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBenchWith(t, chooser.Balanced{}, test.answer, test.answer)
			_, err := b.send(t.Context())
			var refused *dispatcher.RejectedError
			qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
			qt.Check(t, refused.Reason(), qt.Equals, test.reason)
			qt.Check(t, refused.Ran(), qt.Equals, test.ran)
			qt.Check(t, !refused.RetryAt().IsZero(), qt.Equals, test.comeAgain)
			b.expectIdle(t)
		})
	}
}
