package batchrunner_test

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchrunner"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/forwarder"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/supervisor"
	"github.com/fescuespindle/fescuespindle/internal/standins/rowemulator"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// fleet is a set of VMs, upstreams and a store under a synthetic clock.
type fleet struct {
	t               *testing.T
	store           *rowemulator.Store
	network         *standin.Network
	upstreams       []*standin.Upstream
	placerUpstreams []placer.Upstream
	inFlight        sync.WaitGroup // calls of callers
	memoryBytes     int64          // of each VM that starts, for items; 0 means enough

	mu    sync.Mutex
	alive map[batchkeeper.Owner]bool
	// receivers are the VMs that take over jobs from others, by name; nil means none.
	receivers map[string]*vm
	// sentJobs are the jobs that VMs have sent to others.
	sentJobs []jobmover.Job
	// wrapPlacer replaces the placer of each VM that starts, if it is not nil.
	wrapPlacer func(batchrunner.Placer) batchrunner.Placer
	// wrapKeeper replaces the keeper of each runner that starts, if it is not nil.
	wrapKeeper func(batchrunner.Keeper) batchrunner.Keeper
	logger     *slog.Logger            // of the VMs that start
	beforeMove func(job *jobmover.Job) // changes a job that is handed over
	retention  time.Duration           // of results, after that of the route; 0 means that jobs are never removed
}

// vm is one VM of a fleet.
type vm struct {
	owner  batchkeeper.Owner
	keeper *batchkeeper.Keeper
	placer *placer.Placer
	runner *batchrunner.Runner
	stop   func()
	// counters are the runner's.
	counters *counter.Counters
	// config is the configuration in force at the VM, and asOf the version of the store up to
	// which it has all changes.
	config atomic.Pointer[router.Table]
	asOf   atomic.Uint64
	// pause is how long the runner stands still at its next tick, in ns.
	pause atomic.Int64
}

// Table implements batchrunner.Configuration.
func (v *vm) Table() *router.Table { return v.config.Load() }

// AsOf implements batchrunner.Configuration. The runner calls it at each tick.
func (v *vm) AsOf() uint64 {
	time.Sleep(time.Duration(v.pause.Swap(0)))
	return v.asOf.Load()
}

// setConfiguration sets the configuration in force at the VM, as of a version of the store.
func (v *vm) setConfiguration(t *router.Table, asOf uint64) {
	v.config.Store(t)
	v.asOf.Store(asOf)
}

// inFleet runs a test on a fleet without VMs. Each of its upstreams has two slots and
// answers requests as plan says.
func inFleet(
	t *testing.T, upstreams int, plan func(upstream string, r *http.Request) standin.Plan, test func(f *fleet),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, store: rowemulator.New(), network: standin.NewNetwork(), alive: map[batchkeeper.Owner]bool{}}
		f.logger = slog.New(slog.DiscardHandler)
		for n := range upstreams {
			id := fmt.Sprint("u", n)
			u := standin.NewUpstream(id, 2, func(r *http.Request) standin.Plan { return plan(id, r) })
			defer f.network.Serve(id+":1", u)()
			f.upstreams = append(f.upstreams, u)
			f.placerUpstreams = append(f.placerUpstreams, placer.Upstream{
				ID: id, Service: "lm", Address: id + ":1", Domain: "d", Sequences: 2,
			})
		}
		test(f)
	})
}

func fastPlan(string, *http.Request) standin.Plan {
	return standin.Plan{Events: 5, Gap: 100 * time.Millisecond}
}

var table = router.NewTable(router.Configuration{Version: 1, Routes: []router.Route{{
	Name: "r", Host: "h", Prefix: "/b/", Kind: router.KindBatch, MaxAttempts: 3,
	Shares: []router.Share{{Service: "lm", Weight: 1}},
}}})

// start starts a VM.
func (f *fleet) start(name string) *vm { return f.startOn(name, 1, f.store) }

