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
	// minCPUPercent is the lowest throttle; below it a task is evicted instead.
	minCPUPercent = 10
	// lowCPUPercent and longThrottle say when a throttled task is evicted: at most that part of its processor time, for
	// that many effect delays.
	lowCPUPercent = 40
	longThrottle  = 6
	// releasePart is the part of the tolerated excess still left that raised throttles may use up at a time.
	releasePart = 0.5
	// releaseMargin is the part of the tolerated excess below which throttles are raised, so that throttling and
	// releasing do not follow each other at the same slow-down.
	releaseMargin = 0.7
	// maxHoldFactor bounds the wait before a throttle is raised, in multiples of the effect delay.
	maxHoldFactor = 8
	// drift is the variance that a service's slow-down gains between two reports, as a part of the variance of one
	// report, so that the estimate follows shifts of load within some tens of reports.
	drift = 0.05
	// clipDeviations bounds the surprise of one report, which may be an outlier.
	clipDeviations = 1.25
	// sureDeviations is how many standard deviations an estimate must lie beyond the target before an action.
	sureDeviations = 1.5
	// minReports is the number of reports since the last action before another one.
	minReports = 3
)

// workerControl is the state of the controller that protects the services of one worker.
type workerControl struct {
	// observed is set while the worker is in Scheduler.observed.
	observed bool
	// lastAction and previousAction are times of the last two actions; the latter is restored by Abort.
	lastAction, previousAction time.Time
	// lastRelease is the time of the last raise of a throttle.
	lastRelease time.Time
	// hold is the wait after an action before a throttle is raised. It doubles when a raise had to be taken back.
	hold time.Duration
}

// pastLoad is the share that a task had of its worker for a time that is over.
type pastLoad struct {
	kind     interference.Kind
	task     job.TaskID
	share    float64
	from, to time.Time
}

// logShare closes the time for which r had its present share.
func (r *running) logShare(now time.Time) {
	if r.shareSince.IsZero() || !now.After(r.shareSince) {
		return
	}
	r.worker.past = append(r.worker.past, pastLoad{r.kind, r.task.ID, r.share(), r.shareSince, now})
	r.shareSince = now
}

func (r *running) setThrottle(now time.Time, percent int) {
	r.logShare(now)
	if r.cpuPercent == 0 {
		r.throttledAt = now
	}
	r.cpuPercent = percent
	r.worker.cache.valid = false
}

// neighboursAt lists the load on w at a past time, without the task except.
func (s *Scheduler) neighboursAt(w *worker, at time.Time, except *running) []interference.Neighbour {
	oldest := s.now.Add(-2 * s.cfg.effectDelay())
	w.past = slices.DeleteFunc(w.past, func(p pastLoad) bool { return p.to.Before(oldest) })
	list := s.neighbourBuf[:0]
	for _, r := range w.tasks {
		if r != except && r.state != statePlanned && !r.shareSince.After(at) {
			list = addNeighbour(list, r.kind, r.share())
		}
	}
	for i := range w.past {
		p := &w.past[i]
		if p.task != except.task.ID && !p.from.After(at) && p.to.After(at) {
			list = addNeighbour(list, p.kind, p.share)
		}
	}
	s.neighbourBuf = list
	return list
}

// observeSlowdown teaches the model and the controller one measured slow-down of r.
func (s *Scheduler) observeSlowdown(r *running, at time.Time, slowdown float64) {
	w := r.worker
	s.model.Observe(at, r.kind, s.neighboursAt(w, at, r), slowdown)
	if !r.latencyCritical() || at.Before(w.control.lastAction) {
		return
	}
	s.estimate(r, slowdown-1)
	if !w.control.observed {
		w.control.observed = true
		s.observed = append(s.observed, w)
	}
}

// estimate filters the reports of one service. It starts from what the model predicts, so that noise of the first
// reports weighs little.
func (s *Scheduler) estimate(r *running, excess float64) {
	if r.reports == 0 {
		s.neighbourBuf = r.worker.neighbours(s.neighbourBuf, r)
		r.excess = s.model.Predict(s.now, r.kind, s.neighbourBuf)
	}
	noise := s.model.Noise() * s.model.Noise()
	e := &r.excess
	e.Variance += drift * noise
	limit := clipDeviations * math.Sqrt(e.Variance+noise)
	gain := e.Variance / (e.Variance + noise)
	e.Mean += gain * min(max(excess-e.Mean, -limit), limit)
	e.Variance *= 1 - gain
	r.reports++
}

// control throttles batch work on workers whose services are too slow, and raises throttles that are no longer needed.
// After each action on a worker it waits until the effect can show in reports.
func (s *Scheduler) control(p *Plan) {
	if s.cfg.DisableInterference {
		return
	}
	s.observed = slices.DeleteFunc(s.observed, func(w *worker) bool {
		if s.now.Sub(w.control.lastAction) < s.cfg.effectDelay() {
			return false
		}
		s.controlWorker(w, p)
		w.control.observed = false
		return true
	})
}

