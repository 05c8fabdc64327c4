package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/lookahead"
	"github.com/currantthread/currantthread/placement"
	"github.com/currantthread/currantthread/workload"
)

// Smaller tasks use each piece of idle processor time and of headroom that becomes free, so a large short task would wait until none of
// them is left. Runners are therefore held for such tasks: of each service, one at a time for a best-effort step whose job has had nothing running
// for holdWaitBound, and a few for steps that commit processor time and are passed over by smaller ones (reserve.go). Meanwhile other short tasks
// start there only if they should end before the step starts.

const (
	// holdWaitBound is how long a job has had nothing running before a runner is held for its best-effort tasks.
	holdWaitBound = 1 * time.Second
	// maxHoldTime bounds how long a runner is held, because tasks there may take longer than expected and serving tasks may need more.
	maxHoldTime = 4 * time.Second
	// holdRetry is the time between two searches for a runner to hold, if the first one found none.
	holdRetry = 100 * time.Millisecond
)

// hold is a runner that is held for a step.
type hold struct {
	equivClass
	runner *runnerState
	since  time.Time
	// startAt is when the step was expected to start as of since.
	startAt time.Time
	// commits is set if the tasks of the step commit processor time, and spare is what remains beside one of them when it starts, as of
	// the last plan.
	commits bool
	spare   workload.Resources
}

// holds are the held runners of a cell.
type holds struct {
	// byService holds those of each service: one for a best-effort step, more if jobs are overdue, and at most lookahead.MaxReservations in all beside it.
	byService map[string][]*hold
	// searchedAt is when no runner to hold was found for a best-effort step of the service, and reserveSearchedAt for another one.
	searchedAt, reserveSearchedAt map[string]time.Time
	// largest holds the largest waiting task of each service.
	largest map[string]largestTask
}

// countBestEffort returns the number of holds for best-effort steps of a service.
func (h *holds) countBestEffort(service string) int {
	count := 0
	for _, held := range h.byService[service] {
		if !held.commits {
			count++
		}
	}
	return count
}

// countReserved returns the number of holds for other steps of a service.
func (h *holds) countReserved(service string) int {
	return len(h.byService[service]) - h.countBestEffort(service)
}

// maxBestEffortHolds returns how many runners of a service may be held for best-effort steps when one more is sought for a unit.
func maxBestEffortHolds(service string, u *unit, views []*runnerView) int {
	if !u.overdue {
		return 1
	}
	runners, _ := serviceFree(service, views)
	return max(lookahead.MaxReservations(runners), 1)
}

// isHeld reports whether a runner is held.
func (h *holds) isHeld(rs *runnerState) bool {
	return slices.ContainsFunc(h.byService[rs.info.Service], func(held *hold) bool { return held.runner == rs })
}

// add adds a hold.
func (h *holds) add(service string, held *hold) {
	h.byService[service] = append(h.byService[service], held)
}

// updateHolds releases the runners whose steps have started, wait no more or can't start there, and holds others. The views are those of
// the plan that begins. The caller holds mu.
func (c *Cell) updateHolds(now time.Time, views []*runnerView) {
	running := map[*jobState]bool{}
	if len(c.holds.byService) > 0 || slices.ContainsFunc(c.ready, func(u *unit) bool { return u.def().BestEffort }) {
		running = runningJobs(views)
	}
	for service, held := range c.holds.byService {
		held = slices.DeleteFunc(held, func(h *hold) bool {
			why := c.releaseReason(now, h, views, running[h.job])
			if why != "" {
				c.release(now, h, why)
			}
			return why != ""
		})
		c.holds.byService[service] = held
		if len(held) == 0 {
			delete(c.holds.byService, service)
		}
	}
	for service, u := range c.waitingForHold(now, running) {
		if c.holds.countBestEffort(service) < maxBestEffortHolds(service, u, views) && now.Sub(c.holds.searchedAt[service]) >= holdRetry {
			c.holdFor(now, service, u, views)
		}
	}
	c.reserveForPassedOver(now, views)
	for _, v := range views {
		c.showHold(now, v)
	}
}

