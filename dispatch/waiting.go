package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/placement"
)

const (
	// waitCheckInterval is how often the cell looks for tasks that wait.
	waitCheckInterval = 1 * time.Second
	// waitBound is how long a task may be without a runner before its wait is reported. Starts, stops and their repeats
	// take less than a second in the usual case.
	waitBound = 2 * time.Second
	// waitLogRepeat is the minimum time between two lines about the same step with the same reason.
	waitLogRepeat = 5 * time.Second
	// maxWaitLines bounds the lines about waiting tasks that a cell writes in one check.
	maxWaitLines = 8
	// maxWaitRunners bounds the runners named in one line.
	maxWaitRunners = 5
)

// waitReason is why a task has no confirmed run, or still has a run after its end. It is the value of the log field why and of the label reason.
type waitReason string

const (
	// waitOwnerSuspended: the owner's last successful commit was too long ago, so it may not start tasks.
	waitOwnerSuspended waitReason = "owner_suspended"
	// waitOwnerInterrupted: the owner's process or VM was stopped, and no commit has shown since that it still owns the cell.
	waitOwnerInterrupted waitReason = "owner_interrupted"
	// waitUnresolved: the task may still run on a runner that has not reported to this owner.
	waitUnresolved waitReason = "runners_unresolved"
	// waitNoTicket: the advice service has given no valid ticket for the step.
	waitNoTicket waitReason = "no_ticket"
	// waitNoRunner: each runner is excluded by a filter of placement.
	waitNoRunner waitReason = "no_runner"
	// waitNoIdleRunner: no runner has idle capacity for the best-effort task. It is counted but not logged.
	waitNoIdleRunner waitReason = "no_idle_runner"
	// waitCap: the organisation would hold more than its limit in the cell.
	waitCap waitReason = "cap"
	// waitShare: there was a runner for the task, but other organisations, which hold less of their shares, went first.
	waitShare waitReason = "share"
	// waitNotPlanned: a runner would take the task, but no plan has started it.
	waitNotPlanned waitReason = "not_planned"
	// waitNotDurable: the assignment of the task to a runner is not durable yet.
	waitNotDurable waitReason = "assignment_not_durable"
	// waitEndsNotDurable: the ends of the steps before are not durable yet.
	waitEndsNotDurable waitReason = "ends_not_durable"
	// waitStarting: the start command has neither a response nor a timeout.
	waitStarting waitReason = "starting"
	// waitStartUnknown: the start command got no response, and the runner has not confirmed whether it has the run.
	waitStartUnknown waitReason = "start_unknown"
	// waitStopping: the run is being stopped and its end has not been reported.
	waitStopping waitReason = "stopping"
	// waitRunnerSilent: the runner has sent no report that lists the run for longer than a poll takes.
	waitRunnerSilent waitReason = "runner_silent"
	// waitOffered: the task is offered to another cell, which has not taken it over.
	waitOffered waitReason = "offered"
	// waitReturned: this cell has returned the task to the cell that accepted its job, which has not confirmed that it has it.
	waitReturned waitReason = "returned"
	// waitEndedRun: the task or its job has ended, but its run has not, and holds capacity.
	waitEndedRun waitReason = "ended_run_remains"
	// The following reasons contradict the invariants of the cell's state.
	//
	// waitBlocked: the step is blocked although all steps before it are done.
	waitBlocked waitReason = "blocked_by_done_steps"
	// waitNoRun: the task counts as active but has no run.
	waitNoRun waitReason = "active_without_run"
	// waitNotQueued: the task is ready but missing in the queue.
	waitNotQueued waitReason = "ready_not_queued"
	// waitNoHost: the task belongs to another cell, but none is named.
	waitNoHost waitReason = "remote_without_host"
	// waitNoRunnerState: the run is on a runner that the cell no longer looks after.
	waitNoRunnerState waitReason = "run_without_runner"
)

