package cell_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
)

// Guards against two owners: one is cut off from the table and still renews the lease of a worker that the other cannot
// reach. The other must not start that worker's tasks elsewhere before the offline limit has passed.
func TestCutOffOwnerKeepsItsWorker(t *testing.T) {
	offline := 2 * time.Minute
	runWorld(t, layout{domains: 1, nodes: 2, workers: 2, capacity: big, offline: offline}, func(w *world) {
		w.submit("j", 4, time.Hour, nil)
		w.eventually("tasks run on the first worker", 20*time.Second, func() bool { return w.workers["a-w0"].running() == 4 })
		former := w.nodes[w.owner("a").Holder]
		former.cutTable(true)
		for _, n := range w.nodes {
			if n != former {
				w.net.setCut(n.vm.ID, "a-w0", true)
			}
		}
		w.eventually("another takes over", 20*time.Second, func() bool { return w.owner("a").Holder != former.vm.ID })
		time.Sleep(offline - 20*time.Second)
		assert.Equal(t, w.workers["a-w0"].running(), 4)
		assert.Equal(t, w.history.starts(), 4)
		w.eventually("tasks resume elsewhere", 2*time.Minute, func() bool { return w.workers["a-w1"].running() == 4 })
	})
}

// Guards against an overcommitted worker (G1): its service replicas outlived the lapse of its lease, and the ledger no
// longer knows them when it comes back.
func TestReturnedWorkerIsNotOvercommitted(t *testing.T) {
	runWorld(t, layout{domains: 1, nodes: 1, workers: 1, capacity: big}, func(w *world) {
		w.submit("replicas", 4, 0, func(s *job.TaskSpec) { s.Class, s.Service = job.ClassService, "kioscos" })
		w.eventually("replicas run", 20*time.Second, func() bool { return w.running("a") == 4 })
		w.net.setCut("a-n0", "a-w0", true)
		time.Sleep(20 * time.Second)
		assert.Equal(t, w.running("a"), 4)
		w.net.heal()
		w.eventually("new replicas run", time.Minute, func() bool { return w.history.starts() == 8 && w.running("a") == 4 })
	})
}

// Guards against a start after an out-command that could not be stored: starts that wait for a worker's poll are held
// back, although their permit has not run out.
func TestAnnouncementHoldsBackWaitingStarts(t *testing.T) {
	runWorld(t, layout{domains: 1, nodes: 1, workers: 1, capacity: big}, func(w *world) {
		time.Sleep(5 * time.Second)
		// The poll that the owner holds ends without a command; the next one comes when the worker is thawed.
		w.workers["a-w0"].freeze()
		time.Sleep(1200 * time.Millisecond)
		w.submit("j", 4, time.Hour, nil)
		w.nodes["a-n0"].Poke(nil)
		w.eventually("tasks are assigned", time.Second, func() bool { return len(w.scan(ledger.CellTaskPrefix("a-0"))) == 4 })
		w.table.SetFaults(standin.TableFaults{Down: true})
		ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
		defer cancel()
		w.nodes["a-n0"].AnnounceDomain(ctx, "a", true)
		w.workers["a-w0"].thaw()
		time.Sleep(30 * time.Second)
		assert.Equal(t, w.history.starts(), 0)
		w.table.SetFaults(standin.TableFaults{})
		w.eventually("tasks run once the row says in", 30*time.Second, func() bool { return w.running("a") == 4 })
	})
}

// Guards against a start whose transaction came after the cancellation of its job.
func TestCancellationRacesStart(t *testing.T) {
	runWorld(t, layout{domains: 1, nodes: 1, workers: 4, capacity: job.Resources{CPUMilli: 100_000, MemoryMiB: 1000}}, func(w *world) {
		w.table.SetFaults(standin.TableFaults{Delay: 150 * time.Millisecond})
		time.Sleep(10 * time.Second)
		var early []string
		for i := range 60 {
			id := fmt.Sprintf("j%02d", i)
			w.submit(id, 1, time.Hour, nil)
			time.Sleep(time.Duration(30*i) * time.Millisecond)
			w.cancelJob(id)
			if len(w.scan(ledger.CellTaskKey("a-0", job.MakeTaskID(id, 0)))) == 0 {
				early = append(early, id)
			}
		}
		w.eventually("all are cancelled", time.Minute, func() bool { return w.done(ledger.OutcomeCancelled) == 60 })
		assert.Assert(t, len(early) > 0 && len(early) < 60, "%d of 60 cancelled before the assignment", len(early))
		started := map[string]bool{}
		for _, r := range w.history.runs {
			started[r.ref.Task.Job()] = true
		}
		for _, id := range early {
			assert.Assert(t, !started[id], "%s was cancelled before it was assigned and started all the same", id)
		}
	})
}

// Guards against a start that is sent before its transaction is known to be applied: another cell may have the task.
func TestUnknownStartIsNotSent(t *testing.T) {
	runWorld(t, layout{domains: 2, nodes: 1, workers: 2, capacity: big}, func(w *world) {
		time.Sleep(5 * time.Second)
		w.table.SetFaults(standin.TableFaults{LoseRequests: 1})
		w.submit("j", 6, time.Hour, nil)
		w.eventually("a request is lost", 5*time.Second, func() bool { return w.table.Faults().LoseRequests == 0 })
		w.table.SetFaults(standin.TableFaults{CutDomains: []string{"a"}})
		w.eventually("the other domain runs all", 30*time.Second, func() bool { return w.running("b") == 6 })
		time.Sleep(10 * time.Second)
		w.table.SetFaults(standin.TableFaults{})
		time.Sleep(30 * time.Second)
		assert.Equal(t, w.running("a")+w.running("b"), 6)
	})
}

// Guards against resources that are given away while the evicted task still runs (G1).
func TestSlowStopKeepsItsResources(t *testing.T) {
	runWorld(t, layout{domains: 1, nodes: 1, workers: 1, capacity: job.Resources{CPUMilli: 1000, MemoryMiB: 100}}, func(w *world) {
		w.stopTime = 3 * time.Second
		w.submit("batch", 1, time.Minute, nil)
		w.eventually("batch runs", 10*time.Second, func() bool { return w.running("a") == 1 })
		w.submit("urgent", 1, 5*time.Second, func(s *job.TaskSpec) { s.Priority = job.PriorityUrgent })
		w.eventually("both complete", 3*time.Minute, func() bool { return w.done(ledger.OutcomeCompleted) == 2 })
	})
}
