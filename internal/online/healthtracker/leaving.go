package healthtracker

import (
	"iter"
	"maps"
)

// maxLeft bounds the upstreams that are remembered.
const maxLeft = 2000

// DrainingSet keeps which upstreams have said that they are about to leave, by the
// start of their processes. It is not safe for use by several goroutines at once.
type DrainingSet struct {
	born map[string]int64 // by upstream
}

// NewDrainingSet returns a keeper that knows of none.
func NewDrainingSet() *DrainingSet { return &DrainingSet{born: map[string]int64{}} }

// Add notes that a process of an upstream leaves, and returns whether that is
// news. When too many are remembered, all are forgotten but the newest: an upstream
// says it again in its next answer.
func (l *DrainingSet) Add(id string, born int64) bool {
	if known, found := l.born[id]; found && known >= born {
		return false
	}
	if len(l.born) >= maxLeft {
		clear(l.born)
	}
	l.born[id] = born
	return true
}

// Has tells whether the process of an upstream is known to leave. One that was
// started later is not.
func (l *DrainingSet) Has(id string, born int64) bool {
	known, found := l.born[id]
	return found && known >= born
}

// All returns the upstreams and the start of their processes.
func (l *DrainingSet) All() iter.Seq2[string, int64] { return maps.All(l.born) }
