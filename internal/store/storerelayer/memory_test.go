package storerelayer_test

import (
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/store/storerelayer"
)

// Guards against: bodies that many peer VMs send at the same time take more than the VM's memory together.
func TestCallWithoutMemoryIsNotForwarded(t *testing.T) {
	expectStatus := func(t *testing.T, bodyBytes, want, wantCalls int) {
		t.Helper()
		calls := 0
		direct := roundTripFunc(func(r *http.Request) (*http.Response, error) {
			calls++
			return respondWith(http.StatusOK)(r)
		})
		budget := rationer.New(64 << 10)
		relayer := storerelayer.New("store:1", direct, nil, counter.New(metrics.NewSet()), slog.New(slog.DiscardHandler),
			storerelayer.WithMemory(budget))
		request := httptest.NewRequest(http.MethodPost, "/-/x", strings.NewReader(strings.Repeat("a", bodyBytes)))
		request.Header.Set("Fescuespindle-Relayed", "1")
		response := httptest.NewRecorder()
		relayer.ServeHTTP(response, request)
		qt.Check(t, response.Code, qt.Equals, want)
		qt.Check(t, calls, qt.Equals, wantCalls)
		qt.Check(t, budget.Available(), qt.Equals, int64(64<<10))
	}
	t.Run("fits", func(t *testing.T) { expectStatus(t, 60<<10, http.StatusOK, 1) })
	t.Run("doesn't fit", func(t *testing.T) { expectStatus(t, 100<<10, http.StatusServiceUnavailable, 0) })
}

// endlessBody is a body without end that counts the bytes that are read.
type endlessBody struct{ read int }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read += len(p)
	return len(p), nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error { return nil }

// brokenWriter is a response writer whose client has closed the connection.
type brokenWriter struct{ http.ResponseWriter }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("closed") }

// Guards against: a response of the store without end, which is kept before it is passed on to the peer VM.
func TestRelayedResponseIsNotKept(t *testing.T) {
	body := &endlessBody{}
	direct := roundTripFunc(func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: body, Header: http.Header{}}, nil
	})
	relayer := storerelayer.New("store:1", direct, nil, counter.New(metrics.NewSet()), slog.New(slog.DiscardHandler))
	request := httptest.NewRequest(http.MethodGet, "/-/x", http.NoBody)
	request.Header.Set("Fescuespindle-Relayed", "1")
	qt.Check(t, func() { relayer.ServeHTTP(brokenWriter{httptest.NewRecorder()}, request) },
		qt.PanicMatches, http.ErrAbortHandler.Error())
	qt.Check(t, body.read <= 64<<10, qt.IsTrue, qt.Commentf("%d bytes were read", body.read))
}
