package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/currantthread/currantthread/fairshare"
	"github.com/currantthread/currantthread/job"
)

// entry is a queued task.
type entry struct {
	task job.Task
	seq  int64
	// group is nil while the task is in backoff or nominated.
	group *group
	// pos is the index in group.entries or Scheduler.backoff.
	pos int
	// readyAt is when a backoff ends.
	readyAt time.Time
	// nominee is the worker on which tasks are being evicted for this one, since nominatedAt. reserved is the
	// amount set aside there.
	nominee     *worker
	nominatedAt time.Time
	reserved    job.Resources
	// prev and next link the queued tasks of one job, so that the cost of cancelling a job depends on its own tasks
	// only.
	prev, next *entry
}

// equivClass is the equivalence class of a task: tasks with equal values are interchangeable for placement.
type equivClass struct {
	team        string
	priority    job.Priority
	class       job.Class
	resources   job.Resources
	kind        string
	service     string
	constraints job.Constraints
	failedOn    string
	// job and operatorReason (why an operator parked the task) are set for tasks of bad jobs and for tasks that an
	// operator parked. They put these tasks into a separate group, so that parking them does not park equal tasks of
	// other jobs.
	job            string
	operatorReason string
}

func equivClassOf(t *job.Task) equivClass {
	return equivClass{
		team: t.Team, priority: t.Spec.Priority, class: t.Spec.Class, resources: t.Spec.Resources,
		kind: t.Spec.Kind, service: t.Spec.Service, constraints: t.Spec.Constraints,
		failedOn: strings.Join(t.FailedOn, ","),
	}
}

// group is the queue of the tasks of one equivalence class. It is active or parked as a whole.
type group struct {
	equivClass equivClass
	teamQueue  *teamQueue
	entries    entryHeap
	// index is the position in teamQueue.groups while active, or in Scheduler.parked.
	index    int
	isParked bool
	cause    Cause
	reason   string
	// need is the amount that a worker must have available to end a wait with CauseCapacity.
	need job.Resources
	// retryAt ends a wait with CauseInterference.
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

// teamQueue holds the active groups of one team at one priority, the one with the oldest task first.
type teamQueue struct {
	team   *team
	groups []*group
}

func (l *teamQueue) Len() int { return len(l.groups) }
func (l *teamQueue) Less(i, j int) bool {
	return l.groups[i].head().seq < l.groups[j].head().seq
}
func (l *teamQueue) Swap(i, j int) {
	l.groups[i], l.groups[j] = l.groups[j], l.groups[i]
	l.groups[i].index, l.groups[j].index = i, j
}
func (l *teamQueue) Push(x any) {
	g := x.(*group)
	g.index = len(l.groups)
	l.groups = append(l.groups, g)
}
func (l *teamQueue) Pop() any {
	g := l.groups[len(l.groups)-1]
	l.groups[len(l.groups)-1] = nil
	l.groups = l.groups[:len(l.groups)-1]
	return g
}

// level holds the team queues of one priority.
type level struct {
	teamQueues []*teamQueue
	// active counts team queues that have groups.
	active int
}

const levelCount = int(job.PriorityLowest) + 1

func levelOf(p job.Priority) int {
	return int(min(max(p, job.PriorityUrgent), job.PriorityLowest))
}

func (s *Scheduler) teamQueue(t *team, p job.Priority) *teamQueue {
	l := &s.levels[levelOf(p)]
	i, found := slices.BinarySearchFunc(l.teamQueues, t.name, func(x *teamQueue, name string) int {
		return cmp.Compare(x.team.name, name)
	})
	if !found {
		l.teamQueues = slices.Insert(l.teamQueues, i, &teamQueue{team: t})
	}
	return l.teamQueues[i]
}

// next returns the group whose head is considered next: the lowest priority number first, then the team with the
// smallest weighted dominant share, then the oldest task.
func (s *Scheduler) next() *group {
	for i := range s.levels {
		l := &s.levels[i]
		if l.active == 0 {
			continue
		}
		best := fairshare.Lowest(len(l.teamQueues), func(i int) (float64, bool) {
			if len(l.teamQueues[i].groups) == 0 {
				return 0, false
			}
			return l.teamQueues[i].team.share(s.capacity), true
		})
		if best >= 0 {
			return l.teamQueues[best].groups[0]
		}
	}
	return nil
}

func (s *Scheduler) activate(g *group) {
	if len(g.teamQueue.groups) == 0 {
		s.levels[levelOf(g.equivClass.priority)].active++
	}
	heap.Push(g.teamQueue, g)
}

func (s *Scheduler) deactivate(g *group) {
	heap.Remove(g.teamQueue, g.index)
	if len(g.teamQueue.groups) == 0 {
		s.levels[levelOf(g.equivClass.priority)].active--
	}
}

// queue adds e to the group of its equivalence class.
func (s *Scheduler) queue(e *entry) {
	ec := equivClassOf(&e.task)
	if s.jobs.isBad(e.task.ID.Job()) || e.task.Parked != "" {
		ec.job, ec.operatorReason = e.task.ID.Job(), e.task.Parked
	}
	g := s.groups[ec]
	if g == nil {
		g = &group{equivClass: ec, teamQueue: s.teamQueue(s.team(e.task.Team), e.task.Spec.Priority)}
		s.groups[ec] = g
		e.group = g
		heap.Push(&g.entries, e)
		s.activate(g)
		return
	}
	e.group = g
	heap.Push(&g.entries, e)
	if !g.isParked {
		heap.Fix(g.teamQueue, g.index)
	}
}

// unqueue removes e from its group.
func (s *Scheduler) unqueue(e *entry) {
	g := e.group
	if len(g.entries) == 1 {
		if g.isParked {
			s.unpark(g)
		} else {
			s.deactivate(g)
		}
		delete(s.groups, g.equivClass)
	}
	heap.Remove(&g.entries, e.pos)
	e.group = nil
	if len(g.entries) > 0 && !g.isParked {
		heap.Fix(g.teamQueue, g.index)
	}
}

// park moves g from the active queue to the parked groups.
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

// wakeEvents collects the events since the last wake that may allow parked tasks to start.
type wakeEvents struct {
	// anyFreed is set if a worker freed capacity; freed is the largest available amount on each axis among such
	// workers.
	freed    job.Resources
	anyFreed bool
	// workers is set if a worker was added, became ready or grew.
	workers bool
	// teams lists teams whose quota or usage changed.
	teams []*team
	// all is set if all parked tasks must be checked again, except those of bad jobs and those parked by an operator.
	all bool
}

// wake moves groups that an event may have unblocked back to the active queue.
func (s *Scheduler) wake() {
	for i := len(s.parked) - 1; i >= 0; i-- {
		g := s.parked[i]
		if !s.mayUnblock(g) {
			continue
		}
		s.unpark(g)
		s.activate(g)
	}
	s.events = wakeEvents{teams: s.events.teams[:0]}
}

// mayUnblock reports whether the collected events may allow g to start.
func (s *Scheduler) mayUnblock(g *group) bool {
	e := &s.events
	switch g.cause {
	case CauseBadJob:
		return !s.jobs.isBad(g.equivClass.job) && !s.failsEverywhere(&g.head().task)
	case CauseOperator:
		return false
	case CauseQuota:
		return e.all || slices.Contains(e.teams, g.teamQueue.team)
	case CauseNoWorker:
		return e.all || e.workers
	case CauseInterference:
		return e.all || e.workers || e.anyFreed || !s.now.Before(g.retryAt)
	default:
		return e.all || e.workers || e.anyFreed && g.need.Fits(e.freed)
	}
}
