package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/placement"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

const (
	// holdWait is how long a runner waits for a run to end before it responds to a poll. It is the platform's maximum of
	// 2 s, because each call is priced.
	holdWait = 2 * time.Second
	// overTargetHoldWait replaces holdWait while a serving task exceeds its latency target.
	overTargetHoldWait = 500 * time.Millisecond
	// listedSilentHoldWait replaces holdWait for a runner that responds again and whose lease may be extended after the next commit.
	listedSilentHoldWait = 200 * time.Millisecond
	// ackDelay is the pause between two polls after runs have ended. It lets one poll report several ends, and gives the
	// reported ends time to become durable.
	ackDelay = 30 * time.Millisecond
	// maxAckDelayDoublings bounds how often ackDelay is doubled while reports contain only ends that are known already. It
	// keeps the polls of a runner below five a second while the store is away.
	maxAckDelayDoublings = 3
	// pollRetry is the pause after a failed poll.
	pollRetry = 150 * time.Millisecond
	// reachableTimeout is how long after its last response a runner still gets new tasks. It is longer than one poll.
	reachableTimeout = holdWait + time.Second
	// clockDrift is how much slower than ours a runner's clock may be: the platform's 2% plus a margin.
	clockDrift = 0.03
	// leaseSlack covers the time between the runner's reading of its clock and our reading of ours.
	leaseSlack = 250 * time.Millisecond
)

// runnerState is the cell owner's state of a runner.
type runnerState struct {
	info      runner.Info
	present   bool // listed by service discovery
	runs      map[*run]bool
	candidate placement.Candidate

	clock             time.Duration // the runner's clock at clockAt
	clockAt           time.Time
	born              int64         // birth time of the process that responded last; 0 if unknown
	bornSeenAt        time.Time     // when born was learned
	token             int64         // fencing token of commands to the runner
	formerToken       int64         // the highest token of commands that an earlier process may have been sent; 0 if there was none
	fenced            bool          // the present process has responded to a token above formerToken, so it executes none of those commands
	addr              string        // address at which the process that responded last was reached
	leaseEnd          time.Time     // by our clock, when every run on it has ended if it receives no further command
	deadline          time.Duration // the latest end of a lease that a command to this process carried, on the runner's clock
	extendedByStart   bool          // a start has extended the lease, and the runner has not responded since
	lastResponseAt    time.Time     // last response to a poll
	appliedPollSentAt time.Time     // send time of the newest poll whose report was applied
	synced            bool          // a poll has succeeded since this owner took over or the runner restarted
	listedTerminated  bool          // the durable ownership row may list it as terminated, so it gets no tasks
	pollFailing       bool          // the last poll failed
	processed         int64         // number of the last end that was applied to the jobs' state
	acked             int64         // number of the last end whose effect is durable
	unackedEnds       []endOfJob    // ends that are not acknowledged, in order
	// noCapacityUntil excludes the runner from placement after it refused a task for lack of capacity.
	noCapacityUntil time.Time
	// backoffUntil excludes the runner from placement after a start was refused, not sent or got no response.
	backoffUntil  time.Time
	unknownStarts int // consecutive starts with unknown outcome
	// repeatedReports counts consecutive reports that contained only ends that were known already.
	repeatedReports int
	// foreign counts the reported runs that must not run: no such task, already done, or replaced by a newer run. While
	// it is above 0, the runner gets no new tasks.
	foreign int
	// lossAt is when a call last got no response.
	lossAt time.Time
	// pollSentAt is when the poll in flight was sent, and cancelPoll ends it; nil if there is none. pollAbandoned is set once it has been
	// ended so. pollAtOnce is then set until the next poll has ended.
	pollSentAt                time.Time
	cancelPoll                context.CancelFunc
	pollAbandoned, pollAtOnce bool
	health                    health
	// extra holds runs that are not part of the state and count towards the caps of their organisations.
	extra []extraRun
	stop  context.CancelFunc // ends the poll loop
}

func (rs *runnerState) target() runner.Target {
	return runner.Target{Addr: rs.info.Addr, ID: rs.info.ID}
}

