package dispatch

import (
	"strconv"
	"time"

	"github.com/currantthread/currantthread/lookahead"
	"github.com/currantthread/currantthread/workload"
)

// criticalPathAge is how old a job's critical path may be when further tasks of the job become ready.
const criticalPathAge = 1 * time.Second

// runTimeKey returns what the run times of a step are learned by: its image, or its queue and index if it has none.
func runTimeKey(job *workload.Job, step int) string {
	if image := job.Steps[step].Image; image != "" {
		return image
	}
	return job.Policy.Queue + "/" + strconv.Itoa(step)
}

// predictStep returns the expected run time of a task of a step. Long-running tasks have none but their estimate. The caller holds mu.
func (c *Cell) predictStep(job *workload.Job, step int) lookahead.Prediction {
	def := &job.Steps[step]
	if def.LongRunning {
		return lookahead.Estimated(def.Estimated)
	}
	return c.runTimes.Predict(runTimeKey(job, step), def.Estimated)
}

// learnRunTime learns the time of a run that is done. Adopted, repeated and slowed runs don't count: their time is not that of the task at full
// speed. The caller holds mu.
func (c *Cell) learnRunTime(now time.Time, r *run) {
	u := r.unit
	if u.def().LongRunning || u.run > 1 || !r.startSeen || r.mayBeSlowed(now) {
		return
	}
	took := now.Sub(r.startedAt)
	c.cfg.Metrics.observePrediction(r.predicted, took)
	c.runTimes.Observe(runTimeKey(u.job.def, u.step), u.def().Estimated, took)
}

// updateCriticalPath computes the critical path of a job from the learned run times. The caller holds mu.
func (c *Cell) updateCriticalPath(now time.Time, j *jobState) {
	if !j.pathUpdatedAt.IsZero() && now.Sub(j.pathUpdatedAt) < criticalPathAge {
		return
	}
	j.pathUpdatedAt = now
	j.criticalPath = j.def.CriticalPathOf(func(step int) time.Duration { return c.predictStep(j.def, step).Typical })
}

// lastInTime returns until when a unit that has not started counts as in time. That is the latest start, but not before that of the estimates: a job
// whose estimates are too low would otherwise be late from its submission on and wait behind all others.
func (u *unit) lastInTime() time.Time {
	return u.objective().Add(-min(u.job.criticalPath[u.step], u.job.estimatedPath[u.step]))
}

// prediction returns the expected run time of a short run. Until it has been learned it is the estimate.
func (r *run) prediction() lookahead.Prediction {
	if r.predicted.Typical > 0 {
		return r.predicted
	}
	return lookahead.Estimated(r.unit.def().Estimated)
}

// expectedEnd returns when a short run ends at its present speed, by the upper quantile of its expected run time and by its last reported
// progress.
func (r *run) expectedEnd(now time.Time) time.Time {
	if r.stop.wanted {
		return now
	}
	since := r.progressAt
	if since.IsZero() {
		since = r.startedAt
	}
	p := r.prediction()
	if r.startSeen && !r.mayBeSlowed(now) {
		p = p.AtPace(since.Sub(r.startedAt), r.percent)
	}
	left := p.Upper * time.Duration(100-max(r.percent, 0)) / 100 * fullSpeed / time.Duration(max(r.speed, speedStep))
	if end := since.Add(left); end.After(now) {
		return end
	}
	return now.Add(p.OverdueLeft(now.Sub(r.startedAt)))
}
