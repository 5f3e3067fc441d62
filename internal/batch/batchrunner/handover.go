package batchrunner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobmover"
	"github.com/fescuespindle/fescuespindle/internal/batch/startjudge"
)

const (
	// moveTimeout bounds the transfer of a job to one VM, and maxMoveAttempts the number
	// of VMs that are asked to take it over.
	moveTimeout     = 700 * time.Millisecond
	maxMoveAttempts = 3
	// claimTimeout bounds one attempt to claim a job that was handed over, and
	// claimRetryPause is the mean pause between two attempts. Both are short, so that no
	// attempt still waits for an unresponsive store once it is back.
	claimTimeout    = 800 * time.Millisecond
	claimRetryPause = 150 * time.Millisecond
)

// Mover sends jobs to other VMs.
type Mover interface {
	// Move returns jobmover.ErrNotTakenOver or jobmover.ErrInDoubt.
	Move(ctx context.Context, vm string, job jobmover.Job) error
}

// noMover is the default Mover, which reaches no other VM.
type noMover struct{}

// Move implements Mover.
func (noMover) Move(context.Context, string, jobmover.Job) error { return jobmover.ErrNotTakenOver }

// handOver sends a job to the first VM that takes it over, in the order in which they
// would take it over if this VM were lost. If it is not certain that one has, the
// job is released in the store later.
func (r *Runner) handOver(j *job, now time.Time) {
	j.releasing = true
	exported := r.export(j, now)
	vms := r.orphans.SuccessorsOf(exported.Record.ID, r.members.View(now).Heard())
	to := ""
	r.callAsync(maxMoveAttempts*moveTimeout, func(ctx context.Context) error {
		err := jobmover.ErrNotTakenOver
		for _, vm := range vms[:min(maxMoveAttempts, len(vms))] {
			to = vm
			if err = r.moveTo(ctx, vm, exported); !errors.Is(err, jobmover.ErrNotTakenOver) {
				break
			}
		}
		return err
	}, func(_ time.Time, err error) {
		r.logger.Info("job handed over", "job", exported.Record.ID, "to", to, "record", exported.Version,
			"results", len(exported.Outbox), "progress", len(exported.Progress), "error", errorText(err))
		if err == nil {
			r.remove(j)
			return
		}
		j.releasing, j.handoverFailed = false, true
	})
}

// moveTo sends a job to one VM within moveTimeout.
func (r *Runner) moveTo(ctx context.Context, vm string, exported jobmover.Job) error {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	return r.mover.Move(ctx, vm, exported) //nolint:wrapcheck // logged as it is
}

// export returns the state of a job, none of whose items is running, for another VM.
func (r *Runner) export(j *job, now time.Time) jobmover.Job {
	exported := jobmover.Job{
		Record: j.stored.Record, Version: j.stored.Version, NamesTeam: true, Outbox: j.outbox,
		Progress: map[int]batchkeeper.Progress{}, Clock: r.keeper.Now(), Age: j.evidence.AgeToTell(r.silenceOf(j), now),
	}
	exported.Record.FailureCounts = j.failureCountsByIndex()
	for _, it := range j.items {
		exported.Items = append(exported.Items, it.Item)
		switch {
		case it.state == stateEnded:
			exported.Ended = append(exported.Ended, it.index)
		case it.progress.LastEvent != "":
			exported.Progress[it.index] = it.progress
		}
	}
	return exported
}

// TakeOver takes over a job that another VM sends, and returns whether this VM runs it
// from now on.
func (r *Runner) TakeOver(ctx context.Context, moved jobmover.Job) bool {
	accepted := make(chan bool, 1)
	r.loop.Post(func(now time.Time) { accepted <- r.takeOver(moved, now) })
	select {
	case ok := <-accepted:
		return ok
	case <-ctx.Done():
		return false // the sender's request has ended too, and its Move returns ErrInDoubt
	}
}

