package sched

import "github.com/currantthread/currantthread/interference"

// interferenceScore prefers workers whose services have the smallest predicted slowdown.
type interferenceScore struct{ s *Scheduler }

func (f interferenceScore) rate(q *request, w *worker) float64 {
	if f.s.cfg.DisableInterference || w.serviceReplicas == 0 && !q.latencyCritical() {
		return 1
	}
	return 1 / (1 + f.s.predictWorst(q, w))
}

// separationScore prefers workers without services for batch work that slows services down, and workers with services for
// other batch work, so that the former stay free.
type separationScore struct{ s *Scheduler }

func (f separationScore) rate(q *request, w *worker) float64 {
	if f.s.cfg.DisableInterference {
		return 1
	}
	caused := f.s.causedSlowdown(q)
	if w.serviceReplicas == 0 {
		return caused
	}
	return 1 - caused
}

// causedSlowdown returns the largest excess slowdown that the request's kind causes to a kind of service in the cell, at
// most 1.
func (s *Scheduler) causedSlowdown(q *request) float64 {
	if q.causedSlowdownCached {
		return q.causedSlowdown
	}
	q.causedSlowdownCached = true
	for kind, replicas := range s.serviceKinds {
		if replicas > 0 {
			q.causedSlowdown = max(q.causedSlowdown, s.model.Pair(q.now, interference.Kind(kind), q.kind).Mean)
		}
	}
	q.causedSlowdown = min(q.causedSlowdown, 1)
	return q.causedSlowdown
}

func (s *Scheduler) countService(kind interference.Kind, n int) {
	for int(kind) >= len(s.serviceKinds) {
		s.serviceKinds = append(s.serviceKinds, 0)
	}
	s.serviceKinds[kind] += n
}
