package dispatch_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// smallRowStore is a store that refuses rows beyond the platform's bound, as the platform does.
type smallRowStore struct{ store.Store }

func (s smallRowStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	for _, w := range txn.Writes {
		if len(w.Value) > store.MaxRowBytes {
			return 0, store.ErrUnavailable
		}
	}
	return s.Store.Commit(ctx, txn)
}

// checkpointFleet is a fleet whose running tasks have checkpoints.
type checkpointFleet struct{ *emulator.Fleet }

func (f checkpointFleet) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	report, err := f.Fleet.Hold(ctx, target, command)
	for i := range report.Running {
		report.Running[i].Checkpoint = "00000bb87a21d94b"
	}
	return report, err
}

// One job with many tasks makes all commits of its cell fail for good: its progress row grows beyond the store's bound on
// rows. The owner then starts nothing, all leases end, and no node takes the cell over because heartbeats go on.
func TestLargeProgressRowDoesNotStopItsCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const large = 2000
		cl := newCluster(t, 20, func(task workload.TaskID, _ int) (time.Duration, bool) {
			if task.Job == jobOf(1).ID && task.Index > 0 {
				return 10 * time.Minute, false
			}
			return 10 * time.Second, false
		})
		c, stop := cl.startOwnerWith("a", true, smallRowStore{cl.store}, checkpointFleet{cl.fleet})
		time.Sleep(100 * time.Millisecond)
		step := tasks(large, 50)
		step.Resources.MemoryMB, step.Checkpointing, step.Estimated = 1, true, 10*time.Minute
		cl.submit(c, jobOf(1, step))
		time.Sleep(14 * time.Second)
		job := jobOf(2, tasks(1, 4000))
		outcome, _ := c.Submit(t.Context(), job, true)
		assert.Equal(t, outcome, dispatch.OutcomeAccepted, "the submission of another job")
		time.Sleep(15 * time.Second)
		assert.Equal(t, state(c, job), workload.StateCompleted)
		stop()
		<-c.Done()
	})
}

// countedFleet counts polls.
type countedFleet struct {
	*emulator.Fleet
	polls *atomic.Int64
}

func (f countedFleet) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	f.polls.Add(1)
	return f.Fleet.Hold(ctx, target, command)
}

// While the store is away, each runner with an end that is not durable is polled 33 times a second, without a bound on the
// time. The leases of all runs end after 10 s, so every busy runner has such an end.
func TestPollsAreSpacedWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, fixedDuration(time.Hour))
		cl.fleet.Latency = 3 * time.Millisecond
		var polls atomic.Int64
		c, stop := cl.startOwnerWith("a", true, cl.store, countedFleet{cl.fleet, &polls})
		time.Sleep(100 * time.Millisecond)
		cl.submit(c, jobOf(1, longRunning(3, 40000)))
		time.Sleep(time.Second)
		cl.store.SetFault(emulator.StoreSilent)
		time.Sleep(15 * time.Second)
		before := polls.Load()
		time.Sleep(10 * time.Second)
		rate := float64(polls.Load()-before) / 10 / 3
		cl.store.SetFault(emulator.StoreWorks)
		assert.Assert(t, rate <= 5, "%.1f polls a second of each runner", rate)
		time.Sleep(settleTime)
		assert.Equal(t, cl.running(), 3)
		stop()
		<-c.Done()
	})
}

// The ownership row lists each runner of the cell that has ever left, in each commit. Once the list is larger than a row may
// be, all commits of the cell fail, and those of each successor.
func TestRunnersThatLeftDoNotStopTheirCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const left = 5000
		cl := newCluster(t, 1, fixedDuration(time.Second))
		for i := range left {
			cl.unlisted = append(cl.unlisted, runner.Info{ID: fmt.Sprintf("i-%010x", i)})
		}
		c, stop := cl.startOwner("a", true)
		job := jobOf(1, tasks(1, 4000))
		cl.submit(c, job)
		time.Sleep(3 * time.Second)
		stop()
		<-c.Done()
		// The runners of the roster that no longer exist count as terminated once a lease has passed.
		next, stopNext := cl.startOwner("b", true)
		time.Sleep(2 * lease)
		stopNext()
		<-next.Done()
		page, err := cl.store.Range(t.Context(), dispatch.TableCells, cellName, "", "", 0)
		assert.NilError(t, err)
		assert.Assert(t, len(page.Rows[0].Value) <= store.MaxRowBytes, "the ownership row has %d bytes", len(page.Rows[0].Value))
	})
}

// shortReportFleet reports at most 500 ends at once, as the platform does.
type shortReportFleet struct{ *emulator.Fleet }

func (f shortReportFleet) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	const most = 500
	report, err := f.Fleet.Hold(ctx, target, command)
	report.Ended = report.Ended[:min(len(report.Ended), most)]
	return report, err
}

// A report lists at most 500 ends. Runs whose ends it leaves out count as lost, and their tasks run a second time although they
// are done.
func TestRunsWhoseEndsAreNotYetReportedAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 1200
		cl := newCluster(t, 1, fixedDuration(time.Second))
		c, stop := cl.startOwnerWith("a", true, cl.store, shortReportFleet{cl.fleet})
		time.Sleep(100 * time.Millisecond)
		step := tasks(count, 50)
		step.Resources.MemoryMB = 1
		job := jobOf(1, step)
		cl.submit(c, job)
		time.Sleep(10 * time.Second)
		assert.Equal(t, state(c, job), workload.StateCompleted)
		assert.Equal(t, len(cl.fleet.Starts()), count)
		stop()
		<-c.Done()
	})
}
