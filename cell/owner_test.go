package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
)

const (
	cellLease = 5 * time.Second // default in the settings
	// takeoverLimit and handoverLimit are the limits of F6.
	takeoverLimit = cellLease + time.Second
	handoverLimit = 200 * time.Millisecond
)

// After the owner of a cell is killed, another candidate takes the cell over in time (F6) and running tasks continue.
func TestTakeoverAfterKill(t *testing.T) {
	for seed := range uint64(20) {
		runCluster(t, layout{domains: 1, nodes: 3, workers: 3, capacity: fourTaskCapacity, seed: seed}, func(cl *cluster) {
			cl.submit("old", 6, time.Hour, nil)
			cl.waitUntil("tasks run", 20*time.Second, func() bool { return cl.running("a") == 6 })
			time.Sleep(time.Duration(cl.rng.Int64N(int64(3 * time.Second))))
			before := cl.owner("a")
			cl.nodes[before.Holder].kill()
			cl.submit("new", 1, time.Hour, nil)
			took := cl.waitUntil("a task starts under the new owner", time.Minute, func() bool { return cl.history.starts() == 7 })
			assert.Assert(t, took <= takeoverLimit, "seed %d: took %s", seed, took)
			assert.Assert(t, cl.owner("a").Epoch > before.Epoch)
			time.Sleep(time.Minute)
			assert.Equal(t, cl.running("a"), 7)
			assert.Equal(t, cl.history.starts(), 7)
			if seed == 0 {
				t.Logf("F6: takeover to the first start took %s", took)
			}
		})
	}
}

// A shutdown hands the cell over at once instead of letting the lease expire (F6).
func TestHandover(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(20) {
		runCluster(t, layout{domains: 1, nodes: 3, workers: 3, capacity: fourTaskCapacity, seed: seed}, func(cl *cluster) {
			cl.submit("old", 6, time.Hour, nil)
			cl.waitUntil("tasks run", 20*time.Second, func() bool { return cl.running("a") == 6 })
			time.Sleep(2*time.Second + time.Duration(cl.rng.Int64N(int64(time.Second))))
			before := cl.owner("a")
			cl.submit("new", 1, time.Hour, nil)
			cl.nodes[before.Holder].stop()
			took := cl.waitUntil("a task starts under the new owner", time.Minute, func() bool { return cl.history.starts() == 7 })
			assert.Assert(t, took <= handoverLimit, "seed %d: took %s", seed, took)
			longest = max(longest, took)
			cl.waitUntil("the former owner ends", time.Minute, func() bool { return ended(cl.nodes[before.Holder]) })
			assert.Assert(t, cl.owner("a").Holder != before.Holder)
			time.Sleep(time.Minute)
			assert.Equal(t, cl.running("a"), 7)
		})
	}
	t.Logf("F6: handover to the first start took at most %s", longest)
}

func ended(n *node) bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// An owner that is suspended beyond its lease and resumes after a takeover starts no tasks.
func TestSuspendedOwnerStartsNothing(t *testing.T) {
	runCluster(t, layout{domains: 1, nodes: 2, workers: 2, capacity: fourTaskCapacity}, func(cl *cluster) {
		cl.submit("old", 4, time.Hour, nil)
		cl.waitUntil("tasks run", 20*time.Second, func() bool { return cl.running("a") == 4 })
		suspended := cl.owner("a")
		cl.nodes[suspended.Holder].suspend()
		cl.waitUntil("another takes over", 10*time.Second, func() bool { return cl.owner("a").Holder != suspended.Holder })
		cl.submit("new", 4, time.Hour, nil)
		time.Sleep(10 * time.Second)
		cl.nodes[suspended.Holder].resume()
		time.Sleep(time.Minute)
		assert.Equal(t, cl.running("a"), 8)
		assert.Equal(t, cl.history.starts(), 8)
		assert.Assert(t, cl.owner("a").Holder != suspended.Holder)
	})
}

// A worker that is suspended beyond its lease does not continue its exclusive tasks, which run on another worker by then.
func TestSuspendedWorkerLosesItsTasks(t *testing.T) {
	runCluster(t, layout{domains: 1, nodes: 1, workers: 2, capacity: fourTaskCapacity}, func(cl *cluster) {
		cl.submit("j", 4, 3*time.Minute, nil)
		cl.waitUntil("tasks run", 20*time.Second, func() bool { return cl.running("a") == 4 })
		cl.workers["a-w0"].suspend()
		cl.waitUntil("tasks run elsewhere", 20*time.Second, func() bool { return cl.history.starts() == 8 })
		cl.workers["a-w0"].resume()
		cl.waitUntil("all complete", 10*time.Minute, func() bool { return cl.done(ledger.OutcomeCompleted) == 4 })
	})
}

// Workers that respond to attach requests but whose polls are lost get no tasks: they cannot receive start commands, and an
// attach renews no lease. Otherwise tasks would be assigned to them again and again.
func TestWorkersWithoutPollsGetNoTasks(t *testing.T) {
	runCluster(t, layout{domains: 2, nodes: 1, workers: 2, capacity: fourTaskCapacity}, func(cl *cluster) {
		cl.submit("j", 8, 10*time.Minute, nil)
		cl.waitUntil("tasks run", 20*time.Second, func() bool { return cl.running("a")+cl.running("b") == 8 })
		moved := cl.running("a")
		assert.Assert(t, moved > 0)
		for _, name := range []string{"a-w0", "a-w1"} {
			cl.workers[name].setDropPolls(true)
		}
		cl.waitUntil("all run in the other domain", 40*time.Second, func() bool { return cl.running("b") == 8 })
		assert.Equal(t, cl.history.starts(), 8+moved)
		for _, name := range []string{"a-w0", "a-w1"} {
			cl.workers[name].setDropPolls(false)
		}
		cl.submit("k", 8, 10*time.Minute, func(s *job.TaskSpec) { s.Constraints.Domain = "a" })
		cl.waitUntil("the workers are used again", 20*time.Second, func() bool { return cl.running("a") == 8 })
	})
}

