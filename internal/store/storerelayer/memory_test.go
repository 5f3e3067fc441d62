package storerelayer_test

import (
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
