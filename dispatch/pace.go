package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

const (
	// paceRetry is the pause before a pace command that failed is repeated. It doubles with each further attempt.
	paceRetry = 200 * time.Millisecond
	// maxPaceRetryDoublings bounds how often paceRetry is doubled.
	maxPaceRetryDoublings = 3
	// lateCommandTimeout is how long after it was sent a command without a response may still be executed: the platform's
	// maximum of 12 s.
	lateCommandTimeout = 12 * time.Second
	// paceRefresh is the interval at which the wanted speed is sent while an older command may still replace it. A serving
	// task is then disturbed for less than the 4 s that users tolerate.
	paceRefresh = 2 * time.Second
	// maxSpeedDoubt is how long after a change of its wanted speed a task without progress counts as slowed down by an
	// earlier command.
	maxSpeedDoubt = 2 * lateCommandTimeout
)

// paceState is what the owner knows about the speed of a run at its runner. The zero value is that of an adopted run, whose
// speed is not known. At most one pace command of a run is in flight.
type paceState struct {
	inFlight bool
	// known is set if the runner has confirmed the speed, at a command sent at sentAt, and no command has failed since.
	known  bool
	speed  int
	sentAt time.Time
	// wantedSince is when the wanted speed last changed.
	wantedSince time.Time
	// failed counts consecutive commands that failed, and nextAt is when the next one may be sent.
	failed int
	nextAt time.Time
	// lateUntil is the time until which a command without a response may set the speed, by speed in units of speedStep.
	lateUntil [fullSpeed/speedStep + 1]time.Time
}

// startedPace returns the pace state of a run that starts now.
func startedPace() paceState { return paceState{known: true, speed: fullSpeed} }

// isSettled reports whether the runner has the wanted speed and no command that was sent before the last one can replace it.
func (p *paceState) isSettled(wanted int) bool {
	if !p.known || p.speed != wanted {
		return false
	}
	for i, until := range p.lateUntil {
		if i != wanted/speedStep && until.After(p.sentAt) {
			return false
		}
	}
	return true
}

// mayBeSlowed reports whether the runner may limit the speed of a best-effort task, so that a lack of progress does not show
// a fault of the runner. The caller holds the cell's mu.
func (r *run) mayBeSlowed(now time.Time) bool {
	if !r.unit.def().BestEffort {
		return false
	}
	return r.speed < fullSpeed || !r.pace.isSettled(fullSpeed) && now.Sub(r.pace.wantedSince) < maxSpeedDoubt
}

// setSpeed sets the wanted speed of a best-effort task, in percent. The caller holds mu.
func (c *Cell) setSpeed(now time.Time, r *run, percent int) {
	if r.speed != percent {
		r.speed = percent
		r.pausedSince = time.Time{}
		if percent == 0 {
			r.pausedSince = now
		}
		r.pace.wantedSince, r.pace.nextAt = now, time.Time{}
	}
	c.reconcileRun(now, r)
}

// reconcileSpeed sends the wanted speed of a run if its runner may have another one, now or after the execution of a delayed
// command. The caller holds mu.
func (c *Cell) reconcileSpeed(now time.Time, r *run) {
	p := &r.pace
	if !r.unit.def().BestEffort || r.phase != runRunning || r.runner.pollFailing || c.lost {
		return
	}
	if p.wantedSince.IsZero() {
		p.wantedSince = now
	}
	if p.inFlight || now.Before(p.nextAt) || p.isSettled(r.speed) {
		return
	}
	p.inFlight = true
	target, id, percent, token := r.runner.target(), r.id(), r.speed, c.tokenFor(r.runner)
	c.background.Go(func() { c.sendPace(r, target, id, percent, token) })
}

// sendPace sends one pace command.
func (c *Cell) sendPace(r *run, target runner.Target, id workload.TaskID, percent int, token int64) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Lease)
	defer cancel()
	sent := time.Now()
	err := c.cfg.Runners.Pace(ctx, target, id, r.number, percent, token)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyPaceResponse(time.Now(), r, sent, percent, token, err)
}

// applyPaceResponse applies the response to a pace command. The caller holds mu.
func (c *Cell) applyPaceResponse(now time.Time, r *run, sent time.Time, percent int, token int64, err error) {
	p := &r.pace
	p.inFlight = false
	if !r.exists() {
		return
	}
	if err == nil {
		p.known, p.speed, p.sentAt, p.failed = true, percent, sent, 0
		if percent == r.speed {
			p.nextAt = now.Add(paceRefresh)
			return
		}
		p.nextAt = time.Time{}
		c.reconcileRun(now, r)
		return
	}
	c.cfg.Log.WithFields(logrus.Fields{"task": r.id().String(), "runner": r.runner.info.ID, "percent": percent, "error": err.Error()}).
		Warn("pace command failed")
	if runner.ReasonOf(err) == runner.ReasonFenced {
		c.recordRefusedToken(r.runner, token)
	}
	if runner.ReasonOf(err) == "" && !errors.Is(err, runner.ErrNotSent) {
		p.known = false
		p.lateUntil[percent/speedStep] = now.Add(lateCommandTimeout)
	}
	p.nextAt = now.Add(paceRetry << min(p.failed, maxPaceRetryDoublings))
	p.failed++
}
