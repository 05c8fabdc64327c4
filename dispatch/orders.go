package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

const (
	// stopRetry is the pause between two stop orders of which the first had no answer.
	stopRetry = 200 * time.Millisecond
	// refusedPause keeps tasks away from a runner that refused one as unhealthy or did not answer.
	refusedPause = 1 * time.Second
	// maxBackoffDoublings bounds how often refusedPause is doubled for a runner that leaves starts unanswered.
	maxBackoffDoublings = 3
	// roomPause keeps tasks away from a runner that had less room than the cell believed.
	roomPause = 300 * time.Millisecond
)

// beginRun creates a run and sends its start order. The caller holds mu.
func (c *Cell) beginRun(ctx context.Context, now time.Time, u *unit, member, number int, h *host) {
	r := &run{unit: u, member: member, number: number, host: h, startedAt: now, percent: -1, speed: fullSpeed}
	c.attach(r)
	c.cfg.Metrics.starts.Inc()
	order := runner.Start{
		Task: r.id(), Run: number, Spec: u.job.def.Spec, Deadline: c.leaseDeadline(now, h), Token: c.epoch,
		Checkpoint: u.checkpoint,
	}
	if u.job.def.Policy.Advised {
		order.Ticket = c.adviceOf(u).tickets[h.info.ID]
	}
	c.work.Go(func() { c.sendStart(ctx, r, h.target(), order) })
}

func (c *Cell) sendStart(ctx context.Context, r *run, target runner.Target, order runner.Start) {
	sent := time.Now()
	_, err := c.cfg.Runners.Start(ctx, target, order)
	c.cfg.Metrics.orderTime.Observe(time.Since(sent).Seconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if err == nil {
		r.host.unanswered = 0
		if r.phase == runStarting {
			r.phase = runRunning
			r.confirmedAt = now
		}
		if r.host.runs[r] {
			c.noteStarted(r.unit.job)
		}
		c.logStart(r, "started", "")
		return
	}
	c.startFailed(ctx, now, r, err)
}

func (c *Cell) logStart(r *run, outcome, why string) {
	entry := c.cfg.Log.WithFields(logrus.Fields{"request": r.unit.job.def.ID, "task": r.id().String(), "run": r.number,
		"runner": r.host.info.ID})
	if why != "" {
		entry.WithField("why", why).Warn(outcome)
		return
	}
	entry.Debug(outcome)
}

// startFailed handles a start order that was refused or has no answer. The caller holds mu.
func (c *Cell) startFailed(ctx context.Context, now time.Time, r *run, err error) {
	if !r.host.runs[r] || r.phase == runRunning {
		return
	}
	h, u := r.host, r.unit
	reason := runner.ReasonOf(err)
	if reason == "" && !errors.Is(err, runner.ErrNotSent) {
		r.phase = runUnsettled
		u.avoid = h.info.ID
		h.backoffUntil = now.Add(refusedPause << min(h.unanswered, maxBackoffDoublings))
		h.unanswered++
		c.logStart(r, "start has no answer", err.Error())
		c.work.Go(func() { c.settle(ctx, r) })
		return
	}
	c.logStart(r, "start was refused", err.Error())
	switch reason {
	case runner.ReasonFenced:
		c.loseOwnership("a runner has seen a higher token")
		return
	case runner.ReasonNoRoom:
		h.roomUntil = now.Add(roomPause)
	case runner.ReasonTicket:
		delete(c.adviceOf(u).until, h.info.ID)
	case runner.ReasonOldRun, runner.ReasonLate:
	default:
		h.backoffUntil = now.Add(refusedPause)
	}
	c.detach(r)
	if u.phase == phaseActive && len(u.runs) == 0 && !u.job.state.Terminal() {
		c.makeReady(u)
	}
}

// settle finds out what became of a start order without an answer. The order may still arrive, so unless the run is
// there already, a stop forbids it: a runner refuses a run that was stopped before it began.
func (c *Cell) settle(ctx context.Context, r *run) {
	if c.lookNow(ctx, r.host, r) {
		return
	}
	c.mu.Lock()
	c.stopRun(r, "start has no answer")
	c.mu.Unlock()
}

// lookNow asks a runner at once and reports whether the run is settled.
func (c *Cell) lookNow(ctx context.Context, h *host, r *run) bool {
	c.mu.Lock()
	if !c.mayOrder(time.Now()) || !h.synced {
		c.mu.Unlock()
		return false
	}
	order := runner.Hold{Token: c.epoch, Acked: h.acked, Deadline: c.leaseDeadline(time.Now(), h)}
	c.cfg.Metrics.looks.Inc()
	target := h.target()
	c.mu.Unlock()
	sent := time.Now()
	report, err := c.cfg.Runners.Hold(ctx, target, order)
	if err == nil {
		c.applyLook(h, sent, report, nil)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.phase == runRunning || !h.runs[r]
}

// stopRun orders a run to stop, until that is settled. The caller holds mu.
func (c *Cell) stopRun(r *run, reason string) {
	if r.stopping || !r.host.runs[r] {
		return
	}
	r.stopping, r.stopReason = true, reason
	c.work.Go(func() { c.sendStops(r) })
}

func (c *Cell) sendStops(r *run) {
	// Stops are sent although the cell's context may have ended: what must not run should not go on.
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Lease)
	defer cancel()
	for ctx.Err() == nil {
		c.mu.Lock()
		gone := !r.host.runs[r] || c.lost
		target, id := r.host.target(), r.id()
		c.mu.Unlock()
		if gone {
			return
		}
		err := c.cfg.Runners.Stop(ctx, target, id, r.number, c.epoch)
		if c.stopAnswered(ctx, r, err) {
			return
		}
		if !wait.For(ctx, stopRetry) {
			break
		}
	}
	c.mu.Lock()
	r.stopping = false
	c.mu.Unlock()
}

// stopAnswered handles the answer to a stop order and reports whether nothing is left to send.
func (c *Cell) stopAnswered(ctx context.Context, r *run, err error) bool {
	c.mu.Lock()
	now := time.Now()
	reason := runner.ReasonOf(err)
	if reason == runner.ReasonFenced {
		c.loseOwnership("a runner has seen a higher token")
		c.mu.Unlock()
		return true
	}
	if reason == runner.ReasonIncarnation {
		c.endRun(now, r, runner.EndLapsed, "", "another incarnation answers")
		c.mu.Unlock()
		return true
	}
	if err != nil && reason != runner.ReasonOldRun {
		c.mu.Unlock()
		return false
	}
	unsettled := r.phase == runUnsettled
	if r.phase != runStarting {
		r.phase = runStopping
		r.confirmedAt = now
	}
	c.mu.Unlock()
	if unsettled {
		// From now on the run can't begin, so the next report that does not list it settles it.
		c.lookNow(ctx, r.host, r)
	}
	return true
}

// stopForeign stops a run that belongs to no task that should run. The caller holds mu.
func (c *Cell) stopForeign(h *host, id workload.TaskID, number int) {
	target := h.target()
	c.cfg.Log.WithFields(logrus.Fields{"task": id.String(), "run": number, "runner": h.info.ID}).Info("stopping a run that should not exist")
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Lease)
		defer cancel()
		if err := c.cfg.Runners.Stop(ctx, target, id, number, c.epoch); err != nil {
			c.cfg.Log.WithFields(logrus.Fields{"task": id.String(), "runner": target.ID, "error": err.Error()}).Warn("stop failed")
		}
	})
}
