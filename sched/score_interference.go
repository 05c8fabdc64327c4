package sched

import "github.com/currantthread/currantthread/interference"

// interferenceScore prefers workers whose services have the smallest predicted slow-down.
type interferenceScore struct{ s *Scheduler }

func (f interferenceScore) rate(q *request, w *worker) float64 {
	if f.s.cfg.DisableInterference || w.services == 0 && !q.latencyCritical() {
		return 1
	}
	return 1 / (1 + f.s.predictWorst(q, w))
}

// separationScore sends kinds of batch work that harm services to workers without services, and leaves room there by
// keeping harmless kinds next to services.
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

// harm is the largest excess slow-down that the request's kind causes to a kind of service in the cell, at most 1.
func (s *Scheduler) harm(q *request) float64 {
	if q.harmKnown {
		return q.harm
	}
	q.harmKnown = true
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
