package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/intake"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// commitFault is what happens to a transaction.
type commitFault int

const (
	commitWorks commitFault = iota
	// commitLost applies the transaction without a response.
	commitLost
	// commitLate applies the transaction lateCommit later, if its conditions still hold, without a response.
	commitLate
	// commitRefused applies nothing and says so.
	commitRefused
	commitFaults
)

const (
	// lateCommit is the longest delay of a write that the platform names.
	lateCommit = 6 * time.Second
	// statusRetention is how long the states of ended jobs can be read.
	statusRetention = 2 * time.Minute
	// clientDeadline is how long clients wait for a response.
	clientDeadline = 3 * time.Second
)

var errNoCommitResponse = errors.New("no response")

// indexFaultStore has a fault for transactions that write an index row.
type indexFaultStore struct {
	store.Store
	fault *atomic.Int32
}

func (s *indexFaultStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	fault := commitWorks
	for _, w := range txn.Writes {
		if w.Key.Table == dispatch.TableIndex {
			fault = commitFault(s.fault.Load())
		}
	}
	switch fault {
	case commitRefused:
		return 0, store.ErrUnavailable
	case commitLost:
		_, _ = s.Store.Commit(ctx, txn)
	case commitLate:
		time.AfterFunc(lateCommit, func() { _, _ = s.Store.Commit(context.Background(), txn) })
	default:
		return s.Store.Commit(ctx, txn)
	}
	wait.For(ctx, commitTimeout)
	return 0, &store.UnknownOutcomeError{Err: errNoCommitResponse}
}

// cancelCluster is nodes that own a cell, with a fault of the store for submissions and cancellations of jobs that are not accepted.
type cancelCluster struct {
	*heartbeatCluster
	fault atomic.Int32
}

func newCancelCluster(t *testing.T) *cancelCluster {
	t.Helper()
	c := &cancelCluster{}
	c.heartbeatCluster = newHeartbeatClusterOf(t, 2, 0, func(_ int, n *Node) {
		bounds := *n.bounds.Load()
		bounds.StatusRetention = statusRetention
		n.bounds.Store(&bounds)
		n.store = &indexFaultStore{n.store, &c.fault}
	})
	t.Cleanup(c.stop)
	c.setCells()
	time.Sleep(15 * time.Second)
	assert.Assert(t, c.running() >= 0)
	return c
}

func (c *cancelCluster) submit(node int, id string) intake.Decision {
	ctx, cancel := context.WithTimeout(c.t.Context(), clientDeadline)
	defer cancel()
	return c.nodes[node].Submit(ctx, &workload.Job{ID: id, Occurrences: 1, AcceptedAt: time.Now(), Policy: workload.Policy{Queue: "q"},
		Steps: []workload.Step{{Count: 1, Resources: workload.Resources{CPU: 1000}}}})
}

func (c *cancelCluster) cancel(node int, id string) (found bool, err error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), clientDeadline)
	defer cancel()
	return c.nodes[node].Cancel(ctx, id, "")
}

// assertNotRunning checks that all nodes say that a job was cancelled or does not exist.
func (c *cancelCluster) assertNotRunning(id string) {
	c.t.Helper()
	for _, n := range c.nodes {
		state, found, err := n.State(c.t.Context(), id, "")
		assert.NilError(c.t, err)
		assert.Assert(c.t, !found || state == workload.StateCancelled, "job %s is %s", id, state)
	}
}

// A client that got no decision on its job and cancelled it was told that there is no such job, and the job was accepted and run
// afterwards: its commit was applied late, or repeated by the owner.
func TestCancelledJobIsNotAcceptedLater(t *testing.T) {
	for name, fault := range map[string]commitFault{"applied late": commitLate, "applied without response": commitLost} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCancelCluster(t)
				client := 1 - c.running()
				const id = "00000000000000aa"
				c.fault.Store(int32(fault))
				assert.Equal(t, c.submit(client, id).Outcome, intake.Unknown)
				c.fault.Store(int32(commitWorks))
				found, err := c.cancel(client, id)
				assert.NilError(t, err)
				assert.Equal(t, found, fault == commitLost)
				c.assertNotRunning(id)
				time.Sleep(2 * lateCommit)
				c.assertNotRunning(id)
			})
		})
	}
}

