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

// Answers the pattern "a crowd of tasks that fill beside serving tasks which use less than half of what they commit":
// with a fixed share of 0.6, 48 of 66 runners of kioscos-reserva quiet-1 looked too busy for one more.
func TestUsedCPUFollowsLearnedLoad(t *testing.T) {
	serving := workload.Step{Count: 1, Resources: workload.Resources{CPU: 10_000}, LongRunning: true, Image: "s", LatencyTarget: 50 * time.Millisecond}
	now := time.Now()
	model := interference.NewPressure()
	model.Observe(now, "s", 10, nil, &interference.Load{})

	quiet := runOf(serving)
	model.Observe(now, "s", 12.5, nil, &quiet.unit.stepState().load) // 10 / (1 - 0.2)
	assert.Equal(t, usedCPU(now, quiet), int64((0.2+servingMargin)*10_000))

	busy := runOf(serving)
	model.Observe(now, "s", 40, nil, &busy.unit.stepState().load) // 10 / (1 - 0.75)
	assert.Equal(t, usedCPU(now, busy), int64((0.75+servingMargin)*10_000))

	paced := runOf(workload.Step{Count: 1, Resources: workload.Resources{CPU: 10_000}, Fills: true})
	paced.speed = 40
	assert.Equal(t, usedCPU(now, paced), int64(4_000))

	assert.Equal(t, usedCPU(now, runOf(workload.Step{Count: 1, Resources: workload.Resources{CPU: 10_000}})), int64(10_000))
}
