package slotqueuer_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/slotqueuer"
)

var start = time.Now()

const target = 300 * time.Millisecond

// slots is a number of free slots, which requests acquire and never release.
type slots struct {
	queuer *slotqueuer.Queuer
	free   int
	got    []string
	asked  int
}

func newSlots(free int) *slots { return &slots{queuer: slotqueuer.New(), free: free} }

// enter enters a request that arrives after a time. Its name is recorded when it gets a slot.
func (s *slots) enter(name, team string, urgency int, after time.Duration) (*slotqueuer.Ticket, error) {
	now := start.Add(after)
	return s.queuer.Enter(slotqueuer.Request{
		Team: team, Urgency: urgency,
		Work: placer.OnlineWork{Service: "s", Target: now.Add(target), WaitUntil: now.Add(time.Second)},
		Acquire: func(work placer.OnlineWork, now time.Time) error {
			s.asked++
			needed := 1
			if work.IsLate(now) || now.Before(work.YieldUntil) {
				needed = 2
			}
			if s.free < needed {
				return placer.ErrRetryLater
			}
			s.free--
			s.got = append(s.got, name)
			return nil
		},
	}, now)
}

// release frees a slot after a time.
func (s *slots) release(after time.Duration) {
	s.free++
	s.queuer.Ask("s", start.Add(after))
}

func (s *slots) expectWaits(t *testing.T, name, team string, urgency int, after time.Duration) *slotqueuer.Ticket {
	t.Helper()
	ticket, _ := s.enter(name, team, urgency, after)
	qt.Assert(t, ticket, qt.IsNotNil)
	return ticket
}

func (s *slots) expectGot(t *testing.T, want ...string) {
	t.Helper()
	qt.Check(t, s.got, qt.DeepEquals, want)
}

func TestReleasedSlotGoesToTheFirst(t *testing.T) {
	t.Run("in order of arrival", func(t *testing.T) {
		s := newSlots(0)
		first := s.expectWaits(t, "first", "", 0, 0)
		s.expectWaits(t, "second", "", 0, time.Millisecond)
		s.release(2 * time.Millisecond)
		s.expectGot(t, "first")
		<-first.Done()
		qt.Check(t, first.Err(), qt.IsNil)
		qt.Check(t, s.queuer.Waiting(), qt.Equals, 1)
	})
	t.Run("the more urgent", func(t *testing.T) {
		s := newSlots(0)
		s.expectWaits(t, "less", "", 1, 0)
		s.expectWaits(t, "more", "", 0, time.Millisecond)
		s.release(2 * time.Millisecond)
		s.expectGot(t, "more")
	})
	t.Run("of another team than the last", func(t *testing.T) {
		s := newSlots(0)
		s.expectWaits(t, "hot1", "hot", 0, 0)
		s.expectWaits(t, "hot2", "hot", 0, 0)
		s.expectWaits(t, "other", "other", 0, time.Millisecond)
		s.release(2 * time.Millisecond)
		s.release(2 * time.Millisecond)
		s.expectGot(t, "hot1", "other")
	})
	t.Run("that is in time", func(t *testing.T) {
		s := newSlots(0)
		s.expectWaits(t, "late", "", 0, 0)
		s.expectWaits(t, "inTime", "", 0, target)
		s.release(target)
		s.expectGot(t, "inTime")
	})
}

// Upstreams have failed many requests at once, each of which avoids others than the rest.
func TestPollsOfManyRequestsCostLittle(t *testing.T) {
	const requests = 100
	s := newSlots(0)
	for n := range requests {
		_, _ = s.queuer.Enter(slotqueuer.Request{
			Work: placer.OnlineWork{Service: "s", Target: start.Add(target), Avoid: map[string]bool{strconv.Itoa(n): true}},
			Acquire: func(placer.OnlineWork, time.Time) error {
				s.asked++
				return placer.ErrRetryLater
			},
		}, start)
	}
	s.asked = 0
	for n := range requests { // each polls once in 100 ms
		s.queuer.Poll("s", start.Add(time.Duration(n+1)*time.Millisecond))
	}
	qt.Check(t, s.asked > requests, qt.IsTrue, qt.Commentf("asked %d times", s.asked))
	qt.Check(t, s.asked <= requests*requests/5, qt.IsTrue, qt.Commentf("asked %d times", s.asked))
	s.asked = 0
	s.release(requests * time.Millisecond) // at once
	qt.Check(t, s.asked, qt.Equals, requests)
}

