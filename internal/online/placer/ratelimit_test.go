package placer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/ratelimiter"
)

// limitAll makes the given upstreams name a limit of one request per second.
func limitAll(p *placer.Placer, ids ...string) {
	report := ratelimiter.Report{}
	for _, id := range ids {
		report[id] = ratelimiter.Named{PerSecond: 1}
	}
	p.ReceiveRateLimits(report, false, start)
}

func expectError(t *testing.T, p *placer.Placer, work placer.OnlineWork, after time.Duration, want error) {
	t.Helper()
	slot, err := p.AcquireOnline(work, start.Add(after))
	if want != nil {
		qt.Check(t, err, qt.ErrorIs, want)
		return
	}
	qt.Assert(t, err, qt.IsNil)
	p.Release(slot, start.Add(after))
}

// Guards against: requests beyond the rate limits of all upstreams wait until their timeout,
// although nothing will take them.
func TestRequestBeyondAllRateLimitsIsRejectedAtOnce(t *testing.T) {
	p := newPlacer("vm1", testUpstreams(1, "a"))
	limitAll(p, "a0")
	work := withTarget(300 * time.Millisecond)
	work.LimitWaitUntil = start.Add(50 * time.Millisecond)
	expectError(t, p, work, 0, placer.ErrRetryLater)
	expectError(t, p, work, 50*time.Millisecond, placer.ErrRateLimited)
	expectError(t, p, work, time.Second, nil)
	expectError(t, p, work, time.Second, placer.ErrRateLimited)
}

func TestRequestBeyondARateLimitGoesElsewhere(t *testing.T) {
	p := newPlacer("vm1", testUpstreams(1, "a", "c"))
	limitAll(p, "a0")
	expectDomains(t, p, "c", "c", "c")
}

func TestUpstreamWithARateLimitIsUsedByFewVMs(t *testing.T) {
	expect := func(self string, want error) {
		t.Helper()
		p := newPlacer(self, testUpstreams(1, "b"))
		p.SetVMs(map[string][]string{"a": {"vm1"}, "b": {"vm2", "vm3"}})
		limitAll(p, "b0")
		expectError(t, p, onlineWork, 3*time.Second, want)
	}
	expect("vm1", placer.ErrRateLimited)
	expect("vm2", nil)
	expect("vm3", nil)
}

func TestUpstreamOfADomainWithoutVMsIsUsedByOthers(t *testing.T) {
	p := newPlacer("vm1", testUpstreams(1, "b"))
	p.SetVMs(map[string][]string{"a": {"vm1"}})
	limitAll(p, "b0")
	expectError(t, p, onlineWork, time.Second, nil)
}

func TestBatchWorkPrefersUpstreamsWithARateLimit(t *testing.T) {
	p := newPlacer("vm1", testUpstreams(2, "a"))
	limitAll(p, "a1")
	slot, found := p.AcquireBatch(urgentWork, start.Add(2*time.Second))
	qt.Assert(t, found, qt.IsTrue)
	qt.Check(t, slot.Upstream().ID, qt.Equals, "a1")
	slot, found = p.AcquireBatch(urgentWork, start.Add(2*time.Second))
	qt.Assert(t, found, qt.IsTrue)
	qt.Check(t, slot.Upstream().ID, qt.Equals, "a0")
}

func TestRestartedUpstreamHasNoRateLimit(t *testing.T) {
	list := testUpstreams(1, "a")
	p := newPlacer("vm1", list)
	limitAll(p, "a0")
	list[0].ProcessStart = 9
	p.SetUpstreams(list)
	expectError(t, p, onlineWork, 0, nil)
}
