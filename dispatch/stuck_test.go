package dispatch_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// awaitWithinMinute waits until a condition holds, at most a minute, and returns how long it took.
func awaitWithinMinute(t *testing.T, holds func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !holds() && time.Since(began) < time.Minute {
		wait.For(t.Context(), 20*time.Millisecond)
	}
	return time.Since(began)
}

// restartsWithin is the longest time until the lease of a runner that is gone has expired and its tasks have started again.
const restartsWithin = lease*103/100 + 250*time.Millisecond + 500*time.Millisecond

// While responses are lost, polls that should have reported an end are given up and repeated. The polls of a runner that was gone
// went on extending the lease that its owner waits for as long as other runners lost responses, so its tasks never started again.
func TestRepeatedPollsOfLostRunnerExtendNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 5, fixedDuration(20*time.Second))
		c, stop := cl.startOwner("a", true)
		time.Sleep(100 * time.Millisecond)
		lost, rest := cl.infos[0], cl.infos[1:]
		for _, info := range rest {
			info.Draining = true
			c.SetRunner(t.Context(), info, true)
		}
		cl.submit(c, jobOf(1, tasks(2, 4000)))
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, cl.fleet.Running(lost.ID), 2)
		for _, info := range rest {
			c.SetRunner(t.Context(), info, true)
		}
		// The tasks are overdue when their runner is lost, and responses of others are being lost.
		for _, info := range rest[1:] {
			cl.fleet.SetFault(info.ID, emulator.RunnerUnreachable)
		}
		time.Sleep(5 * time.Second)
		cl.fleet.SetFault(lost.ID, emulator.RunnerUnreachable)
		took := awaitWithinMinute(t, func() bool { return cl.fleet.Running(rest[0].ID) == 2 })
		assert.Assert(t, took < restartsWithin, "the tasks of the lost runner started again after %v, want at most %v", took, restartsWithin)
		cl.assertNoOverlap()
		stop()
		<-c.Done()
	})
}

// darkRunner is a fleet with one runner that gets no commands once it is dark. Its commands take as long to fail as on the platform.
type darkRunner struct {
	*emulator.Fleet
	id   string
	dark atomic.Bool
}

// goDark ends what runs on the runner and keeps it from receiving commands.
func (d *darkRunner) goDark() {
	d.dark.Store(true)
	d.Crash(d.id)
}

func (d *darkRunner) Start(ctx context.Context, target runner.Target, command runner.Start) (time.Duration, error) {
	if target.ID == d.id && d.dark.Load() {
		wait.For(ctx, time.Second)
		return 0, errCut
	}
	return d.Fleet.Start(ctx, target, command)
}

func (d *darkRunner) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	began := time.Now()
	report, err := d.Fleet.Hold(ctx, target, command)
	if target.ID == d.id && d.dark.Load() {
		wait.For(ctx, command.Wait+1500*time.Millisecond-time.Since(began))
		return runner.Report{}, errCut
	}
	return report, err
}

// Starts extend the lease too. Those sent to a runner that was gone kept its long-running tasks waiting for up to three seconds more.
func TestStartsWithoutResponseExtendNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, func(task workload.TaskID, _ int) (time.Duration, bool) {
			if task.Job == fmt.Sprintf("%016x", 1) {
				return time.Hour, false
			}
			return 5 * time.Second, false
		})
		lost, other := cl.infos[0], cl.infos[1]
		fleet := &darkRunner{Fleet: cl.fleet, id: lost.ID}
		c, stop := cl.startOwnerWith("a", true, cl.store, fleet)
		time.Sleep(100 * time.Millisecond)
		other.Draining = true
		c.SetRunner(t.Context(), other, true)
		longRunning := tasks(1, 4000)
		longRunning.LongRunning = true
		cl.submit(c, jobOf(1, longRunning))
		time.Sleep(200 * time.Millisecond)
		task := workload.TaskID{Job: jobOf(1).ID}
		assert.DeepEqual(t, cl.fleet.Runs()[task], []string{lost.ID})
		other.Draining = false
		c.SetRunner(t.Context(), other, true)
		// The runner becomes dark at the start of a poll, and starts go on.
		time.Sleep(2 * time.Second)
		fleet.goDark()
		for i := range 40 {
			c.Submit(t.Context(), jobOf(2+i, tasks(1, 2000)), true)
			time.Sleep(100 * time.Millisecond)
		}
		took := 4*time.Second + awaitWithinMinute(t, func() bool { return len(cl.fleet.Runs()[task]) == 1 })
		assert.Assert(t, took < restartsWithin, "the task started again after %v, want at most %v", took, restartsWithin)
		cl.assertNoOverlap()
		stop()
		<-c.Done()
	})
}

