package socketdialer_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/socketdialer"
)

// kernelOptions are the options of a socket that decide when Linux gives a connection up.
type kernelOptions struct {
	idle, interval, userTimeout time.Duration
	count                       int
}

// optionTCPUserTimeout is Linux's TCP_USER_TIMEOUT.
const optionTCPUserTimeout = 18

func readOptions(t *testing.T, conn net.Conn) kernelOptions {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	var values [4]int
	err = raw.Control(func(fd uintptr) {
		names := []int{syscall.TCP_KEEPIDLE, syscall.TCP_KEEPINTVL, syscall.TCP_KEEPCNT, optionTCPUserTimeout}
		for n, name := range names {
			values[n], err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name)
			qt.Check(t, err, qt.IsNil)
		}
	})
	qt.Assert(t, err, qt.IsNil)
	return kernelOptions{
		idle: time.Duration(values[0]) * time.Second, interval: time.Duration(values[1]) * time.Second,
		count: values[2], userTimeout: time.Duration(values[3]) * time.Millisecond,
	}
}

// end returns when Linux ends a connection on which nothing arrives any more. At each firing of the
// keep-alive timer it ends the connection or sends a probe.
func (o kernelOptions) end() time.Duration {
	probes := 0
	for at := o.idle; ; at += o.interval {
		byTimeout := o.userTimeout > 0 && at >= o.userTimeout && probes > 0
		byCount := o.userTimeout == 0 && probes >= o.count
		if byTimeout || byCount {
			return at
		}
		probes++
	}
}

// shortestFatalSilence returns the shortest silence of a sound peer that ends a connection: from the
// first probe to the last one.
func (o kernelOptions) shortestFatalSilence() time.Duration { return o.end() - o.interval - o.idle }

func dial(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	client, err = socketdialer.New(5*time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = client.Close() })
	server, err = listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// Guards against: the kernel ends a stream that waits for its next event, because a sound peer did not
// acknowledge a single probe. A user timeout overrides the count of probes.
func TestSoundPeerMayBeSilentForMoreThanASecond(t *testing.T) {
	expectPatience := func(t *testing.T, conn net.Conn) {
		t.Helper()
		options := readOptions(t, conn)
		qt.Check(t, options.shortestFatalSilence() >= 1500*time.Millisecond, qt.IsTrue,
			qt.Commentf("%v of silence end a connection: %+v", options.shortestFatalSilence(), options))
		qt.Check(t, options.end() <= 5*time.Second, qt.IsTrue, qt.Commentf("a vanished peer is noticed after %v", options.end()))
		qt.Check(t, options.userTimeout >= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("sent bytes: %v", options.userTimeout))
	}
	client, server := dial(t)
	t.Run("dialed", func(t *testing.T) { expectPatience(t, client) })
	t.Run("accepted", func(t *testing.T) {
		qt.Assert(t, socketdialer.Tune(server), qt.IsNil)
		expectPatience(t, server)
	})
}
