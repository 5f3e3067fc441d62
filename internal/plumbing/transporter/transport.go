// Package transporter creates HTTP transports that bound the heads of answers. The standard transport
// reads heads of up to 10 MB, and parsed fields take several times their bytes: a few such answers at
// the same time would exhaust a VM's memory.
package transporter

import (
	"context"
	"net"
	"net/http"
)

// maxHeadBytes bounds the head of an answer, with the interim (1xx) answers before it.
const maxHeadBytes = 64 << 10

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a transport that opens connections with dial, or over TCP if dial is nil. It decompresses
// nothing. Its other fields may be set before its first use.
func New(dial DialFunc) *http.Transport {
	return &http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
}
