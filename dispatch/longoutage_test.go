package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// shortThenLong is work of which the tasks of the first step take stepDuration and the others an hour.
func shortThenLong(task workload.TaskID, _ int) (time.Duration, bool) {
	if task.Step == 0 {
		return stepDuration, false
	}
	return time.Hour, false
}

// lastCommitLink is a link that is cut from the store after the next commit that succeeds once cutNext is set.
type lastCommitLink struct {
	link
	cutNext atomic.Bool
}

func (l *lastCommitLink) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	version, err := l.link.Commit(ctx, txn)
	if err == nil && l.cutNext.Load() {
		l.cutStore.Store(true)
	}
	return version, err
}

// runnerBeside returns a runner on which the first start of a job was not.
func (cl *cluster) runnerBeside(job *workload.Job) (other string) {
	cl.t.Helper()
	first := ""
	for _, start := range cl.fleet.Starts() {
		if start.Task.Job == job.ID {
			first = start.Runner
			break
		}
	}
	for _, info := range cl.infos {
		if info.ID != first {
			other = info.ID
		}
	}
	assert.Assert(cl.t, first != "" && other != "")
	return other
}

// A row that was built before an outage was confirmed states that no step has begun early, and is written when the outage ends. The witness may
// have forgotten its confirmation by then, so a successor must not rely on the row.
func TestStepBegunInAnOutageThatOutlastsTheConfirmationIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, shortThenLong)
		cl.witness = newWitness(witnessConfirms)
		go cl.watchOwner()
		a := &lastCommitLink{link: link{Fleet: cl.fleet, Store: cl.store}}
		rest := &link{Fleet: cl.fleet, Store: cl.store}
		first, _ := cl.startOwnerWith("a", true, a, a)
		time.Sleep(3 * time.Second)
		job := jobOf(1, tasks(1, 8000), tasks(8, 14000))
		cl.submit(first, job)
		time.Sleep(stepDuration / 2)
		cl.store.SetFault(emulator.StoreSilent)
		time.Sleep(dispatch.ConfirmationMemory + 6*time.Second)
		cl.witness.mode.Store(int32(witnessDenies))
		// The commit after the one that is in flight is lost.
		a.cutNext.Store(true)
		cl.store.SetFault(emulator.StoreWorks)
		other := cl.runnerBeside(job)
		rest.cut.Store(other, true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.fleet.Running(other), 0, "tasks are started before a later row is written")
		next, stop := cl.startOwnerWith("b", false, rest, rest)
		time.Sleep(outageBound + 5*time.Second)
		cl.assertNoOverlap()
		stop()
		<-next.Done()
	})
}
