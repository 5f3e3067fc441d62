// Package weigher orders names by rendezvous hashing: the order for a key is the
// same on every VM, differs between keys, and keeps the relative order of the other
// names when a name is added or removed.
package weigher

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the hash by which Order sorts a name for a key, lowest first.
func Weight(key, name string) uint64 { return xxhash.Sum64String(key + "/" + name) }

// First returns the first n names in the order for a key, or all if there are fewer. It is
// faster than Order if n is small.
func First(key string, names []string, n int) []string {
	first := make([]string, 0, n+1)
	weights := make([]uint64, 0, n+1)
	for _, name := range names {
		weight := Weight(key, name)
		at, _ := slices.BinarySearch(weights, weight)
		if at >= n {
			continue
		}
		first, weights = slices.Insert(first, at, name), slices.Insert(weights, at, weight)
		if len(first) > n {
			first, weights = first[:n], weights[:n]
		}
	}
	return first
}

// Order returns a copy of names in the order for a key.
func Order(key string, names []string) []string {
	type weightedName struct {
		name   string
		weight uint64
	}
	all := make([]weightedName, 0, len(names))
	for _, name := range names {
		all = append(all, weightedName{name: name, weight: Weight(key, name)})
	}
	slices.SortFunc(all, func(a, b weightedName) int { return cmp.Compare(a.weight, b.weight) })
	ordered := make([]string, 0, len(all))
	for _, w := range all {
		ordered = append(ordered, w.name)
	}
	return ordered
}