// waitingForHold returns for each service the unit for which a runner is to be held next, if there is one, and notes since when the jobs of ready
// units have had nothing running. While tasks that can still meet their objective wait, late ones get what these leave, and only an overdue one
// gets a held runner. The caller holds mu.
func (c *Cell) waitingForHold(now time.Time, running map[*jobState]bool) map[string]*unit {
	waiting, overdue, inTime := map[string]*unit{}, map[string]*unit{}, map[string]bool{}
	for _, u := range c.ready {
		j := u.job
		if u.phase != phaseReady || j.state.Terminal() || u.size > 1 || u.def().LongRunning || !c.waitsForCapacity(now, u) {
			continue
		}
		service := c.serviceOf(j)
		if u.latenessClass == classInTime && !u.overdue && u.def().Label == "" && now.Sub(u.waitsSince()) >= holdWaitBound {
			inTime[service] = true
		}
		switch {
		case !u.def().BestEffort:
			continue
		case running[j]:
			j.idleSince = time.Time{}
			continue
		case j.idleSince.IsZero():
			j.idleSince = now
		}
		if now.Sub(u.idleSince()) < holdWaitBound || c.isHeldFor(service, j) {
			continue
		}
		if first := waiting[service]; first == nil || u.goesBefore(now, first) {
			waiting[service] = u
		}
		if first := overdue[service]; u.overdue && (first == nil || u.goesBefore(now, first)) {
			overdue[service] = u
		}
	}
	for service := range inTime {
		delete(waiting, service)
		if u := overdue[service]; u != nil {
			waiting[service] = u
		}
	}
	return waiting
}

// runningJobs returns the jobs that have a run.
func runningJobs(views []*runnerView) map[*jobState]bool {
	jobs := map[*jobState]bool{}
	for _, v := range views {
		for r := range v.state.runs {
			jobs[r.unit.job] = true
		}
	}
	return jobs
}

// isHeldFor reports whether a runner is held for a best-effort step of a job. The caller holds mu.
func (c *Cell) isHeldFor(service string, j *jobState) bool {
	return slices.ContainsFunc(c.holds.byService[service], func(h *hold) bool { return h.job == j && !h.commits })
}

// goesBefore reports whether a runner is held for the unit rather than for another one: by priority, overdue ones first, then by size times the time for
// which the job has had nothing running. Small tasks find a runner more easily without a hold.
func (u *unit) goesBefore(now time.Time, other *unit) bool {
	if x, y := u.job.def.Policy.Priority, other.job.def.Policy.Priority; x != y {
		return x < y
	}
	if u.overdue != other.overdue {
		return u.overdue
	}
	return u.passedOver(now) > other.passedOver(now)
}

// passedOver returns the processor time that the unit would have had since its job has had nothing running, in core-seconds.
func (u *unit) passedOver(now time.Time) float64 {
	return now.Sub(u.idleSince()).Seconds() * float64(u.def().Resources.CPU) / 1000
}

// idleSince returns since when the unit has waited with nothing of its job running.
func (u *unit) idleSince() time.Time {
	if since := u.waitsSince(); since.After(u.job.idleSince) {
		return since
	}
	return u.job.idleSince
}

// releaseReason returns why a held runner is to be released; "" if it is not. The caller holds mu.
func (c *Cell) releaseReason(now time.Time, h *hold, views []*runnerView, running bool) string {
	i := slices.IndexFunc(views, func(v *runnerView) bool { return v.state == h.runner })
	u := h.waitingUnit()
	switch {
	case u == nil:
		return "the step waits no more"
	case !c.waitsForCapacity(now, u):
		return "the step waits for something else"
	case !h.commits && running:
		return "the job has started"
	case i < 0 || !views[i].candidate.Available || views[i].state.info.Service != c.serviceOf(h.job):
		return "the runner is unavailable"
	case now.Sub(h.since) >= maxHoldTime:
		return holdTimedOut
	}
	if h.commits && h.hasStarted() {
		return "a task of the step has started"
	}
	_, then, ok := c.expectedState(now, u, views[i])
	if !ok {
		return "the runner can't take the task any more"
	}
	h.spare = then.Free().Sub(u.def().Committed())
	return ""
}

