package dispatch

import (
	"context"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/placement"
	"github.com/currantthread/currantthread/workload"
)

const (
	// planSpacing is the minimum time between two plans, so that one plan covers several changes.
	planSpacing = 2 * time.Millisecond
	// planSpacingFactor bounds the share of the time that is spent on plans: after a plan, the pause is at least this multiple of its
	// duration.
	planSpacingFactor = 4
	// maxPlanSpacing bounds the pause, because the duration includes suspensions of the VM.
	maxPlanSpacing = 100 * time.Millisecond
)

func (c *Cell) planLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.planWake:
		}
		c.mu.Lock()
		started := time.Now()
		if c.mayStart() {
			c.plan(ctx, started)
		}
		took := time.Since(started)
		c.mu.Unlock()
		if !wait.For(ctx, min(max(planSpacing, planSpacingFactor*took), maxPlanSpacing)) {
			return
		}
	}
}

// equivClass identifies units for which placement has the same result within one plan.
type equivClass struct {
	job  *jobState
	occ  int
	step int
}

// plan starts all ready units that can be placed. The caller holds mu.
func (c *Cell) plan(ctx context.Context, now time.Time) {
	c.plannedAt = now
	demanded := c.capDemanded()
	c.beginCapPlan()
	defer c.endCapPlan(now, demanded)
	if len(c.ready) == 0 {
		return
	}
	views := c.runnerViews(now)
	p := newPlanner(views)
	// Units that will soon restart are served after those that restart now.
	ahead := c.unitsOnSilentRunners(now)
	c.sortReady(now)
	if len(c.holds.byService) > 0 || slices.ContainsFunc(c.ready, func(u *unit) bool { return !u.def().LongRunning }) {
		c.updateHolds(now, views)
	}
	blocked := map[equivClass]bool{}
	kept := c.ready[:0:0]
	turns := c.newTurns(now)
	c.ready = nil
	for u := turns.next(); u != nil; u = turns.next() {
		if u.phase != phaseReady || u.job.state.Terminal() {
			continue
		}
		u.waitsForCap = false
		key := equivClass{u.job, u.occ, u.step}
		if blocked[key] {
			kept = append(kept, u)
			turns.waits(now, u)
			continue
		}
		if c.awaitsUnresolved(u) {
			if x := c.unresolved[u.assigned]; u.startsDurably() && x != nil {
				if until, _ := x.mayRunUntil(u); until.Sub(now) <= reserveAheadTime {
					ahead = append(ahead, u)
				}
			}
			kept = append(kept, u)
			continue
		}
		if !c.capAllows(now, u) {
			c.waitForCap(u)
			kept = append(kept, u)
			continue
		}
		if len(ahead) > 0 && !u.isRestart() {
			c.reserveAhead(ahead, p)
			ahead = nil
		}
		placed, reserved := c.place(ctx, now, u, p)
		if placed {
			turns.started(u)
		} else {
			// Each waiting long-running task may reserve a different runner, so one that does not fit blocks the others only if there
			// was no runner to reserve.
			blocked[key] = !reserved
			kept = append(kept, u)
			turns.waits(now, u)
		}
	}
	c.ready = append(c.ready, kept...)
}

// planner is what the placements of one plan share.
type planner struct {
	views []*runnerView
	// states holds the runners by ID, and services the runners of each service that was asked for.
	states   map[string]*runnerState
	services map[string]*serviceRunners
}

// serviceRunners are the runners of a service at the beginning of a plan.
type serviceRunners struct {
	candidates []*placement.Candidate
	// mostFree is the most of each resource that any of them has free, and mostReservable that it has free once its short tasks have ended.
	// Within a plan, runners have no more than that.
	mostFree, mostReservable workload.Resources
}

func newPlanner(views []*runnerView) *planner {
	p := &planner{views: views, states: make(map[string]*runnerState, len(views)), services: map[string]*serviceRunners{}}
	for _, v := range views {
		p.states[v.candidate.ID] = v.state
	}
	return p
}

// runnersOf returns the runners of a service.
func (p *planner) runnersOf(service string) *serviceRunners {
	s := p.services[service]
	if s == nil {
		s = &serviceRunners{candidates: serviceCandidates(service, p.views)}
		for _, candidate := range s.candidates {
			if !candidate.Available {
				continue
			}
			free := candidate.Free()
			s.mostFree, s.mostReservable = s.mostFree.Max(free), s.mostReservable.Max(free.Add(candidate.Transient))
		}
		p.services[service] = s
	}
	return s
}

