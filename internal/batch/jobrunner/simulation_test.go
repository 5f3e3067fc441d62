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

// simulatedVM is a VM with its Runner and Finder, its pending actions and its runs.
type simulatedVM struct {
	owner   jobkeeper.Owner
	core    *jobrunner.Runner
	finder  *chunkfinder.Finder
	paused  bool
	pending []func()
	started map[jobrunner.RunID]jobrunner.Start
	stopped map[jobrunner.RunID]bool
}

// simulation is a fleet of VMs with a simulated clock.
type simulation struct {
	t          *testing.T
	now        time.Time
	random     *rand.Rand
	store      *storeemulator.Keeper
	jobs       *jobkeeper.Keeper
	vms        []*simulatedVM
	process    uint64
	firstRead  map[string]string // the line of each item's result when it was first read
	failedRuns map[string]int    // number of failed runs of each item
	// readableResults is the number of results that were last read of each job.
	readableResults map[string]int
	lastStart       map[string]time.Time // the time of the last start of an item of each job
	failingItem     string               // custom ID of the item whose runs always fail
	crashedItem     string               // custom ID of the item whose first crashedRuns runs end by crashes
}

func newSimulation(t *testing.T, vms int, seed uint64) *simulation {
	s := &simulation{
		t: t, now: time.Unix(10_000, 0), random: rand.New(rand.NewPCG(seed, seed)),
		firstRead: map[string]string{}, readableResults: map[string]int{},
		failedRuns: map[string]int{}, lastStart: map[string]time.Time{},
	}
	s.store = storeemulator.NewKeeper(s.random)
	s.jobs = jobkeeper.New(s.store)
	for i := range vms {
		s.vms = append(s.vms, nil)
		s.restart(i)
	}
	return s
}

// restart replaces a VM by a new process. The pending actions of the old process
// are lost.
func (s *simulation) restart(i int) {
	s.process++
	vm := &simulatedVM{
		owner:   jobkeeper.Owner{VM: fmt.Sprintf("vm-%d", i), Process: s.process},
		started: map[jobrunner.RunID]jobrunner.Start{}, stopped: map[jobrunner.RunID]bool{},
	}
	vm.core = jobrunner.New(vm.owner)
	vm.finder = chunkfinder.New(func(o jobkeeper.Owner, ref jobkeeper.ChunkRef) bool { return s.ownerGone(vm, o, ref) })
	s.vms[i] = vm
}

// ownerGone simulates the membership: it reports every process that has ended or is
// paused as gone, and rarely also one that is alive.
func (s *simulation) ownerGone(self *simulatedVM, o jobkeeper.Owner, ref jobkeeper.ChunkRef) bool {
	if o == self.owner {
		return !self.core.Owns(ref)
	}
	for _, vm := range s.vms {
		if vm.owner == o {
			return vm.paused || s.random.Float64() < 0.002
		}
	}
	return true
}

