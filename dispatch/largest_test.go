package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/workload"
)

// Small tasks must leave places for larger ones that wait or come again shortly, and for nothing else.
func TestLargestWaitingTaskIsKnownToPlacement(t *testing.T) {
	small, large := workload.Resources{CPU: 1_800, MemoryMB: 100}, workload.Resources{CPU: 2_700, MemoryMB: 100}
	step := func(r workload.Resources) workload.Step {
		return workload.Step{Count: 2, Estimated: time.Second, Resources: r}
	}
	bestEffort, longRunning := step(small), step(small)
	bestEffort.BestEffort, longRunning.LongRunning = true, true
	for name, test := range map[string]struct {
		placed, waiting workload.Step
		later           time.Duration
		want            workload.Resources
	}{
		"a larger one waits":                  {step(small), step(large), 0, large},
		"it has started shortly before":       {step(small), step(large), largestKept - time.Millisecond, large},
		"it started long ago":                 {step(small), step(large), largestKept, workload.Resources{}},
		"the largest one itself":              {step(large), step(small), 0, workload.Resources{}},
		"one as large":                        {step(small), step(small), 0, workload.Resources{}},
		"a best-effort task commits nothing":  {bestEffort, step(large), 0, workload.Resources{}},
		"a long-running one is placed before": {longRunning, step(large), 0, workload.Resources{}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStuckCell(t)
			s.ready = nil
			u := s.add(test.placed)[0]
			for _, other := range s.add(test.waiting) {
				s.makeReady(other)
			}
			s.reserveForPassedOver(s.now, s.runnerViews(s.now))
			s.ready = nil
			s.plannedAt = s.now.Add(test.later)
			assert.Equal(t, s.placementRequest(u, nil).Large, test.want)
		})
	}
}
