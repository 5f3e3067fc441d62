package controller

import (
	"context"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
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

// isolationRequest is a suspect's wish to run alone on an upstream.
type isolationRequest struct {
	upstream    *chooser.Upstream
	fingerprint quarantiner.Fingerprint
	answer      chan bool
	sequence    uint64 // of the message to the keeper; 0 for none
}

// Isolate asks that no other suspect runs on an upstream while this one does.
// It returns false if another one does, or if the upstream's keeper doesn't
// answer in time.
func (c *Controller) Isolate(
	ctx context.Context, u *chooser.Upstream, f quarantiner.Fingerprint,
) (release func(), granted bool) {
	request := &isolationRequest{upstream: u, fingerprint: f, answer: make(chan bool, 1)}
	c.loop.Post(func(now time.Time) { c.isolations.ask(request, now) })
	release = func() { c.loop.Post(func(time.Time) { c.isolations.end(request) }) }
	timer := time.NewTimer(isolationTimeout)
	defer timer.Stop()
	select {
	case granted = <-request.answer:
	case <-timer.C:
		release() // the keeper may have let it in all the same
	case <-ctx.Done():
		release()
	}
	if !granted {
		c.Counters.Count("isolations_denied_total")
		return func() {}, false
	}
	return release, true
}

func (i *isolations) ask(r *isolationRequest, now time.Time) {
	if r.upstream.Owner() == i.c.Location.VM {
		r.answer <- i.kept.Acquire(r.upstream.ID(), r.fingerprint, now)
		return
	}
	i.sequence++
	r.sequence = i.sequence
	i.waiting[r.sequence] = r.answer
	i.c.sender.Send(i.c.upstreams.addresses[r.upstream.Owner()],
		peer.IsolationWanted{Sequence: r.sequence, Upstream: r.upstream.ID(), Fingerprint: uint64(r.fingerprint)})
}

func (i *isolations) end(r *isolationRequest) {
	delete(i.waiting, r.sequence)
	if r.upstream.Owner() == i.c.Location.VM {
		i.kept.Release(r.upstream.ID(), r.fingerprint)
		return
	}
	i.c.sender.Send(i.c.upstreams.addresses[r.upstream.Owner()],
		peer.IsolationEnded{Upstream: r.upstream.ID(), Fingerprint: uint64(r.fingerprint)})
}

func (i *isolations) wanted(from peer.Sender, m peer.IsolationWanted, now time.Time) {
	granted := i.kept.Acquire(m.Upstream, quarantiner.Fingerprint(m.Fingerprint), now)
	i.c.sender.Send(from.Address, peer.IsolationAnswered{Sequence: m.Sequence, Granted: granted})
}

func (i *isolations) answered(m peer.IsolationAnswered) {
	if answer, found := i.waiting[m.Sequence]; found {
		delete(i.waiting, m.Sequence)
		answer <- m.Granted
	}
}

func (i *isolations) ended(m peer.IsolationEnded) {
	i.kept.Release(m.Upstream, quarantiner.Fingerprint(m.Fingerprint))
}
