package sched

import "github.com/currantthread/currantthread/interference"

// interferenceFilter keeps the predicted slow-down of each service on the worker within the target.
type interferenceFilter struct{ s *Scheduler }

func (f interferenceFilter) name() string {
	return "would slow a service down beyond the target"
}
func (f interferenceFilter) cause() Cause { return CauseInterference }
func (f interferenceFilter) allows(q *request, w *worker) bool {
	if f.s.cfg.DisableInterference || q.urgent() || w.services == 0 && !q.latencyCritical() {
		return true
	}
	return f.s.predictWorst(q, w) <= f.s.cfg.SlowdownTarget-1
}

// headroomFilter keeps a fixed part of workers that run services free of batch work.
type headroomFilter struct{ s *Scheduler }

func (f headroomFilter) name() string { return "must keep their static headroom for services" }
func (f headroomFilter) cause() Cause { return CauseCapacity }
func (f headroomFilter) allows(q *request, w *worker) bool {
	if f.s.cfg.StaticHeadroom <= 0 || w.services == 0 || q.latencyCritical() {
		return true
	}
	limit := (1 - f.s.cfg.StaticHeadroom) * float64(w.spec.Capacity.CPUMilli)
	return float64(w.committed.CPUMilli+q.need.CPUMilli) <= limit
}

// predictWorst returns the largest upper estimate of the excess slow-down among the services on w, with q started
// there, q included if it is a service.
func (s *Scheduler) predictWorst(q *request, w *worker) float64 {
	share := ratio(q.need.CPUMilli, w.spec.Capacity.CPUMilli)
	s.neighbourBuf = w.neighbours(s.neighbourBuf, nil)
	worst := 0.0
	if q.latencyCritical() {
		worst = s.upper(q.kind, s.neighbourBuf)
	}
	s.neighbourBuf = addNeighbour(s.neighbourBuf, q.kind, share)
	for _, r := range w.tasks {
		if !r.latencyCritical() {
			continue
		}
		// The task's own share is part of the list; a task does not slow itself down.
		changeShare(s.neighbourBuf, r.kind, -r.share())
		worst = max(worst, s.upperAt(q, r.kind))
		changeShare(s.neighbourBuf, r.kind, r.share())
	}
	return worst
}

func changeShare(list []interference.Neighbour, kind interference.Kind, delta float64) {
	for i := range list {
		if list[i].Kind == kind {
			list[i].Share = max(list[i].Share+delta, 0)
			return
		}
	}
}

func (s *Scheduler) upperAt(q *request, kind interference.Kind) float64 {
	return s.model.Predict(q.now, kind, s.neighbourBuf).Upper(s.cfg.Confidence)
}

func (s *Scheduler) upper(kind interference.Kind, list []interference.Neighbour) float64 {
	return s.model.Predict(s.now, kind, list).Upper(s.cfg.Confidence)
}
