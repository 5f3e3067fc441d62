// Package controller holds the control state of one entry VM: its membership,
// the configuration in force, the upstreams that it looks after, and the batch
// work that it owns. One goroutine steps the deterministic cores of each, and
// publishes what traffic needs as an immutable view.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/jobkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/control/publisher"
	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/claimer"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/online/linkmeter"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

const (
	tickPeriod    = 50 * time.Millisecond
	listPeriod    = time.Second
	listTimeout   = time.Second
	typicalPeriod = 200 * time.Millisecond
	// vmsPerPeriod is the number of entry VMs up to which periods that load the
	// platform stay as they are; they grow with the fleet beyond it.
	vmsPerPeriod = 100
	// fleetWritesPerSecond and fleetReadsPerSecond are the part of the
	// platform's budget that all VMs together may use.
	fleetWritesPerSecond = 400.0
	fleetReadsPerSecond  = 1500.0
	// smallFleet is the number of VMs that the budget is divided by at least.
	smallFleet = 8
	percent    = 100
)

// Location is where a VM runs.
type Location struct {
	VM      string
	Domain  string
	Region  string
	Process uint64
	// Peer is the address at which the VM takes its peers' connections.
	Peer string
	// Seeds are peer addresses that are asked while the list can't be read.
	Seeds []string
}

// Sender sends messages to peers.
type Sender interface {
	Send(address string, message peer.Message)
	SetSelf(peer.Sender)
}

// Lister reads the platform's list of VMs.
type Lister interface {
	// VMs returns the list and its version, or vmlister.ErrUnchanged if it
	// is the one with the version given.
	VMs(ctx context.Context, version uint64) ([]vmlister.VM, uint64, error)
}

// Dependencies are what a controller works with.
type Dependencies struct {
	Location   Location
	Logger     *slog.Logger
	Counters   *counter.Counters
	Store      *storekeeper.Keeper
	Jobs       *jobkeeper.Keeper
	Lister     Lister
	Relayer    *relayer.Relayer
	Quarantine *quarantiner.Quarantine
	Publisher  *publisher.Publisher
	Claimer    *claimer.Claimer
	Link       *linkmeter.Meter
}

// Controller is the control state of one VM.
type Controller struct {
	Dependencies
	loop    *stepper.Loop
	sender  Sender
	builder *publisher.Builder

	list    []vmlister.VM
	listAt  time.Time
	listing bool
	// listVersion is that of the list as this VM read it, 0 if it hasn't.
	listVersion uint64
	listOwn     bool // the list was read from the platform, not from a peer
	typicalAt   time.Time
	stale       bool

	members    *members
	config     *configuration
	upstreams  *upstreams
	work       *work
	orders     *orders
	isolations *isolations

	dirtyMu sync.Mutex
	dirty   map[*chooser.Upstream]bool
}

// New returns a controller. SetSender must be called before Start.
func New(d Dependencies) *Controller {
	c := &Controller{Dependencies: d, builder: publisher.NewBuilder(), dirty: map[*chooser.Upstream]bool{}}
	c.loop = stepper.New(tickPeriod, c.tick, c.after)
	seed := d.Location.Process
	c.members = newMembers(c, rand.New(rand.NewPCG(seed, seed)))
	c.config = newConfiguration(c)
	c.upstreams = newUpstreams(c)
	c.work = newWork(c)
	c.orders = newOrders(c)
	c.isolations = newIsolations(c)
	return c
}

// SetSender sets how messages are sent to peers.
func (c *Controller) SetSender(s Sender) { c.sender = s }

// Start starts the control goroutine.
func (c *Controller) Start() { c.loop.Start() }

// Stop ends the control goroutine and everything that it started.
func (c *Controller) Stop() { c.loop.Stop() }

// tick advances time for every core.
func (c *Controller) tick(now time.Time) {
	c.readList(now)
	c.members.tick(now)
	c.config.tick(now)
	c.upstreams.tick(now)
	c.work.tick(now)
	c.orders.tick(now)
	c.refreshTypical(now)
}

// after runs once after each batch of events.
func (c *Controller) after(now time.Time) {
	c.flushOnline(now)
	if c.stale {
		c.stale = false
		c.rebuild(now)
	}
	c.upstreams.pushTotals(now)
	c.work.refreshRooms(now)
	c.pollQueues()
}

// pollQueues lets waiting requests in where other VMs' requests have ended.
func (c *Controller) pollQueues() {
	for target := range c.Publisher.View().Targets {
		if queue := target.Lane().Queue(); queue.Waiting() > 0 {
			queue.AdmitAfterRemoteChange()
		}
	}
}

