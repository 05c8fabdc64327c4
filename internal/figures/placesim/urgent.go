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
	// Evictions counts evictions; Queued counts urgent tasks that never started.
	Evictions, Queued int
}

// UrgentStarts fills 70 workers with batch work and queues urgent tasks at random moments within a minute.
func UrgentStarts(seed uint64, urgent int) UrgentResult {
	w := New(sched.DefaultConfig(), seed)
	w.AddWorkers(70)
	w.Kinds["settlement"] = &Behaviour{}
	for i := range 70 * 40 {
		w.Enqueue(batchTask(fmt.Sprintf("fill%d/%d", i/1000, i%1000), "settlement", 2000, job.PriorityBatch))
	}
	const warmUp = 30 * time.Second
	w.Run(warmUp)
	var res UrgentResult
	w.OnStart = func(a *Attempt) {
		if a.Task.Spec.Priority == job.PriorityUrgent {
			res.Waits = append(res.Waits, a.Started.Sub(a.Queued))
		}
	}
	w.OnEnd = func(a *Attempt, end sched.End) {
		if end == sched.EndStopped {
			res.Evictions++
			w.Requeue(a, end)
		}
	}
	for i := range urgent {
		at := time.Duration(w.rng.Int64N(int64(time.Minute)))
		size := 1000 + 1000*w.rng.Int64N(8)
		w.after(at, func() { w.Enqueue(batchTask(fmt.Sprintf("urgent/%d", i), "", size, job.PriorityUrgent)) })
	}
	w.Run(warmUp + time.Minute + 10*time.Second)
	slices.Sort(res.Waits)
	res.Queued = urgent - len(res.Waits)
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
