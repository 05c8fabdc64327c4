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
	// holdWait is how long a runner waits for an end before it answers; 2 s is the platform's maximum. Each call is
	// priced, so it is the maximum.
	holdWait = 2 * time.Second
	// harmedWait replaces holdWait while a serving task is over its latency target.
	harmedWait = 500 * time.Millisecond
	// ackDelay spaces two looks at a runner, so that one look shows the ends of several tasks, and gives the ends that
	// were seen the time to become durable.
	ackDelay = 30 * time.Millisecond
	// holdRetry is the pause after a failed look.
	holdRetry = 150 * time.Millisecond
	// reachTimeout is how long after the last answer a runner still gets new tasks. It is longer than one look.
	reachTimeout = holdWait + time.Second
	// clockDrift is how much slower than ours a runner's clock may be; the platform states 2%.
	clockDrift = 0.03
	// leaseSlack covers the time between a runner's reading of its clock and our reading of ours.
	leaseSlack = 250 * time.Millisecond
)

type runPhase uint8

const (
	// runStarting waits for the answer to the start order.
	runStarting runPhase = iota
	runRunning
	// runUnsettled has a start order without an answer.
	runUnsettled
	// runStopping has been ordered to stop.
	runStopping
)

// run is one start of a task of a unit. It exists until it has surely ended or can never begin.
type run struct {
	unit   *unit
	member int
	number int
	host   *host
	phase  runPhase
	// confirmedAt is when the runner's confirmation arrived; reports of looks sent later list the run or its end.
	confirmedAt time.Time
	startedAt   time.Time
	percent     int
	progressAt  time.Time // when the progress last changed
	figure      float64
	hasFigure   bool
	stopping    bool // a goroutine sends stop orders
	stopReason  string
	// speed is the share at which a task that fills may work, in percent, as last ordered.
	speed int
	// overSince is when a serving task was first seen over its latency target; zero if it was not in the last report.
	overSince time.Time
	// pausedSince is when the speed was set to 0; zero while it is not.
	pausedSince time.Time
}

func (r *run) id() workload.TaskID { return r.unit.task(r.member) }

// host is a runner as the cell's owner sees it.
type host struct {
	info    runner.Info
	present bool // in service discovery
	runs    map[*run]bool
	place   placement.Host

	clock      time.Duration // the runner's clock at clockAt
	clockAt    time.Time
	born       int64
	leaseEnd   time.Time // by our clock, when everything on it has surely ended if nothing is sent
	seenAt     time.Time // last answer to a look
	reportSent time.Time // when the newest applied look was sent
	synced     bool      // one look was answered under this ownership
	namedGone  bool      // the durable ownership row names it as gone
	failing    bool      // the last look failed
	processed  int64     // number of the last end that was taken into the jobs' state
	acked      int64     // number of the last end whose effect is durable
	// roomUntil keeps tasks away for a while after the runner refused one for want of room.
	roomUntil time.Time
	// backoffUntil keeps tasks away from a runner that refused or did not answer.
	backoffUntil time.Time
	unanswered   int // start orders in a row without an answer
	foreign      int // listed runs that belong to no job of the cell
	health       health
	stop         context.CancelFunc
	looks        chan struct{} // wakes the look loop
}

func (h *host) target() runner.Target { return runner.Target{Addr: h.info.Addr, ID: h.info.ID} }

