package pathfinder

import (
	"context"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/linkkeeper"
)

const (
	// checkInterval is the time between two rounds of checks of lost links.
	checkInterval = 400 * time.Millisecond
	// maxChecks bounds the links that are checked in one round, and maxChecksRestored those in a
	// round after a link was restored, as others are likely to be.
	maxChecks         = 8
	maxChecksRestored = 64
	// proofTime is how long a successful dial shows that this VM is not cut off as a whole.
	proofTime = time.Second
	// suspicionInterval is the least time between two checks of the same link on suspicion.
	suspicionInterval = time.Second
)

// wakeChecks makes Run check links.
func (f *Finder) wakeChecks() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run checks lost links without a request until the context ends, so that no caller pays for the
// attempt. While no link is lost it does nothing.
func (f *Finder) Run(ctx context.Context) {
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for f.checkRound(round) {
			round++
			select {
			case <-ctx.Done():
				return
			case <-time.After(checkInterval):
			}
		}
	}
}

// checkRound starts the checks of one round, and returns whether any link is lost.
func (f *Finder) checkRound(round int) bool {
	now := time.Now()
	due := f.links.Due(now)
	if len(due.Lost)+len(due.Unreachable) == 0 {
		return false
	}
	if !f.links.SucceededSince(now.Add(-proofTime)) {
		f.checkAnother(due)
	}
	limit := maxChecks
	if f.restored.Swap(false) {
		limit = maxChecksRestored
	}
	for _, address := range share(due.Lost, round, limit) {
		f.startCheck(address, f.checkLink)
	}
	for _, address := range share(due.Unreachable, round, limit) {
		f.startCheck(address, f.checkAllWays)
	}
	return true
}

// checkAnother checks the link to an upstream that is not known to be lost, so that a VM whose open
// connections to others work, and which therefore dials none of them, doesn't take itself for cut off.
func (f *Finder) checkAnother(due linkkeeper.Checks) {
	others := f.others(func(address string) bool {
		_, isLost := slices.BinarySearch(due.Lost, address)
		_, isUnreachable := slices.BinarySearch(due.Unreachable, address)
		return isLost || isUnreachable
	}, 1)
	for _, address := range others {
		f.startCheck(address, f.checkLink)
	}
}

// startCheck starts a check of an address unless one is running.
func (f *Finder) startCheck(address string, check func(address string)) {
	if !f.setChecking(address) {
		return
	}
	f.spawn(func() {
		defer f.endChecking(address)
		check(address)
	})
}

// setChecking returns false if the address is being checked.
func (f *Finder) setChecking(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checking[address] {
		return false
	}
	f.checking[address] = true
	return true
}

func (f *Finder) endChecking(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.checking, address)
}

// share returns the addresses of one round, up to a limit.
func share(addresses []string, round, limit int) []string {
	if len(addresses) <= limit {
		return addresses
	}
	chosen := make([]string, 0, limit)
	for n := range limit {
		chosen = append(chosen, addresses[(round*limit+n)%len(addresses)])
	}
	return chosen
}

// checkLink checks this VM's own link.
func (f *Finder) checkLink(address string) {
	if conn, err := f.dialDirect(address); err == nil {
		_ = conn.Close()
	}
}

// checkAllWays checks this VM's own link and whether a peer VM reaches the upstream. Both ways end by
// themselves; a timeout here would end the check before it has a verdict.
func (f *Finder) checkAllWays(address string) {
	if conn, err := f.dialEither(f.ctx, address, patience{headStart: headStart, awaitLink: true}); err == nil {
		_ = conn.Close()
	}
}

// Suspect checks the link to an address over which a request gets no answer, unless it was
// checked a moment ago. It doesn't block.
func (f *Finder) Suspect(address string) {
	now := time.Now()
	f.mu.Lock()
	_, listed := f.ids[address]
	due := listed && now.Sub(f.checkedAt[address]) >= suspicionInterval
	if due {
		f.checkedAt[address] = now
	}
	f.mu.Unlock()
	if due && f.ctx.Err() == nil && !f.links.IsLost(address) {
		f.counter.Count("links_suspected_total")
		f.startCheck(address, f.checkAllWays)
	}
}
