package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/job"
)

const (
	// minCPUPercent is the lowest throttle. If it is not enough, a task is evicted.
	minCPUPercent = 10
	// A task is evicted if it is limited to evictCPUPercent or less and has been throttled for evictThrottleDelays effect
	// delays.
	evictCPUPercent     = 40
	evictThrottleDelays = 6
	// raiseFraction is the fraction of the remaining tolerated excess that one round of raising throttles may use.
	raiseFraction = 0.5
	// raiseMargin is the fraction of the tolerated excess below which throttles are raised. The hysteresis prevents
	// throttling and raising from alternating at the same slowdown.
	raiseMargin = 0.7
	// maxRaiseDelayFactor bounds the wait before a throttle is raised, in multiples of the effect delay.
	maxRaiseDelayFactor = 8
	// driftRatio is the variance that the estimate of a service's slowdown gains between two reports, as a fraction of
	// the variance of one report. With it, the estimate follows shifts of load within some tens of reports.
	driftRatio = 0.05
	// clipDeviations bounds the deviation of one report from the estimate, because the report may be an outlier.
	clipDeviations = 1.25
	// actionDeviations is the number of standard deviations by which an estimate must exceed the target before an
	// action.
	actionDeviations = 1.5
	// minReports is the number of reports after an action that are required before another one.
	minReports = 3
)

// throttleState is the state of the controller that protects the services of one worker.
type throttleState struct {
	// reported is set while new slowdown reports of the worker wait for the controller.
	reported bool
	// lastAction and previousAction are the times of the last two actions. Abort restores previousAction.
	lastAction, previousAction time.Time
	// lastRaise is the time at which a throttle was last raised.
	lastRaise time.Time
	// raiseDelay is the wait after an action before a throttle is raised. It doubles if a throttle soon follows a
	// raise.
	raiseDelay time.Duration
}

// pastLoad is the share that a task had of its worker during an interval in the past.
type pastLoad struct {
	kind     interference.Kind
	task     job.TaskID
	share    float64
	from, to time.Time
}

// recordShare records the interval in which r had its current share, which ends now.
func (r *placedTask) recordShare(now time.Time) {
	if r.shareSince.IsZero() || !now.After(r.shareSince) {
		return
	}
	r.worker.pastLoads = append(r.worker.pastLoads, pastLoad{r.kind, r.task.ID, r.share(), r.shareSince, now})
	r.shareSince = now
}

func (r *placedTask) setThrottle(now time.Time, percent int) {
	r.recordShare(now)
	if r.cpuPercent == 0 {
		r.throttledAt = now
	}
	r.cpuPercent = percent
	r.worker.cache.valid = false
}

// neighboursAt lists the load on w at a past time, excluding the task except.
func (s *Scheduler) neighboursAt(w *worker, at time.Time, except *placedTask) []interference.Neighbour {
	oldest := s.now.Add(-2 * s.cfg.effectDelay())
	w.pastLoads = slices.DeleteFunc(w.pastLoads, func(p pastLoad) bool { return p.to.Before(oldest) })
	list := s.neighbourBuf[:0]
	for _, r := range w.tasks {
		if r != except && r.state != statePlanned && !r.shareSince.After(at) {
			list = addNeighbour(list, r.kind, r.share())
		}
	}
	for i := range w.pastLoads {
		p := &w.pastLoads[i]
		if p.task != except.task.ID && !p.from.After(at) && p.to.After(at) {
			list = addNeighbour(list, p.kind, p.share)
		}
	}
	s.neighbourBuf = list
	return list
}

// observeSlowdown updates the model and the controller with one measured slowdown of r.
func (s *Scheduler) observeSlowdown(r *placedTask, at time.Time, slowdown float64) {
	w := r.worker
	s.model.Observe(at, r.kind, s.neighboursAt(w, at, r), slowdown)
	if !r.latencyCritical() || at.Before(w.throttling.lastAction) {
		return
	}
	s.updateEstimate(r, slowdown-1)
	if !w.throttling.reported {
		w.throttling.reported = true
		s.reportedWorkers = append(s.reportedWorkers, w)
	}
}

