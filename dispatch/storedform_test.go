package dispatch

import (
	"testing"

	"github.com/currantthread/currantthread/internal/storedform"
	"github.com/currantthread/currantthread/workload"
)

// Nodes of different builds must read each other's rows. A field that is renamed without its tag is lost without an
// error.
func TestStoredFormOfRows(t *testing.T) {
	storedform.Check[Ownership](t, "ownership.json")
	storedform.Check[Ownership](t, "ownership_closed.json")
	storedform.Check[workload.Job](t, "job.json")
	storedform.Check[progress](t, "progress.json")
	storedform.Check[progress](t, "progress_compact.json")
}
