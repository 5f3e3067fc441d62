package dispatcher_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
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
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
)

// fairnessFixture is a dispatcher with emulated engines, which run several sequences in
// parallel, as its upstreams.
type fairnessFixture struct {
	dispatcher *dispatcher.Dispatcher
	lane       *dispatcher.Lane
	counts     *counts
	engines    []*engineemulator.Engine
}

func newFairnessFixture(t *testing.T, engines, sequences int) *fairnessFixture {
	t.Helper()
	f := &fairnessFixture{counts: &counts{sums: map[string]int{}}, lane: dispatcher.NewLane("model", time.Now)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	t.Cleanup(cancel)
	var upstreams []*chooser.Upstream
	for n := range engines {
		e := engineemulator.New(engineemulator.WithStep(time.Millisecond), engineemulator.WithSequences(sequences),
			engineemulator.WithLoaded(upstream.LoadedModel{Name: "model"}))
		f.engines = append(f.engines, e)
		group.Go(func() { e.Run(ctx) })
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		upstreams = append(upstreams, chooser.NewUpstream(fmt.Sprint("engine-", n), server.Listener.Addr().String(),
			sequences, &gauger.Gauge{}, chooser.WithLocation("domain", "region", chooser.TierDomain)))
	}
	f.lane.SetPool(chooser.NewPool(upstreams))
	r := relayer.New(nil)
	t.Cleanup(r.CloseIdle)
	f.dispatcher = dispatcher.New(r, nopObserver{}, nopObserver{}, linkmeter.New(f.counts), f.counts, quarantiner.New(),
		dispatcher.WithHedging(false))
	return f
}

// open opens a request whose answer has the given number of tokens.
func (f *fairnessFixture) open(ctx context.Context, caller, id string, tokens int) (*dispatcher.Response, error) {
	body, err := json.Marshal(upstream.Completion{
		Model: "model", MaxTokens: tokens, Stream: true, Messages: []upstream.Message{{Role: "user", Content: id}},
	})
	if err != nil {
		return nil, err
	}
	response, rejected := f.dispatcher.Open(ctx, f.lane, dispatcher.Request{
		ID: id, Caller: caller, Weight: 1, Path: upstream.PathChat, Body: body,
		Deadline: time.Now().Add(time.Minute), Fingerprint: quarantiner.Fingerprint(len(id)),
	})
	if rejected != nil {
		return nil, rejected
	}
	return response, nil
}

// expectAnswer reads an answer to its end and checks its whole text, and that all events
// have the same identifier.
func expectAnswer(t *testing.T, response *dispatcher.Response, id string, tokens int) {
	t.Helper()
	defer response.Close()
	var text strings.Builder
	ids := map[string]bool{}
	for {
		data, err := response.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if !qt.Check(t, err, qt.IsNil) {
			return
		}
		var chunk upstream.Chunk
		qt.Check(t, json.Unmarshal(data, &chunk), qt.IsNil)
		ids[chunk.ID] = true
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	qt.Check(t, text.String(), qt.Equals, engineemulator.Answer("user: "+id+"\n", tokens))
	qt.Check(t, ids, qt.HasLen, 1)
}

// expectShortAnswerFirst fills the engines with a greedy caller's long answers and checks
// that another caller's short answer is complete before any of them, by one pause and one
// resumption.
func expectShortAnswerFirst(t *testing.T, f *fairnessFixture, greedy int) {
	t.Helper()
	const longTokens, shortTokens = 1000, 5
	var group sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for n := range greedy {
		id := fmt.Sprint("greedy-", n)
		response, err := f.open(t.Context(), "greedy", id, longTokens)
		qt.Assert(t, err, qt.IsNil)
		group.Go(func() {
			expectAnswer(t, response, id, longTokens)
			mu.Lock()
			defer mu.Unlock()
			done++
		})
	}
	response, err := f.open(t.Context(), "modest", "modest", shortTokens)
	qt.Assert(t, err, qt.IsNil)
	expectAnswer(t, response, "modest", shortTokens)
	mu.Lock()
	qt.Check(t, done, qt.Equals, 0)
	mu.Unlock()
	group.Wait()
	f.dispatcher.Wait()
	qt.Check(t, f.counts.get("streams_paused_total"), qt.Equals, 1)
	qt.Check(t, f.counts.get("streams_resumed_total"), qt.Equals, 1)
	for u := range f.lane.Pool().All {
		qt.Check(t, u.Gauge().Online(), qt.Equals, 0, qt.Commentf("%s", u.ID()))
	}
}

// A short request would wait for the end of a long answer if all slots were in use by a
// caller over its share. One of that caller's streams is paused and later resumed, and no
// answer loses or repeats a token.
func TestStreamOfAGreedyCallerIsPausedAndResumed(t *testing.T) {
	t.Run("one engine", func(t *testing.T) { expectShortAnswerFirst(t, newFairnessFixture(t, 1, 6), 6) })
	t.Run("several engines", func(t *testing.T) { expectShortAnswerFirst(t, newFairnessFixture(t, 3, 2), 6) })
}

// A paused stream whose caller cancels is not resumed and leaves no request behind in the
// queue or in a gauge.
func TestPausedStreamEndsWithItsCaller(t *testing.T) {
	const endless = 1_000_000
	f := newFairnessFixture(t, 1, 4)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for n := range 4 {
		response, err := f.open(ctx, "greedy", fmt.Sprint("greedy-", n), endless)
		qt.Assert(t, err, qt.IsNil)
		group.Go(func() {
			defer response.Close()
			for err := error(nil); err == nil; {
				_, err = response.Next()
			}
		})
	}
	modest, err := f.open(t.Context(), "modest", "modest", endless)
	qt.Assert(t, err, qt.IsNil)
	cancel()
	group.Wait()
	modest.Close()
	f.dispatcher.Wait()
	qt.Check(t, f.counts.get("streams_paused_total"), qt.Equals, 1)
	qt.Check(t, f.counts.get("streams_resumed_total"), qt.Equals, 0)
	for u := range f.lane.Pool().All {
		qt.Check(t, u.Gauge().Online(), qt.Equals, 0)
	}
	qt.Check(t, f.lane.Queue().Waiting(), qt.Equals, 0)
}
