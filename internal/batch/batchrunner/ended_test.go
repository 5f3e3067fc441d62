package batchrunner_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// manyItems is the number of items of jobs that have more items than there are slots.
const manyItems = 40

// startOwner starts the VM "a", which doesn't scan the part of the job "j", and returns when it has run the job
// for a second.
func (f *fleet) startOwner() (*vm, *link) {
	f.t.Helper()
	f.letOthersWatch("a")
	v, toStore := f.startLinked("a")
	f.submit(v, manyItems)
	time.Sleep(time.Second)
	return v, toStore
}

// expectNoStartAfterHandover ends the job of the VM "a", which has lost the store, and checks that
// nothing starts when the job is handed over to the VM "b" later.
func expectNoStartAfterHandover(t *testing.T, atEnd func(b *vm, toStore *link)) {
	t.Helper()
	inFleet(t, 3, slowPlan, func(f *fleet) {
		a, toA := f.startLinked("a")
		b, toB := f.startLinked("b")
		defer b.stop()
		f.setReceivers(b)
		f.submit(a, manyItems)
		time.Sleep(time.Second)
		toA.set(true, true)
		f.end()
		atEnd(b, toB)
		time.Sleep(4 * time.Second)
		stopped := time.Now()
		f.shutDown(a)
		f.expectNoStartSince(stopped, 10*time.Second)
	})
}

// Guards against: a VM starts items of a job that is handed over to it after its end, until its
// claim fails.
func TestJobThatIsHandedOverAfterItsEndStartsNothing(t *testing.T) {
	t.Run("which the receiver has confirmed", func(t *testing.T) {
		expectNoStartAfterHandover(t, func(b *vm, _ *link) { b.runner.Cancelled("j") })
	})
	t.Run("which the receiver doesn't know", func(t *testing.T) {
		expectNoStartAfterHandover(t, func(*vm, *link) {})
	})
}

// Guards against: a store that takes longer to answer than a check waits counts as one that is silent, and a
// VM starts items of a job that is handed over to it after its end, by the word of the sender.
func TestSlowStoreIsNotSilent(t *testing.T) {
	for _, delay := range []time.Duration{600 * time.Millisecond, 750 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			expectNoStartAfterHandover(t, func(_ *vm, toStore *link) { toStore.slowDown(delay) })
		})
	}
}

// Guards against: a VM forgets the end that it has confirmed, and in an outage believes the VM that
// hands the job over.
func TestJobThatIsHandedOverInAnOutageAfterItsEndWasHeardStartsNothing(t *testing.T) {
	expectNoStartAfterHandover(t, func(b *vm, toStore *link) {
		b.runner.Cancelled("j")
		toStore.set(true, true)
	})
}

// Guards against: a VM that has heard of the end of a job, and can't ask the store, hands the job over as
// open, and a VM that hasn't heard of it starts items in the outage.
func TestEndThatWasHeardIsNotLostInAHandover(t *testing.T) {
	inFleet(t, 3, slowPlan, func(f *fleet) {
		a, toA := f.startLinked("a")
		b, toB := f.startLinked("b")
		defer b.stop()
		f.setReceivers(b)
		s := batchkeeper.Submission{ID: "j", Route: "r", Host: "h", Retention: time.Minute, Items: itemsOf(manyItems)}
		stored, _, err := a.keeper.Submit(f.t.Context(), s)
		qt.Assert(t, err, qt.IsNil)
		ended := f.end()
		a.runner.Cancelled("j")
		toA.set(true, true)
		toB.set(true, true)
		a.runner.Adopt(stored, s.Items, nil)
		f.shutDown(a)
		f.expectNoStartSince(ended, 15*time.Second)
	})
}

// moved returns a job as another VM would send it.
func (f *fleet) moved(items int) jobmover.Job {
	return jobmover.Job{
		Record: batchkeeper.Record{
			ID: "j", Route: "r", Host: "h", Items: items, Owner: batchkeeper.Owner{VM: "x", Boot: 1},
			Due: time.Hour, Expires: time.Hour,
		},
		Version: 3, Items: itemsOf(items), Clock: time.Second,
	}
}

