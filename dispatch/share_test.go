package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/workload"
)

// Best-effort jobs that had missed their objectives were served one after another, all tasks of a job at once, and the last of a backlog had
// nothing running for a minute and longer (kioscos-reserva, review/4/day.toml --seed 3: LOST).
func TestLateBestEffortJobsShareCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, width = 6, 12
		cl := newCluster(t, 1, fixedDuration(2*time.Second))
		cl.infos[0].Draining = true
		cl.addUnreachableRunners(6)
		c, stop := cl.startOwner("a", true)
		time.Sleep(100 * time.Millisecond)
		step := tasks(width, 10_000)
		step.BestEffort = true
		for i := range jobs {
			job := jobOf(i+1, step)
			job.AcceptedAt = time.Now().Add(-time.Hour)
			cl.submit(c, job)
		}
		// The runner has processors for six tasks.
		cl.infos[0].Draining = false
		c.SetRunner(t.Context(), cl.infos[0], true)
		began := time.Now()
		firstStart := map[string]time.Duration{}
		runs := map[string]int{}
		time.Sleep(jobs * width / 6 * 3 * time.Second)
		for _, start := range cl.fleet.Starts() {
			if _, ok := firstStart[start.Task.Job]; !ok {
				firstStart[start.Task.Job] = start.At.Sub(began)
			}
			runs[start.Task.Job]++
		}
		for id, after := range firstStart {
			assert.Assert(t, after < time.Second, "job %s had nothing running for %s", id, after)
			assert.Equal(t, runs[id], width)
		}
		for i := range jobs {
			assert.Equal(t, state(c, jobOf(i+1)), workload.StateCompleted)
		}
		stop()
		<-c.Done()
	})
}
