package batchrunner_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// Move implements batchrunner.Mover.
func (f *fleet) Move(ctx context.Context, name string, job jobmover.Job) error {
	f.mu.Lock()
	to, found := f.movers[name]
	f.mu.Unlock()
	if !found {
		return jobmover.ErrNotTaken
	}
	text, err := cbor.Marshal(job) // as on its way
	qt.Assert(f.t, err, qt.IsNil)
	var arrived jobmover.Job
	qt.Assert(f.t, cbor.Unmarshal(text, &arrived), qt.IsNil)
	if !to.runner.Take(ctx, arrived) {
		return jobmover.ErrNotTaken
	}
	return nil
}

// takeJobs lets VMs take jobs over from others.
func (f *fleet) takeJobs(vms ...*vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.movers = map[string]*vm{}
	for _, v := range vms {
		f.movers[v.owner.VM] = v
	}
}

// leave stops a VM as planned.
func (f *fleet) leave(v *vm) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 3*time.Second)
	defer cancel()
	v.runner.Release(ctx)
	qt.Check(f.t, ctx.Err(), qt.IsNil)
	v.stop()
}

func steady(string, *http.Request) standin.Plan {
	return standin.Plan{Events: normalEvents, Gap: 400 * time.Millisecond}
}

// fromStart returns how many runs began with the first event.
func (f *fleet) fromStart() int {
	n := 0
	for _, run := range f.runs() {
		if run.LastEvent == 0 {
			n++
		}
	}
	return n
}

// VMs are stopped in turn while the store is away. Their jobs go on all the while,
// and are written when it is back.
func TestJobsGoOnThroughARollingRestartInAnOutage(t *testing.T) {
	inFleet(t, 2, steady, func(f *fleet) {
		a, b, c := f.start("a"), f.start("b"), f.start("c")
		defer c.stop()
		f.takeJobs(a, b, c)
		f.submit(a, 4)
		time.Sleep(time.Second)
		f.store.SetDown(true)
		time.Sleep(200 * time.Millisecond)
		f.leave(a)
		time.Sleep(500 * time.Millisecond)
		f.leave(b)
		time.Sleep(3 * time.Second)
		qt.Check(f.t, f.fromStart(), qt.Equals, 4, qt.Commentf("each item is begun once"))
		f.store.SetDown(false)
		f.expectResults(c, 2*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok")
		qt.Check(f.t, f.fromStart(), qt.Equals, 4, qt.Commentf("no item starts over"))
	})
}

// Results that are not in the store yet are handed over too.
func TestResultsInHandAreHandedOver(t *testing.T) {
	inFleet(t, 2, fast, func(f *fleet) {
		a, b := f.start("a"), f.start("b")
		defer b.stop()
		f.takeJobs(a, b)
		f.submit(a, 4)
		f.store.SetDown(true)
		time.Sleep(2 * time.Second)
		f.leave(a)
		time.Sleep(time.Second)
		f.store.SetDown(false)
		f.expectResults(b, 2*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok")
		qt.Check(f.t, f.runs(), qt.HasLen, 4)
	})
}

// The last write of the VM that leaves takes effect at some call, and its answer is
// late or lost. Each result has one position all the same.
func TestALateWriteOfTheVMThatLeftDoublesNothing(t *testing.T) {
	for call := range 8 {
		for _, kind := range []trouble{answerLost, callLate, doubled} {
			t.Run(fmt.Sprint(call, " ", kind), func(t *testing.T) {
				inFleet(t, 2, fast, func(f *fleet) {
					a, end := f.startTroubled(map[int]trouble{call: kind})
					b := f.start("b")
					defer b.stop()
					f.takeJobs(a, b)
					if f.handIn(a, "j", itemsOf(4)) != nil {
						end()
						return // refused: nothing was accepted
					}
					time.Sleep(700 * time.Millisecond)
					ctx, cancel := context.WithTimeout(f.t.Context(), 3*time.Second)
					defer cancel()
					a.runner.Release(ctx)
					end()
					f.expectResults(b, 15*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok")
				})
			})
		}
	}
}

// Somebody else has taken the job over in the store meanwhile.
func TestAJobThatAnotherVMOwnsIsDropped(t *testing.T) {
	inFleet(t, 2, steady, func(f *fleet) {
		a, b, c := f.start("a"), f.start("b"), f.start("c")
		defer b.stop()
		defer c.stop()
		f.takeJobs(b)
		f.submit(a, 4)
		time.Sleep(time.Second)
		f.store.SetDown(true)
		f.leave(a)
		f.store.SetDown(false)
		records, err := c.keeper.Scan(f.t.Context())
		qt.Assert(f.t, err, qt.IsNil)
		claimed, claimErr := c.keeper.Claim(f.t.Context(), records[0])
		f.expectResults(c, 9*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok")
		if claimErr == nil {
			qt.Check(f.t, claimed.Owner, qt.Equals, c.owner)
		}
	})
}

// A VM that leaves itself takes nothing over.
func TestAVMThatLeavesTakesNoJob(t *testing.T) {
	inFleet(t, 2, steady, func(f *fleet) {
		a, b := f.start("a"), f.start("b")
		f.takeJobs(a, b)
		f.submit(a, 2)
		f.leave(b)
		f.leave(a)
		c := f.start("c")
		defer c.stop()
		f.expectResults(c, 9*time.Second, "item0 ok", "item1 ok")
	})
}
