package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/placement"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// fullCell returns a cell whose runners are full of long-running tasks, and a number of jobs of which a number of tasks wait for a place to
// restart.
func fullCell(t testing.TB, runners, jobs, waiting int) *stuckCell {
	t.Helper()
	s := newStuckCell(t)
	s.cfg.Regions = map[string]string{}
	for i := range runners {
		id := fmt.Sprintf("x%03d", i)
		s.runners[id] = &runnerState{info: runner.Info{ID: id, Service: "kioscos", Capacity: workload.Resources{CPU: 64_000, MemoryMB: 256_000}},
			present: true, synced: true, lastResponseAt: s.now, bornSeenAt: s.now.Add(-time.Second), runs: map[*run]bool{},
			candidate: placement.Candidate{ID: id, Slowdown: 1}}
	}
	delete(s.runners, "r0")
	s.ready = nil
	step := workload.Step{Count: runners * 4, LongRunning: true, Estimated: time.Second, Resources: workload.Resources{CPU: 15_000, MemoryMB: 20_000}}
	for i, u := range s.add(step) {
		s.attach(&run{unit: u, number: 1, runner: s.runners[fmt.Sprintf("x%03d", i/4)], startedAt: s.now, phase: runRunning, speed: fullSpeed})
	}
	step.Count = waiting
	for range jobs {
		for _, u := range s.add(step) {
			u.run = 1
			s.makeReady(u)
		}
	}
	return s
}

// add accepts a job with one step, of which no task is ready.
func (s *stuckCell) add(step workload.Step) []*unit {
	ready := s.ready
	job := &workload.Job{ID: fmt.Sprintf("%016x", len(s.jobs)+2), Steps: []workload.Step{step}, Occurrences: 1, AcceptedAt: s.now,
		Policy: workload.Policy{Queue: "q", Service: "kioscos", MaxAttempts: 3, Stretch: 2}}
	s.accept(s.now, job)
	s.ready = ready
	units := s.jobs[job.ID].occs[0].steps[0].units
	for _, u := range units {
		u.phase = phaseActive
	}
	return units
}

// Each plan looked for a runner for each of the tasks that waited in a full cell, which took all processor time of the owner's VM: commits and
// starts became ten times slower (kioscos-reserva-grown takeover-reading-late, seed 949179925753).
func TestPlanTriesEachStepOnceInAFullCell(t *testing.T) {
	s := fullCell(t, 145, 1, 80)
	s.plan(t.Context(), s.now)
	assert.Equal(t, testutil.ToFloat64(s.metrics.placements), 1.0)
	// A place that becomes free is used at once.
	for r := range s.runners["x007"].runs {
		s.detach(r)
		break
	}
	s.plan(t.Context(), s.now)
	assert.Equal(t, len(s.runners["x007"].runs), 4)
	assert.Equal(t, testutil.ToFloat64(s.metrics.placements), 3.0)
}

func BenchmarkPlanOfAFullCell(b *testing.B) {
	for _, waiting := range []struct{ jobs, tasks int }{{1, 10}, {1, 80}, {40, 2}} {
		b.Run(fmt.Sprintf("jobs=%d/tasks=%d", waiting.jobs, waiting.tasks), func(b *testing.B) {
			s := fullCell(b, 145, waiting.jobs, waiting.tasks)
			for b.Loop() {
				s.plan(b.Context(), s.now)
			}
		})
	}
}