func TestNewcomerDoesNotOvertakeThoseThatWait(t *testing.T) {
	s := newSlots(0)
	s.expectWaits(t, "first", "", 0, 0)
	s.free = 1
	s.expectWaits(t, "second", "", 0, time.Millisecond)
	s.expectGot(t, "first")
}

// The wait of a request that left must not end with a slot that nobody uses.
func TestRequestThatLeftGetsNoSlot(t *testing.T) {
	s := newSlots(0)
	ticket := s.expectWaits(t, "left", "", 0, 0)
	qt.Check(t, s.queuer.Leave(ticket), qt.IsTrue)
	s.release(0)
	s.expectGot(t)
	_, err := s.enter("other", "", 0, 0)
	qt.Check(t, err, qt.IsNil)
	s.expectGot(t, "other")
}

func TestLeaveTellsWhetherTheWaitHasEnded(t *testing.T) {
	s := newSlots(0)
	ticket := s.expectWaits(t, "got", "", 0, 0)
	s.release(0)
	qt.Check(t, s.queuer.Leave(ticket), qt.IsFalse)
	s.expectGot(t, "got")
}

// A crowd of requests that wait for the same reason must not cost a look at the upstreams each.
func TestOneRequestOfAKindIsAsked(t *testing.T) {
	s := newSlots(0)
	for range 100 {
		s.expectWaits(t, "", "", 0, 0)
	}
	before := s.asked
	s.queuer.Ask("s", start)
	qt.Check(t, s.asked-before, qt.Equals, 1)
}

func TestYieldingInAShortage(t *testing.T) {
	// demand has teams ask for slots that are free, one of them for much more than the others.
	demand := func(t *testing.T, s *slots, teams ...string) {
		t.Helper()
		s.free = 100
		for _, team := range teams {
			_, err := s.enter(team, team, 0, 0)
			qt.Assert(t, err, qt.IsNil)
		}
	}
	// shortage has a request find no slot for a moment, and leaves one slot free.
	shortage := func(t *testing.T, s *slots) {
		t.Helper()
		s.free = 0
		qt.Assert(t, s.queuer.Leave(s.expectWaits(t, "", "a", 0, 0)), qt.IsTrue)
		s.free = 1
	}
	expectGetsLast := func(t *testing.T, s *slots, team string, want bool) {
		t.Helper()
		ticket, _ := s.enter(team, team, 0, time.Millisecond)
		qt.Check(t, ticket == nil, qt.Equals, want)
	}
	greedy := []string{"hot", "hot", "hot", "hot", "hot", "hot", "a", "b"}
	t.Run("a team that asks for much more than others", func(t *testing.T) {
		s := newSlots(0)
		demand(t, s, greedy...)
		shortage(t, s)
		expectGetsLast(t, s, "hot", false)
	})
	t.Run("not the others", func(t *testing.T) {
		s := newSlots(0)
		demand(t, s, greedy...)
		shortage(t, s)
		expectGetsLast(t, s, "b", true)
	})
	t.Run("not while there are enough slots", func(t *testing.T) {
		s := newSlots(0)
		demand(t, s, greedy...)
		s.free = 1
		expectGetsLast(t, s, "hot", true)
	})
	t.Run("not a team alone", func(t *testing.T) {
		s := newSlots(0)
		demand(t, s, "a", "a", "a", "a")
		shortage(t, s)
		expectGetsLast(t, s, "a", true)
	})
	t.Run("less urgent requests beside more urgent ones", func(t *testing.T) {
		s := newSlots(100)
		_, _ = s.enter("more", "", 0, 0)
		s.free = 0
		waiting := s.expectWaits(t, "more", "", 0, 0)
		s.release(0)
		<-waiting.Done()
		s.free = 1
		less := s.expectWaits(t, "less", "", 1, time.Millisecond)
		s.queuer.Ask("s", start.Add(target/3+2*time.Millisecond)) // no longer than that
		<-less.Done()
	})
}

func TestServicesWithRequestsAreRetained(t *testing.T) {
	s := newSlots(0)
	ticket := s.expectWaits(t, "waits", "", 0, 0)
	s.queuer.Retain(nil)
	s.release(0)
	<-ticket.Done()
	s.queuer.Retain(nil) // it runs
	s.queuer.Done("s", "", start)
	s.queuer.Retain(nil)
	s.release(0)
	_, err := s.enter("later", "", 0, 0)
	qt.Check(t, err, qt.IsNil)
	s.expectGot(t, "waits", "later")
}