// A repeated submission of a job that was cancelled before it was accepted is refused, also by the other node.
func TestSubmissionAfterACancellationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t)
		const id = "00000000000000ab"
		for range 2 {
			found, err := c.cancel(0, id)
			assert.NilError(t, err)
			assert.Assert(t, !found)
		}
		for node := range c.nodes {
			decision := c.submit(node, id)
			assert.Equal(t, decision.Outcome, intake.Refused, decision.Reason)
			assert.Equal(t, decision.RetryAfter, time.Duration(0))
		}
		c.assertNotRunning(id)
		assert.Equal(t, c.submit(0, "00000000000000ac").Outcome, intake.Accepted, "other jobs are accepted")
	})
}

// A cancellation that the store does not take has no answer that denies the job.
func TestCancellationWithoutTheStoreIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t)
		for _, fault := range []commitFault{commitRefused, commitLate} {
			c.fault.Store(int32(fault))
			_, err := c.cancel(0, fmt.Sprintf("%016x", fault))
			assert.ErrorIs(t, err, errNoResponse)
		}
		time.Sleep(lateCommit)
	})
}

// A node whose reads were as old as its last heartbeat denied jobs to clients that cancelled them right after they were accepted, and the
// jobs ran on. Its cancellations by older reads were refused.
func TestCancellationByOldReadReachesTheJob(t *testing.T) {
	for _, behind := range []time.Duration{400 * time.Millisecond, 3 * time.Second} {
		t.Run(behind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCancelCluster(t)
				client := 1 - c.running()
				c.rows.SetReadsBehind(behind)
				for i := range 20 {
					id := fmt.Sprintf("%016x", i)
					assert.Equal(t, c.submit(1-client, id).Outcome, intake.Accepted)
					found, err := c.cancel(client, id)
					assert.NilError(t, err)
					assert.Assert(t, found, "job %s was denied", id)
					time.Sleep(130 * time.Millisecond)
				}
			})
		})
	}
}

// The record of a cancelled job is deleted after the retention; the ID may then be used again.
func TestRecordsOfCancelledJobsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t)
		const id = "00000000000000ae"
		_, err := c.cancel(0, id)
		assert.NilError(t, err)
		time.Sleep(statusRetention)
		assert.Equal(t, c.submit(0, id).Outcome, intake.Refused)
		time.Sleep(2 * statusRetention)
		for _, table := range []string{dispatch.TableIndex, dispatch.TableCancelled} {
			page, err := c.rows.Range(t.Context(), table, c.nodes[0].cellPart(firstCell), "", "", 0)
			assert.NilError(t, err)
			assert.Equal(t, len(page.Rows), 0, table)
		}
		assert.Equal(t, c.submit(0, id).Outcome, intake.Accepted)
	})
}

// Whatever the store does to submissions and cancellations that overlap, a job whose cancellation was acknowledged does not run, and
// one that was accepted before is not denied.
func TestAcknowledgedCancellationsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type action struct {
			after  time.Duration
			cancel bool
			node   int
			fault  commitFault
		}
		var plan []action
		for range rapid.IntRange(2, 5).Draw(rt, "actions") {
			plan = append(plan, action{time.Duration(rapid.IntRange(0, 30).Draw(rt, "after")) * 100 * time.Millisecond,
				rapid.Bool().Draw(rt, "cancel"), rapid.IntRange(0, 1).Draw(rt, "node"), commitFault(rapid.IntRange(0, int(commitFaults)-1).Draw(rt, "fault"))})
		}
		synctest.Test(t, func(t *testing.T) {
			c := newCancelCluster(t)
			const id = "00000000000000af"
			var calls sync.WaitGroup
			var mu sync.Mutex
			var broken string
			accepted, acknowledged := false, false
			for _, a := range plan {
				time.Sleep(a.after)
				c.fault.Store(int32(a.fault))
				calls.Go(func() {
					mu.Lock()
					acceptedBefore := accepted
					mu.Unlock()
					if !a.cancel {
						outcome := c.submit(a.node, id).Outcome
						mu.Lock()
						defer mu.Unlock()
						accepted = accepted || outcome == intake.Accepted
						return
					}
					found, err := c.cancel(a.node, id)
					mu.Lock()
					defer mu.Unlock()
					acknowledged = acknowledged || err == nil
					if err == nil && !found && acceptedBefore {
						broken = "an accepted job was denied"
					}
				})
			}
			calls.Wait()
			c.fault.Store(int32(commitWorks))
			time.Sleep(3 * lateCommit)
			if acknowledged {
				for _, n := range c.nodes {
					if state, found, err := n.State(t.Context(), id, ""); err != nil || found && state != workload.StateCancelled {
						broken = fmt.Sprintf("a cancelled job is %s (found %v, error %v)", state, found, err)
					}
				}
			}
			if broken != "" {
				rt.Errorf("%s\nplan: %+v", broken, plan)
			}
		})
	})
}
