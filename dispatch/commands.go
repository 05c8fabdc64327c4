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
	// stopRetry is the pause before a stop command without a response is repeated.
	stopRetry = 200 * time.Millisecond
	// refusalBackoff excludes a runner from placement after a start was refused or not sent, or got no response. Refusals
	// for lack of capacity, because of a ticket, or of an outdated or late command don't count.
	refusalBackoff = 1 * time.Second
	// maxBackoffDoublings bounds how often refusalBackoff is doubled after consecutive starts with unknown outcome.
	maxBackoffDoublings = 3
	// noCapacityBackoff excludes a runner from placement after it had less free capacity than the cell had recorded.
	noCapacityBackoff = 300 * time.Millisecond
)

// startRun creates a run and sends its start command. The caller holds mu.
func (c *Cell) startRun(ctx context.Context, now time.Time, u *unit, member, number int, rs *runnerState) {
	r := &run{unit: u, member: member, number: number, runner: rs, startedAt: now, percent: -1, speed: fullSpeed}
	c.attach(r)
	c.cfg.Metrics.starts.Inc()
	command := runner.Start{
		Task: r.id(), Run: number, Spec: u.job.def.Spec, Deadline: c.leaseDeadline(now, rs), Token: c.epoch,
		Checkpoint: u.checkpoint,
	}
	if u.job.def.Policy.Advised {
		command.Ticket = c.adviceOf(u).tickets[rs.info.ID]
	}
	c.background.Go(func() { c.sendStart(ctx, r, rs.target(), command) })
}

