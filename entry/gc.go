package entry

import (
	"os"
	"runtime/debug"

	"github.com/currantthread/currantthread/clientlimit"
)

// gcPercent lets the heap grow to five times the live heap. An entry daemon has a few MB of live heap and allocates
// tens of MB per second. With Go's default it collects about 27 times a second at 2,000 requests/s, which delays
// requests.
const gcPercent = 400

// TuneGC configures the garbage collector for a process that serves requests on a VM with the given memory in MB; 0 is unknown. The
// environment variables GOGC and GOMEMLIMIT take precedence.
func TuneGC(memoryMB int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if memoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(clientlimit.RuntimeLimit(memoryMB))
	}
}