// Classes of lateness, in the order in which units are started.
const (
	// classInTime can still meet its objective.
	classInTime = iota
	// classLate misses the objective but still has value to its client.
	classLate
	// classTooLate has no value any more. It runs only when nothing else waits.
	classTooLate
)

// tooLateFactor is the multiple of the time from submission to objective after which a job has no value any more.
const tooLateFactor = 3

// maxIdleTime is how long a job with a best-effort task that could start has nothing running before it goes with those that are in time.
const maxIdleTime = 5 * time.Second

// isOverdue reports whether the job has had nothing running for maxIdleTime although a best-effort task of it could start.
func (j *jobState) isOverdue(now time.Time) bool {
	return !j.withoutRunSince.IsZero() && now.Sub(j.withoutRunSince) >= maxIdleTime
}

func (u *unit) lateness(now time.Time) int {
	if u.def().LongRunning {
		return classInTime
	}
	latest := u.lastInTime()
	allowed := u.job.objective.Sub(u.job.def.AcceptedAt)
	switch {
	case !now.After(latest):
		return classInTime
	case !now.After(latest.Add((tooLateFactor - 1) * allowed)):
		return classLate
	default:
		return classTooLate
	}
}

// classifyReady sets the lateness classes and the turns of the ready units. Best-effort units that miss their objective share what the others
// leave: each job gets a run before any of them gets a second one, so a unit whose job has none counts as classLate at most. One whose job has had
// none for maxIdleTime goes with those that are in time, which would otherwise keep it waiting as long as they arrive.
// The caller holds mu.
func (c *Cell) classifyReady(now time.Time) {
	var sharing []*unit
	for _, u := range c.ready {
		u.latenessClass, u.turn, u.overdue = u.lateness(now), 0, false
		if u.def().BestEffort && u.latenessClass != classInTime {
			sharing = append(sharing, u)
		}
	}
	if len(sharing) == 0 {
		return
	}
	turns := map[*jobState]int{}
	for _, rs := range c.runners {
		for r := range rs.runs {
			turns[r.unit.job]++
		}
	}
	for _, u := range sharing {
		u.turn = turns[u.job]
		turns[u.job]++
		if u.turn == 0 {
			u.latenessClass = classLate
			if u.job.isOverdue(now) {
				u.latenessClass, u.overdue = classInTime, true
			}
		}
	}
}

// sortReady orders restarts of long-running tasks first, then units by priority, then by class of lateness, then by turn, then those that complete a
// step that has begun, then by the latest start that meets their objective, postponed for wide jobs. When the runners are overloaded, late units wait
// for those that can still meet their objective.
func (c *Cell) sortReady(now time.Time) {
	c.classifyReady(now)
	c.rankReady()
	sort.SliceStable(c.ready, func(a, b int) bool {
		x, y := c.ready[a], c.ready[b]
		if rx, ry := x.isRestart(), y.isRestart(); rx != ry {
			return rx
		}
		if px, py := x.job.def.Policy.Priority, y.job.def.Policy.Priority; px != py {
			return px < py
		}
		if x.latenessClass != y.latenessClass {
			return x.latenessClass < y.latenessClass
		}
		if x.turn != y.turn {
			return x.turn < y.turn
		}
		if cx, cy := x.pieceSize(), y.pieceSize(); cx != cy {
			return cx > cy
		}
		return x.rank.before(y.rank)
	})
}

// pieceSize orders long-running tasks that have not run yet: small ones also fit into what large ones leave. It is 0 for other
// tasks, which come after them.
func (u *unit) pieceSize() int64 {
	if !u.def().LongRunning {
		return 0
	}
	return u.def().Committed().CPU
}

// isRestart reports whether the unit is a long-running task that has run before. The capacity that it left was admitted for it, so
// it gets it back before other tasks use it. A unit that was delegated to the cell has waited elsewhere.
func (u *unit) isRestart() bool { return u.def().LongRunning && (u.run > 0 || u.held) }

// latestStart returns the latest start with which the unit's job can still meet its objective.
func (u *unit) latestStart() time.Time { return u.objective().Add(-u.job.criticalPath[u.step]) }

// objective returns when the unit's occurrence should be completed.
func (u *unit) objective() time.Time {
	objective := u.job.objective
	if !u.job.def.StartAt.IsZero() {
		objective = u.job.def.Due(u.occ).Add(objective.Sub(u.job.def.AcceptedAt))
	}
	return objective
}