// SetRunner updates a runner of the cell from service discovery. present is false once the runner is no longer listed. An
// unlisted runner that may run tasks of an earlier owner is polled too if its address is known: it may be cut off from
// service discovery only.
func (c *Cell) SetRunner(ctx context.Context, info runner.Info, present bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rs := c.runners[info.ID]
	if rs == nil {
		if c.stopping {
			return
		}
		if _, unresolved := c.unresolved[info.ID]; !present && (!unresolved || info.Addr == "") {
			return
		}
		rs = &runnerState{runs: map[*run]bool{}, token: c.epoch}
		rs.candidate = placement.Candidate{ID: info.ID, Slowdown: 1}
		c.runners[info.ID] = rs
		c.runnerAddedAt = time.Now()
		var pollCtx context.Context
		pollCtx, rs.stop = context.WithCancel(ctx)
		rs.info = info
		rs.listedTerminated = c.terminated[info.ID]
		c.background.Go(func() { c.pollLoop(pollCtx, rs) })
	}
	if present {
		c.awaitLateLease(time.Now(), info)
	}
	if rs.present != present || rs.info.Draining != info.Draining {
		c.cfg.Log.WithFields(logrus.Fields{"runner": info.ID, "present": present, "draining": info.Draining,
			"domain": info.Domain}).Info("runner changed")
	}
	now := time.Now()
	wasClosed := rs.isClosed(now)
	rs.present = present
	if present {
		if rs.info.Born != 0 && info.Born > rs.info.Born && rs.born != 0 && info.Born > rs.born {
			c.handleRestart(rs, info.Born)
			rs.born, rs.bornSeenAt = info.Born, time.Now()
		}
		rs.info = info
	}
	if rs.synced && rs.isClosed(now) != wasClosed {
		// A successor learns from the next row what may run there, or the runner gets tasks again after it.
		wake(c.flushWake)
	}
	wake(c.planWake)
}

// drainInterval is how often draining runners are checked.
const drainInterval = 300 * time.Millisecond

// evictFromDraining stops long-running tasks on draining runners if another runner has capacity for them; they restart
// there immediately. The others keep running until the runner leaves. The caller holds mu.
func (c *Cell) evictFromDraining(now time.Time) {
	if now.Sub(c.drainCheckedAt) < drainInterval {
		return
	}
	c.drainCheckedAt = now
	var views []*runnerView
	for _, rs := range c.runners {
		if !rs.info.Draining {
			continue
		}
		for r := range rs.runs {
			if !r.unit.def().LongRunning || r.stop.wanted || r.unit.size > 1 || c.isOverCap(r.unit.job) {
				continue
			}
			if views == nil {
				views = c.runnerViews(now)
			}
			request := &placement.Request{Step: r.unit.def(), OnRunner: func(id string) int { return r.unit.stepState().onRunner[id] }}
			if best := placement.Pick(request, serviceCandidates(c.serviceOf(r.unit.job), views)); best != nil {
				recordPlacement(best, request)
				c.stopRun(r, "runner is draining")
			}
		}
	}
}

// pollLoop polls a runner for its running and ended tasks, one call after another. The polls extend its lease as long as it
// responds.
func (c *Cell) pollLoop(ctx context.Context, rs *runnerState) {
	for ctx.Err() == nil {
		request, target, ok := c.nextPoll(rs)
		if !ok {
			if !wait.For(ctx, pollRetry) {
				return
			}
			continue
		}
		sent := time.Now()
		pollCtx, cancel := c.beginPoll(ctx, rs, sent)
		report, err := c.cfg.Runners.Hold(pollCtx, target, request)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if abandoned := c.endPoll(rs); abandoned && err != nil {
			continue
		}
		pause := c.applyReport(rs, sent, target, request, report, err)
		if c.removeTerminated(rs) {
			return
		}
		if pause > 0 && !wait.For(ctx, pause) {
			return
		}
	}
}

// removeTerminated removes a runner that is no longer listed, has no runs left, does not respond and whose lease has
// expired. It reports whether it did.
func (c *Cell) removeTerminated(rs *runnerState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, unresolved := c.unresolved[rs.info.ID]; unresolved {
		return false
	}
	if rs.present || len(rs.runs) > 0 || time.Now().Before(rs.leaseEnd) {
		return false
	}
	if rs.synced && !rs.pollFailing {
		// It still responds although service discovery does not list it.
		return false
	}
	delete(c.runners, rs.info.ID)
	c.dropExtras(rs)
	c.terminated[rs.info.ID] = true
	return true
}