// shareBudgets gives this VM its share of what the fleet may use together.
func (c *Controller) shareBudgets() {
	fleet, region := 0, 0
	for _, vm := range c.list {
		if vm.Kind != vmlister.KindEntry {
			continue
		}
		fleet++
		if vm.Region == c.Location.Region {
			region++
		}
	}
	fleet = max(fleet, smallFleet)
	c.Store.SetBudget(fleetWritesPerSecond/float64(fleet), fleetReadsPerSecond/float64(fleet))
	c.Link.SetBudget(c.config.doc.RegionLinkMegabits, region)
}

// scaled lengthens a period that loads the platform as the fleet grows.
func (c *Controller) scaled(period time.Duration) time.Duration {
	entries := 0
	for _, vm := range c.list {
		if vm.Kind == vmlister.KindEntry {
			entries++
		}
	}
	return period * time.Duration(max(1, entries/vmsPerPeriod))
}

func (c *Controller) readList(now time.Time) {
	if c.listing || now.Before(c.listAt) {
		return
	}
	c.listing = true
	version := c.listVersion
	c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		list, version, err := c.Lister.VMs(ctx, version)
		return func(now time.Time) { c.listRead(list, version, err, now) }
	})
}

func (c *Controller) listRead(list []vmlister.VM, version uint64, err error, now time.Time) {
	c.listing = false
	c.listAt = now.Add(c.scaled(listPeriod))
	if errors.Is(err, vmlister.ErrUnchanged) {
		return
	}
	if err != nil {
		c.Counters.Count("list_read_failures_total")
		return
	}
	c.listOwn = true
	c.listVersion = version
	c.takeList(list)
}

func (c *Controller) takeList(list []vmlister.VM) {
	c.list = list
	c.members.listRead(list)
	c.upstreams.listRead(list)
	c.stale = true
}

// listReceived takes a peer's copy of the list, for want of a better one.
func (c *Controller) listReceived(m peer.VMList) {
	if !c.listOwn && len(c.list) == 0 {
		c.takeList(m.VMs)
	}
}

// shareList answers a VM that starts, which may not be able to read the list.
func (c *Controller) shareList(from peer.Sender, m peer.ConfigWanted) {
	if m.Version == 0 && len(c.list) > 0 {
		c.sender.Send(from.Address, peer.VMList{VMs: c.list})
	}
}

// rebuild publishes a new view.
func (c *Controller) rebuild(now time.Time) {
	inputs := publisher.Inputs{
		VM: c.Location.VM, Domain: c.Location.Domain, Region: c.Location.Region,
		Config: c.config.current(), Document: c.config.doc, Reason: c.config.reason(),
		List: c.list, Members: c.members.names(), States: c.upstreams.states,
	}
	view := c.builder.Build(inputs)
	c.Publisher.Publish(view)
	c.upstreams.watch(publisher.OwnerCandidates(inputs))
	c.upstreams.viewChanged(view, now)
	c.orders.updateDesired()
	c.shareBudgets()
	c.Counters.Count("views_published_total")
}

func (c *Controller) refreshTypical(now time.Time) {
	if now.Before(c.typicalAt) {
		return
	}
	c.typicalAt = now.Add(typicalPeriod)
	for target := range c.Publisher.View().Targets {
		target.Pool().RefreshStatistics()
	}
}

// ReceiveMessage takes a message from a peer. It is the messenger's handler.
func (c *Controller) ReceiveMessage(from peer.Sender, message peer.Message) {
	c.loop.Post(func(now time.Time) { c.dispatch(from, message, now) })
}

func (c *Controller) dispatch(from peer.Sender, message peer.Message, now time.Time) {
	if c.members.isNeighbour(from.VM) {
		c.members.receive(from, message, now)
		c.config.receive(from, message, now)
	}
	switch m := message.(type) {
	case peer.ConfigWanted:
		c.shareList(from, m)
	case peer.IsolationWanted:
		c.isolations.wanted(from, m, now)
	case peer.IsolationAnswered:
		c.isolations.answered(m)
	case peer.IsolationEnded:
		c.isolations.ended(m)
	case peer.SlowSeen:
		c.upstreams.slowReceived(m, now)
	case peer.VMList:
		c.listReceived(m)
	case peer.OnlineCounts:
		c.upstreams.countsReceived(from, m, now)
	case peer.OnlineTotals:
		c.upstreams.totalsReceived(m, now)
	case peer.UpstreamStates:
		c.upstreams.statesReceived(m)
	case peer.Strikes:
		c.strikesReceived(m, now)
	case peer.JobCancelled:
		c.jobCancelledReceived(m, now)
	case peer.ChunksWanted:
		c.work.chunksWanted(from, m, now)
	case peer.ChunksOffered:
		c.work.chunksOffered(m)
	}
}