// Guards against: a VM runs what any process sends it as a job, although no store has it.
func TestHandedOverJobThatNoStoreHasStartsNothing(t *testing.T) {
	inFleet(t, 3, slowPlan, func(f *fleet) {
		v, _ := f.startLinked("a")
		defer v.stop()
		began := time.Now()
		v.runner.TakeOver(f.t.Context(), f.moved(manyItems))
		f.expectNoStartSince(began, 10*time.Second)
	})
}

// Guards against: a VM that hears of the end of a job while it is getting the job forgets the end,
// and starts items.
func TestEndThatIsHeardBeforeTheJobIsRunHolds(t *testing.T) {
	expectOfLostVM := func(t *testing.T, claimDelay, loadDelay time.Duration) {
		t.Helper()
		inFleet(t, 3, slowPlan, func(f *fleet) {
			a := f.start("a")
			b := f.startGated("b", claimDelay, loadDelay)
			defer b.stop()
			f.submit(a, manyItems)
			time.Sleep(time.Second)
			a.stop()
			f.awaitOwner(b)
			f.end()
			heard := time.Now()
			b.runner.Cancelled("j")
			f.expectNoStartSince(heard, 10*time.Second)
		})
	}
	t.Run("while it is claimed", func(t *testing.T) { expectOfLostVM(t, 2*time.Second, 0) })
	t.Run("while it is loaded", func(t *testing.T) { expectOfLostVM(t, 0, 2*time.Second) })
	t.Run("before it is adopted", func(t *testing.T) {
		inFleet(t, 3, slowPlan, func(f *fleet) {
			v, _ := f.startLinked("a")
			defer v.stop()
			s := batchkeeper.Submission{ID: "j", Route: "r", Host: "h", Retention: time.Minute, Items: itemsOf(manyItems)}
			stored, _, err := v.keeper.Submit(f.t.Context(), s)
			qt.Assert(t, err, qt.IsNil)
			f.end()
			heard := time.Now()
			v.runner.Cancelled("j")
			v.runner.Adopt(stored, s.Items, nil)
			f.expectNoStartSince(heard, 10*time.Second)
		})
	})
}

// awaitOwner waits until a VM owns the job "j" in the store.
func (f *fleet) awaitOwner(v *vm) {
	f.t.Helper()
	for range 1000 {
		records, err := v.keeper.ScanPart(f.t.Context(), batchkeeper.PartOf("j"))
		qt.Assert(f.t, err, qt.IsNil)
		if len(records) == 1 && records[0].Owner == v.owner {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatal("the job has not been claimed")
}

// Guards against: an end that nobody reports is noticed too late by a VM whose load took long, as it
// counts from the end of the load, and its scans are slow.
func TestEndDuringALongLoadIsNoticedInTime(t *testing.T) {
	for load := 2100 * time.Millisecond; load < 3*time.Second; load += 100 * time.Millisecond {
		t.Run(load.String(), func(t *testing.T) {
			inFleet(t, 3, fastPlan, func(f *fleet) {
				a := f.start("a")
				b := f.startGated("b", 0, load)
				defer b.stop()
				f.submit(a, manyItems)
				time.Sleep(time.Second)
				a.stop()
				f.awaitOwner(b)
				ended := f.end()
				f.expectNoStartSince(ended.Add(cancelTime), 10*time.Second)
			})
		})
	}
}

// Guards against: an owner whose write gets no answer starts items of a job that has ended until
// the write's timeout, although the store answers its reads.
func TestOwnerWhoseWriteHangsNoticesTheEndInTime(t *testing.T) {
	for offset := 0 * time.Millisecond; offset < 1200*time.Millisecond; offset += 150 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			inFleet(t, 3, fastPlan, func(f *fleet) {
				v, toStore := f.startOwner()
				defer v.stop()
				time.Sleep(offset)
				toStore.set(false, true)
				ended := f.end()
				f.expectNoStartSince(ended.Add(cancelTime), 10*time.Second)
			})
		})
	}
}

// Guards against: a store that refuses calls because of their rate, in calm, counts as one that is down,
// and items of a job that has ended are started on old evidence.
func TestRefusalsBecauseOfTheRateAreNoOutage(t *testing.T) {
	inFleet(t, 3, fastPlan, func(f *fleet) {
		v, toStore := f.startOwner()
		defer v.stop()
		toStore.limit()
		ended := f.end()
		f.expectNoStartSince(ended.Add(cancelTime), 10*time.Second)
	})
}

