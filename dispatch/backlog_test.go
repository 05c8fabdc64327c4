package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// The log named at most eight waiting steps a second, and nothing said how much best-effort work waits, how many jobs have had nothing running for
// how long, or what became of the processor time of ended runs.
func TestWaitingBestEffortWorkIsShown(t *testing.T) {
	s := newStuckCell(t)
	s.ready = nil
	step := workload.Step{Count: 4, BestEffort: true, Image: "fill", Estimated: 2 * time.Second, Resources: workload.Resources{CPU: 10_000}}
	idle, busy := s.add(step), s.add(step)
	for _, u := range append(idle[:2:2], busy[:2]...) {
		s.makeReady(u)
	}
	idle[2].phase, idle[3].phase = phaseBlocked, phaseBlocked
	s.checkBacklog(s.now)
	for i, u := range busy[1:] {
		s.attach(&run{unit: u, number: 1, runner: s.rs, startedAt: s.now, phase: runRunning, speed: fullSpeed})
		if i == 0 {
			s.endRun(s.now.Add(2*time.Second), u.runs[0], runner.EndDone, "", "")
		}
	}
	s.endRun(s.now.Add(time.Second), busy[3].runs[0], runner.EndStopped, "", "moved")
	idle[0].job.objective, busy[0].job.objective = s.now, s.now.Add(time.Minute)
	s.now = s.now.Add(5 * time.Second)
	s.checkBacklog(s.now)
	b := &s.backlog
	assert.Equal(t, b.tasks, 4)
	assert.Equal(t, b.ready, 80.0)
	assert.Equal(t, b.later, 40.0)
	assert.Equal(t, b.late, 80.0)
	assert.DeepEqual(t, b.counts(), map[string]int{backlogWaiting: 2, backlogIdle: 1, backlogLongIdle: 1})
	assert.Equal(t, b.longestIdle, 5*time.Second)
	assert.Equal(t, b.longestCPU, int64(10_000))
	for result, want := range map[workResult]float64{workDone: 20, workDiscarded: 10, workSaved: 0, workFailed: 0} {
		assert.Equal(t, testutil.ToFloat64(s.metrics.backlog.ended.WithLabelValues(string(result))), want, "%s", result)
	}
	assert.Equal(t, testutil.ToFloat64(s.metrics.backlog.jobs.WithLabelValues(backlogLongIdle)), 1.0)
	assert.Assert(t, testutil.ToFloat64(s.metrics.backlog.seconds) > 0)
	assert.Assert(t, strings.Contains(s.logs.String(), `"best-effort work waits"`), s.logs.String())
	s.recordStart(s.now, idle[0].job)
	assert.Equal(t, testutil.CollectAndCount(s.metrics.backlog.idleTime), 1)
	s.resetWaiting()
	assert.Equal(t, testutil.ToFloat64(s.metrics.backlog.jobs.WithLabelValues(backlogWaiting)), 0.0)
	assert.Equal(t, testutil.ToFloat64(s.metrics.backlog.seconds), 0.0)
}