// waitLevels holds the log levels of all reasons.
var waitLevels = map[waitReason]logrus.Level{
	waitOwnerSuspended:   logrus.WarnLevel,
	waitOwnerInterrupted: logrus.WarnLevel,
	waitUnresolved:       logrus.WarnLevel,
	waitNoTicket:         logrus.InfoLevel,
	waitNoRunner:         logrus.InfoLevel,
	waitNoIdleRunner:     logrus.DebugLevel,
	waitCap:              logrus.DebugLevel,
	waitShare:            logrus.InfoLevel,
	waitNotPlanned:       logrus.WarnLevel,
	waitNotDurable:       logrus.WarnLevel,
	waitEndsNotDurable:   logrus.WarnLevel,
	waitStarting:         logrus.WarnLevel,
	waitStartUnknown:     logrus.WarnLevel,
	waitStopping:         logrus.WarnLevel,
	waitRunnerSilent:     logrus.WarnLevel,
	waitOffered:          logrus.InfoLevel,
	waitReturned:         logrus.InfoLevel,
	waitEndedRun:         logrus.WarnLevel,
	waitBlocked:          logrus.ErrorLevel,
	waitNoRun:            logrus.ErrorLevel,
	waitNotQueued:        logrus.ErrorLevel,
	waitNoHost:           logrus.ErrorLevel,
	waitNoRunnerState:    logrus.ErrorLevel,
}

// runStatus is the state of a run as shown in logs and metrics.
type runStatus string

const (
	statusPlanned      runStatus = "planned"
	statusStarting     runStatus = "starting"
	statusStartUnknown runStatus = "start_unknown"
	statusRunning      runStatus = "running"
	// statusStopping: the runner has confirmed a stop.
	statusStopping runStatus = "stopping"
)

var runStatuses = []runStatus{statusPlanned, statusStarting, statusStartUnknown, statusRunning, statusStopping}

func (r *run) status() runStatus {
	switch {
	case !r.stop.confirmedAt.IsZero():
		return statusStopping
	case r.phase == runPlanned:
		return statusPlanned
	case r.phase == runStarting:
		return statusStarting
	case r.phase == runStartUnknown:
		return statusStartUnknown
	default:
		return statusRunning
	}
}

// waitCheck is the state of the periodic check for waiting tasks.
type waitCheck struct {
	checkedAt time.Time
	checks    int // number of checks so far
	loggedAt  map[waitKey]time.Time
	// counted is what the cell has added to the gauges.
	counted waitCounts
}

// waitKey identifies the waiting tasks of a step that share a reason.
type waitKey struct {
	equivClass
	reason waitReason
}

// waitCounts are the values of one cell for the gauges.
type waitCounts struct {
	tasks      map[waitReason]int
	runs       map[runStatus]int
	unresolved int
	jobs       map[string]int
	holders    map[taskHolder]int
	gaps       map[jobGap]int
	// organisations are by the label of the organisation.
	organisations organisationCounts
}

// waitGroup is the waiting tasks of a step that share a reason.
type waitGroup struct {
	waitKey
	tasks int
	// unit is the one that has waited longest, since the time since.
	unit  *unit
	since time.Time
	// run is the unit's run that is not confirmed; nil if the unit has none.
	run *run
	// details returns further fields of the line; nil if there are none.
	details func() logrus.Fields
}

// runObservation is what the check for waiting tasks has seen of a run.
type runObservation struct {
	status  runStatus
	since   time.Time // when the run was first seen with this status
	endedAt time.Time // when the run was first seen after the end of its task or job
}

// checkWaiting logs and counts the tasks that have had no confirmed run for longer than waitBound. It is called on each
// tick. The caller holds mu.
func (c *Cell) checkWaiting(now time.Time) {
	if now.Sub(c.waits.checkedAt) < waitCheckInterval {
		return
	}
	c.waits.checkedAt = now
	c.waits.checks++
	counts := waitCounts{tasks: map[waitReason]int{}, runs: map[runStatus]int{}, unresolved: len(c.unresolved)}
	scan := &waitScan{cell: c, now: now, groups: map[waitKey]*waitGroup{},
		census: censusScan{jobs: map[string]int{}}}
	for _, rs := range c.runners {
		for r := range rs.runs {
			r.observe(now)
			counts.runs[r.status()]++
			if ended := r.observed.endedAt; !ended.IsZero() && now.Sub(ended) >= waitBound {
				scan.add(r.unit, waitEndedRun, ended, r, nil)
			}
		}
	}
	scan.units()
	scan.offered()
	scan.queue()
	for _, g := range scan.groups {
		counts.tasks[g.reason] += g.tasks
	}
	counts.jobs, counts.holders, counts.gaps = scan.census.jobs, scan.census.holders(), c.gaps(len(scan.census.withoutTasks))
	c.showCaps()
	counts.organisations = c.organisationCounts(now, scan.groups)
	c.cfg.Metrics.replaceWaiting(c.cfg.Name, c.waits.counted, counts)
	c.waits.counted = counts
	c.reportGaps(counts.gaps, scan.census.withoutTasks)
	c.logWaiting(now, scan.groups)
	c.checkBacklog(now)
}