// An evicted task saves a checkpoint, frees its capacity, and resumes exactly once from the checkpoint.
func TestEvictedTaskResumes(t *testing.T) {
	runCluster(t, layout{domains: 1, nodes: 1, workers: 1, capacity: job.Resources{CPUMilli: 1000, MemoryMiB: 100}}, func(cl *cluster) {
		cl.submit("batch", 1, 30*time.Second, nil)
		cl.waitUntil("batch runs", 10*time.Second, func() bool { return cl.running("a") == 1 })
		time.Sleep(10 * time.Second)
		cl.submit("urgent", 1, 5*time.Second, func(s *job.TaskSpec) { s.Priority = job.PriorityUrgent })
		took := cl.waitUntil("urgent runs", 10*time.Second, func() bool { return cl.history.starts() == 2 })
		assert.Assert(t, took <= 2300*time.Millisecond, "took %s", took)
		took = cl.waitUntil("both complete", time.Minute, func() bool { return cl.done(ledger.OutcomeCompleted) == 2 })
		assert.Assert(t, took < 35*time.Second, "the batch task did not resume from its checkpoint: %s", took)
		assert.Equal(t, cl.history.starts(), 3)
	})
}

// All tasks of a cancelled job stop, start no more and are recorded as cancelled.
func TestCancelledJobEnds(t *testing.T) {
	runCluster(t, layout{domains: 2, nodes: 1, workers: 1, capacity: fourTaskCapacity}, func(cl *cluster) {
		cl.submit("j", 20, time.Hour, nil)
		cl.waitUntil("some run", 20*time.Second, func() bool { return cl.running("a")+cl.running("b") == 8 })
		cl.cancelJob("j")
		cl.waitUntil("all are cancelled", time.Minute, func() bool { return cl.done(ledger.OutcomeCancelled) == 20 })
		assert.Equal(t, cl.running("a")+cl.running("b"), 0)
	})
}

// The tasks of a restarted worker are started again, because the restart has ended them.
func TestRestartedWorker(t *testing.T) {
	runCluster(t, layout{domains: 1, nodes: 1, workers: 1, capacity: fourTaskCapacity}, func(cl *cluster) {
		cl.submit("j", 4, 20*time.Second, nil)
		cl.waitUntil("tasks run", 10*time.Second, func() bool { return cl.running("a") == 4 })
		time.Sleep(5 * time.Second)
		cl.workers["a-w0"].crash()
		cl.workers["a-w0"].boot()
		took := cl.waitUntil("tasks run again", time.Minute, func() bool { return cl.history.starts() == 8 })
		// The new incarnation proves that the old one has ended, so nothing waits for the lease to expire.
		assert.Assert(t, took < 9*time.Second, "took %s", took)
		cl.waitUntil("all complete", time.Minute, func() bool { return cl.done(ledger.OutcomeCompleted) == 4 })
	})
}

// A table outage does not stop running tasks, and does not cause a burst of takeovers and writes when it ends.
func TestTableOutage(t *testing.T) {
	runCluster(t, layout{domains: 3, nodes: 3, workers: 4, cells: 2, capacity: fourTaskCapacity}, func(cl *cluster) {
		cl.submit("long", 24, time.Hour, nil)
		cl.waitUntil("tasks run", 30*time.Second, func() bool { return cl.history.starts() == 24 })
		cl.submit("short", 12, 5*time.Minute, nil)
		cl.waitUntil("tasks run", 30*time.Second, func() bool { return cl.history.starts() == 36 })
		cl.table.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(7 * time.Minute)
		epochs := cl.epochs()
		before := cl.table.Stats()
		cl.table.SetFaults(standin.TableFaults{})
		cl.submit("new", 12, time.Hour, nil)
		time.Sleep(time.Second)
		after := cl.table.Stats()
		commits := after.Commits - before.Commits
		reads := after.Reads + after.Scans - before.Reads - before.Scans
		t.Logf("first second after the outage: %d commits, %d reads of 6 cells with 3 candidates each", commits, reads)
		// One transaction per cell and commit spacing, and one for the submission.
		assert.Assert(t, commits <= 6*2+1, "%d commits", commits)
		cl.waitUntil("waiting tasks run", 10*time.Second, func() bool { return cl.history.starts() == 48 })
		cl.waitUntil("finished tasks are recorded", 10*time.Second, func() bool { return cl.done(ledger.OutcomeCompleted) == 12 })
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, cl.epochs(), epochs)
		assert.Equal(t, cl.running("a")+cl.running("b")+cl.running("c"), 36)
	})
}

// epochs returns the epoch of each cell.
func (cl *cluster) epochs() map[string]int64 {
	epochs := map[string]int64{}
	for _, row := range cl.scan("cell/") {
		if o, err := ledger.Decode[ledger.Owner](row.Key, row.Value); err == nil && o.Epoch > 0 {
			epochs[row.Key] = o.Epoch
		}
	}
	return epochs
}
