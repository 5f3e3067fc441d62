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

// UpstreamState is what is known of an upstream beyond the platform's list.
type UpstreamState struct {
	leaving bool
	models  []string
}

// NewUpstreamState returns the state of an upstream that has models loaded.
func NewUpstreamState(leaving bool, models []string) UpstreamState {
	return UpstreamState{leaving: leaving, models: models}
}

// Equal tells whether two states are the same.
func (s UpstreamState) Equal(other UpstreamState) bool {
	return s.leaving == other.leaving && slices.Equal(s.models, other.models)
}

// Leaving tells whether the upstream said that it is leaving.
func (s UpstreamState) Leaving() bool { return s.leaving }

// Models returns the names of the models in the upstream's memory.
func (s UpstreamState) Models() []string { return s.models }

// Inputs are what a view is built from.
type Inputs struct {
	VM     string
	Domain string
	Region string
	Config propagator.Config
	Doc    deployer.Document
	// Reason tells why the VM is not ready, or is empty.
	Reason string
	VMs    []vmlister.VM
	// Live are the entry VMs of this domain that are alive, with this one.
	Live   []string
	States map[string]UpstreamState
}

// Builder builds views. It keeps what outlives them: gauges and lanes.
type Builder struct {
	gauges map[string]*gauger.Gauge
	lanes  map[string]*dispatcher.Lane
}

// NewBuilder returns a builder.
func NewBuilder() *Builder {
	return &Builder{gauges: map[string]*gauger.Gauge{}, lanes: map[string]*dispatcher.Lane{}}
}

// Build returns the view of the inputs.
func (b *Builder) Build(in Inputs) *View {
	v := &View{
		config: in.Config, doc: in.Doc, reason: in.Reason,
		callers: make(map[string]deployer.Caller, len(in.Doc.Callers)), targets: map[string]*Target{},
	}
	for _, caller := range in.Doc.Callers {
		v.callers[caller.TokenDigest] = caller
	}
	keepers := Keepers(in)
	for _, d := range in.Doc.Deployments {
		if d.Kind == deployer.KindService {
			v.targets[d.Name] = b.target(d.Name, "", d, in, keepers)
			continue
		}
		for _, model := range d.Models {
			v.targets[model.Name] = b.target(model.Name, model.Name, d, in, keepers)
		}
	}
	b.forget(in.VMs)
	return v
}

func (b *Builder) target(
	name, model string, d deployer.Deployment, in Inputs, keepers map[string][]string,
) *Target {
	var upstreams []*chooser.Upstream
	for _, vm := range in.VMs {
		if vm.Kind != vmlister.KindUpstream || vm.Pool != d.Pool || !d.Serves(vm.Region) {
			continue
		}
		if state, known := in.States[vm.ID]; known && !usable(state, model) {
			continue
		}
		gauge := b.gauge(vm)
		upstreams = append(upstreams, chooser.NewUpstream(vm.ID, vm.Address, d.Sequences, gauge,
			chooser.WithLocation(vm.Domain, vm.Region, tierOf(vm, in)), chooser.WithOwner(Keeper(vm.ID, keepers[vm.Domain]))))
	}
	lane, found := b.lanes[name]
	if !found {
		lane = dispatcher.NewLane(name, time.Now)
		b.lanes[name] = lane
	}
	pool := chooser.NewPool(upstreams, chooser.WithVMs(len(in.Live), rankOf(in.VM, in.Live)))
	lane.SetPool(pool)
	return &Target{name: name, deployment: d, lane: lane, pool: pool}
}

// rankOf returns how many of the VMs come before one.
func rankOf(vm string, vms []string) int {
	rank := 0
	for _, other := range vms {
		if other < vm {
			rank++
		}
	}
	return rank
}

// usable tells whether an upstream may get new work for a model; services have
// none.
func usable(state UpstreamState, model string) bool {
	return !state.leaving && (model == "" || slices.Contains(state.models, model))
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

// gauge returns the gauge of an upstream. An upstream that the list marks as
// leaving gets no new work; its gauge outlives the mark for requests that are
// still running.
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

// forget drops the gauges of upstreams that the list no longer has.
func (b *Builder) forget(vms []vmlister.VM) {
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

// Keepers returns the entry VMs of each domain that may look after its
// upstreams: the live ones in this domain, the listed ones in others. A domain
// without any is looked after by this one's region.
func Keepers(in Inputs) map[string][]string {
	keepers := map[string][]string{}
	region := map[string][]string{}
	for _, vm := range in.VMs {
		if vm.Kind != vmlister.KindEntry || vm.Leaving || vm.Domain == in.Domain {
			continue
		}
		keepers[vm.Domain] = append(keepers[vm.Domain], vm.ID)
		region[vm.Region] = append(region[vm.Region], vm.ID)
	}
	keepers[in.Domain] = in.Live
	region[in.Region] = append(region[in.Region], in.Live...)
	for _, vm := range in.VMs {
		if vm.Kind == vmlister.KindUpstream && len(keepers[vm.Domain]) == 0 {
			keepers[vm.Domain] = region[vm.Region]
		}
	}
	return keepers
}

// Keeper returns the VM that looks after an upstream, by rendezvous hashing:
// when a VM comes or goes, only the upstreams that it looks after move.
func Keeper(upstream string, vms []string) string {
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
