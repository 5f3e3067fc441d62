// Package transporter creates HTTP transports that bound the heads of answers, and on which an answer that a reset has
// cut short never seems complete. The standard transport reads heads of up to 10 MB, and parsed fields take several times
// their bytes: a few such answers at the same time would exhaust a VM's memory.
package transporter

import (
	"net"
	"net/http"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/resetdetector"
)

// maxHeadBytes bounds the head of an answer, with the interim (1xx) answers before it.
const maxHeadBytes = 64 << 10

// DialFunc opens a connection.
type DialFunc = resetdetector.DialFunc

// New returns a transport that opens connections with dial, or over TCP if dial is nil. It decompresses
// nothing. Its other fields may be set before its first use.
func New(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Transport{DialContext: resetdetector.WrapDial(dial), DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
}
