package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
)

// A former owner that is cut off repeats a start, which reaches the process that starts next under the ID of a runner that has left. Its
// successor, which does not reach that process, must not start the task elsewhere while it runs there.
func TestStartOfFormerOwnerOnNextProcessIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Hour))
		cl.witness = newWitness(witnessDenies)
		go cl.watchOwner()
		a, rest := &link{Fleet: cl.fleet, Store: cl.store}, &link{Fleet: cl.fleet, Store: cl.store}
		first, _ := cl.startOwnerWith("a", true, a, a)
		first.SetRunner(t.Context(), cl.infos[0], false)
		time.Sleep(3 * time.Second)
		born := cl.infos[1].Born
		cl.fleet.SetCommandFaults("r1", emulator.CommandFaults{Start: emulator.CommandRequestLost})
		cl.submit(first, jobOf(1, tasks(1, 8000)))
		time.Sleep(20 * time.Millisecond)
		a.cutStore.Store(true)
		rest.cut.Store("r1", true)
		a.cut.Store("r0", true)
		cl.fleet.Crash("r1")
		time.Sleep(100 * time.Millisecond)
		next, stop := cl.startOwnerWith("b", false, rest, rest)
		next.RunnerLeft("r1", born)
		time.Sleep(300 * time.Millisecond)
		cl.fleet.SetCommandFaults("r1", emulator.CommandFaults{})
		cl.fleet.Restart("r1")
		cl.fleet.SetCommandFaults("r1", emulator.CommandFaults{})
		time.Sleep(outageBound + 2*time.Second)
		cl.assertNoOverlap()
		assert.Equal(t, cl.fleet.Running("r0"), 1)
		stop()
		<-next.Done()
	})
}
