package quotateller

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time of a clock that, other than the process's own, goes on while the VM is
// suspended, so that tokens are filled and leases end meanwhile. It has no relation to the time of day.
func sinceBoot() time.Time {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return time.Now()
	}
	return time.Unix(at.Unix())
}