// SetRunner tells the cell what service discovery says about one of its runners; present is false once it is gone.
func (c *Cell) SetRunner(ctx context.Context, info runner.Info, present bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.runners[info.ID]
	if h == nil {
		if !present {
			return
		}
		h = &host{runs: map[*run]bool{}, looks: make(chan struct{}, 1)}
		h.place = placement.Host{ID: info.ID, Slowdown: 1}
		c.runners[info.ID] = h
		c.runnerAddedAt = time.Now()
		var hostCtx context.Context
		hostCtx, h.stop = context.WithCancel(ctx)
		h.info = info
		if c.gone[info.ID] {
			// No task is started there before the ownership row no longer names it as gone.
			delete(c.gone, info.ID)
			h.namedGone, c.urgent = true, true
			kick(c.flushKick)
		}
		c.work.Go(func() { c.lookLoop(hostCtx, h) })
	}
	if h.present != present || h.info.Draining != info.Draining {
		c.cfg.Log.WithFields(logrus.Fields{"runner": info.ID, "present": present, "draining": info.Draining,
			"domain": info.Domain}).Info("runner changed")
	}
	h.present = present
	if present {
		if h.info.Born != 0 && info.Born > h.info.Born && h.born != 0 && info.Born > h.born {
			c.rebornRunner(h, info.Born)
		}
		h.info = info
	}
	kick(c.planKick)
}

// drainInterval is how often tasks on draining runners are looked at.
const drainInterval = 300 * time.Millisecond

// leaveDraining stops lasting tasks on draining runners that have room elsewhere, where they start again at once. Those
// without room go on until the runner leaves. The caller holds mu.
func (c *Cell) leaveDraining(now time.Time) {
	if now.Sub(c.drainedAt) < drainInterval {
		return
	}
	c.drainedAt = now
	var views []*hostView
	for _, h := range c.runners {
		if !h.info.Draining {
			continue
		}
		for r := range h.runs {
			if !r.unit.def().LongRunning || r.stopping || r.unit.size > 1 {
				continue
			}
			if views == nil {
				views = c.hosts(now)
			}
			request := &placement.Request{Step: r.unit.def(), OnHost: func(id string) int { return r.unit.stepState().onRunner[id] }}
			if best := placement.Pick(request, c.serviceHosts(c.serviceOf(r.unit.job), views)); best != nil {
				reserve(best, request)
				c.stopRun(r, "runner is draining")
			}
		}
	}
}

// lookLoop asks the runner what runs and what ended, one call after another, and extends its lease.
func (c *Cell) lookLoop(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		order, ok := c.nextLook(h)
		if !ok {
			if !wait.For(ctx, holdRetry) {
				return
			}
			continue
		}
		sent := time.Now()
		report, err := c.cfg.Runners.Hold(ctx, h.target(), order)
		if ctx.Err() != nil {
			return
		}
		pause := c.applyLook(h, sent, report, err)
		if c.forget(h) {
			return
		}
		if pause > 0 && !wait.For(ctx, pause) {
			return
		}
	}
}

// forget drops a runner that is gone and has nothing left.
func (c *Cell) forget(h *host) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.present || len(h.runs) > 0 || time.Now().Before(h.leaseEnd) {
		return false
	}
	if h.synced && !h.failing {
		// It answers although service discovery does not list it.
		return false
	}
	delete(c.runners, h.info.ID)
	delete(c.unresolved, h.info.ID)
	c.gone[h.info.ID] = true
	return true
}

func (c *Cell) nextLook(h *host) (runner.Hold, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.mayOrder(now) {
		return runner.Hold{}, false
	}
	order := runner.Hold{Token: c.epoch, Acked: h.acked}
	if h.synced && !h.failing {
		// A look without an answer may still extend the lease, so a runner that does not answer gets none that could.
		order.Deadline = c.leaseDeadline(now, h)
		order.Wait = holdWait
		if h.harmed() {
			order.Wait = harmedWait
		}
	}
	c.cfg.Metrics.looks.Inc()
	return order, true
}

// harmed reports whether a serving task was over its target in the last report while others fill. The caller holds mu.
func (h *host) harmed() bool {
	over, fills := false, false
	for r := range h.runs {
		over = over || !r.overSince.IsZero()
		fills = fills || r.unit.def().Fills && r.speed > 0
	}
	return over && fills
}

// leaseDeadline returns the end of the lease on the runner's clock and notes when it ends by ours. The caller holds mu.
func (c *Cell) leaseDeadline(now time.Time, h *host) time.Duration {
	end := c.leaseOver(now)
	if end.After(h.leaseEnd) {
		h.leaseEnd = end
	}
	return h.clock + now.Sub(h.clockAt) + c.cfg.Lease
}

