package sched

// spreadScore prefers racks that run fewer replicas of the service.
type spreadScore struct{ s *Scheduler }

func (f spreadScore) rate(q *request, w *worker) float64 {
	return 1 / float64(1+f.s.spread(q.spec.Service).replicasOn(w.rack))
}

// spread counts the replicas of one service on each rack.
type spread struct{ replicas []int }

func (p *spread) replicasOn(r *rack) int {
	if r.index >= len(p.replicas) {
		return 0
	}
	return p.replicas[r.index]
}

func (p *spread) add(r *rack, n int) {
	for r.index >= len(p.replicas) {
		p.replicas = append(p.replicas, 0)
	}
	p.replicas[r.index] += n
}

func (s *Scheduler) spread(service string) *spread {
	p := s.spreads[service]
	if p == nil {
		p = &spread{}
		s.spreads[service] = p
	}
	return p
}
