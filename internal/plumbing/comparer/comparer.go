// Package comparer compares values for sorting that package cmp doesn't order.
package comparer

// Bool orders false before true.
func Bool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
