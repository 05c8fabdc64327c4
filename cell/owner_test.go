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
	cellLease = 5 * time.Second // default of settings
	// takeoverLimit and handoverLimit are F6.
	takeoverLimit = cellLease + time.Second
	handoverLimit = 200 * time.Millisecond
)

// Guards against a cell that stays without an owner after its owner was killed (F6), and against a takeover that stops
// the tasks that run.
func TestTakeoverAfterKill(t *testing.T) {
	for seed := range uint64(20) {
		runWorld(t, layout{domains: 1, nodes: 3, workers: 3, capacity: big, seed: seed}, func(w *world) {
			w.submit("old", 6, time.Hour, nil)
			w.eventually("tasks run", 20*time.Second, func() bool { return w.running("a") == 6 })
			time.Sleep(time.Duration(w.rng.Int64N(int64(3 * time.Second))))
			before := w.owner("a")
			w.nodes[before.Holder].kill()
			w.submit("new", 1, time.Hour, nil)
			took := w.eventually("a task starts under the new owner", time.Minute, func() bool { return w.history.starts() == 7 })
			assert.Assert(t, took <= takeoverLimit, "seed %d: took %s", seed, took)
			assert.Assert(t, w.owner("a").Epoch > before.Epoch)
			time.Sleep(time.Minute)
			assert.Equal(t, w.running("a"), 7)
			assert.Equal(t, w.history.starts(), 7)
			if seed == 0 {
				t.Logf("F6: takeover to the first start took %s", took)
			}
		})
	}
}

// Guards against a shutdown that lets the cell lapse instead of handing it over (F6).
func TestHandover(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(20) {
		runWorld(t, layout{domains: 1, nodes: 3, workers: 3, capacity: big, seed: seed}, func(w *world) {
			w.submit("old", 6, time.Hour, nil)
			w.eventually("tasks run", 20*time.Second, func() bool { return w.running("a") == 6 })
			time.Sleep(2*time.Second + time.Duration(w.rng.Int64N(int64(time.Second))))
			before := w.owner("a")
			w.submit("new", 1, time.Hour, nil)
			w.nodes[before.Holder].stop()
			took := w.eventually("a task starts under the new owner", time.Minute, func() bool { return w.history.starts() == 7 })
			assert.Assert(t, took <= handoverLimit, "seed %d: took %s", seed, took)
			longest = max(longest, took)
			w.eventually("the former owner ends", time.Minute, func() bool { return ended(w.nodes[before.Holder]) })
			assert.Assert(t, w.owner("a").Holder != before.Holder)
			time.Sleep(time.Minute)
			assert.Equal(t, w.running("a"), 7)
		})
	}
	t.Logf("F6: handover to the first start took at most %s", longest)
}

func ended(n *node) bool {
	select {
	case <-n.end:
		return true
	default:
		return false
	}
}

// Guards against starts by an owner that was frozen beyond its lease and woke up after another took the cell.
func TestFrozenOwnerStartsNothing(t *testing.T) {
	runWorld(t, layout{domains: 1, nodes: 2, workers: 2, capacity: big}, func(w *world) {
		w.submit("old", 4, time.Hour, nil)
		w.eventually("tasks run", 20*time.Second, func() bool { return w.running("a") == 4 })
		frozen := w.owner("a")
		w.nodes[frozen.Holder].freeze()
		w.eventually("another takes over", 10*time.Second, func() bool { return w.owner("a").Holder != frozen.Holder })
		w.submit("new", 4, time.Hour, nil)
		time.Sleep(10 * time.Second)
		w.nodes[frozen.Holder].thaw()
		time.Sleep(time.Minute)
		assert.Equal(t, w.running("a"), 8)
		assert.Equal(t, w.history.starts(), 8)
		assert.Assert(t, w.owner("a").Holder != frozen.Holder)
	})
}

// Guards against two workers that run the same exclusive task after one of them froze beyond its lease and woke up.
func TestFrozenWorkerLosesItsTasks(t *testing.T) {
	runWorld(t, layout{domains: 1, nodes: 1, workers: 2, capacity: big}, func(w *world) {
		w.submit("j", 4, 3*time.Minute, nil)
		w.eventually("tasks run", 20*time.Second, func() bool { return w.running("a") == 4 })
		w.workers["a-w0"].freeze()
		w.eventually("tasks run elsewhere", 20*time.Second, func() bool { return w.history.starts() == 8 })
		w.workers["a-w0"].thaw()
		w.eventually("all complete", 10*time.Minute, func() bool { return w.done(ledger.OutcomeCompleted) == 4 })
	})
}

// Guards against tasks that are assigned again and again to workers that answer attaches while their polls do not arrive:
// such a worker cannot be told to start anything, and attaching it renews no lease.
func TestWorkersWithoutPollsGetNoTasks(t *testing.T) {
	runWorld(t, layout{domains: 2, nodes: 1, workers: 2, capacity: big}, func(w *world) {
		w.submit("j", 8, 10*time.Minute, nil)
		w.eventually("tasks run", 20*time.Second, func() bool { return w.running("a")+w.running("b") == 8 })
		moved := w.running("a")
		assert.Assert(t, moved > 0)
		for _, name := range []string{"a-w0", "a-w1"} {
			w.workers[name].cutPolls(true)
		}
		w.eventually("all run in the other domain", 40*time.Second, func() bool { return w.running("b") == 8 })
		assert.Equal(t, w.history.starts(), 8+moved)
		for _, name := range []string{"a-w0", "a-w1"} {
			w.workers[name].cutPolls(false)
		}
		w.submit("k", 8, 10*time.Minute, func(s *job.TaskSpec) { s.Constraints.Domain = "a" })
		w.eventually("the workers are used again", 20*time.Second, func() bool { return w.running("a") == 8 })
	})
}

