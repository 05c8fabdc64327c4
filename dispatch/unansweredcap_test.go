package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
)

// A row that is the first to state a cap binds its owner from when it is sent: it may be written without the owner's knowledge.
func TestCapHoldsFromWhenItsRowIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(time.Hour))
		w := newWitness(witnessDenies)
		cfg := cl.config("a", true)
		cfg.ConfirmOutage = w.confirm
		c, stop := cl.startOwnerOf(cfg)
		time.Sleep(100 * time.Millisecond)
		cl.submit(c, jobOf(1, longRunning(2, 8000)))
		time.Sleep(2 * time.Second)
		c.SetWitnesses([]dispatch.Witness{w.Witness})
		cl.store.SetFault(emulator.StoreLosesResponses)
		for {
			row, _, err := dispatch.ReadOwner(t.Context(), cl.store, cellName)
			assert.NilError(t, err)
			if row.LeaseCapMs > 0 {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		written := time.Now()
		time.Sleep(5 * time.Second)
		ends := cl.fleet.LeaseEnd("r0").Sub(written)
		cl.store.SetFault(emulator.StoreWorks)
		stop()
		<-c.Done()
		assert.Assert(t, ends <= lease, "leases end %v after the row", ends)
	})
}

// A denial also shortens the wait for runners that the owner learns of after it.
func TestDenialCoversRunnersThatAreConfirmedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, fixedDuration(time.Hour))
		cl.witness = newWitness(witnessDenies)
		go cl.watchOwner()
		a := &link{Fleet: cl.fleet, Store: cl.store}
		first, kill := cl.startOwnerWith("a", true, a, a)
		time.Sleep(100 * time.Millisecond)
		cl.submit(first, jobOf(1, tasks(6, 8000)))
		time.Sleep(5 * time.Second)
		assert.Assert(t, cl.fleet.Running("r1") > 0)
		end := time.Now()
		cl.fleet.Crash("r1")
		a.cutStore.Store(true)
		kill()
		time.Sleep(1500 * time.Millisecond)
		next, stop := cl.unconfirmedOwner(cl.config("b", false))
		assert.Assert(t, cl.witness.deny(next.Epoch()))
		next.MarkOutageDenied()
		for _, info := range cl.infos {
			next.SetRunner(t.Context(), info, true)
		}
		next.ConfirmRunners(cl.infos)
		for cl.running() < 6 && time.Since(end) < 20*time.Second {
			time.Sleep(50 * time.Millisecond)
		}
		waited := time.Since(end)
		cl.assertNoOverlap()
		stop()
		<-next.Done()
		assert.Assert(t, waited <= leaseBound+time.Second, "tasks started %v after the last write", waited)
	})
}
