package jobrunner_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/batch/chunkfinder"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobrunner"
	"github.com/fescuespindle/fescuespindle/internal/standins/storeemulator"
)

const (
	model    = "scribe-lm"
	step     = 50 * time.Millisecond
	maxLimit = 4
)

// simulatedVM is one VM's cores, and what they have under way.
type simulatedVM struct {
	owner   jobkeeper.Owner
	core    *jobrunner.Runner
	finder  *chunkfinder.Finder
	paused  bool
	pending []func()
	started map[jobrunner.RunID]jobrunner.Start
	stopped map[jobrunner.RunID]bool
}

// simulation is a fleet of VMs on a clock of its own.
type simulation struct {
	t          *testing.T
	now        time.Time
	random     *rand.Rand
	store      *storeemulator.Keeper
	jobs       *jobkeeper.Keeper
	vms        []*simulatedVM
	process    uint64
	firstRead  map[string]string // the first result that a reader saw of each item
	failedRuns map[string]int    // failed runs of each item
	// readableResults is the number of results that a reader last saw of each job.
	readableResults map[string]int
	lastStart       map[string]time.Time // the last start of each job's items
	failingItem     string               // the item that always fails
}

func newSimulation(t *testing.T, vms int, seed uint64) *simulation {
	w := &simulation{
		t: t, now: time.Unix(10_000, 0), random: rand.New(rand.NewPCG(seed, seed)),
		firstRead: map[string]string{}, readableResults: map[string]int{}, failedRuns: map[string]int{}, lastStart: map[string]time.Time{},
	}
	w.store = storeemulator.NewKeeper(w.random)
	w.jobs = jobkeeper.New(w.store)
	for i := range vms {
		w.vms = append(w.vms, nil)
		w.restart(i)
	}
	return w
}

// restart replaces a VM by a fresh process. What the old one had under way may
// still reach the store.
func (w *simulation) restart(i int) {
	w.process++
	vm := &simulatedVM{
		owner:   jobkeeper.Owner{VM: fmt.Sprintf("vm-%d", i), Process: w.process},
		started: map[jobrunner.RunID]jobrunner.Start{}, stopped: map[jobrunner.RunID]bool{},
	}
	vm.core = jobrunner.New(vm.owner)
	vm.finder = chunkfinder.New(func(o jobkeeper.Owner, ref jobkeeper.ChunkRef) bool { return w.ownerGone(vm, o, ref) })
	w.vms[i] = vm
}

// ownerGone is membership that is right about processes that are gone, and now and
// then wrongly takes a live one for ownerGone.
func (w *simulation) ownerGone(self *simulatedVM, o jobkeeper.Owner, ref jobkeeper.ChunkRef) bool {
	if o == self.owner {
		return !self.core.Owns(ref)
	}
	for _, vm := range w.vms {
		if vm.owner == o {
			return vm.paused || w.random.Float64() < 0.002
		}
	}
	return true
}

