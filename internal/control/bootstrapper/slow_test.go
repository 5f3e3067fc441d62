package bootstrapper_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// answerSlowly returns a handler that sends the answer of another one in pieces.
func answerSlowly(next http.Handler, pieces int, pause time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		body := recorder.Body.Bytes()
		size := (len(body) + pieces - 1) / pieces
		for len(body) > 0 {
			n := min(size, len(body))
			if _, err := w.Write(body[:n]); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			body = body[n:]
			time.Sleep(pause)
		}
	})
}

// Guards against: VMs that start while the store is away abort copies that arrive slowly over a full link, and
// ask for them again, so that the link stays full and none is ever whole.
func TestCopyThatKeepsArrivingIsNotAborted(t *testing.T) {
	known := newBootstrapper(map[string]*table{"t": {known: copyOf(7, strings.Repeat("a", 300<<10))}})
	peer := listen(t, answerSlowly(known, 8, 300*time.Millisecond))
	local := &table{}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	b := newBootstrapper(map[string]*table{"t": local})
	b.AddPeer(peer)
	began := time.Now()
	b.Run(ctx)
	qt.Check(t, local.HasData(), qt.IsTrue)
	qt.Check(t, time.Since(began) < 10*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
