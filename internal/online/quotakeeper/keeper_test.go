package quotakeeper_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
)

// limitOf returns the quota of a team with a mean rate, as operators choose it.
func limitOf(mean float64) quotakeeper.Limit {
	return quotakeeper.Limit{PerSecond: 1.6 * mean, Burst: 1.6 * mean}
}

// bound returns how many requests of a team may run within a window.
func bound(t quotakeeper.Terms, l quotakeeper.Limit) int {
	return int((l.PerSecond*t.Window.Seconds()+l.Burst)*(1+t.Overage) + t.Slack)
}

const dayLength = 30 * time.Second

// swinging returns a rate that steps up and down around a mean.
func swinging(mean float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now%(5800*time.Millisecond) < 3400*time.Millisecond {
			return 0.383 * mean
		}
		return 1.87 * mean
	}
}

// hot returns a rate that is seven times a mean for six seconds out of twelve.
func hot(mean float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now%(12*time.Second) >= 6*time.Second {
			return 7 * mean
		}
		return mean
	}
}

// scenario is a load of one team, and what happens to the VMs meanwhile.
type scenario struct {
	name    string
	through int // VMs; 0 means all
	rate    func(mean float64) func(time.Duration) float64
	fault   func(f *fleet)
	// maxNeedless is the share of all requests that may be rejected below the quota.
	maxNeedless float64
}

func (s scenario) run(t *testing.T, vms int, mean float64, seed uint64) {
	t.Helper()
	f := newFleet(vms, seed, map[string]quotakeeper.Limit{"team": limitOf(mean)})
	through := f.vms
	if s.through > 0 {
		through = f.pick(s.through)
	}
	f.load("team", through, dayLength, s.rate(mean))
	if s.fault != nil {
		f.after(8*time.Second, func() { s.fault(f) })
	}
	f.run(dayLength)
	expectKept(t, f, "team", s.maxNeedless)
}

// expectKept checks that a team has kept to its quota in any window, and that hardly a request was
// rejected below it.
func expectKept(t *testing.T, f *fleet, team string, maxNeedless float64) {
	t.Helper()
	limit := f.limits[team]
	most, allowed := mostWithin(f.admitted[team], f.terms.Window), bound(f.terms, limit)
	rejected, all := needless(f.decisions[team], limit), len(f.decisions[team])
	t.Logf("%d of %d in a window; %d of %d requests rejected below the quota, %d admitted, %d messages",
		most, allowed, rejected, all, len(f.admitted[team]), f.messages)
	qt.Check(t, most <= allowed, qt.IsTrue, qt.Commentf("%d of %d in a window", most, allowed))
	qt.Check(t, float64(rejected) <= maxNeedless*float64(all), qt.IsTrue,
		qt.Commentf("%d of %d requests rejected below the quota", rejected, all))
}

func runAll(t *testing.T, scenarios []scenario) {
	t.Helper()
	for _, s := range scenarios {
		for _, vms := range []int{12, 68, 300} {
			means := []float64{0.4, 2, 6, 20, 60}
			if vms >= 300 {
				means = []float64{2, 20} // takes long
			}
			for _, mean := range means {
				t.Run(fmt.Sprintf("%s, %d VMs, %v a second", s.name, vms, mean), func(t *testing.T) {
					seeds := uint64(2)
					if vms >= 300 {
						seeds = 1
					}
					for seed := range seeds {
						s.run(t, vms, mean, seed)
					}
				})
			}
		}
	}
}

// maxNeedlessInTrouble is the share of requests inside their quota that may be rejected while VMs fail.
const maxNeedlessInTrouble = 1.0 / 500

func TestLoads(t *testing.T) {
	runAll(t, []scenario{
		{name: "steps of demand", rate: swinging},
		{name: "hot team through all VMs", rate: hot, maxNeedless: maxNeedlessInTrouble},
		{name: "hot team through three VMs", rate: hot, through: 3, maxNeedless: maxNeedlessInTrouble},
		{name: "hot team through one VM", rate: hot, through: 1, maxNeedless: maxNeedlessInTrouble},
	})
}

