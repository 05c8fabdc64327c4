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

// An owner that is cut off from the table may still renew the lease of a worker that the new owner cannot reach. The new
// owner must not start that worker's tasks elsewhere before the offline limit has passed.
func TestCutOffOwnerKeepsItsWorker(t *testing.T) {
	offline := 2 * time.Minute
	runCluster(t, layout{domains: 1, nodes: 2, workers: 2, capacity: fourTaskCapacity, offline: offline}, func(cl *cluster) {
		cl.submit("j", 4, time.Hour, nil)
		cl.waitUntil("tasks run on the first worker", 20*time.Second, func() bool { return cl.workers["a-w0"].running() == 4 })
		former := cl.nodes[cl.owner("a").Holder]
		former.cutTable(true)
		for _, n := range cl.nodes {
			if n != former {
				cl.net.setCut(n.vm.ID, "a-w0", true)
			}
		}
		cl.waitUntil("another takes over", 20*time.Second, func() bool { return cl.owner("a").Holder != former.vm.ID })
		time.Sleep(offline - 20*time.Second)
		assert.Equal(t, cl.workers["a-w0"].running(), 4)
		assert.Equal(t, cl.history.starts(), 4)
		cl.waitUntil("tasks resume elsewhere", 2*time.Minute, func() bool { return cl.workers["a-w1"].running() == 4 })
	})
}

// A worker that returns after its lease expired is not overcommitted (G1): its service replicas still run, but the ledger
// no longer records them.
func TestReturnedWorkerIsNotOvercommitted(t *testing.T) {
	runCluster(t, layout{domains: 1, nodes: 1, workers: 1, capacity: fourTaskCapacity}, func(cl *cluster) {
		cl.submit("replicas", 4, 0, func(s *job.TaskSpec) { s.Class, s.Service = job.ClassService, "kioscos" })
		cl.waitUntil("replicas run", 20*time.Second, func() bool { return cl.running("a") == 4 })
		cl.net.setCut("a-n0", "a-w0", true)
		time.Sleep(20 * time.Second)
		assert.Equal(t, cl.running("a"), 4)
		cl.net.heal()
		cl.waitUntil("new replicas run", time.Minute, func() bool { return cl.history.starts() == 8 && cl.running("a") == 4 })
	})
}

// An announced out-command also holds back start commands that wait for a poll, even if their permit is valid and the
// table is down.
func TestAnnouncementHoldsBackWaitingStarts(t *testing.T) {
	runCluster(t, layout{domains: 1, nodes: 1, workers: 1, capacity: fourTaskCapacity}, func(cl *cluster) {
		time.Sleep(5 * time.Second)
		// The poll that the owner holds ends without a command; the next one arrives when the worker resumes.
		cl.workers["a-w0"].suspend()
		time.Sleep(1200 * time.Millisecond)
		cl.submit("j", 4, time.Hour, nil)
		cl.nodes["a-n0"].WakeScans(nil)
		cl.waitUntil("tasks are assigned", time.Second, func() bool { return len(cl.scan(ledger.CellTaskPrefix("a-0"))) == 4 })
		cl.table.SetFaults(standin.TableFaults{Down: true})
		ctx, cancel := context.WithTimeout(cl.ctx, 5*time.Second)
		defer cancel()
		cl.nodes["a-n0"].AnnounceDomain(ctx, "a", true)
		cl.workers["a-w0"].resume()
		time.Sleep(30 * time.Second)
		assert.Equal(t, cl.history.starts(), 0)
		cl.table.SetFaults(standin.TableFaults{})
		cl.waitUntil("tasks run once the row says in", 30*time.Second, func() bool { return cl.running("a") == 4 })
	})
}

// A task is not started if its assignment is committed after the cancellation of its job.
func TestCancellationRacesStart(t *testing.T) {
	runCluster(t, layout{domains: 1, nodes: 1, workers: 4, capacity: job.Resources{CPUMilli: 100_000, MemoryMiB: 1000}}, func(cl *cluster) {
		cl.table.SetFaults(standin.TableFaults{Delay: 150 * time.Millisecond})
		time.Sleep(10 * time.Second)
		var early []string
		for i := range 60 {
			id := fmt.Sprintf("j%02d", i)
			cl.submit(id, 1, time.Hour, nil)
			time.Sleep(time.Duration(30*i) * time.Millisecond)
			cl.cancelJob(id)
			if len(cl.scan(ledger.CellTaskKey("a-0", job.MakeTaskID(id, 0)))) == 0 {
				early = append(early, id)
			}
		}
		cl.waitUntil("all are cancelled", time.Minute, func() bool { return cl.done(ledger.OutcomeCancelled) == 60 })
		assert.Assert(t, len(early) > 0 && len(early) < 60, "%d of 60 cancelled before the assignment", len(early))
		started := map[string]bool{}
		for _, r := range cl.history.runs {
			started[r.ref.Task.Job()] = true
		}
		for _, id := range early {
			assert.Assert(t, !started[id], "%s was cancelled before it was assigned and started anyway", id)
		}
	})
}

// A start command is not sent while the outcome of its transaction is unknown, because another cell may run the task.
func TestUnknownStartIsNotSent(t *testing.T) {
	runCluster(t, layout{domains: 2, nodes: 1, workers: 2, capacity: fourTaskCapacity}, func(cl *cluster) {
		time.Sleep(5 * time.Second)
		cl.table.SetFaults(standin.TableFaults{LoseRequests: 1})
		cl.submit("j", 6, time.Hour, nil)
		cl.waitUntil("a request is lost", 5*time.Second, func() bool { return cl.table.Faults().LoseRequests == 0 })
		cl.table.SetFaults(standin.TableFaults{CutDomains: []string{"a"}})
		cl.waitUntil("the other domain runs all", 30*time.Second, func() bool { return cl.running("b") == 6 })
		time.Sleep(10 * time.Second)
		cl.table.SetFaults(standin.TableFaults{})
		time.Sleep(30 * time.Second)
		assert.Equal(t, cl.running("a")+cl.running("b"), 6)
	})
}

// The resources of an evicted task are not reused while the task is still stopping (G1).
func TestSlowStopKeepsItsResources(t *testing.T) {
	runCluster(t, layout{domains: 1, nodes: 1, workers: 1, capacity: job.Resources{CPUMilli: 1000, MemoryMiB: 100}}, func(cl *cluster) {
		cl.stopTime = 3 * time.Second
		cl.submit("batch", 1, time.Minute, nil)
		cl.waitUntil("batch runs", 10*time.Second, func() bool { return cl.running("a") == 1 })
		cl.submit("urgent", 1, 5*time.Second, func(s *job.TaskSpec) { s.Priority = job.PriorityUrgent })
		cl.waitUntil("both complete", 3*time.Minute, func() bool { return cl.done(ledger.OutcomeCompleted) == 2 })
	})
}
