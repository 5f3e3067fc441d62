// Package processmeter reads what the environment allows the process.
package processmeter

import (
	"math"
	"runtime/debug"
	"syscall"
)

// MemoryLimit returns the soft memory limit of the Go runtime (GOMEMLIMIT) in bytes, or 0 if there is none.
func MemoryLimit() int64 {
	const unchanged = -1
	limit := debug.SetMemoryLimit(unchanged)
	if limit == math.MaxInt64 {
		return 0
	}
	return limit
}

// MaxDescriptors returns how many descriptors the process may have open, or 0 if that isn't known.
func MaxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
