package dispatch_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/workload"
)

const (
	// finishTime is the time after the end of the traffic at which the platform asks for all accepted jobs, and idleTime is how long before it each
	// of them must have had something running.
	finishTime, idleTime = 14 * time.Second, 3 * time.Second
	// overloadTime is how long the traffic lasts in tests of overload.
	overloadTime = 90 * time.Second
)

// overload sends best-effort jobs of mixed sizes to a cell.
type overload struct {
	*cluster
	rng   *rand.Rand
	owner atomic.Pointer[dispatch.Cell]

	mu                sync.Mutex // guards the fields below
	accepted, refused []*workload.Job
	next              int
	// ranAt is when something of a job last ran, and longestIdle the longest time for which an accepted job had nothing running.
	ranAt       map[string]time.Time
	longestIdle time.Duration
	// change is applied to each job; nil for none.
	change func(job *workload.Job, number int)
}

// step returns a step of best-effort tasks of 3 to 14 cores.
func (o *overload) step() workload.Step {
	step := tasks(4+o.rng.IntN(9), 3000+int64(o.rng.IntN(12))*1000)
	step.BestEffort, step.Image, step.Estimated = true, "fill", 1500*time.Millisecond
	return step
}

// mixedTimes returns work of 1 to 2 s.
func mixedTimes(task workload.TaskID, _ int) (time.Duration, bool) {
	return time.Second + time.Duration((task.Index*37+task.Step*11+int(task.Job[15])*7)%100)*10*time.Millisecond, false
}

// newJob returns a job of two steps of best-effort tasks.
func (o *overload) newJob() *workload.Job {
	o.next++
	job := jobOf(o.next, o.step(), o.step())
	if o.change != nil {
		o.change(job, o.next)
	}
	return job
}

// offer submits a job and notes the outcome.
func (o *overload) offer(job *workload.Job) dispatch.Outcome {
	outcome, _ := o.owner.Load().Submit(o.t.Context(), job, true)
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome == dispatch.OutcomeAccepted {
		o.accepted = append(o.accepted, job)
	} else {
		o.refused = append(o.refused, job)
	}
	return outcome
}

// run sends jobs for a time, one every interval, with a change of owner in between if replace is set.
func (o *overload) run(lasts, interval time.Duration, replace func()) {
	for began, replaced := time.Now(), false; time.Since(began) < lasts; time.Sleep(interval) {
		if replace != nil && !replaced && time.Since(began) > lasts/2 {
			replaced = true
			replace()
		}
		o.offer(o.newJob())
	}
}

// watch notes for each accepted job when something of it last ran, until the test ends.
func (o *overload) watch() {
	for wait.For(o.t.Context(), 50*time.Millisecond) {
		now := time.Now()
		o.mu.Lock()
		for task, runners := range o.fleet.Runs() {
			if len(runners) > 0 {
				o.ranAt[task.Job] = now
			}
		}
		for _, job := range o.accepted {
			if state(o.owner.Load(), job) == workload.StateCompleted {
				continue
			}
			since := job.AcceptedAt
			if ran := o.ranAt[job.ID]; ran.After(since) {
				since = ran
			}
			o.longestIdle = max(o.longestIdle, now.Sub(since))
		}
		o.mu.Unlock()
	}
}

// idleJobs returns the accepted jobs that have not ended and have had nothing running for a time.
func (o *overload) idleJobs(idle time.Duration) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []string
	for _, job := range o.accepted {
		if state(o.owner.Load(), job) != workload.StateCompleted && time.Since(o.ranAt[job.ID]) >= idle {
			ids = append(ids, job.ID)
		}
	}
	return ids
}

// logResult logs what was accepted and how long jobs had nothing running.
func (o *overload) logResult() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.t.Logf("%d accepted, %d refused, longest idle %v", len(o.accepted), len(o.refused), o.longestIdle)
}

// idleFor returns the longest time for which an accepted job had nothing running.
func (o *overload) idleFor() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.longestIdle
}

// playOverload runs a test after each way of overload: with one owner, and with a change of owner. check is called finishTime after the end of the
// traffic.
func playOverload(t *testing.T, check func(t *testing.T, o *overload)) {
	t.Helper()
	t.Parallel()
	for name, replaced := range map[string]bool{"one owner": false, "a change of owner": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 4, mixedTimes)
				c, stop := cl.startOwner("a", true)
				o := &overload{cluster: cl, rng: rand.New(rand.NewPCG(1, 2)), ranAt: map[string]time.Time{}}
				o.owner.Store(c)
				go o.watch()
				time.Sleep(2 * time.Second)
				var replace func()
				if replaced {
					replace = func() {
						stop()
						<-c.Done()
						c, _ = cl.startOwner("b", true)
						o.owner.Store(c)
					}
				}
				o.run(overloadTime, 500*time.Millisecond, replace)
				time.Sleep(finishTime)
				o.logResult()
				check(t, o)
			})
		})
	}
}

// Best-effort jobs were accepted whatever waited, so that each of them had nothing running for a minute and longer once more had arrived for a while
// than was done (wpm-belownia, long days: LOST).
func TestAcceptedBestEffortJobsRunSoonAfterOverload(t *testing.T) {
	playOverload(t, func(t *testing.T, o *overload) {
		idle := o.idleJobs(idleTime)
		assert.Equal(t, len(idle), 0, "%d of %d accepted jobs had nothing running for %v: %v", len(idle), len(o.accepted), idleTime, idle)
	})
}

// While jobs in time arrived, late ones had nothing running, those with large tasks longest (wpm-belownia, a day of 240 s: up to 108 s).
func TestAcceptedBestEffortJobsRunDuringOverload(t *testing.T) {
	const allowed = finishTime - idleTime
	playOverload(t, func(t *testing.T, o *overload) {
		assert.Assert(t, o.idleFor() <= allowed, "a job had nothing running for %v, allowed %v", o.idleFor(), allowed)
	})
}
