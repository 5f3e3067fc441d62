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
	renewTimeout  = 3 * time.Second
	scanTimeout   = 3 * time.Second
	// releaseTimeout limits the attempts to release a chunk or an order's claim.
	releaseTimeout = time.Minute
	// renewPeriod is the time between two renewals of the lease. A lease expires if it
	// is not renewed for leaseTimeout.
	renewPeriod  = 2 * time.Second
	leaseTimeout = 10 * time.Second
	// commitPeriod is how long results are collected before one commit.
	commitPeriod = time.Second
	// offerTimeout is how long a VM waits for an offer of the VM that scans for chunks
	// before it scans by itself.
	offerTimeout = 1500 * time.Millisecond
)

// batchWork runs the batch work of this VM, and finds chunks for its failure domain.
type batchWork struct {
	c               *Controller
	owner           jobkeeper.Owner
	core            *jobrunner.Runner
	finder          *chunkfinder.Finder
	items           *itemrunner.Runner
	cancels         map[jobrunner.RunID]context.CancelFunc
	requestedAt     map[string]time.Time
	drainDone       chan<- struct{}
	pendingReleases int
	capacities      []jobrunner.Capacity
}

func newBatchWork(c *Controller) *batchWork {
	w := &batchWork{
		c: c, owner: jobkeeper.Owner{VM: c.Location.VM, Process: c.Location.Process},
		cancels: map[jobrunner.RunID]context.CancelFunc{}, requestedAt: map[string]time.Time{},
	}
	w.core = jobrunner.New(w.owner)
	w.finder = chunkfinder.New(w.ownerGone)
	w.items = itemrunner.New(c.Location.VM, c.Relayer, itemObserver{w}, c, c.Quarantine)
	return w
}

// ownerGone reports whether the process that owns a chunk is known to be gone, or is
// this process but no longer works on the chunk.
func (w *batchWork) ownerGone(o jobkeeper.Owner, ref jobkeeper.ChunkRef) bool {
	if o.VM == w.c.Location.VM {
		return o.Process != w.c.Location.Process || !w.core.Owns(ref)
	}
	return w.c.members.prober.Dead(o.VM, o.Process)
}

func (w *batchWork) tick(now time.Time) {
	w.core.SetCommitInterval(w.c.scaleWithFleet(commitPeriod))
	w.core.SetCheckPeriod(w.c.scaleWithFleet(renewPeriod))
	w.finder.SetLeaseTimeout(w.c.scaleWithFleet(leaseTimeout))
	w.execute(w.core.Tick(now), now)
	offers, scans := w.finder.Tick(now)
	w.handleFinderOutput(offers, scans)
	w.signalDrained()
}

// updateCapacities sets how many batch requests each owned upstream may have now.
func (w *batchWork) updateCapacities(now time.Time) {
	w.capacities = w.capacities[:0]
	for _, id := range w.c.upstreams.ownedIDs() {
		o := w.c.upstreams.owned[id]
		if o.target.Deployment().Kind != deployer.KindEngine {
			continue
		}
		limit := 0
		if o.upstream.Gauge().Usable(now) {
			limit = o.limiter.Limit(w.core.Running(id), now)
			limit += o.limiter.QueueDepth(limit, now)
		}
		w.capacities = append(w.capacities, jobrunner.Capacity{
			Upstream: id, Model: o.target.Name(), Limit: limit, OnlineIdle: o.limiter.OnlineIdle(now),
		})
	}
	w.execute(w.core.SetCapacities(w.capacities, now), now)
}

func (w *batchWork) execute(actions []jobrunner.Action, now time.Time) {
	for _, action := range actions {
		switch a := action.(type) {
		case jobrunner.RequestChunks:
			w.requestChunks(a, now)
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
			w.renew(a)
		}
	}
}

