package memberprober_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/control/memberprober"
	"github.com/fescuespindle/fescuespindle/internal/control/peer"
)

const (
	tick    = 50 * time.Millisecond
	latency = 2 * time.Millisecond
)

// domain simulates a failure domain of probers on a virtual clock.
type domain struct {
	now     time.Time
	probers map[string]*memberprober.Prober
	down    map[string]bool
	paused  map[string]bool
	inbox   []delivery
	random  *rand.Rand
	loss    float64
	sent    int
}

type delivery struct {
	at   time.Time
	from peer.Sender
	send memberprober.Send
}

func newDomain(n int, seed uint64) *domain {
	d := &domain{
		now: time.Unix(1000, 0), probers: map[string]*memberprober.Prober{},
		down: map[string]bool{}, paused: map[string]bool{}, random: rand.New(rand.NewPCG(seed, seed)),
	}
	for i := range n {
		d.start(fmt.Sprintf("vm-%03d", i), 1)
	}
	d.list()
	return d
}

func (d *domain) start(vm string, process uint64) {
	self := peer.Sender{VM: vm, Incarnation: peer.FirstIncarnation(process), Address: vm}
	d.probers[vm] = memberprober.New(self, rand.New(rand.NewPCG(d.random.Uint64(), process)))
	delete(d.down, vm)
}

func (d *domain) names() []string {
	names := make([]string, 0, len(d.probers))
	for vm := range d.probers {
		names = append(names, vm)
	}
	slices.Sort(names)
	return names
}

// list passes a platform list with every VM to every prober.
func (d *domain) list() {
	var list []memberprober.ListEntry
	for _, vm := range d.names() {
		list = append(list, memberprober.ListEntry{VM: vm, Address: vm})
	}
	for _, p := range d.probers {
		p.SetList(list)
	}
}

func (d *domain) queue(vm string, out []memberprober.Send) {
	for _, send := range out {
		d.sent++
		if d.random.Float64() < d.loss {
			continue
		}
		d.inbox = append(d.inbox, delivery{at: d.now.Add(latency), from: d.probers[vm].Self(), send: send})
	}
}

// run advances the virtual clock in steps of tick, and delivers all messages after each.
func (d *domain) run(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(tick) {
		for _, vm := range d.names() {
			if !d.down[vm] && !d.paused[vm] {
				d.queue(vm, d.probers[vm].Tick(d.now))
			}
		}
		d.deliver()
	}
}

func (d *domain) deliver() {
	for len(d.inbox) > 0 {
		next := d.inbox[0]
		d.inbox = d.inbox[1:]
		vm := next.send.Address
		if d.down[vm] || d.paused[vm] {
			continue
		}
		d.queue(vm, d.probers[vm].Receive(next.from, next.send.Message, d.now))
	}
}

func (d *domain) considersLive(vm, other string) bool {
	return slices.ContainsFunc(d.probers[vm].Live(), func(m memberprober.Member) bool { return m.VM() == other })
}

// expectLiveness checks whether every running VM considers another one live.
func (d *domain) expectLiveness(t *testing.T, other string, alive bool) {
	t.Helper()
	for _, vm := range d.names() {
		if vm != other && !d.down[vm] && !d.paused[vm] {
			qt.Check(t, d.considersLive(vm, other), qt.Equals, alive, qt.Commentf("%s of %s", vm, other))
		}
	}
}

func TestAllMembersDetectLostVM(t *testing.T) {
	for _, n := range []int{4, 12, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			d := newDomain(n, 1)
			d.run(5 * time.Second)
			d.down["vm-001"] = true
			d.run(8 * time.Second)
			d.expectLiveness(t, "vm-001", false)
			d.expectLiveness(t, "vm-002", true)
			qt.Check(t, d.probers["vm-000"].Dead("vm-001", 1), qt.IsTrue)
		})
	}
}

func TestNoLiveVMIsDeclaredDeadUnderPacketLoss(t *testing.T) {
	d := newDomain(12, 2)
	d.loss = 0.05
	for range 60 {
		d.run(time.Second)
		for _, vm := range d.names() {
			d.expectLiveness(t, vm, true)
		}
	}
}

func TestPausedVMDeclaresNoneDeadAndRejoins(t *testing.T) {
	d := newDomain(8, 3)
	d.run(5 * time.Second)
	d.paused["vm-003"] = true
	d.run(10 * time.Second)
	d.expectLiveness(t, "vm-003", false)
	delete(d.paused, "vm-003")
	d.run(3 * time.Second)
	d.expectLiveness(t, "vm-003", true)
	for _, vm := range d.names() {
		d.expectLiveness(t, vm, true)
	}
}

func TestRestartedVMIsANewProcess(t *testing.T) {
	d := newDomain(6, 4)
	d.run(5 * time.Second)
	d.start("vm-002", 2)
	d.list()
	d.run(3 * time.Second)
	d.expectLiveness(t, "vm-002", true)
	for _, vm := range d.names() {
		if vm != "vm-002" {
			qt.Check(t, d.probers[vm].Dead("vm-002", 1), qt.IsTrue)
			qt.Check(t, d.probers[vm].Dead("vm-002", 2), qt.IsFalse)
		}
	}
}

func TestLoadPerVMIsIndependentOfDomainSize(t *testing.T) {
	perVM := func(n int) float64 {
		d := newDomain(n, 5)
		d.run(20 * time.Second)
		return float64(d.sent) / float64(n) / 20
	}
	small, large := perVM(12), perVM(120)
	qt.Check(t, large < 1.2*small, qt.IsTrue, qt.Commentf("%.2f and %.2f messages a second", small, large))
}
