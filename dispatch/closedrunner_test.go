package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/workload"
)

// After a takeover, each task waited for the leases of runners that drained or did not respond, also tasks that the former owner can't have
// started there: its starts without a response kept the runners out of the ownership row.
func TestTakeoverAwaitsClosedRunnersOnlyForTasksThatMayBeThere(t *testing.T) {
	type change func(cl *cluster, c *dispatch.Cell, a *link)
	draining := func(cl *cluster, c *dispatch.Cell, _ *link) { cl.setDraining(c, 1) }
	cases := map[string]struct {
		// before is made before the first task starts, and after once its start command to r1 has been sent.
		before, after change
		// lost are owners that end one after another, each after the given time.
		lost []time.Duration
	}{
		"draining": {after: draining},
		"draining, start without a response": {after: draining, before: func(cl *cluster, _ *dispatch.Cell, _ *link) {
			cl.fleet.SetCommandFaults("r1", emulator.CommandFaults{Start: emulator.CommandResponseLost, Hold: emulator.CommandResponseLost})
		}},
		"silent, start not executed":                {before: func(_ *cluster, _ *dispatch.Cell, a *link) { a.cut.Store("r1", true) }},
		"not listed":                                {after: func(cl *cluster, c *dispatch.Cell, _ *link) { c.SetRunner(cl.t.Context(), cl.infos[1], false) }},
		"successor is lost before its first commit": {after: draining, lost: []time.Duration{0}},
		"two successors are lost":                   {after: draining, lost: []time.Duration{300 * time.Millisecond, 0}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lasting, short := jobOf(1, tasks(3, 30000)), jobOf(2, tasks(4, 8000), tasks(4, 8000), tasks(4, 8000))
				cl := newCluster(t, 3, func(task workload.TaskID, _ int) (time.Duration, bool) {
					if task.Job == lasting.ID {
						return time.Minute, false
					}
					return 2 * time.Second, false
				})
				a := &link{Fleet: cl.fleet, Store: cl.store}
				c, kill := cl.startOwnerWith("a", true, a, a)
				time.Sleep(100 * time.Millisecond)
				if tc.before != nil {
					tc.before(cl, c, a)
				}
				cl.submit(c, lasting)
				time.Sleep(10 * time.Millisecond)
				if tc.after != nil {
					tc.after(cl, c, a)
				}
				time.Sleep(4 * time.Second)
				cl.submit(c, short)
				time.Sleep(1200 * time.Millisecond)
				cl.fleet.SetFault("r1", emulator.RunnerUnreachable)
				cl.killOwner(c, kill)
				began := time.Now()
				for _, after := range tc.lost {
					if after == 0 {
						_ = cl.acquire(t.Context(), "b", false) // is lost before it runs
						continue
					}
					next, killNext := cl.startOwner("b", false)
					time.Sleep(after)
					cl.killOwner(next, killNext)
				}
				next, stop := cl.startOwner("z", false)
				time.Sleep(6*time.Second - time.Since(began))
				assert.Equal(t, state(next, short), workload.StateCompleted)
				// The task that may run on r1 starts again once the last lease there has ended.
				assert.Assert(t, cl.fleet.Running("r0")+cl.fleet.Running("r2") == 2, "a task that may run on r1 has started elsewhere")
				time.Sleep(outageBound + 2*time.Second)
				assert.Equal(t, cl.fleet.Running("r0")+cl.fleet.Running("r2"), 3)
				cl.assertNoOverlap()
				stop()
				<-next.Done()
			})
		})
	}
}

// A runner that the ownership row lists as closed must get no tasks before a commit whose row does not list it: a successor would start them
// elsewhere without waiting for the runner.
func TestRunnerThatIsListedAsClosedGetsNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(4*time.Second))
		a := &link{Fleet: cl.fleet, Store: cl.store}
		c, stop := cl.startOwnerWith("a", true, a, a)
		time.Sleep(100 * time.Millisecond)
		cl.setDraining(c, 1)
		// r0 has room for one task of the second step.
		cl.submit(c, jobOf(1, tasks(1, 40000), tasks(2, 40000)))
		time.Sleep(2 * time.Second)
		a.cutStore.Store(true)
		cl.infos[1].Draining = false
		c.SetRunner(t.Context(), cl.infos[1], true)
		time.Sleep(3 * time.Second)
		assert.Equal(t, cl.fleet.Running("r0"), 1)
		assert.Equal(t, cl.fleet.Running("r1"), 0, "a task started while the row may list its runner as closed")
		a.cutStore.Store(false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.fleet.Running("r1"), 1)
		stop()
		<-c.Done()
	})
}

