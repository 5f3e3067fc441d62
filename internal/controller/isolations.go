package controller

import (
	"context"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/chooser"
	"github.com/fescuespindle/fescuespindle/internal/peer"
	"github.com/fescuespindle/fescuespindle/internal/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/stepper"
)

// isolationTimeout bounds the wait for the keeper of an upstream.
const isolationTimeout = 100 * time.Millisecond

// isolations lets suspects run alone on upstreams: as the keeper of some, and
// as the VM that asks the keepers of others.
type isolations struct {
	c        *Controller
	kept     *quarantiner.Isolation
	sequence uint64
	waiting  map[uint64]chan<- bool
}

func newIsolations(c *Controller) *isolations {
	return &isolations{c: c, kept: quarantiner.NewIsolation(), waiting: map[uint64]chan<- bool{}}
}

// Isolate asks that no other suspect runs on an upstream while this one does.
// It returns false if another one does, or if the upstream's keeper doesn't
// answer in time.
func (c *Controller) Isolate(
	ctx context.Context, u *chooser.Upstream, f quarantiner.Fingerprint,
) (release func(), granted bool) {
	answer := make(chan bool, 1)
	c.loop.Post(func(now time.Time) { c.isolations.ask(u, f, answer, now) })
	timer := time.NewTimer(isolationTimeout)
	defer timer.Stop()
	select {
	case granted = <-answer:
	case <-timer.C:
	case <-ctx.Done():
	}
	if !granted {
		c.Counters.Count("isolations_denied_total")
		return func() {}, false
	}
	return func() { c.loop.Post(stepper.Event(func(time.Time) { c.isolations.end(u, f) })) }, true
}

func (i *isolations) ask(u *chooser.Upstream, f quarantiner.Fingerprint, answer chan<- bool, now time.Time) {
	if u.Keeper() == i.c.Place.VM {
		answer <- i.kept.Admit(u.ID(), f, now)
		return
	}
	i.sequence++
	i.waiting[i.sequence] = answer
	i.c.sender.Send(i.c.upstreams.addresses[u.Keeper()],
		peer.IsolationWanted{Sequence: i.sequence, Upstream: u.ID(), Fingerprint: uint64(f)})
}

func (i *isolations) end(u *chooser.Upstream, f quarantiner.Fingerprint) {
	if u.Keeper() == i.c.Place.VM {
		i.kept.Discharge(u.ID(), f)
		return
	}
	i.c.sender.Send(i.c.upstreams.addresses[u.Keeper()], peer.IsolationEnded{Upstream: u.ID(), Fingerprint: uint64(f)})
}

func (i *isolations) wanted(from peer.Sender, m peer.IsolationWanted, now time.Time) {
	granted := i.kept.Admit(m.Upstream, quarantiner.Fingerprint(m.Fingerprint), now)
	i.c.sender.Send(from.Address, peer.IsolationAnswered{Sequence: m.Sequence, Granted: granted})
}

func (i *isolations) answered(m peer.IsolationAnswered) {
	if answer, found := i.waiting[m.Sequence]; found {
		delete(i.waiting, m.Sequence)
		answer <- m.Granted
	}
}

func (i *isolations) ended(m peer.IsolationEnded) {
	i.kept.Discharge(m.Upstream, quarantiner.Fingerprint(m.Fingerprint))
}
