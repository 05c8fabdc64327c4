package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// failureGain weights one run in the average of failed runs on a runner.
	failureGain = 0.25
	// suspectRate is the average from which a runner is suspected: two failures in a row, or nearly. A task fails by its
	// own fault in 2 to 5% of its runs, so two in a row by chance are one in a thousand.
	suspectRate = 0.4
	// suspectPause is how long a suspected runner is used only if no other is free, doubled with each suspicion that
	// follows without a run that was done.
	suspectPause = 8 * time.Second
	// maxPauseDoublings bounds how often suspectPause is doubled.
	maxPauseDoublings = 2
	// slowdownGain weights a run's duration against its estimate in the learned slowdown.
	slowdownGain = 0.15
	// stallPatience is how long a task at full speed may show no progress. Reports come every two seconds at least, and a
	// runner that is six times slower than others still shows a percent a second.
	stallPatience = 2500 * time.Millisecond
	// maxStalls bounds how often a task is stopped for want of progress: a task that is far longer than estimated shows
	// none anywhere.
	maxStalls = 2
)

// health is what the runs on a runner show about it.
type health struct {
	failures     float64 // moving average of failed runs, 0 to 1
	suspicions   int     // in a row, without a run that was done
	suspectUntil time.Time
	// ratio is the moving average of run time over estimate; 0 until the first run.
	ratio float64
}

func (h *health) succeeded(now time.Time, r *run) {
	h.failures -= failureGain * h.failures
	h.suspicions = 0
	estimate := r.unit.def().Estimated
	if estimate <= 0 || r.unit.run > 1 || r.unit.def().Fills {
		return
	}
	ratio := float64(now.Sub(r.startedAt)) / float64(estimate)
	if h.ratio == 0 {
		h.ratio = 1
	}
	h.ratio += slowdownGain * (ratio - h.ratio)
}

// failed counts a failed run. A task that failed on another runner before, or a job with tasks that fail on several
// runners, is as likely the cause, so it says nothing about this one.
func (h *health) failed(now time.Time, r *run) {
	if r.unit.fails > 0 || r.unit.job.noteFailedOn(r.host.info.ID) {
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

// slowdown returns the factor by which runs here take longer than estimated, at least 1.
func (h *health) slowdown() float64 { return max(h.ratio, 1) }

// suspectJobRunners is the number of runners on which tasks of a job must have failed, and none was done meanwhile, for
// the job to be taken as the cause.
const suspectJobRunners = 2

// noteFailedOn notes a runner on which a task of the job failed and reports whether others failed elsewhere before.
func (j *jobState) noteFailedOn(runnerID string) bool {
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

// noteProgress takes the progress that a runner reports of a run, and stops a run at a standstill so that it starts again
// on another runner. The caller holds mu.
func (c *Cell) noteProgress(now time.Time, r *run, percent int) {
	if percent != r.percent || r.progressAt.IsZero() || r.speed < fullSpeed {
		r.progressAt = now
		return
	}
	u := r.unit
	if u.def().LongRunning || u.def().Gang || r.phase != runRunning || u.stalls >= maxStalls || now.Sub(r.progressAt) < stallPatience {
		return
	}
	u.stalls++
	c.cfg.Metrics.stalls.Inc()
	u.avoid = r.host.info.ID
	r.host.health.suspectFrom(now)
	c.cfg.Log.WithFields(logrus.Fields{"request": u.job.def.ID, "task": r.id().String(), "run": r.number, "runner": r.host.info.ID,
		"percent": percent, "still_ms": now.Sub(r.progressAt).Milliseconds()}).Warn("task makes no progress")
	c.stopRun(r, "no progress")
}
