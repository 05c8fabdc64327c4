package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the VM was booted, including suspensions, or 0 if it can't be read.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
