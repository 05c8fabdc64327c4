package dispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/workload"
)

// stepDuration is how long the tasks of twoSteps take.
const stepDuration = 2 * time.Second

// twoSteps returns a job with a task on one runner and a step of three tasks after it.
func twoSteps(id int) *workload.Job { return jobOf(id, tasks(1, 8000), tasks(3, 8000)) }

// startsOfStep returns how many starts of a step of a job the runners have executed.
func (cl *cluster) startsOfStep(job *workload.Job, step int) int {
	count := 0
	for _, start := range cl.fleet.Starts() {
		if start.Task.Job == job.ID && start.Task.Step == step {
			count++
		}
	}
	return count
}

// crashAnother crashes a runner that runs nothing.
func (cl *cluster) crashAnother() {
	cl.t.Helper()
	for _, info := range cl.infos {
		if cl.fleet.Running(info.ID) == 0 {
			cl.fleet.Crash(info.ID)
			return
		}
	}
	cl.t.Fatal("all runners run tasks")
}

// A step whose turn came while the cell had no owner waited 6 s and longer for each runner that was gone together with the owner.
func TestStepThatNobodyBeganStartsBesideARunnerThatIsGone(t *testing.T) {
	cases := map[string]struct {
		release bool
		mode    witnessMode
		atOnce  bool
	}{
		"owner is gone":           {atOnce: true},
		"owner releases":          {release: true, mode: witnessSilent, atOnce: true},
		"witness does not answer": {mode: witnessSilent},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, fixedDuration(stepDuration))
				cl.witness = newWitness(test.mode)
				go cl.watchOwner()
				a := &link{Fleet: cl.fleet, Store: cl.store}
				first, kill := cl.startOwnerWith("a", true, a, a)
				time.Sleep(3 * time.Second)
				job := twoSteps(1)
				cl.submit(first, job)
				time.Sleep(stepDuration / 2)
				cl.crashAnother()
				a.cutStore.Store(!test.release)
				kill()
				time.Sleep(stepDuration)
				assert.Equal(t, cl.startsOfStep(job, 1), 0)
				next, stop := cl.startOwnerOf(cl.config("b", false))
				time.Sleep(500 * time.Millisecond)
				if test.atOnce {
					assert.Equal(t, cl.startsOfStep(job, 1), 3)
				} else {
					assert.Equal(t, cl.startsOfStep(job, 1), 0)
				}
				time.Sleep(outageBound)
				assert.Equal(t, state(next, job), workload.StateCompleted)
				cl.assertNoOverlap()
				stop()
				<-next.Done()
			})
		})
	}
}

// While no outage is confirmed, a step must not begin before the ends of the step before it are durable: a successor would begin it too.
func TestStepBeginsOnceEndsBeforeItAreDurable(t *testing.T) {
	for name, mode := range map[string]witnessMode{"no outage": witnessDenies, "outage": witnessConfirms} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, fixedDuration(stepDuration))
				cl.witness = newWitness(mode)
				first, stop := cl.startOwnerOf(cl.config("a", true))
				time.Sleep(3 * time.Second)
				job := twoSteps(1)
				cl.submit(first, job)
				time.Sleep(stepDuration / 2)
				cl.store.SetFault(emulator.StoreSilent)
				time.Sleep(5 * time.Second)
				if mode == witnessConfirms {
					assert.Equal(t, cl.startsOfStep(job, 1), 3)
				} else {
					assert.Equal(t, cl.startsOfStep(job, 1), 0)
				}
				cl.store.SetFault(emulator.StoreWorks)
				time.Sleep(settleTime + stepDuration)
				assert.Equal(t, cl.startsOfStep(job, 1), 3)
				assert.Equal(t, state(first, job), workload.StateCompleted)
				stop()
				<-first.Done()
			})
		})
	}
}

// A step that began in a confirmed outage, of which the rows know nothing, must not begin a second time after a takeover.
func TestStepBegunInAConfirmedOutageIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		work := func(task workload.TaskID, _ int) (time.Duration, bool) {
			if task.Step == 0 {
				return stepDuration, false
			}
			return time.Minute, false
		}
		cl := newCluster(t, 2, work)
		cl.witness = newWitness(witnessConfirms)
		go cl.watchOwner()
		a := &link{Fleet: cl.fleet, Store: cl.store}
		rest := &link{Fleet: cl.fleet, Store: cl.store}
		first, _ := cl.startOwnerWith("a", true, a, a)
		time.Sleep(3 * time.Second)
		job := jobOf(1, tasks(1, 8000), tasks(8, 14000))
		cl.submit(first, job)
		time.Sleep(stepDuration / 2)
		a.cutStore.Store(true)
		time.Sleep(4 * time.Second)
		assert.Equal(t, cl.startsOfStep(job, 1), 8)
		rest.cut.Store("r1", true)
		assert.Assert(t, cl.fleet.Running("r1") > 0)
		next, stop := cl.startOwnerWith("b", false, rest, rest)
		time.Sleep(outageBound + 5*time.Second)
		cl.assertNoOverlap()
		stop()
		<-next.Done()
	})
}

