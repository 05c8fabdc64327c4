package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/runner"
)

const (
	// refusalBackoff excludes a runner from placement after a start was refused or not sent, or got no response, except for the
	// refusals of shortBackoff and those because of a ticket.
	refusalBackoff = 1 * time.Second
	// maxBackoffDoublings bounds how often refusalBackoff is doubled after consecutive starts with unknown outcome.
	maxBackoffDoublings = 3
	// maxStartAttempts bounds how often a start command is sent, and maxAttemptsWhileLosing replaces it while responses are being lost: each
	// attempt has the same chance as a stop and, unlike it, lets the task run.
	maxStartAttempts       = 3
	maxAttemptsWhileLosing = 6
	// repeatTimeout is the time of a repeated command. It covers a round trip between regions on a busy link.
	repeatTimeout = 400 * time.Millisecond
	// shortBackoff excludes a runner from placement after it had less free capacity than the cell had recorded, or refused an
	// outdated or late command, and after a start without a response while several runners lose responses.
	shortBackoff = 300 * time.Millisecond
)

// startRun creates a run and sends its start command. The caller holds mu.
func (c *Cell) startRun(ctx context.Context, now time.Time, u *unit, member, number int, rs *runnerState) {
	r := &run{unit: u, member: member, number: number, runner: rs, startedAt: now, percent: -1, speed: fullSpeed, pace: startedPace(),
		startSeen: true, predicted: c.predictStep(u.job.def, u.step)}
	c.attach(r)
	c.commandStart(ctx, now, r)
}

// planRun creates a run whose assignment to its runner is written before its start command is sent. After a takeover, such a
// task waits for that runner only. The caller holds mu.
func (c *Cell) planRun(now time.Time, u *unit, number int, rs *runnerState) {
	c.attach(&run{unit: u, number: number, runner: rs, startedAt: now, percent: -1, speed: fullSpeed, pace: startedPace(),
		phase: runPlanned})
	u.assigned = rs.info.ID
	c.markUrgent(u.job)
}

// startPlanned sends the start command of a run whose assignment has become durable, if its runner still takes tasks. The
// caller holds mu.
func (c *Cell) startPlanned(ctx context.Context, now time.Time, r *run) {
	if !r.exists() || r.phase != runPlanned || r.stop.wanted || c.releasing {
		return
	}
	if c.unavailable(now, r.runner) != "" || !c.mayStart() {
		c.withdrawStart(r)
		return
	}
	if origin := r.unit.job.origin; origin != "" {
		c.background.Go(func() { c.startHosted(ctx, r, origin) })
		return
	}
	r.phase, r.startedAt = runStarting, now
	c.commandStart(ctx, now, r)
}

// commandStart sends the start command of a run. The caller holds mu.
func (c *Cell) commandStart(ctx context.Context, now time.Time, r *run) {
	u, rs := r.unit, r.runner
	c.cfg.Metrics.starts.Inc()
	r.evidence = startEvidence{ownership: c.sinceCommit(now), report: now.Sub(rs.lastResponseAt)}
	c.cfg.Metrics.ownershipAge.Observe(r.evidence.ownership.Seconds())
	c.cfg.Metrics.reportAge.Observe(r.evidence.report.Seconds())
	command := runner.Start{
		Task: r.id(), Run: r.number, Spec: u.job.def.Spec, Deadline: c.startDeadline(now, rs), Token: c.tokenFor(rs),
		Checkpoint: u.checkpoint,
	}
	if u.job.def.Policy.Advised {
		command.Ticket = c.adviceOf(u).tickets[rs.info.ID]
	}
	target := rs.target()
	c.background.Go(func() { c.sendStart(ctx, r, target, command) })
}