// applyLook takes the answer to a look into the state and returns how long to wait before the next look.
func (c *Cell) applyLook(h *host, sent time.Time, report runner.Report, err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if err != nil {
		return c.lookFailed(now, h, err)
	}
	if report.Born != 0 && report.Born < h.born {
		// The answer of an earlier process arrived late.
		return 0
	}
	if h.failing {
		h.failing = false
		c.cfg.Log.WithFields(logrus.Fields{"runner": h.info.ID, "silent_ms": now.Sub(h.seenAt).Milliseconds()}).Info("runner answers again")
	}
	h.seenAt = now
	h.clock, h.clockAt = report.Clock, now
	if sent.Before(h.reportSent) {
		return 0
	}
	h.reportSent = sent
	if report.Born != 0 && h.born != 0 && report.Born != h.born {
		c.rebornRunner(h, report.Born)
	}
	if report.Born != 0 {
		h.born = report.Born
	}
	first := !h.synced
	h.synced = true
	ends := c.applyEnds(now, h, report.Ended)
	c.applyRunning(now, h, sent, report.Running)
	if first {
		delete(c.unresolved, h.info.ID)
		kick(c.planKick)
		return 0
	}
	if ends > 0 {
		kick(c.planKick)
		return ackDelay
	}
	if len(report.Ended) > 0 {
		// Ends that are not durable yet are listed again at once.
		return ackDelay
	}
	return 0
}

func (c *Cell) lookFailed(now time.Time, h *host, err error) time.Duration {
	switch runner.ReasonOf(err) {
	case runner.ReasonFenced:
		c.loseOwnership("a runner has seen a higher token")
		return holdRetry
	case runner.ReasonIncarnation:
		c.loseRuns(now, h, "another incarnation answers")
		h.leaseEnd = now
		delete(c.unresolved, h.info.ID)
	}
	if !h.failing {
		h.failing = true
		c.cfg.Log.WithFields(logrus.Fields{"runner": h.info.ID, "error": err.Error(), "runs": len(h.runs)}).Warn("runner does not answer")
	}
	return holdRetry
}

// rebornRunner handles a process that started again under the same ID: its numbers and its clock start anew. Which runs
// are lost only its list can tell, because starts may have reached the new process already. The caller holds mu.
func (c *Cell) rebornRunner(h *host, born int64) {
	c.cfg.Log.WithFields(logrus.Fields{"runner": h.info.ID, "born": born, "runs": len(h.runs)}).Warn("runner started again")
	h.born = born
	h.processed, h.acked = 0, 0
	h.synced = false
}

// loseRuns takes runs as ended that the runner surely doesn't have. The caller holds mu.
func (c *Cell) loseRuns(now time.Time, h *host, why string) {
	for r := range h.runs {
		if r.phase == runStarting || r.phase == runUnsettled {
			// The order may still arrive at the new incarnation; it is settled by a stop.
			continue
		}
		c.endRun(now, r, runner.EndLapsed, "", why)
	}
}

// applyEnds takes ends that are new into the jobs' state. The caller holds mu.
func (c *Cell) applyEnds(now time.Time, h *host, ended []runner.Ended) int {
	count := 0
	for _, e := range ended {
		if e.Number <= h.processed {
			continue
		}
		h.processed = e.Number
		count++
		c.cfg.Metrics.ends.Inc()
		c.applyEnd(now, h, e)
	}
	if count > 0 {
		kick(c.flushKick)
	}
	return count
}

