package crashanalyzer

import "github.com/cespare/xxhash/v2"

// Trait is a hash of something that requests may have in common.
type Trait uint64

// Seeds that keep the traits of parts and of whole requests apart.
const (
	partSeed    = 1
	requestSeed = 2
)

// TraitsOf returns the traits of a request: each shared part of its prompt, and last the
// whole request by its host, URI, parts and body, so that repeats of it are recognized.
// Requests may differ in the prompt alone.
func TraitsOf(host, uri string, body []byte, sharedParts []string) []Trait {
	traits := make([]Trait, 0, len(sharedParts)+1)
	for _, part := range sharedParts[:min(len(sharedParts), maxTraits-1)] {
		traits = append(traits, digest(partSeed, nil, part))
	}
	return append(traits, digest(requestSeed, body, append([]string{host, uri}, sharedParts...)...))
}

func digest(seed uint64, body []byte, lines ...string) Trait {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	for _, line := range lines {
		_, _ = d.WriteString(line)
		_, _ = d.WriteString("\n")
	}
	_, _ = d.Write(body) // writes to a digest never fail
	return Trait(d.Sum64())
}

// set is a set of small values.
type set[T comparable] map[T]struct{}

func (s set[T]) add(value T) { s[value] = struct{}{} }

func (s set[T]) has(value T) bool {
	_, found := s[value]
	return found
}
