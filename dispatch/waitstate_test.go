package dispatch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/placement"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// stuckCell is a cell without running loops, in which a test sets up a state that should never last.
type stuckCell struct {
	*Cell
	logs    bytes.Buffer
	now     time.Time
	rs      *runnerState
	job     *jobState
	metrics *Metrics
}

// newStuckCell returns a cell with one idle runner and a job of two steps with one task each.
func newStuckCell(t testing.TB) *stuckCell {
	t.Helper()
	s := &stuckCell{now: time.Now(), metrics: NewMetrics(prometheus.NewRegistry())}
	s.Cell = newCell(Config{Name: "c0", Lease: 6 * time.Second, Log: observe.NewLogger(&s.logs, "test", "a"), Metrics: s.metrics}, 1)
	s.lastCommit = s.now
	s.rs = &runnerState{info: runner.Info{ID: "r0", Service: "kioscos", Capacity: workload.Resources{CPU: 64_000, MemoryMB: 256_000}},
		present: true, synced: true, lastResponseAt: s.now, runs: map[*run]bool{}, candidate: placement.Candidate{ID: "r0", Slowdown: 1}}
	s.runners["r0"] = s.rs
	step := workload.Step{Count: 1, Resources: workload.Resources{CPU: 8000, MemoryMB: 1000}, Estimated: time.Second}
	after := step
	after.After = []int{0}
	job := &workload.Job{ID: "0000000000000001", Steps: []workload.Step{step, after}, Occurrences: 1, AcceptedAt: s.now,
		Policy: workload.Policy{Queue: "q", Service: "kioscos", MaxAttempts: 3, Stretch: 2}}
	s.accept(s.now, job)
	s.job = s.jobs[job.ID]
	return s
}

// unit returns the only unit of the first step.
func (s *stuckCell) unit() *unit { return s.job.occs[0].steps[0].units[0] }

// startOn adds a run of the first step to the runner.
func (s *stuckCell) startOn(phase runPhase) *run {
	r := &run{unit: s.unit(), number: 1, runner: s.rs, startedAt: s.now, phase: phase, speed: fullSpeed}
	s.attach(r)
	return r
}

// States in which nothing moves a task on must be visible in the log and in the gauge, with what tells them apart: each
// of them looks like a wait for capacity from outside.
func TestStuckTasksAreLogged(t *testing.T) {
	const after = 4 * time.Second
	cases := map[string]struct {
		prepare func(s *stuckCell)
		why     waitReason
		level   string
		message string
		fields  map[string]any
	}{
		"no plan although a runner would take the task": {
			prepare: func(s *stuckCell) { s.plannedAt = s.now },
			why:     waitNotPlanned, level: "warning",
			fields: map[string]any{"passed": 1.0, "fitting": 1.0, "excluded": "", "plan_ms": 4000.0, "committed_cpu": 0.0, "capacity_cpu": 64000.0},
		},
		"step blocked by steps that are done": {
			prepare: func(s *stuckCell) {
				s.unqueue(s.unit())
				s.unit().phase = phaseDone
				s.job.occs[0].steps[0].left = 0
			},
			why: waitBlocked, level: "error",
			fields: map[string]any{"after": "[0]", "task": "0000000000000001.0.1.0"},
		},
		"active without a run": {
			prepare: func(s *stuckCell) {
				s.unqueue(s.unit())
				s.unit().phase = phaseActive
			},
			why: waitNoRun, level: "error",
		},
		"ready but not in the queue": {
			prepare: func(s *stuckCell) { s.ready = nil },
			why:     waitNotQueued, level: "error",
		},
		"start without response or timeout": {
			prepare: func(s *stuckCell) { s.startOn(runStarting) },
			why:     waitStarting, level: "warning",
			fields: map[string]any{"runner": "r0", "stop": "none", "waited_ms": 4000.0},
		},
		"unknown start whose stop was answered": {
			prepare: func(s *stuckCell) {
				r := s.startOn(runStartUnknown)
				r.stop = stopState{wanted: true, reason: "runner is draining", confirmedAt: s.now}
			},
			why: waitStopping, level: "warning",
			fields: map[string]any{"stop": "answered", "stop_reason": "runner is draining", "poll_failing": false, "response_ms": 0.0},
		},
		"unknown start whose stops have no response": {
			prepare: func(s *stuckCell) {
				s.startOn(runStartUnknown).stop = stopState{wanted: true, reason: "start has no answer", unanswered: 3}
			},
			why: waitStartUnknown, level: "warning",
			fields: map[string]any{"stop": "sent", "stop_reason": "start has no answer", "stops_unanswered": 3.0, "poll_failing": false},
		},
		"reports of the runner are ignored": {
			prepare: func(s *stuckCell) {
				s.startOn(runRunning)
				s.rs.lastResponseAt = s.now.Add(-time.Second)
			},
			why: waitRunnerSilent, level: "warning",
			fields: map[string]any{"poll_failing": false, "response_ms": 5000.0},
		},
		"run of a cancelled job": {
			prepare: func(s *stuckCell) {
				r := s.startOn(runStartUnknown)
				r.stop.wanted, r.stop.reason = true, "cancelled by the client"
				s.job.state = workload.StateCancelled
				s.checkWaiting(s.now)
			},
			why: waitEndedRun, level: "warning", message: "runs of ended tasks remain",
			fields: map[string]any{"runner": "r0", "phase": "start_unknown", "stop": "sent", "waited_ms": 4000.0},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newStuckCell(t)
			silent := tc.why == waitRunnerSilent
			tc.prepare(s)
			s.logs.Reset()
			later := s.now.Add(after)
			if !silent {
				s.rs.lastResponseAt = later
			}
			s.unit().readyAt = s.now
			s.checkWaiting(later)
			text := strings.TrimSpace(s.logs.String())
			assert.Assert(t, text != "" && !strings.Contains(text, "\n"), "lines: %q", text)
			t.Log(text)
			var line map[string]any
			assert.NilError(t, json.Unmarshal([]byte(text), &line))
			message := tc.message
			if message == "" {
				message = "tasks wait"
			}
			for name, want := range map[string]any{"msg": message, "why": string(tc.why), "level": tc.level, "request": s.job.def.ID, "tasks": 1.0, "cell": "c0"} {
				assert.Equal(t, line[name], want, "%s", name)
			}
			for name, want := range tc.fields {
				assert.Equal(t, line[name], want, "%s", name)
			}
			assert.Equal(t, gaugeValue(t, s.metrics.waiting, string(tc.why)), 1.0)
			s.resetWaiting()
			assert.Equal(t, gaugeValue(t, s.metrics.waiting, string(tc.why)), 0.0)
		})
	}
}

