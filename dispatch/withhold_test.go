package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// refusingStore refuses, at each attempt, the transactions that refuse selects.
type refusingStore struct {
	*emulator.Store
	mu     sync.Mutex
	refuse func(txn store.Txn) error
}

func (s *refusingStore) setRefuse(refuse func(txn store.Txn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

func (s *refusingStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	s.mu.Lock()
	refuse := s.refuse
	s.mu.Unlock()
	if refuse != nil {
		if err := refuse(txn); err != nil {
			time.Sleep(s.Latency)
			return 0, err
		}
	}
	return s.Store.Commit(ctx, txn)
}

// refuseWrites refuses transactions that write the row of a job.
func refuseWrites(table, id string) func(txn store.Txn) error {
	return func(txn store.Txn) error {
		for _, w := range txn.Writes {
			if w.Key.Table == table && w.Key.Name == id {
				return fmt.Errorf("%w: row %s", store.ErrInvalidTxn, id)
			}
		}
		return nil
	}
}

// withheldJobs returns the number of jobs whose progress is withheld.
func withheldJobs(c *Cell) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.withheld)
}

func shortJob(id string, tasks int) *workload.Job {
	return &workload.Job{ID: id, Occurrences: 1, AcceptedAt: time.Now(), Policy: workload.Policy{Service: "s", MaxAttempts: 3},
		Steps: []workload.Step{{Count: tasks, Resources: workload.Resources{CPU: 1000}, Estimated: 500 * time.Millisecond}}}
}

// A progress row that the store refuses at each attempt holds back no other row of the cell, and the ends that it lacks are not
// acknowledged: the next owner knows them. The job goes on once the store takes its row.
func TestProgressRowThatTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingStore{Store: emulator.NewStore()}
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return 500 * time.Millisecond, false })
		fleet.Add(largeRunner)
		ctx, stop := context.WithCancel(t.Context())
		first := acquireNext(ctx, t, testConfig("n1", s, fleet), largeRunner)
		time.Sleep(time.Second)
		const refused = "00000000000000aa"
		s.setRefuse(refuseWrites(TableProgress, refused))
		jobs := []*workload.Job{shortJob(refused, 5)}
		for i := range 20 {
			jobs = append(jobs, shortJob(fmt.Sprintf("%016x", i), 3))
		}
		submitted := time.Now()
		for _, job := range jobs {
			outcome, _ := first.Submit(ctx, job, true)
			assert.Equal(t, outcome, OutcomeAccepted)
		}
		assert.Assert(t, time.Since(submitted) < 5*time.Second)
		time.Sleep(5 * time.Second)
		for _, job := range jobs {
			state, _ := first.State(job.ID)
			assert.Equal(t, state == workload.StateCompleted, job.ID != refused, "%s: %s", job.ID, state)
		}
		commits := s.Commits()
		time.Sleep(5 * time.Second)
		assert.Assert(t, s.Commits()-commits < 20, "%d commits", s.Commits()-commits)
		stop()
		<-first.Done()

		ctx, stop = context.WithCancel(t.Context())
		second := acquireNext(ctx, t, testConfig("n2", s, fleet), largeRunner)
		defer func() {
			stop()
			<-second.Done()
		}()
		time.Sleep(5 * time.Second)
		s.setRefuse(nil)
		time.Sleep(withheldRetry + 2*time.Second)
		for _, job := range jobs {
			state, _ := second.State(job.ID)
			assert.Equal(t, state, workload.StateCompleted, job.ID)
			for i := range job.Steps[0].Count {
				assert.Equal(t, fleet.Done(workload.TaskID{Job: job.ID, Index: i}), 1, "%s.%d", job.ID, i)
			}
		}
	})
}

