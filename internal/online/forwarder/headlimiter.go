package forwarder

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// maxHeadBytes bounds the bytes that are read as heads in one exchange: the answer's
// own head, and those of interim answers and of answers to other requests before it.
// http.ReadResponse itself sets no limit.
const maxHeadBytes = 128 << 10

const (
	// shortHeadBytes is how much of heads is read without a reservation of memory.
	shortHeadBytes = 16 << 10
	// longHeadMemory is the memory that the longest head takes, as its fields may be short: each takes
	// many times its bytes.
	longHeadMemory = 16 * maxHeadBytes
)

// ErrNoMemory means that the memory budget has no space for a long head.
var ErrNoMemory = errors.New("no memory for a long answer head")

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
	reservation *rationer.Reservation
	reserved    bool // whether there is memory for a long head
}

// reset restores the full limit at the start of an exchange.
func (l *headLimiter) reset() { l.remaining = maxHeadBytes }

// release returns the memory for a long head once it is not used any more.
func (l *headLimiter) release() {
	l.reservation.Release()
	l.reserved = false
}

// hasMemory returns whether there is memory for what is read next of a head.
func (l *headLimiter) hasMemory() bool {
	if isShort := l.remaining > maxHeadBytes-shortHeadBytes; !isShort && !l.reserved {
		l.reserved = l.reservation.Grow(longHeadMemory)
		return l.reserved
	}
	return true
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.readingHead {
		if l.remaining <= 0 {
			return 0, ErrHeadTooLong
		}
		if !l.hasMemory() {
			return 0, ErrNoMemory
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
