package pathfinder

import (
	"context"
	"net"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/tunneler"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/racer"
)

const (
	// connectTimeout bounds a dial for another VM, which asks the next one meanwhile.
	connectTimeout = 200 * time.Millisecond
	// maxControls is the number of other upstreams that are tried to find out whether it is this
	// VM that is cut off, one after another.
	maxControls     = 5
	controlInterval = 20 * time.Millisecond
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
	reason := tunneler.ErrUnanswered
	conn, found := f.dialWithin(ctx, []string{address}, func(err error) {
		if isRefusal(err) {
			reason = tunneler.ErrRefused
		}
	})
	switch {
	case found:
		return conn, nil
	case ctx.Err() != nil:
		return nil, tunneler.ErrUnanswered // the other VM has left
	case !f.reachesOthers(ctx, address, began):
		return nil, tunneler.ErrNoLink
	default:
		return nil, reason
	}
}

// dialWithin dials addresses over this VM's own links, one after another, within connectTimeout. It
// returns the first connection.
func (f *Finder) dialWithin(ctx context.Context, addresses []string, onError func(err error)) (net.Conn, bool) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	attempts := make([]racer.Attempt[net.Conn], 0, len(addresses))
	for _, address := range addresses {
		attempts = append(attempts, func(context.Context) (net.Conn, error) { return f.dialDirect(address) })
	}
	return racer.First(ctx, f.spawn, controlInterval, attempts, func(err error) bool {
		onError(err)
		return false
	})
}

// reachesOthers returns whether this VM's links work, as a dial to another upstream since a time
// shows. Without that, a VM that is cut off would take a sound upstream for one that has ended.
func (f *Finder) reachesOthers(ctx context.Context, except string, since time.Time) bool {
	controls := f.others(func(address string) bool { return address == except }, maxControls)
	if len(controls) == 0 || f.links.SucceededSince(since) { // without others, nothing speaks against its links
		return true
	}
	conn, found := f.dialWithin(ctx, controls, func(error) {})
	if found {
		_ = conn.Close()
	}
	return found
}

// others returns some listed upstreams but those to skip, in random order.
func (f *Finder) others(skip func(address string) bool, limit int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var chosen []string
	for address := range f.ids {
		if len(chosen) < limit && !skip(address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}
