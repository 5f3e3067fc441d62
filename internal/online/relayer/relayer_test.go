package relayer_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// engine writes the answer to the attempt with the given identifier.
type engine func(w http.ResponseWriter, id string)

func event(w io.Writer, id, text string) {
	_, _ = fmt.Fprintf(w, `data: {"id":%q,"text":%q}`+"\n\n", id, text)
}

func end(w io.Writer) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }

// expectStream sends an attempt to an engine and checks the number of events and the
// error.
func expectStream(t *testing.T, answer engine, wantEvents int, wantErr error, wantRan relayer.Ran) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		answer(w, r.Header.Get(upstream.HeaderRequestID))
	}))
	defer server.Close()
	r := relayer.New(nil)
	defer r.CloseIdle()
	events, err := readAll(t, r, server.Listener.Addr().String())
	qt.Check(t, events, qt.Equals, wantEvents)
	if wantErr == nil {
		qt.Check(t, err, qt.IsNil)
		return
	}
	qt.Check(t, err, qt.ErrorIs, wantErr)
	qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, wantRan)
}

func readAll(t *testing.T, r *relayer.Relayer, address string) (int, error) {
	t.Helper()
	stream, err := r.Open(t.Context(), relayer.Attempt{
		ID: "attempt-1", Address: address, Method: http.MethodPost, Path: upstream.PathChat, Body: []byte("{}"),
	})
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	for n := 0; ; n++ {
		_, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
}

func TestStreams(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		expectStream(t, func(w http.ResponseWriter, id string) {
			event(w, id, "a")
			event(w, id, "b")
			end(w)
		}, 2, nil, 0)
	})
	t.Run("without end mark", func(t *testing.T) {
		expectStream(t, func(w http.ResponseWriter, id string) {
			event(w, id, "a")
		}, 1, relayer.ErrTruncated, relayer.RanMaybe)
	})
	t.Run("cut inside an event", func(t *testing.T) {
		expectStream(t, func(w http.ResponseWriter, id string) {
			event(w, id, "a")
			_, _ = io.WriteString(w, `data: {"id":"attempt-1","te`)
		}, 1, relayer.ErrTruncated, relayer.RanMaybe)
	})
	t.Run("another request's answer", func(t *testing.T) {
		expectStream(t, func(w http.ResponseWriter, id string) {
			event(w, id, "a")
			event(w, "attempt-0", "b")
			end(w)
		}, 1, relayer.ErrMismatchedAnswer, relayer.RanMaybe)
	})
	t.Run("late events after the end", func(t *testing.T) {
		expectStream(t, func(w http.ResponseWriter, id string) {
			event(w, id, "a")
			end(w)
			event(w, "attempt-0", "late")
		}, 1, nil, 0)
	})
	t.Run("connection lost", func(t *testing.T) {
		expectStream(t, func(http.ResponseWriter, string) {
			panic(http.ErrAbortHandler)
		}, 0, relayer.ErrConnectionLost, relayer.RanMaybe)
	})
	t.Run("refused and not run", func(t *testing.T) {
		expectStream(t, func(w http.ResponseWriter, _ string) {
			w.Header().Set(upstream.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 0, relayer.ErrRejected, relayer.RanNot)
	})
	t.Run("refused without saying whether it ran", func(t *testing.T) {
		expectStream(t, func(w http.ResponseWriter, _ string) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 0, relayer.ErrRejected, relayer.RanFailed)
	})
}

func TestUnreachableUpstreamDidNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	r := relayer.New(nil)
	defer r.CloseIdle()
	_, err = readAll(t, r, address)
	qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, relayer.RanNot)
}

// When a reused connection breaks, net/http retries a request that it considers
// idempotent. An attempt that may run only once must not be sent again.
func TestSingleCallIsNeverReplayedOnAReusedConnection(t *testing.T) {
	for _, body := range []string{"", `{"order":12}`} {
		t.Run("body "+body, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if calls.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			r := relayer.New(nil)
			defer r.CloseIdle()
			attempt := relayer.Attempt{
				ID: "a", Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/commissions",
				Body: []byte(body), Header: http.Header{"Idempotency-Key": {"k"}},
			}
			_, err := r.Call(t.Context(), attempt, false)
			qt.Assert(t, err, qt.IsNil)
			_, err = r.Call(t.Context(), attempt, false)
			qt.Check(t, relayer.AsAttemptError(err).Ran(), qt.Equals, relayer.RanMaybe)
			qt.Check(t, calls.Load(), qt.Equals, int32(2))
		})
	}
}

func TestAnswerToAnotherCallIsRejected(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderRequestID, "another")
		_, _ = io.WriteString(w, "answer")
	}))
	defer server.Close()
	r := relayer.New(nil)
	defer r.CloseIdle()
	_, err := r.Call(t.Context(), relayer.Attempt{
		ID: "mine", Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Path: "/prices",
	}, true)
	qt.Check(t, err, qt.ErrorIs, relayer.ErrMismatchedAnswer)
}

// expectUnframed calls a service whose answer has neither a length nor chunks. If crash is
// set, the service stops with its answer.
func expectUnframed(t *testing.T, body string, crash bool, wantErr error) {
	t.Helper()
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then sends neither
		_, _ = io.WriteString(w, body)
		if crash {
			_ = server.Listener.Close()
		}
	}))
	defer server.Close()
	r := relayer.New(nil)
	defer r.CloseIdle()
	answer, err := r.Call(t.Context(), relayer.Attempt{
		ID: "attempt-1", Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/",
	}, false)
	if wantErr != nil {
		qt.Check(t, err, qt.ErrorIs, wantErr)
		return
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(answer.Body()), qt.Equals, body)
}

// Guards against: an answer of a service that has neither a length nor chunks looks complete
// although the service crashed in the middle of it.
func TestAnswerWithoutLengthIsNotCompleteIfItsServiceCrashed(t *testing.T) {
	t.Run("complete", func(t *testing.T) { expectUnframed(t, "answer", false, nil) })
	t.Run("crashed", func(t *testing.T) { expectUnframed(t, "answ", true, relayer.ErrTruncated) })
	t.Run("empty", func(t *testing.T) { expectUnframed(t, "", false, relayer.ErrTruncated) })
}
