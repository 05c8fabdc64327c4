package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// A gang job was shown as failed after one run if several members of the gang failed by themselves: each counted as an attempt.
func TestFailedMembersOfOneRunAreOneAttempt(t *testing.T) {
	s := newStuckCell(t)
	gang := workload.Step{Count: 3, Gang: true, Resources: workload.Resources{CPU: 8000, MemoryMB: 1000}}
	job := &workload.Job{ID: "0000000000000002", Steps: []workload.Step{gang}, Occurrences: 1, AcceptedAt: s.now,
		Policy: workload.Policy{Queue: "q", Service: "kioscos", MaxAttempts: 3, Stretch: 2}}
	s.accept(s.now, job)
	u := s.jobs[job.ID].occs[0].steps[0].units[0]
	for number := range 2 {
		for member := range gang.Count {
			s.attach(&run{unit: u, member: member, number: number + 1, runner: s.rs, startedAt: s.now, phase: runRunning, speed: fullSpeed})
		}
		for len(u.runs) > 0 {
			s.endRun(s.now, u.runs[0], runner.EndFailed, "", "")
		}
	}
	assert.Equal(t, u.fails, 2)
	assert.Equal(t, s.jobs[job.ID].state, workload.StateQueued)
}
