package sched

import (
	"container/heap"
	"fmt"
	"strings"
	"time"

	"github.com/currantthread/currantthread/job"
)

const (
	// enoughCandidates is the number of workers that are scored for one decision.
	enoughCandidates = 8
	// maxInterferenceRejects bounds the workers tried in vain for interference in one decision, from each end of the
	// index.
	maxInterferenceRejects = 16
)

// Advance sets the scheduler's time without planning anything.
func (s *Scheduler) Advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

// Plan decides at most limit starts, the preemptions that go with them, and which tasks are parked. Resources of the
// starts are held until Commit or Abort. now comes from a monotonic clock; an earlier time than before is ignored.
func (s *Scheduler) Plan(now time.Time, limit int) Plan {
	s.Advance(now)
	s.endBackoffs()
	s.endTaskBackoffs()
	s.expireNominations()
	var p Plan
	s.control(&p)
	s.startNominated(&p, limit)
	// Nominated tasks that started elsewhere free their reservations, so waking comes last.
	s.wake()
	clear(s.noFit)
	for len(p.Starts) < limit {
		g := s.next()
		if g == nil && s.events.gain {
			// Throttles for urgent work may free more than it needs.
			s.wake()
			clear(s.noFit)
			g = s.next()
		}
		if g == nil {
			break
		}
		s.planHead(g, &p)
	}
	s.counts.StartsPlanned += int64(len(p.Starts))
	return p
}

func (s *Scheduler) endTaskBackoffs() {
	for len(s.backoff) > 0 && !s.now.Before(s.backoff[0].readyAt) {
		s.queue(heap.Pop(&s.backoff).(*entry))
	}
}

// planHead starts the oldest task of g, prepares room for it, or parks g.
func (s *Scheduler) planHead(g *group, p *Plan) {
	e := g.head()
	if cause, reason := s.heldBack(g, e); cause != "" {
		p.Parked = append(p.Parked, s.park(g, cause, reason))
		return
	}
	q := s.request(e)
	key := fitOf(&g.shape)
	refused, tried := s.noFit[key]
	if !tried {
		if w := s.find(q); w != nil {
			s.start(q, w, p)
			return
		}
	}
	if q.urgent() && s.makeRoom(q, p) {
		return
	}
	if !tried {
		refused.cause, refused.reason = s.explain(q)
		s.noFit[key] = refused
	}
	cause, reason := refused.cause, refused.reason
	g.need = q.spec.Resources
	g.retryAt = s.now.Add(s.cfg.effectDelay())
	p.Parked = append(p.Parked, s.park(g, cause, reason))
}

// fit is what decides on which workers a task fits, whoever it belongs to.
type fit struct {
	class     job.Class
	urgent    bool
	resources job.Resources
	kind      string
	limits    job.Constraints
	failedOn  string
}

func fitOf(sh *shape) fit {
	return fit{sh.class, sh.priority <= job.PriorityUrgent, sh.resources, sh.kind, sh.limits, sh.failedOn}
}

// refusal is why a fit was in vain. It holds for the rest of the plan, because room only shrinks meanwhile.
type refusal struct {
	cause  Cause
	reason string
}

// heldBack returns why g may not start whatever worker is free.
func (s *Scheduler) heldBack(g *group, e *entry) (Cause, string) {
	if g.shape.held != "" {
		return CauseOperator, g.shape.held
	}
	if g.shape.job != "" && s.jobs.isBad(g.shape.job) {
		return CauseBadJob, s.badJobReason(g.shape.job)
	}
	if s.failsEverywhere(&e.task) {
		return CauseBadJob, fmt.Sprintf("the task failed on %d different workers (%s); correct it and release its job",
			len(e.task.FailedOn), strings.Join(e.task.FailedOn, ", "))
	}
	if reason := g.lane.team.overQuota(e.task.Spec.Resources); reason != "" {
		return CauseQuota, reason
	}
	return "", ""
}

// overQuota returns why a task of the given declared size does not fit into the team's quota.
func (t *team) overQuota(declared job.Resources) string {
	quota := t.limits.Quota
	if axis := exceeds(declared, quota); axis != "" {
		return fmt.Sprintf("one task alone exceeds team %s's quota of %s; raise the quota or make the task smaller",
			t.name, axis)
	}
	if axis := exceeds(t.used.Add(t.limits.Elsewhere).Add(declared), quota); axis != "" {
		return fmt.Sprintf("team %s has used up its quota of %s; wait for its tasks to end or raise the quota", t.name, axis)
	}
	return ""
}

func (s *Scheduler) request(e *entry) *request {
	return &request{
		entry: e, spec: &e.task.Spec, need: s.commitment(&e.task),
		kind: s.model.Kind(e.task.Spec.Kind), now: s.now, own: e.nominee,
	}
}

