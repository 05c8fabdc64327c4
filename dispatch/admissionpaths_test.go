package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/workload"
)

// submissionInterval is the time between two jobs in tests of overload; their cell would have to do about 1.5 times what it can.
const submissionInterval = 500 * time.Millisecond

// newOverload returns an overload of a cell that a node has owned for long enough to know its runners.
func newOverload(cl *cluster, c *dispatch.Cell) *overload {
	o := &overload{cluster: cl, rng: rand.New(rand.NewPCG(1, 2)), ranAt: map[string]time.Time{}}
	o.owner.Store(c)
	go o.watch()
	time.Sleep(2 * time.Second)
	return o
}

// offerFor submits the jobs that next returns for a time, one every submissionInterval.
func (o *overload) offerFor(lasts time.Duration, next func() *workload.Job) {
	for began := time.Now(); time.Since(began) < lasts; time.Sleep(submissionInterval) {
		o.offer(next())
	}
}

// assertNoneIdle fails the test if accepted jobs have nothing running when the platform asks for them after the end of the traffic. It returns the
// longest time for which an accepted job had nothing running.
func (o *overload) assertNoneIdle() time.Duration {
	o.t.Helper()
	time.Sleep(finishTime)
	idle := o.idleJobs(idleTime)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.t.Logf("%d accepted, %d refused, longest idle %v", len(o.accepted), len(o.refused), o.longestIdle)
	assert.Equal(o.t, len(idle), 0, "%d of %d accepted jobs had nothing running for %v: %v", len(idle), len(o.accepted), idleTime, idle)
	return o.longestIdle
}

// A burst that arrived between two measurements of the waiting work was accepted whole if nothing had waited at the first one, and so was what
// arrived before the first measurement of a new owner.
func TestBurstOfBestEffortJobsIsBounded(t *testing.T) {
	const burst = 100
	for name, replaced := range map[string]bool{"after a measurement": false, "before the first one": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 4, mixedTimes)
				c, stop := cl.startOwner("a", true)
				o := newOverload(cl, c)
				if replaced {
					o.offerFor(20*time.Second, o.newJob)
					stop()
					<-c.Done()
					c, _ = cl.startOwner("b", true)
					o.owner.Store(c)
				} else {
					// Work is measured every second, first with the first tick.
					time.Sleep(150 * time.Millisecond)
				}
				for range burst {
					job := o.newJob()
					go o.offer(job)
				}
				o.assertNoneIdle()
			})
		})
	}
}

// While all failure domains of a cell were evacuated its rate was 0, and each job was accepted.
func TestBestEffortJobsOfAnEvacuatedCellAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 4, mixedTimes)
		c, _ := cl.startOwner("a", true)
		o := newOverload(cl, c)
		c.SetEvacuated(map[string]bool{"chipre": true})
		o.offerFor(overloadTime/2, o.newJob)
		c.SetEvacuated(nil)
		o.assertNoneIdle()
	})
}

// Jobs with a time were accepted whatever becomes due at that time, although the same jobs without a time are refused.
func TestTimedBestEffortJobsAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 4, mixedTimes)
		c, _ := cl.startOwner("a", true)
		o := newOverload(cl, c)
		began := time.Now()
		for due := time.Duration(0); due < overloadTime; due += submissionInterval {
			job := o.newJob()
			job.StartAt = began.Add(time.Second + due)
			o.offer(job)
		}
		time.Sleep(overloadTime)
		o.assertNoneIdle()
	})
}

// The work of long-running best-effort tasks counted by their estimates, if they had any, and their use of processors as progress of the others.
func TestLongRunningBestEffortJobsAreBounded(t *testing.T) {
	for name, estimate := range map[string]time.Duration{"estimated": 1500 * time.Millisecond, "without an estimate": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 4, fixedDuration(time.Hour))
				c, _ := cl.startOwner("a", true)
				o := newOverload(cl, c)
				o.offerFor(overloadTime, func() *workload.Job {
					o.next++
					step := o.step()
					step.LongRunning, step.Estimated = true, estimate
					return jobOf(o.next, step)
				})
				o.assertNoneIdle()
			})
		})
	}
}

// Work that waits for runners of another service, for runners with a label, or for runners that don't exist caused the refusal of jobs for which
// there were idle runners.
func TestBestEffortWorkForOtherRunnersRefusesNoJob(t *testing.T) {
	for name, other := range map[string]func(*workload.Job){
		"service": func(job *workload.Job) { job.Policy.Queue, job.Policy.Service = "f", "few" },
		"label":   func(job *workload.Job) { job.Steps[0].Label, job.Steps[1].Label = "few", "few" },
		"nowhere": func(job *workload.Job) { job.Steps[0].Label = "none" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 8, mixedTimes)
				switch name {
				case "service":
					cl.infos[0].Service = "few"
				case "label":
					cl.infos[0].Labels = []string{"few"}
				}
				c, _ := cl.startOwner("a", true)
				o := newOverload(cl, c)
				refused, sent := 0, 0
				for began := time.Now(); time.Since(began) < overloadTime; time.Sleep(submissionInterval) {
					job := o.newJob()
					other(job)
					o.offer(job)
					if o.next%4 == 0 {
						sent++
						if o.offer(o.newJob()) == dispatch.OutcomeBacklog {
							refused++
						}
					}
				}
				assert.Equal(t, refused, 0, "of %d jobs for idle runners", sent)
			})
		})
	}
}

