// Package budgeter bounds retries and hedges to a share of the traffic, so
// that they can't feed an overload.
package budgeter

import "sync/atomic"

// scale is the number of budget units that one extra request costs.
const scale = 1000

// Budget allows a share of extra requests on top of the ordinary ones.
type Budget struct {
	share   int64
	most    int64
	balance atomic.Int64
}

// New returns a budget that allows a share of extra requests, and at most
// burst of them at once.
func New(share float64, burst int) *Budget {
	b := &Budget{share: int64(share * scale), most: int64(burst) * scale}
	b.balance.Store(b.most)
	return b
}

// Earn counts one ordinary request.
func (b *Budget) Earn() {
	for {
		old := b.balance.Load()
		earned := min(old+b.share, b.most)
		if b.balance.CompareAndSwap(old, earned) {
			return
		}
	}
}

// Spend takes one extra request from the budget, or returns false.
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
