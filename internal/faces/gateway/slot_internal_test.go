package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/router"
)

// Guards against: a stream that has begun and needs another attempt is cut at once when no upstream could start a new
// request before the deadline. It can't be rejected any more, so it waits for what room there is.
func TestBegunStreamIsNotRejectedForLackOfRoom(t *testing.T) {
	expect := func(headSent bool, want time.Time) {
		t.Helper()
		x := &exchange{request: Request{Deadline: time.Unix(5, 0), route: &router.Route{}}}
		f := &forwarding{gateway: &Gateway{}, x: x, headSent: headSent}
		qt.Check(t, f.onlineWork().Deadline, qt.Equals, want)
	}
	expect(false, time.Unix(5, 0))
	expect(true, time.Time{})
}