// A later owner must not begin a step that the first one began in a confirmed outage. The owner between them knows no end of the step before
// it, whether or not it has adopted tasks of the step.
func TestStepBegunInAConfirmedOutageIsAwaitedByLaterOwners(t *testing.T) {
	for name, test := range map[string]struct {
		unreached []string
		owned     time.Duration
		gap       time.Duration
	}{
		"tasks unknown":                     {[]string{"r0", "r1"}, time.Second, time.Second},
		"tasks adopted":                     {[]string{"r0"}, time.Second, time.Second},
		"tasks adopted, all other resolved": {[]string{"r0"}, 8400 * time.Millisecond, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				work := func(task workload.TaskID, _ int) (time.Duration, bool) {
					if task.Step == 0 {
						return stepDuration, false
					}
					return time.Minute, false
				}
				cl := newCluster(t, 1, work)
				cl.witness = newWitness(witnessConfirms)
				go cl.watchOwner()
				a, b, c := &link{Fleet: cl.fleet, Store: cl.store}, &link{Fleet: cl.fleet, Store: cl.store}, &link{Fleet: cl.fleet, Store: cl.store}
				first, _ := cl.startOwnerWith("a", true, a, a)
				time.Sleep(3 * time.Second)
				job := jobOf(1, tasks(1, 8000), tasks(4, 12000))
				cl.submit(first, job)
				time.Sleep(stepDuration / 2)
				assert.Equal(t, cl.fleet.Running("r0"), 1)
				// The step begins on another runner.
				for i := range 2 {
					cl.addRunner(fmt.Sprintf("r%d", i+1))
				}
				first.SetRunner(t.Context(), cl.infos[1], true)
				time.Sleep(stepDuration / 4)
				info := cl.infos[0]
				info.Draining = true
				first.SetRunner(t.Context(), info, true)
				a.cutStore.Store(true)
				time.Sleep(4 * time.Second)
				assert.Equal(t, cl.fleet.Running("r1"), 4)
				// The witness of the later owners is another one.
				cl.witness = newWitness(witnessSilent)
				for _, id := range test.unreached {
					b.cut.Store(id, true)
				}
				_, kill := cl.startOwnerWith("b", false, b, b)
				time.Sleep(test.owned)
				b.cutStore.Store(true)
				kill()
				time.Sleep(test.gap)
				c.cut.Store("r1", true)
				cl.witness.mode.Store(int32(witnessDenies))
				next, stop := cl.startOwnerWith("c", false, c, c)
				time.Sleep(outageBound + 5*time.Second)
				cl.assertNoOverlap()
				stop()
				<-next.Done()
			})
		})
	}
}

// A task of a step that had begun by the rows may run on a runner that does not respond, whatever the witnesses say.
func TestTaskOfABegunStepAwaitsARunnerThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Minute))
		cl.witness = newWitness(witnessDenies)
		go cl.watchOwner()
		a, rest := &link{Fleet: cl.fleet, Store: cl.store}, &link{Fleet: cl.fleet, Store: cl.store}
		first, kill := cl.startOwnerWith("a", true, a, a)
		time.Sleep(3 * time.Second)
		cl.submit(first, jobOf(1, tasks(4, 8000)))
		time.Sleep(time.Second)
		assert.Equal(t, cl.fleet.Running("r1"), 2)
		a.cutStore.Store(true)
		kill()
		rest.cut.Store("r1", true)
		time.Sleep(2500 * time.Millisecond)
		next, stop := cl.startOwnerWith("b", false, rest, rest)
		time.Sleep(outageBound)
		cl.assertNoOverlap()
		stop()
		<-next.Done()
	})
}

// While no outage is confirmed, an occurrence must not begin before it is durable: a successor that does not find it would begin it too.
func TestOccurrenceBeginsOnceItIsDurable(t *testing.T) {
	for name, mode := range map[string]witnessMode{"no outage": witnessDenies, "outage": witnessConfirms} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, fixedDuration(stepDuration))
				cl.witness = newWitness(mode)
				first, stop := cl.startOwnerOf(cl.config("a", true))
				time.Sleep(3 * time.Second)
				job := jobOf(1, tasks(3, 8000))
				job.StartAt = time.Now().Add(2 * time.Second)
				cl.submit(first, job)
				time.Sleep(1500 * time.Millisecond)
				cl.store.SetFault(emulator.StoreSilent)
				time.Sleep(5 * time.Second)
				if mode == witnessConfirms {
					assert.Equal(t, cl.startsOfStep(job, 0), 3)
				} else {
					assert.Equal(t, cl.startsOfStep(job, 0), 0)
				}
				cl.store.SetFault(emulator.StoreWorks)
				time.Sleep(settleTime + stepDuration)
				assert.Equal(t, cl.startsOfStep(job, 0), 3)
				assert.Equal(t, state(first, job), workload.StateCompleted)
				stop()
				<-first.Done()
			})
		})
	}
}
