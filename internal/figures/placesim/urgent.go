package placesim

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/sched"
)

// UrgentResult is the outcome of UrgentStarts.
type UrgentResult struct {
	// Waits holds the sorted times from queueing to running of the urgent tasks.
	Waits []time.Duration
	// Evictions counts evictions; NeverStarted counts urgent tasks that never started.
	Evictions, NeverStarted int
}

// UrgentStarts fills 70 workers with batch work and queues urgent tasks at random moments within a minute.
func UrgentStarts(seed uint64, urgent int) UrgentResult {
	sim := New(sched.DefaultConfig(), seed)
	sim.AddWorkers(70)
	sim.Kinds["settlement"] = &Behaviour{}
	for i := range 70 * 40 {
		sim.Enqueue(batchTask(fmt.Sprintf("fill%d/%d", i/1000, i%1000), "settlement", 2000, job.PriorityBatch))
	}
	const warmUp = 30 * time.Second
	sim.Run(warmUp)
	var res UrgentResult
	sim.OnStart = func(a *Attempt) {
		if a.Task.Spec.Priority == job.PriorityUrgent {
			res.Waits = append(res.Waits, a.Started.Sub(a.Queued))
		}
	}
	sim.OnEnd = func(a *Attempt, end sched.End) {
		if end == sched.EndStopped {
			res.Evictions++
			sim.Requeue(a, end)
		}
	}
	for i := range urgent {
		at := time.Duration(sim.rng.Int64N(int64(time.Minute)))
		size := 1000 + 1000*sim.rng.Int64N(8)
		sim.after(at, func() { sim.Enqueue(batchTask(fmt.Sprintf("urgent/%d", i), "", size, job.PriorityUrgent)) })
	}
	sim.Run(warmUp + time.Minute + 10*time.Second)
	slices.Sort(res.Waits)
	res.NeverStarted = urgent - len(res.Waits)
	return res
}

func batchTask(id, kind string, cpuMilli int64, priority job.Priority) job.Task {
	return job.Task{
		ID: job.TaskID(id), Team: "payments", Attempt: 1,
		Spec: job.TaskSpec{
			Class: job.ClassBatch, Priority: priority, Kind: kind,
			Resources: job.Resources{CPUMilli: cpuMilli, MemoryMiB: 2000},
		},
	}
}
