package dispatch

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/workload"
)

// Lines about long-running tasks must tell a cell that has a place once its short tasks end from one that has none, and a place on a
// runner that takes no tasks from one that can be used.
func TestPlacesAtHomeAreLogged(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare        func(s *stuckCell, waiting *unit)
		places, usable float64
	}{
		"runner is free":                      {func(*stuckCell, *unit) {}, 1, 1},
		"short task has the place":            {func(s *stuckCell, _ *unit) { s.runOf(40_000, false) }, 1, 1},
		"long-running task has the place":     {func(s *stuckCell, _ *unit) { s.runOf(40_000, true) }, 0, 0},
		"runner does not respond":             {func(s *stuckCell, _ *unit) { s.rs.pollFailing = true }, 0, 0},
		"runner is in a back-off":             {func(s *stuckCell, _ *unit) { s.rs.backoffUntil = s.now.Add(time.Minute) }, 1, 0},
		"runner is draining":                  {func(s *stuckCell, _ *unit) { s.rs.info.Draining = true }, 0, 0},
		"offered while the place is free":     {offer, 1, 1},
		"offered while the place is not free": {func(s *stuckCell, u *unit) { s.runOf(40_000, true); offer(s, u) }, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStuckCell(t)
			s.startOn(runRunning)
			waiting := s.longRunning(3, 40_000)
			tc.prepare(s, waiting)
			later := s.now.Add(4 * time.Second)
			if !s.rs.pollFailing {
				s.rs.lastResponseAt = later
			}
			s.logs.Reset()
			s.checkWaiting(later)
			for text := range strings.Lines(s.logs.String()) {
				var line map[string]any
				assert.NilError(t, json.Unmarshal([]byte(text), &line))
				_, told := line["long_places"]
				if line["request"] != waiting.job.def.ID {
					assert.Assert(t, !told, text)
					continue
				}
				t.Log(text)
				assert.Equal(t, line["long_places"], tc.places, text)
				assert.Equal(t, line["long_places_usable"], tc.usable, text)
				return
			}
			t.Fatalf("no line about the waiting task: %s", s.logs.String())
		})
	}
}

// longRunning accepts a job with one long-running task and returns its unit.
func (s *stuckCell) longRunning(id byte, cpu int64) *unit { return s.jobOf(id, cpu, true) }

func (s *stuckCell) jobOf(id byte, cpu int64, longRunning bool) *unit {
	job := &workload.Job{ID: "000000000000000" + string('0'+id), Occurrences: 1, AcceptedAt: s.now,
		Steps:  []workload.Step{{Count: 1, Resources: workload.Resources{CPU: cpu, MemoryMB: 1000}, Estimated: time.Second, LongRunning: longRunning}},
		Policy: workload.Policy{Queue: "q", Service: "kioscos", MaxAttempts: 3, Stretch: 2}}
	s.accept(s.now, job)
	return s.jobs[job.ID].occs[0].steps[0].units[0]
}

// runOf adds a run of a task of another job to the runner.
func (s *stuckCell) runOf(cpu int64, longRunning bool) {
	s.attach(&run{unit: s.jobOf(4, cpu, longRunning), number: 1, runner: s.rs, startedAt: s.now, phase: runRunning, speed: fullSpeed})
}

// offer offers a unit to another cell.
func offer(s *stuckCell, u *unit) { s.markDelegated(u.job, "c1", []*unit{u}) }
