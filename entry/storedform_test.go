package entry

import (
	"testing"

	"github.com/currantthread/currantthread/internal/storedform"
)

// Daemons of different builds must read each other's rows. A field that is renamed without keeping its JSON tag would
// be silently lost.
func TestStoredFormOfRows(t *testing.T) {
	storedform.Check[claimRow](t, "claim.json")
	storedform.Check[refusalBody](t, "refusal.json")
}
