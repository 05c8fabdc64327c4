package control

import (
	"testing"

	"github.com/currantthread/currantthread/internal/storedform"
)

// Daemons of different builds must read each other's rows. A field that is renamed without a tag for its old name is
// silently lost on decoding.
func TestStoredFormOfRows(t *testing.T) {
	storedform.Check[Head](t, "head.json")
	storedform.Check[Manifest](t, "manifest.json")
	storedform.Check[JobStatus](t, "job_status.json")
}
