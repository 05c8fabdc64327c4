package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/workload"
)

// failing returns a run of a new job on a runner.
func failing(h *host) *run {
	r := runOf(workload.Step{Count: 1, Estimated: time.Second})
	r.host = h
	return r
}

// Answers the pattern "some runners fail all that they start": each costs its tasks an attempt until it is suspected.
func TestRunnerIsSuspectedAfterTwoFailures(t *testing.T) {
	now := time.Now()
	h := &host{}
	h.info.ID = "r0"
	h.health.failed(now, failing(h))
	assert.Assert(t, !h.health.suspect(now))
	h.health.failed(now, failing(h))
	assert.Assert(t, h.health.suspect(now))
	// It is tried again later, and one more failure is enough then, for twice as long.
	now = now.Add(suspectPause)
	assert.Assert(t, !h.health.suspect(now))
	h.health.failed(now, failing(h))
	assert.Assert(t, h.health.suspect(now.Add(2*suspectPause-time.Second)))
	assert.Assert(t, !h.health.suspect(now.Add(2*suspectPause)))
}

// Guards against sound runners that are suspected because tasks fail by their own fault now and then.
func TestSoundRunnerIsNotSuspected(t *testing.T) {
	now := time.Now()
	h := &host{}
	h.info.ID = "r0"
	for i := range 100 {
		r := failing(h)
		if i%8 == 0 {
			h.health.failed(now, r)
		} else {
			h.health.succeeded(now, r)
		}
		assert.Assert(t, !h.health.suspect(now), "after %d runs", i+1)
	}
}

// Answers the pattern "many jobs come that can never be done": their failures must not make sound runners suspect.
func TestHopelessJobsDoNotMakeRunnersSuspect(t *testing.T) {
	now := time.Now()
	hosts := make([]*host, 10)
	for i := range hosts {
		hosts[i] = &host{}
		hosts[i].info.ID = string(rune('a' + i))
	}
	for range 5 {
		step := workload.Step{Count: 20}
		j := newJobState(&workload.Job{ID: "1", Steps: []workload.Step{step}, Occurrences: 1})
		units := j.newOccurrence(0).steps[0].units
		for i, u := range units {
			h := hosts[i%len(hosts)]
			h.health.failed(now, &run{unit: u, host: h})
		}
	}
	suspects := 0
	for _, h := range hosts {
		if h.health.suspect(now) {
			suspects++
		}
	}
	assert.Assert(t, suspects <= 2, "%d of 10 runners are suspected", suspects)
}
