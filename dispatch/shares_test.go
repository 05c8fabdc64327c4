package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/workload"
)

// weights returns a configuration with organisations.
func weights(t testing.TB, weights map[string]float64) *catalog.Config {
	t.Helper()
	config := &catalog.Config{}
	for name, weight := range weights {
		assert.NilError(t, config.AddOrganisation(catalog.Organisation{Name: name, Weight: weight}, nil))
	}
	return config
}

// addFor accepts a job of an organisation whose tasks are ready.
func (s *stuckCell) addFor(organisation string, priority int, step workload.Step) []*unit {
	units := s.add(step)
	units[0].job.def.Organisation, units[0].job.def.Policy.Priority = organisation, priority
	for _, u := range units {
		s.makeReady(u)
	}
	return units
}

// order returns the organisations of the ready units in the order in which a plan tries them if the first free of them find a runner.
func (s *stuckCell) order(free int) []string {
	s.sortReady(s.now)
	turns := s.newTurns(s.now)
	var names []string
	for u := turns.next(); u != nil; u = turns.next() {
		names = append(names, u.job.def.Organisation)
		if free > 0 {
			turns.started(u)
			free--
		}
	}
	return names
}

// Each case guards against an order that lets an organisation take what belongs to others.
func TestOrderOfOrganisations(t *testing.T) {
	short := workload.Step{Count: 1, Estimated: time.Second, Resources: workload.Resources{CPU: 4000, MemoryMB: 1000}}
	long := short
	long.LongRunning = true
	cases := map[string]struct {
		weights map[string]float64
		prepare func(s *stuckCell)
		want    []string
	}{
		"without organisations the first job goes first": {nil, func(s *stuckCell) {
			s.addMany("a", 3, short)
			s.addMany("b", 2, short)
		}, []string{"a", "a", "a", "b", "b"}},
		"one sends many": {map[string]float64{"a": 1, "b": 1}, func(s *stuckCell) {
			s.addMany("a", 4, short)
			s.addMany("b", 2, short)
		}, []string{"a", "b", "a", "b", "a", "a"}},
		"weights": {map[string]float64{"a": 1, "b": 3}, func(s *stuckCell) {
			s.addMany("a", 2, short)
			s.addMany("b", 4, short)
		}, []string{"a", "b", "b", "b", "a", "b"}},
		"an unknown organisation and no organisation have the weight 1": {map[string]float64{"a": 1}, func(s *stuckCell) {
			s.addMany("a", 2, short)
			s.addMany("gone", 2, short)
			s.addMany("", 2, short)
		}, []string{"a", "gone", "", "a", "gone", ""}},
		"the runs of the cell count": {map[string]float64{"a": 1, "b": 1}, func(s *stuckCell) {
			s.run("a", short)
			s.addMany("a", 2, short)
			s.addMany("b", 2, short)
		}, []string{"b", "a", "b", "a"}},
		"long-running tasks don't count for short ones": {map[string]float64{"a": 1, "b": 1}, func(s *stuckCell) {
			s.run("a", long)
			s.addMany("a", 2, short)
			s.addMany("b", 2, short)
		}, []string{"a", "b", "a", "b"}},
		"long-running tasks count for long-running ones": {map[string]float64{"a": 1, "b": 1}, func(s *stuckCell) {
			s.run("a", long)
			s.addMany("a", 1, long)
			s.addMany("b", 1, long)
		}, []string{"b", "a"}},
		"priority goes before shares": {map[string]float64{"a": 1, "b": 1}, func(s *stuckCell) {
			s.run("a", short)
			s.addFor("b", 1, short)
			s.addFor("a", 0, short)
		}, []string{"a", "b"}},
		"a restart goes before shares": {map[string]float64{"a": 1, "b": 1}, func(s *stuckCell) {
			s.run("a", long)
			s.addFor("b", 0, long)
			s.addFor("a", 1, long)[0].run = 1
		}, []string{"a", "b"}},
		"what has no value waits for others": {map[string]float64{"a": 1, "b": 1}, func(s *stuckCell) {
			s.run("b", short)
			j := s.addFor("a", 0, short)[0].job
			j.def.AcceptedAt = s.now.Add(-time.Hour)
			j.objective = j.def.AcceptedAt.Add(2 * time.Second)
			s.addMany("b", 1, short)
		}, []string{"b", "a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newStuckCell(t)
			s.ready = nil
			s.SetCatalog(weights(t, c.weights))
			c.prepare(s)
			assert.DeepEqual(t, s.order(len(c.want)), c.want)
		})
	}
}

// addMany accepts jobs of one task each.
func (s *stuckCell) addMany(organisation string, count int, step workload.Step) {
	for range count {
		s.addFor(organisation, 0, step)
	}
}

// run accepts a job of an organisation with one task, which runs.
func (s *stuckCell) run(organisation string, step workload.Step) *run {
	r := &run{unit: s.addFor(organisation, 0, step)[0], number: 1, runner: s.rs, startedAt: s.now, phase: runRunning, speed: fullSpeed}
	s.attach(r)
	return r
}

