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
	// Actions counts throttles, raises and evictions; LateActions those in the second half.
	Actions, LateActions int
	// LateMin and LateMax are the service's smallest and largest slow-down in the second half.
	LateMin, LateMax float64
	// Slowdown is the service's at the end, and Percent the mean processor time left to the batch tasks.
	Slowdown, Percent float64
}

// Steady replays one service whose 20 batch neighbours slow it down to about 1.5, under constant load. A controller that
// settles needs a few actions; one that reacts to its own lag goes on acting.
func Steady(cfg sched.Config, noise float64, seed uint64) SteadyResult {
	const length = time.Hour
	w := New(cfg, seed)
	w.Delays.Step = time.Second
	w.Usage, w.Noise, w.Outliers = true, noise, noise/8
	w.AddWorkers(1)
	w.Kinds["kioscos"] = &Behaviour{Slowdown: map[string]float64{"ranking": 0.8}}
	for i := range 20 {
		w.Enqueue(batch(fmt.Sprintf("r%d/0", i), "ranking", 2000, job.PriorityBatch))
	}
	w.Run(2 * time.Second)
	t := batch("svc/0", "kioscos", 8000, job.PriorityUrgent)
	t.Spec.Class, t.Spec.Service = job.ClassService, "kioscos"
	w.Enqueue(t)
	var res SteadyResult
	w.OnPlan = func(p sched.Plan) {
		res.Actions += len(p.Preemptions)
		if w.Now.Sub(Epoch) > length/2 {
			res.LateActions += len(p.Preemptions)
		}
	}
	w.OnEnd = w.Requeue
	res.LateMin = math.Inf(1)
	w.Sample = func(_ *Attempt, slowdown float64) {
		res.Slowdown = slowdown
		if w.Now.Sub(Epoch) > length/2 {
			res.LateMin, res.LateMax = min(res.LateMin, slowdown), max(res.LateMax, slowdown)
		}
	}
	w.Run(length)
	n := 0
	for _, a := range w.Attempts() {
		if a.Task.Spec.Class != job.ClassService {
			percent := a.Percent
			if percent == 0 {
				percent = 100
			}
			res.Percent += float64(percent)
			n++
		}
	}
	res.Percent /= float64(max(n, 1))
	return res
}
