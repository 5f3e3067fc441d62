package ratelimiter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/ratelimiter"
)

var start = time.Unix(1_700_000_000, 0)

var process = ratelimiter.Process{Upstream: "u", Start: 7}

func at(after time.Duration) time.Time { return start.Add(after) }

// limited returns a Limiter of a VM to which an upstream has just named a limit.
func limited(perSecond float64) *ratelimiter.Limiter {
	l := ratelimiter.New()
	l.RecordAnswer(process, perSecond, start, start)
	return l
}

// countAllowed sends whatever is allowed in a little more than ten seconds after the start.
func countAllowed(l *ratelimiter.Limiter, g ratelimiter.Group, isBatch bool) int {
	sent := 0
	for after := time.Duration(0); after <= 10_050*time.Millisecond; after += time.Millisecond {
		if l.Allows("u", g, isBatch, at(after)) {
			l.RecordSend("u", isBatch, at(after))
			sent++
		}
	}
	return sent
}

func TestLimitOfOneVM(t *testing.T) {
	expect := func(perSecond float64, g ratelimiter.Group, isBatch bool, want int) {
		t.Helper()
		qt.Check(t, countAllowed(limited(perSecond), g, isBatch), qt.Equals, want)
	}
	alone := ratelimiter.Group{Size: 1, Heard: 1}
	expect(2.5, alone, false, 25)
	expect(0.2, alone, false, 2)
	expect(2.5, alone, true, 24) // the last token is left to online work
	// The share of VMs that are not heard from is left to them.
	expect(2.5, ratelimiter.Group{Size: 5, Heard: 2}, false, 10)
}

func TestRequestsOfOtherVMsCount(t *testing.T) {
	l := limited(2)
	g := ratelimiter.Group{Size: 2, Heard: 2}
	qt.Check(t, l.Allows("u", g, false, at(500*time.Millisecond)), qt.IsTrue)
	l.ReceiveSent("b", map[string]uint64{"u": 1})
	qt.Check(t, l.Allows("u", g, false, at(500*time.Millisecond)), qt.IsFalse)
	l.ReceiveSent("b", map[string]uint64{"u": 1}) // repeated, or another message was lost
	qt.Check(t, l.Allows("u", g, false, at(time.Second)), qt.IsTrue)
	l.ReceiveSent("b", map[string]uint64{"u": 4})
	qt.Check(t, l.Allows("u", g, false, at(1900*time.Millisecond)), qt.IsFalse)
	qt.Check(t, l.Allows("u", g, false, at(2500*time.Millisecond)), qt.IsTrue)
}

func TestFirstReportOfAVMIsNotOwedInFull(t *testing.T) {
	l := limited(1)
	l.ReceiveSent("b", map[string]uint64{"u": 1000})
	qt.Check(t, l.Allows("u", ratelimiter.Group{Size: 2, Heard: 2}, false, at(3100*time.Millisecond)), qt.IsTrue)
}

// Guards against: an upstream that accepts nothing for a while, or says something absurd, never
// gets a request again, as only an answer can show that its limit has ended.
func TestEndOfAnyLimitIsNoticed(t *testing.T) {
	expect := func(perSecond float64) {
		t.Helper()
		l := limited(perSecond)
		g := ratelimiter.Group{Size: 1, Heard: 1}
		qt.Check(t, l.Allows("u", g, false, at(time.Second)), qt.IsFalse)
		qt.Check(t, l.Allows("u", g, false, at(11*time.Second)), qt.IsTrue)
	}
	expect(0.01)
	expect(1e-12)
	expect(math.SmallestNonzeroFloat64)
}

func TestLateAnswerOfAnEarlierProcessSaysNothing(t *testing.T) {
	l := limited(2)
	_, changed := l.RecordAnswer(ratelimiter.Process{Upstream: "u", Start: 6}, 50, at(time.Second), at(time.Second))
	qt.Check(t, changed, qt.IsFalse)
}

func TestEndOfALimit(t *testing.T) {
	expect := func(p ratelimiter.Process, sentAt time.Duration, want bool) {
		t.Helper()
		l := limited(2)
		l.RecordAnswer(p, 0, at(sentAt), at(time.Minute))
		qt.Check(t, l.IsLimited("u"), qt.Equals, want)
	}
	expect(process, time.Second, false)
	expect(process, -time.Second, true) // an answer that is older than the limit
	expect(ratelimiter.Process{Upstream: "u", Start: 8}, -time.Second, false)
}

