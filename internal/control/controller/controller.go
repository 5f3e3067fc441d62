// Package controller holds the control state of one entry VM: its membership, the
// configuration in force, the upstreams that it owns, and its batch work. One goroutine
// steps a deterministic state machine for each of them, and publishes an immutable view
// for request handling.
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
	"github.com/fescuespindle/fescuespindle/internal/online/peerdialer"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/store/storekeeper"
)

const (
	tickPeriod       = 50 * time.Millisecond
	listPeriod       = time.Second
	listTimeout      = time.Second
	statisticsPeriod = 200 * time.Millisecond
	// entryVMsPerPeriod is how many entry VMs lengthen the periods that load the
	// platform by one more multiple; see scaleWithFleet.
	entryVMsPerPeriod = 100
	// fleetWritesPerSecond and fleetReadsPerSecond are the rates of store calls that
	// all entry VMs together may use.
	fleetWritesPerSecond = 400.0
	fleetReadsPerSecond  = 1500.0
	// minFleetSize is the least number of entry VMs that the rates are divided by.
	minFleetSize = 8
	percent      = 100
)

// Location identifies a VM, its process and where it runs.
type Location struct {
	VM      string
	Domain  string
	Region  string
	Process uint64
	// Peer is the address at which the VM accepts connections of its peers.
	Peer string
	// Seeds are peer addresses that are queried for the configuration and the VM list
	// while the VM has no configuration.
	Seeds []string
}

// Sender sends messages to peers.
type Sender interface {
	Send(address string, message peer.Message)
	SetSelf(peer.Sender)
}

// Lister reads the platform's list of VMs.
type Lister interface {
	// VMs returns the list and its version, or vmlister.ErrUnchanged if the list still
	// has the given version.
	VMs(ctx context.Context, version uint64) ([]vmlister.VM, uint64, error)
}

// Links opens connections to upstreams, directly or through peer VMs.
type Links interface {
	// SetUpstreams replaces the list of upstreams, given as their IDs by address.
	SetUpstreams(ids map[string]string)
	SetPeers(peers []peerdialer.Peer)
}

// Dependencies are the components that a Controller uses.
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
	Links      Links
}

// Controller is the control state of one VM.
type Controller struct {
	Dependencies
	loop    *stepper.Loop
	sender  Sender
	builder *publisher.Builder

	list        []vmlister.VM
	nextListAt  time.Time
	listPending bool
	// listVersion is the version of the list that was read from the platform, or 0.
	listVersion      uint64
	listFromPlatform bool // whether the list came from the platform and not from a peer
	nextStatisticsAt time.Time
	viewStale        bool

	members    *members
	config     *configuration
	upstreams  *upstreams
	batchWork  *batchWork
	orders     *orders
	isolations *isolations

	dirtyMu     sync.Mutex
	dirtyOnline map[*chooser.Upstream]bool
}

// New returns a Controller. SetSender must be called before Start.
func New(d Dependencies) *Controller {
	c := &Controller{Dependencies: d, builder: publisher.NewBuilder(), dirtyOnline: map[*chooser.Upstream]bool{}}
	c.loop = stepper.New(tickPeriod, c.tick, c.afterEvents)
	seed := d.Location.Process
	c.members = newMembers(c, rand.New(rand.NewPCG(seed, seed)))
	c.config = newConfiguration(c)
	c.upstreams = newUpstreams(c)
	c.batchWork = newBatchWork(c)
	c.orders = newOrders(c)
	c.isolations = newIsolations(c)
	return c
}

// SetSender sets the sender of messages to peers.
func (c *Controller) SetSender(s Sender) { c.sender = s }

// Start starts the control goroutine.
func (c *Controller) Start() { c.loop.Start() }

// Stop ends the control goroutine and the goroutines that it started.
func (c *Controller) Stop() { c.loop.Stop() }

// tick advances time for every state machine.
func (c *Controller) tick(now time.Time) {
	c.readList(now)
	c.members.tick(now)
	c.config.tick(now)
	c.upstreams.tick(now)
	c.batchWork.tick(now)
	c.orders.tick(now)
	c.refreshStatistics(now)
}

// afterEvents runs once after each tick and each batch of events.
func (c *Controller) afterEvents(now time.Time) {
	c.flushOnline(now)
	if c.viewStale {
		c.viewStale = false
		c.rebuild(now)
	}
	c.upstreams.pushTotals(now)
	c.batchWork.updateCapacities(now)
	c.admitWaiting()
}

// admitWaiting admits waiting requests for which upstreams have free slots now, as
// requests of other VMs may have ended.
func (c *Controller) admitWaiting() {
	for target := range c.Publisher.View().Targets {
		if queue := target.Lane().Queue(); queue.Waiting() > 0 {
			queue.AdmitAfterRemoteChange()
		}
	}
}

