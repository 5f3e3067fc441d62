package deployer

import (
	"bytes"
	"slices"
)

// Diff returns the lines that differ between two printed documents, removed lines with the
// prefix - and added ones with +. It omits lines that are common to both.
func Diff(older, newer []byte) []byte {
	a, b := splitLines(older), splitLines(newer)
	var out bytes.Buffer
	for _, h := range differingHunks(a, b) {
		for _, line := range a[h.fromA:h.toA] {
			out.WriteString("-" + line)
		}
		for _, line := range b[h.fromB:h.toB] {
			out.WriteString("+" + line)
		}
	}
	return out.Bytes()
}

// splitLines splits a text into lines that keep their line ends.
func splitLines(text []byte) []string {
	var out []string
	for line := range bytes.Lines(text) {
		out = append(out, string(line))
	}
	return out
}

// hunk is a range of lines in each of two texts, a and b, that differs between them. The end
// of each range is exclusive.
type hunk struct {
	fromA, toA, fromB, toB int
}

// differingHunks returns the hunks between the lines of a longest common subsequence.
// It strips common prefixes and suffixes first, since time and memory are proportional to the
// product of the numbers of remaining lines.
func differingHunks(a, b []string) []hunk {
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	end := 0
	for end < len(a)-start && end < len(b)-start && a[len(a)-1-end] == b[len(b)-1-end] {
		end++
	}
	midA, midB := a[start:len(a)-end], b[start:len(b)-end]
	lengths := commonSubsequenceLengths(midA, midB)
	var hunks []hunk
	i, j := 0, 0
	for i < len(midA) || j < len(midB) {
		h := hunk{fromA: start + i, fromB: start + j}
		for i < len(midA) || j < len(midB) {
			if i < len(midA) && j < len(midB) && midA[i] == midB[j] {
				break
			}
			if j >= len(midB) || (i < len(midA) && lengths[i+1][j] >= lengths[i][j+1]) {
				i++
			} else {
				j++
			}
		}
		h.toA, h.toB = start+i, start+j
		hunks = append(hunks, h)
		for i < len(midA) && j < len(midB) && midA[i] == midB[j] {
			i++
			j++
		}
	}
	return slices.DeleteFunc(hunks, func(h hunk) bool { return h.fromA == h.toA && h.fromB == h.toB })
}

// commonSubsequenceLengths returns a matrix whose element [i][j] is the length of a longest
// common subsequence of a[i:] and b[j:].
func commonSubsequenceLengths(a, b []string) [][]int32 {
	lengths := make([][]int32, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}
