package ownership

import (
	"testing"

	"github.com/currantthread/currantthread/internal/storedform"
)

// Guards against nodes of two builds that do not read the rows of each other: a field that is renamed without its tag
// is lost without an error.
func TestStoredFormOfRows(t *testing.T) {
	storedform.Check[Beat](t, "node.json")
}