// The methods below are called by traffic.

var _ dispatcher.Observer = (*Controller)(nil)

// OnlineChanged implements dispatcher.Observer. It only marks the upstream, so
// that many changes cost one event.
func (c *Controller) OnlineChanged(u *chooser.Upstream, rising bool) {
	c.dirtyMu.Lock()
	first := len(c.dirty) == 0
	c.dirty[u] = c.dirty[u] || rising
	c.dirtyMu.Unlock()
	if first {
		c.loop.Post(func(time.Time) {}) // after flushes
	}
}

func (c *Controller) flushOnline(now time.Time) {
	if dirty := c.takeDirty(); dirty != nil {
		c.upstreams.onlineChanged(dirty, now)
	}
}

// takeDirty returns the upstreams whose online requests have changed, or nil.
func (c *Controller) takeDirty() map[*chooser.Upstream]bool {
	c.dirtyMu.Lock()
	defer c.dirtyMu.Unlock()
	if len(c.dirty) == 0 {
		return nil
	}
	dirty := c.dirty
	c.dirty = make(map[*chooser.Upstream]bool, len(dirty))
	return dirty
}

// DrainingSeen implements dispatcher.Observer.
func (c *Controller) DrainingSeen(u *chooser.Upstream) {
	c.loop.Post(func(time.Time) { c.upstreams.leavingSeen(u.ID()) })
}

// SlownessSeen implements dispatcher.Observer.
func (c *Controller) SlownessSeen(u *chooser.Upstream, slowness float64) {
	c.loop.Post(func(time.Time) {
		c.relay(peer.SlowSeen{Upstream: u.ID(), Percent: int(slowness * percent)})
	})
}

// StrikeRecorded implements dispatcher.Observer.
func (c *Controller) StrikeRecorded(s quarantiner.Strike) {
	c.Counters.Count("strikes_total")
	c.loop.Post(func(time.Time) {
		c.broadcast(peer.Strikes{Strikes: []peer.Strike{{Fingerprint: uint64(s.Fingerprint), Count: s.Count}}},
			peer.Strikes{Strikes: []peer.Strike{{Fingerprint: uint64(s.Fingerprint), Count: s.Count}}, Relay: true})
	})
}

// JobCancelled tells the fleet that a job was cancelled through this VM.
func (c *Controller) JobCancelled(job string) {
	c.loop.Post(func(now time.Time) {
		c.work.jobCancelled(job, now)
		c.broadcast(peer.JobCancelled{Job: job}, peer.JobCancelled{Job: job, Relay: true})
	})
}

// broadcast sends a message to each VM of this domain, and another to one VM of
// each other domain, which passes it on there.
func (c *Controller) broadcast(near, far peer.Message) {
	for _, m := range c.members.live() {
		c.sender.Send(m.Address(), near)
	}
	seen := map[string]bool{c.Location.Domain: true}
	for _, vm := range c.list {
		if vm.Kind == vmlister.KindEntry && !vm.Leaving && vm.Peer != "" && !seen[vm.Domain] {
			seen[vm.Domain] = true
			c.sender.Send(vm.Peer, far)
		}
	}
}

func (c *Controller) strikesReceived(m peer.Strikes, now time.Time) {
	for _, s := range m.Strikes {
		c.Quarantine.MergeStrike(quarantiner.Strike{Fingerprint: quarantiner.Fingerprint(s.Fingerprint), Count: s.Count}, now)
	}
	if m.Relay {
		c.relay(peer.Strikes{Strikes: m.Strikes})
	}
}

func (c *Controller) jobCancelledReceived(m peer.JobCancelled, now time.Time) {
	c.work.jobCancelled(m.Job, now)
	if m.Relay {
		c.relay(peer.JobCancelled{Job: m.Job})
	}
}

func (c *Controller) relay(message peer.Message) {
	for _, m := range c.members.live() {
		c.sender.Send(m.Address(), message)
	}
}

// DrainBatch gives all batch work up and returns once that is durable or the
// context ends.
func (c *Controller) DrainBatch(ctx context.Context) error {
	done := make(chan struct{})
	c.loop.Post(func(now time.Time) { c.work.drain(done, now) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
