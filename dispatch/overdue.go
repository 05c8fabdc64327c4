package dispatch

import (
	"context"
	"time"
)

// A lost response to a poll hides what the runner reports until the poll times out. While responses are being lost, a poll is given up and
// repeated at once if it should have reported the end of a task by now.

const (
	// lossWindow is how long a call without a response counts, and minLosses the number of runners without one from which responses
	// are being lost. A single runner may have crashed.
	lossWindow = 5 * time.Second
	minLosses  = 3
	// overdueFactor and overdueSlack allow for estimates that are off and for the way to a runner: a task is overdue after the
	// estimated time, times the factor, plus the slack.
	overdueFactor = 1.4
	overdueSlack  = 250 * time.Millisecond
	// minPollTime is the least time that a poll is left alone.
	minPollTime = 400 * time.Millisecond
)

// recordLoss records a call to a runner that got no response. The caller holds mu.
func (c *Cell) recordLoss(now time.Time, rs *runnerState) {
	rs.lossAt = now
	losses := 0
	for _, other := range c.runners {
		if !other.lossAt.IsZero() && now.Sub(other.lossAt) < lossWindow {
			losses++
		}
	}
	if losses >= minLosses {
		c.losingUntil = now.Add(lossWindow)
	}
}

// isLosingResponses reports whether responses of runners are being lost. The caller holds mu.
func (c *Cell) isLosingResponses(now time.Time) bool { return !now.After(c.losingUntil) }

// abandonOverduePoll ends the poll in flight of a runner if responses are being lost and the poll should have reported the end of a
// task. The caller holds mu.
func (c *Cell) abandonOverduePoll(now time.Time, rs *runnerState) {
	if !c.isLosingResponses(now) || now.Sub(rs.pollSentAt) < minPollTime {
		return
	}
	for r := range rs.runs {
		if c.isOverdue(now, r) {
			rs.abandonPoll()
			return
		}
	}
}

// abandonPoll ends the poll in flight of a runner, if any. The caller holds mu.
func (rs *runnerState) abandonPoll() {
	if rs.cancelPoll != nil {
		rs.cancelPoll()
		rs.cancelPoll, rs.pollAbandoned = nil, true
	}
}

// isOverdue reports whether a run should have ended. The caller holds mu.
func (c *Cell) isOverdue(now time.Time, r *run) bool {
	if stopped := r.stop.confirmedAt; !stopped.IsZero() {
		// Without a report the task can't start elsewhere: the run may have been done before the stop.
		return now.Sub(stopped) > overdueSlack
	}
	def := r.unit.def()
	if def.LongRunning || def.Estimated <= 0 || r.phase != runRunning || r.speed < fullSpeed {
		return false
	}
	// The learned slowdown of the runner does not count: it grows because ends are seen late.
	return now.Sub(r.startedAt) > time.Duration(overdueFactor*float64(def.Estimated))+overdueSlack
}

// beginPoll returns the context of a poll, which abandonOverduePoll may end.
func (c *Cell) beginPoll(ctx context.Context, rs *runnerState, sent time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	rs.pollSentAt, rs.cancelPoll, rs.pollAbandoned = sent, cancel, false
	return ctx, cancel
}

// endPoll reports whether the poll of a runner was abandoned and does not count as failed. The next one returns at once and extends no
// lease. A runner that has not responded for as long as a poll takes to fail is unresponsive, also if its polls were abandoned.
func (c *Cell) endPoll(rs *runnerState) (abandoned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rs.cancelPoll = nil
	rs.pollAtOnce = rs.pollAbandoned
	return rs.pollAbandoned && time.Since(rs.lastResponseAt) < reachableTimeout
}
