package healthtracker

import (
	"iter"
	"maps"
)

// maxDraining bounds the number of upstreams in a DrainingSet.
const maxDraining = 2000

// DrainingSet holds the upstreams that have announced that they are draining, by
// process start. It is not safe for concurrent use.
type DrainingSet struct {
	processStarts map[string]int64 // by upstream
}

// NewDrainingSet returns an empty set.
func NewDrainingSet() *DrainingSet { return &DrainingSet{processStarts: map[string]int64{}} }

// Add adds a process of an upstream that is draining, and reports whether it was not
// known before. If the set is full, all other entries are discarded: an upstream
// repeats the announcement in its next answer.
func (s *DrainingSet) Add(id string, processStart int64) bool {
	if known, found := s.processStarts[id]; found && known >= processStart {
		return false
	}
	if len(s.processStarts) >= maxDraining {
		clear(s.processStarts)
	}
	s.processStarts[id] = processStart
	return true
}

// Has reports whether the process of an upstream is known to be draining. A process
// that started later is not.
func (s *DrainingSet) Has(id string, processStart int64) bool {
	known, found := s.processStarts[id]
	return found && known >= processStart
}

// All returns the upstreams and their process starts.
func (s *DrainingSet) All() iter.Seq2[string, int64] { return maps.All(s.processStarts) }
