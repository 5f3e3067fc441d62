// Package quotateller connects the quota keepers of the VMs: it sends and receives their messages as UDP
// datagrams, and gives them the time. The messages make up for lost ones. VMs without teams send none.
package quotateller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/repeater"
)

// maxMessageBytes is the size of the receive buffer. A longer message is sent in parts.
const maxMessageBytes = 16 << 10

// minInterval is the time between two messages because of requests; those in between go into one.
const minInterval = 3 * time.Millisecond

// message is the wire format.
type message struct {
	_  struct{} `cbor:",toarray"`
	VM string
	// Fleet is the identity of the sender's fleet; 0 while the sender doesn't know it.
	Fleet   uint64
	Content quotakeeper.Message
}

// Guard runs a task so that a panic ends that task alone.
type Guard interface {
	Guard(name string, task func())
}

// Fleet tells the VMs of this VM's fleet from those of others.
type Fleet interface {
	// Identity returns the identity of this VM's fleet; 0 while it is unknown.
	Identity() uint64
	// Admit returns whether something that a VM sends may be of this VM's fleet.
	Admit(identity uint64, sender string) bool
}

// Peer is another VM.
type Peer struct {
	VM      string
	Domain  string
	Address netip.AddrPort
}

// Teller is a VM's quota keeper with its connection to others. It is safe for concurrent use.
type Teller struct {
	vm      string
	conn    *net.UDPConn
	guard   Guard
	fleet   Fleet
	logger  *slog.Logger
	now     func() time.Time
	sending *repeater.Repeater

	mu        sync.Mutex
	keeper    *quotakeeper.Keeper
	addresses map[string]netip.AddrPort // by VM
	sentAt    time.Time
}

// Option configures a Teller.
type Option func(*Teller)

// WithClock sets the clock. The default one goes on while the VM is suspended.
func WithClock(now func() time.Time) Option { return func(t *Teller) { t.now = now } }

// New returns the Teller of a VM, which listens on a UDP address. The boot ID is new at each start of the
// process. New returns an error if the address is invalid or can't be listened on.
func New(
	self quotakeeper.Member, boot uint64, address string, terms quotakeeper.Terms, guard Guard, fleet Fleet, logger *slog.Logger,
	options ...Option,
) (*Teller, error) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("quota address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		return nil, fmt.Errorf("listen for quotas: %w", err)
	}
	t := &Teller{
		vm: self.VM, conn: conn, guard: guard, fleet: fleet, logger: logger, now: sinceBoot, sending: repeater.New(),
		keeper: quotakeeper.New(self, boot, terms), addresses: map[string]netip.AddrPort{},
	}
	for _, option := range options {
		option(t)
	}
	return t, nil
}

// SetPeers replaces the list of other VMs.
func (t *Teller) SetPeers(peers []Peer) {
	members := make([]quotakeeper.Member, 0, len(peers))
	addresses := make(map[string]netip.AddrPort, len(peers))
	for _, p := range peers {
		members = append(members, quotakeeper.Member{VM: p.VM, Domain: p.Domain})
		addresses[p.VM] = p.Address
	}
	t.mu.Lock()
	t.keeper.SetMembers(members)
	t.addresses = addresses
	t.mu.Unlock()
	t.sending.Wake() // requests that were admitted before any VM was known can be reported now
}

// SetLimits replaces the quotas of the teams.
func (t *Teller) SetLimits(limits map[string]quotakeeper.Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keeper.SetLimits(limits, t.now())
}

// Admit decides on a request of a team.
func (t *Teller) Admit(team string) quotakeeper.Decision {
	t.mu.Lock()
	decision := t.keeper.Admit(team, t.now())
	t.mu.Unlock()
	if decision.Counted {
		t.sending.Wake()
	}
	return decision
}

// Return gives back a request that no upstream has run, some time after it was admitted.
func (t *Teller) Return(team string, after time.Duration) {
	t.mu.Lock()
	t.keeper.Return(team, after)
	t.mu.Unlock()
	t.sending.Wake()
}

// Status returns what the VM knows of quotas at present.
func (t *Teller) Status() quotakeeper.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keeper.Status(t.now())
}

// Run sends and receives messages until the context ends.
func (t *Teller) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(t.receiveLoop)
	t.sending.Run(ctx, func(context.Context) time.Duration {
		now := t.now()
		if wait := minInterval - now.Sub(t.sentAt); wait > 0 {
			return wait
		}
		t.sentAt = now
		pause := minInterval
		t.guard.Guard("quota messages", func() { pause = t.step(now) })
		return pause
	})
	_ = t.conn.Close()
	group.Wait()
}

// step sends what is due, and returns the time until the next step.
func (t *Teller) step(now time.Time) time.Duration {
	t.mu.Lock()
	envelopes, pause := t.keeper.Step(now)
	addresses := make([]netip.AddrPort, 0, len(envelopes))
	for _, e := range envelopes {
		addresses = append(addresses, t.addresses[e.To])
	}
	t.mu.Unlock()
	for n, e := range envelopes {
		if addresses[n].IsValid() {
			t.send(addresses[n], e)
		}
	}
	return pause
}

// send sends a message, in several datagrams if one doesn't hold it.
func (t *Teller) send(to netip.AddrPort, e quotakeeper.Envelope) {
	data, err := cbor.Marshal(message{VM: t.vm, Fleet: t.fleet.Identity(), Content: e.Message})
	if err != nil {
		t.logger.Error("encode quota message", "error", err)
		return
	}
	if first, second, ok := e.Message.Halves(); ok && len(data) > maxMessageBytes {
		t.send(to, quotakeeper.Envelope{To: e.To, Message: first})
		t.send(to, quotakeeper.Envelope{To: e.To, Message: second})
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort(data, to); err != nil {
		t.logger.Debug("sending quota message failed", "vm", e.To, "error", err) // it is repeated if needed
	}
}

func (t *Teller) receiveLoop() {
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // the connection is closed
		}
		t.guard.Guard("quota message", func() { t.handleMessage(buffer[:n], from) })
	}
}

// handleMessage decodes a message, passes it on if it is of this fleet, and answers it at once.
func (t *Teller) handleMessage(data []byte, from netip.AddrPort) {
	var m message
	if err := lenientdecoder.Decode(data, &m); err != nil {
		t.logger.Warn("malformed quota message", "error", err)
		return
	}
	if m.VM == t.vm || !t.fleet.Admit(m.Fleet, from.Addr().String()) {
		return
	}
	now := t.now()
	t.mu.Lock()
	if _, known := t.addresses[m.VM]; !known { // a VM that has just started
		t.addresses[m.VM] = from
	}
	t.keeper.Receive(m.VM, m.Content, now)
	t.mu.Unlock()
	t.step(now)
	if len(m.Content.Reports) > 0 || len(m.Content.Queries) > 0 {
		t.sending.Wake() // the time until the next step may have changed
	}
}
