package yielder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fescuespindle/fescuespindle/internal/batch/yielder"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/propertychecker"
)

var start = time.Unix(1000, 0)

func TestLimitStaysWithinCapacity(t *testing.T) {
	propertychecker.Check(t, func(t *rapid.T) {
		sequences := rapid.IntRange(1, 64).Draw(t, "sequences")
		reserve := rapid.IntRange(0, sequences).Draw(t, "reserve")
		share := rapid.IntRange(0, 100).Draw(t, "share")
		limiter := yielder.New(sequences, reserve, share, start)
		now := start
		batch := 0
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			vm := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
			limiter.SetOnline(vm, rapid.IntRange(0, sequences).Draw(t, "online"), now)
			limit := limiter.Limit(batch, now)
			if limit < 0 || limit > sequences*share/100 {
				t.Fatalf("limit %d is out of bounds", limit)
			}
			if limit > 0 && limit > sequences-reserve-limiter.TotalOnline() {
				t.Fatalf("limit %d with %d online of %d", limit, limiter.TotalOnline(), sequences)
			}
			batch = limit
		}
	})
}

func TestLimitRisesSoonAfterOnlineWorkFalls(t *testing.T) {
	limiter := yielder.New(8, 1, 100, start)
	limiter.SetOnline("a", 6, start)
	qt.Check(t, limiter.Limit(0, start), qt.Equals, 1)
	idleSince := start.Add(time.Second)
	limiter.SetOnline("a", 0, idleSince)
	qt.Check(t, limiter.Limit(0, idleSince.Add(10*time.Millisecond)), qt.Equals, 1)
	qt.Check(t, limiter.Limit(0, idleSince.Add(200*time.Millisecond)) >= 6, qt.IsTrue)
	qt.Check(t, limiter.Limit(0, idleSince.Add(20*time.Second)), qt.Equals, 7)
}

func TestBurstLowersTheLimitImmediately(t *testing.T) {
	limiter := yielder.New(8, 0, 100, start)
	now := start.Add(time.Second)
	qt.Check(t, limiter.Limit(8, now), qt.Equals, 8)
	limiter.SetOnline("b", 5, now)
	qt.Check(t, limiter.Limit(8, now) <= 3, qt.IsTrue)
	limiter.RemoveVM("b", now.Add(time.Millisecond))
	qt.Check(t, limiter.OnlineExcept("a"), qt.Equals, 0)
}

func TestLimitIsZeroUntilNotBefore(t *testing.T) {
	limiter := yielder.New(8, 0, 100, start.Add(time.Second))
	qt.Check(t, limiter.Limit(0, start), qt.Equals, 0)
	qt.Check(t, limiter.Limit(0, start.Add(2*time.Second)), qt.Equals, 8)
}

func TestBatchWorkQueuesOnIdleUpstreamsOnly(t *testing.T) {
	limiter := yielder.New(8, 0, 100, start)
	now := start.Add(time.Second)
	qt.Check(t, limiter.QueueDepth(limiter.Limit(8, now), now), qt.Equals, 1)
	limiter.SetOnline("a", 1, now)
	qt.Check(t, limiter.QueueDepth(limiter.Limit(8, now), now), qt.Equals, 0)
	limiter.SetOnline("a", 0, now)
	qt.Check(t, limiter.QueueDepth(8, now.Add(50*time.Millisecond)), qt.Equals, 0)
	qt.Check(t, limiter.QueueDepth(8, now.Add(time.Second)), qt.Equals, 1)
	qt.Check(t, limiter.QueueDepth(7, now.Add(time.Second)), qt.Equals, 0)
}