// runnerViews returns the runners of the cell as input of placement. The caller holds mu.
func (c *Cell) runnerViews(now time.Time) []*runnerView {
	views := make([]*runnerView, 0, len(c.runners))
	for _, rs := range c.runners {
		p := &rs.candidate
		p.Domain, p.Labels, p.Capacity = rs.info.Domain, rs.info.Labels, rs.info.Capacity
		p.Available = c.unavailable(now, rs) == ""
		p.Remote = c.cfg.Regions[rs.info.Domain] != c.cfg.Region
		p.Committed, p.Transient, p.UsedCPU, p.Serving = workload.Resources{}, workload.Resources{}, 0, p.Serving[:0]
		p.OverTarget, p.Reserved = false, false
		for r := range rs.runs {
			def := r.unit.def()
			p.Committed = p.Committed.Add(def.Committed())
			if !def.LongRunning {
				p.Transient = p.Transient.Add(def.Committed())
			}
			p.UsedCPU += usedCPU(now, r)
			if def.LatencyTarget > 0 {
				p.OverTarget = p.OverTarget || !r.overTargetSince.IsZero()
				p.Serving = append(p.Serving, placement.Serving{Image: def.Image, Headroom: c.headroom(now, r)})
			}
		}
		p.Slowdown, p.Suspect = rs.health.slowdown(), rs.health.suspect(now)
		view := &runnerView{state: rs, candidate: p}
		c.showHold(now, view)
		views = append(views, view)
	}
	sort.Slice(views, func(a, b int) bool { return views[a].candidate.ID < views[b].candidate.ID })
	return views
}

type runnerView struct {
	state     *runnerState
	candidate *placement.Candidate
}

// place starts a unit if there is capacity for all its members, and reports whether it did. If not, it reports whether it has reserved a
// runner for the unit. The caller holds mu.
func (c *Cell) place(ctx context.Context, now time.Time, u *unit, p *planner) (placed, reserved bool) {
	c.cfg.Metrics.placements.Inc()
	service := c.serviceOf(u.job)
	runners := p.runnersOf(service)
	candidates := runners.candidates
	advised := u.job.def.Policy.Advised
	if advised {
		permitted := c.adviceOf(u).permitted(now, candidates)
		if len(permitted) == 0 {
			c.requestAdvice(ctx, now, u, candidates)
			return false, false
		}
		candidates = permitted
	}
	def := u.def()
	members := map[string]int{}
	request := c.placementRequest(u, members)
	chosen := make([]*runnerState, 0, u.size)
	for range u.size {
		if !def.Committed().Fits(runners.mostFree) {
			break
		}
		best := placement.Pick(request, candidates)
		if best == nil {
			break
		}
		chosen = append(chosen, p.states[best.ID])
		members[best.ID]++
		recordPlacement(best, request)
	}
	if len(chosen) < u.size {
		// Members already placed stay recorded in the views; the next plan rebuilds them.
		if advised {
			c.requestAdvice(ctx, now, u, runners.candidates)
		}
		if def.LongRunning && u.size == 1 && def.Committed().Fits(runners.mostReservable) {
			// Short tasks use each small piece of capacity as it becomes free, so a large long-running task would never
			// fit without a reserved runner.
			if runner := placement.Reserve(request, candidates); runner != nil {
				runner.Reserved = true
				return false, true
			}
		}
		return false, false
	}
	c.cfg.Metrics.startWait.Observe(now.Sub(u.readyAt).Seconds())
	c.recordService(u.job, service)
	number := u.run + 1
	u.phase = phaseActive
	if u.startsDurably() {
		c.planRun(now, u, number, chosen[0])
		return true, false
	}
	for member, state := range chosen {
		c.startRun(ctx, now, u, member, number, state)
	}
	return true, false
}

const (
	// reserveAheadTime is how long before the end of a lease a runner is reserved for a long-running task that will restart then. Most
	// short tasks that use its capacity end within that time.
	reserveAheadTime = 1500 * time.Millisecond
	// reservedAheadShare bounds the runners that are reserved so, as one in so many, because short tasks don't start there.
	reservedAheadShare = 8
)

// unitsOnSilentRunners returns the long-running tasks of silent runners whose leases end soon. The caller holds mu.
func (c *Cell) unitsOnSilentRunners(now time.Time) []*unit {
	var units []*unit
	for _, rs := range c.runners {
		if !rs.pollFailing || rs.leaseEnd.Sub(now) > reserveAheadTime {
			continue
		}
		for r := range rs.runs {
			if r.unit.startsDurably() && !r.unit.job.state.Terminal() {
				units = append(units, r.unit)
			}
		}
	}
	return units
}

