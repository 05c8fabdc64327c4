package dispatch

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// A task or job that nothing in the owner's state will move on must have a line and a gauge of its own.
func TestTasksWithoutHolderAreReported(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(s *stuckCell)
		why     waitReason
		gap     jobGap
	}{
		"remote without a host": {
			prepare: func(s *stuckCell) {
				s.unqueue(s.unit())
				s.unit().phase = phaseRemote
			},
			why: waitNoHost,
		},
		"remote with a host that the job does not list": {
			prepare: func(s *stuckCell) {
				s.unqueue(s.unit())
				s.unit().phase, s.unit().host = phaseRemote, "c1"
			},
			why: waitNoHost,
		},
		"held for another cell, but not taken over": {
			prepare: func(s *stuckCell) {
				s.unqueue(s.unit())
				s.job.origin, s.job.rowVersion = "c1", 1
				s.unit().phase, s.unit().held = phaseRemote, true
				s.job.occs[0].steps[1].left = 0
			},
			why: waitNoHost,
		},
		"run on a runner that was removed": {
			prepare: func(s *stuckCell) {
				s.startOn(runRunning)
				delete(s.runners, "r0")
			},
			why: waitNoRunnerState,
		},
		"run on the former state of a runner": {
			prepare: func(s *stuckCell) {
				s.startOn(runRunning)
				s.runners["r0"] = &runnerState{info: runner.Info{ID: "r0"}, runs: map[*run]bool{}}
			},
			why: waitNoRunnerState,
		},
		"queued twice while another one is missing": {
			prepare: func(s *stuckCell) {
				s.accept(s.now, jobLike(s.job))
				s.ready = []*unit{s.ready[1], s.ready[1]}
			},
			why: waitNotQueued,
		},
		"all tasks are done": {
			prepare: func(s *stuckCell) {
				s.ready = nil
				for i := range s.job.occs[0].steps {
					s.job.occs[0].steps[i].units[0].phase = phaseDone
				}
			},
			gap: gapNoTasks,
		},
		"all occurrences are gone": {
			prepare: func(s *stuckCell) {
				s.ready = nil
				delete(s.job.occs, 0)
			},
			gap: gapNoTasks,
		},
		"stored, but removed from the state": {
			prepare: func(s *stuckCell) {
				s.ready = nil
				delete(s.jobs, s.job.def.ID)
			},
			gap: gapDropped,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStuckCell(t)
			s.census.rows = 1
			tc.prepare(s)
			s.logs.Reset()
			s.checkWaiting(s.now)
			text := strings.TrimSpace(s.logs.String())
			assert.Assert(t, text != "" && !strings.Contains(text, "\n"), "lines: %q", text)
			t.Log(text)
			var line map[string]any
			assert.NilError(t, json.Unmarshal([]byte(text), &line))
			assert.Equal(t, line["level"], "error")
			if tc.gap != "" {
				assert.Equal(t, line["msg"], "accepted jobs are missing in the owner's state")
				assert.Equal(t, line[string(tc.gap)], 1.0)
				assert.Equal(t, gaugeValue(t, s.metrics.missingJobs, string(tc.gap)), 1.0)
				s.logs.Reset()
				s.checkWaiting(s.now.Add(time.Minute))
				assert.Equal(t, s.logs.String(), "", "a difference that lasts is reported once")
			} else {
				assert.Equal(t, line["why"], string(tc.why))
				assert.Equal(t, line["request"], s.job.def.ID)
				assert.Equal(t, gaugeValue(t, s.metrics.waiting, string(tc.why)), 1.0)
			}
			s.resetWaiting()
			assert.Equal(t, gaugeValue(t, s.metrics.missingJobs, string(gapNoTasks))+gaugeValue(t, s.metrics.missingJobs, string(gapDropped)), 0.0)
		})
	}
}

// jobLike returns another job with the steps of a job.
func jobLike(j *jobState) *workload.Job {
	other := *j.def
	other.ID = "0000000000000002"
	return &other
}