// A start without a response on a runner that had become silent made a successor wait for the longest lease of the runner, also for tasks
// that had been running there long before.
func TestTakeoverKnowsTheLeasesOfRunnersWithOpenStarts(t *testing.T) {
	for name, test := range map[string]struct {
		step      workload.Step
		lostOwner bool
	}{
		"one takeover": {step: tasks(6, 8000)}, "successor is lost after its first commit": {tasks(6, 8000), true},
		"long-running": {step: longRunning(6, 8000)}, "long-running, successor is lost after its first commit": {longRunning(6, 8000), true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, fixedDuration(time.Minute))
				c, kill := cl.startOwner("a", true)
				time.Sleep(100 * time.Millisecond)
				cl.submit(c, jobOf(1, test.step))
				time.Sleep(2 * time.Second)
				assert.Equal(t, cl.fleet.Running("r1"), 2)
				cl.fleet.SetFault("r1", emulator.RunnerUnreachable)
				// The start of the third task, on r1, has no response.
				cl.submit(c, jobOf(2, tasks(3, 8000)))
				time.Sleep(4500 * time.Millisecond)
				assert.Equal(t, cl.fleet.Running("r0")+cl.fleet.Running("r2"), 6)
				cl.killOwner(c, kill)
				if test.lostOwner {
					c, kill = cl.startOwner("b", false)
					time.Sleep(200 * time.Millisecond)
					cl.killOwner(c, kill)
				}
				next, stop := cl.startOwner("z", false)
				// The last lease was granted within a poll of the silence.
				time.Sleep(lease + holdWait + time.Second - 4500*time.Millisecond)
				assert.Equal(t, cl.fleet.Running("r0")+cl.fleet.Running("r2"), 8)
				time.Sleep(outageBound)
				assert.Equal(t, cl.fleet.Running("r0")+cl.fleet.Running("r2"), 9)
				cl.assertNoOverlap()
				stop()
				<-next.Done()
			})
		})
	}
}

// While the row of an owner says when the runs of a silent runner end, also beside a start without a response, the owner must not extend
// their lease: its successor would not wait for it.
func TestRunnerWithOpenStartThatIsListedGetsNoLongerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Minute))
		a := &link{Fleet: cl.fleet, Store: cl.store}
		c, stop := cl.startOwnerWith("a", true, a, a)
		time.Sleep(100 * time.Millisecond)
		cl.submit(c, jobOf(1, tasks(1, 20000)))
		time.Sleep(2 * time.Second)
		a.cut.Store("r0", true)
		cl.submit(c, jobOf(2, tasks(1, 20000)))
		time.Sleep(holdWait + 1200*time.Millisecond)
		row, _, err := dispatch.ReadOwner(t.Context(), cl.store, cellName)
		assert.NilError(t, err)
		assert.Assert(t, row.ClosedLeasesMs["r0"] > 0 && row.LeasesMs["r0"] == 0, "%+v", row)
		a.cutStore.Store(true)
		listed := cl.fleet.LeaseEnd("r0")
		a.cut.Delete("r0")
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.fleet.LeaseEnd("r0"), listed, "a lease was extended that the row lists")
		a.cutStore.Store(false)
		time.Sleep(3 * time.Second)
		assert.Assert(t, cl.fleet.LeaseEnd("r0").After(listed), "leases are extended after a commit")
		assert.Equal(t, cl.fleet.Running("r0"), 2)
		cl.assertNoOverlap()
		stop()
		<-c.Done()
	})
}

// An owner that is cut off took the listed end of a lease for the end of the run, although its successor had adopted the run and extended the
// lease.
func TestCutOffOwnerDoesNotRelyOnListedLeasesOfRunnersWithOpenStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Minute))
		a, b, rest := &link{Fleet: cl.fleet, Store: cl.store}, &link{Fleet: cl.fleet, Store: cl.store}, &link{Fleet: cl.fleet, Store: cl.store}
		first, _ := cl.startOwnerWith("a", true, a, a)
		time.Sleep(100 * time.Millisecond)
		cl.submit(first, jobOf(1, tasks(1, 20000)))
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.fleet.Running("r0"), 1)
		a.cut.Store("r0", true)
		cl.submit(first, jobOf(2, tasks(1, 20000)))
		time.Sleep(3300 * time.Millisecond)
		a.cutStore.Store(true)
		cl.addRunner("r1")
		// The second owner does not reach r0, and soon not the store.
		b.cut.Store("r0", true)
		rest.cut.Store("r1", true)
		row, _, err := dispatch.ReadOwner(t.Context(), cl.store, cellName)
		assert.NilError(t, err)
		assert.Assert(t, row.ClosedLeasesMs["r0"] > 0, "%+v", row)
		_, _ = cl.startOwnerWith("b", false, b, b)
		time.Sleep(300 * time.Millisecond)
		b.cutStore.Store(true)
		time.Sleep(100 * time.Millisecond)
		last, stop := cl.startOwnerWith("c", false, rest, rest)
		time.Sleep(8 * time.Second)
		cl.assertNoOverlap()
		assert.Assert(t, cl.fleet.Running("r0") > 0)
		assert.Equal(t, cl.fleet.Running("r1"), 0)
		stop()
		<-last.Done()
	})
}
