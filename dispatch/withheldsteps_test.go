package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// withheldTwoSteps makes a node the owner of a cell, whose store refuses the progress of a job with two steps from the start, and returns
// once the first step has been done for a time.
func withheldTwoSteps(ctx context.Context, t *testing.T, s *refusingStore, fleet *emulator.Fleet, after time.Duration) *Cell {
	t.Helper()
	cfg := testConfig("n1", s, fleet)
	cfg.ConfirmOutage = func(context.Context, Witness, int64) bool { return false }
	cfg.Witnesses = []Witness{{Node: "w", Addr: "w", Incarnation: "w"}}
	c := acquireNext(ctx, t, cfg, largeRunner)
	time.Sleep(3 * time.Second)
	c.mu.Lock()
	stated := c.steps.stated
	c.mu.Unlock()
	assert.Assert(t, stated)
	job := shortJob("00000000000000aa", 1)
	second := job.Steps[0]
	second.After = []int{0}
	job.Steps = append(job.Steps, second)
	outcome, _ := c.Submit(ctx, job, true)
	assert.Equal(t, outcome, OutcomeAccepted)
	s.setRefuse(refuseWrites(TableProgress, job.ID))
	time.Sleep(500*time.Millisecond + after)
	return c
}

// A job of which the store refuses the progress goes on: no row states then that its steps begin durably.
func TestStepOfAWithheldJobBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingStore{Store: emulator.NewStore()}
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return 500 * time.Millisecond, false })
		fleet.Add(largeRunner)
		ctx, stop := context.WithCancel(t.Context())
		c := withheldTwoSteps(ctx, t, s, fleet, 3*time.Second)
		started := len(fleet.Starts())
		stop()
		<-c.Done()
		assert.Equal(t, started, 2)
	})
}

// The row that releases a cell must not state that no step has begun early if one of a withheld job has.
func TestReleaseWithAStepOfAWithheldJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingStore{Store: emulator.NewStore()}
		fleet := emulator.NewFleet(func(id workload.TaskID, _ int) (time.Duration, bool) {
			return time.Duration(500+id.Step*60000) * time.Millisecond, false
		})
		fleet.Add(largeRunner)
		ctx, stop := context.WithCancel(t.Context())
		c := withheldTwoSteps(ctx, t, s, fleet, 3*time.Second)
		assert.Equal(t, len(fleet.Starts()), 2)
		stop()
		<-c.Done()
		row, _, err := ReadOwner(t.Context(), store.Store(s), c.cfg.Part)
		assert.NilError(t, err)
		assert.Assert(t, row.Released)
		assert.Assert(t, !row.DurableSteps)
	})
}