// reserveAhead reserves runners for long-running tasks that will restart soon. The caller holds mu.
func (c *Cell) reserveAhead(units []*unit, p *planner) {
	for _, u := range units[:min(len(units), len(p.views)/reservedAheadShare)] {
		request := c.placementRequest(u, map[string]int{})
		if reserved := placement.Reserve(request, p.runnersOf(c.serviceOf(u.job)).candidates); reserved != nil {
			reserved.Reserved = true
		}
	}
}

// placementRequest returns the placement request for the members of a unit. placed counts the members that this attempt
// has placed, by runner. The caller holds mu.
func (c *Cell) placementRequest(u *unit, placed map[string]int) *placement.Request {
	def := u.def()
	onRunner := u.stepState().onRunner
	return &placement.Request{Step: def, Avoid: u.avoid, HeldRunner: c.heldRunner(u), RunTime: c.predictStep(u.job.def, u.step),
		Priority: u.job.def.Policy.Priority, Large: c.largerThan(u),
		OnRunner: func(id string) int { return onRunner[id] + placed[id] },
		Pressure: func(serving string) float64 {
			return c.pressure.Coefficient(interference.Pair{Serving: serving, BestEffort: def.Image})
		}}
}

func serviceCandidates(service string, views []*runnerView) []*placement.Candidate {
	candidates := make([]*placement.Candidate, 0, len(views))
	for _, v := range views {
		if v.state.info.Service == service {
			candidates = append(candidates, v.candidate)
		}
	}
	return candidates
}

// recordPlacement updates a candidate for a task that was placed on it.
func recordPlacement(p *placement.Candidate, r *placement.Request) {
	p.Committed = p.Committed.Add(r.Step.Committed())
	p.UsedCPU += expectedCPU(r.Step)
	r.UseSpare(p)
	if r.Step.BestEffort {
		share := float64(r.Step.Resources.CPU) / float64(max(p.Capacity.CPU, 1))
		for i := range p.Serving {
			p.Serving[i].Headroom -= r.Pressure(p.Serving[i].Image) * share
		}
	}
	if r.Step.LatencyTarget > 0 {
		p.Serving = append(p.Serving, placement.Serving{Image: r.Step.Image, Headroom: newServingHeadroom})
	}
}

const (
	// newServingHeadroom is assumed for a serving task that has just been placed.
	newServingHeadroom = 0.2
	// servingUse is the share of its processor time that a serving task is expected to use, within the plan that places
	// it.
	servingUse = 0.6
	// servingMargin is added to the learned load of a serving task, because it changes between two reports.
	servingMargin = 0.05
)

// expectedCPU returns the processor time that a task of a step is expected to use, in thousandths of a core.
func expectedCPU(def *workload.Step) int64 {
	if def.LatencyTarget > 0 {
		return int64(servingUse * float64(def.Resources.CPU))
	}
	return def.Resources.CPU
}

// usedCPU returns the processor time that a run is expected to use, in thousandths of a core. For a serving task this
// is the share of its processors given by its learned load.
func usedCPU(now time.Time, r *run) int64 {
	def := r.unit.def()
	switch {
	case def.LatencyTarget > 0:
		return int64(math.Round(min(r.unit.stepState().load.At(now)+servingMargin, 1) * float64(def.Resources.CPU)))
	case def.BestEffort:
		return def.Resources.CPU * int64(r.speed) / fullSpeed
	default:
		return def.Resources.CPU
	}
}

// serviceOf returns the service that runs a job. The active configuration takes precedence if it has the job's queue.
func (c *Cell) serviceOf(j *jobState) string { return c.serviceOfJob(j.def) }

// serviceOfJob is serviceOf for a job that the cell does not have.
func (c *Cell) serviceOfJob(job *workload.Job) string {
	if q := c.catalog.Queue(job.Policy.Queue); q != nil {
		return q.Policy.Service
	}
	return job.Policy.Service
}

// recordService records that tasks of a job start on runners of a service. If that is not the service of the job's
// submission, it becomes part of the job's durable state, so that a new owner also awaits unreachable runners of that
// service. The caller holds mu.
func (c *Cell) recordService(j *jobState, service string) {
	if service == j.def.Policy.Service || j.formerServices[service] {
		return
	}
	if j.formerServices == nil {
		j.formerServices = map[string]bool{}
	}
	j.formerServices[service] = true
	c.markDirty(j)
}
