package sched

import "github.com/currantthread/currantthread/interference"

// interferenceScore prefers workers whose services have the smallest predicted slowdown.
type interferenceScore struct{ s *Scheduler }

func (f interferenceScore) rate(q *request, w *worker) float64 {
	if f.s.cfg.DisableInterference || w.services == 0 && !q.latencyCritical() {
		return 1
	}
	return 1 / (1 + f.s.predictWorst(q, w))
}

// separationScore prefers workers without services for kinds of batch work that slow services down, and workers with
// services for the other kinds, which leaves the former free.
type separationScore struct{ s *Scheduler }

func (f separationScore) rate(q *request, w *worker) float64 {
	if f.s.cfg.DisableInterference {
		return 1
	}
	harm := f.s.harm(q)
	if w.services == 0 {
		return harm
	}
	return 1 - harm
}

// harm is the largest excess slowdown that the request's kind causes to a kind of service in the cell, at most 1.
func (s *Scheduler) harm(q *request) float64 {
	if q.harmCached {
		return q.harm
	}
	q.harmCached = true
	for kind, replicas := range s.serviceKinds {
		if replicas > 0 {
			q.harm = max(q.harm, s.model.Pair(q.now, interference.Kind(kind), q.kind).Mean)
		}
	}
	q.harm = min(q.harm, 1)
	return q.harm
}

func (s *Scheduler) countService(kind interference.Kind, n int) {
	for int(kind) >= len(s.serviceKinds) {
		s.serviceKinds = append(s.serviceKinds, 0)
	}
	s.serviceKinds[kind] += n
}
