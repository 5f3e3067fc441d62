// Package membersimulator steps whole failure domains on a clock of their own,
// to compare ways to notice a lost VM by their messages and their time.
package membersimulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/memberprober"
	"github.com/fescuespindle/fescuespindle/internal/control/peer"
)

const (
	latency = 2 * time.Millisecond
	// listLag is how late the platform's list shows that a VM is gone.
	listLag     = 15 * time.Second
	heartbeat   = memberprober.ProbePeriod
	missedBeats = 4
)

// Fleet is a failure domain on a clock of its own. Each way to notice a
// lost VM steps the same clock and counts the same messages.
type Fleet interface {
	// Tick advances every VM that lives.
	Tick(now time.Time)
	// Lose ends a VM.
	Lose(vm int)
	// Noticed returns how many live VMs know that the VM is gone.
	Noticed(vm int) int
	// Cost returns the messages sent and their bytes.
	Cost() (messages, bytes int)
}

// probeFleet runs the product's own core.
type probeFleet struct {
	names    []string
	probers  map[string]*memberprober.Prober
	lost     map[string]bool
	inbox    []probeDelivery
	messages int
	bytes    int
}

type probeDelivery struct {
	from peer.Sender
	send memberprober.Send
}

// NewProbes returns a domain that runs the product's own core.
func NewProbes(n int, seed uint64) Fleet {
	f := &probeFleet{probers: map[string]*memberprober.Prober{}, lost: map[string]bool{}}
	var list []memberprober.ListEntry
	for i := range n {
		name := fmt.Sprintf("entry-%03d", i)
		f.names = append(f.names, name)
		list = append(list, memberprober.ListEntry{VM: name, Address: name})
		self := peer.Sender{VM: name, Incarnation: peer.FirstIncarnation(1), Address: name}
		f.probers[name] = memberprober.New(self, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	for _, prober := range f.probers {
		prober.SetList(list)
	}
	return f
}

func (f *probeFleet) queue(vm string, sends []memberprober.Send) {
	for _, send := range sends {
		text, err := peer.Encode(f.probers[vm].Self(), send.Message)
		if err != nil {
			continue
		}
		f.messages++
		f.bytes += len(text)
		f.inbox = append(f.inbox, probeDelivery{from: f.probers[vm].Self(), send: send})
	}
}

// Tick implements Fleet.
func (f *probeFleet) Tick(now time.Time) {
	for _, vm := range f.names {
		if !f.lost[vm] {
			f.queue(vm, f.probers[vm].Tick(now))
		}
	}
	for len(f.inbox) > 0 {
		next := f.inbox[0]
		f.inbox = f.inbox[1:]
		vm := next.send.Address
		if !f.lost[vm] {
			f.queue(vm, f.probers[vm].Receive(next.from, next.send.Message, now.Add(latency)))
		}
	}
}

// Lose implements Fleet.
func (f *probeFleet) Lose(vm int) { f.lost[f.names[vm]] = true }

// Noticed implements Fleet.
func (f *probeFleet) Noticed(vm int) int {
	n := 0
	for _, name := range f.names {
		if f.lost[name] {
			continue
		}
		believed := slices.ContainsFunc(f.probers[name].Live(), func(m memberprober.Member) bool {
			return m.VM() == f.names[vm]
		})
		if !believed {
			n++
		}
	}
	return n
}

// Cost implements Fleet.
func (f *probeFleet) Cost() (messages, bytes int) { return f.messages, f.bytes }

// beatFleet has each VM send heartbeats to the next VMs in an order of
// identifiers. A VM that misses heartbeats from one before it tells all others.
type beatFleet struct {
	n        int
	watchers int
	lost     map[int]bool
	lastBeat map[int]time.Time
	told     map[int]bool
	next     time.Time
	messages int
}

// NewHeartbeats returns a domain whose VMs send heartbeats to so many others.
func NewHeartbeats(n, watchers int) Fleet {
	return &beatFleet{n: n, watchers: watchers, lost: map[int]bool{}, lastBeat: map[int]time.Time{}, told: map[int]bool{}}
}

// Tick implements Fleet.
func (f *beatFleet) Tick(now time.Time) {
	if !now.Before(f.next) {
		f.next = now.Add(heartbeat)
		for vm := range f.n {
			if !f.lost[vm] {
				f.messages += f.watchers
				f.lastBeat[vm] = now
			}
		}
	}
	for vm := range f.lost {
		if now.Sub(f.lastBeat[vm]) < missedBeats*heartbeat || f.told[vm] {
			continue
		}
		f.told[vm] = true
		if f.watchers < f.n-1 {
			f.messages += f.watchers * (f.n - 2) // each watcher tells all others
		}
	}
}

// Lose implements Fleet.
func (f *beatFleet) Lose(vm int) { f.lost[vm] = true }

// Noticed implements Fleet.
func (f *beatFleet) Noticed(vm int) int {
	if f.told[vm] {
		return f.n - 1
	}
	return 0
}

// Cost implements Fleet.
func (f *beatFleet) Cost() (messages, bytes int) {
	text, err := peer.Encode(peer.Sender{VM: "entry-001", Incarnation: peer.FirstIncarnation(1), Address: "entry-001"},
		peer.Probe{Sequence: 1})
	if err != nil {
		return f.messages, 0
	}
	return f.messages, f.messages * len(text)
}

// NewList returns a domain that relies on the platform's list alone.
func NewList(n int) Fleet { return &listFleet{n: n} }

// listFleet relies on the platform's list alone.
type listFleet struct {
	n        int
	now      time.Time
	lostAt   time.Time
	messages int
	next     time.Time
}

// Tick implements Fleet.
func (f *listFleet) Tick(now time.Time) {
	f.now = now
	if !now.Before(f.next) {
		f.next = now.Add(time.Second)
		f.messages += f.n
	}
}

// Lose implements Fleet.
func (f *listFleet) Lose(int) { f.lostAt = f.now }

// Noticed implements Fleet.
func (f *listFleet) Noticed(int) int {
	if !f.lostAt.IsZero() && f.now.Sub(f.lostAt) >= listLag+time.Second {
		return f.n - 1
	}
	return 0
}

// bytesPerListLine is the size of one VM's line on the list.
const bytesPerListLine = 150

// Cost implements Fleet.
func (f *listFleet) Cost() (messages, bytes int) {
	return f.messages, f.messages * f.n * bytesPerListLine
}