// resetWaiting removes the cell's values from the gauges.
func (c *Cell) resetWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Metrics.replaceWaiting(c.cfg.Name, c.waits.counted, waitCounts{})
	c.waits.counted = waitCounts{}
	c.cfg.Metrics.caps.replace(c.cfg.Name, c.caps.shown, nil)
	c.caps.shown = nil
	c.resetBacklog()
}

// observe records since when the run has had its status and since when its task has ended.
func (r *run) observe(now time.Time) {
	switch status := r.status(); {
	case r.observed.since.IsZero():
		r.observed.status, r.observed.since = status, r.startedAt
	case r.observed.status != status:
		r.observed.status, r.observed.since = status, now
	}
	if r.observed.endedAt.IsZero() && (r.unit.phase == phaseDone || r.unit.job.state.Terminal()) {
		r.observed.endedAt = now
	}
}

// waitScan is one check for waiting tasks.
type waitScan struct {
	cell   *Cell
	now    time.Time
	groups map[waitKey]*waitGroup
	// ready is the number of ready units of jobs that have not ended.
	ready  int
	census censusScan
}

// add counts a unit, or for waitEndedRun one of its runs.
func (s *waitScan) add(u *unit, reason waitReason, since time.Time, r *run, details func() logrus.Fields) {
	key := waitKey{equivClass{u.job, u.occ, u.step}, reason}
	g := s.groups[key]
	if g == nil {
		g = &waitGroup{waitKey: key, since: since, unit: u, run: r, details: details}
		s.groups[key] = g
	}
	if reason == waitEndedRun {
		g.tasks++
	} else {
		g.tasks += u.size
	}
	if since.Before(g.since) {
		g.since, g.unit, g.run, g.details = since, u, r, details
	}
}

// units looks for units that are not done and neither wait in the queue nor have a confirmed run.
func (s *waitScan) units() {
	for _, j := range s.cell.jobs {
		open := false
		if !j.state.Terminal() {
			for _, occ := range j.occs {
				for i := range occ.steps {
					open = s.step(occ, i) || open
				}
			}
		}
		s.census.job(j, open)
	}
}

// step looks at the units of a step, and reports whether one of them is not done.
func (s *waitScan) step(occ *occurrence, index int) (open bool) {
	step := &occ.steps[index]
	if step.left == 0 {
		for _, u := range step.units {
			s.census.tasks[phaseDone] += u.size
		}
		return false
	}
	mayStart := occ.isUnblocked(index)
	durable := !s.cell.beginsDurably() || occ.isDurablyUnblocked(index)
	for _, u := range step.units {
		s.census.tasks[u.phase] += u.size
		open = open || u.phase != phaseDone
		switch u.phase {
		case phaseBlocked:
			switch {
			case mayStart && !durable:
				if s.now.Sub(s.cell.lastCommit) >= waitBound {
					s.add(u, waitEndsNotDurable, s.cell.lastCommit, nil, nil)
				}
			case mayStart:
				s.add(u, waitBlocked, s.now, nil, func() logrus.Fields {
					return logrus.Fields{"after": fmt.Sprint(u.def().After)}
				})
			}
		case phaseReady:
			s.ready++
		case phaseActive:
			s.active(u)
		case phaseRemote:
			if u.isReturned() {
				s.returned(u)
			}
			if !u.hasHost() {
				s.add(u, waitNoHost, u.waitsSince(), nil, func() logrus.Fields { return logrus.Fields{"host": u.host, "origin": u.job.origin} })
			}
		case phaseDone:
		}
	}
	return open
}