func TestOtherVMsLearnOfALimitAndOfItsEnd(t *testing.T) {
	holds := func(string) bool { return true }
	a, b := limited(2), ratelimiter.New()
	tell := func(from, to *ratelimiter.Limiter, after time.Duration) {
		for id, named := range from.Report(holds, at(after)) {
			to.Receive(ratelimiter.Process{Upstream: id, Start: 7}, named, false, at(after))
		}
	}
	tell(a, b, time.Second)
	qt.Check(t, b.IsLimited("u"), qt.IsTrue)
	a.RecordAnswer(process, 0, at(time.Second), at(2*time.Second))
	tell(b, a, 3*time.Second)
	qt.Check(t, a.IsLimited("u"), qt.IsFalse, qt.Commentf("b repeats what is outdated"))
	tell(a, b, 2500*time.Millisecond)
	qt.Check(t, b.IsLimited("u"), qt.IsFalse)
	news, toReport := a.HasNews(holds, at(4*time.Second))
	qt.Check(t, news || toReport, qt.IsFalse)
}

func TestLimitThatNobodyReportsIsForgotten(t *testing.T) {
	expect := func(holds, want bool) {
		t.Helper()
		l := limited(2)
		l.Expire(func(string) bool { return holds }, at(time.Hour))
		qt.Check(t, l.IsLimited("u"), qt.Equals, want)
	}
	expect(false, false)
	expect(true, true)
}

// Guards against: VMs that each keep the limit of an upstream by themselves exceed it
// together; those that can't hear each other do too.
func TestHoldersKeepALimitTogether(t *testing.T) {
	expect := func(t *testing.T, perSecond float64, vms int, delay time.Duration, lost float64, split bool) {
		t.Helper()
		const window = 4 * time.Second
		fleet := newFleet(perSecond, vms, delay, lost, split)
		bound := int(1.5*perSecond*window.Seconds()) + 5
		for ms := range 20_000 {
			fleet.step(time.Duration(ms) * time.Millisecond)
		}
		qt.Check(t, mostWithin(fleet.sentAt, window) <= bound, qt.IsTrue, qt.Commentf("bound %d", bound))
		if !split {
			qt.Check(t, float64(len(fleet.sentAt)) >= 0.9*20*perSecond, qt.IsTrue)
		}
	}
	for _, perSecond := range []float64{0.5, 2, 20} {
		for _, vms := range []int{2, 4, 8} {
			name := fmt.Sprintf("%v per second, %d VMs, ", perSecond, vms)
			t.Run(name+"in touch", func(t *testing.T) { expect(t, perSecond, vms, 2*time.Millisecond, 0, false) })
			t.Run(name+"a tenth of the reports lost", func(t *testing.T) {
				expect(t, perSecond, vms, 20*time.Millisecond, 0.1, false)
			})
			t.Run(name+"two halves cut off", func(t *testing.T) { expect(t, perSecond, vms, 2*time.Millisecond, 0, true) })
		}
	}
}

// fleet is a number of VMs that share a limit and have always requests to send.
type fleet struct {
	vms      []*ratelimiter.Limiter
	delay    time.Duration
	lost     float64 // share of the reports
	split    bool    // the VMs with even numbers don't hear those with odd ones
	random   *rand.Rand
	messages map[time.Duration][]func()
	sentAt   []time.Duration
}

func newFleet(perSecond float64, vms int, delay time.Duration, lost float64, split bool) *fleet {
	f := &fleet{
		delay: delay, lost: lost, split: split, random: rand.New(rand.NewPCG(1, uint64(vms))),
		messages: map[time.Duration][]func(){},
	}
	for range vms {
		f.vms = append(f.vms, limited(perSecond))
	}
	return f
}

// step delivers the messages that are due and sends what is allowed. A VM tries every 10 ms
// on average.
func (f *fleet) step(now time.Duration) {
	for _, receive := range f.messages[now] {
		receive()
	}
	delete(f.messages, now)
	group := ratelimiter.Group{Size: len(f.vms), Heard: len(f.vms)}
	if f.split {
		group.Heard /= 2
	}
	for n, vm := range f.vms {
		if f.random.IntN(10) > 0 || !vm.Allows("u", group, false, at(now)) {
			continue
		}
		vm.RecordSend("u", false, at(now))
		f.sentAt = append(f.sentAt, now)
		f.report(n, now)
	}
}

func (f *fleet) report(from int, now time.Duration) {
	sent := f.vms[from].Sent(at(now))
	for n, vm := range f.vms {
		if n == from || f.random.Float64() < f.lost || (f.split && n%2 != from%2) {
			continue
		}
		f.messages[now+f.delay] = append(f.messages[now+f.delay], func() { vm.ReceiveSent(fmt.Sprint(from), sent) })
	}
}

// mostWithin returns the largest number of times within a window.
func mostWithin(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for last, at := range times {
		for times[first] < at-window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