// waitingUnit returns a ready unit of the step, or nil if there is none.
func (h *hold) waitingUnit() *unit {
	occ := h.job.occs[h.occ]
	if occ == nil || h.job.state.Terminal() {
		return nil
	}
	units := occ.steps[h.step].units
	i := slices.IndexFunc(units, func(u *unit) bool { return u.phase == phaseReady })
	if i < 0 {
		return nil
	}
	return units[i]
}

// holdTimedOut is why a runner is released on which a step has not started within maxHoldTime.
const holdTimedOut = "the time is over"

// release notes the end of a hold. If its time is over, others get their turn before another runner is held for its job. The caller holds mu.
func (c *Cell) release(now time.Time, h *hold, why string) {
	if why == holdTimedOut {
		h.job.idleSince, h.job.heldBefore = now, h.runner.info.ID
		h.job.occs[h.occ].steps[h.step].holdEndedAt = now
	}
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "request": h.job.def.ID, "step": h.step, "runner": h.runner.info.ID, "why": why,
		"held_ms": now.Sub(h.since).Milliseconds()}).Debug("held runner released")
}

// holdFor holds the runner on which a unit can start first. A runner that was held for its job before comes last. It reports whether there is
// one. The caller holds mu.
func (c *Cell) holdFor(now time.Time, service string, u *unit, views []*runnerView) bool {
	var best *runnerView
	var startAt time.Time
	var spare workload.Resources
	commits := !u.def().BestEffort
	permitted := c.permittedRunners(now, u, views)
	for _, v := range views {
		if v.state.info.Service != service || v.candidate.OverTarget || !permitted[v.candidate.ID] || c.holds.isHeld(v.state) {
			continue
		}
		at, then, ok := c.expectedState(now, u, v)
		if !ok {
			continue
		}
		again := v.candidate.ID == u.job.heldBefore
		if best == nil || best.candidate.ID == u.job.heldBefore || !again && at.Before(startAt) {
			best, startAt, spare = v, at, then.Free().Sub(u.def().Committed())
		}
	}
	if best == nil {
		if !commits {
			c.holds.searchedAt[service], u.job.idleSince = now, now
		}
		return false
	}
	c.holds.add(service, &hold{equivClass{u.job, u.occ, u.step}, best.state, now, startAt, commits, spare})
	c.cfg.Metrics.holds.Inc()
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "task": u.task(0).String(), "runner": best.candidate.ID, "cpu": u.def().Resources.CPU,
		"idle_ms": now.Sub(u.idleSince()).Milliseconds(), "start_ms": startAt.Sub(now).Milliseconds()}).Debug("runner held for a waiting task")
	return true
}

// permittedRunners returns the runners on which the unit may start according to its advice. The caller holds mu.
func (c *Cell) permittedRunners(now time.Time, u *unit, views []*runnerView) map[string]bool {
	permitted := make(map[string]bool, len(views))
	candidates := serviceCandidates(c.serviceOf(u.job), views)
	if u.job.def.Policy.Advised {
		candidates = c.adviceOf(u).permitted(now, candidates)
	}
	for _, candidate := range candidates {
		permitted[candidate.ID] = true
	}
	return permitted
}

// expectedStart returns when a unit can start on a runner if no further short task starts there; false if it can't even once all have ended.
// That a serving task is over its target now does not count. The caller holds mu.
func (c *Cell) expectedStart(now time.Time, u *unit, v *runnerView) (time.Time, bool) {
	at, _, ok := c.expectedState(now, u, v)
	return at, ok
}