func (c *Cell) applyEnd(now time.Time, h *host, e runner.Ended) {
	j := c.jobs[e.Task.Job]
	if j == nil || j.state.Terminal() {
		c.dropRun(h, e.Task, e.Run)
		return
	}
	u := j.unitOf(e.Task)
	if u == nil {
		return
	}
	u.run = max(u.run, e.Run)
	for _, r := range u.runs {
		if r.host == h && r.number == e.Run && r.id() == e.Task {
			c.endRun(now, r, e.How, e.Checkpoint, "")
			return
		}
	}
	// The run is not known here: it was started by an earlier owner, or was taken as lost.
	if u.phase == phaseDone {
		return
	}
	switch e.How {
	case runner.EndDone:
		c.unitDone(now, u)
	case runner.EndFailed:
		if !u.noteFailure(e.Run) {
			return
		}
		c.unitFailed(now, u, h)
	}
	if e.Checkpoint != "" && u.phase != phaseDone {
		u.checkpoint = e.Checkpoint
	}
	c.markDirty(j)
}

// dropRun forgets a run of a job that ended. The caller holds mu.
func (c *Cell) dropRun(h *host, id workload.TaskID, number int) {
	for r := range h.runs {
		if r.number == number && r.id() == id {
			c.detach(r)
		}
	}
}

// detach removes a run that surely does not exist any more. The caller holds mu.
func (c *Cell) detach(r *run) {
	if !r.host.runs[r] {
		return
	}
	delete(r.host.runs, r)
	for i, other := range r.unit.runs {
		if other == r {
			r.unit.runs = append(r.unit.runs[:i], r.unit.runs[i+1:]...)
			break
		}
	}
	if occ := r.unit.job.occs[r.unit.occ]; occ != nil {
		occ.steps[r.unit.step].onRunner[r.host.info.ID]--
	}
	kick(c.planKick)
}

// endRun handles the end of a known run. The caller holds mu.
func (c *Cell) endRun(now time.Time, r *run, how runner.How, checkpoint, why string) {
	u, h := r.unit, r.host
	c.detach(r)
	if u.phase == phaseDone || u.job.state.Terminal() {
		return
	}
	if checkpoint != "" {
		u.checkpoint = checkpoint
	}
	switch how {
	case runner.EndDone:
		h.health.succeeded(now, r)
		if u.def().LongRunning {
			break
		}
		c.unitDone(now, u)
		return
	case runner.EndFailed:
		h.health.failed(now, r)
		u.noteFailure(r.number)
		c.cfg.Metrics.failures.Inc()
		if c.unitFailed(now, u, h) {
			return
		}
	default:
		if why == "" {
			why = string(how)
		}
		c.cfg.Log.WithFields(logrus.Fields{"request": u.job.def.ID, "task": r.id().String(), "run": r.number,
			"runner": h.info.ID, "why": why, "stop": r.stopReason}).Info("run ended early")
	}
	if len(u.runs) == 0 {
		c.makeReady(u)
	}
}

