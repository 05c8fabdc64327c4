package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/memory"
	"github.com/currantthread/currantthread/workload"
)

// withMemory runs a test with the owner of a cell whose jobs may take the given bytes. Tasks run for 1 s. All memory must be given back once
// the cell has ended.
func withMemory(t *testing.T, limit int64, test func(t *testing.T, c *Cell, memory *JobMemory)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return time.Second, false })
		fleet.Add(largeRunner)
		memory := NewJobMemory(limit, nil)
		cfg := testConfig("n1", s, fleet)
		cfg.Memory = memory
		ctx, stop := context.WithCancel(t.Context())
		c := acquireNext(ctx, t, cfg, largeRunner)
		t.Cleanup(func() {
			stop()
			<-c.Done()
		})
		time.Sleep(time.Second)
		test(t, c, memory)
		stop()
		<-c.Done()
		assert.Equal(t, memory.Held(), int64(0))
	})
}

// submitJob submits a job of one step and returns the outcome.
func submitJob(t *testing.T, c *Cell, id, tasks int, change func(*workload.Job)) Outcome {
	t.Helper()
	job := shortJob(fmt.Sprintf("%016x", id), tasks)
	if change != nil {
		change(job)
	}
	outcome, _ := c.Submit(t.Context(), job, true)
	return outcome
}

// waitForever gives a job a label that no runner has.
func waitForever(job *workload.Job) { job.Steps[0].Label = "none" }

// What jobs take must be given back when they have ended, or an owner would refuse all jobs after some time.
func TestMemoryOfEndedJobsIsGivenBack(t *testing.T) {
	withMemory(t, 8<<20, func(t *testing.T, c *Cell, memory *JobMemory) {
		assert.Equal(t, submitJob(t, c, 1, 3, nil), OutcomeAccepted)
		assert.Equal(t, submitJob(t, c, 2, 3, func(job *workload.Job) {
			job.StartAt, job.Interval, job.Occurrences = time.Now(), 100*time.Millisecond, 20
		}), OutcomeAccepted)
		assert.Equal(t, submitJob(t, c, 3, 1000, waitForever), OutcomeAccepted)
		assert.Equal(t, submitJob(t, c, 3, 1000, waitForever), OutcomeAccepted) // repeated
		assert.Assert(t, memory.Held() >= 1000*unitBytes, "%d bytes", memory.Held())
		found, err := c.CancelFor(t.Context(), fmt.Sprintf("%016x", 3), "")
		assert.Assert(t, found)
		assert.NilError(t, err)
		time.Sleep(30 * time.Second)
		// The states of ended jobs are kept for a while.
		assert.Assert(t, memory.Held() <= 3*(jobBytes+stepBytes)+int64(len("none")), "%d bytes", memory.Held())
		time.Sleep(c.cfg.Retention + time.Minute)
		assert.Equal(t, memory.Held(), int64(0))
		assert.Equal(t, submitJob(t, c, 4, 100, waitForever), OutcomeAccepted) // given back with the cell
	})
}

// Jobs with a progress row were not counted by the next owner, which gave back what they take nevertheless: the memory in use became negative, and
// the bound did not hold.
func TestMemoryOfTakenOverJobsIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return time.Second, false })
		fleet.Add(largeRunner)
		own := func(node string) (*Cell, *JobMemory, func()) {
			memory := NewJobMemory(8<<20, nil)
			cfg := testConfig(node, s, fleet)
			cfg.Memory = memory
			ctx, stop := context.WithCancel(t.Context())
			c := acquireNext(ctx, t, cfg, largeRunner)
			time.Sleep(10 * time.Second)
			return c, memory, func() {
				stop()
				<-c.Done()
			}
		}
		first, _, stop := own("n1")
		assert.Equal(t, submitJob(t, first, 1, 1000, func(job *workload.Job) {
			waitForever(job)
			done := job.Steps[0]
			done.Count, done.Label = 1, ""
			job.Steps = append(job.Steps, done)
		}), OutcomeAccepted)
		assert.Equal(t, submitJob(t, first, 2, 3, nil), OutcomeAccepted)
		time.Sleep(5 * time.Second)
		stop()
		c, memory, stop := own("n2")
		defer stop()
		held := memory.Held()
		assert.Assert(t, held >= 1000*unitBytes, "%d bytes", held)
		found, err := c.CancelFor(t.Context(), fmt.Sprintf("%016x", 1), "")
		assert.Assert(t, found)
		assert.NilError(t, err)
		time.Sleep(c.cfg.Retention * 2)
		assert.Equal(t, memory.Held(), int64(0))
	})
}

// A few large jobs that wait for ever must leave memory for small ones.
func TestLargeJobsLeaveMemoryForSmallOnes(t *testing.T) {
	const limit = 4 << 20
	withMemory(t, limit, func(t *testing.T, c *Cell, memory *JobMemory) {
		assert.Equal(t, submitJob(t, c, 1, workload.MaxTasks, waitForever), OutcomeNoMemory)
		large := 0
		for submitJob(t, c, 100+large, 1000, waitForever) == OutcomeAccepted {
			large++
		}
		assert.Assert(t, large > 0)
		for i := range 50 {
			assert.Equal(t, submitJob(t, c, 10_000+i, 3, nil), OutcomeAccepted)
		}
		assert.Assert(t, memory.Held() <= limit, "%d bytes", memory.Held())
	})
}

// Jobs must leave memory to what shares the pool with them, and be accepted again when that gives it back.
func TestJobsShareThePool(t *testing.T) {
	pool := memory.NewPool()
	pool.SetLimit(8 << 20)
	jobs := NewJobMemory(8<<20, pool)
	assert.Assert(t, jobs.reserve(1<<20))
	assert.Equal(t, pool.Free(), int64(7<<20))
	pool.Add(6 << 20) // by others
	assert.Assert(t, !jobs.reserve(1<<20))
	pool.Add(-6 << 20)
	assert.Assert(t, jobs.reserve(1<<20))
	jobs.add(-2 << 20)
	assert.Equal(t, pool.Free(), int64(8<<20))
}

// Occurrences that are due together must not be created together if they exceed the memory. A job waits for its earlier ones then.
func TestOverlappingOccurrencesWaitForMemory(t *testing.T) {
	const limit, occurrences = 1 << 20, 200
	withMemory(t, limit, func(t *testing.T, c *Cell, memory *JobMemory) {
		scheduled := func(job *workload.Job) {
			job.StartAt, job.Interval, job.Occurrences = time.Now().Add(5*time.Second), time.Millisecond, occurrences
		}
		assert.Equal(t, submitJob(t, c, 1, 100, func(job *workload.Job) {
			scheduled(job)
			waitForever(job)
		}), OutcomeAccepted)
		assert.Assert(t, memory.Held() >= 100*unitBytes, "the first occurrence is not counted")
		assert.Equal(t, submitJob(t, c, 2, 1, scheduled), OutcomeAccepted)
		time.Sleep(time.Minute)
		assert.Assert(t, memory.Held() <= limit, "%d bytes", memory.Held())
		assert.Assert(t, c.jobs[fmt.Sprintf("%016x", 1)].nextOcc < occurrences)
		state, _ := c.State(fmt.Sprintf("%016x", 2))
		assert.Equal(t, state, workload.StateCompleted)
	})
}

// A task must not take more memory than is counted for it.
func TestUnitBytes(t *testing.T) {
	// Of the rest, a unit's entries in lists take a few words.
	assert.Assert(t, unsafe.Sizeof(unit{}) <= unitBytes*7/8, "%d bytes", unsafe.Sizeof(unit{}))
}