// updateBudgets sets this VM's share of the fleet's budgets for store calls and for
// the link between regions.
func (c *Controller) updateBudgets() {
	entryVMs, inRegion := 0, 0
	for _, vm := range c.list {
		if vm.Kind != vmlister.KindEntry {
			continue
		}
		entryVMs++
		if vm.Region == c.Location.Region {
			inRegion++
		}
	}
	entryVMs = max(entryVMs, minFleetSize)
	c.Store.SetBudget(fleetWritesPerSecond/float64(entryVMs), fleetReadsPerSecond/float64(entryVMs))
	c.Link.SetBudget(c.config.document.RegionLinkMegabits, inRegion)
}

// scaleWithFleet multiplies a period by the number of entry VMs divided by
// entryVMsPerPeriod, at least by 1, so that the load on the platform stays bounded.
func (c *Controller) scaleWithFleet(period time.Duration) time.Duration {
	entryVMs := 0
	for _, vm := range c.list {
		if vm.Kind == vmlister.KindEntry {
			entryVMs++
		}
	}
	return period * time.Duration(max(1, entryVMs/entryVMsPerPeriod))
}

func (c *Controller) readList(now time.Time) {
	if c.listPending || now.Before(c.nextListAt) {
		return
	}
	c.listPending = true
	version := c.listVersion
	c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		list, version, err := c.Lister.VMs(ctx, version)
		return func(now time.Time) { c.handleList(list, version, err, now) }
	})
}

func (c *Controller) handleList(list []vmlister.VM, version uint64, err error, now time.Time) {
	c.listPending = false
	c.nextListAt = now.Add(c.scaleWithFleet(listPeriod))
	if errors.Is(err, vmlister.ErrUnchanged) {
		return
	}
	if err != nil {
		c.Counters.Count("list_read_failures_total")
		return
	}
	c.listFromPlatform = true
	c.listVersion = version
	c.setList(list)
}

func (c *Controller) setList(list []vmlister.VM) {
	c.list = list
	c.members.setList(list)
	c.upstreams.setList(list)
	c.viewStale = true
}

// receiveList uses a peer's copy of the list if this VM has none yet.
func (c *Controller) receiveList(m peer.VMList) {
	if !c.listFromPlatform && len(c.list) == 0 {
		c.setList(m.VMs)
	}
}

// sendList sends the list to a VM that is starting, which may be unable to read it.
func (c *Controller) sendList(from peer.Sender, m peer.ConfigWanted) {
	if m.Version == 0 && len(c.list) > 0 {
		c.sender.Send(from.Address, peer.VMList{VMs: c.list})
	}
}

// rebuild publishes a new view.
func (c *Controller) rebuild(now time.Time) {
	inputs := publisher.Inputs{
		VM: c.Location.VM, Domain: c.Location.Domain, Region: c.Location.Region,
		Config: c.config.current(), Document: c.config.document, Reason: c.config.reason(),
		List: c.list, Members: c.members.activeNames(), States: c.upstreams.states,
	}
	c.updateLinks()
	view := c.builder.Build(inputs)
	c.Publisher.Publish(view)
	c.upstreams.pollOwned(publisher.OwnerCandidates(inputs))
	c.upstreams.applyView(view, now)
	c.orders.updateDesired()
	c.updateBudgets()
	c.Counters.Count("views_published_total")
}

// updateLinks passes on the upstreams and the VMs that can carry connections to them: those of the
// domain that are alive, and those that are listed in other domains.
func (c *Controller) updateLinks() {
	ids := map[string]string{}
	var peers []peerdialer.Peer
	for _, vm := range c.list {
		switch {
		case vm.Kind == vmlister.KindUpstream:
			ids[vm.Address] = vm.ID
		case vm.Domain == c.Location.Domain || vm.Leaving:
		case vm.Region == c.Location.Region:
			peers = append(peers, peerdialer.Peer{Address: vm.Peer, Distance: peerdialer.DistanceRegion})
		default:
			peers = append(peers, peerdialer.Peer{Address: vm.Peer, Distance: peerdialer.DistanceRemote})
		}
	}
	for _, member := range c.members.prober.Live() {
		if member.VM() != c.Location.VM {
			peers = append(peers, peerdialer.Peer{Address: member.Address(), Distance: peerdialer.DistanceDomain})
		}
	}
	c.Links.SetUpstreams(ids)
	c.Links.SetPeers(peers)
}

func (c *Controller) refreshStatistics(now time.Time) {
	if now.Before(c.nextStatisticsAt) {
		return
	}
	c.nextStatisticsAt = now.Add(statisticsPeriod)
	for target := range c.Publisher.View().Targets {
		target.Pool().RefreshStatistics()
	}
}

// ReceiveMessage queues a message from a peer. It is the messenger's handler.
func (c *Controller) ReceiveMessage(from peer.Sender, message peer.Message) {
	c.loop.Post(func(now time.Time) { c.dispatch(from, message, now) })
}

