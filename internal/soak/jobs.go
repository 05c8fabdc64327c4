package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/workload"
)

// step is a step as a client submits it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"mem_mb"`
	EstimatedMs  int    `json:"estimated_ms"`
	After        []int  `json:"after,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	BestEffort   bool   `json:"fills,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMs     int    `json:"target_ms,omitempty"`
}

// submittedJob is a job as a client submits it.
type submittedJob struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeat_count,omitempty"`
	StartAtMs   int64  `json:"start_at_ms,omitempty"`
	IntervalMs  int64  `json:"interval_ms,omitempty"`
}

// clientJob is a job and its state as observed by its client.
type clientJob struct {
	id   string
	kind string
	submittedJob
	// cancelAfter is when the client cancels the job, counted from its acceptance; 0 for most jobs.
	cancelAfter time.Duration

	accepted atomic.Bool
	refused  atomic.Bool // every attempt was refused
	// cancelSent is set before the first attempt to cancel the job, and cancelled once one was acknowledged.
	cancelSent, cancelled atomic.Bool

	// The fields below are used by queries, of which only one is made at a time.
	state string
	// completedAt is when the job was first reported as completed.
	completedAt time.Time
}

// longRunning reports whether the job never ends by itself.
func (j *clientJob) longRunning() bool { return j.Steps[0].LongRunning }

// ended reports whether the job needs nothing more, by its last state.
func (j *clientJob) ended() bool {
	return j.state == string(workload.StateCompleted) || j.cancelSent.Load() && j.state == string(workload.StateCancelled)
}

const (
	// taskCPU is in thousandths of a core, and taskMemory in MB.
	taskCPU    = 4000
	taskMemory = 1000
	// estimate is the mean run time of a task in milliseconds.
	estimate = 700
	// cancelledShare is the share of jobs that are cancelled.
	cancelledShare = 0.12
	// maxCancelDelay is the longest time after its acceptance at which a job is cancelled.
	maxCancelDelay = 3 * time.Second
)

func newStep(count int, after ...int) step {
	return step{Count: count, CPU: taskCPU, MemMB: taskMemory, EstimatedMs: estimate, After: after}
}

// jobKinds creates jobs by kind. More frequent kinds are listed more than once.
var jobKinds = []struct {
	name   string
	create func(rng *rand.Rand) submittedJob
}{
	{"chain", newChain}, {"chain", newChain}, {"chain", newChain},
	{"diamond", func(rng *rand.Rand) submittedJob {
		return submittedJob{Steps: []step{newStep(1), newStep(1+rng.IntN(4), 0), newStep(1+rng.IntN(4), 0), newStep(1, 1, 2)}}
	}},
	{"gang", func(rng *rand.Rand) submittedJob {
		gang := newStep(2+rng.IntN(3), 0)
		gang.Gang = true
		return submittedJob{Steps: []step{newStep(1), gang, newStep(1, 1)}}
	}},
	{"spread", func(rng *rand.Rand) submittedJob {
		spread := newStep(3 + rng.IntN(5))
		spread.AntiAffinity = 1 + rng.IntN(2)
		return submittedJob{Steps: []step{spread, newStep(1, 0)}}
	}},
	{"label", func(rng *rand.Rand) submittedJob {
		labelled := newStep(1+rng.IntN(4), 0)
		labelled.Requirements = rackLabel(rng.IntN(2) * runnersPerRack)
		return submittedJob{Steps: []step{newStep(1), labelled, newStep(1, 1)}}
	}},
	{"long-running", newLongRunning}, {"long-running", newLongRunning},
	{"best-effort", func(rng *rand.Rand) submittedJob {
		filler := newStep(1 + rng.IntN(3))
		filler.BestEffort = true
		return submittedJob{Steps: []step{filler, newStep(1, 0)}}
	}},
	{"scheduled", func(rng *rand.Rand) submittedJob {
		return submittedJob{Steps: []step{newStep(2), newStep(1, 0)}, RepeatCount: 1 + rng.IntN(3),
			StartAtMs: time.Now().Add(time.Second).UnixMilli(), IntervalMs: 700}
	}},
}

func newChain(rng *rand.Rand) submittedJob {
	job := submittedJob{Steps: []step{newStep(2 + rng.IntN(5))}}
	for before := range 1 + rng.IntN(3) {
		job.Steps = append(job.Steps, newStep(1+rng.IntN(2), before))
	}
	return job
}

func newLongRunning(rng *rand.Rand) submittedJob {
	lasting := newStep(1 + rng.IntN(3))
	lasting.LongRunning = true
	return submittedJob{Steps: []step{lasting}}
}

// newJob creates the nth job of a seed, of a kind that the plan plays.
func newJob(rng *rand.Rand, seed uint64, n int, p plan) *clientJob {
	if p.overload {
		return &clientJob{id: jobID(seed, n), kind: "overload", submittedJob: newOverload(rng, n)}
	}
	kind := jobKinds[rng.IntN(len(jobKinds))]
	for slices.Contains(p.without, kind.name) {
		kind = jobKinds[rng.IntN(len(jobKinds))]
	}
	job := &clientJob{id: jobID(seed, n), kind: kind.name, submittedJob: kind.create(rng)}
	job.Spec = "x"
	if rng.Float64() < cancelledShare {
		job.cancelAfter = time.Duration(1 + rng.Int64N(int64(maxCancelDelay)))
	}
	return job
}

func jobID(seed uint64, n int) string { return fmt.Sprintf("%08x%08x", uint32(seed), n) }

// work returns a duration of 0.2 to 1.2 s, or one longer than any soak for long-running tasks, and makes the first run of a few
// tasks fail. The result depends only on the arguments.
func (s *soak) work(task workload.TaskID, run int) (time.Duration, bool) {
	if s.job(task.Job).Steps[task.Step].LongRunning {
		return emulator.Endless, false
	}
	h := uint64(14695981039346656037)
	for _, b := range []byte(task.String()) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return 200*time.Millisecond + time.Duration(h%1000)*time.Millisecond, run == 1 && h%50 == 0
}

// gangSize returns the number of members of a task's gang, or 0 if the task is not part of a gang.
func (s *soak) gangSize(task workload.TaskID) int {
	def := s.job(task.Job).Steps[task.Step]
	if !def.Gang {
		return 0
	}
	return def.Count
}