// An organisation that comes back must get the next units until it has its share, not what it left unused before.
func TestIdleOrganisationClaimsNoPast(t *testing.T) {
	step := workload.Step{Count: 1, Estimated: time.Second, Resources: workload.Resources{CPU: 4000, MemoryMB: 1000}}
	s := newStuckCell(t)
	s.ready = nil
	s.SetCatalog(weights(t, map[string]float64{"a": 1, "b": 1}))
	var runs []*run
	for range 3 {
		runs = append(runs, s.run("a", step))
	}
	for _, r := range runs {
		s.detach(r)
		s.run("a", step)
	}
	s.addMany("a", 3, step)
	s.addMany("idle", 6, step)
	// It gets three to be level with the other one, then each second one.
	assert.DeepEqual(t, s.order(9), []string{"idle", "idle", "idle", "a", "idle", "a", "idle", "a", "idle"})
}

// Operators must see whether a task waits because its organisation has its share or because the runners are full.
func TestWaitReasonOfOrganisations(t *testing.T) {
	s := newStuckCell(t)
	s.ready = nil
	s.cfg.Regions = map[string]string{}
	s.rs.bornSeenAt = s.now.Add(-time.Second)
	s.SetCatalog(weights(t, map[string]float64{"a": 1, "b": 1, "full": 1}))
	long := workload.Step{Count: 1, LongRunning: true, Estimated: time.Second, Resources: workload.Resources{CPU: 16_000, MemoryMB: 1000}}
	s.run("a", long)
	s.run("full", long)
	s.run("full", long)
	a, b := s.addFor("a", 0, long)[0], s.addFor("b", 0, long)[0]
	larger := long
	larger.Resources.CPU = 17_000
	s.addFor("b", 0, larger)
	// makeReady uses the time of day.
	s.now = time.Now().Add(time.Millisecond)
	s.plan(t.Context(), s.now)
	assert.Equal(t, b.phase, phaseActive)
	assert.Equal(t, a.phase, phaseReady)
	s.rs.lastResponseAt, s.lastCommit = s.now.Add(4*time.Second), s.now.Add(4*time.Second)
	s.observeActivity(s.now)
	s.checkWaiting(s.now.Add(4 * time.Second))

	metrics := &s.metrics.organisations
	assert.Equal(t, testutil.ToFloat64(metrics.waiting.WithLabelValues("a", "c0", waitsForShare)), 1.0)
	assert.Equal(t, testutil.ToFloat64(metrics.waiting.WithLabelValues("b", "c0", waitsForCapacity)), 1.0)
	assert.Equal(t, testutil.ToFloat64(metrics.share.WithLabelValues("full", "c0")), 0.5)
	s.resetWaiting()
	assert.Equal(t, testutil.CollectAndCount(metrics.waiting)+testutil.CollectAndCount(metrics.share), 0)
}

// In a full cell each plan tries one unit of each step, so its cost must stay small beside the sort.
func BenchmarkPlanOfManyOrganisations(b *testing.B) {
	for _, organisations := range []int{0, 62} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			s := fullCell(b, 20, 0, 0)
			names := map[string]float64{}
			for i := range organisations {
				names[fmt.Sprint("o", i)] = float64(1 + i%7)
			}
			s.SetCatalog(weights(b, names))
			step := workload.Step{Count: 10, Estimated: time.Second, Resources: workload.Resources{CPU: 8000, MemoryMB: 1000}}
			for i := range 1000 {
				s.addFor(fmt.Sprint("o", i%62), i%3, step)
			}
			for b.Loop() {
				s.plan(b.Context(), s.now)
			}
			assert.Equal(b, len(s.ready), 10_000)
		})
	}
}

// The check runs on each submission of an organisation beyond its weight, under the cell's lock.
func BenchmarkExcessOfManyOrganisations(b *testing.B) {
	s := fullCell(b, 20, 0, 0)
	names := map[string]float64{}
	for i := range 62 {
		names[fmt.Sprint("o", i)] = 1
	}
	s.SetCatalog(weights(b, names))
	step := workload.Step{Count: 2, Estimated: time.Second, Resources: workload.Resources{CPU: 8000, MemoryMB: 1000}}
	for i := range 5000 {
		s.addFor(fmt.Sprint("o", i%62), 0, step)
	}
	job := *s.jobs[fmt.Sprintf("%016x", 100)].def
	job.Organisation = "o0"
	for range 100 {
		s.countSubmission(s.now, &job)
	}
	b.Run("known", func(b *testing.B) {
		for b.Loop() {
			assert.Assert(b, s.excessOf(s.now, &job) > 0)
		}
	})
	b.Run("anew", func(b *testing.B) {
		for b.Loop() {
			s.share.pools = nil
			assert.Assert(b, s.excessOf(s.now, &job) > 0)
		}
	})
}
