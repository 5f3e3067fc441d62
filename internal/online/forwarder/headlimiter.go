package forwarder

import (
	"errors"
	"io"
)

// maxHeadBytes bounds the bytes that are read as heads in one exchange: the answer's
// own head, and those of interim answers and of answers to other requests before it.
// http.ReadResponse itself sets no limit.
const maxHeadBytes = 128 << 10

// ErrHeadTooLong means that an upstream sent more than maxHeadBytes of heads.
var ErrHeadTooLong = errors.New("answer head too long")

// headLimiter wraps the read side of a connection and bounds the bytes that are read
// while a head is parsed. Bodies are not limited.
type headLimiter struct {
	source      io.Reader
	remaining   int  // bytes of heads that may still be read in this exchange
	readingHead bool // whether a head is being read
}

// reset restores the full limit at the start of an exchange.
func (l *headLimiter) reset() { l.remaining = maxHeadBytes }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.readingHead {
		return l.source.Read(p) //nolint:wrapcheck // io.EOF must not be wrapped
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err //nolint:wrapcheck // io.EOF must not be wrapped
}
