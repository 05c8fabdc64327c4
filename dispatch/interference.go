package dispatch

import (
	"context"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/interference"
)

const (
	// fullSpeed lets a task work without a limit, in percent.
	fullSpeed = 100
	// speedStep is the smallest change of speed that is worth an order, in percent.
	speedStep = 20
	// raiseMargin is the pressure that must be free beyond need before a task is made faster, so that the orders do not
	// follow each swing of the load.
	raiseMargin = 0.05
	// pausedPatience is how long a task that fills stays paused before it is moved to another runner.
	pausedPatience = 200 * time.Millisecond
	// keptProgress is the progress in percent from which a task without checkpoints is not stopped to be moved.
	keptProgress = 40
	// minRoom keeps quotients finite for serving tasks that bear nothing more.
	minRoom = 0.01
	// overPatience is how long a serving task may be over its target before everything that fills beside it stops,
	// whatever the model says. The users allow 4 s.
	overPatience = 400 * time.Millisecond
)

// shares returns the processor time that tasks that fill used on the runner lately, by image.
func (h *host) shares() []interference.Share {
	used := map[string]float64{}
	for r := range h.runs {
		if r.unit.def().Fills && r.hasFigure {
			used[r.unit.def().Image] += r.figure / float64(max(h.info.Capacity.CPU, 1))
		}
	}
	shares := make([]interference.Share, 0, len(used))
	for image, u := range used {
		shares = append(shares, interference.Share{Image: image, Used: u})
	}
	return shares
}

// granted returns the processor time that tasks that fill may use on the runner at their ordered speeds, by image.
func (h *host) granted() []interference.Share {
	var shares []interference.Share
	for r := range h.runs {
		if def := r.unit.def(); def.Fills {
			share := float64(def.Resources.CPU) * float64(r.speed) / fullSpeed / float64(max(h.info.Capacity.CPU, 1))
			shares = append(shares, interference.Share{Image: def.Image, Used: share})
		}
	}
	return shares
}

// bearable returns the pressure that a serving task bears now. Speeds are set again with each report, so how the load
// goes on is not taken into account. The caller holds mu.
func (c *Cell) bearable(now time.Time, r *run) float64 {
	def := r.unit.def()
	limit := c.pressure.Limit(def.Image, float64(def.LatencyTarget.Milliseconds()))
	return limit - r.unit.stepState().load.At(now)
}

// room returns the pressure that a serving task bears beyond that of the tasks beside it. The caller holds mu.
func (c *Cell) room(now time.Time, r *run) float64 {
	return c.bearable(now, r) - c.pressure.Sum(r.unit.def().Image, r.host.granted())
}

// judgeInterference learns from what a runner reports and sets the speeds of tasks that fill. The caller holds mu.
func (c *Cell) judgeInterference(now time.Time, h *host) {
	var serving, filling []*run
	for r := range h.runs {
		switch def := r.unit.def(); {
		case def.LatencyTarget > 0:
			serving = append(serving, r)
		case def.Fills && r.phase == runRunning:
			filling = append(filling, r)
		}
	}
	if len(serving) == 0 {
		for _, r := range filling {
			c.setSpeed(now, r, fullSpeed)
		}
		return
	}
	shares := h.shares()
	for _, r := range serving {
		if r.hasFigure && r.percent == 100 {
			c.pressure.Observe(now, r.unit.def().Image, r.figure, shares, &r.unit.stepState().load)
		}
	}
	over := overTarget(now, serving)
	if len(filling) > 0 {
		c.shareOut(now, h, serving, filling, over)
	}
}

// shareOut gives tasks that fill the speeds that the serving tasks of a runner bear, those that disturb least first, and
// none if a serving task has been over its target for long.
func (c *Cell) shareOut(now time.Time, h *host, serving, filling []*run, over bool) {
	room := make([]float64, len(serving))
	for i, r := range serving {
		room[i] = c.bearable(now, r)
	}
	if over {
		for _, r := range filling {
			c.setSpeed(now, r, 0)
		}
		return
	}
	worst := make(map[string]float64, len(filling))
	for _, r := range filling {
		image := r.unit.def().Image
		for i, s := range serving {
			p := c.pressure.Coefficient(interference.Pair{Serving: s.unit.def().Image, Filling: image})
			worst[image] = max(worst[image], p/max(room[i], minRoom))
		}
	}
	sort.Slice(filling, func(a, b int) bool {
		x, y := filling[a], filling[b]
		if wx, wy := worst[x.unit.def().Image], worst[y.unit.def().Image]; wx != wy {
			return wx < wy
		}
		if lx, ly := x.unit.latestStart(), y.unit.latestStart(); !lx.Equal(ly) {
			return lx.Before(ly)
		}
		return x.id().String() < y.id().String()
	})
	for _, r := range filling {
		def := r.unit.def()
		share := float64(def.Resources.CPU) / float64(max(h.info.Capacity.CPU, 1))
		allowed := 1.0
		margin := 0.0
		if r.speed < fullSpeed {
			margin = raiseMargin
		}
		for i, s := range serving {
			if p := share * c.pressure.Coefficient(interference.Pair{Serving: s.unit.def().Image, Filling: def.Image}); p > 0 {
				allowed = min(allowed, max(room[i]-margin, 0)/p)
			}
		}
		speed := int(allowed*fullSpeed) / speedStep * speedStep
		c.setSpeed(now, r, speed)
		for i, s := range serving {
			p := share * c.pressure.Coefficient(interference.Pair{Serving: s.unit.def().Image, Filling: def.Image})
			room[i] -= p * float64(speed) / fullSpeed
		}
	}
}

// overTarget notes which serving tasks are over their latency targets and reports whether one has been for long. The
// caller holds the cell's mu.
func overTarget(now time.Time, serving []*run) bool {
	over := false
	for _, r := range serving {
		switch {
		case !r.hasFigure || r.figure <= float64(r.unit.def().LatencyTarget.Milliseconds()):
			r.overSince = time.Time{}
		case r.overSince.IsZero():
			r.overSince = now
		case now.Sub(r.overSince) > overPatience:
			over = true
		}
	}
	return over
}

// movePaused stops tasks that fill and have been at a standstill, so that they start again elsewhere. The caller holds mu.
func (c *Cell) movePaused(now time.Time, h *host) {
	for r := range h.runs {
		if r.pausedSince.IsZero() || now.Sub(r.pausedSince) < pausedPatience {
			continue
		}
		if r.unit.def().Checkpointing || r.percent < keptProgress {
			c.stopRun(r, "paused beside a serving task")
		}
	}
}

// setSpeed orders the speed of a task that fills, in percent. The caller holds mu.
func (c *Cell) setSpeed(now time.Time, r *run, percent int) {
	if r.speed == percent {
		return
	}
	previous := r.speed
	r.speed = percent
	r.pausedSince = time.Time{}
	if percent == 0 {
		r.pausedSince = now
	}
	target, id := r.host.target(), r.id()
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Lease)
		defer cancel()
		err := c.cfg.Runners.Pace(ctx, target, id, r.number, percent, c.epoch)
		if err == nil {
			return
		}
		c.cfg.Log.WithFields(logrus.Fields{"task": id.String(), "runner": target.ID, "error": err.Error()}).Warn("pace order failed")
		c.mu.Lock()
		defer c.mu.Unlock()
		if r.speed == percent {
			r.speed = previous
		}
	})
}
