package itemrunner_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/itemrunner"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobrunner"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/gauger"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// observer is an itemrunner.Observer and Isolator that ignores events and always isolates.
type observer struct{}

func (observer) FirstToken(jobrunner.RunID)        {}
func (observer) StrikeRecorded(quarantiner.Strike) {}
func (observer) DrainingSeen(*chooser.Upstream)    {}

func (observer) Isolate(context.Context, *chooser.Upstream, quarantiner.Fingerprint) (release func(), granted bool) {
	return func() {}, true
}

// engine breaks off each stream after its head; if it is down, it breaks off all else too.
type engine struct{ down atomic.Bool }

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == upstream.PathLoad && !e.down.Load() {
		_, _ = io.WriteString(w, "{}")
		return
	}
	if r.URL.Path != upstream.PathLoad {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}

// expectOutcome runs an item several times on an engine that breaks off each run.
func expectOutcome(t *testing.T, down bool, want jobrunner.Outcome) {
	t.Helper()
	e := &engine{}
	e.down.Store(down)
	server := httptest.NewServer(e)
	defer server.Close()
	sender := relayer.New((&net.Dialer{}).DialContext)
	defer sender.CloseIdle()
	target := chooser.NewUpstream("engine", server.Listener.Addr().String(), 8, &gauger.Gauge{})
	runner := itemrunner.New("vm", sender, observer{}, observer{}, quarantiner.New())
	for run := range 2 * quarantiner.MaxStrikes {
		result := runner.Run(t.Context(), jobrunner.Start{
			Run: jobrunner.RunID(run), Job: jobkeeper.JobRow{ID: "job", Model: "m"},
			Item: jobkeeper.Item{CustomID: "item", URL: "/v1/chat/completions", Body: []byte(`{"model":"m","prompt":"p"}`)},
		}, target, func(string) *chooser.Upstream { return nil })
		qt.Check(t, result.Outcome, qt.Equals, want, qt.Commentf("%s", fmt.Sprint(result.Result.Error)))
	}
}

// Guards against: an item is never run again because engines crashed while they ran it,
// alone or not.
func TestItemUnderWhichEnginesCrashedIsInterrupted(t *testing.T) {
	expectOutcome(t, true, jobrunner.OutcomeInterrupted)
}

// Guards against: an item that an engine breaks off each time, without crashing, is run
// without end.
func TestItemThatAnEngineBreaksOffFails(t *testing.T) {
	expectOutcome(t, false, jobrunner.OutcomeFailed)
}
