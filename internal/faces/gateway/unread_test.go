package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// Guards against: a request whose upstream stops reading its body waits for that upstream until its deadline,
// though another one is free.
func TestRequestLeavesAnUpstreamThatDoesNotReadIt(t *testing.T) {
	expectAnswer := func(t *testing.T, path string, bodyBytes, wantStatus int) {
		t.Helper()
		withVM(t, plans(healthy), func(v *vm) {
			ended := make(chan struct{})
			unread := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ended })
			defer v.network.Serve("unread:1", unread)()
			defer func() {
				close(ended)
				time.Sleep(time.Second) // until the server has closed its connection
			}()
			v.placer.SetUpstreams([]placer.Upstream{{ID: "unread", Service: "s", Address: "unread:1", Domain: "d", Sequences: 4}})
			request, err := standin.NewRequest(http.MethodPost, "http://vm:1"+path, "h", "id", 1200*time.Millisecond)
			qt.Assert(v.t, err, qt.IsNil)
			request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, bodyBytes))), int64(bodyBytes)
			time.AfterFunc(100*time.Millisecond, func() {
				v.placer.SetUpstreams([]placer.Upstream{
					{ID: "unread", Service: "s", Address: "unread:1", Domain: "d", Sequences: 4},
					{ID: "u0", Service: "s", Address: "u0:1", Domain: "d", Sequences: 4},
				})
			})
			start := time.Now()
			status, _, _ := v.send(request)
			qt.Check(v.t, status, qt.Equals, wantStatus)
			qt.Check(v.t, time.Since(start) <= 1200*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(start)))
			time.Sleep(longDeadline) // what is left of the body is given up
			qt.Check(v.t, v.memory.Available(), qt.Equals, int64(64<<20))
		})
	}
	t.Run("long body, repeatable", func(t *testing.T) { expectAnswer(t, "/safe/x", 1<<20, http.StatusOK) })
	t.Run("body of a few kilobytes, repeatable", func(t *testing.T) { expectAnswer(t, "/safe/x", 6<<10, http.StatusOK) })
	t.Run("may run once", func(t *testing.T) { expectAnswer(t, "/unsafe/x", 1<<20, http.StatusGatewayTimeout) })
}