// expectedState is expectedStart that also returns the runner at that time. The caller holds mu.
func (c *Cell) expectedState(now time.Time, u *unit, v *runnerView) (at time.Time, then placement.Candidate, ok bool) {
	request := c.placementRequest(u, map[string]int{})
	then = *v.candidate
	then.Held, then.HeldCommitment, then.Reserved, then.OverTarget = false, nil, false, false
	then.Serving = slices.Clone(then.Serving)
	var short []*run
	for r := range v.state.runs {
		if !r.unit.def().LongRunning {
			short = append(short, r)
		}
	}
	type ending struct {
		run *run
		at  time.Time
	}
	endings := make([]ending, len(short))
	for i, r := range short {
		endings[i] = ending{r, r.expectedEnd(now)}
	}
	slices.SortFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	ends := make([]time.Time, len(endings))
	for i, e := range endings {
		ends[i] = e.at
	}
	at, ok = lookahead.EarliestStart(now, ends, func(ended int) bool {
		if ended > 0 {
			c.recordEnd(now, &then, endings[ended-1].run)
		}
		return placement.ExcludedBy(request, &then) == ""
	})
	return at, then, ok
}

// recordEnd updates a candidate for a short run that has ended there. The caller holds mu.
func (c *Cell) recordEnd(now time.Time, p *placement.Candidate, r *run) {
	def := r.unit.def()
	p.Committed, p.UsedCPU = p.Committed.Sub(def.Committed()), p.UsedCPU-usedCPU(now, r)
	if !def.BestEffort {
		return
	}
	share := float64(def.Resources.CPU) * float64(r.speed) / fullSpeed / float64(max(p.Capacity.CPU, 1))
	for i := range p.Serving {
		p.Serving[i].Headroom += share * c.pressure.Coefficient(interference.Pair{Serving: p.Serving[i].Image, BestEffort: def.Image})
	}
}

// showHold sets what placement knows of the hold of a runner. The caller holds mu.
func (c *Cell) showHold(now time.Time, v *runnerView) {
	v.candidate.Held, v.candidate.HeldCommitment = false, nil
	for _, h := range c.holds.byService[v.state.info.Service] {
		if h.runner != v.state {
			continue
		}
		v.candidate.Held, v.candidate.HeldFor = true, h.startAt.Sub(now)
		if h.commits {
			v.candidate.HeldCommitment = &placement.HeldCommitment{Priority: h.job.def.Policy.Priority, Spare: h.spare}
		}
	}
}

// holdOf returns the hold for the step of a unit, or nil if there is none. The caller holds mu.
func (c *Cell) holdOf(u *unit) *hold {
	if len(c.holds.byService) == 0 {
		return nil
	}
	key := equivClass{u.job, u.occ, u.step}
	for _, h := range c.holds.byService[c.serviceOf(u.job)] {
		if h.equivClass == key {
			return h
		}
	}
	return nil
}

// heldRunner returns the runner that is held for the step of a unit; "" if there is none. The caller holds mu.
func (c *Cell) heldRunner(u *unit) string {
	if h := c.holdOf(u); h != nil {
		return h.runner.info.ID
	}
	return ""
}

// emptiedDetails tells a best-effort task that is passed over by smaller ones from one that no runner would take: if_emptied is the number of
// runners that would take it if no short task ran there, and passed_on the number of those on which a smaller best-effort task runs that was
// started since it waits. The caller holds mu.
func (c *Cell) emptiedDetails(now time.Time, u *unit, views []*runnerView) logrus.Fields {
	emptied, passed := 0, 0
	for _, v := range views {
		if v.state.info.Service != c.serviceOf(u.job) {
			continue
		}
		if _, ok := c.expectedStart(now, u, v); !ok {
			continue
		}
		emptied++
		for r := range v.state.runs {
			if def := r.unit.def(); def.BestEffort && def.Resources.CPU < u.def().Resources.CPU && r.startedAt.After(u.waitsSince()) {
				passed++
				break
			}
		}
	}
	fields := logrus.Fields{"if_emptied": emptied, "passed_on": passed}
	if held := c.heldRunner(u); held != "" {
		fields["held"] = held
	}
	return fields
}