// failures are what can happen to VMs, one at a time.
func failures() map[string]func(f *fleet) {
	killed := func(vms func(f *fleet) []*vm, downtime time.Duration) func(f *fleet) {
		return func(f *fleet) {
			for _, v := range vms(f) {
				f.kill(v, downtime)
			}
		}
	}
	keeper := func(f *fleet) []*vm { return []*vm{f.keeperOf(f.anyTeam())} }
	return map[string]func(f *fleet){
		"messages lost":          func(f *fleet) { f.lost = 0.05 },
		"keeper killed":          killed(keeper, 2*time.Second),
		"keeper frozen":          func(f *fleet) { f.freeze(f.keeperOf(f.anyTeam()), 3*time.Second) },
		"keeper slow":            func(f *fleet) { f.keeperOf(f.anyTeam()).delayedBy = 60 * time.Millisecond },
		"half of the VMs killed": killed(func(f *fleet) []*vm { return f.pick(len(f.vms) / 2) }, 3*time.Second),
		"all VMs killed":         killed(func(f *fleet) []*vm { return f.vms }, time.Second),
		"a VM cut off":           func(f *fleet) { f.vms[1].cutOff = true },
		"keeper cut off":         func(f *fleet) { f.keeperOf(f.anyTeam()).cutOff = true },
	}
}

func TestFailuresUnderAHotTeam(t *testing.T) {
	for name, fault := range failures() {
		runAll(t, []scenario{{name: name, rate: hot, fault: fault, maxNeedless: 1}})
	}
}

// Regions that don't reach each other have a part of the quota each.
func TestRegionsApartUnderAHotTeam(t *testing.T) {
	runAll(t, []scenario{{name: "hot team", rate: hot, fault: apart, maxNeedless: 1}})
}

func apart(f *fleet) {
	f.apart = true
	f.after(8*time.Second, func() { f.apart = false })
}

// teamsOf returns the mean rates of a number of teams, a few of them large, of all VMs together.
func teamsOf(teams int, perSecond float64) map[string]float64 {
	sum := 0.0
	for n := range teams {
		sum += 1 / float64(n+1)
	}
	means := map[string]float64{}
	for n := range teams {
		means[fmt.Sprint("team", n)] = perSecond / float64(n+1) / sum
	}
	return means
}

// load is the load of many teams that stay inside their quotas.
type teamLoad struct {
	vms, teams  int
	perSecondVM float64
}

// expectServed checks that at most a share of the requests of teams that stay inside their quotas is rejected.
func (l teamLoad) expectServed(t *testing.T, fault func(f *fleet), maxNeedless float64) {
	t.Helper()
	means := teamsOf(l.teams, l.perSecondVM*float64(l.vms))
	limits := map[string]quotakeeper.Limit{}
	for team, mean := range means {
		limits[team] = limitOf(mean)
	}
	f := newFleet(l.vms, 1, limits)
	for _, team := range slices.Sorted(maps.Keys(means)) {
		f.load(team, f.vms, dayLength, swinging(means[team]))
	}
	f.after(8*time.Second, func() { fault(f) })
	f.run(dayLength)
	rejected, all := 0, 0
	for team, limit := range limits {
		rejected += needless(f.decisions[team], limit)
		all += len(f.decisions[team])
		most := mostWithin(f.admitted[team], f.terms.Window)
		qt.Check(t, most <= bound(f.terms, limit), qt.IsTrue, qt.Commentf("%s: %d in a window", team, most))
	}
	t.Logf("%d of %d requests rejected, %d messages", rejected, all, f.messages)
	qt.Check(t, float64(rejected) <= maxNeedless*float64(all), qt.IsTrue, qt.Commentf("%d of %d requests rejected", rejected, all))
}

var teamLoads = []teamLoad{{68, 76, 6}, {300, 300, 1}}

func (l teamLoad) String() string { return fmt.Sprintf("%d VMs, %d teams", l.vms, l.teams) }

func TestTeamsInsideTheirQuotas(t *testing.T) {
	for _, l := range teamLoads {
		t.Run(l.String(), func(t *testing.T) {
			l.expectServed(t, func(*fleet) {}, 0)
			for name, fault := range failures() {
				t.Run(name, func(t *testing.T) { l.expectServed(t, fault, maxNeedlessInTrouble) })
			}
		})
	}
}

func TestTeamsInsideTheirQuotasWhileRegionsAreApart(t *testing.T) {
	for _, l := range teamLoads {
		t.Run(l.String(), func(t *testing.T) { l.expectServed(t, apart, maxNeedlessInTrouble) })
	}
}

// alone returns the only VM of a fleet, and a function that admits requests until one is rejected.
func alone(limit quotakeeper.Limit) (*fleet, func() int) {
	f := newFleet(1, 1, map[string]quotakeeper.Limit{"team": limit})
	return f, func() int {
		f.now += time.Millisecond
		before := len(f.admitted["team"])
		for len(f.decisions["team"]) == len(f.admitted["team"]) && len(f.decisions["team"]) < 100_000 {
			f.request(f.vms[0], "team")
			f.run(f.now + 5*time.Microsecond)
			f.vms[0].stepNow(f)
		}
		f.decisions["team"] = f.decisions["team"][:len(f.admitted["team"])]
		return len(f.admitted["team"]) - before
	}
}

