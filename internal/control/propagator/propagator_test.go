package propagator_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/control/propagator"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/propertychecker"
)

var errOutage = errors.New("outage")

func configOf(version uint64) propagator.Config {
	text := []byte(fmt.Sprintf("configuration %d", version))
	sum := sha256.Sum256(text)
	config, ok := propagator.NewConfig(version, "sha256:"+hex.EncodeToString(sum[:]), text)
	if !ok {
		panic("digest")
	}
	return config
}

// fleet simulates a failure domain of propagators and a store that may be unreachable.
type fleet struct {
	t       rapid.TB
	now     time.Time
	vms     []*propagator.Propagator
	paused  []bool
	inForce []uint64
	head    uint64
	outage  bool
	pending []event
}

// event is a message or a store result in transit to a VM's process.
type event struct {
	vm      int
	process *propagator.Propagator
	handle  func(*propagator.Propagator) []propagator.Action
}

func newFleet(t rapid.TB, n int) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0)}
	f.vms = make([]*propagator.Propagator, n)
	f.paused = make([]bool, n)
	f.inForce = make([]uint64, n)
	for i := range n {
		f.restart(i)
	}
	return f
}

func name(i int) string { return fmt.Sprintf("vm-%d", i) }

func sender(i int) peer.Sender { return peer.Sender{VM: name(i), Address: name(i)} }

// restart replaces the process of a VM. The new process has no configuration in force.
func (f *fleet) restart(i int) {
	f.vms[i] = propagator.New(name(i))
	f.inForce[i] = 0
	var peers []propagator.Peer
	for j := range f.vms {
		if j != i {
			peers = append(peers, propagator.Peer{VM: name(j), Address: name(j)})
		}
	}
	f.vms[i].SetPeers(peers)
}

func (f *fleet) tick(i int) {
	if !f.paused[i] {
		f.execute(i, f.vms[i].Tick(f.now))
	}
}

// execute carries out actions. Their results are pending until they are delivered.
func (f *fleet) execute(i int, actions []propagator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case propagator.ReadHead:
			head, err := f.readStore()
			f.enqueue(i, func(p *propagator.Propagator) []propagator.Action {
				return p.HeadRead(head.Version(), head.Digest(), err, f.now)
			})
		case propagator.ReadText:
			_, err := f.readStore()
			f.enqueue(i, func(p *propagator.Propagator) []propagator.Action {
				return p.TextRead(configOf(a.Version), err, f.now)
			})
		case propagator.Send:
			f.send(i, a)
		case propagator.Adopt:
			if a.Config.Version() <= f.inForce[i] {
				f.t.Fatalf("%s went from version %d to %d", name(i), f.inForce[i], a.Config.Version())
			}
			f.inForce[i] = a.Config.Version()
		}
	}
}

func (f *fleet) readStore() (propagator.Config, error) {
	if f.outage {
		return propagator.Config{}, errOutage
	}
	if f.head == 0 {
		return propagator.Config{}, nil
	}
	return configOf(f.head), nil
}

func (f *fleet) send(from int, s propagator.Send) {
	for to := range f.vms {
		if name(to) == s.Address {
			f.enqueue(to, func(p *propagator.Propagator) []propagator.Action {
				return p.Receive(sender(from), s.Message, f.now)
			})
		}
	}
}

func (f *fleet) enqueue(vm int, handle func(*propagator.Propagator) []propagator.Action) {
	f.pending = append(f.pending, event{vm: vm, process: f.vms[vm], handle: handle})
}

// deliver delivers one pending event. Events for a process that was replaced or is
// paused are lost.
func (f *fleet) deliver(index int) {
	e := f.pending[index]
	f.pending = append(f.pending[:index], f.pending[index+1:]...)
	if f.vms[e.vm] == e.process && !f.paused[e.vm] {
		f.execute(e.vm, e.handle(e.process))
	}
}

// settle ends all faults, then advances time by 24 s and delivers all events.
func (f *fleet) settle() {
	f.outage = false
	clear(f.paused)
	for range 120 {
		f.now = f.now.Add(200 * time.Millisecond)
		for i := range f.vms {
			f.tick(i)
		}
		for len(f.pending) > 0 {
			f.deliver(0)
		}
	}
}

// Messages get lost, VMs pause and restart, and the store fails at random. The version
// in force must not decrease within a process, and once the faults end all VMs must
// have the newest version in force.
func TestVersionsNeverDecreaseAndAllVMsConverge(t *testing.T) {
	propertychecker.Check(t, func(t *rapid.T) {
		const vms = 5
		f := newFleet(t, vms)
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(*rapid.T) { f.head++ },
			"tick": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
				for i := range f.vms {
					f.tick(i)
				}
			},
			"deliver": func(t *rapid.T) {
				for range min(len(f.pending), rapid.IntRange(1, 10).Draw(t, "n")) {
					f.deliver(rapid.IntRange(0, len(f.pending)-1).Draw(t, "at"))
				}
			},
			"lose": func(*rapid.T) {
				// Messages and store results get lost.
				if len(f.pending) > 40 {
					f.pending = f.pending[20:]
				}
			},
			"restart": func(t *rapid.T) { f.restart(rapid.IntRange(0, vms-1).Draw(t, "vm")) },
			"pause":   func(t *rapid.T) { f.paused[rapid.IntRange(0, vms-1).Draw(t, "vm")] = true },
			"resume":  func(*rapid.T) { clear(f.paused) },
			"outage":  func(t *rapid.T) { f.outage = rapid.Bool().Draw(t, "down") },
		})
		f.settle()
		for i := range f.vms {
			if f.inForce[i] != f.head {
				t.Fatalf("%s has version %d in force, want %d", name(i), f.inForce[i], f.head)
			}
		}
	})
}

func TestNewVMGetsConfigurationFromPeersDuringStoreOutage(t *testing.T) {
	f := newFleet(t, 4)
	f.head = 3
	f.settle()
	f.outage = true
	f.restart(2)
	for range 20 {
		f.now = f.now.Add(200 * time.Millisecond)
		f.tick(2)
		for len(f.pending) > 0 {
			f.deliver(0)
		}
	}
	qt.Assert(t, f.inForce[2], qt.Equals, uint64(3))
}

func TestNewVMWithoutStoreOrPeersIsNotReady(t *testing.T) {
	f := newFleet(t, 1)
	f.outage = true
	for range 50 {
		f.now = f.now.Add(200 * time.Millisecond)
		f.tick(0)
		for len(f.pending) > 0 {
			f.deliver(0)
		}
	}
	qt.Assert(t, f.inForce[0], qt.Equals, uint64(0))
	qt.Assert(t, f.vms[0].Reason(), qt.Equals, "the store can't be read and no peer is known")
}

func TestTextWithWrongDigestIsRejected(t *testing.T) {
	_, ok := propagator.NewConfig(1, "sha256:00", []byte("text"))
	qt.Assert(t, ok, qt.IsFalse)
}

func TestLostHeadReadIsRetried(t *testing.T) {
	f := newFleet(t, 1)
	f.head = 1
	f.tick(0)
	f.pending = nil
	f.settle()
	qt.Assert(t, f.inForce[0], qt.Equals, uint64(1))
}
