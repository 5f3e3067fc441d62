// Package propertychecker runs property tests with a fixed seed, so that repeated
// runs on a commit have the same result.
package propertychecker

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

const (
	seedFlag    = "rapid.seed"
	defaultSeed = "20261204"
	randomSeed  = "0" // rapid's default: a random seed
)

// Check checks a property with the project's seed, unless the command line has one
// other than 0, as in go test -rapid.seed=7.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if f := flag.Lookup(seedFlag); f != nil && f.Value.String() == randomSeed {
		if err := f.Value.Set(defaultSeed); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, property)
}