func (c *Cell) nextPoll(rs *runnerState) (runner.Hold, runner.Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.lost {
		return runner.Hold{}, runner.Target{}, false
	}
	request := runner.Hold{Token: c.tokenFor(rs)}
	// A poll without a response may still extend the lease, so polls of an unresponsive runner don't extend it. Nor do they
	// acknowledge ends, because the runner may have restarted and count its ends anew. The same holds after a poll that was given up.
	if rs.synced && !rs.pollFailing && !rs.pollAtOnce {
		request.AckedEnd = rs.acked
		request.Wait = holdWait
		switch {
		case rs.awaitsFence() && request.Token > rs.formerToken:
			request.Wait = 0
		case c.listedSilent[rs.info.ID]:
			request.Wait = listedSilentHoldWait
		case c.mayCommand(now):
			request.Deadline = c.leaseDeadline(now, rs)
		}
		if rs.awaitsFence() {
			// The token is raised with the next commit.
			request.Wait = min(request.Wait, outageHoldWait)
		}
		if rs.needsFastPoll() {
			request.Wait = min(request.Wait, overTargetHoldWait)
		}
		if c.awaitsConfirmation(now) {
			request.Wait = min(request.Wait, outageHoldWait)
		}
	}
	c.cfg.Metrics.polls.Inc()
	return request, rs.target(), true
}

// needsFastPoll reports whether a serving task was over its target in the last report while best-effort tasks run. The
// caller holds mu.
func (rs *runnerState) needsFastPoll() bool {
	overTarget, bestEffort := false, false
	for r := range rs.runs {
		overTarget = overTarget || !r.overTargetSince.IsZero()
		bestEffort = bestEffort || r.unit.def().BestEffort && r.speed > 0
	}
	return overTarget && bestEffort
}

// leaseDeadline returns the end of a lease on the runner's clock and records when it ends by ours. The lease is shorter if
// the last successful write was long ago. The caller holds mu and has checked mayCommand.
func (c *Cell) leaseDeadline(now time.Time, rs *runnerState) time.Duration {
	lease := min(c.cfg.Lease, c.leaseLimit()-c.sinceCommit(now))
	if end := leaseExpiry(now, lease); end.After(rs.leaseEnd) {
		rs.leaseEnd = end
	}
	deadline := rs.clock + now.Sub(rs.clockAt) + lease
	rs.deadline = max(rs.deadline, deadline)
	return deadline
}

// startDeadline returns the end of the lease for a start command. A further start does not extend the lease before the runner has
// responded: the runs of a runner that is gone would wait longer for the end of its lease. The caller holds mu and has checked
// mayCommand.
func (c *Cell) startDeadline(now time.Time, rs *runnerState) time.Duration {
	if left := rs.deadline - rs.clock - now.Sub(rs.clockAt); rs.extendedByStart && left >= minLease {
		return rs.deadline
	}
	rs.extendedByStart = true
	return c.leaseDeadline(now, rs)
}

// hasOpenStarts reports whether a start command to the runner has no confirmed outcome. It may reach another process, whose lease
// the owner does not know yet. The caller holds mu.
func (rs *runnerState) hasOpenStarts() bool {
	for r := range rs.runs {
		if r.phase == runStarting || r.phase == runStartUnknown {
			return true
		}
	}
	return false
}

// recordGranted records the lease that a runner has granted. The process that responded may have started later than the one whose
// clock the deadline was computed from, and its clock is then behind, so the lease ends later than leaseDeadline has
// recorded. The caller holds mu.
func (c *Cell) recordGranted(now time.Time, rs *runnerState, deadline, clock time.Duration) {
	granted := min(deadline-clock, c.longestLease())
	c.extendLease(now, rs, leaseExpiry(now, granted))
}