// active reports an active unit without a confirmed run. Of a gang all runs must be confirmed.
func (s *waitScan) active(u *unit) {
	if len(u.runs) == 0 {
		s.add(u, waitNoRun, s.now, nil, nil)
		return
	}
	var oldest *run
	var oldestReason waitReason
	var oldestSince time.Time
	for _, r := range u.runs {
		if s.cell.runners[r.runner.info.ID] != r.runner || !r.exists() {
			s.add(u, waitNoRunnerState, r.startedAt, r, nil)
			return
		}
		reason, since := s.unconfirmed(r)
		if reason == "" {
			if u.size == 1 {
				return
			}
			continue
		}
		if oldest == nil || since.Before(oldestSince) {
			oldest, oldestReason, oldestSince = r, reason, since
		}
	}
	if oldest == nil || s.now.Sub(oldestSince) < waitBound {
		return
	}
	if reason := s.cell.startsWithheld(s.now); reason != "" {
		oldestReason = reason
	}
	if !u.waitingSince.IsZero() && u.waitingSince.Before(oldestSince) {
		oldestSince = u.waitingSince
	}
	s.add(u, oldestReason, oldestSince, oldest, nil)
}

// startsWithheld returns why the owner may start no tasks at all; "" if it may. The caller holds mu.
func (c *Cell) startsWithheld(now time.Time) waitReason {
	switch {
	case !c.mayCommand(now):
		return waitOwnerSuspended
	case !c.ownedAt(c.resumedAt):
		return waitOwnerInterrupted
	case c.steps.overstated:
		return waitEndsNotDurable
	default:
		return ""
	}
}

// unconfirmed returns why the last report of its runner does not confirm a run, and since when; "" if it does.
func (s *waitScan) unconfirmed(r *run) (waitReason, time.Time) {
	switch r.status() {
	case statusPlanned:
		return waitNotDurable, r.startedAt
	case statusStarting:
		return waitStarting, r.startedAt
	case statusStartUnknown:
		return waitStartUnknown, r.observed.since
	case statusStopping:
		return waitStopping, r.observed.since
	case statusRunning:
	}
	if s.now.Sub(r.runner.lastResponseAt) > reachableTimeout {
		return waitRunnerSilent, r.runner.lastResponseAt
	}
	return "", time.Time{}
}

// returned reports a unit that was returned to its origin.
func (s *waitScan) returned(u *unit) {
	// A new owner does not know since when the unit has waited.
	u.beginWait(s.now)
	if s.now.Sub(u.waitingSince) >= waitBound {
		s.add(u, waitReturned, u.waitingSince, nil, func() logrus.Fields { return logrus.Fields{"durable": u.returnDurable} })
	}
}

// offered reports units that are offered to another cell.
func (s *waitScan) offered() {
	for j := range s.cell.delegating {
		if j.state.Terminal() {
			continue
		}
		for _, d := range j.delegations {
			for _, u := range d.units {
				if u.phase != phaseRemote {
					continue
				}
				// A new owner does not know since when the unit has waited.
				u.beginWait(s.now)
				if s.now.Sub(u.waitingSince) >= waitBound {
					s.add(u, waitOffered, u.waitingSince, nil, func() logrus.Fields {
						return logrus.Fields{"host": d.host, "durable": d.durable, "withdrawing": u.host == ""}
					})
				}
			}
		}
	}
}

// queue determines why ready units wait. It repeats what a plan does, without starting anything.
func (s *waitScan) queue() {
	c := s.cell
	overdue, count := false, 0
	for _, u := range c.ready {
		if u.phase == phaseReady && !u.job.state.Terminal() && u.queuedAtCheck != c.waits.checks {
			// A unit that is queued twice must not stand for one that is missing.
			u.queuedAtCheck = c.waits.checks
			count++
			overdue = overdue || s.now.Sub(u.waitsSince()) >= waitBound
		}
	}
	if overdue {
		s.explainQueue()
	}
	if count >= s.ready {
		return
	}
	queued := map[*unit]bool{}
	for _, u := range c.ready {
		queued[u] = true
	}
	for _, j := range c.jobs {
		if j.state.Terminal() {
			continue
		}
		for _, occ := range j.occs {
			for i := range occ.steps {
				for _, u := range occ.steps[i].units {
					if u.phase == phaseReady && !queued[u] {
						s.add(u, waitNotQueued, u.waitsSince(), nil, nil)
					}
				}
			}
		}
	}
}

// verdict is the result of a placement attempt for the units of a step.
type verdict struct {
	reason  waitReason
	details func() logrus.Fields
}

