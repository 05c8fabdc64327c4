package dispatch_test

import (
	"context"
	"errors"
	"sync"
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

// startOwnerWith is startOwner for an owner with its own connections to the store and the runners.
func (cl *cluster) startOwnerWith(node string, predecessorDead bool, s store.Store, runners runner.Client) (*dispatch.Cell, context.CancelFunc) {
	cl.t.Helper()
	cfg := cl.config(node, predecessorDead)
	cfg.Store, cfg.Runners = s, runners
	return cl.startOwnerOf(cfg)
}

// startOwnerOf is startOwner for an owner with its own configuration.
func (cl *cluster) startOwnerOf(cfg dispatch.Config) (*dispatch.Cell, context.CancelFunc) {
	cl.t.Helper()
	ctx, cancel := context.WithCancel(cl.t.Context())
	c := cl.acquireWith(ctx, cfg)
	if cl.witness != nil && cl.witness.deny(c.Epoch()) {
		c.MarkOutageDenied()
	}
	go c.Run(ctx)
	cl.t.Cleanup(func() {
		cancel()
		<-c.Done()
	})
	return c, cancel
}

// link is the connection of one owner to the store and to some of the runners, which can be cut.
type link struct {
	*emulator.Fleet
	store.Store
	cutStore atomic.Bool
	// cut holds the runners that can't be reached.
	cut sync.Map
}

var errCut = errors.New("no answer")

func (l *link) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if l.cutStore.Load() {
		wait.For(ctx, callTimeout)
		return 0, &store.UnknownOutcomeError{Err: errCut}
	}
	return l.Store.Commit(ctx, txn)
}

// reaches reports whether a command reaches its runner. Otherwise it waits for the timeout of a command.
func (l *link) reaches(ctx context.Context, target runner.Target) bool {
	if _, cut := l.cut.Load(target.ID); cut {
		wait.For(ctx, time.Second)
		return false
	}
	return true
}

func (l *link) Start(ctx context.Context, target runner.Target, command runner.Start) (time.Duration, error) {
	if !l.reaches(ctx, target) {
		return 0, errCut
	}
	return l.Fleet.Start(ctx, target, command)
}

func (l *link) Stop(ctx context.Context, target runner.Target, task workload.TaskID, run int, token int64) error {
	if !l.reaches(ctx, target) {
		return errCut
	}
	return l.Fleet.Stop(ctx, target, task, run, token)
}

func (l *link) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	if !l.reaches(ctx, target) {
		return runner.Report{}, errCut
	}
	report, err := l.Fleet.Hold(ctx, target, command)
	if !l.reaches(ctx, target) {
		return runner.Report{}, errCut
	}
	return report, err
}

// The second of two successors must still wait for the owner before its predecessor. That owner, cut off from the store with
// some runners, extends their leases until 10 s after its last write; the second successor waits 6.4 s because its own
// predecessor has released the cell.
func TestSecondTakeoverWaitsForFirstOwner(t *testing.T) {
	for name, takeovers := range map[string]int{"one takeover": 1, "two takeovers": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 2, fixedDuration(time.Hour))
				// The small runner has no room for the tasks of the others, so the first owner starts none of them there.
				small := cl.infos[0]
				small.ID, small.Addr, small.Capacity.CPU = "r2", "r2", 40000
				cl.infos = append(cl.infos, small)
				cl.fleet.Add(small)
				a := &link{Fleet: cl.fleet, Store: cl.store}
				rest := &link{Fleet: cl.fleet, Store: cl.store}
				first, _ := cl.startOwnerWith("a", true, a, a)
				time.Sleep(100 * time.Millisecond)
				cl.submit(first, jobOf(1, longRunning(3, 30000)))
				time.Sleep(3 * time.Second)
				assert.Equal(t, cl.fleet.Running("r2"), 1)
				cl.submit(first, jobOf(2, tasks(1, 20000)))
				// The first owner and r2 are cut off from everything else.
				a.cutStore.Store(true)
				a.cut.Store("r0", true)
				a.cut.Store("r1", true)
				rest.cut.Store("r2", true)
				time.Sleep(2500 * time.Millisecond)
				last, stop := cl.startOwnerWith("b", false, rest, rest)
				if takeovers > 1 {
					time.Sleep(300 * time.Millisecond)
					stop()
					<-last.Done()
					last, stop = cl.startOwnerWith("c", true, rest, rest)
				}
				time.Sleep(outageBound + time.Second)
				cl.assertNoOverlap()
				assert.Equal(t, cl.fleet.Running("r0")+cl.fleet.Running("r1"), 4)
				stop()
				<-last.Done()
			})
		})
	}
}

// lastCommitStore is a store that responds to no commit after the first one whose outcome is known once armed.
type lastCommitStore struct {
	store.Store
	armed, silent atomic.Bool
}