// The back-off of a runner that left starts unanswered grew to 8 s although the runner confirmed the stops of these runs, and went on after
// it took starts again, also if no other runner had capacity.
func TestBackoffOfRunnerThatConfirmsStopsStaysShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Second))
		c, stop := cl.startOwner("a", true)
		time.Sleep(100 * time.Millisecond)
		cl.fleet.SetCommandFaults("r0", emulator.CommandFaults{Start: emulator.CommandRequestLost})
		cl.submit(c, jobOf(1, tasks(1, 4000)))
		time.Sleep(22500 * time.Millisecond)
		cl.fleet.SetCommandFaults("r0", emulator.CommandFaults{})
		took := awaitWithinMinute(t, func() bool { return cl.fleet.Running("r0") == 1 })
		// The stop of the last run is proved by the next report, and the back-off is 1 s.
		assert.Assert(t, took < 5*time.Second, "the task started %v after the runner took starts again", took)
		cl.assertNoOverlap()
		stop()
		<-c.Done()
	})
}

// rebornRunner is a fleet in which another incarnation answers at the address of one runner from a time on.
type rebornRunner struct {
	*emulator.Fleet
	id     string
	reborn atomic.Bool
}

func (f *rebornRunner) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	if target.ID == f.id && f.reborn.Load() {
		return runner.Report{}, &runner.RefusedError{Reason: runner.ReasonIncarnation}
	}
	report, err := f.Fleet.Hold(ctx, target, command)
	if target.ID == f.id && f.reborn.Load() {
		return runner.Report{}, errCut
	}
	return report, err
}

// Each poll that another incarnation answered moved the time at which the runner had ended, so the owner asked for a proof of its
// ownership again and again: it wrote its row seven to ten times a second as long as service discovery listed the runner.
func TestRebornRunnerIsConcludedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Second))
		fleet := &rebornRunner{Fleet: cl.fleet, id: "r0"}
		c, stop := cl.startOwnerWith("a", true, cl.store, fleet)
		time.Sleep(2 * time.Second)
		cl.fleet.Crash("r0")
		fleet.reborn.Store(true)
		time.Sleep(3 * time.Second)
		before := cl.store.Commits()
		time.Sleep(10 * time.Second)
		// An idle owner writes its row once a second.
		commits := cl.store.Commits() - before
		assert.Assert(t, commits <= 12, "the owner wrote its row %d times in ten seconds", commits)
		stop()
		<-c.Done()
	})
}

// A predecessor that was known to have ended was awaited for a whole lease from the takeover, also if that ended later than 10 s after its
// last write, after which it can have granted no lease: a late takeover waited longer than for an owner that may be alive.
func TestLateTakeoverWaitsNoLongerThanLastWriteAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, fixedDuration(time.Hour))
		go cl.watchOwner()
		first, kill := cl.startOwner("a", true)
		cl.submit(first, jobOf(1, longRunning(6, 8000)))
		time.Sleep(3 * time.Second)
		cl.killOwner(first, kill)
		cl.fleet.Crash("r1")
		began := time.Now()
		time.Sleep(8 * time.Second)
		_, stop := cl.startOwner("b", true)
		awaitWithinMinute(t, func() bool { return cl.fleet.Running("r0")+cl.fleet.Running("r2") == 6 })
		took := time.Since(began)
		// The row is read every 0.4 s.
		bound := outageBound + 400*time.Millisecond + 500*time.Millisecond
		assert.Assert(t, took < bound, "the tasks started again %v after the loss, want at most %v", took, bound)
		cl.assertNoOverlap()
		stop()
	})
}

// lateStore applies commits without a response while it is silent, and shows the next attempt of such a commit that it was applied.
type lateStore struct {
	*emulator.Store
	silent atomic.Bool
	// cut is set once the owner's commits no longer reach the store, and writtenAt is when the last one was applied.
	cut       atomic.Bool
	writtenAt atomic.Int64
}

func (s *lateStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if s.cut.Load() {
		wait.For(ctx, 2500*time.Millisecond)
		return 0, &store.UnknownOutcomeError{Err: errCut}
	}
	version, err := s.Store.Commit(ctx, txn)
	if err == nil {
		s.writtenAt.Store(time.Now().UnixNano())
	}
	switch {
	case err == nil && s.silent.Load():
		wait.For(ctx, 2500*time.Millisecond)
		return 0, &store.UnknownOutcomeError{Err: errCut}
	case err != nil && s.silent.Load():
		// The conflict shows that the first attempt was applied, and is the last that the owner hears from the store.
		s.cut.Store(true)
	}
	return version, err
}

// A commit without a response was repeated, and its conflict showed that it had been applied. The owner then granted leases as if it had
// written at the time of the repetition, up to 10 s after it, while a successor counts 10 s from the write.
func TestLeasesEndAfterCommitThatWasAppliedEarlier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Hour))
		s := &lateStore{Store: cl.store}
		c, stop := cl.startOwnerWith("a", true, s, cl.fleet)
		cl.submit(c, jobOf(1, longRunning(4, 8000)))
		time.Sleep(3 * time.Second)
		assert.Equal(t, cl.running(), 4)
		s.silent.Store(true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, s.cut.Load())
		time.Sleep(time.Until(time.Unix(0, s.writtenAt.Load()).Add(outageBound)))
		assert.Equal(t, cl.running(), 0, "tasks %v after the last write", outageBound)
		stop()
	})
}
