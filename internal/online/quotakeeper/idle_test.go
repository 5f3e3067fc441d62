package quotakeeper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
)

// Guards against: a team that was idle for long has less than its burst, as its keeper has forgotten it.
func TestTeamThatWasIdleHasItsBurst(t *testing.T) {
	const burst = 200
	self := quotakeeper.Member{VM: "a", Domain: "d"}
	k := quotakeeper.New(self, 1, quotakeeper.Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	k.SetMembers(nil)
	now := time.Unix(0, 0)
	k.SetLimits(map[string]quotakeeper.Limit{"team": {PerSecond: 1, Burst: burst}}, now)
	admitAll(k, 2*burst, now)
	for _, idle := range []time.Duration{9 * time.Minute, time.Hour} {
		for end := now.Add(idle); now.Before(end); {
			_, pause := k.Step(now)
			now = now.Add(pause)
		}
		admitted := admitAll(k, 2*burst, now)
		qt.Check(t, admitted >= burst, qt.IsTrue, qt.Commentf("%d admitted after %v", admitted, idle))
	}
}
