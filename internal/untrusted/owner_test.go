package untrusted

import (
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
)

const (
	// entryMB is the memory of a node that only hands jobs on to the owner of their cell.
	entryMB = 512
	// waitingRounds is how often all submitters submit jobs that wait for ever, and hand jobs on.
	waitingRounds = 4
)

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

// TestAllBudgets guards against budgets that are kept one by one but exceed the memory of the VM together: of clients, of jobs that wait, and of
// what other nodes hand on.
func TestAllBudgets(t *testing.T) {
	d := newDeployment(t, usualLimits)
	owner := d.startNode("n-0", vm{memoryMB: memoryMB, maxFDs: manyFDs})
	entry := d.startNode("n-1", vm{memoryMB: entryMB, maxFDs: manyFDs})
	for round := range waitingRounds {
		owner.submitAll(2*round*submitters, largestJob())
		owner.submitAll((2*round+1)*submitters, jobOf(manyTasks))
	}
	t.Logf("%d jobs accepted", owner.accepted())
	var handedOn sync.WaitGroup
	handedOn.Go(func() {
		for range waitingRounds {
			entry.submitAll(0, largestJob())
		}
	})
	owner.run(kind{"bodies in a row", sendBodiesInARow}, kinds["ShortLines"], kinds["PartialBodies"], kinds["UnusualLines"])
	handedOn.Wait()
	owner.check()
	entry.check()
}
