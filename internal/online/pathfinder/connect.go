package pathfinder

import (
	"context"
	"net"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
)

const (
	// connectTimeout bounds a dial for another VM, which asks the next one meanwhile.
	connectTimeout = 300 * time.Millisecond
	// maxControls is the number of other upstreams that are tried to find out whether it is this
	// VM that is cut off. They are tried when the dial has failed or taken controlDelay.
	maxControls  = 5
	controlDelay = 100 * time.Millisecond
)

var _ tunneler.Connector = (*Finder)(nil)

// Connect implements tunneler.Connector. It uses this VM's own links only.
func (f *Finder) Connect(ctx context.Context, upstream string) (net.Conn, error) {
	f.mu.Lock()
	address, listed := f.addresses[upstream]
	f.mu.Unlock()
	switch {
	case !listed:
		return nil, tunneler.ErrUnlisted
	case f.links.IsLost(address), f.links.IsCutOff(time.Now()):
		return nil, tunneler.ErrNoLink
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	outcomes := make(chan outcome, 1)
	f.spawn(func() { outcomes <- f.dialDirect(address) })
	first, pending, err := f.awaitHeadStart(ctx, outcomes, controlDelay)
	switch {
	case err != nil:
		return nil, tunneler.ErrUnanswered // the other VM has left
	case first.conn != nil:
		return first.conn, nil
	}
	reached := f.dialOthers(ctx, address, began)
	if pending > 0 {
		first.conn, first.err = f.await(ctx, outcomes, pending, nil, true)
	}
	switch {
	case first.err == nil:
		return first.conn, nil
	case !<-reached:
		return nil, tunneler.ErrNoLink
	case isRefusal(first.err):
		return nil, tunneler.ErrRefused
	default:
		return nil, tunneler.ErrUnanswered
	}
}

// dialOthers finds out whether this VM's links work, by a dial to another upstream since a time.
// Without that, a VM that is cut off would take a sound upstream for one that has ended.
func (f *Finder) dialOthers(ctx context.Context, except string, since time.Time) (reached chan bool) {
	reached = make(chan bool, 1)
	controls := f.controls(except)
	if len(controls) == 0 || f.links.SucceededSince(since) { // without others, nothing speaks against its links
		reached <- true
		return reached
	}
	outcomes := make(chan outcome, maxControls)
	for _, address := range controls {
		f.spawn(func() { outcomes <- f.dialDirect(address) })
	}
	f.spawn(func() {
		conn, _ := f.await(ctx, outcomes, len(controls), nil, true)
		if conn != nil {
			_ = conn.Close()
		}
		reached <- conn != nil
	})
	return reached
}

// controls returns other upstreams to try.
func (f *Finder) controls(except string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var chosen []string
	for address := range f.ids { // in random order
		if address != except && len(chosen) < maxControls {
			chosen = append(chosen, address)
		}
	}
	return chosen
}
