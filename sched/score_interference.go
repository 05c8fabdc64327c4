package sched

// interferenceScore prefers workers whose services have the smallest predicted slow-down.
type interferenceScore struct{ s *Scheduler }

func (f interferenceScore) rate(q *request, w *worker) float64 {
	if f.s.cfg.DisableInterference || w.services == 0 && !q.latencyCritical() {
		return 1
	}
	return 1 / (1 + f.s.predictWorst(q, w))
}