// requestChunks requests chunks from the VM that scans for the model's work in this
// failure domain. If no offer arrives within offerTimeout, this VM scans by itself.
func (w *batchWork) requestChunks(a jobrunner.RequestChunks, now time.Time) {
	finder := publisher.Owner("finder/"+a.Model, w.c.members.activeNames())
	requestedAt, pending := w.requestedAt[a.Model]
	if !pending && !a.OrphansOnly {
		w.requestedAt[a.Model] = now
	}
	overdue := pending && now.Sub(requestedAt) > offerTimeout
	if address := w.c.upstreams.addresses[finder]; finder != w.c.Location.VM && address != "" && !overdue {
		w.c.sender.Send(address, peer.ChunksWanted{Model: a.Model, MaxChunks: a.Limit, Orphans: a.OrphansOnly})
		return
	}
	if overdue {
		w.requestedAt[a.Model] = now
	}
	w.handleFinderOutput(w.finder.RequestChunks(w.c.Location.VM, a.Model, a.Limit, a.OrphansOnly, now))
}

func (w *batchWork) receiveChunksWanted(from peer.Sender, m peer.ChunksWanted, now time.Time) {
	w.handleFinderOutput(w.finder.RequestChunks(from.VM, m.Model, m.MaxChunks, m.Orphans, now))
}

// handleFinderOutput sends the finder's offers and starts its scans.
func (w *batchWork) handleFinderOutput(offers []chunkfinder.Offer, scans []chunkfinder.Scan) {
	for _, offer := range offers {
		w.sendOffer(offer)
	}
	for _, scan := range scans {
		w.c.loop.Go(func(ctx context.Context) stepper.Event {
			ctx, cancel := context.WithTimeout(ctx, scanTimeout)
			defer cancel()
			result := scan.Run(ctx, w.c.Jobs)
			return func(now time.Time) { w.handleFinderOutput(w.finder.Scanned(result, now)) }
		})
	}
}

func (w *batchWork) sendOffer(o chunkfinder.Offer) {
	if o.VM == w.c.Location.VM {
		var offers []jobrunner.Offer
		for _, chunk := range o.Chunks {
			offers = append(offers, jobrunner.Offer(chunk))
		}
		w.acceptOffers(o.Model, offers)
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

func (w *batchWork) receiveChunksOffered(m peer.ChunksOffered) {
	var offers []jobrunner.Offer
	for _, chunk := range m.Chunks {
		offers = append(offers, jobrunner.Offer{
			Ref:      jobkeeper.ChunkRef{Job: chunk.Job, Number: chunk.Number},
			Previous: jobkeeper.Owner{VM: chunk.OwnerVM, Process: chunk.OwnerProcess},
		})
	}
	w.acceptOffers(m.Model, offers)
}

func (w *batchWork) acceptOffers(model string, offers []jobrunner.Offer) {
	delete(w.requestedAt, model)
	now := time.Now()
	w.execute(w.core.Offered(offers, now), now)
}

func (w *batchWork) claim(a jobrunner.Claim) {
	w.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		claim, job, err := w.c.Jobs.ClaimChunk(ctx, a.Ref, a.Previous, w.owner)
		return func(now time.Time) {
			if err != nil {
				w.c.Counters.Count("chunk_claims_lost_total")
			}
			w.execute(w.core.Claimed(a.Ref, claim, job, err), now)
		}
	})
}

func (w *batchWork) load(a jobrunner.Load) {
	w.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		items, err := w.c.Jobs.Items(ctx, a.Claim)
		return func(now time.Time) { w.execute(w.core.Loaded(a.Claim.Ref, items, err, now), now) }
	})
}

