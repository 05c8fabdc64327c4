package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantthread/currantthread/job"
)

const (
	// enoughVictimWorkers is the number of workers compared before tasks are evicted.
	enoughVictimWorkers = 32
	// evictionCost is the cost of an eviction in addition to the lost work: stop, restart and warm-up.
	evictionCost = time.Second
)

func (q *request) urgent() bool { return q.spec.Priority <= job.PriorityUrgent }

// evictable reports whether r may be evicted for urgent work at all.
func (r *placedTask) evictable() bool {
	return r.state == stateRunning && !r.evicting && !r.latencyCritical() && r.task.Spec.Priority >= job.PriorityBatch
}

// freeCapacity frees capacity for an urgent task: it throttles tasks whose commitment was raised above the declared
// size, or else evicts tasks. It returns false if neither frees enough.
func (s *Scheduler) freeCapacity(q *request, p *Plan) bool {
	q.need = q.spec.Resources
	if w := s.findReclaimable(q); w != nil {
		s.reclaim(q, w, p)
		s.start(q, w, p)
		return true
	}
	v, ok := s.cheapestVictims(q, false)
	if !ok {
		v, ok = s.cheapestVictims(q, true)
	}
	if !ok {
		return false
	}
	for _, r := range v.tasks {
		r.evicting = true
		s.plannedCounts.EvictionsPlanned++
		p.Preemptions = append(p.Preemptions, Preemption{
			Task: r.task.ID, Worker: v.worker.spec.ID, Action: ActionEvict, Beneficiary: q.entry.task.ID,
		})
	}
	s.nominate(q.entry, v.worker, q.need)
	return true
}

// raisedCPU is the processor time that r holds beyond its declared size and that a throttle frees.
func (r *placedTask) raisedCPU() int64 {
	if !r.evictable() {
		return 0
	}
	return max(r.commitment.CPUMilli-r.task.Spec.Resources.CPUMilli, 0)
}

// findReclaimable returns a worker on which q fits after reclaim, or nil.
func (s *Scheduler) findReclaimable(q *request) *worker {
	for _, w := range s.workerList {
		if !s.mayRun(q, w) {
			continue
		}
		reclaimable := w.available()
		for _, r := range w.tasks {
			reclaimable.CPUMilli += r.raisedCPU()
		}
		if q.need.Fits(reclaimable) {
			return w
		}
	}
	return nil
}

// reclaim throttles tasks of w to their declared size until q fits. A throttled task cannot use more than its declared
// processor time, so its commitment is reduced to that immediately.
func (s *Scheduler) reclaim(q *request, w *worker, p *Plan) {
	for _, r := range w.tasks {
		if q.need.Fits(w.available()) {
			return
		}
		if r.raisedCPU() == 0 {
			continue
		}
		commit := r.commitment
		commit.CPUMilli = r.task.Spec.Resources.CPUMilli
		s.setCommitment(r, commit)
		s.planThrottle(r, 100, q.entry.task.ID, p)
	}
}

// mayRun reports whether q could run on w if w had enough free capacity.
func (s *Scheduler) mayRun(q *request, w *worker) bool {
	for _, f := range s.filters {
		if f.cause() == CauseNoWorker && !f.allows(q, w) {
			return false
		}
	}
	return true
}

// victims are the tasks to evict from one worker.
type victims struct {
	worker *worker
	tasks  []*placedTask
	// capped counts the tasks that have been evicted MaxEvictions times or more.
	capped int
	cost   time.Duration
}

func (v victims) compare(o victims) int {
	return cmp.Or(cmp.Compare(v.capped, o.capped), cmp.Compare(v.cost, o.cost))
}

// cheapestVictims finds the worker on which evictions lose the least work. Tasks that have been evicted MaxEvictions
// times are considered only if overCap is set.
func (s *Scheduler) cheapestVictims(q *request, overCap bool) (victims, bool) {
	var best victims
	found := 0
	s.rotation++
	for i := range s.workerList {
		w := s.workerList[(i+s.rotation)%len(s.workerList)]
		if !s.mayRun(q, w) {
			continue
		}
		v, ok := s.victimsOn(q, w, overCap)
		if !ok {
			continue
		}
		if found == 0 || v.compare(best) < 0 {
			v.tasks = slices.Clone(v.tasks)
			best = v
		}
		if found++; found >= enoughVictimWorkers {
			break
		}
	}
	return best, found > 0
}

