package peerteller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// countCrashReports counts the reports on crashes of ten seconds by recipient.
func countCrashReports(peers []Peer, news, toReport bool) map[string]int {
	s := NewSchedule("self", "a", nil)
	sent := map[string]int{}
	for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
		for _, p := range s.TakeCrashesDue(peers, news, toReport, start.Add(at)) {
			sent[p.VM]++
		}
	}
	return sent
}

func total(sent map[string]int) int {
	n := 0
	for _, of := range sent {
		n += of
	}
	return n
}

func TestAllVMsOfASmallFleetAreToldOfACrash(t *testing.T) {
	peers := append(peersOf("a", false, 3), append(peersOf("b", false, 4), peersOf("c", true, 4)...)...)
	sent := countCrashReports(peers, true, true)
	qt.Check(t, sent, qt.HasLen, len(peers))
	qt.Check(t, sent["c0"], qt.Equals, 40)
	qt.Check(t, countCrashReports(peers, false, false), qt.HasLen, 0)
}

// Guards against: when many upstreams crash at once, the VMs fill the links between regions
// with what they tell each other, until the store can't be reached over them.
func TestReportsOnCrashesAreBoundedInALargeFleet(t *testing.T) {
	peers := append(peersOf("a", false, 14), append(peersOf("b", false, 28), peersOf("c", true, 43)...)...)
	news := countCrashReports(peers, true, true)
	qt.Check(t, news["a0"], qt.Equals, 40)
	qt.Check(t, total(news), qt.Equals, 40*(14+2))
	later := countCrashReports(peers, false, true)
	qt.Check(t, later["a0"], qt.Equals, 5)
	qt.Check(t, total(later), qt.Equals, 5*(14+2))
}

func TestNewsOfACrashIsSentWhenDue(t *testing.T) {
	peers := peersOf("a", false, 2)
	s := NewSchedule("self", "a", nil)
	qt.Check(t, s.TakeCrashesDue(peers, true, true, start), qt.HasLen, 2)
	s.TakeDue(peers, start)
	qt.Check(t, s.Next(), qt.Equals, start.Add(newsPeriod))
	qt.Check(t, s.TakeCrashesDue(peers, true, true, start.Add(time.Millisecond)), qt.HasLen, 0)
	qt.Check(t, s.Next(), qt.Equals, start.Add(newsPeriod))
}
