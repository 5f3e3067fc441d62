package batchrunner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/courier"
	"github.com/fescuespindle/fescuespindle/internal/eventsplitter"
	"github.com/fescuespindle/fescuespindle/internal/placer"
	"github.com/fescuespindle/fescuespindle/internal/relayer"
	"github.com/fescuespindle/fescuespindle/internal/stepper"
)

const (
	// firstEventTime and eventTime bound the waits for the first and for each
	// further event of a run, since an upstream may lose an answer, or a
	// connection go silent.
	firstEventTime = 3 * time.Second
	eventTime      = 2 * time.Second
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

// fate is how a run ended.
type fate uint8

const (
	fateWhole   fate = iota
	fateStopped      // by this VM
	fateRefused      // surely not run
	fateFailed       // the upstream answered with an error
	fateImpossible
	fateBroken // the answer broke off
)

// ending is the outcome of one run.
type ending struct {
	fate     fate
	progress batchkeeper.Progress
	events   int
	err      error
}

// start runs an item on a place.
func (r *Runner) start(it *item, place *placer.Place) {
	ctx, cancel := context.WithCancel(context.Background())
	it.state, it.place, it.cancel = stateRunning, place, cancel
	r.running[place] = it
	call := &courier.Call{
		ID: it.ID, Method: http.MethodPost, URI: it.URI, Host: it.job.stored.Host, Header: it.Header, Body: it.Body,
	}
	now := &live{progress: it.progress}
	it.live, it.began = now, time.Now()
	r.loop.Go(func(loop context.Context) stepper.Event {
		defer context.AfterFunc(loop, cancel)()
		ending := r.run(ctx, place, call, now)
		return func(now time.Time) { r.ended(it, ending, now) }
	})
}

// run makes one attempt, which goes on after what is there already.
func (r *Runner) run(
	ctx context.Context, place *placer.Place, call *courier.Call, now *live,
) ending {
	progress := now.get()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(firstEventTime, func() { cancel(errStalled) })
	defer stall.Stop()
	delivery, err := r.courier.Send(ctx, place, call, courier.Target{LastEvent: progress.LastEvent})
	if err != nil {
		return ending{fate: fateOfError(ctx, err), progress: progress, err: err}
	}
	defer delivery.Close()
	if delivery.Status() >= http.StatusMultipleChoices {
		return endingOfStatus(ctx, delivery, progress)
	}
	return readEvents(ctx, delivery, now, stall)
}

var (
	// errStalled means that no event came for too long.
	errStalled = errors.New("upstream stalled")
	// errNoEvents means that an answer ended before its first event.
	errNoEvents = errors.New("answer without events")
)

func fateOfError(ctx context.Context, err error) fate {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled):
		return fateStopped
	case relayer.AsFailure(err).Ran() == relayer.RanNot:
		return fateRefused
	default:
		return fateBroken
	}
}

func endingOfStatus(ctx context.Context, d *courier.Delivery, progress batchkeeper.Progress) ending {
	err := errors.New(http.StatusText(d.Status()))
	if _, readErr := io.Copy(io.Discard, d); readErr != nil {
		return ending{fate: fateOfError(ctx, readErr), progress: progress, err: readErr}
	}
	switch d.Status() {
	case http.StatusUnprocessableEntity:
		return ending{fate: fateImpossible, progress: progress, err: err}
	case http.StatusInternalServerError:
		return ending{fate: fateFailed, progress: progress, err: err}
	default:
		return ending{fate: fateBroken, progress: progress, err: err}
	}
}

// readEvents appends the data of all events to what is there already.
func readEvents(
	ctx context.Context, d *courier.Delivery, now *live, stall *time.Timer,
) ending {
	progress := now.get()
	events := eventsplitter.New(d)
	for n := 0; ; n++ {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if n == 0 && progress.LastEvent == "" {
				return ending{fate: fateBroken, progress: progress, err: errNoEvents}
			}
			return ending{fate: fateWhole, progress: progress, events: n}
		}
		if err != nil {
			e := ending{fate: fateOfError(ctx, err), progress: progress, events: n, err: err}
			if e.fate == fateBroken {
				d.Broken()
			}
			return e
		}
		stall.Reset(eventTime)
		if len(progress.Output) > 0 || progress.LastEvent != "" {
			progress.Output = append(progress.Output, '\n')
		}
		progress.Output = event.AppendData(progress.Output)
		progress.LastEvent = event.ID()
		now.set(progress)
	}
}

// ended takes in how a run of an item ended.
func (r *Runner) ended(it *item, e ending, now time.Time) {
	upstream := it.place.Upstream().ID
	delete(r.running, it.place)
	it.cancel()
	it.place, it.cancel, it.live = nil, nil, nil
	it.ran += now.Sub(it.began)
	it.state, it.progress = statePending, e.progress
	it.avoid = nil
	if e.fate != fateStopped {
		r.logger.Info("item run", "job", it.job.stored.ID, "item", it.ID, "upstream", upstream, "fate", e.fate.String(),
			"events", e.events, "error", errorText(e.err), "failures", it.trial.Failures, "crashes", it.trial.Crashes)
	}
	if it.job.dropped {
		return
	}
	switch e.fate {
	case fateWhole:
		r.counter.Count(`items_total{outcome="completed"}`)
		r.pace.whole(it.ran, len(it.progress.Output))
		it.job.end(it, true)
	case fateImpossible:
		r.giveUp(it, "impossible")
	case fateStopped:
	case fateRefused:
		it.avoid, it.notBefore = map[string]bool{upstream: true}, now.Add(refusedPause)
	case fateFailed:
		r.failed(it, now)
	case fateBroken:
		r.broken(it, upstream, e.events, now)
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
	if route, found := table.Named(it.job.stored.Route); found && it.trial.Failures >= route.MaxAttempts {
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

func (f fate) String() string {
	return [...]string{"whole", "stopped", "refused", "failed", "impossible", "broken"}[f]
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