// applyReport applies the response to a poll and returns the pause before the next poll.
func (c *Cell) applyReport(rs *runnerState, sent time.Time, target runner.Target, request runner.Hold, report runner.Report, err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if err != nil {
		return c.pollFailed(now, rs, target, request.Token, err)
	}
	if request.Deadline > 0 && report.Clock < rs.clock {
		c.recordGranted(now, rs, request.Deadline, report.Clock)
	}
	if rs.isFromEarlierProcess(sent, report.Born) {
		return 0
	}
	if rs.pollFailing {
		rs.pollFailing = false
		c.cfg.Log.WithFields(logrus.Fields{"runner": rs.info.ID, "silent_ms": now.Sub(rs.lastResponseAt).Milliseconds()}).Info("polls of the runner succeed again")
	}
	rs.lastResponseAt = now
	rs.extendedByStart = false
	rs.clock, rs.clockAt = report.Clock, now
	if c.listedClosed[rs.info.ID] && !rs.isClosed(now) {
		wake(c.flushWake)
	}
	if c.terminated[rs.info.ID] || c.listedSilent[rs.info.ID] {
		// It gets tasks and leases again once a durable ownership row no longer lists it.
		delete(c.terminated, rs.info.ID)
		c.urgent = true
		wake(c.flushWake)
	}
	if sent.Before(rs.appliedPollSentAt) {
		return 0
	}
	rs.appliedPollSentAt = sent
	if report.Born != 0 && report.Born != rs.born {
		if rs.born != 0 {
			c.handleRestart(rs, report.Born)
		}
		rs.born, rs.bornSeenAt = report.Born, now
	}
	rs.addr = target.Addr
	firstReport := !rs.synced
	rs.synced = true
	if firstReport {
		c.extendLease(now, rs, earlierOf(c.inheritedLongLeases[rs.info.ID], leaseExpiry(now, c.longestLease())))
	}
	if !rs.fenced && request.Token > rs.formerToken {
		c.recordFenced(now, rs)
	}
	ends := c.applyEnds(now, rs, report.Ended)
	c.applyRunning(now, rs, sent, report)
	if firstReport {
		c.resolve(now, rs.info.ID)
		wake(c.planWake)
		return 0
	}
	if ends > 0 {
		rs.repeatedReports = 0
		wake(c.planWake)
		return ackDelay
	}
	if len(report.Ended) > 0 {
		// Ends that are not yet durable are reported again immediately.
		pause := ackDelay << min(rs.repeatedReports, maxAckDelayDoublings)
		rs.repeatedReports++
		return pause
	}
	rs.repeatedReports = 0
	return 0
}

func (c *Cell) pollFailed(now time.Time, rs *runnerState, target runner.Target, token int64, err error) time.Duration {
	switch runner.ReasonOf(err) {
	case runner.ReasonFenced:
		c.recordRefusedToken(rs, token)
		return pollRetry
	case runner.ReasonIncarnation:
		if rs.hasProcessAt(target.Addr) {
			c.loseRuns(now, rs, "another incarnation answers")
			c.dropExtras(rs)
			if now.Before(rs.leaseEnd) {
				rs.leaseEnd = now
			}
			c.resolve(now, rs.info.ID)
		}
	}
	if runner.ReasonOf(err) == "" {
		c.recordLoss(now, rs)
	}
	if !rs.pollFailing {
		rs.pollFailing = true
		c.cfg.Log.WithFields(logrus.Fields{"runner": rs.info.ID, "error": err.Error(), "runs": len(rs.runs)}).Warn("poll of a runner failed")
	}
	return pollRetry
}

// hasProcessAt reports whether the runner's present process is at an address, as far as is known. Only then does the response of another incarnation
// there show that the process has ended: a runner may start again at another address, and the assignment of its ID to a cell keeps the first
// one. The caller holds mu.
func (rs *runnerState) hasProcessAt(addr string) bool {
	if rs.addr != "" {
		return rs.addr == addr
	}
	return rs.present && rs.info.Addr == addr
}

// handleRestart handles a process that restarted under the same ID: its end numbers and its clock start again. Only its
// next report shows which runs are lost, because starts may already have reached the new process. The caller holds mu.
func (c *Cell) handleRestart(rs *runnerState, born int64) {
	rs.processed, rs.acked, rs.unackedEnds = 0, 0, nil
	rs.synced = false
	rs.deadline = 0
	// A poll of the former process may be without a response for seconds.
	rs.abandonPoll()
	rs.addr = ""
	rs.fenced, rs.formerToken = false, rs.token
	if c.tokenFor(rs) == rs.formerToken {
		c.urgent = true
		wake(c.flushWake)
	}
	c.cfg.Log.WithFields(logrus.Fields{"runner": rs.info.ID, "born": born, "runs": len(rs.runs), "former_token": rs.formerToken, "token": rs.token,
		"lease_left_ms": time.Until(rs.leaseEnd).Milliseconds()}).Warn("runner restarted")
	for r := range rs.runs {
		// The new process does not know of stops that the old one confirmed.
		r.stop.confirmedAt, r.stop.nextAt = time.Time{}, time.Time{}
	}
}

