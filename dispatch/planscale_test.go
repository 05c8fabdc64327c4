package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantthread/currantthread/placement"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// busyCell returns a cell whose runners of 16 cores are full of short tasks, with 10,000 waiting tasks of 500 jobs: urgent ones of 2.7 cores and
// batch ones of 1.8 cores, a third of which are best-effort.
func busyCell(t testing.TB, runners int) *stuckCell {
	t.Helper()
	s := newStuckCell(t)
	s.cfg.Regions = map[string]string{}
	delete(s.runners, "r0")
	s.ready = nil
	running := workload.Step{Count: runners * 5, Image: "urgent", Estimated: time.Second, Resources: workload.Resources{CPU: 3_100, MemoryMB: 2_000}}
	for i := range runners {
		id := fmt.Sprintf("x%03d", i)
		s.runners[id] = &runnerState{info: runner.Info{ID: id, Service: "kioscos", Capacity: workload.Resources{CPU: 16_000, MemoryMB: 64_000}},
			present: true, synced: true, lastResponseAt: s.now, bornSeenAt: s.now.Add(-time.Second), runs: map[*run]bool{},
			candidate: placement.Candidate{ID: id, Slowdown: 1}}
	}
	for i, u := range s.add(running) {
		s.attach(&run{unit: u, number: 1, runner: s.runners[fmt.Sprintf("x%03d", i/5)], startedAt: s.now, phase: runRunning, speed: fullSpeed})
	}
	for i := range 500 {
		step := workload.Step{Count: 20, Image: "urgent", Estimated: 700 * time.Millisecond, Resources: workload.Resources{CPU: 2_700, MemoryMB: 1_000}}
		if i%3 > 0 {
			step = workload.Step{Count: 20, Image: "batch", Estimated: 2 * time.Second, Resources: workload.Resources{CPU: 1_800, MemoryMB: 1_000},
				BestEffort: i%3 == 2}
		}
		for _, u := range s.add(step) {
			u.job.def.Policy.Priority = 2 * min(i%3, 1)
			s.makeReady(u)
		}
	}
	return s
}

// A plan of a cell of 500 runners with 10,000 waiting tasks, none of which fits.
func BenchmarkPlanOfManyWaitingTasks(b *testing.B) {
	for _, waited := range []time.Duration{0, 2 * time.Second} {
		b.Run("waited="+waited.String(), func(b *testing.B) {
			s := busyCell(b, 500)
			s.now = s.now.Add(waited)
			for _, rs := range s.runners {
				rs.lastResponseAt = s.now
			}
			for b.Loop() {
				s.plan(b.Context(), s.now)
			}
		})
	}
}

// The search for a runner among 500, of which each has place.
func BenchmarkPickAmongManyRunners(b *testing.B) {
	s := busyCell(b, 500)
	for _, rs := range s.runners {
		rs.info.Capacity.CPU += 8_000
	}
	p := newPlanner(s.runnerViews(s.now))
	candidates := p.runnersOf("kioscos").candidates
	for name, large := range map[string]workload.Resources{"nothing larger waits": {}, "a larger one waits": {CPU: 4_000, MemoryMB: 1_000}} {
		b.Run(name, func(b *testing.B) {
			request := s.placementRequest(s.ready[0], map[string]int{})
			request.Large = large
			for b.Loop() {
				if placement.Pick(request, candidates) == nil {
					b.Fatal("no runner has place")
				}
			}
		})
	}
}
