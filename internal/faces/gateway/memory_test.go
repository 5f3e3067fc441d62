package gateway_test

import (
	"bytes"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// Guards against: long events of many streams that take more than the VM's memory together.
func TestLongEventsStayWithinTheMemoryBudget(t *testing.T) {
	const availableBytes = 100 << 10
	expectDelivered := func(t *testing.T, plan standin.Plan, want bool) {
		t.Helper()
		withVM(t, plans(plan), func(v *vm) {
			reserved := v.memory.NewReservation()
			qt.Assert(v.t, reserved.Grow(v.memory.Available()-availableBytes), qt.IsTrue)
			status, _, complete := v.call("/stream/x", longDeadline)
			qt.Check(v.t, complete && status == http.StatusOK, qt.Equals, want)
			qt.Check(v.t, v.memory.Available(), qt.Equals, int64(availableBytes))
		})
	}
	t.Run("short events", func(t *testing.T) { expectDelivered(t, paced, true) })
	t.Run("long events that fit", func(t *testing.T) {
		expectDelivered(t, standin.Plan{Events: 3, CommentBytes: 20 << 10}, true)
	})
	t.Run("long events that don't fit", func(t *testing.T) {
		expectDelivered(t, standin.Plan{Events: 3, CommentBytes: 500 << 10}, false)
	})
}

// maxBufferedBytes bounds what a VM, its upstream and its caller have in their buffers of an answer that the
// caller doesn't read.
const maxBufferedBytes = 128 << 10

// endless answers with a status and bytes without end, and counts those that were taken.
func endless(status int, repeated string, written *atomic.Int64) http.HandlerFunc {
	chunk := bytes.Repeat([]byte(repeated), 1<<10)
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(status)
		for err := error(nil); err == nil; {
			var n int
			n, err = w.Write(chunk)
			written.Add(int64(n))
		}
	}
}

// withEndless runs a test on a gateway all of whose upstreams send without end.
func withEndless(t *testing.T, upstreams, status int, repeated string, test func(v *vm, written *atomic.Int64)) {
	t.Helper()
	withVM(t, make([]standin.Plan, upstreams), func(v *vm) {
		var written atomic.Int64
		for n := range upstreams {
			defer v.network.Serve(fmt.Sprintf("u%d:1", n), endless(status, repeated, &written))()
		}
		available := v.memory.Available()
		test(v, &written)
		synctest.Wait()
		qt.Check(v.t, v.memory.Available(), qt.Equals, available)
	})
}

// Guards against: an answer without end, which is kept while its caller doesn't read it.
func TestEndlessAnswersHoldNoMoreThanTheirBuffers(t *testing.T) {
	const answers = 4
	t.Run("to callers that don't read", func(t *testing.T) {
		withEndless(t, answers, http.StatusOK, "more and more", func(v *vm, written *atomic.Int64) {
			for range answers {
				request, err := standin.NewRequest(http.MethodPost, "http://vm:1/safe/x", "h", "id", longDeadline)
				qt.Assert(v.t, err, qt.IsNil)
				response, err := v.client.Do(request)
				qt.Assert(v.t, err, qt.IsNil)
				defer func() { _ = response.Body.Close() }()
			}
			synctest.Wait()
			qt.Check(v.t, written.Load() <= answers*maxBufferedBytes, qt.IsTrue, qt.Commentf("%d bytes were taken", written.Load()))
			v.client.CloseIdleConnections()
		})
	})
	t.Run("that are failures", func(t *testing.T) {
		withEndless(t, 2, http.StatusInternalServerError, "more and more", func(v *vm, written *atomic.Int64) {
			request, err := standin.NewRequest(http.MethodPost, "http://vm:1/safe/x", "h", "id", longDeadline)
			qt.Assert(v.t, err, qt.IsNil)
			response, err := v.client.Do(request)
			qt.Assert(v.t, err, qt.IsNil)
			qt.Check(v.t, response.StatusCode, qt.Equals, http.StatusInternalServerError)
			synctest.Wait()
			qt.Check(v.t, written.Load() <= 2*maxBufferedBytes, qt.IsTrue, qt.Commentf("%d bytes were taken", written.Load()))
			_ = response.Body.Close()
		})
	})
	t.Run("that are one event", func(t *testing.T) {
		withEndless(t, 1, http.StatusOK, "data: more and more\n", func(v *vm, written *atomic.Int64) {
			status, _, complete := v.call("/stream/x", longDeadline)
			qt.Check(v.t, complete && status == http.StatusOK, qt.IsFalse)
			qt.Check(v.t, written.Load() <= 1<<20+maxBufferedBytes, qt.IsTrue, qt.Commentf("%d bytes were taken", written.Load()))
		})
	})
}
