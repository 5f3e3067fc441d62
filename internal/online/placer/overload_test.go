package placer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

// inAim is a request that has just come, with an aim for its first event.
func inAim(aim time.Duration) placer.OnlineWork {
	return placer.OnlineWork{Service: "lm", Target: start.Add(aim), WaitUntil: start.Add(time.Second)}
}

// filled returns a placer whose only upstream, of two places, has so many online
// requests of another VM.
func filled(n int) *placer.Placer { return filledOf(2, n) }

// filledOf is filled, with an upstream of so many places.
func filledOf(places, n int) *placer.Placer {
	list := engines(1, "a")
	list[0].Sequences = places
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

func TestARequestThatCanBeInTimeQueuesAtTheUpstream(t *testing.T) {
	expectOnline(t, filled(2), inAim(3*time.Second), 0, nil)
}

func TestARequestThatWouldMissItsAimInTheQueueWaits(t *testing.T) {
	expectOnline(t, filled(2), inAim(300*time.Millisecond), 0, placer.ErrRetryLater)
}

func TestARequestTakesAFreePlaceWhateverItsAim(t *testing.T) {
	expectOnline(t, filled(1), inAim(300*time.Millisecond), 0, nil)
}

func TestARequestThatIsLateLeavesTheLastPlacesToOthers(t *testing.T) {
	expectLate := func(t *testing.T, places, taken int, want error) {
		t.Helper()
		expectOnline(t, filledOf(places, taken), inAim(300*time.Millisecond), 400*time.Millisecond, want)
	}
	t.Run("the last two of eight", func(t *testing.T) { expectLate(t, 8, 6, placer.ErrRetryLater) })
	t.Run("no more than that", func(t *testing.T) { expectLate(t, 8, 5, nil) })
	t.Run("an upstream with few places has none to spare", func(t *testing.T) { expectLate(t, 2, 1, nil) })
	t.Run("but those that others have", func(t *testing.T) { expectLate(t, 2, 2, placer.ErrRetryLater) })
}

func TestARequestWaitsForALimitedTime(t *testing.T) {
	expectOnline(t, filled(9), inAim(300*time.Millisecond), time.Second, nil)
}

func TestARequestWithoutAnAimDoesNotWait(t *testing.T) {
	expectOnline(t, filled(9), onlineWork, 0, nil)
}

const (
	domainVMs     = 4
	domainEngines = 6 // of two places each
)

// twoDomains is a VM of domain a that hears VMs of its own domain all the time, and
// those of the far domain c rarely.
type twoDomains struct {
	p   *placer.Placer
	now time.Time
}

func newTwoDomains() *twoDomains {
	d := &twoDomains{p: newPlacer("a-vm0", engines(domainEngines, "a", "c")), now: start}
	vms := map[string][]string{}
	for n := range domainVMs {
		vms["a"] = append(vms["a"], fmt.Sprint("a-vm", n))
		vms["c"] = append(vms["c"], fmt.Sprint("c-vm", n))
	}
	d.p.SetVMs(vms)
	return d
}

// tell lets the VMs of a domain tell their work: so many requests on each of its
// upstreams by each VM.
func (d *twoDomains) tell(domain string, online int) {
	report := placer.Report{}
	for n := range domainEngines {
		report[fmt.Sprint(domain, n)] = placer.Count{Online: online}
	}
	for n := 1; n < domainVMs; n++ {
		d.p.ReceiveReport(fmt.Sprint(domain, "-vm", n), report, d.now)
	}
}

// live lets time pass while the near domain tells its work often, and the far one,
// which has none, seldom.
func (d *twoDomains) live(length time.Duration, near int) {
	const nearGap, farGap = 10 * time.Millisecond, 500 * time.Millisecond
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(nearGap) {
		d.tell("a", near)
		if d.now.Sub(start)%farGap == 0 {
			d.tell("c", 0)
		}
	}
}

func (d *twoDomains) expectDomain(t *testing.T, want string) {
	t.Helper()
	place, err := d.p.AcquireOnline(onlineWork, d.now)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, place.Upstream().Domain, qt.Equals, want)
}

// The load steps up everywhere. What is known of the far domain is of before.
func TestFarPlacesThatWereFreeBeforeAStepUpDrawNothing(t *testing.T) {
	d := newTwoDomains()
	d.live(10*time.Second, 0)
	d.live(200*time.Millisecond, 1)
	d.expectDomain(t, "a")
}

// The load steps up in one domain only, and the other one tells that it has room.
func TestAFarDomainThatStaysCalmTakesWhatTheNearOneCanNot(t *testing.T) {
	d := newTwoDomains()
	d.live(10*time.Second, 0)
	d.live(2*time.Second, 1)
	d.expectDomain(t, "c")
}
