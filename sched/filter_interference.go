package sched

import (
	"time"

	"github.com/currantthread/currantthread/interference"
)

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
	share := ratio(q.need.CPUMilli, w.spec.Capacity.CPUMilli)
	if !q.latencyCritical() && f.s.cachedLoads(w).refuses(q.kind, share) {
		return false
	}
	if f.s.predictWorst(q, w) <= f.s.cfg.SlowdownTarget-1 {
		return true
	}
	if !q.latencyCritical() {
		w.cache.refuse(q.kind, share)
	}
	return false
}

// refuses reports whether a task of that kind and at most that share was refused since the cache was built.
func (c *loadCache) refuses(kind interference.Kind, share float64) bool {
	for _, n := range c.refused {
		if n.Kind == kind {
			return share >= n.Share
		}
	}
	return false
}

func (c *loadCache) refuse(kind interference.Kind, share float64) {
	for i := range c.refused {
		if c.refused[i].Kind == kind {
			c.refused[i].Share = min(c.refused[i].Share, share)
			return
		}
	}
	c.refused = append(c.refused, interference.Neighbour{Kind: kind, Share: share})
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

// serviceLoad is the predicted excess slow-down of one kind of service on a worker with its present tasks.
type serviceLoad struct {
	kind interference.Kind
	// own is the smallest share of a replica of the kind. A task does not slow itself down.
	own            float64
	mean, variance float64
}

// loadCache holds what predictions need of a worker's tasks, so that a decision does not visit them.
type loadCache struct {
	valid bool
	at    time.Time
	mix   []interference.Neighbour
	loads []serviceLoad
	// refused lists for each kind the smallest share that was refused.
	refused []interference.Neighbour
	// request and worst are the last answer of predictWorst.
	request *request
	worst   float64
}

// cachedLoads returns the cache of w. It is rebuilt if tasks changed, or after the effect delay for newer weights.
func (s *Scheduler) cachedLoads(w *worker) *loadCache {
	c := &w.cache
	if c.valid && s.now.Sub(c.at) < s.cfg.effectDelay() {
		return c
	}
	c.valid, c.at, c.request, c.refused = true, s.now, nil, c.refused[:0]
	c.mix = w.fullLoad(c.mix)
	c.loads = c.loads[:0]
	for _, r := range w.tasks {
		if r.latencyCritical() {
			c.loads = addServiceLoad(c.loads, r.kind, r.share())
		}
	}
	for i := range c.loads {
		load := &c.loads[i]
		for _, n := range c.mix {
			if n.Kind == load.kind {
				n.Share = max(n.Share-load.own, 0)
			}
			e := s.model.Pair(s.now, load.kind, n.Kind)
			load.mean += n.Share * e.Mean
			load.variance += n.Share * n.Share * e.Variance
		}
	}
	return c
}

func addServiceLoad(loads []serviceLoad, kind interference.Kind, share float64) []serviceLoad {
	for i := range loads {
		if loads[i].kind == kind {
			loads[i].own = min(loads[i].own, share)
			return loads
		}
	}
	return append(loads, serviceLoad{kind: kind, own: share})
}

// shareOf returns the share of the worker that tasks of a kind have.
func (c *loadCache) shareOf(kind interference.Kind) float64 {
	for _, n := range c.mix {
		if n.Kind == kind {
			return n.Share
		}
	}
	return 0
}

// predictWorst returns the largest upper estimate of the excess slow-down among the services on w, with q started
// there, q included if it is a service.
func (s *Scheduler) predictWorst(q *request, w *worker) float64 {
	c := s.cachedLoads(w)
	if c.request == q {
		return c.worst
	}
	worst := 0.0
	if q.latencyCritical() {
		worst = s.upper(q.kind, c.mix)
	}
	share := ratio(q.need.CPUMilli, w.spec.Capacity.CPUMilli)
	before := c.shareOf(q.kind)
	for i := range c.loads {
		load := &c.loads[i]
		present := before
		if load.kind == q.kind {
			present = max(before-load.own, 0)
		}
		e := s.model.Pair(s.now, load.kind, q.kind)
		after := interference.Estimate{
			Mean:     load.mean + share*e.Mean,
			Variance: load.variance + share*(share+2*present)*e.Variance,
		}
		worst = max(worst, after.Upper(s.cfg.Confidence))
	}
	c.request, c.worst = q, worst
	return worst
}

func (s *Scheduler) upper(kind interference.Kind, list []interference.Neighbour) float64 {
	return s.model.Predict(s.now, kind, list).Upper(s.cfg.Confidence)
}
