package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// failureGain is the weight of one run in a runner's average failure rate.
	failureGain = 0.25
	// suspectRate is the failure rate from which a runner is suspected; about two consecutive failures reach it. Tasks
	// fail for reasons of their own in 2 to 5% of their runs, so two in a row by chance are about one in a thousand.
	suspectRate = 0.4
	// suspectPause is how long a suspected runner is used only if no other is available. It doubles with each suspicion
	// that follows without a successful run.
	suspectPause = 8 * time.Second
	// maxPauseDoublings bounds how often suspectPause is doubled.
	maxPauseDoublings = 2
	// slowdownGain is the weight of one run's duration relative to its estimate in the learned slowdown.
	slowdownGain = 0.15
	// stallTimeout is how long a task at full speed may report no progress. Reports arrive at least every two seconds,
	// and a task of 16 s on a runner that is six times slower still reports one percent per second.
	stallTimeout = 2500 * time.Millisecond
	// maxStalls bounds how often a task is stopped for no progress. A task that takes far longer than estimated appears
	// stalled on every runner.
	maxStalls = 2
)

// health tracks the failures and the speed of a runner from its runs.
type health struct {
	failures     float64 // moving average of failed runs, 0 to 1
	suspicions   int     // consecutive, without a successful run
	suspectUntil time.Time
	// ratio is the moving average of run time over expected run time; 0 until the first run.
	ratio float64
}

func (h *health) succeeded(now time.Time, r *run) {
	h.failures -= failureGain * h.failures
	h.suspicions = 0
	expected := r.predicted.Typical
	if expected <= 0 {
		expected = r.unit.def().Estimated
	}
	if expected <= 0 || r.unit.run > 1 || r.unit.def().BestEffort {
		return
	}
	ratio := float64(now.Sub(r.startedAt)) / float64(expected)
	if h.ratio == 0 {
		h.ratio = 1
	}
	h.ratio += slowdownGain * (ratio - h.ratio)
}

// failed counts a failed run. It ignores tasks that failed before and jobs whose tasks fail on several runners,
// because the task or job is then the more likely cause.
func (h *health) failed(now time.Time, r *run) {
	if r.unit.fails > 0 || r.unit.job.recordFailedRunner(r.runner.info.ID) {
		return
	}
	h.failures += failureGain * (1 - h.failures)
	if h.failures >= suspectRate {
		h.suspectFrom(now)
	}
}

func (h *health) suspectFrom(now time.Time) {
	if h.suspect(now) {
		return
	}
	h.suspectUntil = now.Add(suspectPause << min(h.suspicions, maxPauseDoublings))
	h.suspicions++
}

func (h *health) suspect(now time.Time) bool { return now.Before(h.suspectUntil) }

// slowdown returns the factor by which runs on this runner take longer than expected, at least 1.
func (h *health) slowdown() float64 { return max(h.ratio, 1) }

// suspectJobRunners is the number of other runners on which tasks of a job must have failed before for the job to count
// as the cause.
const suspectJobRunners = 2

// recordFailedRunner records that a task of the job failed on a runner. It reports whether tasks have failed on at
// least suspectJobRunners other runners before.
func (j *jobState) recordFailedRunner(runnerID string) bool {
	others := len(j.failedOn)
	if j.failedOn[runnerID] {
		others--
	}
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[runnerID] = true
	return others >= suspectJobRunners
}

// recordProgress records the progress that a runner reports for a run. It stops a stalled run so that the task starts
// again on another runner. The caller holds mu.
func (c *Cell) recordProgress(now time.Time, r *run, percent int) {
	if percent != r.percent || r.progressAt.IsZero() || r.mayBeSlowed(now) {
		r.progressAt = now
		return
	}
	u := r.unit
	if u.def().LongRunning || u.def().Gang || r.phase != runRunning || u.stalls >= maxStalls || now.Sub(r.progressAt) < stallTimeout {
		return
	}
	u.stalls++
	c.cfg.Metrics.stalls.Inc()
	u.avoid = r.runner.info.ID
	r.runner.health.suspectFrom(now)
	c.cfg.Log.WithFields(logrus.Fields{"request": u.job.def.ID, "task": r.id().String(), "run": r.number, "runner": r.runner.info.ID,
		"percent": percent, "still_ms": now.Sub(r.progressAt).Milliseconds()}).Warn("task makes no progress")
	c.stopRun(r, "no progress")
}