func (s *lastCommitStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if s.silent.Load() {
		wait.For(ctx, callTimeout)
		return 0, &store.UnknownOutcomeError{Err: errCut}
	}
	version, err := s.Store.Commit(ctx, txn)
	var conflict *store.ConflictError
	if s.armed.Load() && (err == nil || errors.As(err, &conflict)) {
		s.silent.Store(true)
	}
	return version, err
}

// The numbers of ends begin again when a runner restarts. A commit that was in flight then acknowledges ends of the new
// process that it does not contain. If the owner is lost before its next commit, such a task runs again although it is done.
func TestCommitBeforeRestartAcknowledgesNoEndsOfNewProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after := jobOf(1, tasks(1, 60000)), jobOf(2, tasks(1, 60000))
		cl := newCluster(t, 1, func(task workload.TaskID, _ int) (time.Duration, bool) {
			if task.Job == after.ID {
				return 400 * time.Millisecond, false
			}
			return time.Second, false
		})
		s := &lastCommitStore{Store: cl.store}
		c, stop := cl.startOwnerWith("a", true, s, cl.fleet)
		time.Sleep(100 * time.Millisecond)
		cl.submit(c, before)
		cl.submit(c, after)
		time.Sleep(950 * time.Millisecond)
		// The commit with the end of the first task gets no response until 4.35 s.
		cl.store.SetFault(emulator.StoreLosesResponses)
		cl.fleet.SetCommandFaults("r0", emulator.CommandFaults{RefuseStarts: runner.ReasonNoCapacity})
		time.Sleep(150 * time.Millisecond)
		cl.fleet.Crash("r0")
		cl.fleet.Restart("r0")
		// The next start reaches the new process. A poll in flight notices the restart after 2 s.
		cl.fleet.SetCommandFaults("r0", emulator.CommandFaults{})
		time.Sleep(2900 * time.Millisecond)
		assert.Equal(t, cl.fleet.Done(workload.TaskID{Job: after.ID}), 1)
		cl.store.SetFault(emulator.StoreWorks)
		s.armed.Store(true)
		time.Sleep(time.Second)
		assert.Assert(t, s.silent.Load(), "the commit has no response yet")
		stop()
		<-c.Done()
		next, stopNext := cl.startOwner("b", true)
		time.Sleep(5 * time.Second)
		assert.Equal(t, state(next, after), workload.StateCompleted)
		assert.Equal(t, cl.fleet.Done(workload.TaskID{Job: after.ID}), 1, "the task ran again")
		stopNext()
		<-next.Done()
	})
}

// A runner that appears while a cell is being stopped is polled by a goroutine that nothing ends. Run never returns: the node
// never takes the cell again, reports no end of its ownership, and does not exit when it is asked to.
func TestRunnerThatAppearsWhileCellStopsDoesNotKeepItRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Second))
		late := cl.infos[1]
		cl.infos = cl.infos[:1]
		c, stop := cl.startOwner("a", true)
		time.Sleep(time.Second)
		// The last commits of the cell take some time.
		cl.store.SetFault(emulator.StoreSilent)
		stop()
		time.Sleep(time.Second)
		// Nodes pass a context that does not end.
		runnerCtx, stopRunner := context.WithCancel(context.Background())
		c.SetRunner(runnerCtx, late, true)
		time.Sleep(3 * lease)
		ended := false
		select {
		case <-c.Done():
			ended = true
		default:
		}
		stopRunner()
		assert.Assert(t, ended, "the cell still runs")
	})
}

// A gang of which one member could not be started waits for its timeout, after which the other members end as alone. Its
// capacity does no work meanwhile.
func TestGangIsStoppedIfAMemberCanNotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, fixedDuration(time.Second))
		cl.fleet.Gang = func(workload.TaskID) int { return 3 }
		c, stop := cl.startOwner("a", true)
		time.Sleep(100 * time.Millisecond)
		cl.fleet.SetCommandFaults("r1", emulator.CommandFaults{RefuseStarts: runner.ReasonNoCapacity})
		gang := tasks(3, 40000)
		gang.Gang = true
		job := jobOf(1, gang)
		cl.submit(c, job)
		time.Sleep(100 * time.Millisecond)
		cl.fleet.SetCommandFaults("r1", emulator.CommandFaults{})
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, state(c, job), workload.StateCompleted)
		stop()
		<-c.Done()
	})
}

