package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/lookahead"
	"github.com/currantthread/currantthread/placement"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

const heldCPU = 30_000

// holdCell is a cell with runners that are full of small best-effort tasks, and a large one that waits.
type holdCell struct {
	*stuckCell
	large *unit
}

// newHoldCell returns a cell whose runner "x<i>" has six small tasks with an estimate of ends[i].
func newHoldCell(t *testing.T, ends ...time.Duration) *holdCell {
	t.Helper()
	s := &holdCell{stuckCell: newStuckCell(t)}
	delete(s.runners, "r0")
	s.ready = nil
	for i, end := range ends {
		id := fmt.Sprint("x", i)
		rs := &runnerState{info: runner.Info{ID: id, Service: "kioscos", Capacity: workload.Resources{CPU: 64_000, MemoryMB: 256_000}},
			present: true, synced: true, lastResponseAt: s.now, runs: map[*run]bool{}, candidate: placement.Candidate{ID: id, Slowdown: 1}}
		s.runners[id] = rs
		for _, u := range s.add(workload.Step{Count: 6, BestEffort: true, Image: "fill", Estimated: end, Resources: workload.Resources{CPU: 10_000}}) {
			s.attach(&run{unit: u, number: 1, runner: rs, startedAt: s.now, phase: runRunning, speed: fullSpeed})
		}
	}
	s.large = s.add(workload.Step{Count: 1, BestEffort: true, Image: "large", Estimated: time.Second, Resources: workload.Resources{CPU: heldCPU}})[0]
	s.large.job.objective = s.now
	s.makeReady(s.large)
	s.now = s.large.readyAt
	s.update()
	return s
}

// update is the beginning of a plan.
func (s *holdCell) update() {
	for _, rs := range s.runners {
		rs.lastResponseAt = s.now
	}
	s.classifyReady(s.now)
	s.updateHolds(s.now, s.runnerViews(s.now))
}

// after makes a plan begin later.
func (s *holdCell) after(d time.Duration) *holdCell {
	s.now = s.now.Add(d)
	s.update()
	return s
}

// bestEffortHold returns the first hold for a best-effort step, or nil if there is none.
func (s *holdCell) bestEffortHold() *hold {
	for _, held := range s.holds.byService["kioscos"] {
		if !held.commits {
			return held
		}
	}
	return nil
}

// held returns the runner that is held; "" if there is none.
func (s *holdCell) held() string {
	if h := s.bestEffortHold(); h != nil {
		return h.runner.info.ID
	}
	return ""
}

// serve attaches a serving task to a runner that tolerates a pressure of best-effort tasks only up to a limit.
func (s *holdCell) serve(id string, load float64) {
	u := s.add(workload.Step{Count: 1, LongRunning: true, Image: "s", LatencyTarget: 50 * time.Millisecond, Resources: workload.Resources{CPU: 4_000}})[0]
	s.pressure.Observe(s.now, "s", 10, nil, &interference.Load{})
	s.pressure.Observe(s.now, "s", 10/(1-load), nil, &u.stepState().load)
	s.attach(&run{unit: u, number: 1, runner: s.runners[id], startedAt: s.now, phase: runRunning, speed: fullSpeed})
}

// A hold must not outlive the wait of its step or the runner, nor keep others from their turn, and must not come for each task that waits.
func TestHoldEnds(t *testing.T) {
	for name, test := range map[string]struct {
		change func(s *holdCell)
		later  time.Duration
		want   string
	}{
		"nothing changes":          {change: func(*holdCell) {}, later: maxHoldTime - time.Millisecond, want: "x0"},
		"the job has started":      {change: func(s *holdCell) { s.attach(&run{unit: s.large, number: 1, runner: s.runners["x1"]}) }},
		"the job is cancelled":     {change: func(s *holdCell) { s.large.job.state = workload.StateCancelled }},
		"the runner drains":        {change: func(s *holdCell) { s.runners["x0"].info.Draining = true }, later: time.Millisecond, want: "x1"},
		"the runner is gone":       {change: func(s *holdCell) { delete(s.runners, "x0") }, later: time.Millisecond, want: "x1"},
		"serving tasks need it":    {change: func(s *holdCell) { s.serve("x0", 0.79) }, later: time.Millisecond, want: "x1"},
		"the time is over":         {change: func(*holdCell) {}, later: maxHoldTime},
		"the runner is overloaded": {change: func(s *holdCell) { s.runners["x0"].info.Capacity.CPU = heldCPU - 1 }, later: time.Millisecond, want: "x1"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHoldCell(t, time.Second, 2*time.Second)
			assert.Equal(t, s.held(), "")
			s.after(holdWaitBound)
			assert.Equal(t, s.held(), "x0")
			test.change(s)
			s.after(test.later)
			assert.Equal(t, s.held(), test.want)
		})
	}
}