// startOn starts a process of a VM with its own connection to the store.
func (f *fleet) startOn(name string, boot uint64, store rowstore.Store) *vm {
	owner := batchkeeper.Owner{VM: name, Boot: boot}
	logger := f.logger
	v := &vm{owner: owner, keeper: batchkeeper.New(store, owner, 64<<10, logger)}
	v.setConfiguration(table, math.MaxUint64)
	v.placer = placer.New(name, "d", map[string]string{"d": "r"},
		placer.WithOnChange(func(placer.Change) { v.runner.Wake() }))
	v.placer.SetUpstreams(f.placerUpstreams)
	sender := forwarder.New(platform.Codec{}.AnswerID, forwarder.WithDial(f.network.Dial))
	v.counters = counter.New(metrics.NewSet())
	var slots batchrunner.Placer = v.placer
	if f.wrapPlacer != nil {
		slots = f.wrapPlacer(v.placer)
	}
	var jobs batchrunner.Keeper = v.keeper
	if f.wrapKeeper != nil {
		jobs = f.wrapKeeper(jobs)
	}
	v.runner = batchrunner.New(owner, jobs, slots, courier.New(sender, v.placer, platform.Codec{}, logger), f,
		v, rationer.New(cmp.Or(f.memoryBytes, 64<<20)), supervisor.New(v.counters, logger), v.counters, logger,
		batchrunner.WithMover(f), batchrunner.WithResultRetention(f.retention))
	f.setAlive(owner, true)
	v.runner.Start()
	time.Sleep(200 * time.Millisecond) // until it has read the store
	v.stop = func() {
		f.setAlive(owner, false)
		v.runner.Stop()
		sender.Close()
	}
	return v
}

func (f *fleet) setAlive(owner batchkeeper.Owner, alive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alive[owner] = alive
}

// Replaced implements batchrunner.Members.
func (f *fleet) Replaced(string, uint64, uint64) bool { return false }

// View implements batchrunner.Members.
func (f *fleet) View(time.Time) memberkeeper.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	var vms []memberkeeper.Member
	for owner, alive := range f.alive {
		if alive {
			vms = append(vms, memberkeeper.Member{VM: owner.VM, Domain: "d"})
		}
	}
	return memberkeeper.NewView(vms, vms, len(vms))
}

// submit submits the job "j" with a number of items to a VM.
func (f *fleet) submit(v *vm, items int) { f.submitAs(v, "j", items) }

func (f *fleet) submitAs(v *vm, id string, items int) {
	s := batchkeeper.Submission{
		ID: id, Route: "r", Host: "h", Retention: time.Minute, CompletionTarget: 18 * time.Second, Items: itemsOf(items),
	}
	stored, _, err := v.keeper.Submit(f.t.Context(), s)
	qt.Assert(f.t, err, qt.IsNil)
	v.runner.Adopt(stored, s.Items, nil)
}

// itemsOf returns n items.
func itemsOf(n int) []batchkeeper.Item {
	items := make([]batchkeeper.Item, n)
	for i := range items {
		items[i] = batchkeeper.Item{ID: fmt.Sprint("item", i), URI: "/b/x", Header: batchkeeper.NewHeader(http.Header{}), Tokens: 10}
	}
	return items
}

// expectResults waits and then compares the results of the job "j". Each is an item and
// its outcome: "ok" for the complete output, or "given up".
func (f *fleet) expectResults(v *vm, wait time.Duration, want ...string) {
	f.t.Helper()
	time.Sleep(wait)
	page, err := v.keeper.Results(f.t.Context(), batchkeeper.Caller{}, "j", 0)
	qt.Assert(f.t, err, qt.IsNil)
	var got []string
	for _, r := range page.Results {
		got = append(got, r.Item+" "+outcomeOf(r))
	}
	slices.Sort(got)
	qt.Check(f.t, got, qt.DeepEquals, want)
}