// submit submits a job of a number of items.
func (s *simulation) submit(name string, items int) jobkeeper.JobRow {
	var input strings.Builder
	for n := range items {
		fmt.Fprintf(&input, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q}}`+"\n",
			name, n, model)
	}
	ctx := s.t.Context()
	id, _, err := s.jobs.PutFile(ctx, "scribes", name, strings.NewReader(input.String()), s.now)
	qt.Assert(s.t, err, qt.IsNil)
	job, err := s.jobs.Submit(ctx, jobkeeper.Submission{
		Caller: "scribes", Key: name, File: id, Endpoint: "/v1/chat/completions",
		Deadline: s.now.Add(time.Hour), Body: []byte(name), Now: s.now,
	})
	qt.Assert(s.t, err, qt.IsNil)
	return job
}

// run advances the clock step by step and injects faults, if any, before each step.
func (s *simulation) run(length time.Duration, faults func()) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		if faults != nil {
			faults()
		}
		for i, vm := range s.vms {
			if vm.paused {
				continue
			}
			s.execute(vm, vm.core.SetCapacities([]jobrunner.Capacity{
				{Upstream: fmt.Sprintf("engine-%d", i), Model: model, Limit: s.random.IntN(maxLimit + 1)},
			}, s.now))
			s.execute(vm, vm.core.Tick(s.now))
			s.executeScans(vm, vm.finder.Tick)
			s.runPending(vm)
		}
	}
}

// runPending carries out some of a VM's pending actions in random order, and ends some of
// its runs.
func (s *simulation) runPending(vm *simulatedVM) {
	for range s.random.IntN(6) {
		if len(vm.pending) == 0 {
			break
		}
		at := s.random.IntN(len(vm.pending))
		next := vm.pending[at]
		vm.pending = append(vm.pending[:at], vm.pending[at+1:]...)
		next()
	}
	for id := range vm.started {
		if vm.stopped[id] || s.random.IntN(8) == 0 {
			s.endRun(vm, id)
		}
	}
}

// endRun ends a run as stopped, failed or completed.
func (s *simulation) endRun(vm *simulatedVM, id jobrunner.RunID) {
	start := vm.started[id]
	stopped := vm.stopped[id]
	delete(vm.started, id)
	delete(vm.stopped, id)
	result := jobrunner.RunResult{Run: id}
	switch {
	case stopped:
		result.Outcome = jobrunner.OutcomeStopped
	case start.Item.CustomID == s.crashedItem && s.failedRuns[s.crashedItem] < crashedRuns:
		s.failedRuns[s.crashedItem]++
		result.Outcome = jobrunner.OutcomeInterrupted
	case start.Item.CustomID == s.failingItem:
		s.failedRuns[start.Item.CustomID]++
		result.Outcome = jobrunner.OutcomeFailed
		result.Result = jobkeeper.Result{Error: &jobkeeper.ResultError{Message: "crashed"}}
	default:
		// Each run has a different response, so that the test detects a result that a
		// second run has replaced.
		body := fmt.Sprintf(`{"by":%q,"run":%d}`, vm.owner.VM, s.random.Uint64())
		result.Result = jobkeeper.Result{
			CustomID: start.Item.CustomID, Response: &jobkeeper.ResultResponse{StatusCode: 200, Body: json.RawMessage(body)},
		}
	}
	s.execute(vm, vm.core.Ended(result, s.now))
}

// executeScans hands offers to a VM's Runner and makes scans pending.
func (s *simulation) executeScans(vm *simulatedVM, advance func(time.Time) ([]chunkfinder.Offer, []chunkfinder.Scan)) {
	offers, scans := advance(s.now)
	for _, offer := range offers {
		var out []jobrunner.Offer
		for _, chunk := range offer.Chunks {
			out = append(out, jobrunner.Offer(chunk))
		}
		s.execute(vm, vm.core.Offered(out, s.now))
	}
	for _, scan := range scans {
		vm.pending = append(vm.pending, func() {
			found := scan.Run(s.t.Context(), s.jobs)
			s.executeScans(vm, func(now time.Time) ([]chunkfinder.Offer, []chunkfinder.Scan) {
				return vm.finder.Scanned(found, now)
			})
		})
	}
}

// execute carries out actions: most of them later, as pending ones.
func (s *simulation) execute(vm *simulatedVM, actions []jobrunner.Action) {
	ctx := s.t.Context()
	later := func(f func()) { vm.pending = append(vm.pending, f) }
	for _, action := range actions {
		switch a := action.(type) {
		case jobrunner.RequestChunks:
			s.executeScans(vm, func(now time.Time) ([]chunkfinder.Offer, []chunkfinder.Scan) {
				return vm.finder.RequestChunks(vm.owner.VM, a.Model, a.Limit, a.OrphansOnly, now)
			})
		case jobrunner.Claim:
			later(func() {
				claim, job, err := s.jobs.ClaimChunk(ctx, a.Ref, a.Previous, vm.owner)
				s.execute(vm, vm.core.Claimed(a.Ref, claim, job, err))
			})
		case jobrunner.Load:
			later(func() {
				items, err := s.jobs.Items(ctx, a.Claim)
				s.execute(vm, vm.core.Loaded(a.Claim.Ref, items, err, s.now))
			})
		case jobrunner.Start:
			s.lastStart[a.Job.ID] = s.now
			vm.started[a.Run] = a
			later(func() { s.execute(vm, vm.core.FirstToken(a.Run, s.now)) })
		case jobrunner.Stop:
			vm.stopped[a.Run] = true
		case jobrunner.Commit:
			later(func() {
				claim, err := s.jobs.CommitResults(ctx, a.Claim, a.Results, a.Last, s.now)
				s.execute(vm, vm.core.Committed(a.Claim.Ref, a.Claim.Row.Epoch, claim, err, s.now))
			})
		case jobrunner.Release:
			later(func() { _ = s.jobs.ReleaseChunk(ctx, a.Claim) })
		case jobrunner.Check:
			later(func() {
				_ = s.jobs.RenewLease(ctx, vm.owner, a.Beat)
				jobs, err := s.jobs.Jobs(ctx, a.Jobs)
				s.execute(vm, vm.core.Checked(jobs, err, s.now))
			})
		}
	}
}

// readResults reads a job's results as a caller does. It checks that each item has at most
// one result, that no result has changed since it was first read, and that none is gone.
func (s *simulation) readResults(job jobkeeper.JobRow) map[string]jobkeeper.Result {
	results := map[string]jobkeeper.Result{}
	err := s.jobs.Results(s.t.Context(), job, func(text []byte) error {
		for line := range bytes.Lines(text) {
			var result jobkeeper.Result
			qt.Assert(s.t, json.Unmarshal(line, &result), qt.IsNil)
			_, twice := results[result.CustomID]
			qt.Assert(s.t, twice, qt.IsFalse, qt.Commentf("%s has two results", result.CustomID))
			results[result.CustomID] = result
			if before, seen := s.firstRead[result.CustomID]; seen {
				qt.Assert(s.t, string(line), qt.Equals, before)
			}
			s.firstRead[result.CustomID] = string(line)
		}
		return nil
	})
	if err != nil {
		qt.Assert(s.t, err, qt.ErrorIs, jobkeeper.ErrStore)
	}
	if err == nil {
		qt.Assert(s.t, len(results) >= s.readableResults[job.ID], qt.IsTrue, qt.Commentf("results of %s are gone", job.ID))
		s.readableResults[job.ID] = len(results)
	}
	return results
}

// injectFaults occasionally restarts, pauses or resumes a VM, starts or ends an outage of
// the store, or changes the share of writes that are left in doubt.
func (s *simulation) injectFaults() {
	switch s.random.IntN(120) {
	case 0:
		s.restart(s.random.IntN(len(s.vms)))
	case 1:
		s.vms[s.random.IntN(len(s.vms))].paused = true
	case 2, 3:
		s.vms[s.random.IntN(len(s.vms))].paused = false
	case 4:
		s.store.SetDown(!s.store.Down())
	case 5:
		s.store.SetInDoubtShare(s.random.Float64() * 0.3)
	case 6, 7:
		s.store.SetDown(false)
	}
}

// clearFaults ends all pauses and faults of the store.
func (s *simulation) clearFaults() {
	s.store.SetDown(false)
	s.store.SetInDoubtShare(0)
	for _, vm := range s.vms {
		vm.paused = false
	}
}

// expectCompleted runs the simulation without faults until the job ends, and checks
// that each item has exactly one result.
func (s *simulation) expectCompleted(job jobkeeper.JobRow) {
	s.t.Helper()
	for range 40 {
		s.run(5*time.Second, nil)
		row, err := s.jobs.Job(s.t.Context(), "scribes", job.ID)
		qt.Assert(s.t, err, qt.IsNil)
		if row.State == jobkeeper.StateInProgress {
			continue
		}
		qt.Assert(s.t, row.State, qt.Equals, jobkeeper.StateCompleted)
		qt.Assert(s.t, row.Completed+row.Failed, qt.Equals, row.Items)
		qt.Assert(s.t, s.readResults(row), qt.HasLen, row.Items)
		return
	}
	s.t.Fatalf("job %s did not end", job.ID)
}

// Guards against lost, doubled or changed results: VMs crash or pause, and the store
// fails or leaves writes in doubt, while several processes claim the same chunks.
func TestEachItemHasExactlyOneResult(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, 4, seed)
			large, small := s.submit("large", 150), s.submit("small", 3)
			for range 30 {
				s.run(time.Second, s.injectFaults)
				if !s.store.Down() {
					s.readResults(large)
					s.readResults(small)
				}
			}
			s.clearFaults()
			s.expectCompleted(small)
			s.expectCompleted(large)
		})
	}
}

// Guards against runs of a cancelled job on VMs that didn't learn of the cancellation, and
// against the loss of results that were committed before.
func TestCancelledJobStartsNothingMore(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, 4, seed)
			job := s.submit("lot", 200)
			s.run(3*time.Second, nil)
			cancelled, err := s.jobs.Cancel(t.Context(), "scribes", job.ID, s.now)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, cancelled.State, qt.Equals, jobkeeper.StateCancelled)
			at := s.now
			// A VM that is paused after the cancellation learns of it only when it resumes.
			s.vms[1].paused = true
			s.run(10*time.Second, nil)
			s.vms[1].paused = false
			finished := len(s.readResults(job))
			s.run(10*time.Second, s.injectFaults)
			s.clearFaults()
			bound := 20 * time.Second // more than the longest time without a check of the job's state, plus one check
			qt.Check(t, s.lastStart[job.ID].Before(at.Add(bound)), qt.IsTrue)
			before := s.lastStart[job.ID]
			s.run(20*time.Second, nil)
			qt.Check(t, s.lastStart[job.ID], qt.Equals, before)
			row, err := s.jobs.Job(t.Context(), "scribes", job.ID)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, row.State, qt.Equals, jobkeeper.StateCancelled)
			qt.Check(t, len(s.readResults(job)) >= finished, qt.IsTrue)
		})
	}
}

// Guards against runs of a cancelled job on a VM that has heard of the cancellation while it claimed, loaded,
// committed or claimed again a chunk of the job.
func TestVMThatHasHeardOfACancellationStartsNothing(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, 4, seed)
			job := s.submit("lot", 200)
			s.store.SetInDoubtShare(s.random.Float64() * 0.3)
			s.run(time.Duration(s.random.IntN(40))*step, nil)
			s.store.SetInDoubtShare(0)
			_, err := s.jobs.Cancel(t.Context(), "scribes", job.ID, s.now)
			qt.Assert(t, err, qt.IsNil)
			s.store.SetInDoubtShare(s.random.Float64() * 0.3)
			for _, vm := range s.vms {
				s.execute(vm, vm.core.JobCancelled(job.ID, s.now))
			}
			before := s.lastStart[job.ID]
			s.run(30*time.Second, nil)
			qt.Check(t, s.lastStart[job.ID], qt.Equals, before)
		})
	}
}

// Guards against endless retries of an item, and a failure that affects other items.
func TestItemThatAlwaysFailsEndsWithItsReason(t *testing.T) {
	s := newSimulation(t, 3, 1)
	s.failingItem = "lot-7"
	job := s.submit("lot", 20)
	s.expectCompleted(job)
	results := s.readResults(job)
	qt.Assert(t, results["lot-7"].Error, qt.IsNotNil)
	qt.Check(t, results["lot-7"].Error.Message, qt.Equals, "failed after 3 tries: crashed")
	qt.Check(t, s.failedRuns["lot-7"], qt.Equals, 3)
	qt.Check(t, results["lot-8"].Error, qt.IsNil)
}

// crashedRuns is the number of engines that crash one after another under the same item.
const crashedRuns = 8

// Guards against an item that ends as failed because engines crashed while they ran it: it
// is still owed when they are back.
func TestItemUnderWhichEnginesCrashedIsStillOwed(t *testing.T) {
	s := newSimulation(t, 3, 1)
	s.crashedItem = "lot-7"
	job := s.submit("lot", 20)
	s.run(2*time.Minute, nil)
	s.expectCompleted(job)
	qt.Check(t, s.readResults(job)["lot-7"].Error, qt.IsNil)
	qt.Check(t, s.failedRuns["lot-7"], qt.Equals, crashedRuns)
}

// Guards against items that stay without a result after the deadline of their job.
func TestDeadlineEndsWhatHasNotRun(t *testing.T) {
	s := newSimulation(t, 1, 1)
	job := s.submit("lot", 20)
	s.run(500*time.Millisecond, nil)
	s.now = s.now.Add(2 * time.Hour)
	s.expectCompleted(job)
	expired := 0
	for _, result := range s.readResults(job) {
		if result.Error != nil && result.Error.Code == "expired" {
			expired++
		}
	}
	qt.Check(t, expired > 0, qt.IsTrue)
}

// Guards against chunks that a drained process still owns, which other VMs could claim
// only after its lease has expired.
func TestDrainLeavesNothingOwned(t *testing.T) {
	s := newSimulation(t, 2, 1)
	job := s.submit("lot", 100)
	s.run(3*time.Second, nil)
	vm := s.vms[0]
	s.execute(vm, vm.core.Drain(s.now))
	s.run(5*time.Second, nil)
	qt.Assert(t, vm.core.Drained(), qt.IsTrue)
	for _, row := range s.store.Rows(jobkeeper.ChunkTable) {
		var chunk jobkeeper.ChunkRow
		qt.Assert(t, json.Unmarshal(row.Value, &chunk), qt.IsNil)
		qt.Check(t, chunk.Done || chunk.Owner != vm.owner, qt.IsTrue)
	}
	s.expectCompleted(job)
}

// Guards against a second job for a resent submission, and against a key that is used
// for two different bodies.
func TestResendReturnsTheSameJob(t *testing.T) {
	s := newSimulation(t, 1, 1)
	first := s.submit("lot", 5)
	qt.Check(t, s.submit("lot", 5).ID, qt.Equals, first.ID)
	_, err := s.jobs.Submit(t.Context(), jobkeeper.Submission{
		Caller: "scribes", Key: "lot", File: first.File, Body: []byte("another body"), Now: s.now, Deadline: s.now,
	})
	qt.Check(t, err, qt.ErrorIs, jobkeeper.ErrDifferentBody)
}