// Tasks that run longer than estimated must not keep a step waiting for one runner.
func TestAnotherRunnerIsHeldNext(t *testing.T) {
	s := newHoldCell(t, time.Second, 2*time.Second)
	s.after(holdWaitBound).after(maxHoldTime).after(holdWaitBound)
	assert.Equal(t, s.held(), "x1")
}

// One runner at a time is held, and each job gets its turn.
func TestJobsTakeTurnsAtHeldRunner(t *testing.T) {
	s := newHoldCell(t, time.Second, time.Second, time.Second)
	second := s.add(workload.Step{Count: 1, BestEffort: true, Estimated: time.Second, Resources: workload.Resources{CPU: heldCPU}})[0]
	second.job.objective = s.now
	s.makeReady(second)
	first := s.after(time.Second).after(holdWaitBound).bestEffortHold().job
	assert.Equal(t, len(s.holds.byService["kioscos"]), 1)
	s.after(maxHoldTime).after(time.Millisecond)
	assert.Assert(t, s.bestEffortHold().job != first)
}

// Small tasks start in pieces that become free, so they must not be served first at the held runner, but get their turn in the end.
func TestRunnerIsHeldForLargerTasksFirst(t *testing.T) {
	s := newHoldCell(t, time.Second)
	small := s.add(workload.Step{Count: 1, BestEffort: true, Estimated: time.Second, Resources: workload.Resources{CPU: heldCPU / 3}})[0]
	s.makeReady(small)
	small.readyAt = s.large.readyAt.Add(-time.Second)
	small.job.idleSince = small.readyAt
	small.job.objective = s.now
	s.after(holdWaitBound)
	assert.Equal(t, s.bestEffortHold().job, s.large.job)
	small.readyAt = s.now.Add(-time.Minute)
	small.job.idleSince = small.readyAt
	assert.Assert(t, small.goesBefore(s.now, s.large))
}

// While tasks that can still meet their objective wait, those that can't must not get their processor time (trials on kioscos-reserva,
// review/4/day.toml --seed 303: a tenth fewer best-effort tasks started in time).
func TestNoRunnerIsHeldWhileTasksInTimeWait(t *testing.T) {
	s := newHoldCell(t, time.Second)
	other := s.add(workload.Step{Count: 1, Estimated: time.Second, Resources: workload.Resources{CPU: 10_000}})[0]
	s.makeReady(other)
	other.job.objective = s.now.Add(time.Minute)
	s.after(2 * holdWaitBound)
	assert.Equal(t, s.held(), "")
	s.unqueue(other)
	other.phase = phaseDone
	s.after(time.Millisecond)
	assert.Equal(t, s.held(), "x0")
}

// A runner on which serving tasks leave no headroom for the task, or on which it does not start first, must not be held.
func TestHeldRunnerIsTheFirstToHaveRoom(t *testing.T) {
	s := newHoldCell(t, 3*time.Second, time.Second, 2*time.Second)
	s.serve("x1", 0.79)
	for _, rs := range s.runners {
		for r := range rs.runs {
			r.progressAt = s.now.Add(holdWaitBound)
		}
	}
	s.after(holdWaitBound)
	assert.Equal(t, s.held(), "x2")
	assert.Equal(t, s.bestEffortHold().startAt, s.now.Add(2*time.Second))
	views := s.runnerViews(s.now)
	i := slices.IndexFunc(views, func(v *runnerView) bool { return v.candidate.Held })
	assert.Equal(t, views[i].candidate.ID, "x2")
	assert.Equal(t, views[i].candidate.HeldFor, 2*time.Second)
	assert.Equal(t, s.placementRequest(s.large, nil).HeldRunner, "x2")
}