// sendStart sends a start command, and repeats it to the same runner while it gets no response: the runner executes a run once, whatever
// number of commands arrive. Otherwise the run must be stopped before the task can start elsewhere.
func (c *Cell) sendStart(ctx context.Context, r *run, target runner.Target, command runner.Start) {
	for attempt := 1; ; attempt++ {
		callCtx, cancel, permitted := c.beginStart(ctx, r, attempt)
		if !permitted {
			return
		}
		sent := time.Now()
		clock, err := c.cfg.Runners.Start(callCtx, target, command)
		cancel()
		c.cfg.Metrics.startCallTime.Observe(time.Since(sent).Seconds())
		if c.applyStartResponse(ctx, r, command, attempt, clock, err) {
			return
		}
	}
}

// errInterrupted is why a start command is not repeated after an interruption of the owner.
var errInterrupted = errors.New("the owner was interrupted and may have a successor")

// beginStart reports whether an attempt to start a run may be sent now, and bounds it. While responses are being lost, waiting longer for one
// helps less than the next attempt.
func (c *Cell) beginStart(ctx context.Context, r *run, attempt int) (callCtx context.Context, cancel context.CancelFunc, permitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.mayStart() {
		switch {
		case !r.exists():
		case attempt == 1:
			c.withdrawStart(r)
		case r.phase == runStarting:
			c.startUnknown(ctx, now, r, errInterrupted)
		}
		return nil, nil, false
	}
	if attempt == 1 && !c.isLosingResponses(now) {
		callCtx, cancel = context.WithCancel(ctx)
	} else {
		callCtx, cancel = context.WithTimeout(ctx, repeatTimeout)
	}
	return callCtx, cancel, true
}

// withdrawStart removes a run whose start command was not sent or had no effect. The members of a gang start together or not at all. The
// caller holds mu.
func (c *Cell) withdrawStart(r *run) {
	u := r.unit
	c.detach(r)
	if u.phase == phaseActive && len(u.runs) == 0 && !u.job.state.Terminal() {
		c.makeReady(u)
	}
	for _, other := range slices.Clone(u.runs) {
		if other.number == r.number {
			c.stopRun(other, "another member of the gang could not start")
		}
	}
}

// applyStartResponse applies the response to a start command, or that there was none. It reports whether the outcome is known or left to
// reconcileRun; otherwise the command is to be repeated.
func (c *Cell) applyStartResponse(ctx context.Context, r *run, command runner.Start, attempt int, clock time.Duration, err error) (decided bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if err == nil {
		c.recordGranted(now, r.runner, command.Deadline, clock)
		r.runner.unknownStarts = 0
		r.runner.extendedByStart = false
		if r.phase == runStarting {
			r.phase = runRunning
			r.confirmedAt = now
			r.unit.runConfirmed()
			c.recordStart(now, r.unit.job)
		}
		if r.exists() {
			c.markStarted(r.unit.job)
		}
		c.logStart(r, "started", "")
		return true
	}
	reason := runner.ReasonOf(err)
	unanswered := reason == "" && !errors.Is(err, runner.ErrNotSent)
	r.unanswered = r.unanswered || unanswered
	superseded := reason == runner.ReasonFenced && command.Token < r.runner.token
	switch {
	case !r.exists() || r.phase == runRunning:
	case reason == runner.ReasonFenced && !superseded:
		c.loseOwnership("a runner has seen a higher token")
	case attempt == 1 && !unanswered:
		// Whatever the response to a repeated command says, an earlier one may still be executed.
		c.startFailed(now, r, err)
	case reason == "" && c.mayRepeatStart(now, r, attempt):
		c.recordLoss(now, r.runner)
		return false
	default:
		c.startUnknown(ctx, now, r, err)
	}
	return true
}

// mayRepeatStart reports whether a start command that got no response to a number of attempts may be sent again. The caller holds mu.
func (c *Cell) mayRepeatStart(now time.Time, r *run, attempts int) bool {
	limit := maxStartAttempts
	if c.isLosingResponses(now) {
		limit = maxAttemptsWhileLosing
	}
	if attempts >= limit || r.stop.wanted || c.releasing || !c.mayStart() {
		return false
	}
	switch c.unavailable(now, r.runner) {
	case "", responseOverdue, startBackoff, noCapacityUntilLater, listedSilent, listedClosed:
		// The inventory of a listed runner has the run, and a repeated command does not extend the lease.
		return true
	default:
		return false
	}
}

