// Package peerteller sends reports of this VM's work to other VMs as it changes, and
// receives theirs.
//
// Each message has all counts of its sender, so a lost or reordered message does no
// lasting harm. Messages are UDP datagrams, as there is then no connection that could
// hang.
package peerteller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/repeater"
)

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

// anyFleet is a Fleet without identity.
type anyFleet struct{}

// Identity implements Fleet.
func (anyFleet) Identity() uint64 { return 0 }

// Admit implements Fleet.
func (anyFleet) Admit(uint64, string) bool { return true }

// Reporter sends and receives reports.
type Reporter struct {
	vm        string
	domain    string
	boot      uint64
	conn      *net.UDPConn
	state     State
	guard     Guard
	fleet     Fleet
	logger    *slog.Logger
	onNewPeer func(netip.AddrPort)
	sending   *repeater.Repeater

	mu           sync.Mutex
	peers        []Peer
	schedule     *Schedule
	lastMessages map[string]message // last message of each VM, without its content; used only by receiveLoop
}

// Option configures a Reporter.
type Option func(*Reporter)

// WithNewPeer sets a function that is called with the sender's address when the first
// message of a process of another VM arrives. It must not block.
func WithNewPeer(onNewPeer func(netip.AddrPort)) Option {
	return func(r *Reporter) { r.onNewPeer = onNewPeer }
}

// WithFleet sets what tells this VM's fleet from others. Without it, no message names a fleet and all are
// accepted.
func WithFleet(fleet Fleet) Option {
	return func(r *Reporter) { r.fleet = fleet }
}

// New returns the Reporter of a VM of a failure domain, which listens on a UDP address.
// The boot ID is new at each start of the process. New returns an error if the address is
// invalid or can't be listened on.
func New(
	vm, domain string, boot uint64, address string, guard Guard, logger *slog.Logger, options ...Option,
) (*Reporter, error) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	r := &Reporter{
		vm: vm, boot: boot, conn: conn, guard: guard, logger: logger, sending: repeater.New(),
		lastMessages: map[string]message{}, domain: domain, onNewPeer: func(netip.AddrPort) {},
		fleet: anyFleet{},
	}
	for _, option := range options {
		option(r)
	}
	return r, nil
}

// SetState sets the source and the receiver of reports. It must be called before Run and
// RecordChange.
func (r *Reporter) SetState(s State) {
	r.state = s
	r.schedule = NewSchedule(r.vm, r.domain, s.Subscribers)
}

// SetPeers replaces the list of other VMs.
func (r *Reporter) SetPeers(peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = peers
}

// RecordChange schedules messages about a change of this VM's work on an upstream. It
// blocks only for a short time.
func (r *Reporter) RecordChange(change placer.Change) {
	r.mu.Lock()
	r.schedule.Change(change)
	r.mu.Unlock()
	r.Wake()
}

// Wake makes the Reporter check which messages are due. It doesn't block.
func (r *Reporter) Wake() { r.sending.Wake() }

// Run sends and receives reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(r.receiveLoop)
	sequence := uint64(1)
	r.sending.Run(ctx, func(context.Context) time.Duration {
		pause := r.sendDue(sequence, time.Now())
		sequence += messagesPerRound
		return pause
	})
	_ = r.conn.Close()
	group.Wait()
}

// sendDue sends the messages that are due, and returns the time until the next ones may be.
func (r *Reporter) sendDue(sequence uint64, now time.Time) time.Duration {
	crashNews, hasCrashes := r.state.HasCrashNews(now)
	limitNews, hasLimits := r.state.HasLimitNews(now)
	r.mu.Lock()
	due := r.schedule.TakeDue(r.peers, now)
	summaryDue := r.schedule.TakeSummaryDue(r.peers, now)
	crashesDue := r.schedule.TakeCrashesDue(r.peers, crashNews, hasCrashes, now)
	limitsDue := r.schedule.TakeLimitsDue(r.peers, limitNews, hasLimits, now)
	next := r.schedule.Next()
	r.mu.Unlock()
	r.guard.Guard("peer messages", func() {
		r.state.Expire(now)
		r.send(sequence, due, extras{})
		if len(summaryDue) > 0 {
			r.send(sequence+1, summaryDue, extras{summary: r.state.Summary()})
		}
		r.sendCrashes(sequence+2, crashesDue, now)
		if len(limitsDue) > 0 {
			r.send(sequence+3, limitsDue, extras{limits: r.state.LimitReport(now)})
		}
	})
	return max(next.Sub(now), localPeriod)
}

