package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// A host never returned a task. If it lost the task's runner and had no other place, the task waited there for good, beside free
// capacity in the cell that accepted the job.
func TestTaskLeavesHostWithoutPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 2)
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		second, _ := d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job, other := jobOf(1, longRunning(2, 56000)), jobOf(2, longRunning(1, 56000))
		d.submit(first, job)
		d.submit(second, other)
		time.Sleep(time.Second)
		d.fleet.Crash("c0-r1")
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c1", job), 1)
		// The host loses the runner of the task for good, and the origin gets a new one.
		for _, info := range d.runners["c1"] {
			if !slices.Contains(d.fleet.Runs()[workload.TaskID{Job: other.ID}], info.ID) {
				d.fleet.Crash(info.ID)
			}
		}
		added := runner.Info{ID: "c0-r9", Service: "kioscos", Addr: "c0-r9", Domain: "chipre", Born: 1,
			Capacity: workload.Resources{CPU: 64000, MemoryMB: 256000}}
		d.fleet.Add(added)
		first.SetRunner(t.Context(), added, true)
		took := awaitWithinMinute(t, func() bool { return d.fleet.Running("c0-r9") == 1 })
		assert.Assert(t, took < 15*time.Second, "the task started again after %v", took)
		d.assertNoOverlap()
		d.assertRunsStartedOnce()
	})
}

// New owners on both sides must continue the return of a task whatever its last message was, and use no run number again.
func TestReturnIsContinuedByNewOwners(t *testing.T) {
	for fault := range peerFaults {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, fixedDuration(emulator.Endless), 2, 2)
				go d.reportLoads()
				first, stopFirst := d.own("c0", "a", d.store, d.fleet)
				second, stopSecond := d.own("c1", "b", d.store, d.fleet)
				time.Sleep(3 * time.Second)
				job, other := jobOf(1, longRunning(2, 56000)), jobOf(2, longRunning(1, 56000))
				d.submit(first, job)
				d.submit(second, other)
				time.Sleep(time.Second)
				d.fleet.Crash("c0-r1")
				time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
				assert.Equal(t, d.runningIn("c1", job), 1)
				d.setFault(fault)
				for _, info := range d.runners["c1"] {
					if !slices.Contains(d.fleet.Runs()[workload.TaskID{Job: other.ID}], info.ID) {
						d.fleet.Crash(info.ID)
					}
				}
				time.Sleep(lease + 3*time.Second)
				stopFirst()
				stopSecond()
				<-first.Done()
				<-second.Done()
				_, _ = d.own("c0", "c", d.store, d.fleet)
				_, _ = d.own("c1", "d", d.store, d.fleet)
				time.Sleep(time.Second)
				d.setFault(peerWorks)
				d.fleet.Restart("c0-r1")
				time.Sleep(lease + settleTime)
				assert.Equal(t, d.runningIn("c0", job), 2)
				assert.Equal(t, d.runningIn("c1", job), 0)
				d.assertNoOverlap()
				d.assertRunsStartedOnce()
			})
		})
	}
}

// assertRunsStartedOnce fails the test if two runs of a task have the same number.
func (d *deployment) assertRunsStartedOnce() {
	d.t.Helper()
	type taskRun struct {
		task workload.TaskID
		run  int
	}
	started := map[taskRun]bool{}
	for _, s := range d.fleet.Starts() {
		r := taskRun{s.Task, s.Run}
		assert.Assert(d.t, !started[r], "run %d of task %s was started twice", r.run, r.task)
		started[r] = true
	}
}

// heldTransfers is a store that delays commits with a condition on another row than that of the owner.
type heldTransfers struct {
	store.Store
	held atomic.Bool
}

func (s *heldTransfers) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	for s.held.Load() && len(txn.Conditions) > 1 {
		if !wait.For(ctx, 10*time.Millisecond) {
			return 0, ctx.Err()
		}
	}
	return s.Store.Commit(ctx, txn)
}

// A request to take a task over may be executed again after the host has returned the task. If the host gets it between the read and the commit
// with which the origin takes the task back, only one of them may start it.
func TestReturnedTaskThatHostTakesAgainRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 2)
		go d.reportLoads()
		logs := &logRecorder{}
		d.logs = logs
		transfers := &heldTransfers{Store: d.store}
		first, _ := d.own("c0", "a", transfers, d.fleet)
		second, _ := d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job, other := jobOf(1, longRunning(2, 56000)), jobOf(2, longRunning(1, 56000))
		d.submit(first, job)
		d.submit(second, other)
		time.Sleep(time.Second)
		d.fleet.Crash("c0-r1")
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c1", job), 1)
		var task dispatch.DelegatedTask
		var lost string
		for id, runners := range d.fleet.Runs() {
			if id.Job == job.ID && runners[0] != "c0-r0" {
				task, lost = dispatch.DelegatedTask{Index: id.Index, Run: 1}, runners[0]
			}
		}
		// The host returns the task, and the origin does not hear of it.
		d.setFault(peerLosesRequests)
		d.fleet.Crash(lost)
		time.Sleep(lease + 4*time.Second)
		d.fleet.Restart("c0-r1")
		d.fleet.Restart(lost)
		time.Sleep(2 * time.Second)
		assert.Equal(t, d.runningIn("c0", job)+d.runningIn("c1", job), 1)
		lines := strings.Join(logs.texts, "\n")
		assert.Assert(t, strings.Contains(lines, `"why":"returned"`), "the host reports the wait: %s", lines)
		page, err := d.store.Range(t.Context(), dispatch.TableProgress, "c0", job.ID, job.ID+"\x00", 1)
		assert.NilError(t, err)
		transfers.held.Store(true)
		returned := make(chan dispatch.Outcome, 1)
		go func() {
			returned <- first.TakeOver(t.Context(), []*dispatch.Delegation{{Origin: "c0", Job: job, Returned: "c1", Tasks: []dispatch.DelegatedTask{task}}})[0]
		}()
		time.Sleep(500 * time.Millisecond)
		again := &dispatch.Delegation{Origin: "c0", Job: job, Version: page.Rows[0].Version, Tasks: []dispatch.DelegatedTask{task}}
		assert.DeepEqual(t, second.TakeOver(t.Context(), []*dispatch.Delegation{again}), []dispatch.Outcome{dispatch.OutcomeAccepted})
		transfers.held.Store(false)
		assert.Equal(t, <-returned, dispatch.OutcomeChanged)
		time.Sleep(3 * time.Second)
		assert.Equal(t, d.runningIn("c0", job), 1)
		assert.Equal(t, d.runningIn("c1", job), 1)
		// Once the host has it again, a late message about its return changes nothing.
		late := first.TakeOver(t.Context(), []*dispatch.Delegation{{Origin: "c0", Job: job, Returned: "c1", Tasks: []dispatch.DelegatedTask{task}}})
		assert.DeepEqual(t, late, []dispatch.Outcome{dispatch.OutcomeChanged})
		time.Sleep(3 * time.Second)
		assert.Equal(t, d.runningIn("c0", job), 1)
		assert.Equal(t, d.runningIn("c1", job), 1)
		d.assertNoOverlap()
		d.assertRunsStartedOnce()
	})
}
