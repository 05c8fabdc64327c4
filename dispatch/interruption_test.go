package dispatch_test

import (
	"context"
	"slices"
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

// stoppable is an owner's connection to the store and the runners. While the owner is stopped, it sends no calls and receives no responses.
type stoppable struct {
	link
	stopped atomic.Pointer[chan struct{}]
	// suspended is the time of stops that the steady clock does not count.
	suspended atomic.Int64
	// stopAfter stops the owner once a commit for which it returns true has been applied.
	stopAfter func(store.Txn) bool
}

func (s *stoppable) stop() {
	resumed := make(chan struct{})
	s.stopped.Store(&resumed)
}

// stopTime is how long owners are stopped. It is longer than a takeover and shorter than the time for which an owner without a commit may
// send commands.
const stopTime = 2500 * time.Millisecond

// resume lets the owner go on after it has been stopped for stopTime.
func (s *stoppable) resume() {
	s.suspended.Add(int64(stopTime))
	close(*s.stopped.Swap(nil))
}

func (s *stoppable) await(ctx context.Context) {
	if stopped := s.stopped.Load(); stopped != nil {
		select {
		case <-*stopped:
		case <-ctx.Done():
		}
	}
}

func (s *stoppable) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	s.await(ctx)
	version, err := s.link.Commit(ctx, txn)
	if s.stopAfter != nil && s.stopAfter(txn) {
		s.stopAfter = nil
		s.stop()
	}
	s.await(ctx)
	return version, err
}

func (s *stoppable) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	s.await(ctx)
	page, err := s.link.Range(ctx, table, part, from, to, limit)
	s.await(ctx)
	return page, err
}

func (s *stoppable) Start(ctx context.Context, target runner.Target, command runner.Start) (time.Duration, error) {
	s.await(ctx)
	clock, err := s.link.Start(ctx, target, command)
	s.await(ctx)
	return clock, err
}

func (s *stoppable) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	s.await(ctx)
	report, err := s.link.Hold(ctx, target, command)
	s.await(ctx)
	return report, err
}

// startStoppable makes node a the owner and returns the cell and its connection. change, if set, changes the connection before.
func (cl *cluster) startStoppable(change func(*stoppable)) (*dispatch.Cell, *stoppable) {
	cl.t.Helper()
	s := &stoppable{link: link{Fleet: cl.fleet, Store: cl.store}}
	if change != nil {
		change(s)
	}
	cfg := cl.config("a", true)
	cfg.Store, cfg.Runners = s, s
	cfg.Suspended = func() time.Duration { return time.Duration(s.suspended.Load()) }
	c, _ := cl.startOwnerOf(cfg)
	time.Sleep(100 * time.Millisecond)
	return c, s
}

// takeOver makes another node the owner, which starts nothing on r1, and restarts r1 without its knowledge.
func (cl *cluster) takeOver() *dispatch.Cell {
	cl.t.Helper()
	rest := &link{Fleet: cl.fleet, Store: cl.store}
	cl.infos[1].Draining = true
	next, _ := cl.startOwnerWith("b", false, rest, rest)
	time.Sleep(400 * time.Millisecond)
	rest.cut.Store("r1", true)
	cl.fleet.Crash("r1")
	cl.fleet.Restart("r1")
	return next
}

// An owner whose process was stopped read, after it went on, reports that runners had sent before its successor polled them, and started
// tasks of its successor on a runner that had restarted and knew no fencing token.
func TestInterruptedOwnerStartsNothingOnRestartedRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(2*time.Second))
		first, a := cl.startStoppable(nil)
		// Each runner has capacity for three tasks.
		job := jobOf(1, tasks(10, 21000))
		cl.submit(first, job)
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, cl.fleet.Running("r0")+cl.fleet.Running("r1"), 6)
		a.stop()
		time.Sleep(200 * time.Millisecond)
		next := cl.takeOver()
		assert.Equal(t, cl.fleet.Running("r0"), 3)
		// The refusal of r0 would show the successor at once.
		a.cut.Store("r0", true)
		a.resume()
		time.Sleep(20 * time.Second)
		cl.assertNoOverlap()
		assert.Assert(t, first.HasLostOwnership())
		assert.Equal(t, state(next, job), workload.StateCompleted)
	})
}

// An owner whose process was stopped while the commit of an assignment was under way started the task after its successor had
// started it elsewhere.
func TestInterruptedOwnerStartsNoTaskWhoseAssignmentBecameDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(emulator.Endless))
		cl.infos[0].Draining = true
		first, a := cl.startStoppable(func(s *stoppable) {
			s.stopAfter = func(txn store.Txn) bool {
				return slices.ContainsFunc(txn.Writes, func(w store.Write) bool { return w.Key.Table == dispatch.TableProgress })
			}
		})
		cl.submit(first, jobOf(1, longRunning(1, 40000)))
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, len(cl.fleet.Starts()), 0)
		cl.infos[0].Draining = false
		next := cl.takeOver()
		assert.Equal(t, cl.fleet.Running("r0"), 1)
		a.resume()
		time.Sleep(time.Second)
		cl.assertNoOverlap()
		assert.Assert(t, first.HasLostOwnership())
		assert.Assert(t, !next.HasLostOwnership())
	})
}

// A start command without a response was repeated after the owner's process had been stopped.
func TestInterruptedOwnerRepeatsNoStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(10*time.Second))
		cl.infos[0].Draining = true
		first, a := cl.startStoppable(nil)
		cl.fleet.SetCommandFaults("r1", emulator.CommandFaults{Start: emulator.CommandRequestLost})
		cl.submit(first, jobOf(1, tasks(1, 40000)))
		time.Sleep(50 * time.Millisecond)
		a.stop()
		cl.fleet.SetCommandFaults("r1", emulator.CommandFaults{})
		cl.infos[0].Draining = false
		next := cl.takeOver()
		assert.Equal(t, cl.fleet.Running("r0"), 1)
		a.resume()
		time.Sleep(20 * time.Second)
		cl.assertNoOverlap()
		assert.Assert(t, first.HasLostOwnership())
		assert.Assert(t, !next.HasLostOwnership())
	})
}

// An owner that was interrupted and has no successor goes on after its next commit.
func TestInterruptedOwnerGoesOnAfterACommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(2*time.Second))
		first, a := cl.startStoppable(nil)
		job := jobOf(1, tasks(10, 21000))
		cl.submit(first, job)
		time.Sleep(1900 * time.Millisecond)
		a.stop()
		time.Sleep(200 * time.Millisecond)
		a.resume()
		time.Sleep(3 * time.Second)
		assert.Equal(t, state(first, job), workload.StateCompleted)
		assert.Assert(t, !first.HasLostOwnership())
	})
}
