//go:build !linux

package clock

import "time"

// bootTime returns 0: only Linux has a clock that counts suspensions in the same way.
func bootTime() time.Duration { return 0 }