// Guards against a lost eviction: the task is checkpointed, makes room, and resumes exactly once from its checkpoint.
func TestEvictedTaskResumes(t *testing.T) {
	runWorld(t, layout{domains: 1, nodes: 1, workers: 1, capacity: job.Resources{CPUMilli: 1000, MemoryMiB: 100}}, func(w *world) {
		w.submit("batch", 1, 30*time.Second, nil)
		w.eventually("batch runs", 10*time.Second, func() bool { return w.running("a") == 1 })
		time.Sleep(10 * time.Second)
		w.submit("urgent", 1, 5*time.Second, func(s *job.TaskSpec) { s.Priority = job.PriorityUrgent })
		took := w.eventually("urgent runs", 10*time.Second, func() bool { return w.history.starts() == 2 })
		assert.Assert(t, took <= 2300*time.Millisecond, "took %s", took)
		took = w.eventually("both complete", time.Minute, func() bool { return w.done(ledger.OutcomeCompleted) == 2 })
		assert.Assert(t, took < 35*time.Second, "the batch task did not resume from its checkpoint: %s", took)
		assert.Equal(t, w.history.starts(), 3)
	})
}

// Guards against tasks of a cancelled job that go on, start later or are lost without an outcome.
func TestCancelledJobEnds(t *testing.T) {
	runWorld(t, layout{domains: 2, nodes: 1, workers: 1, capacity: big}, func(w *world) {
		w.submit("j", 20, time.Hour, nil)
		w.eventually("some run", 20*time.Second, func() bool { return w.running("a")+w.running("b") == 8 })
		w.cancelJob("j")
		w.eventually("all are cancelled", time.Minute, func() bool { return w.done(ledger.OutcomeCancelled) == 20 })
		assert.Equal(t, w.running("a")+w.running("b"), 0)
	})
}

// Guards against a restarted worker whose tasks are thought to run on.
func TestRestartedWorker(t *testing.T) {
	runWorld(t, layout{domains: 1, nodes: 1, workers: 1, capacity: big}, func(w *world) {
		w.submit("j", 4, 20*time.Second, nil)
		w.eventually("tasks run", 10*time.Second, func() bool { return w.running("a") == 4 })
		time.Sleep(5 * time.Second)
		w.workers["a-w0"].crash()
		w.workers["a-w0"].boot()
		took := w.eventually("tasks run again", time.Minute, func() bool { return w.history.starts() == 8 })
		// The new incarnation is proof enough; nobody waits for the lease to lapse.
		assert.Assert(t, took < 9*time.Second, "took %s", took)
		w.eventually("all complete", time.Minute, func() bool { return w.done(ledger.OutcomeCompleted) == 4 })
	})
}

// Guards against a store outage that stops running work, and against a surge of takeovers and writes after it.
func TestStoreOutage(t *testing.T) {
	runWorld(t, layout{domains: 3, nodes: 3, workers: 4, cells: 2, capacity: big}, func(w *world) {
		w.submit("long", 24, time.Hour, nil)
		w.eventually("tasks run", 30*time.Second, func() bool { return w.history.starts() == 24 })
		w.submit("short", 12, 5*time.Minute, nil)
		w.eventually("tasks run", 30*time.Second, func() bool { return w.history.starts() == 36 })
		w.table.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(7 * time.Minute)
		epochs := w.epochs()
		before := w.table.Stats()
		w.table.SetFaults(standin.TableFaults{})
		w.submit("new", 12, time.Hour, nil)
		time.Sleep(time.Second)
		after := w.table.Stats()
		commits := after.Commits - before.Commits
		reads := after.Reads + after.Scans - before.Reads - before.Scans
		t.Logf("first second after the outage: %d commits, %d reads of 6 cells with 3 candidates each", commits, reads)
		// One transaction per commit spacing and cell, and one more for the submission.
		assert.Assert(t, commits <= 6*2+1, "%d commits", commits)
		w.eventually("waiting tasks run", 10*time.Second, func() bool { return w.history.starts() == 48 })
		w.eventually("finished tasks are recorded", 10*time.Second, func() bool { return w.done(ledger.OutcomeCompleted) == 12 })
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, w.epochs(), epochs)
		assert.Equal(t, w.running("a")+w.running("b")+w.running("c"), 36)
	})
}

// epochs returns the epoch of each cell.
func (w *world) epochs() map[string]int64 {
	epochs := map[string]int64{}
	for _, row := range w.scan("cell/") {
		if o, err := ledger.Decode[ledger.Owner](row.Key, row.Value); err == nil && o.Epoch > 0 {
			epochs[row.Key] = o.Epoch
		}
	}
	return epochs
}