func (c *Cell) sendStart(ctx context.Context, r *run, target runner.Target, command runner.Start) {
	sent := time.Now()
	_, err := c.cfg.Runners.Start(ctx, target, command)
	c.cfg.Metrics.startCallTime.Observe(time.Since(sent).Seconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if err == nil {
		r.runner.unknownStarts = 0
		if r.phase == runStarting {
			r.phase = runRunning
			r.confirmedAt = now
		}
		if r.runner.runs[r] {
			c.markStarted(r.unit.job)
		}
		c.logStart(r, "started", "")
		return
	}
	c.startFailed(ctx, now, r, err)
}

func (c *Cell) logStart(r *run, outcome, why string) {
	entry := c.cfg.Log.WithFields(logrus.Fields{"request": r.unit.job.def.ID, "task": r.id().String(), "run": r.number,
		"runner": r.runner.info.ID})
	if why != "" {
		entry.WithField("why", why).Warn(outcome)
		return
	}
	entry.Debug(outcome)
}

// startFailed handles a start command that was refused, not sent or got no response. The caller holds mu.
func (c *Cell) startFailed(ctx context.Context, now time.Time, r *run, err error) {
	if !r.runner.runs[r] || r.phase == runRunning {
		return
	}
	rs, u := r.runner, r.unit
	reason := runner.ReasonOf(err)
	if reason == "" && !errors.Is(err, runner.ErrNotSent) {
		r.phase = runStartUnknown
		u.avoid = rs.info.ID
		rs.backoffUntil = now.Add(refusalBackoff << min(rs.unknownStarts, maxBackoffDoublings))
		rs.unknownStarts++
		c.logStart(r, "start has no response", err.Error())
		c.background.Go(func() { c.resolveStart(ctx, r) })
		return
	}
	c.logStart(r, "start was refused or not sent", err.Error())
	switch reason {
	case runner.ReasonFenced:
		c.loseOwnership("a runner has seen a higher token")
		return
	case runner.ReasonNoCapacity:
		rs.noCapacityUntil = now.Add(noCapacityBackoff)
	case runner.ReasonTicket:
		delete(c.adviceOf(u).validUntil, rs.info.ID)
	case runner.ReasonOldRun, runner.ReasonLate:
	default:
		rs.backoffUntil = now.Add(refusalBackoff)
	}
	c.detach(r)
	if u.phase == phaseActive && len(u.runs) == 0 && !u.job.state.Terminal() {
		c.makeReady(u)
	}
}

// resolveStart determines the outcome of a start command without a response. Unless a poll shows the run or its end, a
// stop is sent, because the start may still arrive: a runner refuses a run that was stopped before it began.
func (c *Cell) resolveStart(ctx context.Context, r *run) {
	if c.pollNow(ctx, r.runner, r) {
		return
	}
	c.mu.Lock()
	c.stopRun(r, "start has no answer")
	c.mu.Unlock()
}

// pollNow polls a runner immediately and reports whether the outcome of the run's start is known.
func (c *Cell) pollNow(ctx context.Context, rs *runnerState, r *run) bool {
	c.mu.Lock()
	if !c.mayCommand(time.Now()) || !rs.synced {
		c.mu.Unlock()
		return false
	}
	request := runner.Hold{Token: c.epoch, AckedEnd: rs.acked, Deadline: c.leaseDeadline(time.Now(), rs)}
	c.cfg.Metrics.polls.Inc()
	target := rs.target()
	c.mu.Unlock()
	sent := time.Now()
	report, err := c.cfg.Runners.Hold(ctx, target, request)
	if err == nil {
		c.applyReport(rs, sent, report, nil)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.phase == runRunning || !rs.runs[r]
}

// stopRun sends stop commands for a run until one has a response, for at most one lease. The caller holds mu.
func (c *Cell) stopRun(r *run, reason string) {
	if r.stopping || !r.runner.runs[r] {
		return
	}
	r.stopping, r.stopReason = true, reason
	c.background.Go(func() { c.sendStops(r) })
}

func (c *Cell) sendStops(r *run) {
	// Stops are sent even if the cell's context has ended, because a run that must not run should not continue.
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Lease)
	defer cancel()
	for ctx.Err() == nil {
		c.mu.Lock()
		obsolete := !r.runner.runs[r] || c.lost
		target, id := r.runner.target(), r.id()
		c.mu.Unlock()
		if obsolete {
			return
		}
		err := c.cfg.Runners.Stop(ctx, target, id, r.number, c.epoch)
		if c.handleStopResponse(ctx, r, err) {
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

// handleStopResponse handles the response to a stop command and reports whether no further stop is needed.
func (c *Cell) handleStopResponse(ctx context.Context, r *run, err error) bool {
	c.mu.Lock()
	now := time.Now()
	reason := runner.ReasonOf(err)
	if reason == runner.ReasonFenced {
		c.loseOwnership("a runner has seen a higher token")
		c.mu.Unlock()
		return true
	}
	if reason == runner.ReasonIncarnation {
		c.endRun(now, r, runner.EndExpired, "", "another incarnation answers")
		c.mu.Unlock()
		return true
	}
	if err != nil && reason != runner.ReasonOldRun {
		c.mu.Unlock()
		return false
	}
	r.stopAnsweredAt = now
	startUnknown := r.phase == runStartUnknown
	if r.phase != runStarting {
		r.phase = runStopping
		r.confirmedAt = now
	}
	c.mu.Unlock()
	if startUnknown {
		// The run can no longer begin, so it has ended if the next report does not list it.
		c.pollNow(ctx, r.runner, r)
	}
	return true
}

// stopForeignRun stops a reported run that matches no task that should run. The caller holds mu.
func (c *Cell) stopForeignRun(rs *runnerState, id workload.TaskID, number int) {
	target := rs.target()
	c.cfg.Log.WithFields(logrus.Fields{"task": id.String(), "run": number, "runner": rs.info.ID}).Info("stopping a run that should not exist")
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Lease)
		defer cancel()
		if err := c.cfg.Runners.Stop(ctx, target, id, number, c.epoch); err != nil {
			c.cfg.Log.WithFields(logrus.Fields{"task": id.String(), "runner": target.ID, "error": err.Error()}).Warn("could not stop a run that should not exist")
		}
	})
}
