// Package clock measures time that the steady clock does not count.
package clock

import "time"

var (
	startedAt       = time.Now()
	bootTimeAtStart = bootTime()
)

// Suspended returns for how long the VM has been suspended since the process started, to within the time between two readings
// of a clock. It is 0 if the operating system does not tell.
func Suspended() time.Duration {
	boot := bootTime()
	if boot == 0 || bootTimeAtStart == 0 {
		return 0
	}
	return max(boot-bootTimeAtStart-time.Since(startedAt), 0)
}