func (s *waitScan) explainQueue() {
	views := s.cell.runnerViews(s.now)
	verdicts := map[equivClass]verdict{}
	for _, u := range s.cell.ready {
		if u.phase != phaseReady || u.job.state.Terminal() {
			continue
		}
		class := equivClass{u.job, u.occ, u.step}
		v, known := verdicts[class]
		// As in a plan, one unit without a runner stands for the others of its step, except for long-running tasks.
		if !known || v.reason == waitNotPlanned || u.def().LongRunning {
			v = s.explain(u, views)
			verdicts[class] = v
		}
		if since := u.waitsSince(); s.now.Sub(since) >= waitBound {
			s.add(u, v.reason, since, nil, v.details)
		}
	}
}

// explain returns why a ready unit is not started.
func (s *waitScan) explain(u *unit, views []*runnerView) verdict {
	c := s.cell
	if reason := c.startsWithheld(s.now); reason != "" {
		return verdict{reason, nil}
	}
	if c.awaitsUnresolved(u) {
		return verdict{waitUnresolved, func() logrus.Fields { return c.unresolvedDetails(s.now, u) }}
	}
	if !c.capAllows(s.now, u) {
		return verdict{waitCap, nil}
	}
	all := serviceCandidates(c.serviceOf(u.job), views)
	candidates := all
	if u.job.def.Policy.Advised {
		candidates = c.adviceOf(u).permitted(s.now, all)
		if len(candidates) == 0 {
			return verdict{waitNoTicket, func() logrus.Fields { return c.adviceOf(u).details(s.now, all) }}
		}
	}
	placed := map[string]int{}
	request := c.placementRequest(u, placed)
	e := c.explainPlacement(s.now, request, candidates)
	for ; e.passed > 0 && e.placed < u.size; e.placed++ {
		best := placement.Pick(request, candidates)
		if best == nil {
			break
		}
		placed[best.ID]++
		recordPlacement(best, request)
	}
	v := verdict{waitNoRunner, func() logrus.Fields {
		fields := e.details(u)
		if u.startsDurably() && c.cfg.Peers != nil {
			fields["places_elsewhere"], fields["long_places_elsewhere"] = c.placesElsewhere(u)
		}
		if u.def().BestEffort && u.size == 1 {
			maps.Copy(fields, c.emptiedDetails(s.now, u, views))
		}
		return fields
	}}
	switch {
	case e.placed == u.size:
		return verdict{waitNotPlanned, func() logrus.Fields {
			fields := e.details(u)
			fields["plan_ms"] = s.now.Sub(c.plannedAt).Milliseconds()
			return fields
		}}
	case u.def().LongRunning && u.size == 1:
		if reserved := placement.Reserve(request, candidates); reserved != nil {
			reserved.Reserved, e.reserved = true, reserved.ID
		}
	case u.def().BestEffort && e.fitting == 0:
		v.reason = waitNoIdleRunner
	}
	if v.reason != waitNotPlanned && u.wasOvertaken() {
		v.reason = waitShare
	}
	return v
}

// placementExplanation counts the runners that may take a task and those that may not.
type placementExplanation struct {
	runners int
	passed  int
	// fitting is the number of runners in service with enough free capacity, whatever else excludes them.
	fitting int
	// excluded counts runners by the name of the first filter that excludes them.
	excluded map[string]int
	// capacity and committed are sums over the runners in service, in thousandths of a core.
	capacity, committed int64
	// placed is the number of the unit's members for which there is a runner.
	placed int
	// reserved is the runner that is kept for the task, if any.
	reserved string
}

// details returns the fields for the log line of a unit.
func (e *placementExplanation) details(u *unit) logrus.Fields {
	def := u.def()
	fields := logrus.Fields{"runners": e.runners, "passed": e.passed, "fitting": e.fitting, "excluded": formatCounts(e.excluded),
		"cpu": def.Resources.CPU, "memory_mb": def.Resources.MemoryMB, "best_effort": def.BestEffort,
		"capacity_cpu": e.capacity, "committed_cpu": e.committed}
	if u.size > 1 {
		fields["members"], fields["members_placed"] = u.size, e.placed
	}
	if e.reserved != "" {
		fields["reserved"] = e.reserved
	}
	return fields
}

