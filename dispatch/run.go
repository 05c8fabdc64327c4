package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/lookahead"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

const (
	// stopRetry is the pause before a stop command without a response is repeated. It doubles with each further attempt, unless several
	// runners lose responses.
	stopRetry = 200 * time.Millisecond
	// maxStopRetryDoublings bounds how often stopRetry is doubled, because a runner without a response may return at any
	// time.
	maxStopRetryDoublings = 3
	// stopEffectTimeout is the time after a confirmed stop by which a report should show the end of the run; otherwise the
	// stop is repeated. It covers a stop of 0.9 s, the platform's maximum, and a poll.
	stopEffectTimeout = holdWait + time.Second
)

// runPhase is what the owner knows about the start of a run.
type runPhase uint8

const (
	// runStarting waits for the response to the start command.
	runStarting runPhase = iota
	// runStartUnknown has a start command without a response, and no report has shown the run.
	runStartUnknown
	// runRunning has been confirmed by the runner, by a response or in a report.
	runRunning
	// runPlanned waits until its assignment to the runner is durable. No command has been sent.
	runPlanned
)

// run is one start of a task of a unit. It exists until it is confirmed to have ended or can no longer start.
//
// Its state is reconciled on each tick: whatever responses are lost, a run whose outcome is unknown or that should end has
// a command in flight or a time at which the next one is sent.
type run struct {
	unit   *unit
	member int
	number int
	runner *runnerState
	phase  runPhase
	// confirmedAt is when the runner confirmed the start; zero before.
	confirmedAt time.Time
	// lost is the evidence that the run ended without a recorded end.
	lost lostRun
	// resolving is set while a poll checks the outcome of a start command without a response.
	resolving bool
	// unanswered is set once an attempt to start the run has had no response, so that it may be executed late.
	unanswered     bool
	stop           stopState
	startedAt      time.Time
	evidence       startEvidence
	percent        int
	progressAt     time.Time // when the progress last changed
	measurement    float64
	hasMeasurement bool
	observed       runObservation
	// speed is the wanted speed limit of a best-effort task, in percent.
	speed int
	pace  paceState
	// overTargetSince is when a serving task was first reported over its latency target; zero if the last report did not
	// show it over the target.
	overTargetSince time.Time
	// startSeen is set for short runs that this owner has started, and predicted is the run time that was expected then. The start of an adopted run
	// is not known.
	startSeen bool
	predicted lookahead.Prediction
	// pausedSince is when the wanted speed last became 0; zero if it is not 0.
	pausedSince time.Time
}

// startEvidence is what a start command was based on: how long before it the last successful commit was sent, and how long before it the
// runner's last report arrived.
type startEvidence struct{ ownership, report time.Duration }

// stopState is the state of the stop of a run.
type stopState struct {
	// wanted is set once the run should end, for reason.
	wanted   bool
	reason   string
	inFlight bool
	// unanswered counts consecutive stop commands without a response, and nextAt is when the next one is due.
	unanswered int
	nextAt     time.Time
	// confirmedAt is when the runner's present process first responded to a stop command; zero before. The run has then ended,
	// is ending, or can't start any more.
	confirmedAt time.Time
}

func (r *run) id() workload.TaskID { return r.unit.task(r.member) }

// exists reports whether the run is still part of the state. The caller holds the cell's mu.
func (r *run) exists() bool { return r.runner.runs[r] }

// hasEndedIfUnlisted reports whether a report to a poll sent at the given time proves the end of the run by not listing
// it: the poll was sent after the runner confirmed the start, or a stop, after which the run can't start.
func (r *run) hasEndedIfUnlisted(pollSent time.Time) bool {
	started := r.phase == runRunning && r.confirmedAt.Before(pollSent)
	stopped := !r.stop.confirmedAt.IsZero() && r.stop.confirmedAt.Before(pollSent)
	return started || stopped
}

// stopRun makes a run end. The caller holds mu.
func (c *Cell) stopRun(r *run, reason string) {
	if r.stop.wanted || !r.exists() {
		return
	}
	r.stop.wanted, r.stop.reason = true, reason
	c.reconcileRun(time.Now(), r)
}

