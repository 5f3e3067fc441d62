package forwarder

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// maxHeadBytes bounds the bytes that are read as heads in one exchange: the answer's
// own head, and those of interim answers and of answers to other requests before it.
// http.ReadResponse itself sets no limit.
const maxHeadBytes = 128 << 10

// ErrHeadTooLong means that an upstream sent more than maxHeadBytes of heads.
var ErrHeadTooLong = errors.New("answer head too long")

// headLimiter wraps the read side of a connection and bounds the bytes that are read
// while a head is parsed. Bodies are not limited. It records when bytes arrive.
type headLimiter struct {
	source      io.Reader
	lastInput   *atomic.Int64 // when bytes last came from the address, as Unix nanoseconds
	linkInput   *atomic.Int64 // the same for all links of this VM; nil if a peer VM carries the connection
	remaining   int           // bytes of heads that may still be read in this exchange
	readingHead bool          // whether a head is being read
}

// reset restores the full limit at the start of an exchange.
func (l *headLimiter) reset() { l.remaining = maxHeadBytes }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.readingHead {
		if l.remaining <= 0 {
			return 0, ErrHeadTooLong
		}
		p = p[:min(len(p), l.remaining)]
	}
	n, err := l.source.Read(p)
	if l.readingHead {
		l.remaining -= n
	}
	if n > 0 {
		l.recordInput(time.Now().UnixNano())
	}
	return n, err //nolint:wrapcheck // io.EOF must not be wrapped
}

func (l *headLimiter) recordInput(now int64) {
	l.lastInput.Store(now)
	if l.linkInput != nil {
		l.linkInput.Store(now)
	}
}
