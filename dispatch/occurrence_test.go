package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// scheduleDuringOutage makes a node the owner of a cell, submits a job whose only occurrence becomes due while the store refuses
// commits, and ends the owner a second later.
func scheduleDuringOutage(t *testing.T, s *emulator.Store, fleet *emulator.Fleet, before func()) *workload.Job {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	first := acquireNext(ctx, t, testConfig("n1", s, fleet), largeRunner)
	time.Sleep(time.Second)
	job := shortJob("00000000000000aa", 3)
	job.StartAt = time.Now().Add(time.Second)
	outcome, _ := first.Submit(ctx, job, true)
	assert.Equal(t, outcome, OutcomeAccepted)
	s.SetFault(emulator.StoreRefuses)
	time.Sleep(2 * time.Second)
	assert.Equal(t, len(fleet.Starts()), 3)
	if before != nil {
		before()
	}
	stop()
	<-first.Done()
	s.SetFault(emulator.StoreWorks)
	return job
}

// An occurrence that the previous owner created, and whose row did not become durable, is known from the runners' reports. Its
// ends were dropped, and its tasks ran again after they were done.
func TestOccurrenceOfThePreviousOwner(t *testing.T) {
	for name, duration := range map[string]time.Duration{"ended": 500 * time.Millisecond, "running": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := emulator.NewStore()
				fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return duration, false })
				fleet.Add(largeRunner)
				job := scheduleDuringOutage(t, s, fleet, nil)
				ctx, stop := context.WithCancel(t.Context())
				second := acquireNext(ctx, t, testConfig("n2", s, fleet), largeRunner)
				defer func() {
					stop()
					<-second.Done()
				}()
				time.Sleep(20 * time.Second)
				state, _ := second.State(job.ID)
				assert.Equal(t, state, workload.StateCompleted)
				assert.Equal(t, len(fleet.Starts()), 3)
			})
		})
	}
}

// Tasks of such an occurrence may run on a runner that does not respond. They started a second time elsewhere at once.
func TestOccurrenceOfThePreviousOwnerOnAnUnreachableRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return 4 * time.Second, false })
		fleet.Add(largeRunner)
		job := scheduleDuringOutage(t, s, fleet, func() { fleet.SetFault(largeRunner.ID, emulator.RunnerUnreachable) })
		other := largeRunner
		other.ID, other.Addr = "r1", "r1"
		fleet.Add(other)
		cfg := testConfig("n2", s, fleet)
		previous, version, err := ReadOwner(t.Context(), store.Store(s), cfg.Part)
		assert.NilError(t, err)
		second, err := Acquire(t.Context(), cfg, previous, version, []runner.Info{largeRunner, other})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		second.SetRunner(ctx, largeRunner, true)
		second.SetRunner(ctx, other, true)
		go second.Run(ctx)
		defer func() {
			stop()
			<-second.Done()
		}()
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(fleet.Overlaps()), 0)
		state, _ := second.State(job.ID)
		assert.Equal(t, state, workload.StateCompleted)
	})
}

// A report of an occurrence that no owner can have created yet, or of too many at once, creates none.
func TestReportOfAnOccurrenceThatCanNotExist(t *testing.T) {
	c := newCell(testConfig("n1", emulator.NewStore(), nil), 1)
	now := time.Now()
	def := shortJob("00000000000000aa", maxOpenTasks/10)
	def.Occurrences, def.StartAt, def.Interval = 100, now.Add(-time.Second), time.Second
	c.accept(now, def)
	j := c.jobs[def.ID]
	id := workload.TaskID{Job: def.ID}
	for _, number := range []int{7, 99, 100, 1 << 40} {
		id.Occurrence = number
		assert.Assert(t, c.reportedUnit(now, j, id) == nil)
		assert.Equal(t, len(j.occs), 0)
	}
	id.Occurrence = 2
	assert.Assert(t, c.reportedUnit(now, j, id) != nil)
	assert.Equal(t, len(j.occs), 3)
	id.Occurrence = 20
	assert.Assert(t, c.reportedUnit(now.Add(time.Minute), j, id) == nil)
	id.Occurrence = 19
	assert.Assert(t, c.reportedUnit(now.Add(time.Minute), j, id) != nil)
	assert.Equal(t, j.nextOcc, 20)
}

// The units of done occurrences are removed when later ones are created. They were kept until the end of the job: 100,000
// occurrences of 10,000 tasks need more memory than a VM has.
func TestDoneOccurrencesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return 300 * time.Millisecond, false })
		fleet.Add(largeRunner)
		s := emulator.NewStore()
		ctx, stop := context.WithCancel(t.Context())
		c := acquireNext(ctx, t, testConfig("n1", s, fleet), largeRunner)
		time.Sleep(time.Second)
		job := shortJob("00000000000000aa", 5)
		job.Occurrences, job.StartAt, job.Interval = 60, time.Now(), time.Second
		outcome, _ := c.Submit(ctx, job, true)
		assert.Equal(t, outcome, OutcomeAccepted)
		for range 40 {
			time.Sleep(time.Second)
			c.mu.Lock()
			assert.Check(t, len(c.jobs[job.ID].occs) <= 3, "%d occurrences", len(c.jobs[job.ID].occs))
			c.mu.Unlock()
		}
		stop()
		<-c.Done()
		ctx, stop = context.WithCancel(t.Context())
		c = acquireNext(ctx, t, testConfig("n2", s, fleet), largeRunner)
		defer func() {
			stop()
			<-c.Done()
		}()
		time.Sleep(30 * time.Second)
		state, _ := c.State(job.ID)
		assert.Equal(t, state, workload.StateCompleted)
		assert.Equal(t, len(fleet.Starts()), 60*5)
	})
}