func outcomeOf(r batchkeeper.Result) string {
	if !r.Done {
		return "given up"
	}
	if string(r.Output) == completeOutput(r.Item, normalEvents) {
		return "ok"
	}
	return "wrong: " + string(r.Output)
}

// runs returns the runs on all upstreams.
func (f *fleet) runs() []standin.Run {
	var all []standin.Run
	for _, u := range f.upstreams {
		all = append(all, u.Runs()...)
	}
	return all
}

func TestItemsRunOnFreeSlots(t *testing.T) {
	inFleet(t, 2, fastPlan, func(f *fleet) {
		v := f.start("a")
		defer v.stop()
		f.submit(v, 5)
		f.expectResults(v, 10*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok", "item4 ok")
		qt.Check(f.t, f.runs(), qt.HasLen, 5, qt.Commentf("each runs once"))
		qt.Check(f.t, v.placer.Report(), qt.HasLen, 0)
	})
}

func TestItemYieldsToOnlineWorkAndResumes(t *testing.T) {
	inFleet(t, 1, fastPlan, func(f *fleet) {
		v := f.start("a")
		defer v.stop()
		f.submit(v, 1)
		time.Sleep(250 * time.Millisecond)
		v.placer.ReceiveReport("b", placer.Report{"u0": {Online: 2}}, time.Now())
		v.runner.Wake()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		qt.Check(f.t, f.upstreams[0].Running(), qt.Equals, 0)
		v.placer.ReceiveReport("b", placer.Report{}, time.Now())
		f.expectResults(v, 10*time.Second, "item0 ok")
		runs := f.runs()
		qt.Assert(f.t, runs, qt.HasLen, 2)
		qt.Check(f.t, runs[1].LastEvent, qt.Equals, 2, qt.Commentf("resumes after the events that were received"))
	})
}

func TestFailingItems(t *testing.T) {
	expect := func(t *testing.T, plan standin.Plan, wait time.Duration, wantRuns int, want ...string) {
		t.Helper()
		inFleet(t, 2, func(string, *http.Request) standin.Plan { return plan }, func(f *fleet) {
			v := f.start("a")
			defer v.stop()
			f.submit(v, 1)
			f.expectResults(v, wait, want...)
			qt.Check(f.t, f.runs(), qt.HasLen, wantRuns)
		})
	}
	t.Run("with an error each time", func(t *testing.T) {
		expect(t, standin.Plan{Status: http.StatusInternalServerError}, 10*time.Second, 3, "item0 given up")
	})
	t.Run("because they can't be done", func(t *testing.T) {
		expect(t, standin.Plan{Status: http.StatusUnprocessableEntity}, 10*time.Second, 1, "item0 given up")
	})
	t.Run("again and again, but get farther each time", func(t *testing.T) {
		expect(t, standin.Plan{Events: 5, BreakAfter: 2, Gap: time.Millisecond}, 10*time.Second, 3, "item0 ok")
	})
	t.Run("and crash what runs them at once, with longer and longer pauses until they expire", func(t *testing.T) {
		crash := standin.Plan{BodyBytes: 1, BreakBody: true} // ends within the first event
		expect(t, crash, 50*time.Second, 13)
		expect(t, crash, 90*time.Second, 14, "item0 given up")
	})
	t.Run("refused while there is no room", func(t *testing.T) {
		expect(t, standin.Plan{NotRun: true}, 30*time.Second, 0)
	})
	t.Run("without any answer", func(t *testing.T) {
		expect(t, standin.Plan{NeverAnswer: true}, 50*time.Second, 9)
		expect(t, standin.Plan{NeverAnswer: true}, 90*time.Second, 10, "item0 given up")
	})
}

// Guards against: answers of an upstream that never ends them count as errors of the item, which is given up after max_attempts of
// them, though no upstream has answered 422 or 500.
func TestEndlessAnswersCostNoAttempts(t *testing.T) {
	endless := standin.Plan{Events: 1 << 30, LongData: true}
	t.Run("at one upstream", func(t *testing.T) {
		inFleet(t, 2, func(upstream string, r *http.Request) standin.Plan {
			if upstream == "u0" {
				return endless
			}
			return fastPlan(upstream, r)
		}, func(f *fleet) {
			v := f.start("a")
			defer v.stop()
			f.submit(v, 4)
			f.expectResults(v, 20*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok")
		})
	})
	t.Run("at all, for one item, with longer and longer pauses until it expires", func(t *testing.T) {
		inFleet(t, 2, func(upstream string, r *http.Request) standin.Plan {
			if r.Header.Get("Request-Id") == "item0" {
				return endless
			}
			return fastPlan(upstream, r)
		}, func(f *fleet) {
			v := f.start("a")
			defer v.stop()
			f.submit(v, 2)
			f.expectResults(v, 40*time.Second, "item1 ok")
			qt.Check(f.t, len(f.runs()) < 20, qt.IsTrue, qt.Commentf("%d runs", len(f.runs())))
			f.expectResults(v, 60*time.Second, "item0 given up", "item1 ok")
		})
	})
}

func TestJobOfALostVMIsTakenOver(t *testing.T) {
	inFleet(t, 2, fastPlan, func(f *fleet) {
		a, b := f.start("a"), f.start("b")
		defer b.stop()
		f.submit(a, 6)
		time.Sleep(700 * time.Millisecond)
		a.stop()
		f.expectResults(b, 15*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok", "item4 ok", "item5 ok")
	})
}

// Guards against starting a long item over when the owner of its job is lost: the next
// owner resumes it from its last checkpoint.
func TestTakeoverResumesFromCheckpoint(t *testing.T) {
	plan := func(string, *http.Request) standin.Plan { return standin.Plan{Events: 200, Gap: 50 * time.Millisecond} }
	inFleet(t, 2, plan, func(f *fleet) {
		a, b := f.start("a"), f.start("b")
		defer b.stop()
		f.submit(a, 1)
		time.Sleep(7 * time.Second)
		a.stop()
		time.Sleep(10 * time.Second)
		resumed := 0
		for _, run := range f.runs() {
			resumed = max(resumed, run.LastEvent)
		}
		qt.Check(f.t, resumed >= 60, qt.IsTrue, qt.Commentf("resumed after event %d", resumed))
		page, err := b.keeper.Results(f.t.Context(), batchkeeper.Caller{}, "j", 0)
		qt.Assert(f.t, err, qt.IsNil)
		qt.Check(f.t, page.Results, qt.HasLen, 1)
	})
}

// rejectingStore is a connection to the store that rejects all writes while rejecting is set.
type rejectingStore struct {
	rowstore.Store
	rejecting atomic.Bool
}

// Transact implements rowstore.Store.
func (g *rejectingStore) Transact(ctx context.Context, tx rowstore.Tx) (rowstore.Snapshot, error) {
	if g.rejecting.Load() {
		return rowstore.Snapshot{}, rowstore.ErrNotDone
	}
	return g.Store.Transact(ctx, tx)
}

func TestCutOffOwnerAddsNothingToAJobTakenOver(t *testing.T) {
	inFleet(t, 2, fastPlan, func(f *fleet) {
		connection := &rejectingStore{Store: f.store}
		a, b := f.startOn("a", 1, connection), f.start("b")
		defer a.stop()
		defer b.stop()
		f.submit(a, 4)
		connection.rejecting.Store(true) // it continues to run the job but can't renew its record
		time.Sleep(6 * time.Second)
		connection.rejecting.Store(false)
		f.expectResults(b, 9*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok")
		records, err := b.keeper.Scan(f.t.Context())
		qt.Assert(f.t, err, qt.IsNil)
		qt.Check(f.t, records[0].Owner, qt.Equals, b.owner)
	})
}

// Guards against parts that no VM watches: jobs are spread over many parts, of which
// each VM scans only some.
func TestJobsOfALostVMAreTakenOverInEveryPart(t *testing.T) {
	const jobs = 60
	inFleet(t, 8, fastPlan, func(f *fleet) {
		a := f.start("a")
		var others []*vm
		for n := range 5 {
			others = append(others, f.start(fmt.Sprint("b", n)))
			defer others[n].stop()
		}
		for n := range jobs {
			f.submitAs(a, fmt.Sprint("j", n), 1)
		}
		a.stop()
		time.Sleep(25 * time.Second)
		records, err := others[0].keeper.Scan(f.t.Context())
		qt.Assert(f.t, err, qt.IsNil)
		qt.Check(f.t, records, qt.HasLen, jobs)
		owners := map[string]int{}
		for _, record := range records {
			qt.Check(f.t, record.Open(), qt.IsFalse, qt.Commentf("%s", record.ID))
			owners[record.Owner.VM]++
		}
		for vm, n := range owners {
			qt.Check(f.t, n <= jobs/2, qt.IsTrue, qt.Commentf("%s took over %d", vm, n))
		}
	})
}

func TestReleasedJobContinuesOnAnotherVM(t *testing.T) {
	inFleet(t, 2, fastPlan, func(f *fleet) {
		a, b := f.start("a"), f.start("b")
		defer b.stop()
		f.submit(a, 2)
		time.Sleep(250 * time.Millisecond)
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		a.runner.Release(ctx)
		qt.Check(f.t, ctx.Err(), qt.IsNil)
		a.stop()
		f.expectResults(b, 10*time.Second, "item0 ok", "item1 ok")
		runsFromStart := 0
		for _, run := range f.runs() {
			if run.LastEvent == 0 {
				runsFromStart++
			}
		}
		qt.Check(f.t, runsFromStart, qt.Equals, 2, qt.Commentf("no item starts over"))
	})
}

func TestCancelledJobStopsOnItsOwner(t *testing.T) {
	inFleet(t, 1, func(string, *http.Request) standin.Plan {
		return standin.Plan{Events: 100, Gap: 100 * time.Millisecond}
	}, func(f *fleet) {
		a, b := f.start("a"), f.start("b")
		defer a.stop()
		defer b.stop()
		f.submit(a, 4)
		time.Sleep(300 * time.Millisecond)
		qt.Assert(f.t, b.keeper.Cancel(f.t.Context(), batchkeeper.Caller{}, "j"), qt.IsNil)
		time.Sleep(2 * time.Second)
		qt.Check(f.t, f.upstreams[0].Running(), qt.Equals, 0)
		before := len(f.runs())
		time.Sleep(20 * time.Second)
		qt.Check(f.t, f.runs(), qt.HasLen, before)
	})
}

func TestUncommittedResultsOutliveAnOutage(t *testing.T) {
	inFleet(t, 2, fastPlan, func(f *fleet) {
		v := f.start("a")
		defer v.stop()
		f.submit(v, 4)
		f.store.SetDown(true)
		time.Sleep(8 * time.Second)
		f.store.SetDown(false)
		f.expectResults(v, 2*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok")
		qt.Check(f.t, f.runs(), qt.HasLen, 4)
	})
}

// Guards against: in a fleet of more than 96 VMs, a job that a VM has accepted never runs when
// the VM's domain has no upstreams, as those of other domains get no batch work of it.
func TestJobOfADomainWithoutUpstreamsRunsInAnother(t *testing.T) {
	inFleet(t, 2, fastPlan, func(f *fleet) {
		for i := range f.placerUpstreams {
			f.placerUpstreams[i].Domain, f.placerUpstreams[i].Sequences = "other", 7
		}
		v := f.start("a")
		defer v.stop()
		vms := map[string][]string{"d": {"a"}}
		for n := range placer.MaxFullMeshVMs {
			vms["other"] = append(vms["other"], fmt.Sprint("other", n))
		}
		v.placer.SetVMs(vms)
		f.submit(v, 3)
		f.expectResults(v, 10*time.Second, "item0 ok", "item1 ok", "item2 ok")
	})
}
