// Package peerteller tells other VMs of this VM's work as it changes, and hears
// theirs.
//
// Each message has all counts of its sender, so a message that is lost or comes
// out of order does no lasting harm, and there is no connection that could go
// silent: that is why these messages are datagrams.
package peerteller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/placer"
)

const (
	// period is the longest time between two messages to a peer.
	period = 400 * time.Millisecond
	// farPeriod is the shortest time between two messages to a VM of another
	// region, whose link is narrow and billed by volume.
	farPeriod = 100 * time.Millisecond
	// nearPeriod is the shortest time between two messages to other VMs.
	nearPeriod = time.Millisecond
	maxMessage = 16 << 10
)

// message is what one VM tells.
type message struct {
	VM       string        `cbor:"vm"`
	Boot     uint64        `cbor:"boot"`
	Sequence uint64        `cbor:"sequence"`
	Counts   placer.Report `cbor:"counts"`
}

// Peer is another VM.
type Peer struct {
	VM      string
	Address netip.AddrPort
	// Far tells whether it is in another region.
	Far bool
}

// Placer has this VM's counts and takes in those of others.
type Placer interface {
	Report() placer.Report
	Heard(vm string, report placer.Report, now time.Time)
	Expire(now time.Time)
}

// Teller tells and hears.
type Teller struct {
	vm     string
	boot   uint64
	conn   *net.UDPConn
	placer Placer
	logger *slog.Logger
	wake   chan struct{}
	// onHeard is called whenever another VM's work has changed.
	onHeard func()

	mu    sync.Mutex
	peers []Peer
	heard map[string]message // without counts
}

// New returns a teller on an address. The boot number is new at each start.
func New(vm string, boot uint64, address string, logger *slog.Logger) (*Teller, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Teller{
		vm: vm, boot: boot, conn: conn, logger: logger, wake: make(chan struct{}, 1), heard: map[string]message{},
	}, nil
}

// SetPlacer sets whose counts are told, and a function that is called whenever
// another VM's have changed. It must be called before Run.
func (t *Teller) SetPlacer(p Placer, onHeard func()) { t.placer, t.onHeard = p, onHeard }

// SetPeers replaces the list of other VMs.
func (t *Teller) SetPeers(peers []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers = peers
}

// Changed tells that the VM's work has changed. It never blocks.
func (t *Teller) Changed() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run tells and hears until the context ends.
func (t *Teller) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(t.hear)
	t.tell(ctx)
	_ = t.conn.Close()
	group.Wait()
}

func (t *Teller) tell(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	far := time.NewTimer(farPeriod)
	defer far.Stop()
	sequence, farDue := uint64(0), false
	for {
		near, all := true, false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			all = true
			t.placer.Expire(time.Now())
		case <-far.C:
			near, all = false, true
		case <-t.wake:
			if !farDue {
				farDue = true
				far.Reset(farPeriod)
			}
		}
		if all {
			farDue = false
		}
		sequence++
		t.send(sequence, near, all)
		if near {
			time.Sleep(nearPeriod)
		}
	}
}

// send tells the near peers, the far ones, or all.
func (t *Teller) send(sequence uint64, near, far bool) {
	text, err := cbor.Marshal(message{VM: t.vm, Boot: t.boot, Sequence: sequence, Counts: t.placer.Report()})
	if err != nil {
		t.logger.Error("encode peer message", "error", err)
		return
	}
	t.mu.Lock()
	peers := t.peers
	t.mu.Unlock()
	for _, peer := range peers {
		if (peer.Far && !far) || (!peer.Far && !near) {
			continue
		}
		if _, err := t.conn.WriteToUDPAddrPort(text, peer.Address); err != nil {
			t.logger.Debug("peer not told", "vm", peer.VM, "error", err) // the next message makes up for it
		}
	}
}

func (t *Teller) hear() {
	buffer := make([]byte, maxMessage)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // the connection is closed
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			t.logger.Warn("peer message not understood", "error", err)
			continue
		}
		if t.isNews(m) {
			t.placer.Heard(m.VM, m.Counts, time.Now())
			t.onHeard()
		}
	}
}

// isNews tells whether a message is newer than the last one of its sender.
func (t *Teller) isNews(m message) bool {
	if m.VM == t.vm {
		return false
	}
	last, found := t.heard[m.VM]
	if found && last.Boot == m.Boot && last.Sequence >= m.Sequence {
		return false
	}
	if !found || last.Boot != m.Boot {
		t.logger.Info("peer heard", "vm", m.VM, "boot", m.Boot)
	}
	m.Counts = nil
	t.heard[m.VM] = m
	return true
}
