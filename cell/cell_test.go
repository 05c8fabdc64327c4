package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
)

var big = job.Resources{CPUMilli: 4000, MemoryMiB: 1000}

// Guards against work that is accepted and never placed, started or recorded as finished.
func TestTasksRunToCompletion(t *testing.T) {
	runWorld(t, layout{domains: 2, nodes: 2, workers: 2, capacity: big}, func(w *world) {
		w.submit("j1", 20, 5*time.Second, nil)
		w.eventually("all tasks complete", time.Minute, func() bool { return w.done(ledger.OutcomeCompleted) == 20 })
		assert.Equal(t, w.history.starts(), 20)
	})
}
