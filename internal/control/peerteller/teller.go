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

	"github.com/fescuespindle/fescuespindle/internal/online/healthtracker"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
)

const maxMessage = 16 << 10

// message is what one VM tells.
type message struct {
	VM       string        `cbor:"vm"`
	Boot     uint64        `cbor:"boot"`
	Sequence uint64        `cbor:"sequence"`
	Counts   placer.Report `cbor:"counts"`
	// Strikes are suspicions that requests crash upstreams.
	Strikes []quarantiner.Strike `cbor:"strikes,omitempty"`
	// Cancelled are jobs that were cancelled lately.
	Cancelled []string `cbor:"cancelled,omitempty"`
	// Summary is all work on the upstreams of the sender's domain, as it knows it.
	Summary placer.Summary `cbor:"summary,omitempty"`
	// Failing are upstreams that fail the sender.
	Failing map[string]healthtracker.Failure `cbor:"failing,omitempty"`
	// Leaving are upstreams that have said that they leave, with the start of their
	// processes.
	Leaving map[string]int64 `cbor:"leaving,omitempty"`
}

// Notices is what a VM tells beside its work.
type Notices struct {
	Strikes   []quarantiner.Strike
	Cancelled []string
	Summary   placer.Summary // in messages to other domains of a large fleet only
	Failing   map[string]healthtracker.Failure
	Leaving   map[string]int64
}

// Peer is another VM.
type Peer struct {
	VM      string
	Address netip.AddrPort
	Domain  string
	// Remote tells whether it is in another region.
	Remote bool
}

// State is what a VM tells of, and takes in from others.
type State interface {
	// Report returns what is told now.
	Report(now time.Time) (placer.Report, Notices)
	// Summary returns what this VM knows of all work in its domain.
	Summary() placer.Summary
	// Subscribers returns the VMs that must know at once of changes on an upstream.
	Subscribers(upstream string) (vms []string, all bool)
	// Receive takes in what another VM tells.
	Receive(vm string, report placer.Report, news Notices, now time.Time)
	// Expire forgets VMs that have been silent for too long.
	Expire(now time.Time)
}

// Guard runs a task so that an unexpected error ends that task alone.
type Guard interface {
	Guard(name string, task func())
}

// Reporter tells and hears.
type Reporter struct {
	vm     string
	domain string
	boot   uint64
	conn   *net.UDPConn
	state  State
	guard  Guard
	logger *slog.Logger
	met    func(netip.AddrPort)
	wake   chan struct{}

	mu       sync.Mutex
	peers    []Peer
	schedule *Schedule
	heard    map[string]message // without what they told
}

// Option sets one property of a Teller.
type Option func(*Reporter)

// WithNewPeer sets a function that is called with the address of each process of another
// VM when it is first heard. It must not block.
func WithNewPeer(met func(netip.AddrPort)) Option {
	return func(t *Reporter) { t.met = met }
}

// New returns the teller of a VM of a failure domain, on an address. The boot
// number is new at each start.
func New(
	vm, domain string, boot uint64, address string, guard Guard, logger *slog.Logger, options ...Option,
) (*Reporter, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	t := &Reporter{
		vm: vm, boot: boot, conn: conn, guard: guard, logger: logger, wake: make(chan struct{}, 1), heard: map[string]message{},
		domain: domain, met: func(netip.AddrPort) {},
	}
	for _, option := range options {
		option(t)
	}
	return t, nil
}

// SetState sets what is told. It must be called before Run.
func (t *Reporter) SetState(s State) {
	t.state = s
	t.schedule = NewSchedule(t.vm, t.domain, s.Subscribers)
}

// SetPeers replaces the list of other VMs.
func (t *Reporter) SetPeers(peers []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers = peers
}

// RecordChange tells that the VM's work on an upstream has changed. It never blocks
// for long.
func (t *Reporter) RecordChange(change placer.Change) {
	t.mu.Lock()
	t.schedule.RecordChange(change)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run tells and hears until the context ends.
func (t *Reporter) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(t.hear)
	t.tell(ctx)
	_ = t.conn.Close()
	group.Wait()
}

func (t *Reporter) tell(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for sequence := uint64(1); ; {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-t.wake:
		}
		now := time.Now()
		t.mu.Lock()
		told := t.schedule.TakeDue(t.peers, now)
		summarized := t.schedule.TakeSummaryDue(t.peers, now)
		next := t.schedule.Next()
		t.mu.Unlock()
		t.guard.Guard("peer messages", func() {
			t.state.Expire(now)
			t.send(sequence, told, nil)
			if len(summarized) > 0 {
				t.send(sequence+1, summarized, t.state.Summary())
			}
		})
		sequence += 2
		timer.Reset(max(next.Sub(now), nearPeriod))
	}
}

// send sends all that there is to tell.
func (t *Reporter) send(sequence uint64, peers []Peer, summary placer.Summary) {
	if len(peers) == 0 {
		return
	}
	counts, news := t.state.Report(time.Now())
	text, err := cbor.Marshal(message{
		VM: t.vm, Boot: t.boot, Sequence: sequence, Counts: counts, Strikes: news.Strikes, Cancelled: news.Cancelled,
		Failing: news.Failing, Leaving: news.Leaving, Summary: summary,
	})
	if err != nil {
		t.logger.Error("encode peer message", "error", err)
		return
	}
	for _, peer := range peers {
		if _, err := t.conn.WriteToUDPAddrPort(text, peer.Address); err != nil {
			t.logger.Debug("peer not told", "vm", peer.VM, "error", err) // the next message makes up for it
		}
	}
}

func (t *Reporter) hear() {
	buffer := make([]byte, maxMessage)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // the connection is closed
		}
		t.guard.Guard("peer message", func() { t.take(buffer[:n], from) })
	}
}

// take takes in one message.
func (t *Reporter) take(text []byte, from netip.AddrPort) {
	var m message
	if err := cbor.Unmarshal(text, &m); err != nil {
		t.logger.Warn("peer message not understood", "error", err)
		return
	}
	if !t.isNews(m, from) {
		return
	}
	t.state.Receive(m.VM, m.Counts, Notices{
		Strikes: m.Strikes, Cancelled: m.Cancelled, Failing: m.Failing, Leaving: m.Leaving,
		Summary: m.Summary,
	}, time.Now())
}

// maxFirstLines bounds the lines about VMs that are heard for the first time: at the
// start of a large fleet each VM hears hundreds.
const maxFirstLines = 20

// noteStart logs a VM that has started anew, or that is heard for the first time.
func (t *Reporter) noteStart(m message, known bool) {
	level := slog.LevelInfo
	if !known && len(t.heard) >= maxFirstLines {
		level = slog.LevelDebug
	}
	t.logger.Log(context.Background(), level, "peer heard", "vm", m.VM, "boot", m.Boot)
}

// isNews tells whether a message is newer than the last one of its sender.
func (t *Reporter) isNews(m message, from netip.AddrPort) bool {
	if m.VM == t.vm {
		return false
	}
	last, found := t.heard[m.VM]
	if found && last.Boot == m.Boot && last.Sequence >= m.Sequence {
		return false
	}
	if !found || last.Boot != m.Boot {
		t.noteStart(m, found)
		t.met(from)
	}
	m.Counts, m.Strikes, m.Cancelled, m.Failing, m.Leaving, m.Summary = nil, nil, nil, nil, nil, nil
	t.heard[m.VM] = m
	return true
}
