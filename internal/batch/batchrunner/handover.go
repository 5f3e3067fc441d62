package batchrunner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
)

const (
	// moveTime bounds the hand-over of a job to one VM, and maxMoves the VMs that are
	// asked to take it.
	moveTime = 700 * time.Millisecond
	maxMoves = 3
	// claimTime bounds one attempt to become the owner of a job that was handed over,
	// and claimPause is the mean time between two of them. A store that has fallen
	// silent must not be waited for once it is back.
	claimTime  = 800 * time.Millisecond
	claimPause = 150 * time.Millisecond
)

// Mover hands jobs to other VMs.
type Mover interface {
	// Move returns jobmover.ErrNotTaken or jobmover.ErrUnknown.
	Move(ctx context.Context, vm string, job jobmover.Job) error
}

// noMover knows no other VMs.
type noMover struct{}

// Move implements Mover.
func (noMover) Move(context.Context, string, jobmover.Job) error { return jobmover.ErrNotTaken }

// handOver hands a job of a VM that leaves to the VM that would take it over anyway.
func (r *Runner) handOver(j *job, now time.Time) {
	j.leaving = true
	moved := r.pack(j, now)
	vms := r.orphans.SuccessorsOf(moved.Record.ID, r.members.Successors(now))
	to := ""
	r.within(maxMoves*moveTime, func(ctx context.Context) error {
		err := jobmover.ErrNotTaken
		for _, vm := range vms[:min(maxMoves, len(vms))] {
			to = vm
			if err = r.moveTo(ctx, vm, moved); !errors.Is(err, jobmover.ErrNotTaken) {
				break
			}
		}
		return err
	}, func(_ time.Time, err error) {
		r.logger.Info("job handed over", "job", moved.Record.ID, "to", to, "record", moved.Version,
			"results", len(moved.Outbox), "progress", len(moved.Progress), "error", errorText(err))
		if err == nil {
			r.forget(moved.Record.ID)
			return
		}
		j.leaving, j.unmoved = false, true
	})
}

func (r *Runner) moveTo(ctx context.Context, vm string, moved jobmover.Job) error {
	ctx, cancel := context.WithTimeout(ctx, moveTime)
	defer cancel()
	return r.mover.Move(ctx, vm, moved) //nolint:wrapcheck // logged as it is
}

// pack returns all that this VM has of a job of which nothing runs.
func (r *Runner) pack(j *job, now time.Time) jobmover.Job {
	moved := jobmover.Job{
		Record: j.stored.Record, Version: j.stored.Version, Outbox: j.outbox,
		Progress: map[int]batchkeeper.Progress{}, Clock: r.keeper.Now(), Age: now.Sub(j.renewed),
	}
	moved.Record.FailureCounts = j.trials()
	for _, it := range j.items {
		moved.Items = append(moved.Items, it.Item)
		switch {
		case it.state == stateEnded:
			moved.Ended = append(moved.Ended, it.index)
		case it.progress.LastEvent != "":
			moved.Progress[it.index] = it.progress
		}
	}
	return moved
}

// Take takes a job over that another VM hands on, and returns whether this one runs
// it from now on.
func (r *Runner) Take(ctx context.Context, moved jobmover.Job) bool {
	taken := make(chan bool, 1)
	r.loop.Post(func(now time.Time) { taken <- r.take(moved, now) })
	select {
	case is := <-taken:
		return is
	case <-ctx.Done():
		return false // its sender doesn't hear this, and knows that it doesn't know
	}
}

func (r *Runner) take(moved jobmover.Job, now time.Time) bool {
	id := moved.Record.ID
	if _, known := r.jobs[id]; known || r.leaving {
		return false
	}
	ration := r.memory.NewReservation()
	if !ration.Grow(moved.Bytes()) {
		r.logger.Warn("job not taken over, no memory for its items", "job", id, "bytes", moved.Bytes())
		return false
	}
	r.keeper.SetClock(moved.Clock)
	stored := batchkeeper.VersionedRecord{Record: moved.Record, Version: moved.Version}
	r.adopt(stored, batchkeeper.LoadedJob{Items: moved.Items, Progress: moved.Progress}, ration)
	j := r.jobs[id]
	j.unclaimed = true
	j.renewed = now.Add(-moved.Age)
	j.outbox = moved.Outbox
	for _, index := range moved.Ended {
		if index >= 0 && index < len(j.items) {
			j.items[index].state = stateEnded
		}
	}
	r.counter.Count("jobs_handed_over_total")
	return true
}

// claimMoved makes this VM the owner of a job that was handed over. Its items run
// meanwhile, and nothing of them is written.
func (r *Runner) claimMoved(j *job, now time.Time) {
	if !j.unclaimed || j.committing || j.dropped || j.leaving || now.Before(j.claimDue) {
		return
	}
	j.committing = true
	seen := j.stored
	stored := seen
	r.within(claimTime, func(ctx context.Context) (err error) {
		stored, err = r.keeper.Claim(ctx, seen)
		return err //nolint:wrapcheck // claimedMoved tells the kinds apart
	}, func(now time.Time, err error) { r.claimedMoved(j, stored, now, err) })
}

func (r *Runner) claimedMoved(j *job, stored batchkeeper.VersionedRecord, now time.Time, err error) {
	j.committing = false
	id := j.stored.ID
	switch {
	case j.dropped:
	case err == nil:
		j.unclaimed, j.stored, j.renewed = false, stored, now
		j.renewDue = now.Add(renewPeriod)
		r.logger.Info("job claimed after its hand-over", "job", id, "record", stored.Version, "results", len(j.outbox))
	case errors.Is(err, batchkeeper.ErrOwnershipLost) && j.isFollowedBy(stored):
		r.logger.Info("last write of the VM that handed a job over", "job", id, "record", stored.Version,
			"results", stored.Results-j.stored.Results)
		j.outbox = j.outbox[stored.Results-j.stored.Results:]
		j.stored, j.claimDue = stored, now
	case errors.Is(err, batchkeeper.ErrOwnershipLost):
		r.drop(id, err.Error())
	default:
		j.claimDue = now.Add(claimPause/2 + rand.N(claimPause))
	}
}

// isFollowedBy tells whether a record that has replaced the known one was written by
// the process that handed the job over, and by nobody after it.
//
// That process may have had a write under way whose outcome it didn't know. It wrote
// results in the order of the outbox, so as many as the record has more are the first
// of the outbox. A record that the process has released says nothing of who wrote its
// results, unless there are no more of them.
func (j *job) isFollowedBy(stored batchkeeper.VersionedRecord) bool {
	more := stored.Results - j.stored.Results
	if !stored.Open() || stored.Version <= j.stored.Version || more < 0 || more > len(j.outbox) {
		return false
	}
	released := stored.Owner == batchkeeper.Owner{} && more == 0
	return stored.Owner == j.stored.Owner || released
}