// newCappedCluster returns a cluster whose organisation "x" may use 8 cores, and its owner. The organisation "y" has no cap.
func newCappedCluster(t *testing.T) (*cluster, *dispatch.Cell) {
	t.Helper()
	const limit = 8000
	cl := newCluster(t, 4, mixedTimes)
	limits := cl.limits()
	limits.set(cellName, limit, 0, limit)
	c, _ := cl.startOwnerOf(cl.awaiting("a"))
	limits.tell(c)
	config := &catalog.Config{Version: 1}
	for _, organisation := range []catalog.Organisation{{Name: "x", Weight: 1, Cap: workload.Resources{CPU: limit}}, {Name: "y", Weight: 1}} {
		assert.NilError(t, config.AddOrganisation(organisation, nil))
	}
	c.SetCatalog(config)
	return cl, c
}

// Best-effort work that waits for the cap of its organisation caused the refusal of the jobs of others, with most of the processors idle.
func TestCappedBestEffortWorkRefusesNoOtherOrganisation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cl, c := newCappedCluster(t)
		o := newOverload(cl, c)
		o.offerFor(overloadTime/3, func() *workload.Job {
			job := o.newJob()
			job.Organisation = "x"
			return job
		})
		refused := 0
		for range 10 {
			job := o.newJob()
			job.Organisation = "y"
			if o.offer(job) == dispatch.OutcomeBacklog {
				refused++
			}
			time.Sleep(4 * time.Second)
		}
		assert.Equal(t, refused, 0, "of 10 jobs of an organisation without a cap")
	})
}

// Jobs of an organisation that waits for its cap were accepted without a bound: refusals for its share need full runners.
func TestShortJobsOfACappedOrganisationAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cl, c := newCappedCluster(t)
		o := newOverload(cl, c)
		o.offerFor(overloadTime, func() *workload.Job {
			o.next++
			step := tasks(4, 4000)
			step.Estimated = 1500 * time.Millisecond
			job := jobOf(o.next, step)
			job.Organisation = "x"
			return job
		})
		o.assertNoneIdle()
	})
}

// playChangesOfOwner overloads a cell beside long-running tasks that use most of its processors, while its owner changes every so often.
func playChangesOfOwner(t *testing.T, every, estimate time.Duration) {
	t.Helper()
	const longRunningJob = 0xffff
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 4, func(task workload.TaskID, run int) (time.Duration, bool) {
			if task.Job == fmt.Sprintf("%016x", longRunningJob) {
				return time.Hour, false
			}
			return mixedTimes(task, run)
		})
		c, stop := cl.startOwner("a", true)
		o := newOverload(cl, c)
		cl.submit(c, jobOf(longRunningJob, longRunning(4, 50000)))
		time.Sleep(time.Second)
		next := func() *workload.Job {
			job := o.newJob()
			job.Steps[0].Estimated, job.Steps[1].Estimated = estimate, estimate
			return job
		}
		for began := time.Now(); time.Since(began) < overloadTime; {
			if every == 0 {
				o.offerFor(overloadTime, next)
				break
			}
			o.offerFor(every, next)
			stop()
			<-c.Done()
			time.Sleep(time.Second)
			c, stop = cl.startOwner(fmt.Sprintf("n%d", o.next), true)
			o.owner.Store(c)
		}
		longest := o.assertNoneIdle()
		assert.Assert(t, longest <= finishTime-idleTime, "a job had nothing running for %v", longest)
	})
}

// rightEstimate is the mean time of the tasks of an overload, and lowEstimate a fourth of it.
const rightEstimate, lowEstimate = 1500 * time.Millisecond, 400 * time.Millisecond

// A new owner took on more than could be done: it knew neither the share of the processors that best-effort tasks get nor their run times.
func TestChangesOfOwnerKeepTheBoundOfBestEffortWork(t *testing.T) {
	for name, every := range map[string]time.Duration{"none": 0, "every 12 s": 12 * time.Second} {
		t.Run(name+", estimates right", func(t *testing.T) { playChangesOfOwner(t, every, rightEstimate) })
		t.Run(name+", estimates low", func(t *testing.T) { playChangesOfOwner(t, every, lowEstimate) })
	}
}

// The same with owners that are replaced before they have learned the run times.
func TestFrequentChangesOfOwnerKeepTheBoundOfBestEffortWork(t *testing.T) {
	t.Run("estimates right", func(t *testing.T) { playChangesOfOwner(t, 5*time.Second, rightEstimate) })
	t.Run("estimates low", func(t *testing.T) { playChangesOfOwner(t, 5*time.Second, lowEstimate) })
}