func (w *batchWork) start(a jobrunner.Start) {
	u := w.c.upstreams.upstream(a.Upstream)
	if u == nil {
		w.c.loop.Go(func(context.Context) stepper.Event {
			return w.runEnded(jobrunner.RunResult{Run: a.Run, Outcome: jobrunner.OutcomeNotRun, Resume: a.Resume})
		})
		return
	}
	sources := map[string]*chooser.Upstream{}
	if a.Resume != nil {
		sources[a.Resume.Upstream] = w.c.upstreams.upstream(a.Resume.Upstream)
		w.c.Counters.Count("batch_resumes_total")
	}
	w.c.Counters.Count("batch_starts_total")
	ctx, cancel := context.WithCancel(context.Background())
	w.cancels[a.Run] = cancel
	w.c.loop.Go(func(parent context.Context) stepper.Event {
		defer context.AfterFunc(parent, cancel)()
		result := w.items.Run(ctx, a, u, func(id string) *chooser.Upstream { return sources[id] })
		return w.runEnded(result)
	})
}

func (w *batchWork) runEnded(result jobrunner.RunResult) stepper.Event {
	return func(now time.Time) {
		if cancel, found := w.cancels[result.Run]; found {
			cancel()
			delete(w.cancels, result.Run)
		}
		if result.Outcome == jobrunner.OutcomeCompleted {
			w.c.Counters.Count("batch_items_completed_total")
		}
		w.execute(w.core.Ended(result, now), now)
	}
}

func (w *batchWork) stop(a jobrunner.Stop) {
	w.c.Counters.Count("batch_stops_total")
	if cancel, found := w.cancels[a.Run]; found {
		cancel()
	}
}

func (w *batchWork) commit(a jobrunner.Commit) {
	w.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		claim, err := w.c.Jobs.CommitResults(ctx, a.Claim, a.Results, a.Last, time.Now())
		return func(now time.Time) {
			if err != nil {
				w.c.Counters.Count("chunk_commit_failures_total")
			} else {
				w.c.Counters.Add("batch_items_committed_total", len(a.Results))
			}
			w.execute(w.core.Committed(a.Claim.Ref, a.Claim.Row.Epoch, claim, err, now), now)
		}
	})
}

// release releases a chunk. It retries until the store confirms that the chunk is
// released or owned by another process, since no other VM may claim it while this VM is
// alive.
func (w *batchWork) release(a jobrunner.Release) {
	w.pendingReleases++
	w.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		for ctx.Err() == nil {
			err := w.c.Jobs.ReleaseChunk(ctx, a.Claim)
			if err == nil || errors.Is(err, jobkeeper.ErrOwnershipLost) {
				break
			}
		}
		return func(time.Time) { w.pendingReleases-- }
	})
}

// renew renews the lease of this process and reads the current records of its jobs.
func (w *batchWork) renew(a jobrunner.Check) {
	w.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		_ = w.c.Jobs.RenewLease(ctx, w.owner, a.Beat) // other VMs detect a missing heartbeat
		jobs, err := w.c.Jobs.Jobs(ctx, a.Jobs)
		return func(now time.Time) { w.execute(w.core.Checked(jobs, err, now), now) }
	})
}

func (w *batchWork) jobCancelled(job string, now time.Time) {
	w.execute(w.core.JobCancelled(job, now), now)
}

func (w *batchWork) drain(done chan<- struct{}, now time.Time) {
	w.drainDone = done
	w.execute(w.core.Drain(now), now)
}

func (w *batchWork) signalDrained() {
	if w.drainDone != nil && w.core.Drained() && w.pendingReleases == 0 {
		close(w.drainDone)
		w.drainDone = nil
	}
}

// itemObserver forwards the events of running items to the control goroutine.
type itemObserver struct {
	w *batchWork
}

// FirstToken implements itemrunner.Observer.
func (o itemObserver) FirstToken(run jobrunner.RunID) {
	o.w.c.loop.Post(func(now time.Time) { o.w.execute(o.w.core.FirstToken(run, now), now) })
}

// StrikeRecorded implements itemrunner.Observer.
func (o itemObserver) StrikeRecorded(s quarantiner.Strike) { o.w.c.StrikeRecorded(s) }

// DrainingSeen implements itemrunner.Observer.
func (o itemObserver) DrainingSeen(u *chooser.Upstream) { o.w.c.DrainingSeen(u) }
