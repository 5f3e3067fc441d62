// Package batchrunner runs the items of the batch jobs that this VM owns on the slots
// that the placer leaves to batch work, and takes over the jobs of lost VMs.
//
// One goroutine, the loop, owns all state. Item runs and store calls happen on other
// goroutines, which post their outcome to the loop.
package batchrunner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/attempter"
	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobremover"
	"github.com/fescuespindle/fescuespindle/internal/batch/loadscheduler"
	"github.com/fescuespindle/fescuespindle/internal/batch/orphanwatcher"
	"github.com/fescuespindle/fescuespindle/internal/batch/runestimator"
	"github.com/fescuespindle/fescuespindle/internal/batch/slotwaiter"
	"github.com/fescuespindle/fescuespindle/internal/batch/startjudge"
	"github.com/fescuespindle/fescuespindle/internal/batch/watchassigner"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/router"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
)

// Keeper reads and writes jobs in the store.
type Keeper interface {
	Now() time.Duration
	SetClock(now time.Duration)
	ScanPart(ctx context.Context, part int) ([]batchkeeper.VersionedRecord, error)
	Claim(ctx context.Context, seen batchkeeper.VersionedRecord) (batchkeeper.VersionedRecord, error)
	Record(ctx context.Context, id string) (batchkeeper.VersionedRecord, error)
	Load(ctx context.Context, record batchkeeper.Record) (batchkeeper.LoadedJob, error)
	Commit(ctx context.Context, seen batchkeeper.VersionedRecord, results []batchkeeper.Result, tokens int64,
		failureCounts map[int]batchkeeper.FailureCounts) (batchkeeper.VersionedRecord, error)
	Renew(ctx context.Context, seen batchkeeper.VersionedRecord, tokens int64,
		failureCounts map[int]batchkeeper.FailureCounts, progress map[int]batchkeeper.Progress,
	) (batchkeeper.VersionedRecord, error)
	Release(ctx context.Context, seen batchkeeper.VersionedRecord, progress map[int]batchkeeper.Progress,
	) (batchkeeper.VersionedRecord, error)
	Remove(ctx context.Context, seen batchkeeper.VersionedRecord) error
}

// Placer assigns the slots of upstreams.
type Placer interface {
	// AcquireBatch acquires a slot for an item, and returns false if none is free.
	AcquireBatch(work placer.BatchWork, now time.Time) (*placer.Slot, bool)
	// BatchObstacles returns why no upstream, or only some, would get an item now.
	BatchObstacles(work placer.BatchWork, now time.Time) placer.Obstacles
	// Yield returns the slots whose items must be cancelled now; each is returned once.
	Yield(now time.Time) []*placer.Slot
	// AcceptsVersion returns whether an upstream of a service with a software version
	// accepts work.
	AcceptsVersion(service, version string) bool
}

// Members describes the VMs of the fleet.
type Members interface {
	// Replaced reports whether a process is known to have ended, because a later one
	// of its VM has started after a version of the store.
	Replaced(vm string, boot, version uint64) bool
	// View returns what is known of the VMs that may take over work.
	View(now time.Time) memberkeeper.View
}

// Configuration is what this VM knows of the operators' configuration.
type Configuration interface {
	// Table returns the routes in force at this VM, or nil if there are none yet.
	Table() *router.Table
	// AsOf returns a version of the store: Table has all changes up to it.
	AsOf() uint64
}

// Guard runs tasks so that a panic ends only the task in which it occurs.
type Guard interface {
	Guard(name string, task func())
	Try(name string, task func() error) error
}

// Counter counts events by name.
type Counter interface {
	Count(name string)
}

const (
	// tickPeriod is the period of checks that depend on time alone, while this VM has jobs,
	// and idleTickPeriod that while it has none.
	tickPeriod     = 100 * time.Millisecond
	idleTickPeriod = 500 * time.Millisecond
)

// outputMemoryBytes bounds the memory for long outputs of running items. It is not part of the budget from
// which the items themselves take theirs: jobs that use that up must still be able to end.
const outputMemoryBytes = 16 << 20

// Runner runs the batch jobs that this VM owns.
type Runner struct {
	self       batchkeeper.Owner
	keeper     Keeper
	placer     Placer
	courier    attempter.Courier
	members    Members
	memory     *rationer.Rationer
	outputs    *rationer.Rationer // memory for long outputs of running items
	mover      Mover
	guard      Guard
	counter    Counter
	logger     *slog.Logger
	config     Configuration
	loop       *stepper.Loop
	wakePosted atomic.Bool // a wake-up is posted and not yet handled
	hasJobs    atomic.Bool // this VM has jobs
	// awaitsConfiguration means that a job waits for a newer configuration.
	awaitsConfiguration atomic.Bool

	jobs      map[string]*job
	running   map[*placer.Slot]*item
	waits     slotwaiter.Waits
	estimator runestimator.Estimator
	scans     [batchkeeper.Parts]partScan
	// assignment is the parts that this VM scans, and assignDue when it is determined again.
	assignment watchassigner.Assignment
	assignDue  time.Time
	orphans    *orphanwatcher.Watcher
	remover    *jobremover.Remover
	loads      *loadscheduler.Scheduler
	idle       map[string]idleJob // by ID
	ends       startjudge.Ends
	silences   [batchkeeper.Parts]startjudge.Silence
	draining   bool
	drained    chan struct{} // closed when a draining runner has no jobs left
}

// Option sets one property of a Runner.
type Option func(*Runner)

// WithMover sets the Mover that sends jobs to other VMs when this one shuts down.
func WithMover(m Mover) Option {
	return func(r *Runner) { r.mover = m }
}