// isFromEarlierProcess reports whether a poll sent at the given time was answered by a process that has ended since. A
// different birth time alone does not tell: a new process has a lower one if the time of day of its VM was set back.
func (rs *runnerState) isFromEarlierProcess(sent time.Time, born int64) bool {
	return born != 0 && rs.born != 0 && born != rs.born && sent.Before(rs.bornSeenAt)
}

// loseRuns ends all runs of a terminated incarnation of a runner. Start commands in flight are included, because another
// incarnation refuses them. The caller holds mu.
func (c *Cell) loseRuns(now time.Time, rs *runnerState, why string) {
	for r := range rs.runs {
		c.loseRun(now, r, now, why)
	}
}

// applyEnds applies ends that were not applied before and returns their number. The caller holds mu.
func (c *Cell) applyEnds(now time.Time, rs *runnerState, ended []runner.Ended) int {
	count := 0
	for _, e := range ended {
		if e.Number <= rs.processed {
			continue
		}
		rs.processed = e.Number
		count++
		c.cfg.Metrics.ends.Inc()
		rs.recordEnd(e)
		c.applyEnd(now, rs, e)
	}
	if count > 0 {
		wake(c.flushWake)
	}
	return count
}

func (c *Cell) applyEnd(now time.Time, rs *runnerState, e runner.Ended) {
	j := c.jobs[e.Task.Job]
	if j == nil || j.state.Terminal() {
		c.dropRun(rs, e.Task, e.Run)
		return
	}
	u := c.reportedUnit(now, j, e.Task)
	if u == nil {
		return
	}
	u.run = max(u.run, e.Run)
	for _, r := range u.runs {
		if r.runner == rs && r.number == e.Run && r.id() == e.Task {
			c.endRun(now, r, e.Reason, e.Checkpoint, "")
			return
		}
	}
	// The run is unknown here: an earlier owner started it, or it was already recorded as lost.
	if u.phase == phaseDone {
		return
	}
	switch e.Reason {
	case runner.EndDone:
		c.unitDone(now, u)
	case runner.EndFailed:
		if !u.recordFailure(e.Run) {
			return
		}
		c.unitFailed(now, u, rs)
	}
	if e.Checkpoint != "" && u.phase != phaseDone {
		u.checkpoint = e.Checkpoint
	}
	c.markDirty(j)
}

// dropRun removes a run of a terminal job. The caller holds mu.
func (c *Cell) dropRun(rs *runnerState, id workload.TaskID, number int) {
	for r := range rs.runs {
		if r.number == number && r.id() == id {
			c.detach(r)
		}
	}
}

// detach removes a run that is confirmed not to exist any more. The caller holds mu.
func (c *Cell) detach(r *run) {
	if !r.exists() {
		return
	}
	delete(r.runner.runs, r)
	c.countRun(r.unit.job, r.unit.def(), false)
	for i, other := range r.unit.runs {
		if other == r {
			r.unit.runs = append(r.unit.runs[:i], r.unit.runs[i+1:]...)
			break
		}
	}
	if occ := r.unit.job.occs[r.unit.occ]; occ != nil {
		occ.steps[r.unit.step].onRunner[r.runner.info.ID]--
	}
	wake(c.planWake)
}

// endRun handles the end of a known run. The caller holds mu.
func (c *Cell) endRun(now time.Time, r *run, endReason runner.EndReason, checkpoint, why string) {
	u, rs := r.unit, r.runner
	c.recordWork(now, r, endReason, checkpoint)
	c.detach(r)
	if u.phase == phaseDone || u.phase == phaseRemote || u.job.state.Terminal() {
		return
	}
	if checkpoint != "" {
		u.checkpoint = checkpoint
	}
	switch endReason {
	case runner.EndDone:
		c.learnRunTime(now, r)
		rs.health.succeeded(now, r)
		c.share.pace.observe(now, r)
		if u.def().LongRunning {
			break
		}
		c.unitDone(now, u)
		return
	case runner.EndFailed:
		rs.health.failed(now, r)
		c.cfg.Metrics.failures.Inc()
		// The members of a gang share one run, which is one attempt.
		if u.recordFailure(r.number) && c.unitFailed(now, u, rs) {
			return
		}
	default:
		if why == "" {
			why = string(endReason)
		}
		c.cfg.Log.WithFields(logrus.Fields{"request": u.job.def.ID, "task": r.id().String(), "run": r.number,
			"runner": rs.info.ID, "why": why, "stop": r.stop.reason}).Info("run ended early")
	}
	if len(u.runs) == 0 {
		c.makeReady(u)
	}
}

