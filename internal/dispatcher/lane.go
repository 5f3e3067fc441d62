package dispatcher

import (
	"sync/atomic"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/admitter"
	"github.com/fescuespindle/fescuespindle/internal/chooser"
	"github.com/fescuespindle/fescuespindle/internal/tracker"
)

// Lane is what the requests of one model or service share on a VM. It outlives
// the pools that configuration and membership put into it.
type Lane struct {
	name     string
	pool     atomic.Pointer[chooser.Pool]
	queue    *admitter.Queue
	first    *tracker.Latency
	prefixes *tracker.Prefixes
}

// NewLane returns a lane with an empty pool.
func NewLane(name string, now func() time.Time) *Lane {
	l := &Lane{name: name, first: tracker.NewLatency(), prefixes: tracker.NewPrefixes()}
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
	l.queue.Poll()
}

// Queue returns the line in which requests wait for room.
func (l *Lane) Queue() *admitter.Queue { return l.queue }

// hasRoom tells whether the pool can take one more request.
func (l *Lane) hasRoom(need chooser.Need) bool { return l.Pool().HasRoom(need, time.Now()) }