func TestAbsurdLimits(t *testing.T) {
	expect := func(limit quotakeeper.Limit, want func(admitted int) bool) {
		t.Helper()
		_, admit := alone(limit)
		n := admit()
		qt.Check(t, want(n), qt.IsTrue, qt.Commentf("%+v: %d admitted", limit, n))
	}
	few := func(n int) bool { return n > 0 && n <= 30 }
	unlimited := func(n int) bool { return n >= 100_000 }
	expect(quotakeeper.Limit{PerSecond: 1e-12}, few)
	expect(quotakeeper.Limit{PerSecond: math.SmallestNonzeroFloat64, Burst: -5}, few)
	expect(quotakeeper.Limit{PerSecond: 1, Burst: math.NaN()}, few)
	expect(quotakeeper.Limit{PerSecond: math.Inf(1)}, unlimited)
	expect(quotakeeper.Limit{PerSecond: 1e300, Burst: 1e300}, unlimited)
	expect(quotakeeper.Limit{PerSecond: 0, Burst: 5}, unlimited)
	expect(quotakeeper.Limit{PerSecond: -1}, unlimited)
	expect(quotakeeper.Limit{PerSecond: math.NaN()}, unlimited)
}

// A limit that is lowered holds at once: what was left of a larger burst is gone. One that is raised ends the
// rejections.
func TestChangedLimits(t *testing.T) {
	f, admit := alone(quotakeeper.Limit{PerSecond: 1000, Burst: 1000})
	f.now += 10 * time.Second
	f.setLimit("team", quotakeeper.Limit{PerSecond: 1, Burst: 1})
	n := admit()
	qt.Check(t, n <= bound(f.terms, f.limits["team"]), qt.IsTrue, qt.Commentf("%d admitted", n))
	f.setLimit("team", quotakeeper.Limit{PerSecond: 1000, Burst: 1000})
	f.now += time.Second
	qt.Check(t, admit() >= 500, qt.IsTrue)
	f.setLimit("team", quotakeeper.Limit{})
	qt.Check(t, f.vms[0].keeper.Admit("team", f.at()).Outcome, qt.Equals, quotakeeper.Admitted)
}

func TestRequestsThatDidNotRunAreGivenBack(t *testing.T) {
	f, admit := alone(quotakeeper.Limit{PerSecond: 0.001, Burst: 10})
	n := admit()
	for range 5 {
		f.vms[0].keeper.Return("team", 0)
	}
	f.vms[0].stepNow(f)
	f.now += time.Hour
	m := admit()
	qt.Check(t, m >= 8, qt.IsTrue, qt.Commentf("%d, then %d admitted", n, m))
}

// A VM that doesn't know the others yet admits a few requests of a team.
func TestVMWithoutListOfVMs(t *testing.T) {
	k := quotakeeper.New(quotakeeper.Member{VM: "a", Domain: "d"}, 1, quotakeeper.Terms{Window: time.Second})
	k.SetLimits(map[string]quotakeeper.Limit{"team": {PerSecond: 1000, Burst: 1000}}, start)
	admitted := 0
	for range 100 {
		d := k.Admit("team", start)
		if d.Outcome == quotakeeper.Admitted {
			admitted++
		} else {
			qt.Check(t, d.Outcome, qt.Equals, quotakeeper.Uncounted)
			qt.Check(t, d.Wait > 0, qt.IsTrue)
		}
		envelopes, _ := k.Step(start)
		qt.Check(t, envelopes, qt.HasLen, 0)
	}
	qt.Check(t, admitted > 0 && admitted < 30, qt.IsTrue, qt.Commentf("%d admitted", admitted))
}

// A rejected request is told when to return, and is admitted then.
func TestWait(t *testing.T) {
	f, admit := alone(quotakeeper.Limit{PerSecond: 10, Burst: 10})
	admit()
	d := f.vms[0].keeper.Admit("team", f.at())
	qt.Check(t, d.Outcome, qt.Equals, quotakeeper.OverQuota)
	qt.Check(t, d.Wait > 0 && d.Wait <= time.Second, qt.IsTrue, qt.Commentf("%v", d.Wait))
	f.now += d.Wait
	qt.Check(t, f.vms[0].keeper.Admit("team", f.at()).Outcome, qt.Equals, quotakeeper.Admitted)
}

// Without quotas, nothing is sent.
func TestTeamsWithoutQuota(t *testing.T) {
	f := newFleet(12, 1, nil)
	f.load("team", f.vms, dayLength, swinging(20))
	f.run(dayLength)
	qt.Check(t, f.messages, qt.Equals, 0)
	qt.Check(t, len(f.admitted["team"]), qt.Equals, len(f.decisions["team"]))
}
