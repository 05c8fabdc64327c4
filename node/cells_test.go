package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
)

// After a takeover, tasks on runners that were cut off from service discovery only were lost, and recovered tasks waited for
// these runners: the new owner did not know their addresses.
func TestAddressOfUnlistedRunnerIsKnown(t *testing.T) {
	n, _ := testNode(t, 1)
	info := runner.Info{ID: "i-1", Addr: "10.0.0.1:8000"}
	n.assignmentsChanged([]store.Row{
		rosterRow(1, info.ID, encodeAssignment(firstCell, info.Addr)), rosterRow(1, "i-2", firstCell),
	})
	byID := map[string]runner.Info{}
	for _, i := range n.runnersOf(firstCell) {
		byID[i.ID] = i
	}
	assert.DeepEqual(t, byID, map[string]runner.Info{"i-1": info, "i-2": {ID: "i-2"}})
	deleted := rosterRow(2, info.ID, "")
	deleted.Deleted = true
	n.assignmentsChanged([]store.Row{deleted})
	chosen := n.chooseCells()
	assert.Equal(t, len(chosen), 1)
	assert.Equal(t, chosen[0], assignment{info.ID, "c0 10.0.0.1:8000"})
}