// Guards against: a VM that stood still for seconds starts items at once as it goes on, of a job that
// has ended meanwhile.
func TestVMThatStoodStillStartsNothingOfAnEndedJob(t *testing.T) {
	inFleet(t, 3, fastPlan, func(f *fleet) {
		v, _ := f.startOwner()
		defer v.stop()
		v.pause.Store(int64(5 * time.Second))
		time.Sleep(time.Second)
		f.end()
		time.Sleep(2 * time.Second)
		f.expectNoStartSince(time.Now(), 12*time.Second)
	})
}

// Guards against: a VM that stood still for seconds hands a job over as one that is known to be open, and a
// VM of an earlier release, which asks nobody, starts its items.
func TestVMThatStoodStillDoesNotHandAJobOverAsOpen(t *testing.T) {
	inFleet(t, 2, fastPlan, func(f *fleet) {
		v, _ := f.startLinked("a") // a store that answers at once could answer before the handover
		other := f.start("b")
		defer other.stop()
		f.submit(v, manyItems)
		time.Sleep(time.Second)
		v.pause.Store(int64(5 * time.Second))
		time.Sleep(4 * time.Second)
		f.shutDown(v)
		qt.Assert(f.t, len(f.sentJobs) > 0, qt.IsTrue)
		qt.Check(f.t, f.sentJobs[0].Age > 10*time.Second, qt.IsTrue, qt.Commentf("age %v", f.sentJobs[0].Age))
	})
}

