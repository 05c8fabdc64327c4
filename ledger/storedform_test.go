package ledger

import (
	"testing"

	"github.com/currantthread/currantthread/internal/storedform"
	"github.com/currantthread/currantthread/job"
)

// Rows keep their stored form, so that nodes of different builds can read each other's rows. A renamed JSON field would be
// dropped without an error.
func TestStoredFormOfRows(t *testing.T) {
	storedform.Check[Owner](t, "owner.json")
	storedform.Check[Assignment](t, "assignment.json")
	storedform.Check[Done](t, "done.json")
	storedform.Check[Cancel](t, "cancel.json")
	storedform.Check[Domain](t, "domain.json")
	storedform.Check[job.Job](t, "job.json")
	storedform.Check[job.Task](t, "task.json")
}
