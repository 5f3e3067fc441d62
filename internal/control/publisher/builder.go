package publisher

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuespindle/fescuespindle/internal/control/propagator"
	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/online/gauger"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// UpstreamState is the state of an upstream that the platform's VM list doesn't have.
type UpstreamState struct {
	draining bool
	models   []string
}

// NewUpstreamState returns the state of an upstream that has models loaded.
func NewUpstreamState(draining bool, models []string) UpstreamState {
	return UpstreamState{draining: draining, models: models}
}

// Equal reports whether two states are the same.
func (s UpstreamState) Equal(other UpstreamState) bool {
	return s.draining == other.draining && slices.Equal(s.models, other.models)
}

// Draining reports whether the upstream announced that it is draining.
func (s UpstreamState) Draining() bool { return s.draining }

// Models returns the names of the models that the upstream has loaded.
func (s UpstreamState) Models() []string { return s.models }

// Inputs is the data that a view is built from.
type Inputs struct {
	VM       string
	Domain   string
	Region   string
	Config   propagator.Config
	Document deployer.Document
	// Reason is why the VM is not ready, or empty if it is ready.
	Reason string
	List   []vmlister.VM
	// Members are the live entry VMs of this failure domain that are not draining,
	// and this VM.
	Members []string
	States  map[string]UpstreamState
}

// Builder builds views. It owns the gauges and lanes, which outlive a view.
type Builder struct {
	gauges map[string]*gauger.Gauge
	lanes  map[string]*dispatcher.Lane
}

// NewBuilder returns a Builder without gauges and lanes.
func NewBuilder() *Builder {
	return &Builder{gauges: map[string]*gauger.Gauge{}, lanes: map[string]*dispatcher.Lane{}}
}

// Build returns the view that results from the inputs.
func (b *Builder) Build(in Inputs) *View {
	v := &View{
		config: in.Config, document: in.Document, reason: in.Reason,
		callers: make(map[string]deployer.Caller, len(in.Document.Callers)), targets: map[string]*Target{},
	}
	for _, caller := range in.Document.Callers {
		v.callers[caller.TokenDigest] = caller
	}
	candidates := OwnerCandidates(in)
	for _, d := range in.Document.Deployments {
		if d.Kind == deployer.KindService {
			v.targets[d.Name] = b.target(d.Name, "", d, in, candidates)
			continue
		}
		for _, model := range d.Models {
			v.targets[model.Name] = b.target(model.Name, model.Name, d, in, candidates)
		}
	}
	b.removeStaleGauges(in.List)
	return v
}

func (b *Builder) target(
	name, model string, d deployer.Deployment, in Inputs, candidates map[string][]string,
) *Target {
	var upstreams []*chooser.Upstream
	for _, vm := range in.List {
		if vm.Kind != vmlister.KindUpstream || vm.Pool != d.Pool || !d.Serves(vm.Region) {
			continue
		}
		if state, known := in.States[vm.ID]; known && !acceptsWork(state, model) {
			continue
		}
		gauge := b.gauge(vm)
		upstreams = append(upstreams, chooser.NewUpstream(vm.ID, vm.Address, d.Sequences, gauge,
			chooser.WithLocation(vm.Domain, vm.Region, tierOf(vm, in)), chooser.WithOwner(Owner(vm.ID, candidates[vm.Domain]))))
	}
	lane, found := b.lanes[name]
	if !found {
		lane = dispatcher.NewLane(name, time.Now)
		b.lanes[name] = lane
	}
	pool := chooser.NewPool(upstreams, chooser.WithVMs(len(in.Members), rankOf(in.VM, in.Members)))
	lane.SetPool(pool)
	return &Target{name: name, deployment: d, lane: lane, pool: pool}
}

// rankOf returns the position of a VM among VMs sorted by name.
func rankOf(vm string, vms []string) int {
	rank := 0
	for _, other := range vms {
		if other < vm {
			rank++
		}
	}
	return rank
}

// acceptsWork reports whether an upstream may get new requests for a model. The model
// of a service is empty.
func acceptsWork(state UpstreamState, model string) bool {
	return !state.draining && (model == "" || slices.Contains(state.models, model))
}

func tierOf(vm vmlister.VM, in Inputs) chooser.Tier {
	switch {
	case vm.Domain == in.Domain:
		return chooser.TierDomain
	case vm.Region == in.Region:
		return chooser.TierRegion
	default:
		return chooser.TierRemote
	}
}

// gauge returns the gauge of an upstream, and updates whether the VM list marks the
// upstream as draining. Such an upstream gets no new requests, but its gauge is kept
// for the requests that are still running.
func (b *Builder) gauge(vm vmlister.VM) *gauger.Gauge {
	key := vm.ID + "@" + vm.Address
	gauge, found := b.gauges[key]
	if !found {
		gauge = &gauger.Gauge{}
		b.gauges[key] = gauge
	}
	gauge.SetListedDraining(vm.Leaving)
	return gauge
}

// removeStaleGauges removes the gauges of upstreams that are no longer on the VM list
// and have no running requests.
func (b *Builder) removeStaleGauges(vms []vmlister.VM) {
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID+"@"+vm.Address] = true
	}
	for key, gauge := range b.gauges {
		if !listed[key] && gauge.Online()+gauge.Batch() == 0 {
			delete(b.gauges, key)
		}
	}
}

// OwnerCandidates returns, for each failure domain, the entry VMs that may own its
// upstreams: the live ones in this domain, the listed ones in others. The upstreams of
// a domain without entry VMs are owned by the entry VMs of its region.
func OwnerCandidates(in Inputs) map[string][]string {
	candidates := map[string][]string{}
	byRegion := map[string][]string{}
	for _, vm := range in.List {
		if vm.Kind != vmlister.KindEntry || vm.Leaving || vm.Domain == in.Domain {
			continue
		}
		candidates[vm.Domain] = append(candidates[vm.Domain], vm.ID)
		byRegion[vm.Region] = append(byRegion[vm.Region], vm.ID)
	}
	candidates[in.Domain] = in.Members
	byRegion[in.Region] = append(byRegion[in.Region], in.Members...)
	for _, vm := range in.List {
		if vm.Kind == vmlister.KindUpstream && len(candidates[vm.Domain]) == 0 {
			candidates[vm.Domain] = byRegion[vm.Region]
		}
	}
	return candidates
}

// Owner returns the VM that owns an upstream, or another thing with a unique name, by
// rendezvous hashing: when a VM joins or leaves, only what it owns moves. It returns "" if there are no VMs.
func Owner(upstream string, vms []string) string {
	var best string
	var bestHash uint64
	for _, vm := range vms {
		hash := xxhash.Sum64String(vm + "\x00" + upstream)
		if best == "" || hash > bestHash || (hash == bestHash && vm < best) {
			best, bestHash = vm, hash
		}
	}
	return best
}