// updateEstimate updates the estimated excess slowdown of a service with one report, as a one-dimensional Kalman
// filter. It starts from the model's prediction, so that the noise of the first reports has little weight.
func (s *Scheduler) updateEstimate(r *placedTask, excess float64) {
	if r.reports == 0 {
		s.neighbourBuf = r.worker.neighbours(s.neighbourBuf, r)
		r.excess = s.model.Predict(s.now, r.kind, s.neighbourBuf)
	}
	noise := s.model.Noise() * s.model.Noise()
	e := &r.excess
	e.Variance += driftRatio * noise
	limit := clipDeviations * math.Sqrt(e.Variance+noise)
	gain := e.Variance / (e.Variance + noise)
	e.Mean += gain * min(max(excess-e.Mean, -limit), limit)
	e.Variance *= 1 - gain
	r.reports++
}

// adjustThrottles throttles batch work on workers whose services are too slow, and raises throttles that are no longer
// needed. After an action it leaves the worker alone until reports show the effect.
func (s *Scheduler) adjustThrottles(p *Plan) {
	if s.cfg.DisableInterference {
		return
	}
	s.reportedWorkers = slices.DeleteFunc(s.reportedWorkers, func(w *worker) bool {
		if s.now.Sub(w.throttling.lastAction) < s.cfg.effectDelay() {
			return false
		}
		s.adjustWorker(w, p)
		w.throttling.reported = false
		return true
	})
}

func (s *Scheduler) adjustWorker(w *worker, p *Plan) {
	slowest := slowestService(w)
	if slowest == nil {
		return
	}
	excess, tolerated := slowest.excess.Mean, s.cfg.SlowdownTarget-1
	switch {
	case slowest.excess.Upper(-actionDeviations) > tolerated:
		s.throttle(slowest, 1-tolerated/excess, p)
	case s.evictThrottled(slowest, p):
	case excess < raiseMargin*tolerated && s.now.Sub(w.throttling.lastAction) >= w.throttling.raiseDelay:
		s.raiseThrottles(slowest, p)
	}
}

func slowestService(w *worker) *placedTask {
	var slowest *placedTask
	for _, r := range w.tasks {
		if r.latencyCritical() && r.reports >= minReports && (slowest == nil || r.excess.Mean > slowest.excess.Mean) {
			slowest = r
		}
	}
	return slowest
}

// contribution is the part of a service's slowdown that is attributed to a task.
type contribution struct {
	task   *placedTask
	amount float64
}

// contributions lists the co-located tasks of victim that may be throttled, the largest contribution first, and returns
// the sum.
func (s *Scheduler) contributions(victim *placedTask) ([]contribution, float64) {
	var list []contribution
	sum := 0.0
	for _, r := range victim.worker.tasks {
		if !r.evictable() || r.task.Spec.Priority <= job.PriorityUrgent {
			continue
		}
		amount := r.share() * s.model.Pair(s.now, victim.kind, r.kind).Mean
		list = append(list, contribution{r, amount})
		sum += amount
	}
	slices.SortStableFunc(list, func(a, b contribution) int {
		return cmp.Or(cmp.Compare(b.amount, a.amount), cmp.Compare(a.task.task.ID, b.task.task.ID))
	})
	return list, sum
}

// throttle removes the given fraction of the victim's excess slowdown in one action. It throttles the largest
// contributors first. If all are at the lowest throttle, it evicts the largest one.
func (s *Scheduler) throttle(victim *placedTask, fraction float64, p *Plan) {
	list, sum := s.contributions(victim)
	if len(list) == 0 {
		return
	}
	toRemove := fraction * sum
	acted := false
	for _, c := range list {
		if toRemove <= 0 {
			break
		}
		current := percentOrFull(c.task.cpuPercent)
		if current <= minCPUPercent || c.amount <= 0 {
			continue
		}
		wanted := int(float64(current) * (1 - toRemove/c.amount))
		percent := min(max(wanted, minCPUPercent), current-1)
		toRemove -= c.amount * (1 - float64(percent)/float64(current))
		s.planThrottle(c.task, percent, victim.task.ID, p)
		acted = true
	}
	if !acted {
		s.planEviction(list[0].task, victim.task.ID, p)
	}
	s.recordThrottle(victim.worker)
}

