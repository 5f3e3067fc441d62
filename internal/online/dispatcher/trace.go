package dispatcher

import (
	"fmt"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/chooser"
)

// maxTraces is the number of recent requests whose decisions are kept.
const maxTraces = 512

// Trace holds the decisions made for one request.
type Trace struct {
	mu         sync.Mutex
	id         string
	caller     string
	target     string
	receivedAt time.Time
	steps      []string
}

// TraceText is the JSON form of a Trace, which operators request.
type TraceText struct {
	ID     string    `json:"id"`
	Caller string    `json:"caller"`
	Target string    `json:"target"`
	At     time.Time `json:"at"`
	Steps  []string  `json:"steps"`
}

func newTrace(r Request, lane string) *Trace {
	return &Trace{id: r.ID, caller: r.Caller, target: lane, receivedAt: time.Now()}
}

func (t *Trace) add(step string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steps = append(t.steps, step)
}

// addChoice adds the choice of an upstream and the state that it was based on.
func (t *Trace) addChoice(pool *chooser.Pool, c chooser.Choice) {
	u := c.Upstream
	t.add(fmt.Sprintf("chose %s in %s (%s): reason %s, online %d of %d, batch %d, slowness %.1f",
		u.ID(), u.Domain(), u.Tier(), c.Reason, u.Gauge().OnlineTotal(), u.Sequences(), u.Gauge().Batch(),
		pool.Slowness(u, time.Now())))
}

func (t *Trace) snapshot() TraceText {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TraceText{
		ID: t.id, Caller: t.caller, Target: t.target, At: t.receivedAt,
		Steps: append([]string(nil), t.steps...),
	}
}

// traceLog is a ring buffer with the traces of the last maxTraces requests.
type traceLog struct {
	mu   sync.Mutex
	ring [maxTraces]*Trace
	next int
}

func newTraceLog() *traceLog { return &traceLog{} }

func (l *traceLog) record(t *Trace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next] = t
	l.next = (l.next + 1) % maxTraces
}

// Trace returns the decisions made for a recent request, or false if it is not among
// the last maxTraces that have been answered or rejected.
func (d *Dispatcher) Trace(id string) (TraceText, bool) {
	d.traces.mu.Lock()
	defer d.traces.mu.Unlock()
	for _, t := range d.traces.ring {
		if t != nil && t.id == id {
			return t.snapshot(), true
		}
	}
	return TraceText{}, false
}
