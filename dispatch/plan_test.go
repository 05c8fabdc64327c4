package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/workload"
)

// runOf returns a run of a job with one step.
func runOf(step workload.Step) *run {
	j := newJobState(&workload.Job{ID: "1", Steps: []workload.Step{step}, Occurrences: 1})
	return &run{unit: j.newOccurrence(0).steps[0].units[0], speed: fullSpeed}
}

// Serving tasks that use less than half of what they commit must not keep best-effort tasks away. With a fixed use of
// 0.6, 48 of 66 runners of kioscos-reserva quiet-1 appeared too busy for one more.
func TestUsedCPUFollowsLearnedLoad(t *testing.T) {
	serving := workload.Step{Count: 1, Resources: workload.Resources{CPU: 10_000}, LongRunning: true, Image: "s", LatencyTarget: 50 * time.Millisecond}
	now := time.Now()
	model := interference.NewPressure()
	model.Observe(now, "s", 10, nil, &interference.Load{})

	light := runOf(serving)
	model.Observe(now, "s", 12.5, nil, &light.unit.stepState().load) // 10 / (1 - 0.2)
	assert.Equal(t, usedCPU(now, light), int64((0.2+servingMargin)*10_000))

	heavy := runOf(serving)
	model.Observe(now, "s", 40, nil, &heavy.unit.stepState().load) // 10 / (1 - 0.75)
	assert.Equal(t, usedCPU(now, heavy), int64((0.75+servingMargin)*10_000))

	paced := runOf(workload.Step{Count: 1, Resources: workload.Resources{CPU: 10_000}, BestEffort: true})
	paced.speed = 40
	assert.Equal(t, usedCPU(now, paced), int64(4_000))

	assert.Equal(t, usedCPU(now, runOf(workload.Step{Count: 1, Resources: workload.Resources{CPU: 10_000}})), int64(10_000))
}
