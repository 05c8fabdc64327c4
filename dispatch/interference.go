package dispatch

import (
	"sort"
	"time"

	"github.com/currantthread/currantthread/interference"
)

const (
	// fullSpeed is the speed of a task without a limit, in percent.
	fullSpeed = 100
	// speedStep is the granularity of commanded speeds, in percent. It avoids commands for small changes.
	speedStep = 20
	// raiseMargin is the spare pressure required before the speed of a task is raised, so that commands don't follow
	// each fluctuation of the load.
	raiseMargin = 0.05
	// pausedTimeout is how long a best-effort task stays paused before it is moved to another runner.
	pausedTimeout = 200 * time.Millisecond
	// maxMovableProgress is the progress in percent from which a task without checkpoints is no longer stopped to be
	// moved.
	maxMovableProgress = 40
	// minHeadroom keeps quotients finite for serving tasks without headroom.
	minHeadroom = 0.01
	// overTargetGrace is how long a serving task may exceed its latency target before all best-effort tasks on the
	// runner are paused, whatever the model predicts. The users tolerate 4 s.
	overTargetGrace = 400 * time.Millisecond
)

// usedShares returns the processor time that best-effort tasks recently used on the runner, by image.
func (rs *runnerState) usedShares() []interference.Share {
	used := map[string]float64{}
	for r := range rs.runs {
		if r.unit.def().BestEffort && r.hasMeasurement {
			used[r.unit.def().Image] += r.measurement / float64(max(rs.info.Capacity.CPU, 1))
		}
	}
	shares := make([]interference.Share, 0, len(used))
	for image, u := range used {
		shares = append(shares, interference.Share{Image: image, Used: u})
	}
	return shares
}

// grantedShares returns the processor time that each best-effort task on the runner may use at its commanded speed.
func (rs *runnerState) grantedShares() []interference.Share {
	var shares []interference.Share
	for r := range rs.runs {
		if def := r.unit.def(); def.BestEffort {
			share := float64(def.Resources.CPU) * float64(r.speed) / fullSpeed / float64(max(rs.info.Capacity.CPU, 1))
			shares = append(shares, interference.Share{Image: def.Image, Used: share})
		}
	}
	return shares
}

// toleratedPressure returns the pressure that a serving task tolerates now. It does not predict the load beyond now,
// because speeds are set again with each report. The caller holds mu.
func (c *Cell) toleratedPressure(now time.Time, r *run) float64 {
	def := r.unit.def()
	limit := c.pressure.Limit(def.Image, float64(def.LatencyTarget.Milliseconds()))
	return limit - r.unit.stepState().load.At(now)
}

// headroom returns the pressure that a serving task tolerates beyond that of its co-located tasks. The caller holds mu.
func (c *Cell) headroom(now time.Time, r *run) float64 {
	return c.toleratedPressure(now, r) - c.pressure.Sum(r.unit.def().Image, r.runner.grantedShares())
}

// controlInterference updates the pressure model from a runner's report and sets the speeds of best-effort tasks. The
// caller holds mu.
func (c *Cell) controlInterference(now time.Time, rs *runnerState) {
	var serving, bestEffort []*run
	for r := range rs.runs {
		switch def := r.unit.def(); {
		case def.LatencyTarget > 0:
			serving = append(serving, r)
		case def.BestEffort && r.phase == runRunning:
			bestEffort = append(bestEffort, r)
		}
	}
	if len(serving) == 0 {
		for _, r := range bestEffort {
			c.setSpeed(now, r, fullSpeed)
		}
		return
	}
	shares := rs.usedShares()
	for _, r := range serving {
		if r.hasMeasurement && r.percent == 100 {
			c.pressure.Observe(now, r.unit.def().Image, r.measurement, shares, &r.unit.stepState().load)
		}
	}
	over := updateOverTarget(now, serving)
	if len(bestEffort) > 0 {
		c.assignSpeeds(now, rs, serving, bestEffort, over)
	}
}

// assignSpeeds sets the speeds of best-effort tasks to what the serving tasks of the runner tolerate. The tasks that
// disturb least come first. All are paused if a serving task has exceeded its target for overTargetGrace.
func (c *Cell) assignSpeeds(now time.Time, rs *runnerState, serving, bestEffort []*run, over bool) {
	tolerated := make([]float64, len(serving))
	for i, r := range serving {
		tolerated[i] = c.toleratedPressure(now, r)
	}
	if over {
		for _, r := range bestEffort {
			c.setSpeed(now, r, 0)
		}
		return
	}
	worst := make(map[string]float64, len(bestEffort))
	for _, r := range bestEffort {
		image := r.unit.def().Image
		for i, s := range serving {
			p := c.pressure.Coefficient(interference.Pair{Serving: s.unit.def().Image, BestEffort: image})
			worst[image] = max(worst[image], p/max(tolerated[i], minHeadroom))
		}
	}
	sort.Slice(bestEffort, func(a, b int) bool {
		x, y := bestEffort[a], bestEffort[b]
		if wx, wy := worst[x.unit.def().Image], worst[y.unit.def().Image]; wx != wy {
			return wx < wy
		}
		if lx, ly := x.unit.latestStart(), y.unit.latestStart(); !lx.Equal(ly) {
			return lx.Before(ly)
		}
		return x.id().String() < y.id().String()
	})
	for _, r := range bestEffort {
		def := r.unit.def()
		share := float64(def.Resources.CPU) / float64(max(rs.info.Capacity.CPU, 1))
		allowed := 1.0
		margin := 0.0
		if r.speed < fullSpeed {
			margin = raiseMargin
		}
		for i, s := range serving {
			if p := share * c.pressure.Coefficient(interference.Pair{Serving: s.unit.def().Image, BestEffort: def.Image}); p > 0 {
				allowed = min(allowed, max(tolerated[i]-margin, 0)/p)
			}
		}
		speed := int(allowed*fullSpeed) / speedStep * speedStep
		c.setSpeed(now, r, speed)
		for i, s := range serving {
			p := share * c.pressure.Coefficient(interference.Pair{Serving: s.unit.def().Image, BestEffort: def.Image})
			tolerated[i] -= p * float64(speed) / fullSpeed
		}
	}
}

// updateOverTarget records which serving tasks exceed their latency targets and reports whether one has done so for
// longer than overTargetGrace. The caller holds the cell's mu.
func updateOverTarget(now time.Time, serving []*run) bool {
	over := false
	for _, r := range serving {
		switch {
		case !r.hasMeasurement || r.measurement <= float64(r.unit.def().LatencyTarget.Milliseconds()):
			r.overTargetSince = time.Time{}
		case r.overTargetSince.IsZero():
			r.overTargetSince = now
		case now.Sub(r.overTargetSince) > overTargetGrace:
			over = true
		}
	}
	return over
}

// movePaused stops best-effort tasks that have been paused for pausedTimeout, so that they start again on another
// runner. The caller holds mu.
func (c *Cell) movePaused(now time.Time, rs *runnerState) {
	for r := range rs.runs {
		if r.pausedSince.IsZero() || now.Sub(r.pausedSince) < pausedTimeout {
			continue
		}
		if r.unit.def().Checkpointing || r.percent < maxMovableProgress {
			c.stopRun(r, "paused beside a serving task")
		}
	}
}