// WithResultRetention sets how long ended jobs stay readable after the retention of their route. Without
// it, they are never removed.
func WithResultRetention(retention time.Duration) Option {
	return func(r *Runner) { r.remover = jobremover.New(retention) }
}

// New returns a runner for the process self.
func New(
	self batchkeeper.Owner, keeper Keeper, p Placer, c attempter.Courier, members Members, config Configuration,
	memory *rationer.Rationer, guard Guard, counter Counter, logger *slog.Logger, options ...Option,
) *Runner {
	r := &Runner{
		self: self, keeper: keeper, placer: p, courier: c, members: members, config: config, memory: memory,
		guard: guard, counter: counter, logger: logger, jobs: map[string]*job{},
		running: map[*placer.Slot]*item{}, orphans: orphanwatcher.New(self.VM),
		mover: noMover{}, waits: slotwaiter.Waits{}, loads: loadscheduler.New(), idle: map[string]idleJob{}, ends: startjudge.Ends{},
		drained: make(chan struct{}), outputs: rationer.New(outputMemoryBytes), remover: &jobremover.Remover{},
	}
	for _, option := range options {
		option(r)
	}
	r.loop = stepper.New(tickPeriod, r.tick, r.schedule, stepper.WithGuard(guard.Guard))
	return r
}

// Start starts the runner.
func (r *Runner) Start() { r.loop.Start() }

// Stop stops the runner at once, without handing over its jobs.
func (r *Runner) Stop() { r.loop.Stop() }

// Wake makes the runner check for free slots and for items that must yield, if it has
// any jobs. It never blocks for long and may be called at every change.
func (r *Runner) Wake() {
	if r.hasJobs.Load() && r.wakePosted.CompareAndSwap(false, true) {
		r.loop.Post(func(time.Time) {})
	}
}

// Adopt runs a job that this process has just accepted. The reservation is the memory that
// is reserved for its items; the runner releases it with the job.
func (r *Runner) Adopt(
	stored batchkeeper.VersionedRecord, items []batchkeeper.Item, reservation *rationer.Reservation,
) {
	r.loop.Post(func(time.Time) {
		r.adopt(stored, batchkeeper.LoadedJob{Items: items}, reservation, origin{way: wayAccepted})
	})
}

// adopt starts to run a job that this process owns, unless it runs it already.
func (r *Runner) adopt(
	stored batchkeeper.VersionedRecord, loaded batchkeeper.LoadedJob, reservation *rationer.Reservation, from origin,
) {
	if _, known := r.jobs[stored.ID]; known {
		reservation.Release()
		return
	}
	j := r.add(stored, reservation, from)
	j.setContent(loaded)
	r.logAdopted(j)
}

// add adds a job without items that this process owns, or that was handed over to it.
func (r *Runner) add(stored batchkeeper.VersionedRecord, reservation *rationer.Reservation, from origin) *job {
	j := &job{
		stored: stored, firstVersion: stored.Version, origin: from, reservation: reservation,
		evidence: startjudge.FromStore(stored.AsOf, r.ends.LastHeard(stored.ID)),
		renewDue: stored.AsOf.Add(renewPeriod),
	}
	r.jobs[stored.ID] = j
	r.setHasJobs(true)
	delete(r.idle, stored.ID)
	r.loads.Withdraw(stored.ID)
	r.orphans.Forget(stored.ID)
	return j
}

func (r *Runner) logAdopted(j *job) {
	r.logger.Info("job adopted", "job", j.stored.ID, "route", j.stored.Route, "items", j.stored.Items,
		"results", j.stored.Results, "record", j.stored.Version, "due", j.stored.Due-r.keeper.Now(), "way", j.origin.way,
		"sender", j.origin.from.VM, "senderBoot", j.origin.from.Boot)
}

// discard stops a job that this VM must not run any more, and discards its results that
// are not committed.
func (r *Runner) discard(id, reason string) {
	j, found := r.jobs[id]
	if !found {
		return
	}
	j.discard()
	r.remove(j)
	r.logger.Info("job discarded", "job", id, "reason", reason, "uncommitted", len(j.outbox))
}

// remove removes a job from this VM and releases its reservation of memory. It leaves another
// instance of the job alone.
func (r *Runner) remove(j *job) {
	if r.jobs[j.stored.ID] == j {
		j.reservation.Release()
		delete(r.jobs, j.stored.ID)
	}
}

// tick does what depends on time alone.
func (r *Runner) tick(now time.Time) {
	if !r.draining {
		r.scan(now)
	}
	r.expire()
	r.ends.Expire(now)
	r.setHasJobs(len(r.jobs) > 0)
}

// setHasJobs sets whether this VM has jobs, and the period of the loop accordingly.
func (r *Runner) setHasJobs(hasJobs bool) {
	r.hasJobs.Store(hasJobs)
	if hasJobs {
		r.loop.SetPeriod(tickPeriod)
	} else {
		r.loop.SetPeriod(idleTickPeriod)
	}
}

// schedule runs after each batch of events: it cancels items that must yield, writes
// what is due and starts items on free slots.
func (r *Runner) schedule(now time.Time) {
	r.wakePosted.Store(false)
	for _, slot := range r.placer.Yield(now) {
		if it, found := r.running[slot]; found {
			r.counter.Count("items_yielded_total")
			it.cancel()
		}
	}
	for _, j := range r.jobs {
		r.claimHandedOver(j, now)
		r.renew(j, now)
		r.commit(j)
	}
	if r.draining {
		r.drainIfIdle(now)
		return
	}
	for _, j := range r.jobs {
		r.check(j, now)
	}
	r.startLoads()
	r.startPending(now)
}
