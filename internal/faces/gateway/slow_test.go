package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// unreadTimeout is how long an upstream of the tests waits for its answer to be read.
const unreadTimeout = 2 * time.Second

// cutting answers with events after the one that the request names, and breaks off once one is not read for unreadTimeout.
func cutting(contentType string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Content-Type", contentType)
		control := http.NewResponseController(w)
		for n := standin.LastEventOf(r) + 1; n <= 1000; n++ {
			_ = control.SetWriteDeadline(time.Now().Add(unreadTimeout))
			_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 1000))
			if err != nil || control.Flush() != nil {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// Guards against: an upstream that broke off its answer because the caller didn't read it is avoided as one that
// fails, or the request is taken for one that crashes upstreams.
func TestUpstreamIsNotBlamedForASlowCaller(t *testing.T) {
	expectBlamed := func(t *testing.T, path, contentType string, readAfter time.Duration, want int) {
		t.Helper()
		withVM(t, nil, func(v *vm) {
			defer v.network.Serve("u:1", cutting(contentType))()
			v.placer.SetUpstreams([]placer.Upstream{{ID: "u", Service: "s", Address: "u:1", Domain: "d", Sequences: 4}})
			v.gateway.SetTable(tableWithoutTimeouts())
			request, err := standin.NewRequest(http.MethodPost, "http://vm:1"+path, "h", "id", 0)
			qt.Assert(v.t, err, qt.IsNil)
			response, err := v.client.Do(request)
			qt.Assert(v.t, err, qt.IsNil)
			time.Sleep(readAfter)
			for buffer := make([]byte, 4<<10); err == nil; {
				_, err = response.Body.Read(buffer)
			}
			_ = response.Body.Close()
			synctest.Wait()
			qt.Check(v.t, v.placer.Failing(time.Now()), qt.HasLen, want)
		})
	}
	const events, plain = "text/event-stream", "text/plain"
	t.Run("stream", func(t *testing.T) { expectBlamed(t, "/stream/x", events, 2*unreadTimeout, 0) })
	t.Run("stream that may be resumed", func(t *testing.T) { expectBlamed(t, "/resume/x", events, 2*unreadTimeout, 0) })
	t.Run("plain answer", func(t *testing.T) { expectBlamed(t, "/safe/x", plain, 2*unreadTimeout, 0) })
	t.Run("caller that reads", func(t *testing.T) { expectBlamed(t, "/stream/x", events, 0, 0) })
}

// Guards against: an upstream that breaks off by itself is excused.
func TestUpstreamThatBreaksOffIsBlamed(t *testing.T) {
	withVM(t, plans(standin.Plan{Events: 9, BreakAfter: 5}), func(v *vm) {
		_, _, complete := v.call("/stream/x", longDeadline)
		qt.Check(v.t, complete, qt.IsFalse)
		qt.Check(v.t, v.placer.Failing(time.Now()), qt.HasLen, 1)
	})
}
