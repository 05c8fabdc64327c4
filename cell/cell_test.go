package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
)

var fourTaskCapacity = job.Resources{CPUMilli: 4000, MemoryMiB: 1000}

// Accepted tasks are placed, started once and recorded as completed.
func TestTasksRunToCompletion(t *testing.T) {
	runCluster(t, layout{domains: 2, nodes: 2, workers: 2, capacity: fourTaskCapacity}, func(cl *cluster) {
		cl.submit("j1", 20, 5*time.Second, nil)
		cl.waitUntil("all tasks complete", time.Minute, func() bool { return cl.done(ledger.OutcomeCompleted) == 20 })
		assert.Equal(t, cl.history.starts(), 20)
	})
}
