// Package membersimulator simulates failure domains on a virtual clock, to compare
// failure detectors of VMs by their traffic and their detection time.
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
	// listLag is the time from the loss of a VM until the platform's VM list shows it.
	listLag             = 15 * time.Second
	heartbeatPeriod     = memberprober.ProbePeriod
	maxMissedHeartbeats = 4
)

// Fleet simulates a failure domain with one failure detector.
type Fleet interface {
	// Tick advances every live VM to a time.
	Tick(now time.Time)
	// Fail makes a VM fail.
	Fail(vm int)
	// Detected returns the number of live VMs that have detected a VM's failure.
	Detected(vm int) int
	// Cost returns the numbers of messages and bytes sent so far.
	Cost() (messages, bytes int)
}

// probeFleet runs the production failure detector, memberprober.
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

// NewProbes returns a domain of n VMs that run the production failure detector.
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

// Fail implements Fleet.
func (f *probeFleet) Fail(vm int) { f.lost[f.names[vm]] = true }

// Detected implements Fleet.
func (f *probeFleet) Detected(vm int) int {
	n := 0
	for _, name := range f.names {
		if f.lost[name] {
			continue
		}
		live := slices.ContainsFunc(f.probers[name].Live(), func(m memberprober.Member) bool {
			return m.VM() == f.names[vm]
		})
		if !live {
			n++
		}
	}
	return n
}

// Cost implements Fleet.
func (f *probeFleet) Cost() (messages, bytes int) { return f.messages, f.bytes }

// heartbeatFleet makes each VM send heartbeats to the next VMs in the order of their
// IDs. A VM that misses heartbeats of another one reports that to all others.
type heartbeatFleet struct {
	n             int
	watchers      int
	lost          map[int]bool
	lastHeartbeat map[int]time.Time
	reported      map[int]bool
	next          time.Time
	messages      int
}

// NewHeartbeats returns a domain of n VMs, each of which sends heartbeats to a given
// number of watchers.
func NewHeartbeats(n, watchers int) Fleet {
	return &heartbeatFleet{
		n: n, watchers: watchers, lost: map[int]bool{}, lastHeartbeat: map[int]time.Time{}, reported: map[int]bool{},
	}
}

// Tick implements Fleet.
func (f *heartbeatFleet) Tick(now time.Time) {
	if !now.Before(f.next) {
		f.next = now.Add(heartbeatPeriod)
		for vm := range f.n {
			if !f.lost[vm] {
				f.messages += f.watchers
				f.lastHeartbeat[vm] = now
			}
		}
	}
	for vm := range f.lost {
		if now.Sub(f.lastHeartbeat[vm]) < maxMissedHeartbeats*heartbeatPeriod || f.reported[vm] {
			continue
		}
		f.reported[vm] = true
		if f.watchers < f.n-1 {
			f.messages += f.watchers * (f.n - 2) // each watcher reports to all others
		}
	}
}

// Fail implements Fleet.
func (f *heartbeatFleet) Fail(vm int) { f.lost[vm] = true }

// Detected implements Fleet.
func (f *heartbeatFleet) Detected(vm int) int {
	if f.reported[vm] {
		return f.n - 1
	}
	return 0
}

// Cost implements Fleet.
func (f *heartbeatFleet) Cost() (messages, bytes int) {
	text, err := peer.Encode(peer.Sender{VM: "entry-001", Incarnation: peer.FirstIncarnation(1), Address: "entry-001"},
		peer.Probe{Sequence: 1})
	if err != nil {
		return f.messages, 0
	}
	return f.messages, f.messages * len(text)
}

// NewList returns a domain of n VMs that use only the platform's VM list.
func NewList(n int) Fleet { return &listFleet{n: n} }

// listFleet uses only the platform's VM list, which each VM reads once a second.
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

// Fail implements Fleet.
func (f *listFleet) Fail(int) { f.lostAt = f.now }

// Detected implements Fleet.
func (f *listFleet) Detected(int) int {
	if !f.lostAt.IsZero() && f.now.Sub(f.lostAt) >= listLag+time.Second {
		return f.n - 1
	}
	return 0
}

// bytesPerListLine is the size of one VM's entry in the list.
const bytesPerListLine = 150

// Cost implements Fleet.
func (f *listFleet) Cost() (messages, bytes int) {
	return f.messages, f.messages * f.n * bytesPerListLine
}
