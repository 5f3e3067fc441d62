package relayer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/standins/connserver"
)

const (
	answerHead = "HTTP/1.1 200 OK\r\n" + upstream.HeaderRequestID + ": id\r\n"
	// maxAnswerBytes and maxEventBytes bound what is read of an answer and of an event, with what is read
	// ahead.
	maxAnswerBytes = 16<<20 + 64<<10
	maxEventBytes  = 1<<20 + 64<<10
	maxHeadBytes   = 72 << 10
)

// readEndless sends a request, as a call or as a stream, and returns how reading its answer ends.
func readEndless(ctx context.Context, r *relayer.Relayer, address string, isStream bool) error {
	a := relayer.Attempt{ID: "id", Address: address, Method: http.MethodPost, Path: "/x", Body: []byte("{}")}
	if !isStream {
		_, err := r.Call(ctx, a, true)
		return err
	}
	stream, err := r.Open(ctx, a)
	if err != nil {
		return err
	}
	defer stream.Close()
	for err == nil {
		_, err = stream.Next()
	}
	return err
}

// Guards against: an answer without end, which is kept until memory is exhausted, in the product's own
// interface.
func TestEndlessAnswerIsAborted(t *testing.T) {
	expectAborted := func(t *testing.T, isStream bool, maxBytes int64, begin, endless string) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		var read connserver.ReadCounter
		budget := rationer.New(64 << 20)
		r := relayer.New(read.Dial, relayer.WithMemory(budget))
		defer r.CloseIdle()
		err := readEndless(ctx, r, connserver.StartEndless(t, begin, endless), isStream)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("aborted only when its context ended"))
		qt.Check(t, read.Bytes() <= maxBytes, qt.IsTrue, qt.Commentf("%d bytes were read", read.Bytes()))
		qt.Check(t, budget.Available(), qt.Equals, int64(64<<20))
	}
	expectBoth := func(t *testing.T, maxBytes int64, begin, endless string) {
		t.Helper()
		t.Run("service", func(t *testing.T) { expectAborted(t, false, maxBytes, begin, endless) })
		t.Run("stream", func(t *testing.T) { expectAborted(t, true, maxBytes, begin, endless) })
	}
	t.Run("head", func(t *testing.T) { expectBoth(t, maxHeadBytes, answerHead, "X-More: and more\r\n") })
	t.Run("no answer", func(t *testing.T) { expectBoth(t, maxHeadBytes, "", "no answer at all") })
	t.Run("body", func(t *testing.T) { expectAborted(t, false, maxAnswerBytes, answerHead+"\r\n", "more and more") })
	t.Run("huge length", func(t *testing.T) {
		expectAborted(t, false, maxHeadBytes, answerHead+"Content-Length: 900000000000\r\n\r\n", "more and more")
	})
	t.Run("event", func(t *testing.T) { expectAborted(t, true, maxEventBytes, answerHead+"\r\ndata: ", "more and more") })
	t.Run("lines of an event", func(t *testing.T) { expectAborted(t, true, maxEventBytes, answerHead+"\r\n", "data: a\n") })
	t.Run("rejection", func(t *testing.T) {
		expectBoth(t, maxHeadBytes, "HTTP/1.1 500 Internal Server Error\r\n\r\n", "more and more")
	})
	t.Run("chunk extension", func(t *testing.T) {
		expectBoth(t, maxHeadBytes, answerHead+"Transfer-Encoding: chunked\r\n\r\n3;", "e=e;")
	})
}

// Guards against: a bound for each answer, whose sum over many requests is more than the VM's memory.
func TestLongAnswersShareTheirMemory(t *testing.T) {
	for name, isStream := range map[string]bool{"service": false, "stream": true} {
		t.Run(name, func(t *testing.T) {
			budget := rationer.New(256 << 10)
			r := relayer.New(nil, relayer.WithMemory(budget))
			defer r.CloseIdle()
			err := readEndless(t.Context(), r, connserver.StartEndless(t, answerHead+"\r\ndata: ", "more and more"), isStream)
			qt.Check(t, err, qt.ErrorMatches, ".*(memory budget exhausted|no memory for a long event).*")
			qt.Check(t, relayer.AsAttemptError(err).MayHaveCrashed(), qt.IsFalse)
			qt.Check(t, budget.Available(), qt.Equals, int64(256<<10))
		})
	}
}

// Guards against: the length in an answer without a body is taken for the number of bytes to read.
func TestAnswerToHeadIsWhole(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
		w.Header().Set("Content-Length", "900000000000")
	}))
	defer server.Close()
	r := relayer.New(nil)
	defer r.CloseIdle()
	answer, err := r.Call(t.Context(), relayer.Attempt{
		ID: "id", Address: server.Listener.Addr().String(), Method: http.MethodHead, Path: "/x",
	}, true)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, answer.Body(), qt.HasLen, 0)
}
