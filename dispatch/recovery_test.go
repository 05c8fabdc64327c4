package dispatch_test

import (
	"context"
	"sync"
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

// oldReads is a connection to the store whose reads are behind from the first commit on.
type oldReads struct {
	*emulator.Store
	behind time.Duration
	once   sync.Once
}

func (s *oldReads) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	version, err := s.Store.Commit(ctx, txn)
	s.once.Do(func() { s.SetReadsBehind(s.behind) })
	return version, err
}

// A new owner whose first read of the jobs was older than its acquisition never learned of the jobs accepted since, and nobody ran them.
func TestTakeoverReadsAllAcceptedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(3*time.Second))
		first, stop := cl.startOwner("a", false)
		time.Sleep(4 * time.Second)
		early, late := jobOf(1, tasks(2, 8000), tasks(2, 8000)), jobOf(2, tasks(2, 8000))
		cl.submit(first, early)
		time.Sleep(4 * time.Second)
		cl.submit(first, late)
		time.Sleep(100 * time.Millisecond)
		stop()
		<-first.Done()
		s := &oldReads{Store: cl.store, behind: 3 * time.Second}
		second, _ := cl.startOwnerWith("b", true, s, cl.fleet)
		s.SetReadsBehind(0)
		time.Sleep(lease + settleTime)
		assert.Equal(t, state(second, early), workload.StateCompleted)
		assert.Equal(t, state(second, late), workload.StateCompleted)
		assert.Equal(t, len(cl.fleet.Starts()), 6, "each task starts once")
	})
}

// A host that read an old state of the origin's row, in which the job had none yet, took the job for one that had ended: it ended the
// tasks that it had just taken over, and no cell ran them.
func TestHostKeepsTasksIfTheOriginsRowIsReadLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 2)
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		_, _ = d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job := jobOf(1, longRunning(2, 28000))
		d.submit(first, job)
		first.SetEvacuated(map[string]bool{"chipre": true})
		d.store.SetReadsBehind(3 * time.Second)
		commits := d.store.Commits()
		time.Sleep(5 * time.Second)
		assert.Assert(t, d.store.Commits()-commits < 60, "the host must not assign the tasks again all the time")
		d.store.SetReadsBehind(0)
		time.Sleep(settleTime)
		assert.Equal(t, d.runningIn("c0", job)+d.runningIn("c1", job), 2)
		assert.Equal(t, state(first, job), workload.StateRunning)
		d.assertNoOverlap()
	})
}

// failingReads is a connection to the store on which some reads of jobs fail.
type failingReads struct {
	*emulator.Store
	left atomic.Int64
}

func (s *failingReads) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if table == dispatch.TableJobs && s.left.Add(-1) >= 0 {
		return store.Page{}, store.ErrUnavailable
	}
	return s.Store.Range(ctx, table, part, from, to, limit)
}

// A single read that failed after an acquisition, such as one of too many when all nodes start at the same moment, left the cell without an
// owner for the pause after failed acquisitions.
func TestAcquisitionRepeatsFailedReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Second))
		first, stop := cl.startOwner("a", false)
		time.Sleep(2 * time.Second)
		job := jobOf(1, tasks(2, 8000), tasks(2, 8000))
		cl.submit(first, job)
		stop()
		<-first.Done()
		s := &failingReads{Store: cl.store}
		s.left.Store(3)
		second, _ := cl.startOwnerWith("b", true, s, cl.fleet)
		time.Sleep(5 * time.Second)
		assert.Equal(t, state(second, job), workload.StateCompleted)
		// A store that stays away must not hold the cell for long.
		s.left.Store(1000)
		began := time.Now()
		cfg := cl.config("c", false)
		cfg.Store = s
		previous, version, err := dispatch.ReadOwner(t.Context(), s, cellName)
		assert.NilError(t, err)
		_, err = dispatch.Acquire(t.Context(), cfg, previous, version, cl.infos)
		assert.ErrorIs(t, err, dispatch.ErrNotLoaded)
		assert.Assert(t, time.Since(began) < 4*time.Second)
	})
}
