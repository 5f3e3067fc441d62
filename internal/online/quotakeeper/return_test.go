package quotakeeper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
)

// Guards against: requests that wait for an upstream in vain are given back later, and allow a hot team more than its
// quota once there is room.
func TestRequestsThatAreGivenBackLater(t *testing.T) {
	const (
		wait     = time.Second
		roomAt   = 10 * time.Second
		interval = time.Second / 700 // seven times the quota
	)
	terms := quotakeeper.Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	limit := quotakeeper.Limit{PerSecond: 100, Burst: 100}
	k := quotakeeper.New(quotakeeper.Member{VM: "a", Domain: "d"}, 1, terms)
	k.SetMembers(nil)
	k.SetLimits(map[string]quotakeeper.Limit{"team": limit}, start)
	var ran, waiting []time.Duration
	for at := time.Duration(0); at < 2*roomAt; at += interval {
		for len(waiting) > 0 && at-waiting[0] >= wait {
			k.Return("team", at-waiting[0])
			waiting = waiting[1:]
		}
		switch admitted := k.Admit("team", start.Add(at)).Outcome == quotakeeper.Admitted; {
		case admitted && at < roomAt:
			waiting = append(waiting, at)
		case admitted:
			ran = append(ran, at)
		}
		k.Step(start.Add(at))
	}
	most, allowed := mostWithin(ran, terms.Window), bound(terms, limit)
	qt.Check(t, most <= allowed, qt.IsTrue, qt.Commentf("%d of %d in a window", most, allowed))
}
