// Package networkreserver reserves loopback addresses for the VMs of one test.
//
// All VMs use the same ports, so the VMs of two tests with the same addresses would take each
// other for VMs of their own fleet.
package networkreserver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
)

const (
	// reservationPort is the port on which a test listens to reserve its network, and
	// reservationHost the host number there.
	reservationPort = 18139
	reservationHost = 254
	// maxReservations bounds the networks that a test tries to reserve.
	maxReservations = 100
)

// Network is a range of loopback addresses.
type Network struct{ prefix string }

// Reserve returns a network that no other test on this machine uses until t ends.
func Reserve(t testing.TB) Network {
	t.Helper()
	for range maxReservations {
		n := Network{prefix: fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))}
		listener, err := net.Listen("tcp", net.JoinHostPort(n.IP(reservationHost), strconv.Itoa(reservationPort)))
		if err != nil {
			continue // another test uses it
		}
		t.Cleanup(func() { _ = listener.Close() })
		return n
	}
	t.Fatal("no free network")
	return Network{}
}

// IP returns the address of a host of the network.
func (n Network) IP(host int) string { return fmt.Sprintf("%s.%d", n.prefix, host) }
