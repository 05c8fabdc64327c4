package ownership

import (
	"testing"

	"github.com/currantthread/currantthread/internal/storedform"
)

// Rows keep their stored form, so that nodes of different builds can read each other's rows. A renamed JSON field would be
// dropped without an error.
func TestStoredFormOfRows(t *testing.T) {
	storedform.Check[Heartbeat](t, "node.json")
}
