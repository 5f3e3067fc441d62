package interrupter

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"
)

// fullListener listens on an address without accepting, and its backlog is full, so the kernel
// drops the first packet of each new connection.
type fullListener struct {
	socket int
	filler []net.Conn
}

// backlogConnections is how many connections fill a backlog of length zero, with one to spare.
const backlogConnections = 2

// fillTimeout bounds each connection that fills the backlog.
const fillTimeout = 50 * time.Millisecond

// listenWithFullBacklog returns a fullListener, or an error if the address is taken.
func listenWithFullBacklog(address string) (*fullListener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("partition: %w", err)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("partition: %w", os.NewSyscallError("socket", err))
	}
	l := &fullListener{socket: socket}
	if err := l.listen(at); err != nil {
		l.close()
		return nil, err
	}
	for range backlogConnections {
		if conn, err := net.DialTimeout("tcp", address, fillTimeout); err == nil {
			l.filler = append(l.filler, conn)
		}
	}
	return l, nil
}

func (l *fullListener) listen(at netip.AddrPort) error {
	if err := syscall.SetsockoptInt(l.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("partition: %w", os.NewSyscallError("setsockopt", err))
	}
	if err := syscall.Bind(l.socket, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return fmt.Errorf("partition: %w", os.NewSyscallError("bind", err))
	}
	if err := syscall.Listen(l.socket, 0); err != nil {
		return fmt.Errorf("partition: %w", os.NewSyscallError("listen", err))
	}
	return nil
}

func (l *fullListener) close() {
	for _, conn := range l.filler {
		_ = conn.Close()
	}
	_ = syscall.Close(l.socket)
}
