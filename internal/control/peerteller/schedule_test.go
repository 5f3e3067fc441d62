package peerteller

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/healthtracker"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

var start = time.Unix(1_700_000_000, 0)

// peersOf returns n peers of a failure domain.
func peersOf(domain string, remote bool, n int) []Peer {
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{VM: fmt.Sprint(domain, i), Domain: domain, Remote: remote})
	}
	return peers
}

// countMessages counts the messages of one minute by domain of the recipient, if work on
// an upstream of a domain changes at a fixed interval.
func countMessages(peers []Peer, domain string, every time.Duration) map[string]int {
	s := NewSchedule("self", "a", nil)
	sent := map[string]int{}
	for at := time.Duration(0); at < time.Minute; at += time.Millisecond {
		if at%every == 0 {
			s.Change(placer.Change{Domain: domain})
		}
		now := start.Add(at)
		if now.Before(s.Next()) {
			continue
		}
		for _, p := range s.TakeDue(peers, now) {
			sent[p.Domain]++
		}
	}
	return sent
}

func TestFirstSendersAreInformedAtOnce(t *testing.T) {
	peers := append(peersOf("a", false, 1), append(peersOf("b", false, 1), peersOf("c", true, 1)...)...)
	s := NewSchedule("self", "a", nil)
	s.TakeDue(peers, start)
	expect := func(change placer.Change, want ...string) {
		t.Helper()
		s.Change(change)
		var got []string
		for _, p := range s.TakeDue(peers, start.Add(2*time.Millisecond)) {
			got = append(got, p.Domain)
		}
		s.lastSent[groupLocal] = start
		qt.Check(t, got, qt.DeepEquals, want)
	}
	expect(placer.Change{Domain: "a"}, "a")
	expect(placer.Change{Domain: "b"}, "a", "b")
	expect(placer.Change{Domain: "c"}, "a")
	expect(placer.Change{Domain: "a", Yielding: []string{"c0"}}, "a", "c")
}

// With a steady load on a VM's own domain, the number of messages to other domains is
// bounded by the period per peer, for any number of VMs.
func TestMessagesUnderSteadyLoadAreBounded(t *testing.T) {
	expect := func(region, remote int) {
		t.Helper()
		peers := append(peersOf("a", false, 14), append(peersOf("b", false, region), peersOf("c", true, remote)...)...)
		sent := countMessages(peers, "a", 25*time.Millisecond)
		qt.Check(t, sent["b"] <= int(time.Minute/regionPeriodPerPeer)+region, qt.IsTrue, qt.Commentf("%d", sent["b"]))
		qt.Check(t, sent["c"] <= int(time.Minute/remotePeriodPerPeer)+remote, qt.IsTrue, qt.Commentf("%d", sent["c"]))
	}
	expect(4, 4)
	expect(28, 43)
}

func TestIdleVMSendsPeriodically(t *testing.T) {
	sent := countMessages(peersOf("c", true, 43), "a", time.Hour)
	qt.Check(t, sent["c"] >= 43*60, qt.IsTrue, qt.Commentf("%d", sent["c"]))
}

// A failing upstream is reported to all VMs at once. A series of failures, as when many
// connections are reset, takes a bounded number of messages.
func TestFailureIsReportedToAllAtOnceWithBoundedMessages(t *testing.T) {
	peers := append(peersOf("a", false, 2), append(peersOf("b", false, 2), peersOf("c", true, 2)...)...)
	s := NewSchedule("self", "a", nil)
	sent := 0
	const length = time.Second
	for at := 50 * time.Millisecond; at < length; at += time.Millisecond {
		s.Change(placer.Change{Domain: "a", Failing: map[string]healthtracker.Failure{"u": {ConsecutiveFailures: 1}}})
		for _, p := range s.TakeDue(peers, start.Add(at)) {
			if p.Remote {
				sent++
			}
		}
		if at == 50*time.Millisecond {
			qt.Check(t, sent, qt.Equals, 2)
		}
	}
	most := 2 * int(length/minUrgentPeriod)
	qt.Check(t, sent <= most, qt.IsTrue, qt.Commentf("%d messages to two VMs", sent))
}

// Guards against: while many upstreams fail, as when a third of them crashes again and again,
// each VM tells all others of each failure at once, and the links between regions are so full
// that the store can't be reached over them.
func TestMessagesAboutManyFailuresAreBoundedPerPeer(t *testing.T) {
	peers := append(peersOf("a", false, 14), append(peersOf("b", false, 28), peersOf("c", true, 43)...)...)
	s := NewSchedule("self", "a", nil)
	const length = time.Minute
	sent := map[string]int{}
	for at := time.Duration(0); at < length; at += 5 * time.Millisecond {
		s.Change(placer.Change{Domain: "a", Failing: map[string]healthtracker.Failure{"u": {ConsecutiveFailures: 1}}})
		for _, p := range s.TakeDue(peers, start.Add(at)) {
			sent[p.Domain]++
		}
	}
	qt.Check(t, sent["b"] <= int(length/regionPeriodPerPeer)+28, qt.IsTrue, qt.Commentf("%d", sent["b"]))
	qt.Check(t, sent["c"] <= int(length/remotePeriodPerPeer)+43, qt.IsTrue, qt.Commentf("%d", sent["c"]))
}

// The number of messages that a VM of a large fleet sends depends on its own work and on
// the size of its domain, but not on the size of the fleet.
func TestLoadPerVMIsIndependentOfSizeOfLargeFleet(t *testing.T) {
	const change = 100 * time.Millisecond
	for _, domains := range []int{6, 24} {
		t.Run(fmt.Sprint(domains, " domains"), func(t *testing.T) {
			peers := peersOf("a", false, 48)
			for n := 1; n < domains; n++ {
				peers = append(peers, peersOf(fmt.Sprint("other", n), n > domains/2, 49)...)
			}
			subscribers := []string{"self", "a1", "a2", "a3", "a4"}
			s := NewSchedule("self", "a", func(string) ([]string, bool) { return subscribers, false })
			sent, summaries := map[string]int{}, 0
			for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
				if at%change == 0 {
					s.Change(placer.Change{Upstream: "u", Domain: "a"})
				}
				if now := start.Add(at); !now.Before(s.Next()) {
					for _, p := range s.TakeDue(peers, now) {
						sent[p.VM]++
					}
					summaries += len(s.TakeSummaryDue(peers, now))
				}
			}
			qt.Check(t, sent["a1"], qt.Equals, 100, qt.Commentf("one message a change"))
			qt.Check(t, sent["a9"] >= 9 && sent["a9"] <= 12, qt.IsTrue, qt.Commentf("%d messages", sent["a9"]))
			qt.Check(t, sent["other10"], qt.Equals, 0)
			qt.Check(t, summaries >= 19*(domains-1) && summaries <= 21*(domains-1), qt.IsTrue, qt.Commentf("%d", summaries))
		})
	}
}
