package quotakeeper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
)

// Guards against: a VM that is short of processor time, all of whose steps are late, waits for a lost keeper for good
// and rejects the teams of that keeper.
func TestLostKeeperIsReplacedByAVMWhoseStepsAreLate(t *testing.T) {
	const latency = 60 * time.Millisecond
	var others []quotakeeper.Member
	for _, vm := range []string{"b", "c", "e", "f"} { // all lost
		others = append(others, quotakeeper.Member{VM: vm, Domain: "d"})
	}
	k := newKeeperOf(quotakeeper.Limit{PerSecond: 100, Burst: 100}, others...)
	now := time.Unix(0, 0)
	for now.Before(time.Unix(10, 0)) {
		k.Admit("team", now)
		_, pause := k.Step(now)
		now = now.Add(pause + latency)
	}
	d := k.Admit("team", now)
	qt.Check(t, d.Outcome, qt.Equals, quotakeeper.Admitted, qt.Commentf("%d requests uncounted", d.Pending))
}
