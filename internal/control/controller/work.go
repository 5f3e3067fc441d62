package controller

import (
	"context"
	"errors"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/chunkfinder"
	"github.com/fescuespindle/fescuespindle/internal/batch/itemrunner"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/batch/jobrunner"
	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/control/publisher"
	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

const (
	claimTimeout  = 5 * time.Second
	commitTimeout = 10 * time.Second
	checkTimeout  = 3 * time.Second
	scanTimeout   = 3 * time.Second
	// releaseTimeout bounds the tries to give a chunk up.
	releaseTimeout = time.Minute
	// checkPeriod is the time between two renewals of the lease, and leaseTimeout
	// how long one may stay unchanged.
	checkPeriod  = 2 * time.Second
	leaseTimeout = 10 * time.Second
	// commitPeriod is how long results wait to be committed together.
	commitPeriod = time.Second
	// offerWait is how long a VM waits for the finder's offer before it looks
	// for work itself.
	offerWait = 1500 * time.Millisecond
)

// work runs the batch work of this VM, and finds work for its domain.
type work struct {
	c         *Controller
	owner     jobkeeper.Owner
	core      *jobrunner.Runner
	finder    *chunkfinder.Finder
	items     *itemrunner.Runner
	stops     map[jobrunner.RunID]context.CancelFunc
	wantedAt  map[string]time.Time
	drained   chan<- struct{}
	releasing int
	rooms     []jobrunner.Capacity
}

func newWork(c *Controller) *work {
	w := &work{
		c: c, owner: jobkeeper.Owner{VM: c.Place.VM, Process: c.Place.Process},
		stops: map[jobrunner.RunID]context.CancelFunc{}, wantedAt: map[string]time.Time{},
	}
	w.core = jobrunner.New(w.owner)
	w.finder = chunkfinder.New(w.dead)
	w.items = itemrunner.New(c.Place.VM, c.Relayer, itemObserver{w}, c, c.Quarantine)
	return w
}

// dead tells whether the process that owns a chunk is known to be gone, or is
// this one but doesn't know of the chunk any more.
func (w *work) dead(o jobkeeper.Owner, ref jobkeeper.ChunkRef) bool {
	if o.VM == w.c.Place.VM {
		return o.Process != w.c.Place.Process || !w.core.Owns(ref)
	}
	return w.c.members.prober.Dead(o.VM, o.Process)
}

func (w *work) tick(now time.Time) {
	w.core.SetCommitInterval(w.c.scaled(commitPeriod))
	w.core.SetCheckPeriod(w.c.scaled(checkPeriod))
	w.finder.SetLeaseTimeout(w.c.scaled(leaseTimeout))
	w.do(w.core.Tick(now), now)
	offers, scans := w.finder.Tick(now)
	w.serve(offers, scans)
	w.noticeDrained()
}

// refreshRooms tells the core how much batch work each kept upstream may hold
// now.
func (w *work) refreshRooms(now time.Time) {
	w.rooms = w.rooms[:0]
	for _, id := range w.c.upstreams.keptIDs() {
		k := w.c.upstreams.kept[id]
		if k.target.Deployment().Kind != deployer.KindEngine {
			continue
		}
		limit := 0
		if k.upstream.Gauge().Usable(now) {
			limit = k.room.Limit(w.core.Running(id), now)
			limit += k.room.QueueDepth(limit, now)
		}
		w.rooms = append(w.rooms, jobrunner.Capacity{
			Upstream: id, Model: k.target.Name(), Limit: limit, OnlineIdle: k.room.OnlineIdle(now),
		})
	}
	w.do(w.core.SetCapacities(w.rooms, now), now)
}

func (w *work) do(actions []jobrunner.Action, now time.Time) {
	for _, action := range actions {
		switch a := action.(type) {
		case jobrunner.RequestChunks:
			w.want(a, now)
		case jobrunner.Claim:
			w.claim(a)
		case jobrunner.Load:
			w.load(a)
		case jobrunner.Start:
			w.start(a)
		case jobrunner.Stop:
			w.stop(a)
		case jobrunner.Commit:
			w.commit(a)
		case jobrunner.Release:
			w.release(a)
		case jobrunner.Check:
			w.check(a)
		}
	}
}

// want asks the VM that finds work for the model in this domain. If its offer
// doesn't come, this VM looks for itself.
func (w *work) want(a jobrunner.RequestChunks, now time.Time) {
	finder := publisher.Keeper("finder/"+a.Model, w.c.members.names())
	asked, waiting := w.wantedAt[a.Model]
	if !waiting && !a.OrphansOnly {
		w.wantedAt[a.Model] = now
	}
	overdue := waiting && now.Sub(asked) > offerWait
	if address := w.c.upstreams.addresses[finder]; finder != w.c.Place.VM && address != "" && !overdue {
		w.c.sender.Send(address, peer.ChunksWanted{Model: a.Model, Most: a.Limit, Orphans: a.OrphansOnly})
		return
	}
	if overdue {
		w.wantedAt[a.Model] = now
	}
	w.serve(w.finder.RequestChunks(w.c.Place.VM, a.Model, a.Limit, a.OrphansOnly, now))
}

func (w *work) chunksWanted(from peer.Sender, m peer.ChunksWanted, now time.Time) {
	w.serve(w.finder.RequestChunks(from.VM, m.Model, m.Most, m.Orphans, now))
}

func (w *work) serve(offers []chunkfinder.Offer, scans []chunkfinder.Scan) {
	for _, offer := range offers {
		w.offer(offer)
	}
	for _, scan := range scans {
		w.c.loop.Go(func(ctx context.Context) stepper.Event {
			ctx, cancel := context.WithTimeout(ctx, scanTimeout)
			defer cancel()
			found := scan.Run(ctx, w.c.Jobs)
			return func(now time.Time) { w.serve(w.finder.Scanned(found, now)) }
		})
	}
}

func (w *work) offer(o chunkfinder.Offer) {
	if o.VM == w.c.Place.VM {
		var offers []jobrunner.Offer
		for _, chunk := range o.Chunks {
			offers = append(offers, jobrunner.Offer(chunk))
		}
		w.take(o.Model, offers)
		return
	}
	message := peer.ChunksOffered{Model: o.Model}
	for _, chunk := range o.Chunks {
		message.Chunks = append(message.Chunks, peer.ChunkRef{
			Job: chunk.Ref.Job, Number: chunk.Ref.Number,
			OwnerVM: chunk.Previous.VM, OwnerProcess: chunk.Previous.Process,
		})
	}
	w.c.sender.Send(w.c.upstreams.addresses[o.VM], message)
}

func (w *work) chunksOffered(m peer.ChunksOffered) {
	var offers []jobrunner.Offer
	for _, chunk := range m.Chunks {
		offers = append(offers, jobrunner.Offer{
			Ref:      jobkeeper.ChunkRef{Job: chunk.Job, Number: chunk.Number},
			Previous: jobkeeper.Owner{VM: chunk.OwnerVM, Process: chunk.OwnerProcess},
		})
	}
	w.take(m.Model, offers)
}

func (w *work) take(model string, offers []jobrunner.Offer) {
	delete(w.wantedAt, model)
	w.do(w.core.Offered(offers), time.Now())
}

func (w *work) claim(a jobrunner.Claim) {
	w.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		claim, job, err := w.c.Jobs.ClaimChunk(ctx, a.Ref, a.Previous, w.owner)
		return func(now time.Time) {
			if err != nil {
				w.c.Counters.Count("chunk_claims_lost_total")
			}
			w.do(w.core.Claimed(a.Ref, claim, job, err, now), now)
		}
	})
}