// The end of a job is stored at once although the details of the job can't be.
func TestEndOfAWithheldJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingStore{Store: emulator.NewStore()}
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return time.Minute, false })
		fleet.Add(largeRunner)
		ctx, stop := context.WithCancel(t.Context())
		c := acquireNext(ctx, t, testConfig("n1", s, fleet), largeRunner)
		defer func() {
			stop()
			<-c.Done()
		}()
		time.Sleep(time.Second)
		job := shortJob("00000000000000aa", 5)
		refuse := refuseWrites(TableProgress, job.ID)
		s.setRefuse(func(txn store.Txn) error {
			for _, w := range txn.Writes {
				if w.Key.Table == TableProgress && strings.Contains(string(w.Value), "cancelled") {
					return nil
				}
			}
			return refuse(txn)
		})
		outcome, _ := c.Submit(ctx, job, true)
		assert.Equal(t, outcome, OutcomeAccepted)
		time.Sleep(2 * time.Second)
		assert.Equal(t, withheldJobs(c), 1)
		began := time.Now()
		found, err := c.Cancel(ctx, job.ID)
		assert.NilError(t, err)
		assert.Assert(t, found && time.Since(began) < time.Second)
		assert.Equal(t, withheldJobs(c), 0)
	})
}

// A job whose row the store refuses is refused; the others of the same batch are accepted.
func TestSubmissionThatTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingStore{Store: emulator.NewStore()}
		ctx, stop := context.WithCancel(t.Context())
		c := acquireNext(ctx, t, testConfig("n1", s, emulator.NewFleet(nil)), largeRunner)
		defer func() {
			stop()
			<-c.Done()
		}()
		time.Sleep(time.Second)
		const refused = "0000000000000007"
		s.setRefuse(refuseWrites(TableJobs, refused))
		var submissions sync.WaitGroup
		for i := range 40 {
			job := shortJob(fmt.Sprintf("%016x", i), 1)
			submissions.Go(func() {
				outcome, _ := c.Submit(ctx, job, true)
				if job.ID == refused {
					assert.Check(t, outcome == OutcomeRefused, "%d", outcome)
				} else {
					assert.Check(t, outcome == OutcomeAccepted, "%s: %d", job.ID, outcome)
				}
			})
		}
		submissions.Wait()
		outcome, _ := c.Submit(ctx, shortJob("00000000000000bb", 1), true)
		assert.Equal(t, outcome, OutcomeAccepted)
	})
}

// A job whose first attempt to be stored had no response is not refused for certain.
func TestRefusalAfterAnUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingStore{Store: emulator.NewStore()}
		ctx, stop := context.WithCancel(t.Context())
		c := acquireNext(ctx, t, testConfig("n1", s, emulator.NewFleet(nil)), largeRunner)
		defer func() {
			stop()
			<-c.Done()
		}()
		time.Sleep(time.Second)
		job := shortJob("00000000000000aa", 1)
		refuse := refuseWrites(TableJobs, job.ID)
		attempts := 0
		s.setRefuse(func(txn store.Txn) error {
			err := refuse(txn)
			if err != nil {
				if attempts++; attempts == 1 {
					return &store.UnknownOutcomeError{Err: errors.New("no response")}
				}
			}
			return err
		})
		outcome, _ := c.Submit(ctx, job, true)
		assert.Equal(t, outcome, OutcomeUnknown)
		outcome, _ = c.Submit(ctx, shortJob("00000000000000bb", 1), true)
		assert.Equal(t, outcome, OutcomeAccepted)
	})
}