// takeOver implements TakeOver on the loop. It returns false if this VM is draining, knows
// the job already, has no memory for its items, or can't tell the job's team.
func (r *Runner) takeOver(moved jobmover.Job, now time.Time) bool {
	id := moved.Record.ID
	if _, known := r.jobs[id]; known || r.draining {
		return false
	}
	if table := r.config.Table(); !moved.NamesTeam && (table == nil || table.HasTeams()) {
		r.logger.Info("job not taken over, its sender doesn't know teams", "job", id) // it is loaded from the store
		return false
	}
	reservation := r.memory.NewReservation()
	if !reservation.Grow(moved.Bytes()) {
		r.logger.Warn("job not taken over, no memory for its items", "job", id, "bytes", moved.Bytes())
		return false
	}
	age := r.ageOf(moved)
	r.keeper.SetClock(moved.Clock)
	stored := batchkeeper.VersionedRecord{Record: moved.Record, Version: moved.Version}
	loaded := batchkeeper.LoadedJob{Items: moved.Items, Progress: moved.Progress}
	r.dropUnusableProgress(id, &loaded)
	r.adopt(stored, loaded, reservation, origin{way: wayHandedOver, from: moved.Record.Owner})
	j := r.jobs[id]
	j.unclaimed = true
	j.evidence = startjudge.FromSender(now.Add(-age), r.ends.LastHeard(id))
	j.outbox = moved.Outbox
	for _, index := range moved.Ended {
		if index >= 0 && index < len(j.items) {
			j.items[index].state = stateEnded
		}
	}
	r.counter.Count("jobs_handed_over_total")
	return true
}

// ageOf returns how long ago the sender of a job last knew that the record was its own. A sender that was
// suspended counts too little, as its clock stood still. Its estimate of the store's clock is then
// behind this VM's by as much, give or take the time that the last answer to either took.
func (r *Runner) ageOf(moved jobmover.Job) time.Duration {
	age := max(moved.Age, 0)
	if known := r.keeper.Now(); known > 0 && moved.Clock > 0 {
		age += max(known-moved.Clock, 0)
	}
	return age
}

// claimHandedOver claims a job that was handed over to this VM. Nothing else is written to the store
// before the claim has succeeded.
func (r *Runner) claimHandedOver(j *job, now time.Time) {
	if !j.unclaimed || j.writing || j.discarded || j.releasing || now.Before(j.claimDue) {
		return
	}
	j.writing = true
	seen := j.stored
	stored := seen
	r.callAsync(claimTimeout, func(ctx context.Context) (err error) {
		stored, err = r.keeper.Claim(ctx, seen)
		return err //nolint:wrapcheck // finishClaim checks the kind
	}, func(now time.Time, err error) { r.finishClaim(j, stored, now, err) })
}

// finishClaim handles the outcome of a claim by claimHandedOver.
func (r *Runner) finishClaim(j *job, stored batchkeeper.VersionedRecord, now time.Time, err error) {
	j.writing = false
	id := j.stored.ID
	switch {
	case j.discarded:
	case err == nil:
		j.unclaimed, j.stored = false, stored
		r.learn(j, stored.AsOf, now)
		j.renewDue = renewDueAfter(stored, now)
		r.logger.Info("job claimed after handover", "job", id, "record", stored.Version, "results", len(j.outbox))
	case errors.Is(err, batchkeeper.ErrOwnershipLost) && j.isWrittenByPreviousOwner(stored):
		r.logger.Info("last write of the previous owner found", "job", id, "record", stored.Version,
			"results", stored.Results-j.stored.Results)
		j.outbox = j.outbox[stored.Results-j.stored.Results:]
		j.stored, j.claimDue = stored, now
		r.learn(j, stored.AsOf, now)
	case errors.Is(err, batchkeeper.ErrOwnershipLost):
		r.discardByRecord(j, stored, err.Error())
	default:
		j.claimDue = now.Add(claimRetryPause/2 + rand.N(claimRetryPause))
	}
}

// isWrittenByPreviousOwner reports whether a record that has replaced the known one was
// written by the process that handed the job over, and by no other process after it.
//
// That process may have had a write in flight whose outcome it didn't know. It wrote
// results in the order of the outbox, so the additional results of the record are the
// first ones of the outbox. A released record doesn't show who wrote its results, and
// counts only if it has no additional ones.
func (j *job) isWrittenByPreviousOwner(stored batchkeeper.VersionedRecord) bool {
	additional := stored.Results - j.stored.Results
	if !stored.Open() || stored.Version <= j.stored.Version || additional < 0 || additional > len(j.outbox) {
		return false
	}
	released := stored.Owner == batchkeeper.Owner{} && additional == 0
	return stored.Owner == j.stored.Owner || released
}