func (w *simulation) submit(name string, items int) jobkeeper.JobRow {
	var input strings.Builder
	for n := range items {
		fmt.Fprintf(&input, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q}}`+"\n",
			name, n, model)
	}
	ctx := w.t.Context()
	id, _, err := w.jobs.PutFile(ctx, "scribes", name, strings.NewReader(input.String()), w.now)
	qt.Assert(w.t, err, qt.IsNil)
	job, err := w.jobs.Submit(ctx, jobkeeper.Submission{
		Caller: "scribes", Key: name, File: id, Endpoint: "/v1/chat/completions",
		Deadline: w.now.Add(time.Hour), Body: []byte(name), Now: w.now,
	})
	qt.Assert(w.t, err, qt.IsNil)
	return job
}

// run advances the clock.
func (w *simulation) run(length time.Duration, faults func()) {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(step) {
		if faults != nil {
			faults()
		}
		for i, vm := range w.vms {
			if vm.paused {
				continue
			}
			w.execute(vm, vm.core.SetCapacities([]jobrunner.Capacity{
				{Upstream: fmt.Sprintf("engine-%d", i), Model: model, Limit: w.random.IntN(maxLimit + 1)},
			}, w.now))
			w.execute(vm, vm.core.Tick(w.now))
			w.executeScans(vm, vm.finder.Tick)
			w.runPending(vm)
		}
	}
}

// runPending runs a random part of what a VM has under way.
func (w *simulation) runPending(vm *simulatedVM) {
	for range w.random.IntN(6) {
		if len(vm.pending) == 0 {
			break
		}
		at := w.random.IntN(len(vm.pending))
		next := vm.pending[at]
		vm.pending = append(vm.pending[:at], vm.pending[at+1:]...)
		next()
	}
	for id := range vm.started {
		if vm.stopped[id] || w.random.IntN(8) == 0 {
			w.endRun(vm, id)
		}
	}
}

func (w *simulation) endRun(vm *simulatedVM, id jobrunner.RunID) {
	start := vm.started[id]
	stopped := vm.stopped[id]
	delete(vm.started, id)
	delete(vm.stopped, id)
	ending := jobrunner.RunResult{Run: id}
	switch {
	case stopped:
		ending.Outcome = jobrunner.OutcomeStopped
	case start.Item.CustomID == w.failingItem:
		w.failedRuns[start.Item.CustomID]++
		ending.Outcome = jobrunner.OutcomeFailed
		ending.Result = jobkeeper.Result{Error: &jobkeeper.ResultError{Message: "crashed"}}
	default:
		// Each run answers differently, so that a second run's result shows.
		body := fmt.Sprintf(`{"by":%q,"run":%d}`, vm.owner.VM, w.random.Uint64())
		ending.Result = jobkeeper.Result{
			CustomID: start.Item.CustomID, Response: &jobkeeper.ResultResponse{StatusCode: 200, Body: json.RawMessage(body)},
		}
	}
	w.execute(vm, vm.core.Ended(ending, w.now))
}

func (w *simulation) executeScans(vm *simulatedVM, advance func(time.Time) ([]chunkfinder.Offer, []chunkfinder.Scan)) {
	offers, scans := advance(w.now)
	for _, offer := range offers {
		var out []jobrunner.Offer
		for _, chunk := range offer.Chunks {
			out = append(out, jobrunner.Offer(chunk))
		}
		w.execute(vm, vm.core.Offered(out))
	}
	for _, scan := range scans {
		vm.pending = append(vm.pending, func() {
			found := scan.Run(w.t.Context(), w.jobs)
			w.executeScans(vm, func(now time.Time) ([]chunkfinder.Offer, []chunkfinder.Scan) {
				return vm.finder.Scanned(found, now)
			})
		})
	}
}

func (w *simulation) execute(vm *simulatedVM, actions []jobrunner.Action) {
	ctx := w.t.Context()
	later := func(f func()) { vm.pending = append(vm.pending, f) }
	for _, action := range actions {
		switch a := action.(type) {
		case jobrunner.RequestChunks:
			w.executeScans(vm, func(now time.Time) ([]chunkfinder.Offer, []chunkfinder.Scan) {
				return vm.finder.RequestChunks(vm.owner.VM, a.Model, a.Limit, a.OrphansOnly, now)
			})
		case jobrunner.Claim:
			later(func() {
				claim, job, err := w.jobs.ClaimChunk(ctx, a.Ref, a.Previous, vm.owner)
				w.execute(vm, vm.core.Claimed(a.Ref, claim, job, err, w.now))
			})
		case jobrunner.Load:
			later(func() {
				items, err := w.jobs.Items(ctx, a.Claim)
				w.execute(vm, vm.core.Loaded(a.Claim.Ref, items, err, w.now))
			})
		case jobrunner.Start:
			w.lastStart[a.Job.ID] = w.now
			vm.started[a.Run] = a
			later(func() { w.execute(vm, vm.core.FirstToken(a.Run, w.now)) })
		case jobrunner.Stop:
			vm.stopped[a.Run] = true
		case jobrunner.Commit:
			later(func() {
				claim, err := w.jobs.CommitPart(ctx, a.Claim, a.Results, a.Last, w.now)
				w.execute(vm, vm.core.Committed(a.Claim.Ref, a.Claim.Row.Epoch, claim, err, w.now))
			})
		case jobrunner.Release:
			later(func() { _ = w.jobs.ReleaseChunk(ctx, a.Claim) })
		case jobrunner.Check:
			later(func() {
				_ = w.jobs.RenewLease(ctx, vm.owner, a.Beat)
				jobs, err := w.jobs.Jobs(ctx, a.Jobs)
				w.execute(vm, vm.core.Checked(jobs, err, w.now))
			})
		}
	}
}

// readResults reads a job's results as a caller would, and checks that each item has
// at most one and that no result has changed since it was first readResults.
func (w *simulation) readResults(job jobkeeper.JobRow) map[string]jobkeeper.Result {
	results := map[string]jobkeeper.Result{}
	err := w.jobs.Results(w.t.Context(), job, func(text []byte) error {
		for line := range bytes.Lines(text) {
			var result jobkeeper.Result
			qt.Assert(w.t, json.Unmarshal(line, &result), qt.IsNil)
			_, twice := results[result.CustomID]
			qt.Assert(w.t, twice, qt.IsFalse, qt.Commentf("%s has two results", result.CustomID))
			results[result.CustomID] = result
			if before, seen := w.firstRead[result.CustomID]; seen {
				qt.Assert(w.t, string(line), qt.Equals, before)
			}
			w.firstRead[result.CustomID] = string(line)
		}
		return nil
	})
	if err != nil {
		qt.Assert(w.t, err, qt.ErrorIs, jobkeeper.ErrStore)
	}
	if err == nil {
		qt.Assert(w.t, len(results) >= w.readableResults[job.ID], qt.IsTrue, qt.Commentf("results of %s are gone", job.ID))
		w.readableResults[job.ID] = len(results)
	}
	return results
}

// injectFaults brings about crashes, pauses, outages and lost answers.
func (w *simulation) injectFaults() {
	switch w.random.IntN(120) {
	case 0:
		w.restart(w.random.IntN(len(w.vms)))
	case 1:
		w.vms[w.random.IntN(len(w.vms))].paused = true
	case 2, 3:
		w.vms[w.random.IntN(len(w.vms))].paused = false
	case 4:
		w.store.SetDown(!w.store.Down())
	case 5:
		w.store.SetDoubted(w.random.Float64() * 0.3)
	case 6, 7:
		w.store.SetDown(false)
	}
}

func (w *simulation) clearFaults() {
	w.store.SetDown(false)
	w.store.SetDoubted(0)
	for _, vm := range w.vms {
		vm.paused = false
	}
}

// expectCompleted runs without faults until the job ends, and checks that each
// item has exactly one result.
func (w *simulation) expectCompleted(job jobkeeper.JobRow) {
	w.t.Helper()
	for range 40 {
		w.run(5*time.Second, nil)
		row, err := w.jobs.Job(w.t.Context(), "scribes", job.ID)
		qt.Assert(w.t, err, qt.IsNil)
		if row.State == jobkeeper.StateInProgress {
			continue
		}
		qt.Assert(w.t, row.State, qt.Equals, jobkeeper.StateCompleted)
		qt.Assert(w.t, row.Completed+row.Failed, qt.Equals, row.Items)
		qt.Assert(w.t, w.readResults(row), qt.HasLen, row.Items)
		return
	}
	w.t.Fatalf("job %s did not end", job.ID)
}

func TestEachItemHasExactlyOneResult(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newSimulation(t, 4, seed)
			large, small := w.submit("large", 150), w.submit("small", 3)
			for range 30 {
				w.run(time.Second, w.injectFaults)
				if !w.store.Down() {
					w.readResults(large)
					w.readResults(small)
				}
			}
			w.clearFaults()
			w.expectCompleted(small)
			w.expectCompleted(large)
		})
	}
}

func TestCancelledJobStartsNothingMore(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newSimulation(t, 4, seed)
			job := w.submit("lot", 200)
			w.run(3*time.Second, nil)
			cancelled, err := w.jobs.Cancel(t.Context(), "scribes", job.ID, w.now)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, cancelled.State, qt.Equals, jobkeeper.StateCancelled)
			at := w.now
			// One VM is paused over the cancel, and wakes up later.
			w.vms[1].paused = true
			w.run(10*time.Second, nil)
			w.vms[1].paused = false
			finished := len(w.readResults(job))
			w.run(10*time.Second, w.injectFaults)
			w.clearFaults()
			bound := 20 * time.Second // the longest time without a look at the store, and a look
			qt.Check(t, w.lastStart[job.ID].Before(at.Add(bound)), qt.IsTrue)
			before := w.lastStart[job.ID]
			w.run(20*time.Second, nil)
			qt.Check(t, w.lastStart[job.ID], qt.Equals, before)
			row, err := w.jobs.Job(t.Context(), "scribes", job.ID)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, row.State, qt.Equals, jobkeeper.StateCancelled)
			qt.Check(t, len(w.readResults(job)) >= finished, qt.IsTrue)
		})
	}
}

func TestItemThatAlwaysFailsEndsWithItsReason(t *testing.T) {
	w := newSimulation(t, 3, 1)
	w.failingItem = "lot-7"
	job := w.submit("lot", 20)
	w.expectCompleted(job)
	results := w.readResults(job)
	qt.Assert(t, results["lot-7"].Error, qt.IsNotNil)
	qt.Check(t, results["lot-7"].Error.Message, qt.Equals, "failed after 3 tries: crashed")
	qt.Check(t, w.failedRuns["lot-7"], qt.Equals, 3)
	qt.Check(t, results["lot-8"].Error, qt.IsNil)
}

func TestDeadlineEndsWhatHasNotRun(t *testing.T) {
	w := newSimulation(t, 1, 1)
	job := w.submit("lot", 20)
	w.run(500*time.Millisecond, nil)
	w.now = w.now.Add(2 * time.Hour)
	w.expectCompleted(job)
	expired := 0
	for _, result := range w.readResults(job) {
		if result.Error != nil && result.Error.Code == "expired" {
			expired++
		}
	}
	qt.Check(t, expired > 0, qt.IsTrue)
}

func TestDrainLeavesNothingOwned(t *testing.T) {
	w := newSimulation(t, 2, 1)
	job := w.submit("lot", 100)
	w.run(3*time.Second, nil)
	vm := w.vms[0]
	w.execute(vm, vm.core.Drain(w.now))
	w.run(5*time.Second, nil)
	qt.Assert(t, vm.core.Drained(), qt.IsTrue)
	for _, row := range w.store.Rows(jobkeeper.ChunkTable) {
		var chunk jobkeeper.ChunkRow
		qt.Assert(t, json.Unmarshal(row.Value, &chunk), qt.IsNil)
		qt.Check(t, chunk.Done || chunk.Owner != vm.owner, qt.IsTrue)
	}
	w.expectCompleted(job)
}

func TestResendReturnsTheSameJob(t *testing.T) {
	w := newSimulation(t, 1, 1)
	first := w.submit("lot", 5)
	qt.Check(t, w.submit("lot", 5).ID, qt.Equals, first.ID)
	_, err := w.jobs.Submit(t.Context(), jobkeeper.Submission{
		Caller: "scribes", Key: "lot", File: first.File, Body: []byte("another body"), Now: w.now, Deadline: w.now,
	})
	qt.Check(t, err, qt.ErrorIs, jobkeeper.ErrDifferentBody)
}