// find returns the best worker on which q can start now. If the learned size fits nowhere, the declared size is tried.
func (s *Scheduler) find(q *request) *worker {
	w := s.search(q)
	if w == nil && q.need != q.spec.Resources {
		q.need = q.spec.Resources
		w = s.search(q)
	}
	return w
}

func (s *Scheduler) search(q *request) *worker {
	if q.latencyCritical() {
		s.spreadCandidates(q)
		return s.best(q, s.serviceScores)
	}
	s.packCandidates(q)
	return s.best(q, s.batchScores)
}

func (s *Scheduler) best(q *request, scores []weightedScore) *worker {
	var best *worker
	bestRating := 0.0
	for _, w := range s.candidates {
		rating := 0.0
		for _, x := range scores {
			rating += x.weight * x.score.rate(q, w)
		}
		if best == nil || rating > bestRating {
			best, bestRating = w, rating
		}
	}
	return best
}

// rejectedBy returns the first filter that rules w out, or nil.
func (s *Scheduler) rejectedBy(q *request, w *worker) filter {
	for _, f := range s.filters {
		if !f.allows(q, w) {
			return f
		}
	}
	return nil
}

// packCandidates collects the fullest workers that allow q. If the fullest have room but would slow their services
// down, it looks among the emptiest.
func (s *Scheduler) packCandidates(q *request) {
	s.candidates = s.candidates[:0]
	rejects := 0
	visit := func(w *worker) bool {
		switch f := s.rejectedBy(q, w); {
		case f == nil:
			s.candidates = append(s.candidates, w)
		case f.cause() == CauseInterference:
			rejects++
		}
		return len(s.candidates) < enoughCandidates && rejects < maxInterferenceRejects
	}
	index, amount := &s.byFree[indexCPU], q.need.CPUMilli
	if q.need.Accelerators > 0 {
		index, amount = &s.byFree[indexAccelerators], q.need.Accelerators
	}
	index.ascend(amount, visit)
	if rejects >= maxInterferenceRejects && len(s.candidates) == 0 {
		rejects = 0
		index.descend(amount, visit)
	}
}

// spreadCandidates collects workers that allow q on the racks with the fewest replicas of its service.
func (s *Scheduler) spreadCandidates(q *request) {
	s.candidates = s.candidates[:0]
	counts := s.spread(q.spec.Service)
	s.rotation++
	for replicas, ok := s.fewest(counts, -1); ok; replicas, ok = s.fewest(counts, replicas) {
		for i := range s.racks {
			r := s.racks[(i+s.rotation)%len(s.racks)]
			if counts.on(r) != replicas || !r.mayFit(q.need) {
				continue
			}
			for _, w := range r.workers {
				if s.rejectedBy(q, w) == nil {
					s.candidates = append(s.candidates, w)
				}
			}
			if len(s.candidates) >= enoughCandidates {
				return
			}
		}
		if len(s.candidates) > 0 {
			return
		}
	}
}

// fewest returns the smallest number of replicas on a rack that is above floor.
func (s *Scheduler) fewest(counts *spread, floor int) (replicas int, ok bool) {
	for _, r := range s.racks {
		if n := counts.on(r); n > floor && (!ok || n < replicas) {
			replicas, ok = n, true
		}
	}
	return replicas, ok
}

// start holds resources of w for q and takes its task out of the queue.
func (s *Scheduler) start(q *request, w *worker, p *Plan) {
	e := q.entry
	s.takeOut(e)
	r := s.allocate(e.task, w, q.need, e.seq)
	p.Starts = append(p.Starts, Allocation{Task: r.task, Worker: w.spec.ID, Commitment: q.need})
	if q.urgent() {
		s.relieve(r, p)
	}
}

// explain examines all workers and says in words why q cannot start, and which event could help.
func (s *Scheduler) explain(q *request) (Cause, string) {
	if len(s.list) == 0 {
		return CauseNoWorker, "the cell has no workers"
	}
	counts := make([]int, len(s.filters))
	cause := CauseNoWorker
	for _, w := range s.list {
		for i, f := range s.filters {
			if f.allows(q, w) {
				continue
			}
			counts[i]++
			if f.cause() == CauseInterference || f.cause() == CauseCapacity && cause == CauseNoWorker {
				cause = f.cause()
			}
			break
		}
	}
	var parts []string
	for i, f := range s.filters {
		if counts[i] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[i], f.name()))
		}
	}
	return cause, fmt.Sprintf("none of %d workers can start it (needs %s): %s",
		len(s.list), describe(q.need), strings.Join(parts, ", "))
}

func describe(r job.Resources) string {
	return fmt.Sprintf("%d milli of processor time, %d MiB of memory, %d accelerators",
		r.CPUMilli, r.MemoryMiB, r.Accelerators)
}
