package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// An occurrence that becomes due after the previous owner has ended can't have been started by it, so its tasks need not wait for runners
// that are gone.
func TestOccurrenceThatIsDueAfterTheTakeoverDoesNotWait(t *testing.T) {
	for name, release := range map[string]bool{"owner releases": true, "owner has ended": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, fixedDuration(time.Second))
				cl.witness = newWitness(witnessDenies)
				go cl.watchOwner()
				a := &link{Fleet: cl.fleet, Store: cl.store}
				first, kill := cl.startOwnerWith("a", true, a, a)
				time.Sleep(3 * time.Second)
				job := jobOf(1, tasks(3, 8000))
				job.StartAt = time.Now().Add(3 * time.Second)
				cl.submit(first, job)
				time.Sleep(time.Second)
				cl.fleet.Crash("r1")
				a.cutStore.Store(!release)
				kill()
				if release {
					<-first.Done()
				}
				time.Sleep(time.Second)
				next, stop := cl.startOwnerOf(cl.config("b", true))
				time.Sleep(time.Until(job.StartAt) + 600*time.Millisecond)
				started := cl.startsOfStep(job, 0)
				time.Sleep(outageBound)
				cl.assertNoOverlap()
				stop()
				<-next.Done()
				assert.Equal(t, started, 3)
			})
		})
	}
}
