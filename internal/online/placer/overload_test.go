package placer_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// withTarget returns a request that has just arrived, with a latency target.
func withTarget(target time.Duration) placer.OnlineWork {
	return placer.OnlineWork{Service: "lm", Target: start.Add(target), WaitUntil: start.Add(time.Second)}
}

// busyPlacer returns a placer whose only upstream, with two slots, has n online
// requests of another VM.
func busyPlacer(n int) *placer.Placer { return busyPlacerOf(2, n) }

// busyPlacerOf is busyPlacer for an upstream with the given number of slots.
func busyPlacerOf(slots, n int) *placer.Placer {
	list := testUpstreams(1, "a")
	list[0].Sequences = slots
	p := newPlacer("vm1", list)
	p.ReceiveReport("vm2", placer.Report{"a0": {Online: n}}, start)
	return p
}

func expectOnline(t *testing.T, p *placer.Placer, work placer.OnlineWork, after time.Duration, want error) {
	t.Helper()
	_, err := p.AcquireOnline(work, start.Add(after))
	if want == nil {
		qt.Check(t, err, qt.IsNil)
		return
	}
	qt.Check(t, err, qt.ErrorIs, want)
}

func TestRequestThatCanMeetItsTargetQueuesAtTheUpstream(t *testing.T) {
	expectOnline(t, busyPlacer(2), withTarget(3*time.Second), 0, nil)
}

func TestRequestThatWouldMissItsTargetInTheQueueWaits(t *testing.T) {
	expectOnline(t, busyPlacer(2), withTarget(300*time.Millisecond), 0, placer.ErrRetryLater)
}

func TestRequestTakesAFreeSlotWhateverItsTarget(t *testing.T) {
	expectOnline(t, busyPlacer(1), withTarget(300*time.Millisecond), 0, nil)
}

func TestLateRequestLeavesTheLastFreeSlotsToOthers(t *testing.T) {
	expectLate := func(t *testing.T, slots, taken int, want error) {
		t.Helper()
		expectOnline(t, busyPlacerOf(slots, taken), withTarget(300*time.Millisecond), 400*time.Millisecond, want)
	}
	t.Run("the last two of eight", func(t *testing.T) { expectLate(t, 8, 6, placer.ErrRetryLater) })
	t.Run("no more than that", func(t *testing.T) { expectLate(t, 8, 5, nil) })
	t.Run("an upstream with few places has none to spare", func(t *testing.T) { expectLate(t, 2, 1, nil) })
	t.Run("but those that others have", func(t *testing.T) { expectLate(t, 2, 2, placer.ErrRetryLater) })
}

// A late request must not wait for the nearest upstream while a more distant one has enough slots.
func TestLateRequestUsesTheFreeSlotsOfOtherDomains(t *testing.T) {
	list := testUpstreams(1, "a", "b")
	for i := range list {
		list[i].Sequences = 8
	}
	p := newPlacer("vm1", list)
	p.ReceiveReport("vm2", placer.Report{"a0": {Online: 6}}, start)
	slot, err := p.AcquireOnline(withTarget(300*time.Millisecond), start.Add(400*time.Millisecond))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, slot.Upstream().ID, qt.Equals, "b0")
}

func TestRequestWaitsForALimitedTime(t *testing.T) {
	expectOnline(t, busyPlacer(9), withTarget(300*time.Millisecond), time.Second, nil)
}

func TestRequestWithoutATargetDoesNotWait(t *testing.T) {
	expectOnline(t, busyPlacer(9), onlineWork, 0, nil)
}

// A request is rejected at once only if it could not start even in a queue that moves twice as
// fast as expected.
func TestRequestThatCanNotStartBeforeItsDeadlineIsRejected(t *testing.T) {
	t.Run("eight in the queue for two slots", func(t *testing.T) { expectNoRoom(t, measured(t, 1, 9), true) })
	t.Run("a queue that may move faster", func(t *testing.T) { expectNoRoom(t, measured(t, 1, 6), false) })
	t.Run("a free slot", func(t *testing.T) { expectNoRoom(t, measured(t, 1, 1), false) })
	t.Run("another upstream without a queue", func(t *testing.T) { expectNoRoom(t, measured(t, 2, 9), false) })
	t.Run("how long requests hold a slot isn't known", func(t *testing.T) { expectNoRoom(t, busyPlacer(9), false) })
	t.Run("no deadline", func(t *testing.T) { expectOnline(t, measured(t, 1, 9), onlineWork, 0, nil) })
}

