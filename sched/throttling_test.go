package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
)

// Reports that arrive within the usage lag of an action, or that were measured before it, must not cause a second
// action: they do not show the effect of the first.
func TestNoSecondActionBeforeEffectOfFirst(t *testing.T) {
	s := newScheduler(DefaultConfig())
	s.UpsertWorker(testWorker("w1", cpu(10_000)))
	s.Plan(epoch, 0)
	service := batchTask("svc/0", cpu(1000))
	service.Spec.Class, service.Spec.Service, service.Spec.Kind = job.ClassService, "kioscos", "kioscos"
	s.Restore(Allocation{Task: service, Worker: "w1", Commitment: cpu(1000)})
	for i := range 8 {
		task := batchTask(string(job.MakeTaskID("b", i)), cpu(1000))
		task.Spec.Kind = "ranking"
		s.Restore(Allocation{Task: task, Worker: "w1", Commitment: cpu(1000)})
	}
	report := func(age time.Duration, slowdown float64) {
		s.ReportUsage("w1", infra.Usage{
			Ref:       infra.AttemptRef{Task: "svc/0", Attempt: 1},
			AgeMillis: age.Milliseconds(), SlowdownPermille: int64(slowdown * 1000),
		})
	}
	now := epoch.Add(time.Minute)
	plan := func(age time.Duration, slowdown float64) []Preemption {
		now = now.Add(time.Second)
		s.Advance(now)
		report(age, slowdown)
		return commitPlan(s, now).Preemptions
	}
	var first []Preemption
	for range 30 {
		if first = plan(0, 2.5); len(first) > 0 {
			break
		}
	}
	assert.Assert(t, len(first) > 0, "a service that is 2.5 times slower than when run alone must cause throttles")
	assert.Equal(t, first[0].Action, ActionThrottle)
	assert.Equal(t, first[0].Beneficiary, job.TaskID("svc/0"))
	for range 10 {
		assert.Equal(t, len(plan(0, 2.5)), 0, "within the usage lag")
	}
	s.tasks["svc/0"].reports = 0
	for i := range 10 {
		measuredBefore := time.Duration(12+i) * time.Second
		assert.Equal(t, len(plan(measuredBefore, 2.5)), 0, "measured before the action")
	}
	acted := false
	for range 30 {
		acted = acted || len(plan(0, 2.5)) > 0
	}
	assert.Assert(t, acted, "a service that stays slow must cause another action")
}
