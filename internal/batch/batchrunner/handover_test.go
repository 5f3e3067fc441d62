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
	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// Move implements batchrunner.Mover.
func (f *fleet) Move(ctx context.Context, name string, job jobmover.Job) error {
	f.mu.Lock()
	f.sentJobs = append(f.sentJobs, job)
	to, found := f.receivers[name]
	f.mu.Unlock()
	if !found {
		return jobmover.ErrNotTakenOver
	}
	if f.beforeMove != nil {
		f.beforeMove(&job)
	}
	text, err := cbor.Marshal(job) // as it is sent
	qt.Assert(f.t, err, qt.IsNil)
	var arrived jobmover.Job
	qt.Assert(f.t, lenientdecoder.Decode(text, &arrived), qt.IsNil)
	if !to.runner.TakeOver(ctx, arrived) {
		return jobmover.ErrNotTakenOver
	}
	return nil
}

// setReceivers sets the VMs that take over jobs from others.
func (f *fleet) setReceivers(vms ...*vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivers = map[string]*vm{}
	for _, v := range vms {
		f.receivers[v.owner.VM] = v
	}
}

// shutDown shuts a VM down gracefully.
func (f *fleet) shutDown(v *vm) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 3*time.Second)
	defer cancel()
	v.runner.Release(ctx)
	qt.Check(f.t, ctx.Err(), qt.IsNil)
	v.stop()
}

func slowPlan(string, *http.Request) standin.Plan {
	return standin.Plan{Events: normalEvents, Gap: 400 * time.Millisecond}
}

// runsFromStart returns the number of runs that began with the first event.
func (f *fleet) runsFromStart() int {
	n := 0
	for _, run := range f.runs() {
		if run.LastEvent == 0 {
			n++
		}
	}
	return n
}

// Guards against jobs that stop or start over when VMs restart during an outage of the
// store. Two VMs are shut down in turn while it is down; their jobs continue on the
// next one and are written when the store is back.
func TestJobsContinueThroughARollingRestartInAnOutage(t *testing.T) {
	inFleet(t, 2, slowPlan, func(f *fleet) {
		a, b, c := f.start("a"), f.start("b"), f.start("c")
		defer c.stop()
		f.setReceivers(a, b, c)
		f.submit(a, 4)
		time.Sleep(time.Second)
		f.store.SetDown(true)
		time.Sleep(200 * time.Millisecond)
		f.shutDown(a)
		time.Sleep(500 * time.Millisecond)
		f.shutDown(b)
		time.Sleep(3 * time.Second)
		qt.Check(f.t, f.runsFromStart(), qt.Equals, 4, qt.Commentf("each item starts once"))
		f.store.SetDown(false)
		f.expectResults(c, 2*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok")
		qt.Check(f.t, f.runsFromStart(), qt.Equals, 4, qt.Commentf("no item starts over"))
	})
}

// Guards against losing results in a handover: those that could not be committed yet,
// during an outage of the store, are handed over too.
func TestUncommittedResultsAreHandedOver(t *testing.T) {
	inFleet(t, 2, fastPlan, func(f *fleet) {
		a, b := f.start("a"), f.start("b")
		defer b.stop()
		f.setReceivers(a, b)
		f.submit(a, 4)
		f.store.SetDown(true)
		time.Sleep(2 * time.Second)
		f.shutDown(a)
		time.Sleep(time.Second)
		f.store.SetDown(false)
		f.expectResults(b, 2*time.Second, "item0 ok", "item1 ok", "item2 ok", "item3 ok")
		qt.Check(f.t, f.runs(), qt.HasLen, 4)
	})
}

// Guards against duplicate results after a handover. A write of the VM that shuts down
// takes effect, but its response is lost, or it takes effect late or twice, so the next
// owner doesn't know whether these results are in the store.
func TestLateWriteOfPreviousOwnerDuplicatesNothing(t *testing.T) {
	for call := range 8 {
		for _, kind := range []fault{answerLost, callLate, doubled} {
			t.Run(fmt.Sprint(call, " ", kind), func(t *testing.T) {
				inFleet(t, 2, fastPlan, func(f *fleet) {
					a, end := f.startFaulty(map[int]fault{call: kind})
					b := f.start("b")
					defer b.stop()
					f.setReceivers(a, b)
					if f.submitTo(a, "j", itemsOf(4)) != nil {
						end()
						return // rejected: no job was accepted
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

// Guards against two owners of a job that one VM has taken over in a handover while
// another one has claimed it in the store.
func TestHandedOverJobThatAnotherVMClaimedHasOneOwner(t *testing.T) {
	inFleet(t, 2, slowPlan, func(f *fleet) {
		a, b, c := f.start("a"), f.start("b"), f.start("c")
		defer b.stop()
		defer c.stop()
		f.setReceivers(b)
		f.submit(a, 4)
		time.Sleep(time.Second)
		f.store.SetDown(true)
		f.shutDown(a)
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

// Guards against a handover to a VM that is itself shutting down.
func TestDrainingVMTakesOverNoJob(t *testing.T) {
	inFleet(t, 2, slowPlan, func(f *fleet) {
		a, b := f.start("a"), f.start("b")
		f.setReceivers(a, b)
		f.submit(a, 2)
		f.shutDown(b)
		f.shutDown(a)
		c := f.start("c")
		defer c.stop()
		f.expectResults(c, 9*time.Second, "item0 ok", "item1 ok")
	})
}
