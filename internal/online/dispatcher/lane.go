package dispatcher

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/tracker"
	"github.com/fescuespindle/fescuespindle/internal/online/admitter"
	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
)

// Lane holds the state that the requests of one model or service share on a VM. It
// outlives its pool, which is replaced when configuration or membership changes.
type Lane struct {
	name       string
	pool       atomic.Pointer[chooser.Pool]
	queue      *admitter.Queue
	firstToken *tracker.Latency
	prefixes   *tracker.Prefixes

	mu        sync.Mutex
	responses map[*Response]struct{}
}

// NewLane returns a lane with an empty pool. The admission queue reads the time from
// now.
func NewLane(name string, now func() time.Time) *Lane {
	l := &Lane{
		name: name, firstToken: tracker.NewLatency(), prefixes: tracker.NewPrefixes(),
		responses: map[*Response]struct{}{},
	}
	l.pool.Store(chooser.NewPool(nil))
	l.queue = admitter.New(l.hasCapacity, now)
	return l
}

// Name returns the name of the model or service.
func (l *Lane) Name() string { return l.name }

// Pool returns the current pool of upstreams.
func (l *Lane) Pool() *chooser.Pool { return l.pool.Load() }

// SetPool replaces the pool, and admits the requests that the new one has capacity for.
func (l *Lane) SetPool(pool *chooser.Pool) {
	l.pool.Store(pool)
	l.queue.AdmitAfterRemoteChange()
}

// Queue returns the admission queue.
func (l *Lane) Queue() *admitter.Queue { return l.queue }

// hasCapacity reports whether the pool can run one more request.
func (l *Lane) hasCapacity(query chooser.CapacityQuery) bool {
	return l.Pool().HasCapacity(query, time.Now())
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

// newestPausable returns the caller's pausable response that began last, or nil. Those on
// upstreams with more requests than sequences come last, as pausing one frees no slot.
func (l *Lane) newestPausable(caller string) *Response {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *Response
	var bestCandidate pauseCandidate
	for r := range l.responses {
		if candidate, ok := r.pausable(caller); ok && (best == nil || candidate.preferredOver(bestCandidate)) {
			best, bestCandidate = r, candidate
		}
	}
	return best
}