// expectNoRoom acquires a slot for a request that has a second.
func expectNoRoom(t *testing.T, p *placer.Placer, want bool) {
	t.Helper()
	work := onlineWork
	work.Deadline = start.Add(time.Second)
	_, err := p.AcquireOnline(work, start)
	var noRoom *placer.NoRoomError
	qt.Assert(t, errors.As(err, &noRoom), qt.Equals, want)
	if want {
		qt.Check(t, noRoom.RoomAt().After(work.Deadline), qt.IsTrue)
	}
}

// measured is busyPlacer with a number of upstreams, the first of which is busy, on one of which a
// request has held a slot for 750 ms.
func measured(t *testing.T, upstreams, n int) *placer.Placer {
	t.Helper()
	p := newPlacer("vm1", testUpstreams(upstreams, "a"))
	slot, err := p.AcquireOnline(onlineWork, start.Add(-750*time.Millisecond))
	qt.Assert(t, err, qt.IsNil)
	p.RecordAnswer(slot, start)
	p.Release(slot, start)
	p.ReceiveReport("vm2", placer.Report{"a0": {Online: n}}, start)
	return p
}

const (
	domainVMs       = 4
	domainUpstreams = 6 // with two slots each
)

// twoDomains is a VM of domain a that receives reports of its own domain often, and
// those of the remote domain c rarely.
type twoDomains struct {
	p   *placer.Placer
	now time.Time
}

func newTwoDomains() *twoDomains {
	d := &twoDomains{p: newPlacer("a-vm0", testUpstreams(domainUpstreams, "a", "c")), now: start}
	vms := map[string][]string{}
	for n := range domainVMs {
		vms["a"] = append(vms["a"], fmt.Sprint("a-vm", n))
		vms["c"] = append(vms["c"], fmt.Sprint("c-vm", n))
	}
	d.p.SetVMs(vms)
	return d
}

// reportLoad delivers reports of the other VMs of a domain: each has the given number of
// online requests on each of the domain's upstreams.
func (d *twoDomains) reportLoad(domain string, online int) {
	report := placer.Report{}
	for n := range domainUpstreams {
		report[fmt.Sprint(domain, n)] = placer.Count{Online: online}
	}
	for n := 1; n < domainVMs; n++ {
		d.p.ReceiveReport(fmt.Sprint(domain, "-vm", n), report, d.now)
	}
}

// simulate advances the time while the local domain reports its load often, and the
// remote domain, which has none, rarely.
func (d *twoDomains) simulate(length time.Duration, local int) {
	const localInterval, remoteInterval = 10 * time.Millisecond, 500 * time.Millisecond
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(localInterval) {
		d.reportLoad("a", local)
		if d.now.Sub(start)%remoteInterval == 0 {
			d.reportLoad("c", 0)
		}
	}
}

func (d *twoDomains) expectDomain(t *testing.T, want string) {
	t.Helper()
	slot, err := d.p.AcquireOnline(onlineWork, d.now)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, slot.Upstream().Domain, qt.Equals, want)
}

// The load steps up everywhere, and the remote domain's last report predates the step.
func TestStaleRemoteLoadAttractsNoRequestsAfterAStepUp(t *testing.T) {
	d := newTwoDomains()
	d.simulate(10*time.Second, 0)
	d.simulate(200*time.Millisecond, 1)
	d.expectDomain(t, "a")
}

// The load steps up in the local domain only, and the remote domain reports free
// slots.
func TestIdleRemoteDomainTakesTheOverflow(t *testing.T) {
	d := newTwoDomains()
	d.simulate(10*time.Second, 0)
	d.simulate(2*time.Second, 1)
	d.expectDomain(t, "c")
}
