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
	// maxInterferenceRejects bounds the workers that one decision rejects because of interference, from each end of the
	// index.
	maxInterferenceRejects = 16
)

// Advance sets the scheduler's time without planning.
func (s *Scheduler) Advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

// Plan decides on at most limit starts, on preemptions, and on which tasks are parked. Resources of the starts are held
// until Commit or Abort. now must come from a monotonic clock; a time before that of the previous call is ignored.
func (s *Scheduler) Plan(now time.Time, limit int) Plan {
	s.Advance(now)
	s.endBackoffs()
	s.endTaskBackoffs()
	s.expireNominations()
	var p Plan
	s.adjustThrottles(&p)
	s.startNominated(&p, limit)
	// Nominated tasks that start on another worker free their reservations, so parked tasks are woken after them.
	s.wake()
	clear(s.noFit)
	for len(p.Starts) < limit {
		g := s.next()
		if g == nil && s.events.anyFreed {
			// Throttling for urgent work may free more capacity than the work needs.
			s.wake()
			clear(s.noFit)
			g = s.next()
		}
		if g == nil {
			break
		}
		s.planHead(g, &p)
	}
	s.plannedCounts.StartsPlanned += int64(len(p.Starts))
	return p
}

func (s *Scheduler) endTaskBackoffs() {
	for len(s.backoff) > 0 && !s.now.Before(s.backoff[0].readyAt) {
		s.queue(heap.Pop(&s.backoff).(*entry))
	}
}

// planHead starts the oldest task of g, frees capacity for it, or parks g.
func (s *Scheduler) planHead(g *group, p *Plan) {
	e := g.head()
	if cause, reason := s.blockingCause(g, e); cause != "" {
		p.Parked = append(p.Parked, s.park(g, cause, reason))
		return
	}
	q := s.request(e)
	key := fitKeyOf(&g.equivClass)
	refused, known := s.noFit[key]
	if !known {
		if w := s.find(q); w != nil {
			s.start(q, w, p)
			return
		}
	}
	if q.urgent() && s.freeCapacity(q, p) {
		return
	}
	if !known {
		refused.cause, refused.reason = s.explain(q)
		s.noFit[key] = refused
	}
	cause, reason := refused.cause, refused.reason
	g.need = q.spec.Resources
	g.retryAt = s.now.Add(s.cfg.effectDelay())
	p.Parked = append(p.Parked, s.park(g, cause, reason))
}

// fitKey holds the properties of a task that decide on which workers it fits. Tasks of different teams may share one.
type fitKey struct {
	class       job.Class
	urgent      bool
	resources   job.Resources
	kind        string
	constraints job.Constraints
	failedOn    string
}

func fitKeyOf(ec *equivClass) fitKey {
	return fitKey{ec.class, ec.priority <= job.PriorityUrgent, ec.resources, ec.kind, ec.constraints, ec.failedOn}
}

// refusal is the reason why a task fits on no worker. It is valid for the rest of the plan unless capacity is freed.
type refusal struct {
	cause  Cause
	reason string
}

// blockingCause returns why no task of g may start, regardless of the capacity of workers, or "" if nothing prevents
// it.
func (s *Scheduler) blockingCause(g *group, e *entry) (Cause, string) {
	if g.equivClass.operatorReason != "" {
		return CauseOperator, g.equivClass.operatorReason
	}
	if g.equivClass.job != "" && s.jobs.isBad(g.equivClass.job) {
		return CauseBadJob, s.badJobReason(g.equivClass.job)
	}
	if s.failsEverywhere(&e.task) {
		return CauseBadJob, fmt.Sprintf("the task failed on %d different workers (%s); correct it and release its job",
			len(e.task.FailedOn), strings.Join(e.task.FailedOn, ", "))
	}
	if reason := g.teamQueue.team.overQuota(e.task.Spec.Resources); reason != "" {
		return CauseQuota, reason
	}
	return "", ""
}

