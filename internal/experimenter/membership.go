package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/memberprober"
	"github.com/fescuespindle/fescuespindle/internal/peer"
)

var membership = Experiment{
	Name:    "membership",
	Summary: "ways to notice a lost VM: list alone, probes, ring neighbours, all to all",
	run:     runMembership,
}

const (
	memberTick    = 50 * time.Millisecond
	memberLatency = 2 * time.Millisecond
	memberWarm    = 10 * time.Second
	memberLimit   = 60 * time.Second
	// listLag is how late the platform's list shows that a VM is gone.
	listLag       = 15 * time.Second
	heartbeat     = memberprober.ProbePeriod
	missedBeats   = 4
	ringNeighbors = 2
)

// memberFleet is a failure domain on a clock of its own. Each way to notice a
// lost VM steps the same clock and counts the same messages.
type memberFleet interface {
	// tick advances every VM that lives.
	tick(now time.Time)
	// lose ends a VM.
	lose(vm int)
	// noticed returns how many live VMs know that the VM is gone.
	noticed(vm int) int
	// cost returns the messages sent and their bytes.
	cost() (messages, bytes int)
}

func runMembership(_ context.Context, p Parameters) (Result, error) {
	result := Result{Policies: map[string]Metrics{}, VMs: 240}
	ways := map[string]func(n int, seed uint64) memberFleet{
		"probes":   newProbeFleet,
		"allToAll": func(n int, _ uint64) memberFleet { return newBeatFleet(n, n-1) },
		"ring":     func(n int, _ uint64) memberFleet { return newBeatFleet(n, ringNeighbors) },
		"list":     func(n int, _ uint64) memberFleet { return &listFleet{n: n} },
	}
	for _, n := range []int{12, 60, 240} {
		for name, build := range ways {
			metrics, err := measureMembers(build(n, p.Seed), n)
			if err != nil {
				return result, err
			}
			result.Policies[fmt.Sprintf("%s%03d", name, n)] = metrics
		}
	}
	result.Bars = []Bar{
		atMost("kilobytes a second of a VM by probes at 240", 5, result.Policies["probes240"]["kilobytesPerSecondPerVM"]),
	}
	return result, nil
}

// measureMembers loses one VM and measures how long the last other one takes to
// notice.
func measureMembers(f memberFleet, n int) (Metrics, error) {
	now := time.Unix(1000, 0)
	for end := now.Add(memberWarm); now.Before(end); now = now.Add(memberTick) {
		f.tick(now)
	}
	messages, bytes := f.cost()
	f.lose(1)
	lost := now
	for f.noticed(1) < n-1 {
		if now.Sub(lost) > memberLimit {
			return nil, fmt.Errorf("the loss was not noticed by all of %d", n)
		}
		f.tick(now)
		now = now.Add(memberTick)
	}
	perVM := memberWarm.Seconds() * float64(n)
	return Metrics{
		"messagesPerSecondPerVM":  float64(messages) / perVM,
		"kilobytesPerSecondPerVM": float64(bytes) / bytesPerKilobyte / perVM,
		"noticedSeconds":          now.Sub(lost).Seconds(),
	}, nil
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

func newProbeFleet(n int, seed uint64) memberFleet {
	f := &probeFleet{probers: map[string]*memberprober.Prober{}, lost: map[string]bool{}}
	var list []memberprober.Listed
	for i := range n {
		name := fmt.Sprintf("entry-%03d", i)
		f.names = append(f.names, name)
		list = append(list, memberprober.Listed{VM: name, Address: name})
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

func (f *probeFleet) tick(now time.Time) {
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
			f.queue(vm, f.probers[vm].Receive(next.from, next.send.Message, now.Add(memberLatency)))
		}
	}
}

func (f *probeFleet) lose(vm int) { f.lost[f.names[vm]] = true }

func (f *probeFleet) noticed(vm int) int {
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

func (f *probeFleet) cost() (messages, bytes int) { return f.messages, f.bytes }

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

func newBeatFleet(n, watchers int) memberFleet {
	return &beatFleet{n: n, watchers: watchers, lost: map[int]bool{}, lastBeat: map[int]time.Time{}, told: map[int]bool{}}
}

func (f *beatFleet) tick(now time.Time) {
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

func (f *beatFleet) lose(vm int) { f.lost[vm] = true }

func (f *beatFleet) noticed(vm int) int {
	if f.told[vm] {
		return f.n - 1
	}
	return 0
}

func (f *beatFleet) cost() (messages, bytes int) {
	text, err := peer.Encode(peer.Sender{VM: "entry-001", Incarnation: peer.FirstIncarnation(1), Address: "entry-001"},
		peer.Probe{Sequence: 1})
	if err != nil {
		return f.messages, 0
	}
	return f.messages, f.messages * len(text)
}

// listFleet relies on the platform's list alone.
type listFleet struct {
	n        int
	now      time.Time
	lostAt   time.Time
	messages int
	next     time.Time
}

func (f *listFleet) tick(now time.Time) {
	f.now = now
	if !now.Before(f.next) {
		f.next = now.Add(time.Second)
		f.messages += f.n
	}
}

func (f *listFleet) lose(int) { f.lostAt = f.now }

func (f *listFleet) noticed(int) int {
	if !f.lostAt.IsZero() && f.now.Sub(f.lostAt) >= listLag+time.Second {
		return f.n - 1
	}
	return 0
}

// bytesPerListLine is the size of one VM's line on the list.
const bytesPerListLine = 150

func (f *listFleet) cost() (messages, bytes int) {
	return f.messages, f.messages * f.n * bytesPerListLine
}
