package dispatch

import "time"

const (
	// suspectFailures is the number of failed runs in a row after which a runner is suspected; a task fails by its own
	// fault in 2 to 5% of its runs, so three in a row by chance are rare.
	suspectFailures = 3
	// suspectPause is how long a suspected runner is used only if no other is free.
	suspectPause = 8 * time.Second
	// slowdownGain weighs a run's duration against its estimate in the learned slowdown.
	slowdownGain = 0.15
)

// health is what the runs on a runner show about it.
type health struct {
	failuresInRow int
	suspectUntil  time.Time
	// ratio is the moving average of run time over estimate; 0 until the first run.
	ratio float64
}

func (h *health) succeeded(now time.Time, r *run) {
	h.failuresInRow = 0
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

func (h *health) failed(now time.Time, _ *run) {
	h.failuresInRow++
	if h.failuresInRow >= suspectFailures {
		h.suspectUntil = now.Add(suspectPause)
	}
}

func (h *health) suspect(now time.Time) bool { return now.Before(h.suspectUntil) }

// slowdown returns the factor by which runs here take longer than estimated, at least 1.
func (h *health) slowdown() float64 { return max(h.ratio, 1) }
