package rowemulator

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// lateness is how long a late transaction is on its way.
const lateness = 5 * time.Second

// Faults are what goes wrong with calls. Shares are between 0 and 1.
type Faults struct {
	// Delay is added to every call.
	Delay time.Duration
	// RejectedShare of the transactions are not done.
	RejectedShare float64
	// LateShare of the transactions take effect long after their answer was
	// given up, if their conditions still hold then.
	LateShare float64
	// LostResponseShare of the transactions take effect, and their answers are lost.
	LostResponseShare float64
}

// SetDown takes the store down, so that it refuses every call, or brings it back.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetRandomFaults replaces the fault in force by one that draws from a seed.
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
		refused, late, lost := draw(faults.RejectedShare), draw(faults.LateShare), draw(faults.LostResponseShare)
		switch {
		case refused:
			return false, rowstore.ErrNotDone
		case late:
			time.AfterFunc(lateness, func() { _, _ = s.Apply(c.Tx) }) // conditions decide whether it still takes effect
			return false, rowstore.ErrInDoubt
		case lost:
			return true, rowstore.ErrInDoubt
		default:
			return true, nil
		}
	})
}
