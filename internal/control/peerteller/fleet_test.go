package peerteller

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/control/fleetidentifier"
	"github.com/fescuespindle/fescuespindle/internal/online/crashanalyzer"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/ratelimiter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
)

// received is a State that records what it receives.
type received struct {
	State
	jobs []string
	// configuration is the version that the last message had.
	configuration uint64
	crashes       int
	limits        int
}

func (r *received) Receive(_ string, _ placer.Report, notices Notices, _ time.Time) {
	r.jobs = append(r.jobs, notices.Cancelled...)
	r.configuration = notices.Configuration
}

func (r *received) ReceiveCrashes(crashanalyzer.Report, bool, time.Time) { r.crashes++ }

func (r *received) ReceiveLimits(ratelimiter.Report, bool, time.Time) { r.limits++ }

// earlierMessage is a message as an earlier release sends and receives it.
type earlierMessage struct {
	VM        string        `cbor:"vm"`
	Boot      uint64        `cbor:"boot"`
	Sequence  uint64        `cbor:"sequence"`
	Counts    placer.Report `cbor:"counts"`
	Cancelled []string      `cbor:"cancelled,omitempty"`
}

// laterMessage is a message with a field that this release doesn't know.
type laterMessage struct {
	message
	Later map[string]int `cbor:"later"`
}

// handle passes a message to a Reporter of fleet 7. It returns what its State received and whether
// its sender counts as a new peer.
func handle(t *testing.T, sent any) (state *received, isPeer bool) {
	t.Helper()
	data, err := cbor.Marshal(sent)
	qt.Assert(t, err, qt.IsNil)
	logger, counters := slog.New(slog.DiscardHandler), counter.New(metrics.NewSet())
	fleet := fleetidentifier.NewFleet(counters, logger)
	fleet.Adopt(7)
	state = &received{}
	r, err := New("self", "d", 1, "127.0.0.1:0", supervisor.New(counters, logger), logger,
		WithFleet(fleet), WithNewPeer(func(netip.AddrPort) { isPeer = true }))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = r.conn.Close() }()
	r.SetState(state)
	r.handleMessage(data, netip.MustParseAddrPort("127.0.0.2:1"))
	return state, isPeer
}

func messageOf(fleet uint64) message {
	return message{
		VM: "a", Fleet: fleet, Sequence: 1, Cancelled: []string{"j"}, Crashes: &crashanalyzer.Report{},
		Limits: ratelimiter.Report{"u": {}}, Configuration: 5,
	}
}

// Guards against: the end of a job of another fleet ends a job here.
func TestMessagesOfAnotherFleetAreIgnored(t *testing.T) {
	expect := func(t *testing.T, sent any, want received) {
		t.Helper()
		got, isPeer := handle(t, sent)
		qt.Check(t, got.jobs, qt.DeepEquals, want.jobs)
		qt.Check(t, got.crashes, qt.Equals, want.crashes)
		qt.Check(t, got.limits, qt.Equals, want.limits)
		qt.Check(t, got.configuration, qt.Equals, want.configuration)
		qt.Check(t, isPeer, qt.Equals, len(want.jobs) > 0)
	}
	all := received{jobs: []string{"j"}, crashes: 1, limits: 1, configuration: 5}
	t.Run("another", func(t *testing.T) { expect(t, messageOf(8), received{}) })
	t.Run("same", func(t *testing.T) { expect(t, messageOf(7), all) })
	t.Run("fleet unknown to the sender", func(t *testing.T) { expect(t, messageOf(0), all) })
	t.Run("sender of an earlier release", func(t *testing.T) {
		expect(t, earlierMessage{VM: "a", Sequence: 1, Cancelled: []string{"j"}}, received{jobs: []string{"j"}})
	})
	t.Run("sender of a later release", func(t *testing.T) {
		expect(t, laterMessage{message: messageOf(7), Later: map[string]int{"x": 1}}, all)
	})
}

// Guards against: VMs of an earlier release can't read the messages of this one.
func TestEarlierReleaseReadsMessages(t *testing.T) {
	data, err := cbor.Marshal(messageOf(7))
	qt.Assert(t, err, qt.IsNil)
	var got earlierMessage
	qt.Assert(t, cbor.Unmarshal(data, &got), qt.IsNil)
	qt.Check(t, got, qt.DeepEquals, earlierMessage{VM: "a", Sequence: 1, Cancelled: []string{"j"}})
}

// Guards against: a VM that doesn't know its fleet names the fleet 0, which later releases could reject.
func TestUnknownFleetIsNotNamed(t *testing.T) {
	data, err := cbor.Marshal(message{VM: "a"})
	qt.Assert(t, err, qt.IsNil)
	var fields map[string]any
	qt.Assert(t, cbor.Unmarshal(data, &fields), qt.IsNil)
	_, found := fields["fleet"]
	qt.Check(t, found, qt.IsFalse)
}
