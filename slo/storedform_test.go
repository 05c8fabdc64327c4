package slo

import (
	"testing"

	"github.com/currantthread/currantthread/internal/storedform"
)

// Nodes of different builds must be able to read each other's rows: a field that is renamed without its tag is lost
// without an error.
func TestStoredFormOfRows(t *testing.T) {
	storedform.Check[Export](t, "export.json")
	storedform.Check[Report](t, "report.json")
}
