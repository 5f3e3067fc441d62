package jobmover_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
)

// taker takes jobs if it may.
type taker struct {
	may   bool
	taken []jobmover.Job
}

func (k *taker) Take(_ context.Context, job jobmover.Job) bool {
	if k.may {
		k.taken = append(k.taken, job)
	}
	return k.may
}

func newMover() *jobmover.Mover {
	return jobmover.New(&http.Transport{DisableKeepAlives: true}, slog.New(slog.DiscardHandler))
}

var job = jobmover.Job{
	Record:   batchkeeper.Record{ID: "j", Route: "r", Items: 3, Results: 1, Owner: batchkeeper.Owner{VM: "a", Boot: 7}},
	Version:  9,
	Items:    []batchkeeper.Item{{ID: "i0", Body: []byte("b")}, {ID: "i1"}, {ID: "i2"}},
	Ended:    []int{0, 2},
	Progress: map[int]batchkeeper.Progress{1: {LastEvent: "4", Output: []byte("so far")}},
	Outbox:   []batchkeeper.Result{{Item: "i2", Done: true, Output: []byte("all")}},
	Clock:    time.Hour, Age: time.Second,
}

// expectMove hands the job to a VM that answers in some way.
func expectMove(t *testing.T, handler http.Handler, want error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	m := newMover()
	m.SetPeers(map[string]string{"b": strings.TrimPrefix(server.URL, "http://")})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	qt.Check(t, m.Move(ctx, "b", job), qt.ErrorIs, want)
}

func handlerOf(k *taker) http.Handler {
	m := newMover()
	m.SetReceiver(k)
	return m
}

func TestAJobArrivesAsItWas(t *testing.T) {
	k := &taker{may: true}
	expectMove(t, handlerOf(k), nil)
	qt.Check(t, k.taken, qt.DeepEquals, []jobmover.Job{job})
}

func TestAJobThatIsNotTakenMayGoElsewhere(t *testing.T) {
	expectMove(t, handlerOf(&taker{}), jobmover.ErrNotTaken)
}

// A VM that dies while it takes a job over may have begun to run it.
func TestALostAnswerIsNoRefusal(t *testing.T) {
	expectMove(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}), jobmover.ErrUnknown)
}

func TestAVMThatIsGoneHasTakenNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listener.Close(), qt.IsNil)
	m := newMover()
	m.SetPeers(map[string]string{"b": listener.Addr().String()})
	qt.Check(t, m.Move(t.Context(), "b", job), qt.ErrorIs, jobmover.ErrNotTaken)
	qt.Check(t, m.Move(t.Context(), "unknown", job), qt.ErrorIs, jobmover.ErrNotTaken)
}

func TestBytesThatAreNoJobAreRefused(t *testing.T) {
	k := &taker{may: true}
	answer := httptest.NewRecorder()
	handlerOf(k).ServeHTTP(answer, httptest.NewRequest(http.MethodPost, jobmover.Path, strings.NewReader("no job")))
	qt.Check(t, answer.Code, qt.Equals, http.StatusBadRequest)
	qt.Check(t, k.taken, qt.HasLen, 0)
}