// gaugeValue returns the value of a gauge.
func gaugeValue(t *testing.T, gauges *prometheus.GaugeVec, label string) float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(gauges)
	families, err := registry.Gather()
	assert.NilError(t, err)
	for _, m := range families[0].GetMetric() {
		if m.GetLabel()[0].GetValue() == label {
			return m.GetGauge().GetValue()
		}
	}
	t.Fatalf("no gauge with label %s", label)
	return 0
}

// The condition under which a runner takes new tasks and the reason in the log must be the same, and each reason must be
// told apart.
func TestUnavailableRunnersHaveAReason(t *testing.T) {
	for want, change := range map[unavailability]func(s *stuckCell){
		"":                   func(*stuckCell) {},
		notListed:            func(s *stuckCell) { s.rs.present = false },
		draining:             func(s *stuckCell) { s.rs.info.Draining = true },
		evacuated:            func(s *stuckCell) { s.evacuated = map[string]bool{s.rs.info.Domain: true} },
		runnersNotRead:       func(s *stuckCell) { s.awaitsRunners = true },
		listedTerminated:     func(s *stuckCell) { s.rs.listedTerminated = true },
		listedSilent:         func(s *stuckCell) { s.listedSilent[s.rs.info.ID] = true },
		foreignRuns:          func(s *stuckCell) { s.rs.foreign = 1 },
		notSynced:            func(s *stuckCell) { s.rs.synced = false },
		pollFailing:          func(s *stuckCell) { s.rs.pollFailing = true },
		newProcess:           func(s *stuckCell) { s.rs.bornSeenAt = s.lastCommit },
		responseOverdue:      func(s *stuckCell) { s.rs.lastResponseAt = s.now.Add(-reachableTimeout) },
		startBackoff:         func(s *stuckCell) { s.rs.backoffUntil = s.now.Add(time.Second) },
		noCapacityUntilLater: func(s *stuckCell) { s.rs.noCapacityUntil = s.now.Add(time.Second) },
	} {
		s := newStuckCell(t)
		change(s)
		assert.Equal(t, s.unavailable(s.now, s.rs), want)
		views := s.runnerViews(s.now)
		assert.Equal(t, views[0].candidate.Available, want == "")
		request := s.placementRequest(s.unit(), map[string]int{})
		e := s.explainPlacement(s.now, request, serviceCandidates("kioscos", views))
		if want == "" {
			assert.Equal(t, e.passed, 1)
		} else {
			assert.Equal(t, e.excluded[string(want)], 1)
		}
	}
}

// BenchmarkCheckWaiting measures one check of a cell with 66 runners and 600 runs while jobs of 20 tasks wait.
func BenchmarkCheckWaiting(b *testing.B) {
	for _, waiting := range []int{0, 30, 300} {
		b.Run(fmt.Sprintf("%d waiting jobs", waiting), func(b *testing.B) {
			now := time.Now()
			c := newCell(Config{Name: "c0", Lease: 6 * time.Second, Log: observe.NewLogger(io.Discard, "test", "a"),
				Metrics: NewMetrics(prometheus.NewRegistry())}, 1)
			c.lastCommit = now
			var states []*runnerState
			for i := range 66 {
				id := fmt.Sprintf("r%d", i)
				rs := &runnerState{info: runner.Info{ID: id, Service: "kioscos", Capacity: workload.Resources{CPU: 64_000, MemoryMB: 256_000}},
					present: true, synced: true, runs: map[*run]bool{}, candidate: placement.Candidate{ID: id, Slowdown: 1}}
				c.runners[id], states = rs, append(states, rs)
			}
			for i := range 30 + waiting {
				c.accept(now, &workload.Job{ID: fmt.Sprintf("%016x", i), Occurrences: 1, AcceptedAt: now,
					Steps:  []workload.Step{{Count: 20, Resources: workload.Resources{CPU: 7000, MemoryMB: 1000}, Estimated: time.Second}},
					Policy: workload.Policy{Queue: "q", Service: "kioscos", MaxAttempts: 3, Stretch: 2}})
			}
			for i, u := range slices.Clone(c.ready[:600]) {
				c.attach(&run{unit: u, number: 1, runner: states[i%len(states)], startedAt: now, phase: runRunning, speed: fullSpeed})
			}
			for b.Loop() {
				now = now.Add(waitCheckInterval)
				c.lastCommit = now
				for _, rs := range states {
					rs.lastResponseAt = now
				}
				c.checkWaiting(now)
			}
		})
	}
}