// unitDone marks a unit as done and unblocks what waits for it. The caller holds mu.
func (c *Cell) unitDone(now time.Time, u *unit) {
	if u.phase == phaseDone || u.def().LongRunning {
		return
	}
	u.phase = phaseDone
	j := u.job
	c.noteStarted(j)
	for _, r := range u.runs {
		if u.def().Gang {
			continue
		}
		c.stopRun(r, "another run of the task is done")
	}
	if u.def().Gang {
		// One end represents all members.
		for len(u.runs) > 0 {
			c.detach(u.runs[0])
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
		c.unblock(occ, u.step)
		return
	}
	j.doneOccs[occ.number] = true
	if len(j.doneOccs) == j.def.Occurrences {
		c.finish(now, j, workload.StateCompleted, "all tasks are done")
	}
}

func (c *Cell) unblock(occ *occurrence, done int) {
	for i := range occ.steps {
		step := &occ.steps[i]
		for _, before := range step.units[0].def().After {
			if before == done {
				step.blocked--
				break
			}
		}
		if step.blocked > 0 {
			continue
		}
		for _, u := range step.units {
			if u.phase == phaseBlocked {
				c.makeReady(u)
			}
		}
	}
}

// unitFailed counts a failed run and reports whether the job failed by it. The caller holds mu.
func (c *Cell) unitFailed(now time.Time, u *unit, h *host) bool {
	u.fails++
	u.avoid = h.info.ID
	c.markDirty(u.job)
	if u.def().LongRunning || u.fails < u.job.def.Policy.MaxAttempts {
		return false
	}
	c.finish(now, u.job, workload.StateFailed, "task "+u.task(0).String()+" used all attempts")
	return true
}

func (c *Cell) noteStarted(j *jobState) {
	if !j.started {
		c.uncountPending(j)
		j.started = true
		c.markDirty(j)
	}
}

// applyRunning compares the runs that a runner lists with those that the cell knows. The caller holds mu.
func (c *Cell) applyRunning(now time.Time, h *host, sent time.Time, running []runner.Running) {
	listed := make(map[*run]bool, len(running))
	h.foreign = 0
	for i := range running {
		if r := c.matchRunning(now, h, &running[i]); r != nil {
			listed[r] = true
		}
	}
	for r := range h.runs {
		if !listed[r] && (r.phase == runRunning || r.phase == runStopping) && r.confirmedAt.Before(sent) {
			c.endRun(now, r, runner.EndLapsed, "", "runner does not list it")
		}
	}
	c.judgeInterference(now, h)
}

// matchRunning finds or adopts the run that a runner lists, and stops one that must not run. The caller holds mu.
func (c *Cell) matchRunning(now time.Time, h *host, listed *runner.Running) *run {
	j := c.jobs[listed.Task.Job]
	var u *unit
	if j != nil && !j.state.Terminal() {
		u = j.unitOf(listed.Task)
	}
	for r := range h.runs {
		if r.number == listed.Run && r.id() == listed.Task {
			c.confirmRun(now, r, listed)
			return r
		}
	}
	if u == nil || u.phase == phaseDone || u.run > listed.Run && len(u.runs) > 0 {
		h.foreign++
		c.stopForeign(h, listed.Task, listed.Run)
		return nil
	}
	r := &run{unit: u, member: listed.Task.Index - u.first, number: listed.Run, host: h, startedAt: now, speed: fullSpeed}
	c.attach(r)
	c.confirmRun(now, r, listed)
	c.cfg.Log.WithFields(logrus.Fields{"request": j.def.ID, "task": listed.Task.String(), "run": listed.Run, "runner": h.info.ID}).Info("took over a run")
	return r
}

// attach makes a run part of the state. The caller holds mu.
func (c *Cell) attach(r *run) {
	u := r.unit
	u.run = max(u.run, r.number)
	u.runs = append(u.runs, r)
	r.host.runs[r] = true
	u.stepState().onRunner[r.host.info.ID]++
	if u.phase == phaseReady {
		c.unqueue(u)
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
	if r.phase == runStarting || r.phase == runUnsettled {
		if r.phase == runUnsettled {
			c.cfg.Log.WithFields(logrus.Fields{"task": r.id().String(), "run": r.number, "runner": r.host.info.ID}).Info("unanswered start was carried out")
		}
		r.phase = runRunning
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	c.noteStarted(r.unit.job)
	if listed.Checkpoint != "" {
		r.unit.checkpoint = listed.Checkpoint
	}
	c.noteProgress(now, r, listed.Percent)
	r.percent, r.figure, r.hasFigure = listed.Percent, listed.Figure, listed.HasFigure
}

// tickRunner ends what lapsed on a runner that can't be reached. The caller holds mu.
func (c *Cell) tickRunner(now time.Time, h *host) {
	c.movePaused(now, h)
	if len(h.runs) == 0 || now.Before(h.leaseEnd) || !h.failing {
		return
	}
	for r := range h.runs {
		if r.phase != runStarting {
			c.endRun(now, r, runner.EndLapsed, "", "lease ended on an unreachable runner")
		}
	}
}

// reachable reports whether the runner answers, so that it may get new tasks. The caller holds mu.
func (h *host) reachable(now time.Time) bool {
	return h.synced && !h.failing && now.Sub(h.seenAt) < reachTimeout && !now.Before(h.backoffUntil)
}

// errNotOwner means that another node owns the cell.
var errNotOwner = errors.New("cell is owned by another node")
