package fleetidentifier_test

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/fleetidentifier"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
)

const rejected = `peer_messages_rejected_total{reason="otherFleet"}`

func newFleet(identity uint64) *fleetidentifier.Fleet {
	fleet := fleetidentifier.NewFleet(counter.New(metrics.NewSet()), slog.New(slog.DiscardHandler))
	if identity != 0 {
		fleet.Adopt(identity)
	}
	return fleet
}

func TestOnlyAnotherFleetIsRejected(t *testing.T) {
	expect := func(t *testing.T, own, sender uint64, want bool) {
		t.Helper()
		qt.Check(t, newFleet(own).Admit(sender, "127.0.0.1"), qt.Equals, want)
	}
	t.Run("same", func(t *testing.T) { expect(t, 7, 7, true) })
	t.Run("another", func(t *testing.T) { expect(t, 7, 8, false) })
	t.Run("sender of an earlier release", func(t *testing.T) { expect(t, 7, 0, true) })
	t.Run("own fleet unknown", func(t *testing.T) { expect(t, 0, 8, true) })
}

func TestRejectionsAreCountedAndLoggedOncePerPeer(t *testing.T) {
	var log bytes.Buffer
	counters := counter.New(metrics.NewSet())
	fleet := fleetidentifier.NewFleet(counters, slog.New(slog.NewTextHandler(&log, nil)))
	fleet.Adopt(7)
	for range 3 {
		fleet.Admit(8, "127.0.0.1")
	}
	fleet.Admit(8, "127.0.0.2")
	qt.Check(t, counters.Get(rejected), qt.Equals, uint64(4))
	qt.Check(t, strings.Count(log.String(), "rejected"), qt.Equals, 2)
}

func TestIdentityFromPeersYieldsToNone(t *testing.T) {
	fleet := newFleet(0)
	qt.Check(t, fleet.Adopt(7), qt.IsTrue)
	qt.Check(t, fleet.Adopt(8), qt.IsFalse)
	qt.Check(t, fleet.Identity(), qt.Equals, uint64(7))
}

func TestAnotherIdentityInTheStoreIsAnError(t *testing.T) {
	t.Run("after one from peers", func(t *testing.T) {
		qt.Check(t, newFleet(7).Learn(8), qt.ErrorIs, fleetidentifier.ErrOtherFleet)
	})
	t.Run("after one from the store", func(t *testing.T) {
		fleet := newFleet(7)
		qt.Check(t, fleet.Learn(7), qt.IsNil)
		qt.Check(t, fleet.Learn(8), qt.ErrorIs, fleetidentifier.ErrOtherStore)
		qt.Check(t, fleet.Identity(), qt.Equals, uint64(7))
	})
}

// send sends a request with a body from a VM of a fleet to a handler, wrapped by the function. It returns the
// status and how many bytes were handled.
func send(
	t *testing.T, from *fleetidentifier.Fleet, wrap func(http.Handler) http.Handler, bodyBytes int,
) (status, handled int) {
	t.Helper()
	server := httptest.NewServer(wrap(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.IsNil)
		handled = len(body)
	})))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, bytes.NewReader(make([]byte, bodyBytes)))
	qt.Assert(t, err, qt.IsNil)
	response, err := from.Transport(http.DefaultTransport).RoundTrip(request)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, response.Body.Close(), qt.IsNil)
	qt.Check(t, request.Header, qt.HasLen, 0, qt.Commentf("a transport changes no request"))
	return response.StatusCode, handled
}

// Guards against: a sender can't tell that its request was rejected, as the connection was reset while it
// sent the body.
func TestRequestsBetweenFleets(t *testing.T) {
	const longBody = 7 << 20
	expect := func(t *testing.T, from, to uint64, bodyBytes, wantStatus, wantHandled int) {
		t.Helper()
		status, handled := send(t, newFleet(from), newFleet(to).Handler, bodyBytes)
		qt.Check(t, status, qt.Equals, wantStatus)
		qt.Check(t, handled, qt.Equals, wantHandled)
	}
	t.Run("same", func(t *testing.T) { expect(t, 7, 7, 10, http.StatusOK, 10) })
	t.Run("another", func(t *testing.T) { expect(t, 7, 8, 10, http.StatusMisdirectedRequest, 0) })
	t.Run("another, long", func(t *testing.T) { expect(t, 7, 8, longBody, http.StatusMisdirectedRequest, 0) })
	t.Run("sender unknown", func(t *testing.T) { expect(t, 0, 8, 10, http.StatusOK, 10) })
	t.Run("receiver unknown", func(t *testing.T) { expect(t, 7, 0, 10, http.StatusOK, 10) })
	t.Run("both unknown", func(t *testing.T) { expect(t, 0, 0, 10, http.StatusOK, 10) })
}

// Guards against: a VM runs jobs of another fleet before it knows its own.
func TestRequestsThatCannotBeUndone(t *testing.T) {
	expect := func(t *testing.T, from, to uint64, wantStatus, wantHandled int) {
		t.Helper()
		status, handled := send(t, newFleet(from), newFleet(to).RequireKnown, 10)
		qt.Check(t, status, qt.Equals, wantStatus)
		qt.Check(t, handled, qt.Equals, wantHandled)
	}
	t.Run("known", func(t *testing.T) { expect(t, 7, 7, http.StatusOK, 10) })
	t.Run("sender unknown", func(t *testing.T) { expect(t, 0, 7, http.StatusOK, 10) })
	t.Run("receiver unknown", func(t *testing.T) { expect(t, 7, 0, http.StatusServiceUnavailable, 0) })
	t.Run("both unknown", func(t *testing.T) { expect(t, 0, 0, http.StatusOK, 10) })
}

// Guards against: a header that a later release changes makes this one reject all of its messages.
func TestUnreadableIdentityIsUnknown(t *testing.T) {
	handled := false
	request := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
	request.Header.Set("Fescuespindle-Fleet", "a8f3-x")
	newFleet(7).Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true })).
		ServeHTTP(httptest.NewRecorder(), request)
	qt.Check(t, handled, qt.IsTrue)
}