// While the store refuses even the ownership row, no row counts as one that it does not take.
func TestStoreThatRefusesEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingStore{Store: emulator.NewStore()}
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return 500 * time.Millisecond, false })
		fleet.Add(largeRunner)
		ctx, stop := context.WithCancel(t.Context())
		c := acquireNext(ctx, t, testConfig("n1", s, fleet), largeRunner)
		defer func() {
			stop()
			<-c.Done()
		}()
		time.Sleep(time.Second)
		job := shortJob("00000000000000aa", 5)
		outcome, _ := c.Submit(ctx, job, true)
		assert.Equal(t, outcome, OutcomeAccepted)
		var calls atomic.Int64
		s.setRefuse(func(store.Txn) error {
			calls.Add(1)
			return store.ErrInvalidTxn
		})
		time.Sleep(100 * time.Millisecond)
		outcome, _ = c.Submit(ctx, shortJob("00000000000000bb", 1), true)
		assert.Equal(t, outcome, OutcomeRefused)
		time.Sleep(5 * time.Second)
		assert.Equal(t, withheldJobs(c), 0)
		assert.Assert(t, calls.Load() < 200, "%d commits", calls.Load())
		s.setRefuse(nil)
		time.Sleep(time.Second)
		state, _ := c.State(job.ID)
		assert.Equal(t, state, workload.StateCompleted)
		outcome, _ = c.Submit(ctx, shortJob("00000000000000cc", 1), true)
		assert.Equal(t, outcome, OutcomeAccepted)
	})
}

// A row that is too large is not sent, and the ends of a runner up to the first one that the row lacks are acknowledged.
func TestRowThatIsTooLargeIsWithheld(t *testing.T) {
	c := newCell(testConfig("n1", emulator.NewStore(), nil), 1)
	var large strings.Builder
	random := uint32(1)
	for large.Len() < 4*store.MaxRowBytes {
		random = random*1664525 + 1013904223
		fmt.Fprintf(&large, "%x", random)
	}
	for _, id := range []string{"00000000000000aa", "00000000000000bb"} {
		c.accept(time.Now(), shortJob(id, 1))
		c.markDirty(c.jobs[id])
	}
	withheld := c.jobs["00000000000000aa"]
	withheld.formerServices = map[string]bool{large.String(): true}
	c.runners["r0"] = &runnerState{processed: 5}
	c.runners["r1"] = &runnerState{processed: 3}
	for i, id := range []string{"00000000000000bb", "00000000000000bb", "00000000000000aa", "00000000000000bb", "00000000000000aa"} {
		c.runners["r0"].recordEnd(runner.Ended{Number: int64(i + 1), Task: workload.TaskID{Job: id}})
		c.runners["r1"].recordEnd(runner.Ended{Number: int64(i + 1), Task: workload.TaskID{Job: "00000000000000bb"}})
	}
	now := time.Now()
	b, more := c.buildBatch(now)
	assert.Assert(t, !more)
	assert.Equal(t, len(b.jobs), 1)
	assert.Equal(t, b.jobs[0].job.def.ID, "00000000000000bb")
	assert.Equal(t, b.processed[c.runners["r0"]], endMark{number: 2})
	assert.Equal(t, b.processed[c.runners["r1"]], endMark{number: 3})
	assert.Assert(t, withheld.dirty)

	withheld.formerServices = nil
	b, _ = c.buildBatch(now.Add(withheldRetry))
	assert.Equal(t, len(b.jobs), 1)
	assert.Equal(t, b.processed[c.runners["r0"]], endMark{number: 5})
	assert.Equal(t, len(c.withheld)+len(c.dirty), 0)
}

// Ends of a process that has ended hold back no acknowledgement to the next one.
func TestEndsOfAnEarlierProcessHoldNothingBack(t *testing.T) {
	c := newCell(testConfig("n1", emulator.NewStore(), nil), 1)
	job := shortJob("00000000000000aa", 1)
	c.accept(time.Now(), job)
	rs := &runnerState{processed: 4}
	rs.recordEnd(runner.Ended{Number: 4, Task: workload.TaskID{Job: job.ID}})
	c.withhold(time.Now(), c.jobs[job.ID], errors.New("refused"))
	assert.Equal(t, c.durableEnds(rs), int64(3))
	c.handleRestart(rs, 2)
	assert.Equal(t, c.durableEnds(rs), int64(0))
	rs.processed = 9
	rs.recordEnd(runner.Ended{Number: 9, Task: workload.TaskID{Job: "00000000000000bb"}})
	assert.Equal(t, c.durableEnds(rs), int64(9))
}
