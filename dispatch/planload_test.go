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

// fullCell returns a cell whose runners are full of long-running tasks, and a number of restarts that wait for a place.
func fullCell(t testing.TB, runners, waiting int) *stuckCell {
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
	job := &workload.Job{ID: "0000000000000002", Steps: []workload.Step{{Count: runners*4 + waiting, LongRunning: true, Estimated: time.Second,
		Resources: workload.Resources{CPU: 15_000, MemoryMB: 20_000}}}, Occurrences: 1, AcceptedAt: s.now,
		Policy: workload.Policy{Queue: "q", Service: "kioscos", MaxAttempts: 3, Stretch: 2}}
	s.accept(s.now, job)
	s.ready = nil
	units := s.jobs[job.ID].occs[0].steps[0].units
	for i, u := range units {
		u.run = 1
		if i < runners*4 {
			u.phase = phaseActive
			s.attach(&run{unit: u, number: 1, runner: s.runners[fmt.Sprintf("x%03d", i/4)], startedAt: s.now, phase: runRunning, speed: fullSpeed})
		} else {
			s.makeReady(u)
		}
	}
	return s
}

// Each plan looked for a runner for each of the tasks that waited in a full cell, which took all processor time of the owner's VM: commits and
// starts became ten times slower (kioscos-reserva-grown takeover-reading-late, seed 949179925753).
func TestPlanTriesEachStepOnceInAFullCell(t *testing.T) {
	s := fullCell(t, 145, 80)
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
	for _, waiting := range []int{0, 10, 40, 80} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			s := fullCell(b, 145, waiting)
			for b.Loop() {
				s.plan(b.Context(), s.now)
			}
		})
	}
}
