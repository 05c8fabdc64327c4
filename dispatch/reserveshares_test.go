package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/placement"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// largeWaits returns a cell of 16 runners of 16 cores that are full of tasks of one organisation, where a large task of an organisation has
// waited for long enough, and small ones wait beside it.
func largeWaits(t *testing.T, running, waiting, small string) (s *stuckCell, large *unit) {
	t.Helper()
	s = newStuckCell(t)
	delete(s.runners, "r0")
	s.ready = nil
	add := func(organisation string, count int, cpu int64) []*unit {
		units := s.add(workload.Step{Count: count, Estimated: time.Minute, Resources: workload.Resources{CPU: cpu, MemoryMB: 100}})
		units[0].job.def.Organisation = organisation
		return units
	}
	const runners = 16
	tasks := add(running, runners*8, 2_000)
	for i := range runners {
		id := fmt.Sprintf("x%02d", i)
		rs := &runnerState{info: runner.Info{ID: id, Service: "kioscos", Capacity: workload.Resources{CPU: 16_000, MemoryMB: 64_000}},
			present: true, synced: true, lastResponseAt: s.now, runs: map[*run]bool{}, candidate: placement.Candidate{ID: id, Slowdown: 1}}
		s.runners[id] = rs
		for _, u := range tasks[i*8 : i*8+8] {
			s.attach(&run{unit: u, number: 1, runner: rs, startedAt: s.now, phase: runRunning, speed: fullSpeed})
		}
	}
	large = add(waiting, 1, 8_000)[0]
	s.makeReady(large)
	for _, u := range add(small, 4, 2_000) {
		s.makeReady(u)
	}
	s.now = s.now.Add(time.Second)
	for _, rs := range s.runners {
		rs.lastResponseAt = s.now
	}
	return s, large
}

// A runner that is held for a task keeps others off. That must not give an organisation more than its share.
func TestRunnersAreHeldWithinShares(t *testing.T) {
	organisations := map[string]*catalog.Organisation{"a": {Name: "a", Weight: 1}, "b": {Name: "b", Weight: 1}}
	for name, test := range map[string]struct {
		running, waiting, small string
		organisations           map[string]*catalog.Organisation
		want                    int
	}{
		"no organisations":                             {want: 1},
		"it holds the cell and the other one waits":    {"a", "a", "b", organisations, 0},
		"the other one holds the cell":                 {"a", "b", "a", organisations, 1},
		"it holds the cell and nobody else waits":      {"a", "a", "a", organisations, 1},
		"neither holds anything and the cell is other": {"", "a", "b", organisations, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := largeWaits(t, test.running, test.waiting, test.small)
			s.catalog.Organisations = test.organisations
			s.updateHolds(s.now, s.runnerViews(s.now))
			assert.Equal(t, len(s.holds.byService["kioscos"]), test.want)
		})
	}
}

// A hold must end if the task may not start any more.
func TestHoldEndsWithTheTaskThatMayNotStart(t *testing.T) {
	s, large := largeWaits(t, "", "", "")
	s.updateHolds(s.now, s.runnerViews(s.now))
	assert.Equal(t, len(s.holds.byService["kioscos"]), 1)
	assert.Equal(t, s.heldRunner(large), s.holds.byService["kioscos"][0].runner.info.ID)
	large.recovered, large.run = true, 1
	s.unresolved["gone"] = &unresolvedRunner{}
	assert.Assert(t, s.awaitsUnresolved(large))
	s.updateHolds(s.now, s.runnerViews(s.now))
	assert.Equal(t, len(s.holds.byService["kioscos"]), 0)
}