// unitDone marks a unit as done and unblocks the steps that depend on it. The caller holds mu.
func (c *Cell) unitDone(now time.Time, u *unit) {
	if u.phase == phaseDone || u.def().LongRunning {
		return
	}
	u.phase = phaseDone
	j := u.job
	c.markStarted(j)
	for _, r := range u.runs {
		if u.def().Gang {
			continue
		}
		c.stopRun(r, "another run of the task is done")
	}
	if u.def().Gang {
		// The end of one member represents all members.
		for len(u.runs) > 0 {
			// The others may not have ended yet.
			other := u.runs[0]
			c.detach(other)
			c.addExtra(other.runner, u.job, u.step)
		}
	}
	c.markDirty(j)
	occ := j.occs[u.occ]
	step := &occ.steps[u.step]
	step.left--
	if step.left > 0 {
		return
	}
	occ.left--
	if occ.left > 0 {
		c.readyUnblocked(occ)
		return
	}
	j.doneOccs[occ.number] = true
	if len(j.doneOccs) == j.def.Occurrences {
		c.finish(now, j, workload.StateCompleted, "all tasks are done")
	}
}

// unitFailed counts a failed run and reports whether the job failed because of it. The caller holds mu.
func (c *Cell) unitFailed(now time.Time, u *unit, rs *runnerState) bool {
	u.fails++
	u.avoid = rs.info.ID
	c.markDirty(u.job)
	if u.def().LongRunning || u.fails < u.job.def.Policy.MaxAttempts {
		return false
	}
	c.finish(now, u.job, workload.StateFailed, "task "+u.task(0).String()+" used all attempts")
	return true
}

func (c *Cell) markStarted(j *jobState) {
	if !j.started {
		c.uncountPending(j)
		j.started = true
		c.markDirty(j)
	}
}

// applyRunning compares the runs that a runner reports with those that the cell has recorded. The caller holds mu.
func (c *Cell) applyRunning(now time.Time, rs *runnerState, sent time.Time, report runner.Report) {
	listed := make(map[*run]bool, len(report.Running))
	rs.foreign = 0
	c.dropExtras(rs)
	for i := range report.Running {
		if r := c.matchRunning(now, rs, &report.Running[i]); r != nil {
			listed[r] = true
		}
	}
	// The ends of unlisted runs may follow in a later report.
	endsLeftOut := len(report.Ended) >= runner.MaxReportedEnds
	for r := range rs.runs {
		if !listed[r] && !endsLeftOut && rs.fenced && r.hasEndedIfUnlisted(sent) {
			c.loseRun(now, r, now, "runner does not list it")
		}
	}
	c.controlInterference(now, rs)
}

// matchRunning finds or adopts the run that a runner reports, and stops a run that must not exist. The caller holds mu.
func (c *Cell) matchRunning(now time.Time, rs *runnerState, listed *runner.Running) *run {
	j := c.jobs[listed.Task.Job]
	var u *unit
	if j != nil && !j.state.Terminal() {
		u = c.reportedUnit(now, j, listed.Task)
	}
	for r := range rs.runs {
		if r.number == listed.Run && r.id() == listed.Task {
			c.confirmRun(now, r, listed)
			return r
		}
	}
	superseded := u != nil && u.hasNewerRun(listed.Run)
	if u == nil || u.phase == phaseDone || u.phase == phaseRemote || superseded && u.size > 1 {
		rs.foreign++
		c.addExtra(rs, j, listed.Task.Step)
		c.stopForeignRun(rs, listed.Task, listed.Run)
		return nil
	}
	r := &run{unit: u, member: listed.Task.Index - u.first, number: listed.Run, runner: rs, startedAt: now, speed: fullSpeed}
	c.attach(r)
	// The lease that an earlier owner has granted lasts at most as long as one that is granted now, unless its row lists it as long.
	c.extendLease(now, rs, leaseExpiry(now, c.cfg.Lease))
	if u.startsDurably() && u.assigned != rs.info.ID && !superseded {
		u.assigned = rs.info.ID
		c.markDirty(j)
	}
	c.confirmRun(now, r, listed)
	c.cfg.Log.WithFields(logrus.Fields{"request": j.def.ID, "task": listed.Task.String(), "run": listed.Run, "runner": rs.info.ID,
		"superseded": superseded}).Info("adopted a run")
	if superseded {
		// If the newer run is lost, the task must not start again before this one has ended.
		c.stopRun(r, "a newer run of the task exists")
	}
	return r
}

