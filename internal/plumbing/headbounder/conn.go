package headbounder

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

const (
	// costPerByte and costPerLine are the memory in bytes that a head takes at most: read, parsed, and kept until
	// its request ends.
	costPerByte = 4
	costPerLine = 128
	// freeBytes of each head's cost are part of connectionBytes, so that ordinary requests need no reservation.
	freeBytes = 16 << 10
	// slackBytes is what a head may exceed its limit by, as in net/http.
	slackBytes = 4 << 10
	// refusalTime bounds how long a refusal may take, including the time for the caller to read it.
	refusalTime = 500 * time.Millisecond
	// discardBytes is how much of a refused head is read so that the caller can read the refusal.
	discardBytes = 256 << 10
)

// conn counts what a server reads of a head, and refuses one that is too long or gets no memory.
type conn struct {
	net.Conn

	listener *Listener

	mu          sync.Mutex
	isHead      bool
	headBytes   int
	lineBytes   int  // of a line that is not complete
	lastByte    byte // of that line
	hasLine     bool // the head has a line that isn't empty
	freeLeft    int64
	reservation *rationer.Reservation
}

// Read implements net.Conn. After a refusal it returns io.EOF, and the server closes the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err //nolint:wrapcheck // http.Server compares it
	}
	if status := c.count(p[:n]); status != 0 {
		c.refuse(status)
		return 0, io.EOF
	}
	return n, err //nolint:wrapcheck // http.Server compares it
}

// count reserves memory for what bytes add to a head. It returns the status of a refusal, or 0.
func (c *conn) count(text []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isHead {
		return 0
	}
	length, lines := c.scan(text)
	c.headBytes += length
	if c.headBytes > c.listener.maxHeadBytes()+slackBytes {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	cost := int64(length*costPerByte + lines*costPerLine)
	free := min(cost, c.freeLeft)
	c.freeLeft -= free
	if cost > free && !c.reservation.Grow(cost-free) {
		return http.StatusServiceUnavailable
	}
	return 0
}

// scan returns how many bytes and lines of a text belong to the head, which an empty line ends. Empty lines
// before the first other line are counted.
func (c *conn) scan(text []byte) (length, lines int) {
	for length < len(text) {
		n := bytes.IndexByte(text[length:], '\n')
		if n < 0 {
			c.lineBytes += len(text) - length
			c.lastByte = text[len(text)-1]
			return len(text), lines
		}
		isEmpty := c.lineBytes+n == 0 || (c.lineBytes+n == 1 && c.endsWithCR(text[:length+n]))
		length += n + 1
		lines++
		c.lineBytes = 0
		if isEmpty && c.hasLine {
			c.isHead = false
			return length, lines
		}
		c.hasLine = c.hasLine || !isEmpty
	}
	return length, lines
}

// endsWithCR reports whether the byte before a line feed is a carriage return. It may be of an earlier read.
func (c *conn) endsWithCR(before []byte) bool {
	if len(before) == 0 {
		return c.lastByte == '\r'
	}
	return before[len(before)-1] == '\r'
}

// beginHead releases what the last head took, and counts from here on.
func (c *conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reservation.Release()
	c.isHead, c.headBytes, c.lineBytes, c.hasLine, c.freeLeft = true, 0, 0, false, freeBytes
}

// endHead stops counting: what follows belongs to the request.
func (c *conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHead = false
}

func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reservation.Release()
}

// refuse answers a request that has not been parsed. What was read of its head is held, and stays reserved, until
// the server closes the connection. It reads on for a moment, as closing a connection with
// unread bytes would discard the answer.
func (c *conn) refuse(status int) {
	c.listener.bounder.counter.Count(fmt.Sprintf(`heads_refused_total{status="%d"}`, status))
	_ = c.SetDeadline(time.Now().Add(refusalTime)) // a closed connection needs none
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n%sConnection: close\r\n\r\n",
		status, http.StatusText(status), retry)
	if err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, discardBytes) // ends with the deadline
	}
}

// CloseWrite shuts the sending side down, where the connection has one.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // as net.TCPConn
	}
	return nil
}

// ReadFrom implements io.ReaderFrom, so that a response is copied as the wrapped connection does it.
func (c *conn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(c.Conn, source) //nolint:wrapcheck // as net.TCPConn
}
