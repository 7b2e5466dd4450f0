// Package boottime reads the clock that goes on while the machine is suspended.
// The age of a permission counts on it, since the monotonic clock of the
// runtime stops during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