// reconcileRun sends the command that a run needs now, if any. The caller holds mu.
func (c *Cell) reconcileRun(now time.Time, r *run) {
	if r.phase == runPlanned {
		if r.stop.wanted {
			c.endRun(now, r, runner.EndStopped, "", r.stop.reason)
		}
		return
	}
	if r.phase == runStartUnknown && !r.resolving && !r.stop.wanted {
		// The start may still be executed. After a stop the runner refuses it.
		r.stop.wanted, r.stop.reason = true, "start has no answer"
	}
	if !r.stop.wanted {
		c.reconcileSpeed(now, r)
		return
	}
	if r.stop.inFlight || now.Before(r.stop.nextAt) || c.lost {
		return
	}
	r.stop.inFlight = true
	target, id := r.runner.target(), r.id()
	c.background.Go(func() { c.sendStop(r, target, id) })
}

// sendStop sends one stop command. It is sent even if the cell's context has ended, because a run that must not run should
// not continue.
func (c *Cell) sendStop(r *run, target runner.Target, id workload.TaskID) {
	c.mu.Lock()
	born, token, timeout := r.runner.born, c.tokenFor(r.runner), c.cfg.Lease
	if c.isLosingResponses(time.Now()) {
		timeout = repeatTimeout
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := c.cfg.Runners.Stop(ctx, target, id, r.number, token)
	c.mu.Lock()
	r.stop.inFlight = false
	confirmed := c.applyStopResponse(time.Now(), r, target, born, token, err)
	// The run can no longer begin, so it has ended if the next report does not list it.
	resolve := confirmed && r.exists() && r.phase == runStartUnknown
	c.mu.Unlock()
	if resolve {
		c.pollNow(ctx, r.runner)
	}
}

// applyStopResponse applies the response to a stop command that was sent while the runner's process was the one started at
// born. It reports whether the stop is confirmed. The caller holds mu.
func (c *Cell) applyStopResponse(now time.Time, r *run, target runner.Target, born, token int64, err error) bool {
	if !r.exists() {
		return false
	}
	switch reason := runner.ReasonOf(err); {
	case reason == runner.ReasonFenced:
		c.recordRefusedToken(r.runner, token)
		r.stop.nextAt = now.Add(stopRetry)
		return false
	case reason == runner.ReasonIncarnation && r.runner.hasProcessAt(target.Addr):
		c.loseRun(now, r, now, "another incarnation answers")
		return false
	case err == nil && born == r.runner.born, reason == runner.ReasonOldRun && born == r.runner.born:
		r.stop.unanswered = 0
		r.runner.endLongBackoff(now)
		if r.stop.confirmedAt.IsZero() {
			r.stop.confirmedAt = now
		}
		r.stop.nextAt = now.Add(stopEffectTimeout)
		return true
	}
	if runner.ReasonOf(err) == "" && !errors.Is(err, runner.ErrNotSent) {
		c.recordLoss(now, r.runner)
	}
	pause := stopRetry
	if !c.isLosingResponses(now) {
		pause <<= min(r.stop.unanswered, maxStopRetryDoublings)
	}
	r.stop.nextAt = now.Add(pause)
	r.stop.unanswered++
	return false
}

// stopForeignRun stops a reported run that matches no task that should run. Each report that lists the run repeats the
// command. The caller holds mu.
func (c *Cell) stopForeignRun(rs *runnerState, id workload.TaskID, number int) {
	target, token := rs.target(), c.tokenFor(rs)
	c.cfg.Log.WithFields(logrus.Fields{"task": id.String(), "run": number, "runner": rs.info.ID}).Info("stopping a run that should not exist")
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Lease)
		defer cancel()
		if err := c.cfg.Runners.Stop(ctx, target, id, number, token); err != nil {
			c.cfg.Log.WithFields(logrus.Fields{"task": id.String(), "runner": target.ID, "error": err.Error()}).Warn("could not stop a run that should not exist")
		}
	})
}