func (w *work) load(a jobrunner.Load) {
	w.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		items, err := w.c.Jobs.Items(ctx, a.Claim)
		return func(now time.Time) { w.do(w.core.Loaded(a.Claim.Ref, items, err, now), now) }
	})
}

func (w *work) start(a jobrunner.Start) {
	target := w.c.upstreams.find(a.Upstream)
	if target == nil {
		w.c.loop.Go(func(context.Context) stepper.Event {
			return w.ended(jobrunner.RunResult{Run: a.Run, Outcome: jobrunner.OutcomeNotRun, Resume: a.Resume})
		})
		return
	}
	sources := map[string]*chooser.Upstream{}
	if a.Resume != nil {
		sources[a.Resume.Upstream] = w.c.upstreams.find(a.Resume.Upstream)
		w.c.Counters.Count("batch_resumes_total")
	}
	w.c.Counters.Count("batch_starts_total")
	ctx, cancel := context.WithCancel(context.Background())
	w.stops[a.Run] = cancel
	w.c.loop.Go(func(parent context.Context) stepper.Event {
		defer context.AfterFunc(parent, cancel)()
		ending := w.items.Run(ctx, a, target, func(id string) *chooser.Upstream { return sources[id] })
		return w.ended(ending)
	})
}

func (w *work) ended(ending jobrunner.RunResult) stepper.Event {
	return func(now time.Time) {
		if cancel, found := w.stops[ending.Run]; found {
			cancel()
			delete(w.stops, ending.Run)
		}
		if ending.Outcome == jobrunner.OutcomeCompleted {
			w.c.Counters.Count("batch_items_completed_total")
		}
		w.do(w.core.Ended(ending, now), now)
	}
}

