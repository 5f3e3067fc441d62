package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// brokenTestTime bounds what is waited for of a broken answer.
const brokenTestTime = 5 * time.Second

// sendWithin is send with a time after which the caller leaves.
func sendWithin(t *testing.T, f *forwarder.Forwarder, address string, timeout time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	answer, err := f.Send(ctx, forwarder.Attempt{
		Request: &http.Request{
			Method: http.MethodPost, Host: "a", URL: &url.URL{Opaque: "/x"}, Header: http.Header{idHeader: {"id"}},
		},
		ID: "id", Address: address,
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	got, err := io.ReadAll(answer)
	return string(got), err
}

// expectNoAnswer sends requests to upstreams that send the given answers, over a new connection and over one that has carried a
// request, and checks that each attempt fails, and may have run.
func expectNoAnswer(t *testing.T, answers func(line, body string) map[string]string) {
	for name := range answers("", "{}") {
		t.Run(name, func(t *testing.T) {
			for first := range 2 {
				f := newForwarder(t)
				address := startUpstream(t, func(n int, r *http.Request) string {
					if n <= first {
						return text(r.Header.Get(idHeader), "sound")
					}
					return answers(idHeader+": "+r.Header.Get(idHeader), "{}")[name]
				}, rawresponder.WithCloseAfter(first+1))
				for range first {
					_, err := send(t, f, address, "before", nil)
					qt.Assert(t, err, qt.IsNil)
				}
				began := time.Now()
				got, err := sendWithin(t, f, address, brokenTestTime)
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("after %d sound answers: %q", first, got))
				qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, relayer.RanMaybe)
				qt.Check(t, time.Since(began) < brokenTestTime, qt.IsTrue, qt.Commentf("failed only when its context ended"))
			}
		})
	}
}

// Guards against: an answer whose status is none is skipped as an interim one, and what is behind it is taken for the answer.
func TestAnswerWithoutAValidStatusFailsTheAttempt(t *testing.T) {
	expectNoAnswer(t, rawresponder.InvalidStatuses)
}

// Guards against: a field whose name is none is passed on, or the body isn't the upstream's, as the field delimits it.
func TestAnswerWithAnInvalidNameFailsTheAttempt(t *testing.T) {
	expectNoAnswer(t, rawresponder.InvalidNames)
}

// Guards against: an interim answer whose head is none seems to promise a sound one.
func TestInterimAnswerWithAnInvalidNameFailsTheAttempt(t *testing.T) {
	expectNoAnswer(t, func(line, body string) map[string]string {
		interim := "HTTP/1.1 103 Early Hints\r\nLink : a\r\n\r\n"
		return map[string]string{"blank at the end": interim + "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n" + body}
	})
}

// Guards against: sound answers with rare statuses, and ones behind interim answers, are taken for broken ones.
func TestAnswerWithAnyValidStatusIsPassedOn(t *testing.T) {
	for _, status := range []string{"200 OK", "299 Rare", "404 Not Found", "599 Rare", "600 Unassigned", "999 Unassigned"} {
		got, err := send(t, newForwarder(t), startUpstream(t, func(int, *http.Request) string {
			return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody"
		}), "id", nil)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, "body")
	}
}
