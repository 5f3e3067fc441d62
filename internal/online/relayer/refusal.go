package relayer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// refusalTimeout bounds the check whether an address refuses connections. A request that may
// be sent to another upstream waits for it.
const refusalTimeout = 150 * time.Millisecond

// Refuses returns whether an address refuses connections, as that of a process that has
// ended does. One that can't be reached doesn't refuse.
func Refuses(ctx context.Context, dial Dial, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
