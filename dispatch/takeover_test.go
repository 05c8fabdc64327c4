package dispatch_test

import (
	"context"
	"errors"
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

// partition is a node's view of the store and the runners during a network partition.
type partition struct {
	*emulator.Store
	*emulator.Fleet
	storeCut  atomic.Bool
	reachable func(runnerID string) bool
}

var errCut = errors.New("no connection")

func (p *partition) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if p.storeCut.Load() {
		wait.For(ctx, callTimeout)
		return 0, &store.UnknownOutcomeError{Err: errCut}
	}
	return p.Store.Commit(ctx, txn)
}

// cut reports whether a runner can't be reached, after the time of a connection attempt.
func (p *partition) cut(ctx context.Context, target runner.Target) bool {
	if p.reachable(target.ID) {
		return false
	}
	wait.For(ctx, callTimeout)
	return true
}

func (p *partition) Start(ctx context.Context, target runner.Target, command runner.Start) (time.Duration, error) {
	if p.cut(ctx, target) {
		return 0, runner.ErrNotSent
	}
	return p.Fleet.Start(ctx, target, command)
}

func (p *partition) Stop(ctx context.Context, target runner.Target, task workload.TaskID, run int, token int64) error {
	if p.cut(ctx, target) {
		return runner.ErrNotSent
	}
	return p.Fleet.Stop(ctx, target, task, run, token)
}

func (p *partition) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	if p.cut(ctx, target) {
		return runner.Report{}, runner.ErrNotSent
	}
	report, err := p.Fleet.Hold(ctx, target, command)
	if p.cut(ctx, target) {
		// The partition began during the call.
		return runner.Report{}, errCut
	}
	return report, err
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

// A task ran in two places after two takeovers in a row: the second owner knew that the first successor had ended, and did not
// know that the owner before it lived on without the store.
func TestSecondTakeoverWaitsForLeasesOfFirstOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, fixedDuration(time.Hour))
		all := true
		isolated := &partition{Store: cl.store, Fleet: cl.fleet, reachable: func(id string) bool { return all || id == "r1" }}
		cl.view = isolated
		first, stopFirst := cl.startOwner("a", true)
		cl.submit(first, jobOf(1, longRunning(6, 8000)))
		time.Sleep(time.Second)
		assert.Assert(t, cl.fleet.Running("r1") > 0)
		all = false
		isolated.storeCut.Store(true)
		cl.view = &partition{Store: cl.store, Fleet: cl.fleet, reachable: func(id string) bool { return id != "r1" }}
		second, stopSecond := cl.startOwner("b", false)
		time.Sleep(500 * time.Millisecond)
		stopSecond()
		<-second.Done()
		third, stopThird := cl.startOwner("c", true)
		time.Sleep(outageBound + takeoverTime)
		cl.assertNoOverlap()
		stopThird()
		<-third.Done()
		stopFirst()
		<-first.Done()
	})
}
