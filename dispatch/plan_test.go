package dispatch

import (
	"fmt"
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

// Sharing is for late best-effort tasks only: they wait for those that are in time, and other tasks keep their order.
func TestOrderOfReadyTasks(t *testing.T) {
	s := newStuckCell(t)
	s.ready = nil
	name := map[*unit]string{}
	// age is the age of a job as a multiple of the time that it is allowed.
	add := func(label string, age float64, bestEffort bool) {
		units := s.add(workload.Step{Count: 2, BestEffort: bestEffort, Estimated: time.Second, Resources: workload.Resources{CPU: 10_000}})
		j := units[0].job
		allowed := j.objective.Sub(j.def.AcceptedAt)
		j.def.AcceptedAt = s.now.Add(-time.Duration(age * float64(allowed)))
		j.objective = j.def.AcceptedAt.Add(allowed)
		for i, u := range units {
			name[u] = fmt.Sprintf("%s %d", label, i)
			s.makeReady(u)
		}
	}
	const inTime, late, tooLate = 0, 1.5, 100
	add("fill too late", tooLate, true)
	add("fill late", late, true)
	add("fill in time", inTime, true)
	add("task too late", tooLate, false)
	add("task late", late, false)
	add("task in time", inTime, false)
	s.sortReady(s.now)
	var order []string
	for _, u := range s.ready {
		order = append(order, name[u])
	}
	assert.DeepEqual(t, order, []string{"fill in time 0", "fill in time 1", "task in time 0", "task in time 1",
		"fill too late 0", "fill late 0", "task late 0", "task late 1", "fill late 1", "task too late 0", "task too late 1", "fill too late 1"})
}