func (c *Cell) explainPlacement(now time.Time, request *placement.Request, candidates []*placement.Candidate) *placementExplanation {
	e := &placementExplanation{runners: len(candidates), excluded: map[string]int{}}
	for _, candidate := range candidates {
		filter := placement.ExcludedBy(request, candidate)
		outOfService := false
		if filter == placement.FilterAvailable {
			reason := c.unavailable(now, c.runners[candidate.ID])
			filter, outOfService = string(reason), reason.outOfService()
		}
		if filter == "" {
			e.passed++
		} else {
			e.excluded[filter]++
		}
		if outOfService {
			continue
		}
		e.capacity += candidate.Capacity.CPU
		e.committed += candidate.Committed.CPU
		if placement.HasCapacity(request, candidate) {
			e.fitting++
		}
	}
	return e
}

// unavailability is why a runner takes no new tasks; "" if it does.
type unavailability string

const (
	notListed            unavailability = "not_listed"
	draining             unavailability = "draining"
	evacuated            unavailability = "evacuated"
	runnersNotRead       unavailability = "runners_not_read"
	listedTerminated     unavailability = "listed_terminated"
	listedSilent         unavailability = "listed_silent"
	foreignRuns          unavailability = "foreign_runs"
	notSynced            unavailability = "no_report_yet"
	newProcess           unavailability = "new_process"
	pollFailing          unavailability = "poll_failing"
	responseOverdue      unavailability = "silent"
	startBackoff         unavailability = "start_back_off"
	noCapacityUntilLater unavailability = "no_capacity_back_off"
	listedClosed         unavailability = "listed_closed"
)

// outOfService reports whether the runner is meant to take no tasks.
func (u unavailability) outOfService() bool { return u == notListed || u == draining || u == evacuated }

// unavailable returns why a runner takes no new tasks. The caller holds mu.
func (c *Cell) unavailable(now time.Time, rs *runnerState) unavailability {
	switch {
	case !rs.present:
		return notListed
	case rs.info.Draining:
		return draining
	case c.evacuated[rs.info.Domain]:
		return evacuated
	case c.awaitsRunners:
		return runnersNotRead
	case !rs.synced:
		return notSynced
	case rs.pollFailing:
		return pollFailing
	case !c.ownedAt(rs.bornSeenAt), rs.awaitsFence():
		return newProcess
	case now.Sub(rs.lastResponseAt) >= reachableTimeout:
		return responseOverdue
	case rs.listedTerminated:
		return listedTerminated
	case c.listedSilent[rs.info.ID]:
		return listedSilent
	case now.Before(rs.backoffUntil):
		return startBackoff
	case now.Before(rs.noCapacityUntil):
		return noCapacityUntilLater
	case rs.foreign > 0:
		return foreignRuns
	case c.listedClosed[rs.info.ID]:
		return listedClosed
	default:
		return ""
	}
}

// unresolvedDetails describes the runners that hold back a recovered unit. The caller holds mu.
func (c *Cell) unresolvedDetails(now time.Time, u *unit) logrus.Fields {
	var until time.Time
	var ids []string
	for id, x := range c.unresolved {
		if !c.awaits(u, x) {
			continue
		}
		ids = append(ids, id)
		if end, _ := x.mayRunUntil(u); end.After(until) {
			until = end
		}
	}
	slices.Sort(ids)
	return logrus.Fields{"unresolved": len(ids), "unresolved_runners": strings.Join(ids[:min(len(ids), maxWaitRunners)], " "),
		"unresolved_all": len(c.unresolved), "inventories": c.knownInventories(), "left_ms": until.Sub(now).Milliseconds()}
}

// details describes the state of a step's advice.
func (a *advice) details(now time.Time, candidates []*placement.Candidate) logrus.Fields {
	refused, expired, notAsked := 0, 0, 0
	for _, candidate := range candidates {
		switch {
		case !a.asked[candidate.ID]:
			notAsked++
		case a.tickets[candidate.ID] == "":
			refused++
		default:
			expired++
		}
	}
	return logrus.Fields{"runners": len(candidates), "not_asked": notAsked, "refused": refused, "expired": expired,
		"pending": a.pending, "retry_ms": max(a.retryAt.Sub(now), 0).Milliseconds()}
}

