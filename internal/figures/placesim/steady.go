package placesim

import (
	"fmt"
	"math"
	"time"

	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/sched"
)

// SteadyResult is the outcome of Steady.
type SteadyResult struct {
	// Actions counts throttles, unthrottles and evictions; LateActions counts those in the second half.
	Actions, LateActions int
	// LateMin and LateMax are the smallest and largest slow-down of the service in the second half.
	LateMin, LateMax float64
	// Slowdown is the slow-down of the service at the end; BatchCPUPercent is the mean share of processor time that the
	// batch tasks may use at the end.
	Slowdown, BatchCPUPercent float64
}

// Steady simulates one service under constant load whose 20 co-located batch tasks slow it down to about 1.5. A stable
// controller needs a few actions; one that reacts to delayed reports of its earlier actions keeps acting.
func Steady(cfg sched.Config, noise float64, seed uint64) SteadyResult {
	const length = time.Hour
	sim := New(cfg, seed)
	sim.Delays.Step = time.Second
	sim.Usage, sim.Noise, sim.Outliers = true, noise, noise/8
	sim.AddWorkers(1)
	sim.Kinds["kioscos"] = &Behaviour{Slowdown: map[string]float64{"ranking": 0.8}}
	for i := range 20 {
		sim.Enqueue(batchTask(fmt.Sprintf("r%d/0", i), "ranking", 2000, job.PriorityBatch))
	}
	sim.Run(2 * time.Second)
	t := batchTask("svc/0", "kioscos", 8000, job.PriorityUrgent)
	t.Spec.Class, t.Spec.Service = job.ClassService, "kioscos"
	sim.Enqueue(t)
	var res SteadyResult
	sim.OnPlan = func(p sched.Plan) {
		res.Actions += len(p.Preemptions)
		if sim.Now.Sub(Epoch) > length/2 {
			res.LateActions += len(p.Preemptions)
		}
	}
	sim.OnEnd = sim.Requeue
	res.LateMin = math.Inf(1)
	sim.OnSample = func(_ *Attempt, slowdown float64) {
		res.Slowdown = slowdown
		if sim.Now.Sub(Epoch) > length/2 {
			res.LateMin, res.LateMax = min(res.LateMin, slowdown), max(res.LateMax, slowdown)
		}
	}
	sim.Run(length)
	n := 0
	for _, a := range sim.Attempts() {
		if a.Task.Spec.Class != job.ClassService {
			percent := a.CPUPercent
			if percent == 0 {
				percent = 100
			}
			res.BatchCPUPercent += float64(percent)
			n++
		}
	}
	res.BatchCPUPercent /= float64(max(n, 1))
	return res
}
