// Package batchrunner runs the items of the batch jobs that this VM owns, where
// the placer leaves room for them, and takes over the jobs of VMs that are gone.
//
// All of its state is stepped by one goroutine; runs of items and calls of the
// store are made on others, which post their outcome back.
package batchrunner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/attempter"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/orphanwatcher"
	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// Keeper keeps jobs in the store.
type Keeper interface {
	Now() time.Duration
	SetClock(now time.Duration)
	ScanPart(ctx context.Context, part int) ([]batchkeeper.VersionedRecord, error)
	Claim(ctx context.Context, seen batchkeeper.VersionedRecord) (batchkeeper.VersionedRecord, error)
	Load(ctx context.Context, id string) (batchkeeper.LoadedJob, error)
	Commit(ctx context.Context, seen batchkeeper.VersionedRecord, results []batchkeeper.Result, tokens int64,
		trials map[int]batchkeeper.FailureCounts) (batchkeeper.VersionedRecord, error)
	Renew(ctx context.Context, seen batchkeeper.VersionedRecord, tokens int64, trials map[int]batchkeeper.FailureCounts,
		progress map[int]batchkeeper.Progress) (batchkeeper.VersionedRecord, error)
	Release(ctx context.Context, seen batchkeeper.VersionedRecord, progress map[int]batchkeeper.Progress,
	) (batchkeeper.VersionedRecord, error)
}

// Placer finds room.
type Placer interface {
	AcquireBatch(work placer.BatchWork, now time.Time) (*placer.Slot, bool)
	Yield(now time.Time) []*placer.Slot
}

// Members tells of other VMs.
type Members interface {
	// Replaced tells whether a process has ended, because a later one of its VM has
	// started after a version of the store.
	Replaced(vm string, boot, version uint64) bool
	// Successors returns the VMs that may take over work, this one among them.
	Successors(now time.Time) []string
}

// Guard runs tasks so that an unexpected error ends that task alone.
type Guard interface {
	Guard(name string, task func())
	Try(name string, task func() error) error
}

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

const (
	// tick bounds how long something that only time brings about is overlooked.
	// While there are no jobs here, idleTick does.
	tick     = 100 * time.Millisecond
	idleTick = 500 * time.Millisecond
	// blindTime is how long items of a job are still started while its record can't
	// be renewed: a cancel could have been missed.
	blindTime = 10 * time.Second
)

// Runner runs jobs.
type Runner struct {
	self    batchkeeper.Owner
	keeper  Keeper
	placer  Placer
	courier attempter.Courier
	members Members
	memory  *rationer.Rationer
	mover   Mover
	guard   Guard
	counter Counter
	logger  *slog.Logger
	table   func() *router.Table
	loop    *stepper.Loop
	woken   atomic.Bool
	busy    atomic.Bool // there are jobs here

	jobs     map[string]*job
	running  map[*placer.Slot]*item
	pace     pace
	scans    [batchkeeper.Parts]partScan
	orphans  *orphanwatcher.Watcher
	claiming map[string]bool
	leaving  bool
	idle     chan struct{} // closed when a leaving runner has nothing running
}

// Option sets one property of a Runner.
type Option func(*Runner)

// WithMover sets what hands jobs to other VMs when this one leaves.
func WithMover(m Mover) Option {
	return func(r *Runner) { r.mover = m }
}

// New returns a runner. The function returns the configuration in force.
func New(
	self batchkeeper.Owner, keeper Keeper, p Placer, c attempter.Courier, members Members, table func() *router.Table,
	memory *rationer.Rationer, guard Guard, counter Counter, logger *slog.Logger, options ...Option,
) *Runner {
	r := &Runner{
		self: self, keeper: keeper, placer: p, courier: c, members: members, table: table, memory: memory,
		guard: guard, counter: counter, logger: logger, jobs: map[string]*job{}, running: map[*placer.Slot]*item{}, orphans: orphanwatcher.New(self.VM),
		mover: noMover{}, claiming: map[string]bool{}, idle: make(chan struct{}),
	}
	for _, option := range options {
		option(r)
	}
	r.loop = stepper.New(tick, r.tick, r.schedule, stepper.WithGuard(guard.Guard))
	return r
}

// Start starts the runner.
func (r *Runner) Start() { r.loop.Start() }

// Stop ends the runner at once.
func (r *Runner) Stop() { r.loop.Stop() }

