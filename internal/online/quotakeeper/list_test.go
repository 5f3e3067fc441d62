package quotakeeper_test

import (
	"testing"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/quotakeeper"
)

// dropFromLists takes VMs off the lists of all others, as when they can't renew their rows in the store. Their own
// lists stay as they were.
func (f *fleet) dropFromLists(isDropped func(*vm) bool) {
	var rest []quotakeeper.Member
	for _, v := range f.vms {
		if !isDropped(v) {
			rest = append(rest, v.member)
		}
	}
	for _, v := range f.vms {
		if !isDropped(v) {
			v.keeper.SetMembers(rest)
		}
	}
}

// Guards against: VMs that serve callers and are on no list any more use quotas besides the VMs that are.
func TestVMsThatServeAndAreOnNoList(t *testing.T) {
	expect := func(name string, fault func(f *fleet)) {
		t.Run(name, func(t *testing.T) {
			const mean = 20
			const length = 24 * time.Second
			f := newFleet(68, 1, map[string]quotakeeper.Limit{"team": limitOf(mean)})
			through := f.vms
			if name == "keeper" {
				through = append(f.pick(2), f.keeperOf("team"))
			}
			f.load("team", through, length, hot(mean))
			f.after(8*time.Second, func() { fault(f) })
			f.run(length)
			expectKept(t, f, "team", 1)
		})
	}
	expect("keeper", func(f *fleet) {
		keeper := f.keeperOf("team")
		f.dropFromLists(func(v *vm) bool { return v == keeper })
	})
	expect("region", func(f *fleet) {
		f.apart = true
		f.after(4*time.Second, func() { f.dropFromLists(func(v *vm) bool { return v.region == 1 }) })
	})
}
