package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/currantthread/currantthread/job"
)

// entry is a queued task.
type entry struct {
	task job.Task
	seq  int64
	// group is nil while the task is in backoff or nominated.
	group *group
	// pos is the index in group.entries or Scheduler.backoff.
	pos     int
	readyAt time.Time
	// nominee is the worker on which tasks are evicted for this one, since nominatedAt.
	nominee     *worker
	nominatedAt time.Time
	held        job.Resources
	// prev and next link the queued tasks of one job, so that a cancelled job costs its own tasks only.
	prev, next *entry
}

// shape is what tasks must have in common to be interchangeable for placement.
type shape struct {
	team      string
	priority  job.Priority
	class     job.Class
	resources job.Resources
	kind      string
	service   string
	limits    job.Constraints
	failedOn  string
	// job and held are set for tasks of bad jobs and tasks held by an operator, which must not park equal tasks of
	// other jobs.
	job  string
	held string
}

func shapeOf(t *job.Task) shape {
	return shape{
		team: t.Team, priority: t.Spec.Priority, class: t.Spec.Class, resources: t.Spec.Resources,
		kind: t.Spec.Kind, service: t.Spec.Service, limits: t.Spec.Constraints,
		failedOn: strings.Join(t.FailedOn, ","),
	}
}

// group is the queue of interchangeable tasks. It is active or parked as a whole.
type group struct {
	shape   shape
	lane    *lane
	entries entryHeap
	// index is the place in lane.groups while active, or in Scheduler.parked.
	index    int
	isParked bool
	cause    Cause
	reason   string
	// need is what a worker must have free to end a wait with CauseCapacity.
	need job.Resources
	// retryAt ends a wait with CauseInterference; zero means no such time.
	retryAt time.Time
}

// head returns the oldest task.
func (g *group) head() *entry { return g.entries[0] }

type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].seq < h[j].seq }
func (h entryHeap) Swap(i, j int)      { swapEntries(h, i, j) }
func (h *entryHeap) Push(x any)        { *h = pushEntry(*h, x.(*entry)) }
func (h *entryHeap) Pop() any          { return popEntry((*[]*entry)(h)) }

