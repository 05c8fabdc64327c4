package sched

import (
	"time"

	"github.com/currantthread/currantthread/interference"
)

// interferenceFilter rejects workers on which the predicted slowdown of a service would exceed the target.
type interferenceFilter struct{ s *Scheduler }

func (f interferenceFilter) name() string {
	return "would slow a service down beyond the target"
}
func (f interferenceFilter) cause() Cause { return CauseInterference }
func (f interferenceFilter) allows(q *request, w *worker) bool {
	if f.s.cfg.DisableInterference || q.urgent() || w.serviceReplicas == 0 && !q.latencyCritical() {
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

// refuses reports whether a task of the kind with at most this share was refused since the cache was built.
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

// headroomFilter keeps a fixed part of each worker that runs services free of batch work.
type headroomFilter struct{ s *Scheduler }

func (f headroomFilter) name() string { return "must keep their static headroom for services" }
func (f headroomFilter) cause() Cause { return CauseCapacity }
func (f headroomFilter) allows(q *request, w *worker) bool {
	if f.s.cfg.StaticHeadroom <= 0 || w.serviceReplicas == 0 || q.latencyCritical() {
		return true
	}
	limit := (1 - f.s.cfg.StaticHeadroom) * float64(w.spec.Capacity.CPUMilli)
	return float64(w.committed.CPUMilli+q.need.CPUMilli) <= limit
}

// serviceLoad is the predicted excess slowdown of one kind of service on a worker with its current tasks.
type serviceLoad struct {
	kind interference.Kind
	// minShare is the smallest share of a replica of the kind. It is excluded from the load, because a task does not
	// slow itself down.
	minShare       float64
	mean, variance float64
}

// loadCache holds aggregates of a worker's tasks for predictions, so that a decision does not visit each task.
type loadCache struct {
	valid        bool
	builtAt      time.Time
	neighbours   []interference.Neighbour
	serviceLoads []serviceLoad
	// refused lists, for each kind, the smallest share that was refused.
	refused []interference.Neighbour
	// lastRequest and lastWorst are the last argument and result of predictWorst.
	lastRequest *request
	lastWorst   float64
}

// cachedLoads returns the cache of w. It rebuilds the cache if tasks changed, and after the effect delay, to use newer
// weights of the model.
func (s *Scheduler) cachedLoads(w *worker) *loadCache {
	c := &w.cache
	if c.valid && s.now.Sub(c.builtAt) < s.cfg.effectDelay() {
		return c
	}
	c.valid, c.builtAt, c.lastRequest, c.refused = true, s.now, nil, c.refused[:0]
	c.neighbours = w.fullLoad(c.neighbours)
	c.serviceLoads = c.serviceLoads[:0]
	for _, r := range w.tasks {
		if r.latencyCritical() {
			c.serviceLoads = addServiceLoad(c.serviceLoads, r.kind, r.share())
		}
	}
	for i := range c.serviceLoads {
		load := &c.serviceLoads[i]
		for _, n := range c.neighbours {
			if n.Kind == load.kind {
				n.Share = max(n.Share-load.minShare, 0)
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
			loads[i].minShare = min(loads[i].minShare, share)
			return loads
		}
	}
	return append(loads, serviceLoad{kind: kind, minShare: share})
}

// shareOf returns the share of the worker that tasks of the kind use in total.
func (c *loadCache) shareOf(kind interference.Kind) float64 {
	for _, n := range c.neighbours {
		if n.Kind == kind {
			return n.Share
		}
	}
	return 0
}

// predictWorst returns the largest upper estimate of the excess slowdown among the services on w if q started there. It
// includes q if q is a service.
func (s *Scheduler) predictWorst(q *request, w *worker) float64 {
	c := s.cachedLoads(w)
	if c.lastRequest == q {
		return c.lastWorst
	}
	worst := 0.0
	if q.latencyCritical() {
		worst = s.predictUpper(q.kind, c.neighbours)
	}
	share := ratio(q.need.CPUMilli, w.spec.Capacity.CPUMilli)
	before := c.shareOf(q.kind)
	for i := range c.serviceLoads {
		load := &c.serviceLoads[i]
		present := before
		if load.kind == q.kind {
			present = max(before-load.minShare, 0)
		}
		e := s.model.Pair(s.now, load.kind, q.kind)
		after := interference.Estimate{
			Mean:     load.mean + share*e.Mean,
			Variance: load.variance + share*(share+2*present)*e.Variance,
		}
		worst = max(worst, after.Upper(s.cfg.Confidence))
	}
	c.lastRequest, c.lastWorst = q, worst
	return worst
}

func (s *Scheduler) predictUpper(kind interference.Kind, list []interference.Neighbour) float64 {
	return s.model.Predict(s.now, kind, list).Upper(s.cfg.Confidence)
}
