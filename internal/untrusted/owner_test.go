package untrusted

import (
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
)

// entryMB is the memory of a node that only hands jobs on to the owner of their cell.
const entryMB = 512

// TestOwnerOfHandedOnJobs guards against an owner that holds whatever other nodes hand on: their clients together have far more memory and
// connections than the VM of the owner.
func TestOwnerOfHandedOnJobs(t *testing.T) {
	d := newDeployment(t, usualLimits)
	owner := d.startNode("n-0", vm{memoryMB: memoryMB, maxFDs: fewFDs})
	entry := d.startNode("n-1", vm{memoryMB: entryMB, maxFDs: manyFDs})
	d.rows.SetFault(emulator.StoreSilent)
	entry.submitAll(0, largestJob())
	d.rows.SetFault(emulator.StoreWorks)
	owner.check()
	entry.check()
}

// TestHangingOwner guards against a node that holds whatever waits for the owner of a cell, and an owner that gets it all at once afterwards.
func TestHangingOwner(t *testing.T) {
	d := newDeployment(t, usualLimits)
	owner := d.startNode("n-0", vm{memoryMB: memoryMB, maxFDs: fewFDs})
	entry := d.startNode("n-1", vm{memoryMB: memoryMB, maxFDs: fewFDs})
	assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGSTOP))
	entry.submitAll(0, largestJob())
	assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGCONT))
	entry.submitAll(submitters, largestJob())
	entry.check()
	owner.check()
}
