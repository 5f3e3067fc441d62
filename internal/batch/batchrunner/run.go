package batchrunner

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/attempter"
	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
)

const (
	// refusedPause is the time until an item that was refused is tried again, and
	// failedPause that after a run that failed.
	refusedPause = 30 * time.Millisecond
	failedPause  = 200 * time.Millisecond
	// suspectCrashes is the number of upstreams that may be lost under an item
	// before it is run at most every suspectPause, and maxCrashes that after which
	// it is not run any more.
	suspectCrashes = 3
	suspectPause   = 6 * time.Second
	maxCrashes     = 6
	// harmlessEvents is the number of events after which a run that breaks off is
	// not held against its item.
	harmlessEvents = 2
)

// start runs an item on a place.
func (r *Runner) start(it *item, place *placer.Slot) {
	ctx, cancel := context.WithCancel(context.Background())
	it.state, it.place, it.cancel = stateRunning, place, cancel
	r.running[place] = it
	call := &courier.Call{
		ID: it.ID, Method: http.MethodPost, URI: it.URI, Host: it.job.stored.Host, Header: it.Header, Body: it.Body,
	}
	live := attempter.NewLive(it.progress)
	it.live, it.began = live, time.Now()
	r.loop.Go(func(loop context.Context) stepper.Event {
		defer context.AfterFunc(loop, cancel)()
		result := attempter.Result{Outcome: attempter.OutcomeBroken, Progress: it.progress}
		if err := r.guard.Try("item run", func() error {
			result = attempter.Run(ctx, r.courier, place, call, live)
			return nil
		}); err != nil {
			result.Err = err
		}
		return func(now time.Time) { r.ended(it, result, now) }
	})
}

// ended takes in how a run of an item ended.
func (r *Runner) ended(it *item, e attempter.Result, now time.Time) {
	upstream := it.place.Upstream().ID
	delete(r.running, it.place)
	it.cancel()
	it.place, it.cancel, it.live = nil, nil, nil
	it.ran += now.Sub(it.began)
	it.state, it.progress = statePending, e.Progress
	it.avoid = nil
	if e.Outcome != attempter.OutcomeStopped {
		r.logger.Info("item run", "job", it.job.stored.ID, "item", it.ID, "upstream", upstream, "outcome", e.Outcome.String(),
			"events", e.Events, "error", errorText(e.Err), "failures", it.trial.Failures, "crashes", it.trial.Crashes)
	}
	if it.job.dropped {
		return
	}
	switch e.Outcome {
	case attempter.OutcomeWhole:
		r.counter.Count(`items_total{outcome="completed"}`)
		r.pace.whole(it.ran, len(it.progress.Output))
		it.job.end(it, true)
	case attempter.OutcomeImpossible:
		r.giveUp(it, "impossible")
	case attempter.OutcomeStopped:
	case attempter.OutcomeRefused:
		it.avoid, it.notBefore = map[string]bool{upstream: true}, now.Add(refusedPause)
	case attempter.OutcomeFailed:
		it.avoid = map[string]bool{upstream: true}
		r.failed(it, now)
	case attempter.OutcomeBroken:
		r.broken(it, upstream, e.Events, now)
	}
}

// failed counts a run that the upstream answered with an error.
func (r *Runner) failed(it *item, now time.Time) {
	it.trial.Failures++
	it.job.changed = true
	it.notBefore = now.Add(failedPause)
	table := r.table()
	if table == nil {
		return
	}
	if route, found := table.RouteByName(it.job.stored.Route); found && it.trial.Failures >= route.MaxAttempts {
		r.giveUp(it, "failed")
	}
}

// broken counts a run whose answer broke off at its beginning. The item may have
// crashed its upstream, so one that loses several is tried more and more rarely.
// A run that had got on well was more likely lost for another reason.
func (r *Runner) broken(it *item, upstream string, events int, now time.Time) {
	if events < harmlessEvents {
		it.trial.Crashes++
		it.job.changed = true
	}
	it.avoid = map[string]bool{upstream: true}
	switch {
	case it.trial.Crashes >= maxCrashes:
		it.notBefore = now.Add(time.Hour) // until it expires
	case it.trial.Crashes >= suspectCrashes:
		it.notBefore = now.Add(suspectPause)
	default:
		it.notBefore = now.Add(failedPause)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
