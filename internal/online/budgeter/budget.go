// Package budgeter limits retries and hedges to a share of the traffic, so that they
// cannot amplify an overload.
package budgeter

import "sync/atomic"

// scale is the cost of one extra request in units of the balance.
const scale = 1000

// Budget allows extra requests in proportion to ordinary ones.
type Budget struct {
	earnedPerRequest int64
	maxBalance       int64
	balance          atomic.Int64
}

// New returns a budget that allows a share of extra requests, and at most burst of
// them at once.
func New(share float64, burst int) *Budget {
	b := &Budget{earnedPerRequest: int64(share * scale), maxBalance: int64(burst) * scale}
	b.balance.Store(b.maxBalance)
	return b
}

// Earn credits the budget for one ordinary request.
func (b *Budget) Earn() {
	for {
		old := b.balance.Load()
		earned := min(old+b.earnedPerRequest, b.maxBalance)
		if b.balance.CompareAndSwap(old, earned) {
			return
		}
	}
}

// Spend charges the budget for one extra request, or returns false if it is exhausted.
func (b *Budget) Spend() bool {
	for {
		old := b.balance.Load()
		if old < scale {
			return false
		}
		if b.balance.CompareAndSwap(old, old-scale) {
			return true
		}
	}
}
