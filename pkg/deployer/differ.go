package deployer

import (
	"bytes"
	"slices"
)

// Diff returns the lines that differ between two printed documents, each with
// its sign; lines that both have are left out.
func Diff(older, newer []byte) []byte {
	a, b := lines(older), lines(newer)
	var out bytes.Buffer
	for _, step := range commonLines(a, b) {
		for _, line := range a[step.fromA:step.toA] {
			out.WriteString("-" + line)
		}
		for _, line := range b[step.fromB:step.toB] {
			out.WriteString("+" + line)
		}
	}
	return out.Bytes()
}

func lines(text []byte) []string {
	var out []string
	for line := range bytes.Lines(text) {
		out = append(out, string(line))
	}
	return out
}

// gap is a run of lines that two texts don't share.
type gap struct {
	fromA, toA, fromB, toB int
}

// commonLines returns the gaps between the lines of a longest common
// subsequence. Equal beginnings and ends are cut off first, so that a small
// change of a large document takes little time and memory.
func commonLines(a, b []string) []gap {
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	end := 0
	for end < len(a)-start && end < len(b)-start && a[len(a)-1-end] == b[len(b)-1-end] {
		end++
	}
	midA, midB := a[start:len(a)-end], b[start:len(b)-end]
	lengths := subsequenceLengths(midA, midB)
	var gaps []gap
	i, j := 0, 0
	for i < len(midA) || j < len(midB) {
		g := gap{fromA: start + i, fromB: start + j}
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
		g.toA, g.toB = start+i, start+j
		gaps = append(gaps, g)
		for i < len(midA) && j < len(midB) && midA[i] == midB[j] {
			i++
			j++
		}
	}
	return slices.DeleteFunc(gaps, func(g gap) bool { return g.fromA == g.toA && g.fromB == g.toB })
}

func subsequenceLengths(a, b []string) [][]int32 {
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
