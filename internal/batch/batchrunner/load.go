package batchrunner

import (
	"context"
	"errors"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/online/eventreader"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/arrivalbounder"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

const (
	// loadStallTimeout is how long nothing of a job's content may arrive until its place and its memory are
	// given to another job.
	loadStallTimeout = 8 * time.Second
	// maxLoadTime bounds a load in all. It isn't what ends a load over a slow link: the largest job takes a minute
	// at 70 kB/s.
	maxLoadTime = 2 * time.Minute
)

// Outcomes of loads, for metrics.
const (
	loadLoaded        = "loaded"
	loadWithoutOutput = "loadedWithoutOutput" // there was no memory for the output so far
	loadFailed        = "failed"
	loadCorrupt       = "corrupt"
	loadNoMemory      = "noMemory" // the items are larger than the job's record says
	loadEnded         = "ended"    // the job was lost, has ended or was released meanwhile
)

// load reads the content of a job that this process has claimed from another owner, and runs it. Meanwhile its record
// is renewed, so that no other VM takes it over, however long the content takes to arrive.
func (r *Runner) load(
	stored batchkeeper.VersionedRecord, from batchkeeper.Owner, reservation *rationer.Reservation,
) {
	if _, known := r.jobs[stored.ID]; known { // it was handed over to this VM meanwhile
		r.loads.End(stored.ID)
		reservation.Release()
		return
	}
	began := time.Now()
	j := r.add(stored, reservation, origin{way: wayLoaded, from: from})
	ctx, cancel := context.WithCancel(context.Background())
	j.cancelLoad = cancel
	var loaded batchkeeper.LoadedJob
	r.callAsync(maxLoadTime, func(loop context.Context) (err error) {
		defer context.AfterFunc(loop, cancel)()
		arriving, bounder := arrivalbounder.Start(ctx, arrivalbounder.Bounds{
			Start: loadStallTimeout, Stall: loadStallTimeout, Total: maxLoadTime,
		})
		defer bounder.Stop()
		loaded, err = r.keeper.Load(rowstore.WithProgressHook(arriving, bounder.Progress), stored.Record)
		return err //nolint:wrapcheck // loadEnded checks the kind
	}, func(_ time.Time, err error) {
		cancel()
		r.loads.End(stored.ID)
		r.loadEnded(j, loaded, time.Since(began), err)
	})
}

// loadEnded handles the outcome of a load.
func (r *Runner) loadEnded(j *job, loaded batchkeeper.LoadedJob, took time.Duration, err error) {
	outcome := r.finishLoad(j, loaded, err)
	r.counter.Count(`job_loads_total{outcome="` + outcome + `"}`)
	r.logger.Info("load of a job ended", "job", j.stored.ID, "outcome", outcome, "took", took, "expectedBytes", j.stored.ContentBytes,
		"bytes", loaded.Bytes(), "waiting", r.loads.Waiting(), "error", errorText(err))
}

// finishLoad starts to run a job whose content was loaded, or drops it until the next scan. It returns the outcome.
func (r *Runner) finishLoad(j *job, loaded batchkeeper.LoadedJob, err error) string {
	if j.discarded || j.releasing {
		return loadEnded
	}
	outcome := loadFailed
	if err == nil {
		r.dropUnusableProgress(j.stored.ID, &loaded)
		outcome = j.fit(&loaded)
	}
	if outcome == loadLoaded || outcome == loadWithoutOutput {
		j.setContent(loaded)
		r.logAdopted(j)
		return outcome
	}
	r.dropLoad(j)
	var read *batchkeeper.ReadError
	switch {
	case errors.Is(err, batchkeeper.ErrCorrupt):
		r.counter.Count("jobs_corrupt_total")
		return loadCorrupt
	case errors.As(err, &read):
		r.logger.Warn("job not read", "job", j.stored.ID, "table", read.Table(), "attempts", read.Attempts(),
			"lastTook", read.LastTook(), "lastOutcome", read.Outcome(), "responseBytes", read.ResponseBytes())
	}
	return outcome
}

// dropUnusableProgress removes progress after which no run can go on from a job that another process has written or sent:
// releases that took any bytes for the id of an event may have done so. The items concerned start over.
func (r *Runner) dropUnusableProgress(id string, loaded *batchkeeper.LoadedJob) {
	dropped := loaded.UnreadableProgress
	for index, progress := range loaded.Progress {
		if _, valid := eventreader.ParseNumber(progress.LastEvent); !valid {
			delete(loaded.Progress, index)
			dropped++
		}
	}
	if dropped > 0 {
		r.counter.Count("jobs_with_unusable_progress_total")
		r.logger.Warn("items start over, as their progress can't be used", "job", id, "items", dropped)
	}
}

// fit reserves memory for the content of a job, without the output so far if there is too little: the job then runs at once,
// and its items start over, where it would wait for memory that other jobs may hold for long. It returns the outcome of the load.
func (j *job) fit(loaded *batchkeeper.LoadedJob) string {
	if j.reservation.Resize(loaded.Bytes()) {
		return loadLoaded
	}
	loaded.Progress = nil
	if j.reservation.Resize(loaded.Bytes()) {
		return loadWithoutOutput
	}
	return loadNoMemory
}

// dropLoad drops a job that couldn't be loaded. The next scan that finds it unchanged tries again, without a claim unless
// a renewal may still take effect.
func (r *Runner) dropLoad(j *job) {
	j.discarded = true
	r.remove(j)
	if !j.writing && !j.dirty {
		r.idle[j.stored.ID] = idleJob{version: j.stored.Version, claimed: true, from: j.origin.from}
	}
}
