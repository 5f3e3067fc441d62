package peerteller_test

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/peerteller"
	"github.com/fescuespindle/fescuespindle/internal/online/crashanalyzer"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/ratelimiter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
)

// state reports a count and passes received reports on to a channel.
type state struct {
	mu       sync.Mutex
	online   int
	panicsOn int // the count on which Receive panics
	received chan placer.Report
	// crashes is reported to other VMs if it is not empty; crashReports is what they report.
	crashes      crashanalyzer.Report
	crashReports chan crashanalyzer.Report
	// limits and limitReports are the same for rate limits.
	limits       ratelimiter.Report
	limitReports chan ratelimiter.Report
}

func (s *state) Report(time.Time) (placer.Report, peerteller.Notices) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return placer.Report{"u": {Online: s.online}}, peerteller.Notices{
		Leaving: map[string]int64{"v": 7}, Cancelled: []string{"j"},
	}
}

func (s *state) Receive(_ string, report placer.Report, notices peerteller.Notices, _ time.Time) {
	if s.panicsOn != 0 && report["u"].Online == s.panicsOn {
		panic("bad message")
	}
	if notices.Leaving["v"] == 7 && len(notices.Cancelled) == 1 {
		s.received <- report
	}
}

func (s *state) HasCrashNews(time.Time) (news, toReport bool) {
	return len(s.crashes.Suspects) > 0, len(s.crashes.Suspects) > 0
}

func (s *state) CrashReport(time.Time) crashanalyzer.Report { return s.crashes }

func (s *state) ReceiveCrashes(report crashanalyzer.Report, _ bool, _ time.Time) {
	s.crashReports <- report
}

func (s *state) HasLimitNews(time.Time) (news, toReport bool) {
	return len(s.limits) > 0, len(s.limits) > 0
}

func (s *state) LimitReport(time.Time) ratelimiter.Report { return s.limits }

func (s *state) ReceiveLimits(report ratelimiter.Report, _ bool, _ time.Time) {
	s.limitReports <- report
}

func (s *state) Summary() placer.Summary { return nil }

func (s *state) Subscribers(string) ([]string, bool) { return nil, true }

func (s *state) Expire(time.Time) {}

func (s *state) set(online int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.online = online
}

// start runs a Reporter until the end of the test.
func start(t *testing.T, vm, address string, s *state) *peerteller.Reporter {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	reporter, err := peerteller.New(vm, vm, uint64(len(vm)), address,
		supervisor.New(counter.New(metrics.NewSet()), logger), logger)
	qt.Assert(t, err, qt.IsNil)
	reporter.SetState(s)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { reporter.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return reporter
}

func TestPeersReceiveChanges(t *testing.T) {
	expect := func(t *testing.T, remote bool, first, second string) {
		t.Helper()
		a, b := &state{received: make(chan placer.Report, 1000)}, &state{received: make(chan placer.Report, 1000)}
		reporter := start(t, "a", first, a)
		start(t, "bb", second, b)
		reporter.SetPeers([]peerteller.Peer{{VM: "bb", Address: netip.MustParseAddrPort(second), Remote: remote}})
		a.set(5)
		reporter.RecordChange(placer.Change{Domain: "a"})
		for report := range b.received {
			if report["u"].Online == 5 {
				break
			}
		}
	}
	t.Run("near", func(t *testing.T) { expect(t, false, "127.0.8.1:18150", "127.0.8.2:18150") })
	t.Run("far", func(t *testing.T) { expect(t, true, "127.0.8.3:18150", "127.0.8.4:18150") })
}

func TestPeersLearnOfCrashes(t *testing.T) {
	const first, second = "127.0.8.7:18150", "127.0.8.8:18150"
	want := crashanalyzer.Report{
		Suspects: []crashanalyzer.Suspect{{ID: 1, Upstream: "u", Age: time.Second, Traits: []crashanalyzer.Trait{7, 8}}},
		Answers:  []crashanalyzer.Answer{{Trait: 8, Age: time.Millisecond}},
	}
	a := &state{received: make(chan placer.Report, 1000), crashes: want}
	b := &state{received: make(chan placer.Report, 1000), crashReports: make(chan crashanalyzer.Report, 1000)}
	reporter := start(t, "a", first, a)
	start(t, "bb", second, b)
	reporter.SetPeers([]peerteller.Peer{{VM: "bb", Address: netip.MustParseAddrPort(second)}})
	reporter.Wake()
	qt.Check(t, <-b.crashReports, qt.DeepEquals, want)
}

func TestPeersLearnOfRateLimits(t *testing.T) {
	const first, second = "127.0.8.9:18150", "127.0.8.10:18150"
	want := ratelimiter.Report{"u": {PerSecond: 2.5, Age: time.Second, ProcessStart: 7}}
	a := &state{received: make(chan placer.Report, 1000), limits: want}
	b := &state{received: make(chan placer.Report, 1000), limitReports: make(chan ratelimiter.Report, 1000)}
	reporter := start(t, "a", first, a)
	start(t, "bb", second, b)
	reporter.SetPeers([]peerteller.Peer{{VM: "bb", Address: netip.MustParseAddrPort(second)}})
	reporter.Wake()
	qt.Check(t, <-b.limitReports, qt.DeepEquals, want)
}

func TestPanicLosesOnlyItsOwnMessage(t *testing.T) {
	const first, second = "127.0.8.5:18150", "127.0.8.6:18150"
	a, b := &state{received: make(chan placer.Report, 1000), online: 3},
		&state{received: make(chan placer.Report, 1000), panicsOn: 3}
	reporter := start(t, "a", first, a)
	start(t, "bb", second, b)
	reporter.SetPeers([]peerteller.Peer{{VM: "bb", Address: netip.MustParseAddrPort(second)}})
	time.AfterFunc(100*time.Millisecond, func() { a.set(5) })
	report := <-b.received
	qt.Check(t, report["u"].Online, qt.Equals, 5)
}