// messagesPerRound is the number of different messages that sendDue may send at a time.
const messagesPerRound = 4

// sendCrashes sends a report on crashes to some peers if there is anything to report.
func (r *Reporter) sendCrashes(sequence uint64, peers []Peer, now time.Time) {
	if len(peers) == 0 {
		return
	}
	if report := r.state.CrashReport(now); !report.IsEmpty() {
		r.send(sequence, peers, extras{crashes: &report})
	}
}

// send sends a report with some extras to some peers.
func (r *Reporter) send(sequence uint64, peers []Peer, extra extras) {
	if len(peers) == 0 {
		return
	}
	counts, notices := r.state.Report(time.Now())
	data, err := cbor.Marshal(message{
		VM: r.vm, Fleet: r.fleet.Identity(), Boot: r.boot, Sequence: sequence, Counts: counts, Cancelled: notices.Cancelled,
		Failing: notices.Failing, Leaving: notices.Leaving, Summary: extra.summary, Crashes: extra.crashes,
		Sent: notices.Sent, Configuration: notices.Configuration, Limits: extra.limits,
	})
	if err != nil {
		r.logger.Error("encode peer message", "error", err)
		return
	}
	for _, peer := range peers {
		if _, err := r.conn.WriteToUDPAddrPort(data, peer.Address); err != nil {
			r.logger.Debug("sending peer message failed", "vm", peer.VM, "error", err) // the next message makes up for it
		}
	}
}

func (r *Reporter) receiveLoop() {
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // the connection is closed
		}
		r.guard.Guard("peer message", func() { r.handleMessage(buffer[:n], from) })
	}
}

// handleMessage decodes a message, and passes it on if it is of this fleet and newer than the last
// one of its sender.
func (r *Reporter) handleMessage(data []byte, from netip.AddrPort) {
	var m message
	if err := lenientdecoder.Decode(data, &m); err != nil {
		r.logger.Warn("malformed peer message", "error", err)
		return
	}
	if !r.fleet.Admit(m.Fleet, from.Addr().String()) || !r.recordIfNewer(m, from) {
		return
	}
	now := time.Now()
	r.state.Receive(m.VM, m.Counts, Notices{
		Cancelled: m.Cancelled, Failing: m.Failing, Leaving: m.Leaving, Summary: m.Summary, Sent: m.Sent,
		Configuration: m.Configuration,
	}, now)
	if m.Crashes != nil {
		r.state.ReceiveCrashes(*m.Crashes, r.mustRelay(m.VM), now)
	}
	if len(m.Limits) > 0 {
		r.state.ReceiveLimits(m.Limits, r.mustRelay(m.VM), now)
	}
}

// mustRelay returns whether news in a bulletin from a VM must be relayed to the peers of this
// VM's domain, as its sender tells only one VM there.
func (r *Reporter) mustRelay(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !RelaysNews(len(r.peers)) {
		return false
	}
	return slices.ContainsFunc(r.peers, func(p Peer) bool { return p.VM == vm && p.Domain != r.domain })
}

// maxInfoLines bounds the number of peers whose first message is logged at level info: at
// startup each VM of a large fleet receives messages from hundreds.
const maxInfoLines = 20

// logStart logs the first message of a VM, or of a new process of it.
func (r *Reporter) logStart(m message, known bool) {
	level := slog.LevelInfo
	if !known && len(r.lastMessages) >= maxInfoLines {
		level = slog.LevelDebug
	}
	r.logger.Log(context.Background(), level, "peer heard", "vm", m.VM, "boot", m.Boot)
}

// recordIfNewer records a message and returns true if it is newer than the last one of its
// sender. A message of another process of the sender counts as newer, as boot IDs have no
// order. Messages of this VM itself are ignored.
func (r *Reporter) recordIfNewer(m message, from netip.AddrPort) bool {
	if m.VM == r.vm {
		return false
	}
	last, found := r.lastMessages[m.VM]
	if found && last.Boot == m.Boot && last.Sequence >= m.Sequence {
		return false
	}
	if !found || last.Boot != m.Boot {
		r.logStart(m, found)
		r.onNewPeer(from)
	}
	r.lastMessages[m.VM] = message{VM: m.VM, Boot: m.Boot, Sequence: m.Sequence}
	return true
}
