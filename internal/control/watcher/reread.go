package watcher

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultRereadInterval bounds the staleness that a stalled feed of changes causes.
	defaultRereadInterval = 8 * time.Second
	// maxRereadInterval bounds what WithRereadRate adds to the time between two reads.
	maxRereadInterval = time.Minute
	// urgentRereadInterval is the time between two reads of the whole table while newer
	// content is known to exist.
	urgentRereadInterval = 2 * time.Second
)

// rereads decides when the whole table is due to be read again. Only Run uses it.
type rereads struct {
	interval    func() time.Duration // shortest time between two reads
	rate        func() int           // bytes per second that reads may cost on average; 0 for any number
	newerExists func() bool
	resumes     bool // whether the feed of a long table is resumed after a failure

	lastAt time.Time // when the whole table was last read; zero if it must be read
	spread float64   // factor of the current interval, so that VMs don't read in step
	// urgentInterval doubles with each read that doesn't bring the newer content.
	urgentInterval time.Duration
}

func newRereads() rereads {
	return rereads{
		interval:    func() time.Duration { return defaultRereadInterval },
		rate:        func() int { return 0 },
		newerExists: func() bool { return false },
		spread:      1, urgentInterval: urgentRereadInterval,
	}
}

// WithReread sets a function that returns the shortest time between two reads of the whole table.
// It is called after each call for changes.
func WithReread(interval func() time.Duration) Option {
	return func(w *Watcher) { w.rereads.interval = interval }
}

// WithRereadRate sets a function that returns how many bytes per second the periodic reads of
// the whole table may cost. A long table is read less often than WithReread says, but at
// least every maxRereadInterval or so.
func WithRereadRate(rate func() int) Option {
	return func(w *Watcher) { w.rereads.rate = rate }
}

// WithNewer sets a function that returns whether newer content of the table is known to
// exist, so that the table is read again soon.
func WithNewer(exists func() bool) Option {
	return func(w *Watcher) { w.rereads.newerExists = exists }
}

// WithResume makes the feed of a long table go on where it was after a failure. Without it,
// the whole table is read after each failure, and the sink's Replace is called.
func WithResume() Option {
	return func(w *Watcher) { w.rereads.resumes = true }
}

// affordable returns the time between two reads of a table of some bytes that keeps to the
// rate.
func (r *rereads) affordable(bytes int) time.Duration {
	rate := r.rate()
	if rate <= 0 {
		return 0
	}
	seconds := float64(bytes) / float64(rate)
	return time.Duration(min(seconds, maxRereadInterval.Seconds()) * r.spread * float64(time.Second))
}

// isDue returns whether a table of some bytes must be read again.
func (r *rereads) isDue(bytes int) bool {
	interval := max(r.interval(), r.affordable(bytes))
	if r.newerExists() {
		interval = min(interval, r.urgentInterval)
	} else {
		r.urgentInterval = urgentRereadInterval
	}
	return time.Since(r.lastAt) >= interval
}

// canResume returns whether the feed of a table of some bytes goes on after a failure.
func (r *rereads) canResume(bytes int) bool {
	return r.resumes && !r.lastAt.IsZero() && r.affordable(bytes) > r.interval() && !r.isDue(bytes)
}

// record records that a table of some bytes has been read.
func (r *rereads) record(bytes int) {
	r.lastAt, r.spread = time.Now(), 1+rand.Float64()/8
	if r.newerExists() {
		r.urgentInterval = min(2*r.urgentInterval, max(urgentRereadInterval, r.affordable(bytes)))
	}
}

// demand makes a read due at once.
func (r *rereads) demand() { r.lastAt = time.Time{} }