// evictThrottled evicts the most harmful task that has been throttled for a long time. Such a task holds resources that
// others could use, and may run at full speed on another worker.
func (s *Scheduler) evictThrottled(service *placedTask, p *Plan) bool {
	list, _ := s.contributions(service)
	for _, c := range list {
		r := c.task
		throttledLong := s.now.Sub(r.throttledAt) >= evictThrottleDelays*s.cfg.effectDelay()
		if r.cpuPercent == 0 || r.cpuPercent > evictCPUPercent || !throttledLong || r.task.Evictions >= s.cfg.MaxEvictions {
			continue
		}
		s.planEviction(r, service.task.ID, p)
		s.recordAction(service.worker)
		return true
	}
	return false
}

func percentOrFull(percent int) int {
	if percent == 0 {
		return 100
	}
	return percent
}

func (s *Scheduler) planThrottle(r *placedTask, percent int, victim job.TaskID, p *Plan) {
	s.plannedCounts.ThrottlesPlanned++
	p.Preemptions = append(p.Preemptions, Preemption{
		Task: r.task.ID, Worker: r.worker.spec.ID, Action: ActionThrottle, CPUPercent: percent, Beneficiary: victim,
	})
}

func (s *Scheduler) planEviction(r *placedTask, victim job.TaskID, p *Plan) {
	if r.task.Evictions >= s.cfg.MaxEvictions {
		return
	}
	r.evicting = true
	s.plannedCounts.EvictionsPlanned++
	p.Preemptions = append(p.Preemptions, Preemption{
		Task: r.task.ID, Worker: r.worker.spec.ID, Action: ActionEvict, Beneficiary: victim,
	})
}

// recordThrottle records a throttle on w and adapts the wait before the next raise: a throttle soon after a raise means
// that the raise came too early.
func (s *Scheduler) recordThrottle(w *worker) {
	c := &w.throttling
	delay := s.cfg.effectDelay()
	if !c.lastRaise.IsZero() && s.now.Sub(c.lastRaise) < 4*max(c.raiseDelay, delay) {
		c.raiseDelay = min(2*max(c.raiseDelay, delay), maxRaiseDelayFactor*delay)
	} else {
		c.raiseDelay = 2 * delay
	}
	s.recordAction(w)
}

// recordAction records an action on w. Estimates start again, because earlier reports do not show its effect.
func (s *Scheduler) recordAction(w *worker) {
	c := &w.throttling
	c.previousAction, c.lastAction = c.lastAction, s.now
	for _, r := range w.tasks {
		r.reports = 0
	}
}

// raiseThrottles raises throttles, least harmful tasks first. It stops when the model predicts that the service uses
// raiseFraction of the excess slowdown that its target still allows.
func (s *Scheduler) raiseThrottles(service *placedTask, p *Plan) {
	list, _ := s.contributions(service)
	headroom := raiseFraction * (s.cfg.SlowdownTarget - 1 - service.excess.Mean)
	acted := false
	for _, c := range slices.Backward(list) {
		r := c.task
		if r.cpuPercent == 0 {
			continue
		}
		// The contribution grows in proportion to the processor time.
		unthrottled := c.amount * 100 / float64(r.cpuPercent)
		percent := 100
		if unthrottled-c.amount > headroom {
			percent = int(100 * (c.amount + headroom) / unthrottled)
		}
		if percent <= r.cpuPercent && percent < 100 {
			continue
		}
		headroom -= unthrottled*float64(percent)/100 - c.amount
		if percent >= 100 {
			percent = 0
		}
		p.Preemptions = append(p.Preemptions, Preemption{
			Task: r.task.ID, Worker: r.worker.spec.ID, Action: ActionUnthrottle, CPUPercent: percent, Beneficiary: service.task.ID,
		})
		acted = true
	}
	if acted {
		s.recordAction(service.worker)
		service.worker.throttling.lastRaise = s.now
	}
}

// throttleNeighbours throttles batch work next to an urgent service that was just started, if the model predicts that
// the service would be too slow.
func (s *Scheduler) throttleNeighbours(r *placedTask, p *Plan) {
	if s.cfg.DisableInterference || !r.latencyCritical() {
		return
	}
	s.neighbourBuf = r.worker.neighbours(s.neighbourBuf, r)
	excess, tolerated := s.predictUpper(r.kind, s.neighbourBuf), s.cfg.SlowdownTarget-1
	if excess > tolerated {
		s.throttle(r, 1-tolerated/excess, p)
	}
}
