package entry

import (
	"os"
	"runtime/debug"
)

// gcPercent lets the heap grow to five times what is live. An entry daemon keeps a few MB alive and allocates tens of MB a
// second, so that with Go's default it collects about 27 times a second at 2,000 requests/s, and requests wait meanwhile.
const gcPercent = 400

// TuneGC sets the garbage collector for a process that serves requests. The environment variable GOGC goes first.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
