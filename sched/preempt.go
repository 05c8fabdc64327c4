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
	// evictionCost is the work that each eviction costs besides the work lost: stop, restart and warm-up.
	evictionCost = time.Second
)

func (q *request) urgent() bool { return q.spec.Priority <= job.PriorityUrgent }

// evictable reports whether r may be evicted for urgent work at all.
func (r *running) evictable() bool {
	return r.state == stateRunning && !r.evicting && !r.latencyCritical() && r.task.Spec.Priority >= job.PriorityBatch
}

// makeRoom finds room for an urgent task: by throttling tasks whose commitment was raised above the declared size, or
// else by evicting tasks. It returns false if neither would help.
func (s *Scheduler) makeRoom(q *request, p *Plan) bool {
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
		s.counts.EvictionsPlanned++
		p.Preemptions = append(p.Preemptions, Preemption{
			Task: r.task.ID, Worker: v.worker.spec.ID, Action: ActionEvict, For: q.entry.task.ID,
		})
	}
	s.nominate(q.entry, v.worker, q.need)
	return true
}

// raised is the processor time that r holds beyond its declared size and that a throttle gives back.
func (r *running) raised() int64 {
	if !r.evictable() {
		return 0
	}
	return max(r.commit.CPUMilli-r.task.Spec.Resources.CPUMilli, 0)
}

func (s *Scheduler) findReclaimable(q *request) *worker {
	for _, w := range s.list {
		if !s.mayRun(q, w) {
			continue
		}
		room := w.available()
		for _, r := range w.tasks {
			room.CPUMilli += r.raised()
		}
		if q.need.Fits(room) {
			return w
		}
	}
	return nil
}

// reclaim throttles tasks of w to their declared size until q fits. A throttled task cannot use more than its declared
// processor time, so its commitment returns to that at once.
func (s *Scheduler) reclaim(q *request, w *worker, p *Plan) {
	for _, r := range w.tasks {
		if q.need.Fits(w.available()) {
			return
		}
		if r.raised() == 0 {
			continue
		}
		commit := r.commit
		commit.CPUMilli = r.task.Spec.Resources.CPUMilli
		s.setCommitment(r, commit)
		s.planThrottle(r, 100, q.entry.task.ID, p)
	}
}

// mayRun reports whether q could run on w if there were room.
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
	tasks  []*running
	// capped counts tasks that reached the limit of evictions.
	capped int
	cost   time.Duration
}

func (v victims) compare(o victims) int {
	return cmp.Or(cmp.Compare(v.capped, o.capped), cmp.Compare(v.cost, o.cost))
}

// cheapestVictims compares workers by the work that evictions there would lose. Tasks that reached the limit of
// evictions are considered only if overCap is set.
func (s *Scheduler) cheapestVictims(q *request, overCap bool) (victims, bool) {
	var best victims
	found := 0
	s.rotation++
	for i := range s.list {
		w := s.list[(i+s.rotation)%len(s.list)]
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

// victimsOn chooses tasks of w to evict so that q fits once they and the tasks that stop anyway are gone.
func (s *Scheduler) victimsOn(q *request, w *worker, overCap bool) (victims, bool) {
	room := w.available()
	candidates := s.victimBuf[:0]
	for _, r := range w.tasks {
		switch {
		case r.state == stateStopping || r.evicting:
			room = room.Add(r.commit)
		case r.evictable() && (overCap || r.task.Evictions < s.cfg.MaxEvictions):
			candidates = append(candidates, r)
		}
	}
	s.victimBuf = candidates
	slices.SortStableFunc(candidates, func(a, b *running) int { return s.compareVictims(a, b) })
	v := victims{worker: w}
	n := 0
	for ; n < len(candidates) && !q.need.Fits(room); n++ {
		room = room.Add(candidates[n].commit)
	}
	if !q.need.Fits(room) {
		return v, false
	}
	chosen := candidates[:n]
	// Keeps the tasks that are dearest to evict if the others suffice.
	for i := len(chosen) - 1; i >= 0; i-- {
		if rest := room.Sub(chosen[i].commit); q.need.Fits(rest) {
			room = rest
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

// compareVictims orders tasks by how little an eviction costs.
func (s *Scheduler) compareVictims(a, b *running) int {
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

// nominate reserves room on w for a task until evictions there are confirmed.
func (s *Scheduler) nominate(e *entry, w *worker, need job.Resources) {
	s.unqueue(e)
	e.nominee, e.nominatedAt, e.held = w, s.now, need
	w.nominated = append(w.nominated, e)
	w.reserved = w.reserved.Add(need)
	s.nominated = append(s.nominated, e)
	s.changed(w, false)
}

// denominate gives up the reservation of e, which is then in no queue.
func (s *Scheduler) denominate(e *entry) {
	w := e.nominee
	same := func(x *entry) bool { return x == e }
	w.nominated = slices.DeleteFunc(w.nominated, same)
	s.nominated = slices.DeleteFunc(s.nominated, same)
	w.reserved = w.reserved.Sub(e.held)
	e.nominee, e.held = nil, job.Resources{}
	s.changed(w, true)
}

// denominateAll sends tasks nominated to w back to the queue: the evictions can no longer help them.
func (s *Scheduler) denominateAll(w *worker) {
	for _, e := range slices.Clone(w.nominated) {
		s.denominate(e)
		s.queue(e)
	}
}

// expireNominations sends tasks back to the queue whose evictions had time to show an effect and did not make room.
func (s *Scheduler) expireNominations() {
	for _, e := range slices.Clone(s.nominated) {
		if s.now.Sub(e.nominatedAt) >= s.cfg.effectDelay() {
			s.denominate(e)
			s.queue(e)
		}
	}
}

// startNominated starts tasks whose room is free now, on the chosen worker or elsewhere.
func (s *Scheduler) startNominated(p *Plan, limit int) {
	for _, e := range slices.Clone(s.nominated) {
		if len(p.Starts) >= limit {
			return
		}
		if s.team(e.task.Team).overQuota(e.task.Spec.Resources) != "" {
			s.denominate(e)
			s.queue(e)
			continue
		}
		q := s.request(e)
		q.need = e.held
		w := e.nominee
		if s.rejectedBy(q, w) != nil {
			w = s.search(q)
		}
		if w != nil {
			s.start(q, w, p)
		}
	}
}