func (w *work) stop(a jobrunner.Stop) {
	w.c.Counters.Count("batch_stops_total")
	if cancel, found := w.stops[a.Run]; found {
		cancel()
	}
}

func (w *work) commit(a jobrunner.Commit) {
	w.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		claim, err := w.c.Jobs.CommitPart(ctx, a.Claim, a.Results, a.Last, time.Now())
		return func(now time.Time) {
			if err != nil {
				w.c.Counters.Count("chunk_commit_failures_total")
			} else {
				w.c.Counters.Add("batch_items_committed_total", len(a.Results))
			}
			w.do(w.core.Committed(a.Claim.Ref, a.Claim.Row.Epoch, claim, err, now), now)
		}
	})
}

// release gives a chunk up. It tries until the store says that the chunk is
// released or another's, since nobody else may claim it while this VM lives.
func (w *work) release(a jobrunner.Release) {
	w.releasing++
	w.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		for ctx.Err() == nil {
			err := w.c.Jobs.ReleaseChunk(ctx, a.Claim)
			if err == nil || errors.Is(err, jobkeeper.ErrOwnershipLost) {
				break
			}
		}
		return func(time.Time) { w.releasing-- }
	})
}

func (w *work) check(a jobrunner.Check) {
	w.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		_ = w.c.Jobs.RenewLease(ctx, w.owner, a.Beat) // others see a beat that is missing
		jobs, err := w.c.Jobs.Jobs(ctx, a.Jobs)
		return func(now time.Time) { w.do(w.core.Checked(jobs, err, now), now) }
	})
}

func (w *work) jobCancelled(job string, now time.Time) {
	w.do(w.core.JobCancelled(job, now), now)
}

func (w *work) drain(done chan<- struct{}, now time.Time) {
	w.drained = done
	w.do(w.core.Drain(now), now)
}

func (w *work) noticeDrained() {
	if w.drained != nil && w.core.Drained() && w.releasing == 0 {
		close(w.drained)
		w.drained = nil
	}
}

// itemObserver passes what batch traffic sees on to the control goroutine.
type itemObserver struct {
	w *work
}

// FirstToken implements itemrunner.Observer.
func (o itemObserver) FirstToken(run jobrunner.RunID) {
	o.w.c.loop.Post(func(now time.Time) { o.w.do(o.w.core.FirstToken(run, now), now) })
}

// StrikeRecorded implements itemrunner.Observer.
func (o itemObserver) StrikeRecorded(s quarantiner.Strike) { o.w.c.Struck(s) }

// DrainingSeen implements itemrunner.Observer.
func (o itemObserver) DrainingSeen(u *chooser.Upstream) { o.w.c.LeavingSeen(u) }
