package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/workload"
)

// newRunOn returns a run of a new job on a runner.
func newRunOn(rs *runnerState) *run {
	r := runOf(workload.Step{Count: 1, Estimated: time.Second})
	r.runner = rs
	return r
}

// A runner that fails everything must be suspected after two failures, because each failure costs a task an attempt.
func TestRunnerIsSuspectedAfterTwoFailures(t *testing.T) {
	now := time.Now()
	rs := &runnerState{}
	rs.info.ID = "r0"
	rs.health.failed(now, newRunOn(rs))
	assert.Assert(t, !rs.health.suspect(now))
	rs.health.failed(now, newRunOn(rs))
	assert.Assert(t, rs.health.suspect(now))
	// It is used again after the pause. One more failure then suspects it for twice as long.
	now = now.Add(suspectPause)
	assert.Assert(t, !rs.health.suspect(now))
	rs.health.failed(now, newRunOn(rs))
	assert.Assert(t, rs.health.suspect(now.Add(2*suspectPause-time.Second)))
	assert.Assert(t, !rs.health.suspect(now.Add(2*suspectPause)))
}

// Occasional failures caused by the tasks themselves must not make a healthy runner suspect.
func TestHealthyRunnerIsNotSuspected(t *testing.T) {
	now := time.Now()
	rs := &runnerState{}
	rs.info.ID = "r0"
	for i := range 100 {
		r := newRunOn(rs)
		if i%8 == 0 {
			rs.health.failed(now, r)
		} else {
			rs.health.succeeded(now, r)
		}
		assert.Assert(t, !rs.health.suspect(now), "after %d runs", i+1)
	}
}

// Many jobs whose tasks always fail must not make healthy runners suspect.
func TestFailingJobsDoNotMakeRunnersSuspect(t *testing.T) {
	now := time.Now()
	runners := make([]*runnerState, 10)
	for i := range runners {
		runners[i] = &runnerState{}
		runners[i].info.ID = string(rune('a' + i))
	}
	for range 5 {
		step := workload.Step{Count: 20}
		j := newJobState(&workload.Job{ID: "1", Steps: []workload.Step{step}, Occurrences: 1})
		units := j.newOccurrence(0).steps[0].units
		for i, u := range units {
			rs := runners[i%len(runners)]
			rs.health.failed(now, &run{unit: u, runner: rs})
		}
	}
	suspects := 0
	for _, rs := range runners {
		if rs.health.suspect(now) {
			suspects++
		}
	}
	assert.Assert(t, suspects <= 2, "%d of 10 runners are suspected", suspects)
}
