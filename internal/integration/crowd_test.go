package integration_test

import (
	"testing"

	"github.com/fescuespindle/fescuespindle/internal/faces/settingsloader"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/internal/standins/crowdsender"
)

const (
	crowdMemoryBytes = 96 << 20
	// crowdMemoryLimit is the soft limit of the Go runtime, 0.6 of the memory.
	crowdMemoryLimit    = crowdMemoryBytes / 10 * 6
	crowdMaxDescriptors = 600
	// reservedDescriptors are for files and connections to upstreams.
	reservedDescriptors = 200
	crowdConnections    = 500
	legalHeadBytes      = 16_000
	// longHeadBytes exceeds the limit of all listeners.
	longHeadBytes = 96_000
)

// expectCrowdIsBorne sends each kind of crowd to an address of a new VM, whose limits are low.
func expectCrowdIsBorne(t *testing.T, path string, address func(settingsloader.Settings) string) {
	t.Helper()
	for _, request := range crowdsender.Requests("vm", path, legalHeadBytes, longHeadBytes) {
		t.Run(request.Name, func(t *testing.T) {
			f := newLimitedFleet(t, processLimits{memoryBytes: crowdMemoryLimit, descriptors: crowdMaxDescriptors},
				domainSpec{region: "pwani", domain: "pwani-kariakoo", vms: 1, engines: 1})
			vm := f.vms[0]
			bounds := crowdsender.Bounds{
				ResidentBytes: crowdMemoryBytes, Descriptors: crowdMaxDescriptors - reservedDescriptors,
			}
			crowdsender.ExpectWithin(t, vm.command.Process.Pid, address(vm.settings), crowdConnections, request, bounds, func() {
				eventually(t, "an ordinary request is answered", func() bool { return f.complete(vm, "hello", 3) == nil })
				eventually(t, "the VM is ready", vm.isReady)
			})
		})
	}
}

// Guards against: callers that nobody controls exhaust a VM's memory or descriptors, though each of their
// requests is small: parsed, a head takes up to 15 times its bytes.
func TestCrowdsAreBorne(t *testing.T) {
	t.Run("callers", func(t *testing.T) {
		expectCrowdIsBorne(t, upstream.PathChat, func(s settingsloader.Settings) string { return s.CallerAddress })
	})
	t.Run("operators", func(t *testing.T) {
		expectCrowdIsBorne(t, "/ready", func(s settingsloader.Settings) string { return s.OperatorAddress })
	})
	t.Run("VMs", func(t *testing.T) {
		expectCrowdIsBorne(t, "/", func(s settingsloader.Settings) string { return s.PeerAddress })
	})
}
