package quotakeeper_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
)

// newKeeperOf returns the keeper of VM a in a fleet with the given other VMs, with a quota of one team.
func newKeeperOf(limit quotakeeper.Limit, others ...quotakeeper.Member) *quotakeeper.Keeper {
	k := quotakeeper.New(quotakeeper.Member{VM: "a", Domain: "d"}, 1, quotakeeper.Terms{Window: time.Second})
	k.SetMembers(others)
	k.SetLimits(map[string]quotakeeper.Limit{"team": limit}, time.Unix(0, 0))
	return k
}

// admitAll returns how many of n requests a VM admits that is the team's keeper itself.
func admitAll(k *quotakeeper.Keeper, n int, now time.Time) int {
	admitted := 0
	for range n {
		if k.Admit("team", now).Outcome == quotakeeper.Admitted {
			admitted++
		}
		k.Step(now)
	}
	return admitted
}

// Guards against: a message with a value that is no number opens a team for good, or closes it.
func TestMessagesWithValuesThatAreNoNumbers(t *testing.T) {
	limit := quotakeeper.Limit{PerSecond: 0.001, Burst: 10}
	now := time.Unix(0, 0)
	nan := float32(math.NaN())
	known := quotakeeper.Known{Account: 7, Fullness: nan}
	undisturbed := admitAll(newKeeperOf(limit), 100, now)
	expect := func(name string, message quotakeeper.Message) {
		t.Run(name, func(t *testing.T) {
			k := newKeeperOf(limit)
			qt.Assert(t, admitAll(k, 1, now), qt.Equals, 1)
			k.Receive("b", message, now)
			qt.Check(t, 1+admitAll(k, 99, now), qt.Equals, undisturbed)
		})
	}
	expect("report", quotakeeper.Message{Reports: []quotakeeper.Report{{Team: "team", Series: 1, Known: &known}}})
	expect("state", quotakeeper.Message{States: []quotakeeper.State{{Team: "team", Known: known}}})
	expect("verdict", quotakeeper.Message{Verdicts: []quotakeeper.Verdict{
		{Team: "team", Series: 1, Total: quotakeeper.Total{Admitted: 1}, Account: 7, Tokens: nan, Fullness: nan},
	}})
	expect("infinite", quotakeeper.Message{Verdicts: []quotakeeper.Verdict{
		{Team: "team", Series: 1, Total: quotakeeper.Total{Admitted: 1}, Account: 7, Tokens: float32(math.Inf(1))},
	}})
}

// Guards against: a team whose quota the keeper learns of later than other VMs counts as one that has used it.
func TestKeeperThatLearnsOfAQuotaLater(t *testing.T) {
	limit := quotakeeper.Limit{PerSecond: 1, Burst: 10}
	now := time.Unix(0, 0)
	for n := range 100 {
		b := fmt.Sprint("b", n)
		vm := newKeeperOf(limit, quotakeeper.Member{VM: b, Domain: "d"})
		keeper := quotakeeper.New(quotakeeper.Member{VM: b, Domain: "d"}, 1000, quotakeeper.Terms{Window: time.Second})
		keeper.SetMembers([]quotakeeper.Member{{VM: "a", Domain: "d"}})
		if exchange(vm, keeper, b, now) == 0 {
			continue // VM a is the keeper
		}
		keeper.SetLimits(map[string]quotakeeper.Limit{"team": limit}, now)
		exchange(vm, keeper, b, now)
		qt.Check(t, vm.Admit("team", now).Outcome, qt.Equals, quotakeeper.Admitted)
		return
	}
	t.Fatal("no other VM is the keeper")
}

// exchange has VM a admit a request, and passes messages to its peer and back. It returns the number of reports.
func exchange(a, peer *quotakeeper.Keeper, name string, now time.Time) int {
	a.Admit("team", now)
	reports := 0
	sent, _ := a.Step(now)
	for _, e := range sent {
		reports += len(e.Message.Reports)
		peer.Receive("a", e.Message, now)
	}
	answers, _ := peer.Step(now)
	for _, e := range answers {
		a.Receive(name, e.Message, now)
	}
	return reports
}
