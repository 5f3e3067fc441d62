// Package propertychecker runs property tests with a fixed seed, so that a
// commit gets the same verdict on every run.
package propertychecker

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

const (
	seedFlag    = "rapid.seed"
	defaultSeed = "20261204"
	randomSeed  = "0"
)

// Check checks a property with the project's seed. A seed on the command line,
// as in go test -rapid.seed=7, goes before it.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if f := flag.Lookup(seedFlag); f != nil && f.Value.String() == randomSeed {
		if err := f.Value.Set(defaultSeed); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, property)
}
