package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// harmedShare is the share of its latency target from which a serving task counts as harmed.
	harmedShare = 0.85
	// pacedPercent is the speed of tasks that fill beside a serving task over its target.
	pacedPercent = 0
	// fullPercent lets a task work without a limit.
	fullPercent = 100
	// calmShare is the share of the target below which paced tasks may work again.
	calmShare = 0.5
)

// judgeInterference slows tasks that fill on a runner where a serving task is near or over its latency target, and lets
// them work again once it is well below. The caller holds mu.
func (c *Cell) judgeInterference(now time.Time, h *host) {
	worst := 0.0
	for r := range h.runs {
		if target := r.unit.def().LatencyTarget; target > 0 && r.hasFigure {
			worst = max(worst, r.figure/float64(target.Milliseconds()))
		}
	}
	for r := range h.runs {
		if !r.unit.def().Fills || r.phase != runRunning {
			continue
		}
		switch {
		case worst > harmedShare && r.paced != pacedPercent+1:
			c.pace(now, r, pacedPercent)
		case worst < calmShare && r.paced != 0:
			c.pace(now, r, fullPercent)
		}
	}
}

// pace orders the speed of a run. The caller holds mu.
func (c *Cell) pace(_ time.Time, r *run, percent int) {
	previous := r.paced
	r.paced = percent + 1
	if percent == fullPercent {
		r.paced = 0
	}
	target, id := r.host.target(), r.id()
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Lease)
		defer cancel()
		if err := c.cfg.Runners.Pace(ctx, target, id, r.number, percent, c.epoch); err != nil {
			c.cfg.Log.WithFields(logrus.Fields{"task": id.String(), "runner": target.ID, "error": err.Error()}).Warn("pace order failed")
			c.mu.Lock()
			r.paced = previous
			c.mu.Unlock()
		}
	})
}