func (c *Controller) dispatch(from peer.Sender, message peer.Message, now time.Time) {
	if c.members.inDomain(from.VM) {
		c.members.receive(from, message, now)
		c.config.receive(from, message, now)
	}
	switch m := message.(type) {
	case peer.ConfigWanted:
		c.sendList(from, m)
	case peer.IsolationWanted:
		c.isolations.receiveWanted(from, m, now)
	case peer.IsolationAnswered:
		c.isolations.receiveAnswered(m)
	case peer.IsolationEnded:
		c.isolations.receiveEnded(m)
	case peer.SlowSeen:
		c.upstreams.receiveSlow(m, now)
	case peer.VMList:
		c.receiveList(m)
	case peer.OnlineCounts:
		c.upstreams.receiveCounts(from, m, now)
	case peer.OnlineTotals:
		c.upstreams.receiveTotals(m, now)
	case peer.UpstreamStates:
		c.upstreams.receiveStates(m)
	case peer.Strikes:
		c.receiveStrikes(m, now)
	case peer.JobCancelled:
		c.receiveJobCancelled(m, now)
	case peer.ChunksWanted:
		c.batchWork.receiveChunksWanted(from, m, now)
	case peer.ChunksOffered:
		c.batchWork.receiveChunksOffered(m)
	}
}

// The methods below are called by request handling.

var _ dispatcher.Observer = (*Controller)(nil)

// OnlineChanged implements dispatcher.Observer. It only marks the upstream as changed,
// so that many changes cost one event.
func (c *Controller) OnlineChanged(u *chooser.Upstream, rising bool) {
	c.dirtyMu.Lock()
	first := len(c.dirtyOnline) == 0
	c.dirtyOnline[u] = c.dirtyOnline[u] || rising
	c.dirtyMu.Unlock()
	if first {
		c.loop.Post(func(time.Time) {}) // wakes the loop; afterEvents flushes
	}
}

func (c *Controller) flushOnline(now time.Time) {
	if dirty := c.swapDirtyOnline(); dirty != nil {
		c.upstreams.onlineChanged(dirty, now)
	}
}

// swapDirtyOnline returns the upstreams whose number of online requests has changed,
// or nil, and clears the marks. The value is true if the number has risen.
func (c *Controller) swapDirtyOnline() map[*chooser.Upstream]bool {
	c.dirtyMu.Lock()
	defer c.dirtyMu.Unlock()
	if len(c.dirtyOnline) == 0 {
		return nil
	}
	dirty := c.dirtyOnline
	c.dirtyOnline = make(map[*chooser.Upstream]bool, len(dirty))
	return dirty
}

// DrainingSeen implements dispatcher.Observer.
func (c *Controller) DrainingSeen(u *chooser.Upstream) {
	c.loop.Post(func(time.Time) { c.upstreams.handleDraining(u.ID()) })
}

// SlownessSeen implements dispatcher.Observer.
func (c *Controller) SlownessSeen(u *chooser.Upstream, slowness float64) {
	c.loop.Post(func(time.Time) {
		c.sendToDomain(peer.SlowSeen{Upstream: u.ID(), Percent: int(slowness * percent)})
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

// JobCancelled notifies the fleet that a job was canceled through this VM.
func (c *Controller) JobCancelled(job string) {
	c.loop.Post(func(now time.Time) {
		c.batchWork.jobCancelled(job, now)
		c.broadcast(peer.JobCancelled{Job: job}, peer.JobCancelled{Job: job, Relay: true})
	})
}

// broadcast sends the local message to each VM of this failure domain, and the remote
// one to one VM of each other domain, which forwards it there.
func (c *Controller) broadcast(local, remote peer.Message) {
	for _, m := range c.members.live() {
		c.sender.Send(m.Address(), local)
	}
	seenDomains := map[string]bool{c.Location.Domain: true}
	for _, vm := range c.list {
		if vm.Kind == vmlister.KindEntry && !vm.Leaving && vm.Peer != "" && !seenDomains[vm.Domain] {
			seenDomains[vm.Domain] = true
			c.sender.Send(vm.Peer, remote)
		}
	}
}

func (c *Controller) receiveStrikes(m peer.Strikes, now time.Time) {
	for _, s := range m.Strikes {
		c.Quarantine.ReceiveStrike(
			quarantiner.Strike{Fingerprint: quarantiner.Fingerprint(s.Fingerprint), Count: s.Count}, now)
	}
	if m.Relay {
		c.sendToDomain(peer.Strikes{Strikes: m.Strikes})
	}
}

func (c *Controller) receiveJobCancelled(m peer.JobCancelled, now time.Time) {
	c.batchWork.jobCancelled(m.Job, now)
	if m.Relay {
		c.sendToDomain(peer.JobCancelled{Job: m.Job})
	}
}

func (c *Controller) sendToDomain(message peer.Message) {
	for _, m := range c.members.live() {
		c.sender.Send(m.Address(), message)
	}
}

// DrainBatch releases all batch work. It returns once the release is durable, or the
// context's error.
func (c *Controller) DrainBatch(ctx context.Context) error {
	done := make(chan struct{})
	c.loop.Post(func(now time.Time) { c.batchWork.drain(done, now) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
