package placesim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/sched"
)

// TailTarget is the upper limit of the 99th percentile of the services' slow-down in the comparison.
const TailTarget = 1.3

// HeadroomResult is the outcome of one policy in the comparison of learned interference with static headroom.
type HeadroomResult struct {
	// P99 is the 99th percentile of the services' slow-down over replicas and seconds, including the learning phase.
	P99 float64
	// Work is the useful batch work in core hours; ByKind breaks it down by kind.
	Work   float64
	ByKind map[string]float64
	// Throttles, Unthrottles and Evictions count actions; Reversals counts throttles of tasks that had been unthrottled
	// before.
	Throttles, Unthrottles, Evictions, Reversals int
}

const (
	headroomWorkers      = 12
	headroomServices     = 8
	headroomTasksPerKind = 90
)

// excessSlowdown is the excess slow-down that a worker full of one kind of batch work causes to each of the two services,
// in the order in which addServices lists them.
var excessSlowdown = map[string][2]float64{
	"settlement": {0.05, 0.02}, "reconcile": {0.1, 0.9}, "deposits": {0.02, 0.05},
	"reports": {1.2, 0.1}, "archive": {0.3, 0.3}, "ranking": {1.6, 1.4},
}

// Headroom simulates services and a constant number of batch tasks of six kinds on 12 workers, 8 of which run services.
// Each batch task that completes is replaced by a new one of the same kind.
func Headroom(cfg sched.Config, usage bool, seed uint64, length time.Duration) HeadroomResult {
	sim := New(cfg, seed)
	sim.Delays.Step = time.Second
	sim.Usage, sim.Noise, sim.Outliers = usage, 0.15, 0.02
	sim.Load = func(t time.Duration) float64 { return 1 + 0.2*math.Sin(2*math.Pi*t.Minutes()/30) }
	sim.AddWorkers(headroomServices)
	addServices(sim)
	sim.AddWorkers(headroomWorkers - headroomServices)
	res := HeadroomResult{ByKind: map[string]float64{}}
	var slow []float64
	sim.OnSample = func(_ *Attempt, s float64) { slow = append(slow, s) }
	sim.OnPlan = res.countActions(map[job.TaskID]bool{})
	submitted := 0
	submit := func(kind string) {
		submitted++
		sim.Enqueue(batchTask(fmt.Sprintf("j%d/0", submitted), kind, 2000, job.PriorityBatch))
	}
	sim.OnEnd = func(a *Attempt, end sched.End) {
		if end == sched.EndCompleted {
			submit(a.Task.Spec.Kind)
			return
		}
		sim.Requeue(a, end)
	}
	for range headroomTasksPerKind {
		for _, kind := range batchKinds() {
			submit(kind)
		}
	}
	sim.Run(length)
	slices.Sort(slow)
	res.P99 = slow[len(slow)*99/100]
	for kind, work := range sim.Useful {
		res.ByKind[kind] = work / 1000 / time.Hour.Seconds()
		res.Work += res.ByKind[kind]
	}
	return res
}

func (r *HeadroomResult) countActions(unthrottled map[job.TaskID]bool) func(sched.Plan) {
	return func(p sched.Plan) {
		for _, v := range p.Preemptions {
			switch v.Action {
			case sched.ActionThrottle:
				r.Throttles++
				if unthrottled[v.Task] {
					r.Reversals++
				}
				unthrottled[v.Task] = false
			case sched.ActionUnthrottle:
				r.Unthrottles++
				unthrottled[v.Task] = true
			case sched.ActionEvict:
				r.Evictions++
			}
		}
	}
}

// LearnedConfig returns the scheduler configuration of the learned policy. Its target is below TailTarget, because the 99th
// percentile includes changes of load.
func LearnedConfig() sched.Config {
	cfg := sched.DefaultConfig()
	cfg.SlowdownTarget = 1.25
	return cfg
}

// StaticConfig returns the scheduler configuration of the static headroom policy.
func StaticConfig(headroom float64) sched.Config {
	cfg := sched.DefaultConfig()
	cfg.DisableInterference, cfg.StaticHeadroom = true, headroom
	return cfg
}

// BestStatic tries static headrooms from 25% on in steps of 5%. It returns the smallest one that keeps the 99th percentile
// within TailTarget, and its result.
func BestStatic(seed uint64, length time.Duration) (headroom float64, res HeadroomResult) {
	const step = 0.05
	for headroom = 0.25; headroom < 1; headroom += step {
		if res = Headroom(StaticConfig(headroom), false, seed, length); res.P99 <= TailTarget {
			break
		}
	}
	return headroom, res
}

func batchKinds() []string {
	kinds := make([]string, 0, len(excessSlowdown))
	for kind := range excessSlowdown {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// addServices starts 8 replicas of each of two services before any batch work is queued.
func addServices(sim *Simulation) {
	services := []string{"kioscos", "belownia"}
	for i, service := range services {
		b := &Behaviour{Slowdown: map[string]float64{}}
		for kind, h := range excessSlowdown {
			b.Slowdown[kind] = h[i]
		}
		sim.Kinds[service] = b
	}
	for kind := range excessSlowdown {
		sim.Kinds[kind] = &Behaviour{Work: 4 * time.Minute}
	}
	for i, service := range services {
		for j := range headroomServices {
			t := batchTask(fmt.Sprintf("svc%d/%d", i, j), service, 8000, job.PriorityService)
			t.Spec.Class, t.Spec.Service = job.ClassService, service
			sim.Enqueue(t)
		}
	}
	sim.Run(5 * time.Second)
}
