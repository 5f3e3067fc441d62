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
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// fakeReceiver takes over all jobs or none, and keeps those that it took over.
type fakeReceiver struct {
	accepts  bool
	received []jobmover.Job
}

func (receiver *fakeReceiver) TakeOver(_ context.Context, job jobmover.Job) bool {
	if receiver.accepts {
		receiver.received = append(receiver.received, job)
	}
	return receiver.accepts
}

func newMover(options ...jobmover.Option) *jobmover.Mover {
	return jobmover.New(&http.Transport{DisableKeepAlives: true}, slog.New(slog.DiscardHandler), options...)
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

// expectMove sends the job to a VM whose requests the handler serves, and checks the
// error.
func expectMove(t *testing.T, handler http.Handler, want error) {
	t.Helper()
	expectMoveOf(t, job, handler, want)
}

// expectMoveOf is expectMove with another job.
func expectMoveOf(t *testing.T, job jobmover.Job, handler http.Handler, want error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	m := newMover()
	m.SetPeers(map[string]string{"b": strings.TrimPrefix(server.URL, "http://")})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	qt.Check(t, m.Move(ctx, "b", job), qt.ErrorIs, want)
}

func handlerOf(receiver *fakeReceiver) http.Handler {
	m := newMover()
	m.SetReceiver(receiver)
	return m
}

func TestMoveTransfersTheCompleteJob(t *testing.T) {
	receiver := &fakeReceiver{accepts: true}
	expectMove(t, handlerOf(receiver), nil)
	qt.Check(t, receiver.received, qt.DeepEquals, []jobmover.Job{job})
}

// Guards against: a VM of a release that took any bytes for the id of an event can't hand over a job, as one text of it is no
// UTF-8.
func TestWrongBytesInTheProgressOfAnItemDoNotStopAHandover(t *testing.T) {
	receiver := &fakeReceiver{accepts: true}
	odd := job
	odd.Progress = map[int]batchkeeper.Progress{1: {LastEvent: "\x8e\xa7", Output: []byte("wrong")}}
	expectMoveOf(t, odd, handlerOf(receiver), nil)
	qt.Check(t, receiver.received, qt.DeepEquals, []jobmover.Job{odd})
}

func TestRejectedJobIsNotTakenOver(t *testing.T) {
	expectMove(t, handlerOf(&fakeReceiver{}), jobmover.ErrNotTakenOver)
}

// Guards against: a job stays with a VM that shuts down, as a VM of another fleet has rejected it.
func TestJobThatAnotherFleetRejectsIsNotTakenOver(t *testing.T) {
	for _, status := range []int{http.StatusMisdirectedRequest, http.StatusServiceUnavailable} {
		expectMove(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }),
			jobmover.ErrNotTakenOver)
	}
}

// Guards against a job that runs on two VMs: one that crashes during a transfer may
// have started the job, so the sender must not offer it to another one.
func TestLostResponseLeavesTheOutcomeUnknown(t *testing.T) {
	expectMove(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}), jobmover.ErrInDoubt)
}

func TestUnreachableVMHasNotTakenOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listener.Close(), qt.IsNil)
	m := newMover()
	m.SetPeers(map[string]string{"b": listener.Addr().String()})
	qt.Check(t, m.Move(t.Context(), "b", job), qt.ErrorIs, jobmover.ErrNotTakenOver)
	qt.Check(t, m.Move(t.Context(), "unknown", job), qt.ErrorIs, jobmover.ErrNotTakenOver)
}

// Guards against: jobs of VMs that shut down at the same time take more than the VM's memory together.
func TestJobWithoutMemoryIsNotTakenOver(t *testing.T) {
	receiver := &fakeReceiver{accepts: true}
	m := newMover(jobmover.WithMemory(rationer.New(10)))
	m.SetReceiver(receiver)
	expectMove(t, m, jobmover.ErrNotTakenOver)
	qt.Check(t, receiver.received, qt.HasLen, 0)
}

func TestInvalidBodyIsRejected(t *testing.T) {
	receiver := &fakeReceiver{accepts: true}
	response := httptest.NewRecorder()
	handlerOf(receiver).ServeHTTP(response,
		httptest.NewRequest(http.MethodPost, jobmover.Path, strings.NewReader("no job")))
	qt.Check(t, response.Code, qt.Equals, http.StatusBadRequest)
	qt.Check(t, receiver.received, qt.HasLen, 0)
}
