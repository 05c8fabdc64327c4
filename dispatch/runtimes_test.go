package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// runToEnd starts and ends a task of a new job whose step has an estimate and the image "batch".
func (s *stuckCell) runToEnd(estimate, took time.Duration) {
	u := s.add(workload.Step{Count: 1, Image: "batch", Estimated: estimate, Resources: workload.Resources{CPU: 1000}})[0]
	r := &run{unit: u, number: 1, runner: s.rs, startedAt: s.now, phase: runRunning, speed: fullSpeed, startSeen: true,
		predicted: s.predictStep(u.job.def, 0)}
	s.attach(r)
	s.endRun(s.now.Add(took), r, runner.EndDone, "", "")
}

// Estimates are off by up to 0.9. Jobs whose estimates are too low were started last, because their latest start appeared to be late, and missed
// their objectives. The objective itself is what the client was promised.
func TestLatestStartFollowsLearnedRunTimes(t *testing.T) {
	s := newStuckCell(t)
	for range 20 {
		s.runToEnd(500*time.Millisecond, 2*time.Second)
		s.runToEnd(3*time.Second, 2*time.Second)
	}
	j := s.add(workload.Step{Count: 1, Image: "batch", Estimated: 500 * time.Millisecond})[0].job
	assert.Equal(t, j.objective.Sub(j.def.AcceptedAt), time.Second)
	u := j.occs[0].steps[0].units[0]
	latest := u.latestStart().Sub(j.def.AcceptedAt)
	assert.Assert(t, latest > -1100*time.Millisecond && latest < -900*time.Millisecond, "latest start %v after submission, want about -1 s", latest)
	// The job is not late from the beginning.
	assert.Equal(t, u.lateness(j.def.AcceptedAt), classInTime)
	assert.Equal(t, u.lateness(j.def.AcceptedAt.Add(501*time.Millisecond)), classLate)
	// One whose estimate is too high is in time for as long as its tasks can start.
	high := s.add(workload.Step{Count: 1, Image: "batch", Estimated: 3 * time.Second})[0]
	assert.Equal(t, high.lateness(high.job.def.AcceptedAt.Add(3500*time.Millisecond)), classInTime)
	// Another image keeps its estimate.
	other := s.add(workload.Step{Count: 1, Image: "other", Estimated: 500 * time.Millisecond})[0]
	assert.Equal(t, other.latestStart(), other.job.objective.Add(-500*time.Millisecond))
}

// A runner that takes as long as all others was avoided as slow for a time after it had got tasks with estimates that were too low.
func TestWrongEstimatesDoNotMakeARunnerSlow(t *testing.T) {
	s := newStuckCell(t)
	for range 40 {
		s.runToEnd(500*time.Millisecond, 2*time.Second)
	}
	assert.Assert(t, s.rs.health.slowdown() < 1.1, "slowdown %.2f", s.rs.health.slowdown())
	for range 10 {
		s.runToEnd(500*time.Millisecond, 4*time.Second)
	}
	assert.Assert(t, s.rs.health.slowdown() > 1.3, "slowdown %.2f", s.rs.health.slowdown())
}

// Only the time of a whole run at full speed is that of the task.
func TestRunTimesOfOtherRunsAreNotLearned(t *testing.T) {
	for name, change := range map[string]func(r *run){
		"adopted":     func(r *run) { r.startSeen = false },
		"repeated":    func(r *run) { r.unit.run = 2 },
		"slowed down": func(r *run) { r.unit.def().BestEffort, r.speed = true, 40 },
		"long":        func(r *run) { r.unit.def().LongRunning = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newStuckCell(t)
			r := s.startOn(runRunning)
			r.startSeen = true
			change(r)
			s.endRun(s.now.Add(time.Second), r, runner.EndDone, "", "")
			assert.Equal(t, s.runTimes.Images(), 0)
		})
	}
	s := newStuckCell(t)
	s.runToEnd(time.Second, time.Second)
	assert.Equal(t, s.runTimes.Images(), 1)
}

// A runner was held for a task as if its run of the tail ended with the others, or as if a slow one had ended already.
func TestExpectedEndFollowsThePace(t *testing.T) {
	s := newStuckCell(t)
	for range 20 {
		s.runToEnd(time.Second, time.Second)
	}
	u := s.add(workload.Step{Count: 1, Image: "batch", Estimated: 100 * time.Millisecond})[0]
	r := &run{unit: u, runner: s.rs, startedAt: s.now, speed: fullSpeed, percent: -1, startSeen: true, predicted: s.predictStep(u.job.def, 0)}
	until := func(percent int, at time.Duration) time.Duration {
		r.percent, r.progressAt = percent, s.now.Add(at)
		return r.expectedEnd(s.now.Add(at)).Sub(s.now)
	}
	end := until(50, 500*time.Millisecond)
	assert.Assert(t, end > 900*time.Millisecond && end < 1100*time.Millisecond, "%v", end)
	end = until(30, 2100*time.Millisecond)
	assert.Assert(t, end > 6900*time.Millisecond && end < 7100*time.Millisecond, "%v", end)
}
