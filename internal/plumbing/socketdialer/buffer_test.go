package socketdialer_test

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/socketdialer"
)

const (
	// maxUnreadBytes bounds the bytes that the kernel keeps for a connection whose reader has stopped.
	maxUnreadBytes = 512 << 10
	// readBytes is how much the reader takes before it stops, so that the kernel knows it as a fast one.
	readBytes = 64 << 20
)

// countUnread returns the number of bytes that have arrived and were not read.
func countUnread(t *testing.T, conn net.Conn) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	var unread int32
	err = raw.Control(func(fd uintptr) {
		_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&unread)))
		qt.Check(t, errno, qt.Equals, syscall.Errno(0))
	})
	qt.Assert(t, err, qt.IsNil)
	return int(unread)
}

// expectBoundedBuffer reads fast from a connection on which bytes arrive without end, stops, and checks
// how many wait for it.
func expectBoundedBuffer(t *testing.T, reader, sender net.Conn) {
	t.Helper()
	var group sync.WaitGroup
	group.Go(func() {
		chunk := make([]byte, 256<<10)
		for {
			if _, err := sender.Write(chunk); err != nil {
				return
			}
		}
	})
	defer group.Wait()
	defer func() { _ = sender.Close() }()
	_, err := io.CopyN(io.Discard, reader, readBytes)
	qt.Assert(t, err, qt.IsNil)
	last := -1
	for unread := countUnread(t, reader); unread != last; unread = countUnread(t, reader) {
		last = unread
		time.Sleep(100 * time.Millisecond) // until no more arrives
	}
	qt.Check(t, last <= maxUnreadBytes, qt.IsTrue, qt.Commentf("%d bytes are unread", last))
}

// Guards against: bytes without end that wait in the kernel's buffers, which grow to many megabytes for
// each connection and count as memory of the process.
func TestUnreadBytesAreBounded(t *testing.T) {
	t.Run("dialed", func(t *testing.T) {
		client, server := dial(t)
		expectBoundedBuffer(t, client, server)
	})
	t.Run("accepted", func(t *testing.T) {
		client, server := dial(t)
		qt.Assert(t, socketdialer.Tune(server), qt.IsNil)
		expectBoundedBuffer(t, server, client)
	})
}
