package dispatch

import (
	"testing"

	"github.com/currantthread/currantthread/internal/storedform"
	"github.com/currantthread/currantthread/workload"
)

// Guards against nodes of two builds that do not read the rows of each other: a field that is renamed without its tag
// is lost without an error.
func TestStoredFormOfRows(t *testing.T) {
	storedform.Check[Ownership](t, "ownership.json")
	storedform.Check[workload.Job](t, "job.json")
	storedform.Check[progress](t, "progress.json")
}
