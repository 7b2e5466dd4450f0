// Package boottime reads CLOCK_BOOTTIME, which keeps running while the machine
// is suspended. The age of the configuration that permits a key is measured with
// it, since Go's monotonic clock stops during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including time in suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