// details describes a run that is not confirmed. The caller holds the cell's mu.
func (r *run) details(now time.Time) logrus.Fields {
	rs := r.runner
	fields := logrus.Fields{"run": r.number, "runner": rs.info.ID, "phase": string(r.status()), "stop": r.stopProgress(),
		"started_ms": now.Sub(r.startedAt).Milliseconds(), "poll_failing": rs.pollFailing, "listed": rs.present,
		"lease_left_ms": max(rs.leaseEnd.Sub(now), 0).Milliseconds()}
	if r.stop.wanted {
		fields["stop_reason"], fields["stops_unanswered"] = r.stop.reason, r.stop.unanswered
	}
	if !rs.lastResponseAt.IsZero() {
		fields["response_ms"] = now.Sub(rs.lastResponseAt).Milliseconds()
	}
	return fields
}

// stopProgress describes whether the run is to be stopped and whether the runner responded.
func (r *run) stopProgress() string {
	switch {
	case !r.stop.confirmedAt.IsZero():
		return "answered"
	case r.stop.wanted:
		return "sent"
	default:
		return "none"
	}
}

// runningRuns returns how many runs of the job are recorded as running. The caller holds the cell's mu.
func (j *jobState) runningRuns() int {
	count := 0
	for _, occ := range j.occs {
		for i := range occ.steps {
			for _, u := range occ.steps[i].units {
				for _, r := range u.runs {
					if r.phase == runRunning {
						count++
					}
				}
			}
		}
	}
	return count
}

// formatCounts lists counts by name, the largest first.
func formatCounts(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%d", name, counts[name])
	}
	return strings.Join(parts, " ")
}

// logWaiting writes a line for each group that is due, within the bound on lines. The caller holds mu.
func (c *Cell) logWaiting(now time.Time, groups map[waitKey]*waitGroup) {
	maps.DeleteFunc(c.waits.loggedAt, func(_ waitKey, at time.Time) bool { return now.Sub(at) >= waitLogRepeat })
	var due []*waitGroup
	for key, g := range groups {
		if _, recent := c.waits.loggedAt[key]; !recent && waitLevels[key.reason] < logrus.DebugLevel {
			due = append(due, g)
		}
	}
	slices.SortFunc(due, func(a, b *waitGroup) int {
		if x, y := waitLevels[a.reason] == logrus.ErrorLevel, waitLevels[b.reason] == logrus.ErrorLevel; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(a.since.Compare(b.since), strings.Compare(a.job.def.ID, b.job.def.ID), cmp.Compare(a.step, b.step))
	})
	lines := due
	if len(due) > maxWaitLines {
		lines = due[:maxWaitLines-1]
	}
	for _, g := range lines {
		c.waits.loggedAt[g.waitKey] = now
		c.logGroup(now, g)
	}
	if left := due[len(lines):]; len(left) > 0 {
		tasks := 0
		for _, g := range left {
			tasks += g.tasks
		}
		c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "steps": len(left), "tasks": tasks}).Info("lines about waiting tasks were left out")
	}
}

func (c *Cell) logGroup(now time.Time, g *waitGroup) {
	member := 0
	fields := logrus.Fields{}
	if g.details != nil {
		maps.Copy(fields, g.details())
	}
	if g.run != nil {
		member = g.run.member
		maps.Copy(fields, g.run.details(now))
	}
	if u := g.unit; u.startsDurably() && (u.phase == phaseReady || u.phase == phaseRemote) {
		maps.Copy(fields, c.homePlaces(now, u, g.tasks))
	}
	if g.unit.offers > 0 {
		fields["offers"], fields["full_answers"] = g.unit.offers, g.unit.fullAnswers
	}
	if origin := g.unit.job.origin; origin != "" {
		fields["origin"] = origin
	}
	if g.reason == waitOwnerSuspended {
		fields["commit_ms"] = c.sinceCommit(now).Milliseconds()
	}
	maps.Copy(fields, logrus.Fields{"cell": c.cfg.Name, "request": g.unit.job.def.ID, "task": g.unit.task(member).String(),
		"why": string(g.reason), "tasks": g.tasks, "waited_ms": now.Sub(g.since).Milliseconds(), "queue": g.unit.job.def.Policy.Queue,
		"long_running": g.unit.def().LongRunning, "job_running": g.unit.job.runningRuns()})
	message := "tasks wait"
	if g.reason == waitEndedRun {
		message = "runs of ended tasks remain"
	}
	c.cfg.Log.WithFields(fields).Log(waitLevels[g.reason], message)
}
