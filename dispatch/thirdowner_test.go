package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The leases of an owner end at the same time for its second successor as for its first one, which learned that they end early and was lost.
func TestSecondSuccessorDoesNotAwaitLeasesForLonger(t *testing.T) {
	for name, owned := range map[string]time.Duration{"before its first commit": 0, "after its first commit": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, fixedDuration(time.Hour))
				cl.witness = newWitness(witnessDenies)
				go cl.watchOwner()
				a, b := &link{Fleet: cl.fleet, Store: cl.store}, &link{Fleet: cl.fleet, Store: cl.store}
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
				if owned == 0 {
					_ = cl.acquire(t.Context(), "b", false)
				} else {
					_, killSecond := cl.startOwnerWith("b", false, b, b)
					time.Sleep(owned)
					b.cutStore.Store(true)
					killSecond()
				}
				time.Sleep(2500 * time.Millisecond)
				next, stop := cl.startOwnerOf(cl.config("c", false))
				for cl.running() < 6 && time.Since(end) < 30*time.Second {
					time.Sleep(50 * time.Millisecond)
				}
				waited := time.Since(end)
				cl.assertNoOverlap()
				stop()
				<-next.Done()
				assert.Assert(t, waited <= leaseBound+2*time.Second, "tasks started %v after the end of the first owner", waited)
			})
		})
	}
}
