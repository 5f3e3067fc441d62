package entryvm

import (
	"net/netip"

	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/peerteller"
	"github.com/fescuespindle/fescuespindle/internal/online/peerdialer"
)

// setPeers passes the list of other live VMs to the parts that communicate with them or
// depend on their number.
func (vm *VM) setPeers(members []memberkeeper.Member) {
	peers := make([]peerteller.Peer, 0, len(members))
	addresses := make(map[string]string, len(members))
	regionAddresses := make(map[string]string, len(members))
	var local, remote []string
	for _, m := range members {
		address, err := netip.ParseAddr(m.IP)
		if err != nil {
			vm.logger.Warn("invalid address of VM", "vm", m.VM, "error", err)
			continue
		}
		peer := peerteller.Peer{
			VM: m.VM, Address: netip.AddrPortFrom(address, uint16(vm.settings.PeerPort)),
			Domain: m.Domain, Remote: vm.settings.Regions[m.Domain] != vm.settings.Region,
		}
		peers = append(peers, peer)
		addresses[m.VM] = peer.Address.String()
		if peer.Remote {
			remote = append(remote, peer.Address.String())
		} else {
			local = append(local, peer.Address.String())
			regionAddresses[m.VM] = peer.Address.String()
		}
	}
	vms := map[string][]string{vm.settings.Domain: {vm.settings.VM}}
	names := []string{vm.settings.VM}
	for _, m := range members {
		vms[m.Domain] = append(vms[m.Domain], m.VM)
		names = append(names, m.VM)
	}
	vm.crashes.SetVMs(vm.settings.VM, names)
	vm.versions.SetVMs(names)
	vm.placer.SetVMs(vms)
	vm.relayer.SetPeers(local, remote)
	vm.finder.SetPeers(vm.carriers(peers))
	vm.reporter.SetPeers(peers)
	vm.mover.SetPeers(addresses)
	vm.sharer.SetPeers(regionAddresses)
	vm.jobKeeper.SetVMCount(len(peers) + 1)
	vm.vmCount.Store(int32(len(peers) + 1))
	vm.limitIdleConnections()
}

// carriers returns the peer VMs that may carry connections for this one.
func (vm *VM) carriers(peers []peerteller.Peer) []peerdialer.Peer {
	carriers := make([]peerdialer.Peer, 0, len(peers))
	for _, p := range peers {
		distance := peerdialer.DistanceRegion
		switch {
		case p.Domain == vm.settings.Domain:
			distance = peerdialer.DistanceDomain
		case p.Remote:
			distance = peerdialer.DistanceRemote
		}
		carriers = append(carriers, peerdialer.Peer{Address: p.Address.String(), Distance: distance})
	}
	return carriers
}

const (
	// idleConnectionShare is the share of an upstream's maximum number of connections that
	// all VMs together may keep idle.
	idleConnectionShare = 0.6
	// maxIdleConnections bounds the idle connections of one VM to one upstream.
	maxIdleConnections = 16
)

// limitIdleConnections divides the idle connections that upstreams allow equally among the
// live VMs; each VM may keep at least one to each upstream.
func (vm *VM) limitIdleConnections() {
	table := vm.gateway.Table()
	vms := vm.vmCount.Load()
	if table == nil || vms == 0 {
		return
	}
	limit := maxIdleConnections
	for _, s := range table.Services() {
		if s.MaxConnections > 0 {
			limit = min(limit, int(idleConnectionShare*float64(s.MaxConnections)/float64(vms)))
		}
	}
	vm.forwarder.SetIdleLimit(max(limit, 1))
}
