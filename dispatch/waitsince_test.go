package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// The wait of a unit lasts from the loss of its run, over starts that come to nothing, to a confirmed run of each member.
func TestWaitLastsUntilRunsAreConfirmed(t *testing.T) {
	s := newStuckCell(t)
	gang := workload.Step{Count: 2, Gang: true, Resources: workload.Resources{CPU: 8000, MemoryMB: 1000}}
	job := &workload.Job{ID: "0000000000000002", Steps: []workload.Step{gang}, Occurrences: 1, AcceptedAt: s.now,
		Policy: workload.Policy{Queue: "q", Service: "kioscos", MaxAttempts: 3, Stretch: 2}}
	s.accept(s.now, job)
	u := s.jobs[job.ID].occs[0].steps[0].units[0]
	began := u.waitingSince
	assert.Assert(t, !began.IsZero())
	start := func(member, number int) *run {
		r := &run{unit: u, member: member, number: number, runner: s.rs, startedAt: s.now, speed: fullSpeed}
		s.attach(r)
		return r
	}
	refused := start(0, 1)
	s.detach(refused)
	s.makeReady(u)
	assert.Equal(t, u.waitingSince, began)
	first, second, old := start(0, 2), start(1, 2), start(1, 1)
	for _, r := range []*run{first, old} {
		s.confirmRun(s.now, r, &runner.Running{Task: r.id(), Run: r.number})
		assert.Equal(t, u.waitingSince, began)
	}
	s.confirmRun(s.now, second, &runner.Running{Task: second.id(), Run: 2})
	assert.Assert(t, u.waitingSince.IsZero())
	for len(u.runs) > 0 {
		s.endRun(s.now, u.runs[0], runner.EndStopped, "", "")
	}
	assert.Assert(t, time.Since(u.waitingSince) < time.Minute)
}