func swapEntries(h []*entry, i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func pushEntry(h []*entry, e *entry) []*entry {
	e.pos = len(h)
	return append(h, e)
}

func popEntry(h *[]*entry) *entry {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// backoffHeap orders tasks by the time at which they may start again.
type backoffHeap []*entry

func (h backoffHeap) Len() int { return len(h) }
func (h backoffHeap) Less(i, j int) bool {
	if c := h[i].readyAt.Compare(h[j].readyAt); c != 0 {
		return c < 0
	}
	return h[i].seq < h[j].seq
}
func (h backoffHeap) Swap(i, j int) { swapEntries(h, i, j) }
func (h *backoffHeap) Push(x any)   { *h = pushEntry(*h, x.(*entry)) }
func (h *backoffHeap) Pop() any     { return popEntry((*[]*entry)(h)) }

// lane holds the active groups of one team at one priority, the one with the oldest task first.
type lane struct {
	team   *team
	groups []*group
}

func (l *lane) Len() int { return len(l.groups) }
func (l *lane) Less(i, j int) bool {
	return l.groups[i].head().seq < l.groups[j].head().seq
}
func (l *lane) Swap(i, j int) {
	l.groups[i], l.groups[j] = l.groups[j], l.groups[i]
	l.groups[i].index, l.groups[j].index = i, j
}
func (l *lane) Push(x any) {
	g := x.(*group)
	g.index = len(l.groups)
	l.groups = append(l.groups, g)
}
func (l *lane) Pop() any {
	g := l.groups[len(l.groups)-1]
	l.groups[len(l.groups)-1] = nil
	l.groups = l.groups[:len(l.groups)-1]
	return g
}

// level holds the lanes of one priority.
type level struct {
	lanes []*lane
	// active counts lanes that have groups.
	active int
}

const levels = int(job.PriorityLowest) + 1

func levelOf(p job.Priority) int {
	return int(min(max(p, job.PriorityUrgent), job.PriorityLowest))
}

func (s *Scheduler) lane(t *team, p job.Priority) *lane {
	l := &s.levels[levelOf(p)]
	i, found := slices.BinarySearchFunc(l.lanes, t.name, func(x *lane, name string) int {
		return cmp.Compare(x.team.name, name)
	})
	if !found {
		l.lanes = slices.Insert(l.lanes, i, &lane{team: t})
	}
	return l.lanes[i]
}

// next returns the group whose head starts next: lowest priority number first, then the team with the smallest
// weighted dominant share, then the oldest task.
func (s *Scheduler) next() *group {
	for i := range s.levels {
		l := &s.levels[i]
		if l.active == 0 {
			continue
		}
		var best *lane
		bestShare := 0.0
		for _, candidate := range l.lanes {
			if len(candidate.groups) == 0 {
				continue
			}
			share := candidate.team.share(s.capacity)
			if best == nil || share < bestShare {
				best, bestShare = candidate, share
			}
		}
		if best != nil {
			return best.groups[0]
		}
	}
	return nil
}

func (s *Scheduler) activate(g *group) {
	if len(g.lane.groups) == 0 {
		s.levels[levelOf(g.shape.priority)].active++
	}
	heap.Push(g.lane, g)
}

func (s *Scheduler) deactivate(g *group) {
	heap.Remove(g.lane, g.index)
	if len(g.lane.groups) == 0 {
		s.levels[levelOf(g.shape.priority)].active--
	}
}

// queue puts e into the group of its shape.
func (s *Scheduler) queue(e *entry) {
	sh := shapeOf(&e.task)
	if s.jobs.isBad(e.task.ID.Job()) || e.task.Parked != "" {
		sh.job, sh.held = e.task.ID.Job(), e.task.Parked
	}
	g := s.groups[sh]
	if g == nil {
		g = &group{shape: sh, lane: s.lane(s.team(e.task.Team), e.task.Spec.Priority)}
		s.groups[sh] = g
		e.group = g
		heap.Push(&g.entries, e)
		s.activate(g)
		return
	}
	e.group = g
	heap.Push(&g.entries, e)
	if !g.isParked {
		heap.Fix(g.lane, g.index)
	}
}

// unqueue takes e out of its group.
func (s *Scheduler) unqueue(e *entry) {
	g := e.group
	if len(g.entries) == 1 {
		if g.isParked {
			s.unpark(g)
		} else {
			s.deactivate(g)
		}
		delete(s.groups, g.shape)
	}
	heap.Remove(&g.entries, e.pos)
	e.group = nil
	if len(g.entries) > 0 && !g.isParked {
		heap.Fix(g.lane, g.index)
	}
}

// park takes g out of the active queue.
func (s *Scheduler) park(g *group, cause Cause, reason string) Parked {
	s.deactivate(g)
	g.isParked, g.cause, g.reason = true, cause, reason
	g.index = len(s.parked)
	s.parked = append(s.parked, g)
	return Parked{
		Task: g.head().task.ID, Tasks: len(g.entries), Cause: cause, Reason: reason,
		Permanent: cause == CauseBadJob || cause == CauseOperator,
	}
}

func (s *Scheduler) unpark(g *group) {
	last := s.parked[len(s.parked)-1]
	s.parked[g.index] = last
	last.index = g.index
	s.parked[len(s.parked)-1] = nil
	s.parked = s.parked[:len(s.parked)-1]
	g.isParked = false
}

// wakeUp collects events that could make parked tasks startable.
type wakeUp struct {
	// freed is the largest available amount on each axis among workers that gained room.
	freed job.Resources
	gain  bool
	// workers is set if a worker was added, became ready or grew.
	workers bool
	// teams lists teams whose quota or usage changed.
	teams []*team
	// all is set if parked tasks must be examined again whatever they wait for, bad jobs excepted.
	all bool
}

// wake moves groups that an event could help back to the active queue.
func (s *Scheduler) wake() {
	for i := len(s.parked) - 1; i >= 0; i-- {
		g := s.parked[i]
		if !s.helps(g) {
			continue
		}
		s.unpark(g)
		s.activate(g)
	}
	s.events = wakeUp{teams: s.events.teams[:0]}
}

func (s *Scheduler) helps(g *group) bool {
	e := &s.events
	switch g.cause {
	case CauseBadJob:
		return !s.jobs.isBad(g.shape.job) && !s.failsEverywhere(&g.head().task)
	case CauseOperator:
		return false
	case CauseQuota:
		return e.all || slices.Contains(e.teams, g.lane.team)
	case CauseNoWorker:
		return e.all || e.workers
	case CauseInterference:
		return e.all || e.workers || e.gain || !s.now.Before(g.retryAt)
	default:
		return e.all || e.workers || e.gain && g.need.Fits(e.freed)
	}
}
