package batchrunner

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/attempter"
	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/sleeper"
)

const (
	// notRunPause is the delay before the next run of an item that an upstream did
	// not run, and failurePause that after a run that failed or broke off.
	notRunPause  = 30 * time.Millisecond
	failurePause = 200 * time.Millisecond
	// maxCrashPause bounds the pause after a run that broke off early, which doubles with
	// each. The item is still owed after any number of them: upstreams also crash under
	// items that are not to blame. A new owner of the job takes over the number of
	// crashes, but not the pause.
	maxCrashPause = 6 * time.Second
	// harmlessEvents is the number of events from which a run that breaks off does
	// not count as a crash.
	harmlessEvents = 2
)

// startRun starts a run of an item on a slot.
func (r *Runner) startRun(it *item, slot *placer.Slot) {
	ctx, cancel := context.WithCancel(context.Background())
	it.state, it.slot, it.cancel = stateRunning, slot, cancel
	r.running[slot] = it
	call := &courier.Call{
		ID: it.ID, Method: http.MethodPost, URI: it.URI, Host: it.job.stored.Host, Body: it.Body,
		HasTeams: r.config.Table().HasTeams(), Team: cmp.Or(it.Team, it.job.stored.Team),
	}
	live := attempter.NewLiveProgress(it.progress)
	it.live, it.runStart = live, r.newRunStart(it, time.Now())
	r.loop.Go(func(loop context.Context) stepper.Event {
		defer context.AfterFunc(loop, cancel)()
		result := attempter.Result{Outcome: attempter.OutcomeInterrupted, Progress: it.progress}
		if err := r.guard.Try("item run", func() (err error) {
			if call.Header, err = it.Header.Fields(); err != nil {
				return err //nolint:wrapcheck // logged as it is
			}
			result = attempter.Run(ctx, r.courier, slot, call, live, r.outputs)
			return nil
		}); err != nil {
			result.Err = err
		}
		return func(now time.Time) { r.runEnded(it, result, now) }
	})
}

// runEnded handles the outcome of a run: the item has its result, or is pending again.
func (r *Runner) runEnded(it *item, result attempter.Result, now time.Time) {
	upstream, software := it.slot.Upstream().ID, it.slot.Upstream().Version
	delete(r.running, it.slot)
	it.cancel()
	it.slot, it.cancel, it.live = nil, nil, nil
	it.totalRunTime += now.Sub(it.runStart.at)
	it.state, it.progress = statePending, result.Progress
	it.avoidedUpstream = ""
	r.logger.Info("item run", "job", it.job.stored.ID, "item", it.ID, "upstream", upstream,
		"software", software, "outcome", result.Outcome.String(), "events", result.Events, "error", errorText(result.Err),
		"failures", it.failureCounts.Failures, "crashes", it.failureCounts.Crashes, r.logAttributes(it))
	if it.job.discarded {
		return
	}
	switch result.Outcome {
	case attempter.OutcomeCompleted:
		r.counter.Count(`items_total{outcome="completed"}`)
		r.estimator.Record(it.totalRunTime, len(it.progress.Output))
		it.job.finish(it, true)
	case attempter.OutcomeUnprocessable:
		r.abandon(it, reasonImpossible)
	case attempter.OutcomeStopped:
	case attempter.OutcomeNotRun:
		it.avoid(upstream, now)
		it.notBefore = now.Add(notRunPause)
	case attempter.OutcomeFailed:
		it.avoid(upstream, now)
		r.recordFailure(it, now)
	case attempter.OutcomeInterrupted:
		r.recordInterruption(it, upstream, result, now)
	case attempter.OutcomeNoMemory:
		it.notBefore = now.Add(failurePause)
	}
}

// recordFailure counts a run that the upstream answered with an error. The item is abandoned
// once it has used up the attempts of its route.
func (r *Runner) recordFailure(it *item, now time.Time) {
	it.failureCounts.Failures++
	it.job.dirty = true
	it.notBefore = now.Add(failurePause)
	if current, found := r.routing(); found {
		r.abandonFailed(it, current)
	}
}

// recordInterruption handles a run that broke off. If it had fewer than harmlessEvents
// events, it counts as a crash, since the item may have crashed its upstream. A run that
// breaks off later more likely has another cause. One whose output was too long also counts,
// for the pauses: an upstream that never ends its stream would cost as much with each run.
func (r *Runner) recordInterruption(it *item, upstream string, result attempter.Result, now time.Time) {
	it.avoid(upstream, now)
	it.notBefore = now.Add(failurePause)
	if result.Events < harmlessEvents || errors.Is(result.Err, attempter.ErrTooLong) {
		it.failureCounts.Crashes++
		it.job.dirty = true
		it.notBefore = now.Add(crashPause(it.failureCounts.Crashes))
	}
}

// crashPause returns the pause after the given number of crashes.
func crashPause(crashes int) time.Duration {
	return sleeper.Backoff{Initial: failurePause, Max: maxCrashPause}.Delay(crashes - 1)
}

// errorText returns the text of an error for a log line, which is empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
