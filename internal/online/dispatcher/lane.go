package dispatcher

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/tracker"
	"github.com/fescuespindle/fescuespindle/internal/online/admitter"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
)

// Lane is what the requests of one model or service share on a VM. It outlives
// the pools that configuration and membership put into it.
type Lane struct {
	name     string
	pool     atomic.Pointer[chooser.Pool]
	queue    *admitter.Queue
	first    *tracker.Latency
	prefixes *tracker.Prefixes

	mu        sync.Mutex
	responses map[*Response]struct{}
}

// NewLane returns a lane with an empty pool.
func NewLane(name string, now func() time.Time) *Lane {
	l := &Lane{
		name: name, first: tracker.NewLatency(), prefixes: tracker.NewPrefixes(), responses: map[*Response]struct{}{},
	}
	l.pool.Store(chooser.NewPool(nil))
	l.queue = admitter.New(l.hasRoom, now)
	return l
}

// Name returns the name of the model or service.
func (l *Lane) Name() string { return l.name }

// Pool returns the upstreams in force.
func (l *Lane) Pool() *chooser.Pool { return l.pool.Load() }

// SetPool replaces the upstreams.
func (l *Lane) SetPool(pool *chooser.Pool) {
	l.pool.Store(pool)
	l.queue.AdmitAfterRemoteChange()
}

// Queue returns the line in which requests wait for room.
func (l *Lane) Queue() *admitter.Queue { return l.queue }

// hasRoom tells whether the pool can take one more request.
func (l *Lane) hasRoom(need chooser.CapacityQuery) bool {
	return l.Pool().HasCapacity(need, time.Now())
}

func (l *Lane) track(r *Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responses[r] = struct{}{}
}

func (l *Lane) untrack(r *Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.responses, r)
}

// newestOf returns the answer of a caller that began last and may be paused, or
// nil. Those on upstreams that are over full are the last choice, as the place
// of one of them would not be free.
func (l *Lane) newestOf(caller string) *Response {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *Response
	var bestPause pauseChoice
	for r := range l.responses {
		if choice, ok := r.pausable(caller); ok && (best == nil || choice.before(bestPause)) {
			best, bestPause = r, choice
		}
	}
	return best
}
