package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// expectContinued breaks a stream off after two events at one of two upstreams, and continues it
// at the other one as planned. The caller must get whole events of the stream only, and an
// answer that is complete only if the stream is.
func expectContinued(t *testing.T, second standin.Plan, wantComplete bool) {
	t.Helper()
	const events = 5
	withVM(t, []standin.Plan{{}, {}}, func(v *vm) {
		broken := standin.Plan{Events: events, BreakAfter: 2, Gap: time.Millisecond}
		begun := false
		for _, u := range v.upstreams {
			u.SetPlanFunc(func(*http.Request) standin.Plan {
				if begun {
					return second
				}
				begun = true
				return broken
			})
		}
		_, body, complete := v.call("/resume/x", time.Second)
		qt.Check(v.t, complete, qt.Equals, wantComplete)
		want := ""
		for n := 1; n <= events; n++ {
			want += standin.EventText("id", n)
		}
		qt.Check(v.t, strings.HasPrefix(want, body), qt.IsTrue, qt.Commentf("%q", body))
		qt.Check(v.t, body == want, qt.Equals, wantComplete)
	})
}

// Guards against: a stream has begun and breaks off, the next upstream answers with an
// error, and its text stands in the middle of the stream, or the stream seems complete.
func TestErrorOfTheNextUpstreamIsNotPartOfTheStream(t *testing.T) {
	t.Run("it goes on", func(t *testing.T) { expectContinued(t, standin.Plan{Events: 5}, true) })
	for _, status := range []int{302, 400, 404, 409, 422, 429, 500, 502, 503, 504} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			expectContinued(t, standin.Plan{Status: status, Body: "id: 3\ndata: an error\n\n"}, false)
		})
	}
	t.Run("a success that is no stream", func(t *testing.T) {
		expectContinued(t, standin.Plan{Body: `{"error":"overloaded"}`}, false)
	})
	t.Run("a success that is no stream, with an empty line", func(t *testing.T) {
		expectContinued(t, standin.Plan{Body: "<html>overloaded</html>\n\n"}, false)
	})
	t.Run("an empty success that is no stream", func(t *testing.T) { expectContinued(t, standin.Plan{}, false) })
}
