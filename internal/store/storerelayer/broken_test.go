package storerelayer_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/transporter"
	"github.com/fescuespindle/fescuespindle/internal/standins/rawresponder"
)

// brokenTransport returns the transport of a VM that gets the given answer to each call.
func brokenTransport(t *testing.T, answer string) roundTripFunc {
	t.Helper()
	address := rawresponder.Start(t, answer)
	transport := transporter.New(nil)
	t.Cleanup(transport.CloseIdleConnections)
	return func(request *http.Request) (*http.Response, error) {
		call := request.Clone(request.Context())
		call.URL.Host = address
		return transport.RoundTrip(call)
	}
}

// expectInDoubt makes calls whose answers are the given ones, on the direct path and on that through a peer VM. A write may have
// been done, and isn't sent again; a read is answered by the other path.
func expectInDoubt(t *testing.T, answers func(line, body string) map[string]string) {
	for name, answer := range answers("Content-Type: application/json", "{}") {
		t.Run(name+", direct", func(t *testing.T) {
			expectCall(t, brokenTransport(t, answer), sendDirect, "", 0)
			got, err := callWithMethod(t, newPair(t, brokenTransport(t, answer), sendDirect), http.MethodGet)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, got, qt.Equals, "OK /x?y=1 body")
		})
		t.Run(name+", relayed", func(t *testing.T) {
			expectCall(t, failDial, brokenTransport(t, answer), "Bad Gateway ", 0)
		})
	}
}

// Guards against: a write whose answer has a status that is none counts as done, or as relayed, though the store did nothing.
func TestStoreResponseWithoutAValidStatusIsInDoubt(t *testing.T) {
	expectInDoubt(t, rawresponder.InvalidStatuses)
}

// Guards against: a write whose answer has a field whose name is none counts as done, or as relayed.
func TestStoreResponseWithAnInvalidNameIsInDoubt(t *testing.T) {
	expectInDoubt(t, rawresponder.InvalidNames)
}
