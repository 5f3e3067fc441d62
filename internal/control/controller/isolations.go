package controller

import (
	"context"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
)

// isolationTimeout limits the wait for the reply of an upstream's owner.
const isolationTimeout = 100 * time.Millisecond

// isolations ensures that at most one suspect request runs on an upstream at a time. It
// grants isolation on the upstreams that this VM owns, and requests it from the owners
// of others.
type isolations struct {
	c        *Controller
	owned    *quarantiner.Isolation
	sequence uint64
	pending  map[uint64]chan<- bool
}

func newIsolations(c *Controller) *isolations {
	return &isolations{c: c, owned: quarantiner.NewIsolation(), pending: map[uint64]chan<- bool{}}
}

// isolationRequest is the request of a suspect to be the only one on an upstream.
type isolationRequest struct {
	upstream    *chooser.Upstream
	fingerprint quarantiner.Fingerprint
	reply       chan bool
	sequence    uint64 // number of the message to the owner; 0 for none
}

// Isolate reserves an upstream for one suspect request, so that no other suspect runs
// there until release is called. It returns false if another suspect runs there, if the
// upstream's owner doesn't reply within isolationTimeout, or if the context ends.
func (c *Controller) Isolate(
	ctx context.Context, u *chooser.Upstream, f quarantiner.Fingerprint,
) (release func(), granted bool) {
	request := &isolationRequest{upstream: u, fingerprint: f, reply: make(chan bool, 1)}
	c.loop.Post(func(now time.Time) { c.isolations.acquire(request, now) })
	release = func() { c.loop.Post(func(time.Time) { c.isolations.release(request) }) }
	timer := time.NewTimer(isolationTimeout)
	defer timer.Stop()
	select {
	case granted = <-request.reply:
	case <-timer.C:
		release() // the owner may have granted it in the meantime
	case <-ctx.Done():
		release()
	}
	if !granted {
		c.Counters.Count("isolations_denied_total")
		return func() {}, false
	}
	return release, true
}

func (i *isolations) acquire(r *isolationRequest, now time.Time) {
	if r.upstream.Owner() == i.c.Location.VM {
		r.reply <- i.owned.Acquire(r.upstream.ID(), r.fingerprint, now)
		return
	}
	i.sequence++
	r.sequence = i.sequence
	i.pending[r.sequence] = r.reply
	i.c.sender.Send(i.c.upstreams.addresses[r.upstream.Owner()],
		peer.IsolationWanted{Sequence: r.sequence, Upstream: r.upstream.ID(), Fingerprint: uint64(r.fingerprint)})
}

func (i *isolations) release(r *isolationRequest) {
	delete(i.pending, r.sequence)
	if r.upstream.Owner() == i.c.Location.VM {
		i.owned.Release(r.upstream.ID(), r.fingerprint)
		return
	}
	i.c.sender.Send(i.c.upstreams.addresses[r.upstream.Owner()],
		peer.IsolationEnded{Upstream: r.upstream.ID(), Fingerprint: uint64(r.fingerprint)})
}

func (i *isolations) receiveWanted(from peer.Sender, m peer.IsolationWanted, now time.Time) {
	granted := i.owned.Acquire(m.Upstream, quarantiner.Fingerprint(m.Fingerprint), now)
	i.c.sender.Send(from.Address, peer.IsolationAnswered{Sequence: m.Sequence, Granted: granted})
}

func (i *isolations) receiveAnswered(m peer.IsolationAnswered) {
	if reply, found := i.pending[m.Sequence]; found {
		delete(i.pending, m.Sequence)
		reply <- m.Granted
	}
}

func (i *isolations) receiveEnded(m peer.IsolationEnded) {
	i.owned.Release(m.Upstream, quarantiner.Fingerprint(m.Fingerprint))
}