// attach adds a run to the state. The caller holds mu.
func (c *Cell) attach(r *run) {
	u := r.unit
	u.run = max(u.run, r.number)
	u.runs = append(u.runs, r)
	r.runner.runs[r] = true
	c.countRun(u.job, u.def(), true)
	u.stepState().onRunner[r.runner.info.ID]++
	u.job.ranHere = true
	switch u.phase {
	case phaseReady:
		c.unqueue(u)
	case phaseBlocked:
		c.steps.early[u.job] = true
		c.markDirty(u.job)
	}
	u.phase = phaseActive
}

func (c *Cell) unqueue(u *unit) {
	for i, other := range c.ready {
		if other == u {
			c.ready = append(c.ready[:i], c.ready[i+1:]...)
			return
		}
	}
}

func (c *Cell) confirmRun(now time.Time, r *run, listed *runner.Running) {
	if r.phase == runStarting || r.phase == runStartUnknown {
		if r.phase == runStartUnknown {
			// Only the response was lost.
			r.runner.backoffUntil, r.runner.unknownStarts = time.Time{}, 0
			c.cfg.Log.WithFields(logrus.Fields{"task": r.id().String(), "run": r.number, "runner": r.runner.info.ID}).Info("start with unknown outcome was executed")
		}
		r.phase = runRunning
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	r.unit.runConfirmed()
	c.recordStart(now, r.unit.job)
	c.markStarted(r.unit.job)
	if listed.Checkpoint != "" {
		r.unit.checkpoint = listed.Checkpoint
	}
	c.recordProgress(now, r, listed.Percent)
	r.percent, r.measurement, r.hasMeasurement = listed.Percent, listed.Measurement, listed.HasMeasurement
}

// tickRunner moves paused tasks, reconciles the runs and, once the lease of an unreachable runner has expired, ends its
// runs. The caller holds mu.
func (c *Cell) tickRunner(now time.Time, rs *runnerState) {
	c.movePaused(now, rs)
	for r := range rs.runs {
		c.reconcileRun(now, r)
	}
	c.endLostRuns(now, rs)
	c.abandonOverduePoll(now, rs)
	if now.Before(rs.leaseEnd) || !rs.pollFailing || !c.ownedAt(rs.leaseEnd) {
		return
	}
	for r := range rs.runs {
		if r.phase != runStarting && !c.mayStartLate(now, r) {
			c.loseRun(now, r, rs.leaseEnd, "lease ended on an unreachable runner")
		}
	}
	c.dropExtras(rs)
	_, unresolved := c.unresolved[rs.info.ID]
	if len(rs.runs) == 0 && !unresolved {
		// A new owner need not wait for it.
		rs.listedTerminated, c.terminated[rs.info.ID] = true, true
	}
}

// reachable reports whether the runner responds and may get new tasks. The caller holds mu.
func (rs *runnerState) reachable(now time.Time) bool {
	return rs.synced && !rs.pollFailing && now.Sub(rs.lastResponseAt) < reachableTimeout && !now.Before(rs.backoffUntil)
}

// isSilent reports whether the runner has stopped responding. Unlike reachable it allows for a runner that this owner has not heard of
// yet. The caller holds mu.
func (rs *runnerState) isSilent(now time.Time) bool {
	return rs.pollFailing || rs.synced && now.Sub(rs.lastResponseAt) >= reachableTimeout
}

// errNotOwner means that another node owns the cell.
var errNotOwner = errors.New("cell is owned by another node")
