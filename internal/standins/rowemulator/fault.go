package rowemulator

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// lateDelay is the time after which a late transaction takes effect.
const lateDelay = 5 * time.Second

// Faults configures random faults of calls. Shares are between 0 and 1.
type Faults struct {
	// Delay is added to every call.
	Delay time.Duration
	// RejectedShare of the transactions are not executed and return ErrNotDone.
	RejectedShare float64
	// LateShare of the transactions return ErrInDoubt and are executed later, if their
	// conditions still hold then.
	LateShare float64
	// LostResponseShare of the transactions are executed and return ErrInDoubt.
	LostResponseShare float64
}

// SetDown makes the store reject every call, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetRandomFaults sets a fault function that draws the faults of each call from a
// seeded random source.
func (s *Store) SetRandomFaults(seed uint64, faults Faults) {
	random := rand.New(rand.NewPCG(seed, seed))
	var mu sync.Mutex
	draw := func(share float64) bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < share
	}
	s.SetFaultFunc(func(c Call) (bool, error) {
		time.Sleep(faults.Delay)
		if !c.Write || c.Object != "" {
			return true, nil
		}
		rejected, late, lost := draw(faults.RejectedShare), draw(faults.LateShare), draw(faults.LostResponseShare)
		switch {
		case rejected:
			return false, rowstore.ErrNotDone
		case late:
			time.AfterFunc(lateDelay, func() { _, _ = s.Apply(c.Tx) }) // its conditions may fail by then
			return false, rowstore.ErrInDoubt
		case lost:
			return true, rowstore.ErrInDoubt
		default:
			return true, nil
		}
	})
}
