package resetdetector_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/resetdetector"
)

// uploadBytes is more than a connection takes that isn't read.
const uploadBytes = 32 << 20

// upload is a connection on which a long write is in progress.
type upload struct {
	client  net.Conn
	server  *net.TCPConn
	written chan struct{} // closed when the write has returned
	err     error         // of the write
}

// startUpload connects to a server that reads one byte, and starts a long write.
func startUpload(t *testing.T) *upload {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dial := resetdetector.WrapDial((&net.Dialer{}).DialContext)
	client, err := dial(t.Context(), "tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	server, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	u := &upload{client: client, server: server.(*net.TCPConn), written: make(chan struct{})}
	var group sync.WaitGroup
	group.Go(func() {
		defer close(u.written)
		_, u.err = u.client.Write(make([]byte, uploadBytes))
	})
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
		group.Wait()
	})
	_, err = server.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	return u
}

// send sends a part of an answer.
func (u *upload) send(t *testing.T) {
	t.Helper()
	_, err := io.WriteString(u.server, "part")
	qt.Assert(t, err, qt.IsNil)
}

// reset resets the connection, and waits until the write has met that.
func (u *upload) reset(t *testing.T) {
	t.Helper()
	time.Sleep(10 * time.Millisecond) // what was sent before arrives before
	qt.Assert(t, u.server.SetLinger(0), qt.IsNil)
	qt.Assert(t, u.server.Close(), qt.IsNil)
	<-u.written
}

// expectEnd reads until the end, and checks the error with which it ends. No error means an orderly end.
func (u *upload) expectEnd(t *testing.T, want error) {
	t.Helper()
	got, err := io.ReadAll(u.client)
	qt.Check(t, string(got), qt.Equals, "part")
	if want == nil {
		qt.Check(t, err, qt.IsNil)
		return
	}
	qt.Check(t, err, qt.ErrorIs, want)
	_, err = u.client.Read(make([]byte, 1))
	qt.Check(t, err, qt.ErrorIs, want, qt.Commentf("read once more"))
}

// Guards against: a reset that the writing goroutine has met looks like an orderly end to the reading one.
func TestResetIsNoOrderlyEnd(t *testing.T) {
	u := startUpload(t)
	u.send(t)
	u.reset(t)
	qt.Check(t, u.err, qt.ErrorIs, syscall.ECONNRESET)
	u.expectEnd(t, syscall.ECONNRESET)
}

// Guards against: a read that returns the end just before the write has returned takes a reset for an orderly end.
func TestResetThatBothSidesMeetIsNoOrderlyEnd(t *testing.T) {
	for range 50 {
		u := startUpload(t)
		var group sync.WaitGroup
		group.Go(func() {
			_, err := io.ReadAll(u.client)
			qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
		})
		u.send(t)
		qt.Check(t, u.server.SetLinger(0), qt.IsNil)
		qt.Check(t, u.server.Close(), qt.IsNil)
		group.Wait()
	}
}

// Guards against: an orderly end waits for a write that the other side never takes, or is taken for a reset.
func TestOrderlyEndDuringAWrite(t *testing.T) {
	u := startUpload(t)
	u.send(t)
	qt.Assert(t, u.server.CloseWrite(), qt.IsNil)
	u.expectEnd(t, nil)
	select {
	case <-u.written:
		t.Error("the write has returned: ", u.err)
	default:
	}
}

// Guards against: a reset after the orderly end, as of a server that exits without having read an upload, breaks an answer
// that has arrived whole.
func TestResetAfterAnOrderlyEnd(t *testing.T) {
	u := startUpload(t)
	u.send(t)
	qt.Assert(t, u.server.CloseWrite(), qt.IsNil)
	u.reset(t)
	qt.Check(t, u.err, qt.ErrorIs, syscall.EPIPE)
	u.expectEnd(t, nil)
}

// Guards against: a deadline of a write, or its end by the own side, counts as a lost connection.
func TestDeadlineOfAWriteIsNoLoss(t *testing.T) {
	u := startUpload(t)
	u.send(t)
	qt.Assert(t, u.client.SetWriteDeadline(time.Now()), qt.IsNil)
	<-u.written
	qt.Check(t, errors.Is(u.err, syscall.ECONNRESET), qt.IsFalse)
	qt.Assert(t, u.server.Close(), qt.IsNil) // with unread bytes: the kernel resets the connection
	u.expectEnd(t, syscall.ECONNRESET)
}

// Guards against: connections that have no reset of their own, such as those through a peer VM, are changed.
func TestOtherConnectionsStayAsTheyAre(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	defer func() { _ = client.Close() }()
	qt.Check(t, resetdetector.Wrap(client), qt.Equals, client)
}