// The members of a running gang must go on after a takeover. The new owner adopts the member that is reported first and stops
// the others, because their common run number is lower than the one that it would use next.
func TestTakeoverAdoptsAllMembersOfGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, fixedDuration(10*time.Second))
		cl.fleet.Gang = func(workload.TaskID) int { return 3 }
		first, stopFirst := cl.startOwner("a", true)
		time.Sleep(100 * time.Millisecond)
		gang := tasks(3, 40000)
		gang.Gang, gang.Estimated = true, 10*time.Second
		job := jobOf(1, gang)
		cl.submit(first, job)
		time.Sleep(2 * time.Second)
		stopFirst()
		<-first.Done()
		next, stop := cl.startOwner("b", true)
		time.Sleep(11 * time.Second)
		assert.Equal(t, len(cl.fleet.Starts()), 3)
		assert.Equal(t, state(next, job), workload.StateCompleted)
		stop()
		<-next.Done()
	})
}

// After a takeover that was broken off before its first commit, tasks waited for runners that had terminated long before: the
// ownership row no longer listed them.
func TestTakeoverAfterBrokenOffTakeoverKnowsTerminatedRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, fixedDuration(2*time.Second))
		first, kill := cl.startOwner("a", true)
		cl.fleet.SetFault("r1", emulator.RunnerUnreachable)
		time.Sleep(30 * time.Second)
		job := jobOf(1, tasks(4, 8000), tasks(4, 8000))
		cl.submit(first, job)
		time.Sleep(time.Second)
		cl.killOwner(first, kill)
		_ = cl.acquire(t.Context(), "b", false) // is lost before it runs
		next, stop := cl.startOwner("c", false)
		time.Sleep(3*time.Second + takeoverTime)
		assert.Equal(t, state(next, job), workload.StateCompleted)
		cl.assertNoOverlap()
		stop()
		<-next.Done()
	})
}

// Owners that hand the cell over one after another made tasks wait for a whole lease of an unreachable runner again and again.
func TestHandoversDoNotRestartTheWaitForUnreachableRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, fixedDuration(time.Hour))
		c, stop := cl.startOwner("a", true)
		cl.submit(c, jobOf(1, longRunning(6, 8000)))
		time.Sleep(time.Second)
		assert.Assert(t, cl.fleet.Running("r1") > 0)
		cl.fleet.SetFault("r1", emulator.RunnerUnreachable)
		silent := time.Now()
		for _, node := range []string{"b", "c", "d"} {
			time.Sleep(2500 * time.Millisecond)
			stop()
			<-c.Done()
			c, stop = cl.startOwner(node, true)
		}
		time.Sleep(leaseBound + takeoverTime - time.Since(silent))
		assert.Equal(t, cl.fleet.Running("r0")+cl.fleet.Running("r2"), 6)
		cl.assertNoOverlap()
		stop()
		<-c.Done()
	})
}

// A successor waited for the longest lease of a runner that its predecessor had found silent long before.
func TestTakeoverKnowsTheLeasesOfSilentRunners(t *testing.T) {
	for name, step := range map[string]workload.Step{"ordinary": tasks(6, 8000), "long-running": longRunning(6, 8000)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, fixedDuration(time.Minute))
				first, kill := cl.startOwner("a", true)
				time.Sleep(100 * time.Millisecond)
				cl.submit(first, jobOf(1, step))
				time.Sleep(2 * time.Second)
				cl.fleet.SetFault("r1", emulator.RunnerUnreachable)
				time.Sleep(4500 * time.Millisecond)
				cl.killOwner(first, kill)
				next, stop := cl.startOwner("b", false)
				// The last lease was granted within a poll of the silence.
				time.Sleep(lease + holdWait + time.Second - 4500*time.Millisecond)
				assert.Equal(t, cl.fleet.Running("r0")+cl.fleet.Running("r2"), 6)
				cl.assertNoOverlap()
				stop()
				<-next.Done()
			})
		})
	}
}

// While the row of an owner says when the lease of a silent runner ends, the owner must not extend that lease: its successor would
// not wait for it.
func TestRunnerThatIsListedAsSilentGetsNoLongerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Minute))
		a := &link{Fleet: cl.fleet, Store: cl.store}
		c, stop := cl.startOwnerWith("a", true, a, a)
		time.Sleep(100 * time.Millisecond)
		cl.submit(c, jobOf(1, tasks(2, 40000)))
		time.Sleep(2 * time.Second)
		a.cut.Store("r0", true)
		time.Sleep(holdWait + 1200*time.Millisecond)
		a.cutStore.Store(true)
		listed := cl.fleet.LeaseEnd("r0")
		a.cut.Delete("r0")
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, cl.fleet.LeaseEnd("r0"), listed, "a lease was extended that the row lists")
		a.cutStore.Store(false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, cl.fleet.LeaseEnd("r0").After(listed), "leases are extended after a commit")
		assert.Equal(t, cl.fleet.Running("r0")+cl.fleet.Running("r1"), 2)
		assert.Equal(t, len(cl.fleet.Starts()), 2)
		stop()
		<-c.Done()
	})
}
