package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
)

// unconfirmedOwner makes a node the owner that knows of no runners before ConfirmRunners is called.
func (cl *cluster) unconfirmedOwner(cfg dispatch.Config) (*dispatch.Cell, context.CancelFunc) {
	cl.t.Helper()
	ctx, cancel := context.WithCancel(cl.t.Context())
	previous, version, err := dispatch.ReadOwner(ctx, cl.store, cellName)
	assert.NilError(cl.t, err)
	cfg.PredecessorLastWrite = cl.firstSeen(version)
	cfg.Acquired = func(int64) {}
	c, err := dispatch.Acquire(ctx, cfg, previous, version, nil)
	assert.NilError(cl.t, err)
	go c.Run(ctx)
	cl.t.Cleanup(func() {
		cancel()
		<-c.Done()
	})
	return c, cancel
}

// An owner that does not know yet which runners the cell has must not state that its predecessor has begun no step early.
func TestOwnerWithoutRunnersDoesNotVouchForItsPredecessor(t *testing.T) {
	for name, release := range map[string]bool{"released": true, "lost": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 2, shortThenLong)
				cl.witness = newWitness(witnessConfirms)
				go cl.watchOwner()
				a := &link{Fleet: cl.fleet, Store: cl.store}
				b := &link{Fleet: cl.fleet, Store: cl.store}
				rest := &link{Fleet: cl.fleet, Store: cl.store}
				first, _ := cl.startOwnerWith("a", true, a, a)
				time.Sleep(3 * time.Second)
				job := jobOf(1, tasks(1, 8000), tasks(8, 6000))
				cl.submit(first, job)
				time.Sleep(stepDuration / 2)
				a.cutStore.Store(true)
				time.Sleep(4 * time.Second)
				assert.Equal(t, cl.startsOfStep(job, 1), 8)
				// The witness of the later owners is another one.
				cl.witness = newWitness(witnessDenies)
				cfg := cl.config("b", false)
				cfg.Store, cfg.Runners = b, b
				second, stopSecond := cl.unconfirmedOwner(cfg)
				time.Sleep(1200 * time.Millisecond)
				if !release {
					b.cutStore.Store(true)
				}
				stopSecond()
				if release {
					<-second.Done()
				}
				other := cl.runnerBeside(job)
				rest.cut.Store(other, true)
				next, stop := cl.startOwnerWith("c", false, rest, rest)
				time.Sleep(outageBound + 5*time.Second)
				cl.assertNoOverlap()
				stop()
				<-next.Done()
			})
		})
	}
}

// An owner that does not know yet which runners the cell has must state how long the leases of its predecessor may last.
func TestOwnerWithoutRunnersStatesInheritedLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Hour))
		cl.witness = newWitness(witnessConfirms)
		go cl.watchOwner()
		a := &link{Fleet: cl.fleet, Store: cl.store}
		rest := &link{Fleet: cl.fleet, Store: cl.store}
		first, _ := cl.startOwnerWith("a", true, a, a)
		time.Sleep(3 * time.Second)
		cl.submit(first, jobOf(1, tasks(8, 6000)))
		time.Sleep(2 * time.Second)
		assert.Assert(t, cl.fleet.Running("r1") > 0)
		a.cutStore.Store(true)
		time.Sleep(100 * time.Millisecond)
		// The witness of the later owners is another one.
		cl.witness = newWitness(witnessDenies)
		second, stopSecond := cl.unconfirmedOwner(cl.config("b", false))
		time.Sleep(100 * time.Millisecond)
		stopSecond()
		<-second.Done()
		rest.cut.Store("r1", true)
		a.cut.Store("r0", true)
		next, stop := cl.startOwnerWith("c", false, rest, rest)
		time.Sleep(outageBound + 5*time.Second)
		cl.assertNoOverlap()
		stop()
		<-next.Done()
	})
}
