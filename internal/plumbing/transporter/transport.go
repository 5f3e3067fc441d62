// Package transporter creates HTTP transports that bound the heads of answers, return none whose head is invalid, and never
// take one that a reset has cut short for a complete one. The standard transport reads heads of up to 10 MB, and parsed fields take several times
// their bytes: a few such answers at the same time would exhaust a VM's memory.
package transporter

import (
	"net"
	"net/http"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/headvalidator"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/resetdetector"
)

// maxHeadBytes bounds the head of an answer, with the interim (1xx) answers before it.
const maxHeadBytes = 64 << 10

// DialFunc opens a connection.
type DialFunc = resetdetector.DialFunc

// Transport is an HTTP transport whose answers have valid heads. Its embedded fields may be set before its first use.
type Transport struct{ *http.Transport }

// New returns a transport that opens connections with dial, or over TCP if dial is nil. It decompresses nothing.
func New(dial DialFunc) Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return Transport{&http.Transport{
		DialContext: resetdetector.WrapDial(dial), DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// RoundTrip implements http.RoundTripper. An answer without a valid head is an error, after which the request may have run.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	answer, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err //nolint:wrapcheck // as http.Transport
	}
	if err := headvalidator.Validate(answer); err != nil {
		_ = answer.Body.Close()
		t.CloseIdleConnections() // that of an answer without a body is idle by now, and where the answer ends is uncertain
		return nil, err
	}
	return answer, nil
}
