package gateway

import (
	"sync"
	"time"
)

// maxStartWait is how long after the start of a gateway requests wait until it opens: as long as a
// rejected caller may wait before its retry. If all VMs start at once, that would find no VM that
// is ready sooner.
const maxStartWait = retryAfterBase + retryAfterJitter

// startGate delays requests that arrive between the start of a gateway and its first
// configuration.
type startGate struct {
	opened   chan struct{}
	once     *sync.Once
	deadline time.Time // no request waits longer than this
}

func newStartGate() startGate {
	return startGate{opened: make(chan struct{}), once: &sync.Once{}, deadline: time.Now().Add(maxStartWait)}
}

// Open ends the wait of requests for the start. It may be called more than once.
func (g *Gateway) Open() {
	g.startGate.once.Do(func() { close(g.startGate.opened) })
}

// waitForStart delays requests that arrive right after the start until the gateway is
// open. A gateway that isn't open after maxStartWait won't be soon, because the store
// is unavailable, and no longer delays requests.
func (g *Gateway) waitForStart(next handler) handler {
	return func(x *exchange) {
		g.startGate.wait(x.r.Context().Done())
		next(x)
	}
}

// wait waits until the gateway opens, maxStartWait ends, or the caller disconnects.
func (g *startGate) wait(callerGone <-chan struct{}) {
	remaining := time.Until(g.deadline)
	if remaining <= 0 {
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-g.opened:
	case <-timer.C:
	case <-callerGone:
	}
}
