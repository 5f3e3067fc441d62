package spooler

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrNotRead means that a caller has read nothing of its answer for too long.
var ErrNotRead = errors.New("caller doesn't read its answer")

// chunkBytes is how much is sent at a time of what is kept.
const chunkBytes = 16 << 10

// conn is a connection to a caller.
type conn struct {
	*net.TCPConn

	spooler *Spooler
	raw     syscall.RawConn

	mu        sync.Mutex
	drained   sync.Cond // something was sent, err was set, or send has ended
	kept      []byte
	isSending bool // send runs
	isClosing bool // send closes the connection once nothing is kept
	err       error
	reserved  int // bytes of memory
}

// Write implements net.Conn. It returns once all bytes are sent or kept.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := len(p)
	if c.err == nil && len(c.kept) == 0 && !c.isSending {
		n, err := tryWrite(c.raw, p)
		if p = p[n:]; len(p) == 0 || err != nil {
			return n, err
		}
	}
	for c.err == nil && len(p) > 0 {
		n := c.keep(p)
		if p = p[n:]; len(p) > 0 {
			c.drained.Wait()
		}
	}
	return total - len(p), c.err
}

// keep keeps as many bytes as the bounds allow and returns their number. One chunk is kept without a reservation if
// there is no memory. The caller must hold mu.
func (c *conn) keep(p []byte) int {
	n := min(len(p), maxBytes-len(c.kept))
	if c.spooler.tryReserve(int64(n)) {
		c.reserved += n
	} else {
		n = max(0, min(n, chunkBytes-len(c.kept)))
	}
	if n == 0 {
		return 0
	}
	c.kept = append(c.kept, p[:n]...)
	if !c.isSending {
		c.isSending = true
		c.spooler.addBehind(1)
		c.spooler.counter.Count("answers_read_slowly_total")
		c.spooler.tasks.Go("answer to a slow reader", c.send)
	}
	return n
}

// send sends what is kept until nothing is, the connection fails, or its reader is too slow.
func (c *conn) send() {
	defer c.spooler.addBehind(-1)
	latest := time.Now().Add(maxBehind)
	for {
		chunk, isDone := c.next()
		if isDone {
			return
		}
		_ = c.TCPConn.SetWriteDeadline(earlier(time.Now().Add(maxStall), latest)) // a closed connection fails to write
		n, err := c.TCPConn.Write(chunk)
		if errors.Is(err, os.ErrDeadlineExceeded) && n > 0 && time.Now().Before(latest) {
			err = nil
		}
		c.sent(n, err)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// next returns the bytes to send next, or true if send must end.
func (c *conn) next() (chunk []byte, isDone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.kept) > 0 && c.err == nil {
		return c.kept[:min(len(c.kept), chunkBytes)], false
	}
	c.isSending, c.kept = false, nil
	c.drained.Broadcast()
	c.release(c.reserved)
	_ = c.TCPConn.SetWriteDeadline(time.Time{}) // a closed connection has none
	if c.isClosing {
		c.spooler.endLinger()
	}
	if c.err != nil {
		c.abandonUnsent()
	}
	if c.isClosing || c.err != nil {
		_ = c.TCPConn.Close() // may be closed already
	}
	return nil, true
}

// sent records that bytes were sent, or that sending failed.
func (c *conn) sent(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.drained.Broadcast()
	c.kept = c.kept[n:]
	c.release(min(n, c.reserved))
	if err == nil || c.err != nil {
		return
	}
	c.err = err
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = ErrNotRead
		c.spooler.counter.Count("answers_not_read_total")
		c.spooler.logger.Info("caller doesn't read its answer, connection closed",
			"caller", c.RemoteAddr().String(), "unsent", len(c.kept))
	}
}

// release returns memory. The caller must hold mu.
func (c *conn) release(bytes int) {
	c.spooler.memory.Release(int64(bytes))
	c.reserved -= bytes
}

// Close implements net.Conn. What is kept is still sent, unless too many connections are kept open for that.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return net.ErrClosed
	}
	if c.isSending && c.err == nil && c.spooler.tryLinger() {
		c.isClosing = true
		return c.CloseRead() //nolint:wrapcheck // as net.TCPConn
	}
	if c.isSending {
		c.abandonUnsent()
	}
	return c.TCPConn.Close() //nolint:wrapcheck // as net.TCPConn
}

// abandonUnsent makes closing the connection reset it, so that the reader sees that the answer is cut, and the kernel
// discards what it keeps of it.
func (c *conn) abandonUnsent() { _ = c.SetLinger(0) } // a closed connection needs none

// CloseWrite shuts the sending side down. What is kept is sent before.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.isSending && c.err == nil {
		c.drained.Wait()
	}
	return c.TCPConn.CloseWrite() //nolint:wrapcheck // as net.TCPConn
}

// SetWriteDeadline implements net.Conn. While bytes are kept, the bounds of the Spooler apply instead.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isSending {
		return nil
	}
	return c.TCPConn.SetWriteDeadline(t) //nolint:wrapcheck // as net.TCPConn
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err //nolint:wrapcheck // as net.TCPConn
	}
	return c.SetWriteDeadline(t)
}

// writerOnly hides all methods of a connection but Write.
type writerOnly struct{ io.Writer }

// ReadFrom implements io.ReaderFrom. It copies through Write.
func (c *conn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(writerOnly{c}, source) //nolint:wrapcheck // as net.TCPConn
}