func (s *Scheduler) controlWorker(w *worker, p *Plan) {
	slowest := slowestService(w)
	if slowest == nil {
		return
	}
	excess, tolerated := slowest.excess.Mean, s.cfg.SlowdownTarget-1
	switch {
	case slowest.excess.Upper(-sureDeviations) > tolerated:
		s.throttle(slowest, 1-tolerated/excess, p)
	case s.evictThrottled(slowest, p):
	case excess < releaseMargin*tolerated && s.now.Sub(w.control.lastAction) >= w.control.hold:
		s.releaseThrottle(slowest, p)
	}
}

func slowestService(w *worker) *running {
	var slowest *running
	for _, r := range w.tasks {
		if r.latencyCritical() && r.reports >= minReports && (slowest == nil || r.excess.Mean > slowest.excess.Mean) {
			slowest = r
		}
	}
	return slowest
}

// contribution is the part of the victim's slow-down that is attributed to a task.
type contribution struct {
	task   *running
	amount float64
}

// contributions lists the tasks beside victim that may be throttled, the strongest first, and their sum.
func (s *Scheduler) contributions(victim *running) ([]contribution, float64) {
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

// throttle takes away the given part of the victim's excess slow-down in one action: the strongest contributors are
// throttled first. If they are all at the lowest throttle, the strongest is evicted.
func (s *Scheduler) throttle(victim *running, part float64, p *Plan) {
	list, sum := s.contributions(victim)
	if len(list) == 0 {
		return
	}
	toRemove := part * sum
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
	s.afterThrottle(victim.worker)
}

// evictThrottled evicts the most harmful task that has been throttled for long: it holds resources that others could
// use, and may run at full speed elsewhere.
func (s *Scheduler) evictThrottled(service *running, p *Plan) bool {
	list, _ := s.contributions(service)
	for _, c := range list {
		r := c.task
		long := s.now.Sub(r.throttledAt) >= longThrottle*s.cfg.effectDelay()
		if r.cpuPercent == 0 || r.cpuPercent > lowCPUPercent || !long || r.task.Evictions >= s.cfg.MaxEvictions {
			continue
		}
		s.planEviction(r, service.task.ID, p)
		s.noteAction(service.worker)
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

func (s *Scheduler) planThrottle(r *running, percent int, victim job.TaskID, p *Plan) {
	s.counts.ThrottlesPlanned++
	p.Preemptions = append(p.Preemptions, Preemption{
		Task: r.task.ID, Worker: r.worker.spec.ID, Action: ActionThrottle, CPUPercent: percent, For: victim,
	})
}

func (s *Scheduler) planEviction(r *running, victim job.TaskID, p *Plan) {
	if r.task.Evictions >= s.cfg.MaxEvictions {
		return
	}
	r.evicting = true
	s.counts.EvictionsPlanned++
	p.Preemptions = append(p.Preemptions, Preemption{
		Task: r.task.ID, Worker: r.worker.spec.ID, Action: ActionEvict, For: victim,
	})
}

// afterThrottle starts the wait for the effect. A throttle soon after a raise means that the raise was too early.
func (s *Scheduler) afterThrottle(w *worker) {
	c := &w.control
	delay := s.cfg.effectDelay()
	if !c.lastRelease.IsZero() && s.now.Sub(c.lastRelease) < 4*max(c.hold, delay) {
		c.hold = min(2*max(c.hold, delay), maxHoldFactor*delay)
	} else {
		c.hold = 2 * delay
	}
	s.noteAction(w)
}

func (s *Scheduler) noteAction(w *worker) {
	c := &w.control
	c.previousAction, c.lastAction = c.lastAction, s.now
	for _, r := range w.tasks {
		r.reports = 0
	}
}

// releaseThrottle raises throttles, least harmful tasks first, as far as the model expects the service to use up only
// a part of what its target leaves.
func (s *Scheduler) releaseThrottle(service *running, p *Plan) {
	list, _ := s.contributions(service)
	room := releasePart * (s.cfg.SlowdownTarget - 1 - service.excess.Mean)
	acted := false
	for _, c := range slices.Backward(list) {
		r := c.task
		if r.cpuPercent == 0 {
			continue
		}
		// The contribution grows in proportion to the processor time.
		whole := c.amount * 100 / float64(r.cpuPercent)
		percent := 100
		if whole-c.amount > room {
			percent = int(100 * (c.amount + room) / whole)
		}
		if percent <= r.cpuPercent && percent < 100 {
			continue
		}
		room -= whole*float64(percent)/100 - c.amount
		if percent >= 100 {
			percent = 0
		}
		p.Preemptions = append(p.Preemptions, Preemption{
			Task: r.task.ID, Worker: r.worker.spec.ID, Action: ActionUnthrottle, CPUPercent: percent, For: service.task.ID,
		})
		acted = true
	}
	if acted {
		s.noteAction(service.worker)
		service.worker.control.lastRelease = s.now
	}
}

// relieve throttles batch work next to an urgent service that was started where the model expects it to be too slow.
func (s *Scheduler) relieve(r *running, p *Plan) {
	if s.cfg.DisableInterference || !r.latencyCritical() {
		return
	}
	s.neighbourBuf = r.worker.neighbours(s.neighbourBuf, r)
	excess, tolerated := s.upper(r.kind, s.neighbourBuf), s.cfg.SlowdownTarget-1
	if excess > tolerated {
		s.throttle(r, 1-tolerated/excess, p)
	}
}
