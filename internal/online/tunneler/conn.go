package tunneler

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// The bytes from the upstream travel in chunks: a length of headerBytes, then as many bytes. A
// chunk of length zero says that the upstream has closed its connection in order.
//
// Without it, a peer VM that ends would look like such an upstream, as the kernel closes the
// connections of a killed process in order. An answer without a length, which ends with its
// connection, would then seem complete when half of it has arrived:
//
//	upstream ends in order    ... chunk, chunk, 0, FIN   complete
//	upstream resets           ... chunk, chunk, RST      truncated
//	peer VM is killed         ... chunk, chunk, FIN      truncated
const (
	headerBytes   = 2
	maxChunkBytes = 8 << 10
)

// errPeerEnded means that the peer VM ended before the upstream closed its connection.
var errPeerEnded = errors.New("peer VM ended")

// Conn is a connection to an upstream through a peer VM. It is a net.Conn whose deadlines and
// addresses are those of the connection to the peer VM.
type Conn struct {
	net.Conn
	reader     *bufio.Reader
	remaining  int // of the current chunk
	ended      bool
	reuseUntil time.Time
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.remaining == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if errors.Is(err, io.EOF) {
		err = errPeerEnded
	}
	return n, err //nolint:wrapcheck // callers know the errors of connections
}

// readHeader reads the header of the next chunk. It returns io.EOF if the upstream has closed
// its connection.
func (c *Conn) readHeader() error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return errPeerEnded
		}
		return fmt.Errorf("read from peer VM: %w", err)
	}
	c.remaining = int(binary.BigEndian.Uint16(header[:]))
	if c.remaining == 0 {
		c.ended = true
		return io.EOF
	}
	return nil
}

// ReuseUntil returns the time until which the connection may carry another request. It bounds
// how long a peer VM that shuts down is used.
func (c *Conn) ReuseUntil() time.Time { return c.reuseUntil }

// Buffered returns the number of bytes that have arrived and were not read.
func (c *Conn) Buffered() int { return c.remaining + c.reader.Buffered() }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn() //nolint:wrapcheck // callers know the errors of connections
}

// writeChunk writes a chunk. The first headerBytes of the buffer are for its header.
func writeChunk(to io.Writer, buffer []byte) error {
	binary.BigEndian.PutUint16(buffer, uint16(len(buffer)-headerBytes))
	_, err := to.Write(buffer)
	return err //nolint:wrapcheck // callers know the errors of connections
}
