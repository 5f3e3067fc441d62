package relayer_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// expectNoAnswer sends attempts to services and engines that send the given answers, and checks that each fails, and may have
// run.
func expectNoAnswer(t *testing.T, answers func(line, body string) map[string]string) {
	for name, answer := range answers(upstream.HeaderRequestID+": id", "{}") {
		t.Run(name, func(t *testing.T) {
			address := rawresponder.Start(t, answer)
			r := relayer.New(nil)
			defer r.CloseIdle()
			attempt := relayer.Attempt{ID: "id", Address: address, Method: http.MethodPost, Path: "/x", Body: []byte("{}")}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			for _, repeatable := range []bool{false, true} {
				got, err := r.Call(ctx, attempt, repeatable)
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("status %d, %q", got.Status(), got.Body()))
				qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, relayer.RanMaybe)
			}
			_, err := r.Open(ctx, attempt)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("failed only when its context ended"))
		})
	}
}

// Guards against: a status that is none, or the interim answer behind it, is passed on to callers of the product's own
// interface.
func TestAnswerWithoutAValidStatusFailsTheAttempt(t *testing.T) {
	expectNoAnswer(t, rawresponder.InvalidStatuses)
}

// Guards against: a field whose name is none hides the length or the chunks of the body, and callers of the product's own
// interface get one that isn't the service's.
func TestAnswerWithAnInvalidNameFailsTheAttempt(t *testing.T) {
	expectNoAnswer(t, rawresponder.InvalidNames)
}