// Guards against: an end that was reported by mistake loses a job, or keeps it from running for as long
// as the report is repeated.
func TestFalseReportOfAnEndLosesNothing(t *testing.T) {
	inFleet(t, 3, fastPlan, func(f *fleet) {
		v, _ := f.startLinked("a")
		defer v.stop()
		f.submit(v, 6)
		time.Sleep(200 * time.Millisecond)
		for range 20 {
			v.runner.Cancelled("j")
			time.Sleep(200 * time.Millisecond)
		}
		f.expectResults(v, 4*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok", "item4 ok", "item5 ok")
	})
}

// Guards against: a report of an end that is taken for a repetition of an earlier, false one has no
// effect, and items are started until the next renewal.
func TestEndAfterAFalseReportHolds(t *testing.T) {
	inFleet(t, 3, fastPlan, func(f *fleet) {
		v, _ := f.startLinked("a")
		defer v.stop()
		f.submit(v, manyItems)
		time.Sleep(200 * time.Millisecond)
		v.runner.Cancelled("j")
		time.Sleep(5 * time.Second)
		before := f.runsSince(time.Now().Add(-time.Second))
		qt.Check(t, before > 0, qt.IsTrue, qt.Commentf("the job runs again"))
		f.end()
		v.runner.Cancelled("j")
		f.expectNoStartSince(time.Now().Add(2*storeDelay), 10*time.Second)
		qt.Check(t, f.running(), qt.Equals, 0)
	})
}

// Guards against: a job that is handed over in calm waits for more than the answer of the store, or
// starts before it.
func TestHandedOverJobStartsWithTheAnswerOfTheStore(t *testing.T) {
	inFleet(t, 3, slowPlan, func(f *fleet) {
		a, _ := f.startLinked("a")
		b, _ := f.startLinked("b")
		defer b.stop()
		f.setReceivers(b)
		f.submit(a, 3)
		time.Sleep(time.Second)
		stopped := time.Now()
		f.shutDown(a)
		time.Sleep(time.Second)
		runs := f.runs()
		qt.Assert(t, runs, qt.HasLen, 6)
		for _, run := range runs {
			if run.LastEvent > 0 {
				qt.Check(t, run.Start.Sub(stopped), qt.Equals, storeDelay, qt.Commentf("as soon as the store has answered"))
			}
		}
		qt.Check(t, f.runsFromStart(), qt.Equals, 3)
	})
}

// Guards against: the age of a job that is handed over counts as what the sender says, although the
// sender's clock stood still for a time.
func TestAgeOfAHandedOverJobIsCheckedAgainstTheStoresClock(t *testing.T) {
	inFleet(t, 3, slowPlan, func(f *fleet) {
		v, toStore := f.startLinked("a")
		defer v.stop()
		toStore.set(true, true)
		time.Sleep(20 * time.Second)
		job := f.moved(manyItems)
		job.Clock = v.keeper.Now() - 12*time.Second
		began := time.Now()
		qt.Assert(t, v.runner.TakeOver(f.t.Context(), job), qt.IsTrue)
		f.expectNoStartSince(began, 10*time.Second)
	})
}

// Guards against: a negative age makes the sender's word count for longer than maxRenewalAge.
func TestNegativeAgeOfAHandedOverJobCountsAsZero(t *testing.T) {
	inFleet(t, 3, fastPlan, func(f *fleet) {
		v, toStore := f.startLinked("a")
		defer v.stop()
		toStore.set(true, true)
		job := f.moved(manyItems)
		job.Clock, job.Age = v.keeper.Now(), -time.Hour
		began := time.Now()
		qt.Assert(t, v.runner.TakeOver(f.t.Context(), job), qt.IsTrue)
		f.expectNoStartSince(began.Add(11*time.Second), 15*time.Second)
		qt.Check(t, f.runsSince(began) > 0, qt.IsTrue)
	})
}

// Guards against: jobs that are handed over in an outage don't run until it ends.
func TestHandedOverJobRunsInAnOutage(t *testing.T) {
	expect := func(t *testing.T, outage func(f *fleet, toA, toB *link)) {
		t.Helper()
		inFleet(t, 3, slowPlan, func(f *fleet) {
			a, toA := f.startLinked("a")
			b, toB := f.startLinked("b")
			defer b.stop()
			f.setReceivers(b)
			f.submit(a, 3)
			time.Sleep(time.Second)
			outage(f, toA, toB)
			stopped := time.Now()
			f.shutDown(a)
			time.Sleep(2 * time.Second)
			qt.Check(t, f.runsSince(stopped), qt.Equals, 3)
			f.store.SetDown(false)
			toB.set(false, false)
			f.expectResults(b, 3*time.Second, "item0 ok", "item1 ok", "item2 ok")
			qt.Check(t, f.runsFromStart(), qt.Equals, 3)
		})
	}
	t.Run("with refusals", func(t *testing.T) { expect(t, func(f *fleet, _, _ *link) { f.store.SetDown(true) }) })
	t.Run("without answers", func(t *testing.T) {
		expect(t, func(_ *fleet, toA, toB *link) {
			toA.set(true, true)
			toB.set(true, true)
		})
	})
	t.Run("of writes only", func(t *testing.T) {
		expect(t, func(_ *fleet, toA, toB *link) {
			toA.set(false, true)
			toB.set(false, true)
		})
	})
}

// Guards against: items of a running job wait for an answer of the store that is down.
func TestItemsStartWithoutAPauseInAnOutage(t *testing.T) {
	const gap, outage = 93 * time.Millisecond, 8 * time.Second // no item ends at a tick
	plan := func(string, *http.Request) standin.Plan { return standin.Plan{Events: normalEvents, Gap: gap} }
	inFleet(t, 1, plan, func(f *fleet) {
		v, toStore := f.startLinked("a")
		defer v.stop()
		f.submit(v, manyItems)
		time.Sleep(time.Second)
		toStore.set(true, true)
		began := time.Now()
		time.Sleep(outage)
		possible := int(outage / (normalEvents * gap)) // one after the other
		started := f.runsSince(began)
		qt.Check(t, started >= possible-1, qt.IsTrue, qt.Commentf("%d of %d items", started, possible))
	})
}

// Guards against: the record of each job is read beside its renewals, which costs the store as many
// reads.
func TestNoChecksAreNeededInCalm(t *testing.T) {
	inFleet(t, 3, slowPlan, func(f *fleet) {
		v, _ := f.startLinked("a")
		defer v.stop()
		f.submit(v, manyItems)
		time.Sleep(15 * time.Second)
		qt.Check(t, len(f.runs()) > 0, qt.IsTrue)
		qt.Check(t, v.counters.Get(`job_checks_total{outcome="read"}`), qt.Equals, uint64(0))
	})
}