func (c *Cell) logStart(r *run, outcome, why string) {
	entry := c.cfg.Log.WithFields(logrus.Fields{"request": r.unit.job.def.ID, "task": r.id().String(), "run": r.number,
		"runner": r.runner.info.ID, "ownership_ms": r.evidence.ownership.Milliseconds(), "report_ms": r.evidence.report.Milliseconds()})
	if why != "" {
		entry.WithField("why", why).Warn(outcome)
		return
	}
	entry.Debug(outcome)
}

// startUnknown handles a start command that got no response. The caller holds mu.
func (c *Cell) startUnknown(ctx context.Context, now time.Time, r *run, err error) {
	rs := r.runner
	r.phase = runStartUnknown
	c.recordLoss(now, rs)
	r.unit.avoid = rs.info.ID
	if !now.Before(rs.backoffUntil) {
		// Starts that fail together tell no more of the runner than one.
		rs.backoffUntil = now.Add(c.unknownStartBackoff(now, rs))
		rs.unknownStarts++
	}
	c.logStart(r, "start has no response", err.Error())
	r.resolving = true
	c.background.Go(func() { c.resolveStart(ctx, r) })
}

// unknownStartBackoff returns for how long a runner gets no starts after one without a response. While several runners lose responses, the
// cause is not the runner, and the next one would do no better. The caller holds mu.
func (c *Cell) unknownStartBackoff(now time.Time, rs *runnerState) time.Duration {
	if c.isLosingResponses(now) {
		return shortBackoff
	}
	return refusalBackoff << min(rs.unknownStarts, maxBackoffDoublings)
}

// startFailed handles a start command that was refused or not sent. The caller holds mu.
func (c *Cell) startFailed(now time.Time, r *run, err error) {
	rs, u := r.runner, r.unit
	c.logStart(r, "start was refused or not sent", err.Error())
	switch runner.ReasonOf(err) {
	case runner.ReasonNoCapacity:
		rs.noCapacityUntil = now.Add(shortBackoff)
	case runner.ReasonTicket:
		delete(c.adviceOf(u).validUntil, rs.info.ID)
	case runner.ReasonLate, runner.ReasonFenced:
		rs.backoffUntil = now.Add(shortBackoff)
	case runner.ReasonOldRun:
		// The runner knows of a higher run.
		rs.backoffUntil = now.Add(shortBackoff)
		u.run += runGap
	default:
		rs.backoffUntil = now.Add(refusalBackoff)
	}
	c.withdrawStart(r)
}

// endLongBackoff shortens the back-off of a runner that responds to commands again. A confirmed stop shows that as well as a start, and the
// runner gets no start that could while it is excluded.
func (rs *runnerState) endLongBackoff(now time.Time) {
	rs.unknownStarts = 0
	if end := now.Add(refusalBackoff); end.Before(rs.backoffUntil) {
		rs.backoffUntil = end
	}
}

// resolveStart checks with a poll whether a start command without a response was executed. Otherwise reconcileRun stops the
// run.
func (c *Cell) resolveStart(ctx context.Context, r *run) {
	c.pollNow(ctx, r.runner)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.resolving = false
	if r.exists() {
		c.reconcileRun(time.Now(), r)
	}
}

// pollNow polls a runner immediately.
func (c *Cell) pollNow(ctx context.Context, rs *runnerState) {
	c.mu.Lock()
	if !c.mayCommand(time.Now()) || !rs.synced {
		c.mu.Unlock()
		return
	}
	// A start without a response may mean that the runner has restarted. Its new process must not take a lease on the clock of
	// the old one, or forget its own ends by the old numbers.
	request := runner.Hold{Token: c.tokenFor(rs)}
	c.cfg.Metrics.polls.Inc()
	target := rs.target()
	c.mu.Unlock()
	sent := time.Now()
	report, err := c.cfg.Runners.Hold(ctx, target, request)
	if err == nil {
		c.applyReport(rs, sent, target, request, report, nil)
	}
}