// The counts of filters alone don't tell a task that smaller ones pass over from one that no runner would take.
func TestWaitOfPassedOverTaskIsExplained(t *testing.T) {
	s := newHoldCell(t, time.Second, time.Second, time.Second)
	s.serve("x1", 0.79)
	for r := range s.runners["x2"].runs {
		r.startedAt = s.now.Add(time.Millisecond)
	}
	s.after(holdWaitBound)
	scan := &waitScan{cell: s.Cell, now: s.now}
	fields := scan.explain(s.large, s.runnerViews(s.now)).details()
	assert.Equal(t, fields["if_emptied"], 2)
	assert.Equal(t, fields["passed_on"], 1)
	assert.Equal(t, fields["held"], s.held())
}

// Holds for overdue best-effort jobs must leave the reservations of steps that commit processor time, which are counted beside them.
func TestOverdueHoldsLeaveReservations(t *testing.T) {
	ends := make([]time.Duration, 32)
	for i := range ends {
		ends[i] = time.Second
	}
	s := newHoldCell(t, ends...)
	for range 6 {
		u := s.wait(workload.Step{Count: 2, BestEffort: true, Image: "large", Estimated: time.Second, Resources: workload.Resources{CPU: heldCPU}}, nil)[0]
		u.job.objective = s.now
	}
	other := s.wait(workload.Step{Count: 1, Estimated: time.Second, Resources: workload.Resources{CPU: 10_000}}, nil)[0]
	other.job.objective = s.now.Add(time.Minute)
	s.checkBacklog(s.now)
	s.after(2 * holdWaitBound)
	for range 10 {
		s.now = s.now.Add(maxIdleTime / 10)
		s.after(holdRetry)
	}
	assert.Equal(t, s.holds.countBestEffort("kioscos"), 4)
	// A large urgent task and a small one, on runners that are committed in full.
	for _, rs := range s.runners {
		for _, u := range s.add(workload.Step{Count: 1, Estimated: time.Second, Resources: workload.Resources{CPU: 60_000}}) {
			s.attach(&run{unit: u, number: 1, runner: rs, startedAt: s.now, phase: runRunning, speed: fullSpeed})
		}
	}
	for _, cpu := range []int64{20_000, 10_000} {
		s.wait(workload.Step{Count: 1, Estimated: time.Second, Resources: workload.Resources{CPU: cpu}}, nil)[0].job.objective = s.now.Add(time.Minute)
	}
	s.after(lookahead.ReserveWait)
	s.after(holdRetry)
	reserved := 0
	for _, h := range s.holds.byService["kioscos"] {
		if h.commits {
			reserved++
		}
	}
	assert.Assert(t, reserved > 0, "no runner is reserved for the step that commits capacity; best-effort holds %d", s.holds.countBestEffort("kioscos"))
}

// While tasks in time wait, a job that is not overdue gets no held runner, and kept an overdue one of a lower priority from one.
func TestOverdueJobIsHeldForBehindAHigherPriority(t *testing.T) {
	s := newHoldCell(t, time.Second, time.Second)
	s.large.job.def.Policy.Priority = 1
	inTime := s.wait(workload.Step{Count: 1, Estimated: time.Second, Resources: workload.Resources{CPU: 10_000}}, nil)[0]
	inTime.job.objective = s.now.Add(time.Minute)
	s.checkBacklog(s.now)
	s.now = s.now.Add(maxIdleTime - 2*holdWaitBound)
	first := s.wait(workload.Step{Count: 1, BestEffort: true, Image: "large", Estimated: time.Second, Resources: workload.Resources{CPU: heldCPU}}, nil)[0]
	first.job.objective = s.now
	s.after(0).after(holdWaitBound)
	s.after(holdWaitBound)
	s.after(holdRetry)
	assert.Equal(t, s.holds.countBestEffort("kioscos"), 1)
}