// overQuota returns why a task of the declared size does not fit into the team's quota, or "" if it fits.
func (t *team) overQuota(declared job.Resources) string {
	quota := t.config.Quota
	if axis := exceededAxis(declared, quota); axis != "" {
		return fmt.Sprintf("one task alone exceeds team %s's quota of %s; raise the quota or make the task smaller",
			t.name, axis)
	}
	if axis := exceededAxis(t.used.Add(t.config.UsedElsewhere).Add(declared), quota); axis != "" {
		return fmt.Sprintf("team %s has used up its quota of %s; wait for its tasks to end or raise the quota", t.name, axis)
	}
	return ""
}

func (s *Scheduler) request(e *entry) *request {
	return &request{
		entry: e, spec: &e.task.Spec, need: s.commitment(&e.task),
		kind: s.model.Kind(e.task.Spec.Kind), now: s.now, nominee: e.nominee,
	}
}

// find returns the best worker on which q can start now, or nil. If the learned size fits on no worker, it tries the
// declared size.
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
		return s.bestRated(q, s.serviceScores)
	}
	s.packCandidates(q)
	return s.bestRated(q, s.batchScores)
}

func (s *Scheduler) bestRated(q *request, scores []weightedScore) *worker {
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

// rejectedBy returns the first filter that rejects w, or nil.
func (s *Scheduler) rejectedBy(q *request, w *worker) filter {
	for _, f := range s.filters {
		if !f.allows(q, w) {
			return f
		}
	}
	return nil
}

// packCandidates collects the fullest workers that can run q. If these have capacity but are rejected because of
// interference, it searches from the emptiest workers.
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
	index, amount := &s.freeIndexes[indexCPU], q.need.CPUMilli
	if q.need.Accelerators > 0 {
		index, amount = &s.freeIndexes[indexAccelerators], q.need.Accelerators
	}
	index.ascend(amount, visit)
	if rejects >= maxInterferenceRejects && len(s.candidates) == 0 {
		rejects = 0
		index.descend(amount, visit)
	}
}

// spreadCandidates collects workers that can run q on the racks with the fewest replicas of its service.
func (s *Scheduler) spreadCandidates(q *request) {
	s.candidates = s.candidates[:0]
	counts := s.spread(q.spec.Service)
	s.rotation++
	for replicas, ok := s.fewestReplicas(counts, -1); ok; replicas, ok = s.fewestReplicas(counts, replicas) {
		for i := range s.racks {
			r := s.racks[(i+s.rotation)%len(s.racks)]
			if counts.replicasOn(r) != replicas || !r.mayFit(q.need) {
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

// fewestReplicas returns the smallest number of replicas on any rack that is greater than floor.
func (s *Scheduler) fewestReplicas(counts *spread, floor int) (replicas int, ok bool) {
	for _, r := range s.racks {
		if n := counts.replicasOn(r); n > floor && (!ok || n < replicas) {
			replicas, ok = n, true
		}
	}
	return replicas, ok
}

// start adds a start of q on w to the plan: it allocates the resources and removes the task from the queue.
func (s *Scheduler) start(q *request, w *worker, p *Plan) {
	e := q.entry
	s.removeEntry(e)
	r := s.allocate(e.task, w, q.need, e.seq)
	p.Starts = append(p.Starts, Allocation{Task: r.task, Worker: w.spec.ID, Commitment: q.need})
	if q.urgent() {
		s.throttleNeighbours(r, p)
	}
}

// explain examines all workers and returns why q cannot start on any of them, and which kind of event may change that.
func (s *Scheduler) explain(q *request) (Cause, string) {
	if len(s.workerList) == 0 {
		return CauseNoWorker, "the cell has no workers"
	}
	counts := make([]int, len(s.filters))
	cause := CauseNoWorker
	for _, w := range s.workerList {
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
		len(s.workerList), describe(q.need), strings.Join(parts, ", "))
}

func describe(r job.Resources) string {
	return fmt.Sprintf("%d milli of processor time, %d MiB of memory, %d accelerators",
		r.CPUMilli, r.MemoryMiB, r.Accelerators)
}