// Wake makes the runner look for room and for work to yield, if it has any work.
// It never blocks for long and may be called at every change.
func (r *Runner) Wake() {
	if r.busy.Load() && r.woken.CompareAndSwap(false, true) {
		r.loop.Post(func(time.Time) {})
	}
}

// Adopt runs a job that this process has just accepted. The ration is what its
// items take of the memory.
func (r *Runner) Adopt(stored batchkeeper.VersionedRecord, items []batchkeeper.Item, ration *rationer.Reservation) {
	r.loop.Post(func(time.Time) { r.adopt(stored, batchkeeper.LoadedJob{Items: items}, ration) })
}

func (r *Runner) adopt(stored batchkeeper.VersionedRecord, loaded batchkeeper.LoadedJob, ration *rationer.Reservation) {
	if _, known := r.jobs[stored.ID]; known {
		ration.Release()
		return
	}
	j := newJob(stored, loaded)
	j.ration = ration
	j.renewed = time.Now()
	j.renewDue = j.renewed.Add(renewPeriod)
	r.jobs[stored.ID] = j
	r.setBusy(true)
	r.orphans.Forget(stored.ID)
	r.logger.Info("job adopted", "job", stored.ID, "route", stored.Route, "items", stored.Items,
		"results", stored.Results, "record", stored.Version, "due", stored.Due-r.keeper.Now())
}

// Cancelled stops a job that this VM runs, if it does.
func (r *Runner) Cancelled(id string) {
	r.loop.Post(func(time.Time) { r.drop(id, "cancelled") })
}

func (r *Runner) drop(id, why string) {
	j, found := r.jobs[id]
	if !found {
		return
	}
	j.drop()
	r.forget(id)
	r.logger.Info("job dropped", "job", id, "reason", why, "uncommitted", len(j.outbox))
}

// forget ends what this VM holds of a job.
func (r *Runner) forget(id string) {
	if j, found := r.jobs[id]; found {
		j.ration.Release()
		delete(r.jobs, id)
	}
}

func (r *Runner) tick(now time.Time) {
	if !r.leaving {
		r.scan(now)
	}
	r.expire()
	r.setBusy(len(r.jobs) > 0)
}

// setBusy tells whether there are jobs here.
func (r *Runner) setBusy(busy bool) {
	r.busy.Store(busy)
	if busy {
		r.loop.SetPeriod(tick)
	} else {
		r.loop.SetPeriod(idleTick)
	}
}

// schedule is called after every change: it stops what must give way and starts
// what finds room.
func (r *Runner) schedule(now time.Time) {
	r.woken.Store(false)
	for _, place := range r.placer.Yield(now) {
		if it, found := r.running[place]; found {
			r.counter.Count("items_yielded_total")
			it.cancel()
		}
	}
	for _, j := range r.jobs {
		r.claimMoved(j, now)
		r.renew(j, now)
		r.commit(j)
	}
	if r.leaving {
		r.closeIfIdle(now)
		return
	}
	r.startPending(now)
}

// startPending starts items until there is no room.
func (r *Runner) startPending(now time.Time) {
	table := r.table()
	if table == nil {
		return
	}
	full := map[string]bool{}
	for _, it := range r.pending(now) {
		route, found := table.RouteByName(it.job.stored.Route)
		if !found {
			continue
		}
		service := route.Service(uint64(it.index))
		if full[service] {
			continue
		}
		place, found := r.placer.AcquireBatch(placer.BatchWork{
			Service: service, Avoid: it.avoid, LatestStart: now.Add(r.latestStart(it) - r.keeper.Now()),
		}, now)
		if !found {
			full[service] = len(it.avoid) == 0
			continue
		}
		r.start(it, place)
	}
}

// expire gives up the items of jobs whose time is over, or whose route is gone.
func (r *Runner) expire() {
	now, table := r.keeper.Now(), r.table()
	if table == nil {
		return
	}
	for _, j := range r.jobs {
		_, routed := table.RouteByName(j.stored.Route)
		if routed && now < j.stored.Expires {
			continue
		}
		for _, it := range j.items {
			switch it.state {
			case statePending:
				r.giveUp(it, "expired")
			case stateRunning:
				it.cancel()
			case stateEnded:
			}
		}
	}
}

func (r *Runner) giveUp(it *item, why string) {
	r.counter.Count(`items_total{outcome="` + why + `"}`)
	r.logger.Info("item given up", "job", it.job.stored.ID, "item", it.ID, "reason", why,
		"failures", it.trial.Failures, "crashes", it.trial.Crashes)
	it.job.end(it, false)
}
