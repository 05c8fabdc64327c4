package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/workload"
)

const (
	// finishTime is the time after the end of the traffic from which no accepted job may be idle for idleTime while at least half of the capacity is
	// not used. Both are the platform's bounds.
	finishTime, idleTime = 14 * time.Second, 3 * time.Second
	// watchInterval is the pause between two looks at what runs. It is shorter than each task.
	watchInterval = 50 * time.Millisecond

	// overloadRunnerCPU is the capacity of a runner in an overload, in thousandths of a core.
	overloadRunnerCPU = 32000
	// servingTasks is the number of runners with a serving task, which mostly tolerates nothing beside it. Best-effort tasks get the other ones.
	servingTasks = 8
	// lullTime is how long each serving task in turn has a lull, in which best-effort tasks that are paused beside it can go on.
	lullTime = 1500 * time.Millisecond
	// servingTarget is the latency target of serving tasks in milliseconds, and lullLatency their latency in a lull.
	servingTarget, lullLatency = 50, 10
	// overloadFactor is the rate at which best-effort work arrives, as a multiple of the rate at which the runners can do it.
	overloadFactor = 1.5
)

// measure returns the latency that a serving task reports: just its target, and less in a lull.
func (s *soak) measure(task workload.TaskID) (float64, bool) {
	if s.job(task.Job).Steps[task.Step].TargetMs == 0 {
		return 0, false
	}
	if turn := int(time.Since(s.began)/lullTime) % servingTasks; turn == task.Index && !s.plan.noLulls {
		return lullLatency, true
	}
	return servingTarget, true
}

// newOverload creates the nth job of an overload: first one with serving tasks on different runners, then jobs of two to four best-effort steps, of
// which some depend on the one before.
func newOverload(rng *rand.Rand, n int) submittedJob {
	job := submittedJob{Spec: "x"}
	if n == 0 {
		serving := newStep(servingTasks)
		serving.LongRunning, serving.AntiAffinity, serving.Image, serving.TargetMs = true, 1, "serve", servingTarget
		job.Steps = []step{serving}
		return job
	}
	for i := range 2 + rng.IntN(3) {
		filler := newStep(1 + rng.IntN(3))
		filler.BestEffort, filler.Image, filler.CPU = true, "fill", 3000+1000*rng.IntN(12)
		if i > 0 && rng.IntN(2) == 0 {
			filler.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, filler)
	}
	return job
}

// overloadInterval returns the time until the next job arrives.
func (j *clientJob) overloadInterval() time.Duration {
	work := 0
	for _, step := range j.Steps {
		work += step.Count * step.CPU * step.EstimatedMs
	}
	rate := overloadFactor * (runnerCount - servingTasks) * overloadRunnerCPU
	return time.Duration(float64(work) / rate * float64(time.Millisecond))
}

// reportIdle reports accepted jobs that have been idle for too long after the end of the traffic, until ctx ends.
func (s *soak) reportIdle(ctx context.Context) {
	ended := time.Now()
	busyAt, ranAt := ended, map[string]time.Time{}
	for wait.For(ctx, watchInterval) {
		now := time.Now()
		running, busy := s.usage()
		if busy {
			busyAt = now
		}
		for _, job := range s.jobs {
			if ranAt[job.id].IsZero() || running[job.id] || !s.waits(job) {
				ranAt[job.id] = now
			}
			if now.Sub(ended) >= finishTime && now.Sub(busyAt) >= idleTime && now.Sub(ranAt[job.id]) >= idleTime {
				s.violate("accepted job %s has nothing running for %v, %v after the end of the traffic, with half of the capacity unused",
					job.id, idleTime, finishTime)
			}
		}
	}
}

// usage returns which jobs have something running, and whether more than half of the capacity of the live runners is used.
func (s *soak) usage() (running map[string]bool, busy bool) {
	running = map[string]bool{}
	used, capacity := 0, 0
	for task, runners := range s.platform.fleet.Runs() {
		running[task.Job] = true
		used += len(runners) * s.job(task.Job).Steps[task.Step].CPU * s.platform.fleet.Speed(task) / 100
	}
	for _, info := range s.platform.infos {
		if _, alive := s.platform.fleet.Info(info.ID); alive {
			capacity += int(info.Capacity.CPU)
		}
	}
	return running, 2*used > capacity
}

// waits reports whether an accepted job has a task that is not done.
func (s *soak) waits(job *clientJob) bool {
	if !job.accepted.Load() || job.longRunning() {
		return false
	}
	for step := range job.Steps {
		for index := range job.Steps[step].Count {
			if s.platform.fleet.Done(workload.TaskID{Job: job.id, Step: step, Index: index}) == 0 {
				return true
			}
		}
	}
	return false
}