// victimsOn selects tasks of w to evict so that q fits once these tasks and those that are already stopping have ended.
func (s *Scheduler) victimsOn(q *request, w *worker, overCap bool) (victims, bool) {
	free := w.available()
	candidates := s.victimBuf[:0]
	for _, r := range w.tasks {
		switch {
		case r.state == stateStopping || r.evicting:
			free = free.Add(r.commitment)
		case r.evictable() && (overCap || r.task.Evictions < s.cfg.MaxEvictions):
			candidates = append(candidates, r)
		}
	}
	s.victimBuf = candidates
	slices.SortStableFunc(candidates, func(a, b *placedTask) int { return s.compareVictims(a, b) })
	v := victims{worker: w}
	n := 0
	for ; n < len(candidates) && !q.need.Fits(free); n++ {
		free = free.Add(candidates[n].commitment)
	}
	if !q.need.Fits(free) {
		return v, false
	}
	chosen := candidates[:n]
	// Spare the most expensive victims if the others free enough capacity.
	for i := len(chosen) - 1; i >= 0; i-- {
		if rest := free.Sub(chosen[i].commitment); q.need.Fits(rest) {
			free = rest
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	v.tasks = chosen
	for _, r := range chosen {
		v.cost += r.workLost(s.now) + evictionCost
		if r.task.Evictions >= s.cfg.MaxEvictions {
			v.capped++
		}
	}
	return v, true
}

// compareVictims orders tasks by the cost of evicting them, cheapest first.
func (s *Scheduler) compareVictims(a, b *placedTask) int {
	return cmp.Or(
		compareBool(a.task.Evictions >= s.cfg.MaxEvictions, b.task.Evictions >= s.cfg.MaxEvictions),
		compareBool(a.task.Spec.Class == job.ClassStanding, b.task.Spec.Class == job.ClassStanding),
		cmp.Compare(a.workLost(s.now), b.workLost(s.now)),
		cmp.Compare(b.task.Spec.Priority, a.task.Spec.Priority),
		cmp.Compare(a.task.ID, b.task.ID),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// nominate reserves capacity on w for a task until the evictions there are confirmed.
func (s *Scheduler) nominate(e *entry, w *worker, need job.Resources) {
	s.unqueue(e)
	e.nominee, e.nominatedAt, e.reserved = w, s.now, need
	w.nominated = append(w.nominated, e)
	w.reserved = w.reserved.Add(need)
	s.nominated = append(s.nominated, e)
	s.updateIndexes(w, false)
}

// cancelNomination releases the reservation of e. Afterwards e is in no queue.
func (s *Scheduler) cancelNomination(e *entry) {
	w := e.nominee
	same := func(x *entry) bool { return x == e }
	w.nominated = slices.DeleteFunc(w.nominated, same)
	s.nominated = slices.DeleteFunc(s.nominated, same)
	w.reserved = w.reserved.Sub(e.reserved)
	e.nominee, e.reserved = nil, job.Resources{}
	s.updateIndexes(w, true)
}

// cancelNominations returns the tasks nominated to w to the queue, because w can no longer run them.
func (s *Scheduler) cancelNominations(w *worker) {
	for _, e := range slices.Clone(w.nominated) {
		s.cancelNomination(e)
		s.queue(e)
	}
}

// expireNominations returns tasks to the queue whose evictions did not free enough capacity within the effect delay.
func (s *Scheduler) expireNominations() {
	for _, e := range slices.Clone(s.nominated) {
		if s.now.Sub(e.nominatedAt) >= s.cfg.effectDelay() {
			s.cancelNomination(e)
			s.queue(e)
		}
	}
}

// startNominated starts nominated tasks that fit now, on the nominated worker or on another one. Tasks that exceed the
// quota of their team return to the queue.
func (s *Scheduler) startNominated(p *Plan, limit int) {
	for _, e := range slices.Clone(s.nominated) {
		if len(p.Starts) >= limit {
			return
		}
		if s.team(e.task.Team).overQuota(e.task.Spec.Resources) != "" {
			s.cancelNomination(e)
			s.queue(e)
			continue
		}
		q := s.request(e)
		q.need = e.reserved
		w := e.nominee
		if s.rejectedBy(q, w) != nil {
			w = s.search(q)
		}
		if w != nil {
			s.start(q, w, p)
		}
	}
}
