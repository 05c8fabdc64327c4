package sched

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/job"
)

// Scheduler holds the queues and workers of one cell. It is not safe for concurrent use.
type Scheduler struct {
	cfg   Config
	model *interference.Model
	// now is the time of the last Plan or Advance.
	now time.Time

	workers     map[string]*worker
	workerList  []*worker
	racks       []*rack
	racksByKey  map[string]*rack
	freeIndexes [indexCount]freeIndex
	capacity    job.Resources
	spreads     map[string]*spread
	// serviceKinds counts the service replicas of each kind.
	serviceKinds []int

	tasks map[job.TaskID]*placedTask
	teams map[string]*team

	queued      map[job.TaskID]*entry
	queuedByJob map[string]*entry
	groups      map[equivClass]*group
	levels      [levelCount]level
	parked      []*group
	backoff     backoffHeap
	nominated   []*entry
	nextSeq     int64
	// noFit caches, within one plan, the refusals of tasks that fit on no worker.
	noFit  map[fitKey]refusal
	events wakeEvents

	jobs            jobHealth
	badWorkers      []*worker
	sizes           map[sizeKey]*learnedSize
	reportedWorkers []*worker

	filters       []filter
	batchScores   []weightedScore
	serviceScores []weightedScore

	// rotation is the offset of searches that examine only some of the workers. It changes with each search, so that
	// all workers are examined over time.
	rotation      int
	neighbourBuf  []interference.Neighbour
	candidates    []*worker
	victimBuf     []*placedTask
	plannedCounts Stats
}

// PlacedError reports that a task cannot be queued because it holds resources on a worker.
type PlacedError struct {
	Task   job.TaskID
	Worker string
}

// Error implements error.
func (e *PlacedError) Error() string {
	return fmt.Sprintf("task %s is placed on worker %s and has not been released", e.Task, e.Worker)
}

// New returns a Scheduler without workers or tasks. cfg starts from DefaultConfig.
func New(cfg Config, model *interference.Model) *Scheduler {
	s := &Scheduler{
		model:       model,
		workers:     map[string]*worker{},
		racksByKey:  map[string]*rack{},
		spreads:     map[string]*spread{},
		tasks:       map[job.TaskID]*placedTask{},
		teams:       map[string]*team{},
		queued:      map[job.TaskID]*entry{},
		queuedByJob: map[string]*entry{},
		groups:      map[equivClass]*group{},
		jobs:        jobHealth{records: map[string]*jobRecord{}},
		sizes:       map[sizeKey]*learnedSize{},
		noFit:       map[fitKey]refusal{},
	}
	s.freeIndexes[indexCPU] = freeIndex{axis: cpuAxis, id: indexCPU}
	s.freeIndexes[indexAccelerators] = freeIndex{axis: acceleratorAxis, id: indexAccelerators}
	s.filters = append([]filter{readyFilter{}, constraintFilter{}, sizeFilter{}, healthFilter{}, failedOnFilter{}},
		resourceFilters()...)
	s.filters = append(s.filters, headroomFilter{s}, interferenceFilter{s})
	s.batchScores = []weightedScore{{mostAllocatedScore{}, 1}, {acceleratorScore{}, 2}, {interferenceScore{s}, 1}, {separationScore{s}, 2}}
	s.serviceScores = []weightedScore{{spreadScore{s}, 4}, {leastAllocatedScore{}, 1}, {acceleratorScore{}, 2}, {interferenceScore{s}, 2}}
	s.SetConfig(cfg)
	return s
}

// SetConfig applies new settings and lets all parked tasks be checked again.
func (s *Scheduler) SetConfig(cfg Config) {
	s.cfg = cfg
	for name, t := range s.teams {
		t.config = cfg.Teams[name]
	}
	s.events.all = true
}

// SetTeam sets a team's quota, weight and usage in other cells.
func (s *Scheduler) SetTeam(name string, config Team) {
	t := s.team(name)
	t.config = config
	s.events.teams = append(s.events.teams, t)
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, config: s.cfg.Teams[name]}
		s.teams[name] = t
	}
	return t
}

// UpsertWorker adds a worker or updates its description. Its allocations stay.
func (s *Scheduler) UpsertWorker(spec Worker) {
	w := s.workers[spec.ID]
	if w == nil {
		w = s.addWorker(spec)
	}
	if w.present {
		s.removeFromIndexes(w)
	}
	w.spec = spec
	s.addToIndexes(w)
	if !spec.Ready {
		s.cancelNominations(w)
	}
	s.events.workers = true
}

func (s *Scheduler) addWorker(spec Worker) *worker {
	w := &worker{spec: spec, listPos: len(s.workerList)}
	s.workers[spec.ID] = w
	s.workerList = append(s.workerList, w)
	s.rackOf(spec).add(w)
	return w
}

func (s *Scheduler) rackOf(spec Worker) *rack {
	key := spec.Domain + "/" + spec.Rack
	r := s.racksByKey[key]
	if r == nil {
		r = &rack{name: key, index: len(s.racks)}
		s.racksByKey[key] = r
		s.racks = append(s.racks, r)
	}
	return r
}

func (s *Scheduler) addToIndexes(w *worker) {
	if r := s.rackOf(w.spec); r != w.rack {
		s.moveRack(w, r)
	}
	w.present = true
	w.rack.stale = true
	s.capacity = s.capacity.Add(w.spec.Capacity)
	s.freeIndexes[indexCPU].insert(w)
	if w.spec.Capacity.Accelerators > 0 {
		s.freeIndexes[indexAccelerators].insert(w)
	}
}

func (s *Scheduler) moveRack(w *worker, to *rack) {
	for _, r := range w.tasks {
		if r.latencyCritical() {
			s.spread(r.task.Spec.Service).add(w.rack, -1)
			s.spread(r.task.Spec.Service).add(to, 1)
		}
	}
	w.rack.remove(w)
	to.add(w)
}

func (s *Scheduler) removeFromIndexes(w *worker) {
	w.present = false
	w.rack.stale = true
	s.capacity = s.capacity.Sub(w.spec.Capacity)
	s.freeIndexes[indexCPU].remove(w)
	if w.spec.Capacity.Accelerators > 0 {
		s.freeIndexes[indexAccelerators].remove(w)
	}
}

// RemoveWorker removes a worker. Its allocations stay until they are released, because they may still run.
func (s *Scheduler) RemoveWorker(id string) {
	w := s.workers[id]
	if w == nil || !w.present {
		return
	}
	s.removeFromIndexes(w)
	s.cancelNominations(w)
	s.forgetWorker(w)
}

// forgetWorker deletes a worker that was removed and has no allocations.
func (s *Scheduler) forgetWorker(w *worker) {
	if w.present || len(w.tasks) > 0 {
		return
	}
	w.rack.remove(w)
	last := s.workerList[len(s.workerList)-1]
	s.workerList[w.listPos] = last
	last.listPos = w.listPos
	s.workerList[len(s.workerList)-1] = nil
	s.workerList = s.workerList[:len(s.workerList)-1]
	delete(s.workers, w.spec.ID)
	if w.health.bad {
		s.endBackoff(w)
	}
}

// SetWorkerReady sets whether a worker may get starts.
func (s *Scheduler) SetWorkerReady(id string, ready bool) {
	w := s.workers[id]
	if w == nil || w.spec.Ready == ready {
		return
	}
	w.spec.Ready = ready
	if ready {
		s.events.workers = true
		return
	}
	s.cancelNominations(w)
}

// Enqueue queues a task or replaces the queued task with the same ID. It returns a *PlacedError if the task holds
// resources.
func (s *Scheduler) Enqueue(t job.Task) error {
	if r := s.tasks[t.ID]; r != nil {
		return &PlacedError{Task: t.ID, Worker: r.worker.spec.ID}
	}
	e := s.queued[t.ID]
	if e != nil {
		s.removeEntry(e)
		e.task = t
	} else {
		s.nextSeq++
		e = &entry{task: t, seq: s.nextSeq}
	}
	s.recordFailedOn(t.ID.Job(), t.FailedOn)
	s.register(e)
	if len(t.FailedOn) > 0 && t.Parked == "" {
		e.readyAt = s.now.Add(s.cfg.RetryBackoff << min(len(t.FailedOn)-1, 10))
		heap.Push(&s.backoff, e)
		return nil
	}
	s.queue(e)
	return nil
}

// register adds e to the indexes by task ID and by job.
func (s *Scheduler) register(e *entry) {
	s.queued[e.task.ID] = e
	jobID := e.task.ID.Job()
	e.prev, e.next = nil, s.queuedByJob[jobID]
	if e.next != nil {
		e.next.prev = e
	}
	s.queuedByJob[jobID] = e
}

// removeEntry removes e from every queue.
func (s *Scheduler) removeEntry(e *entry) {
	switch {
	case e.group != nil:
		s.unqueue(e)
	case e.nominee != nil:
		s.cancelNomination(e)
	default:
		heap.Remove(&s.backoff, e.pos)
	}
	delete(s.queued, e.task.ID)
	switch {
	case e.prev != nil:
		e.prev.next = e.next
	case e.next != nil:
		s.queuedByJob[e.task.ID.Job()] = e.next
	default:
		delete(s.queuedByJob, e.task.ID.Job())
	}
	if e.next != nil {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
}

// Dequeue removes a queued task that was cancelled or that another cell claimed. If the task's start is planned, the
// task does not return to the queue when the plan is aborted. Dequeue reports whether the task was queued or planned.
func (s *Scheduler) Dequeue(id job.TaskID) bool {
	if e := s.queued[id]; e != nil {
		s.removeEntry(e)
		return true
	}
	if r := s.tasks[id]; r != nil && r.state == statePlanned {
		r.dropOnAbort = true
		return true
	}
	return false
}

// DequeueJob removes all queued tasks of a job, forgets its recorded failures, and returns the number of tasks removed.
// Its cost depends on that number only.
func (s *Scheduler) DequeueJob(jobID string) int {
	n := 0
	for e := s.queuedByJob[jobID]; e != nil; e = s.queuedByJob[jobID] {
		s.removeEntry(e)
		n++
	}
	s.jobs.forget(jobID)
	return n
}

// ReleaseJob allows the tasks of a bad job to start again, on an operator's request.
func (s *Scheduler) ReleaseJob(jobID string) {
	s.jobs.forget(jobID)
	for e := s.queuedByJob[jobID]; e != nil; e = e.next {
		if e.group != nil {
			s.unqueue(e)
			e.task.Parked, e.task.FailedOn = "", nil
			s.queue(e)
		}
	}
}

// Restore adds an assignment read from the ledger. An unknown worker is added as not ready.
func (s *Scheduler) Restore(a Allocation) {
	if s.tasks[a.Task.ID] != nil {
		return
	}
	if e := s.queued[a.Task.ID]; e != nil {
		s.removeEntry(e)
	}
	w := s.workers[a.Worker]
	if w == nil {
		w = s.addWorker(Worker{ID: a.Worker})
	}
	r := s.allocate(a.Task, w, a.Commitment.Max(a.Task.Spec.Resources), 0)
	r.state, r.startedAt, r.shareSince = stateRunning, s.now, s.now
	s.recordFailedOn(a.Task.ID.Job(), a.Task.FailedOn)
}

// allocate commits resources of w to t.
func (s *Scheduler) allocate(t job.Task, w *worker, commit job.Resources, seq int64) *placedTask {
	r := &placedTask{
		task: t, worker: w, team: s.team(t.Team), kind: s.model.Kind(t.Spec.Kind),
		pos: len(w.tasks), seq: seq,
	}
	w.tasks = append(w.tasks, r)
	s.tasks[t.ID] = r
	r.team.used = r.team.used.Add(t.Spec.Resources)
	if r.latencyCritical() {
		w.serviceReplicas++
		s.countService(r.kind, 1)
		s.spread(t.Spec.Service).add(w.rack, 1)
	}
	s.setCommitment(r, commit)
	return r
}

// setCommitment changes the amount that r's worker sets aside for r.
func (s *Scheduler) setCommitment(r *placedTask, commit job.Resources) {
	w := r.worker
	freed := !r.commitment.Fits(commit)
	r.recordShare(s.now)
	w.committed = w.committed.Sub(r.commitment).Add(commit)
	r.commitment = commit
	s.updateIndexes(w, freed)
}

// updateIndexes updates the indexes after a change of the available resources of w. freed is set if capacity was freed.
func (s *Scheduler) updateIndexes(w *worker, freed bool) {
	w.rack.stale = true
	w.cache.valid = false
	if !w.present {
		return
	}
	s.freeIndexes[indexCPU].update(w)
	if w.spec.Capacity.Accelerators > 0 {
		s.freeIndexes[indexAccelerators].update(w)
	}
	if freed {
		s.events.anyFreed = true
		s.events.freed = s.events.freed.Max(w.available())
	}
}

// deallocate frees the resources that r holds.
func (s *Scheduler) deallocate(r *placedTask) {
	w := r.worker
	r.team.used = r.team.used.Sub(r.task.Spec.Resources)
	s.events.teams = append(s.events.teams, r.team)
	if r.latencyCritical() {
		w.serviceReplicas--
		s.countService(r.kind, -1)
		s.spread(r.task.Spec.Service).add(w.rack, -1)
	}
	last := w.tasks[len(w.tasks)-1]
	w.tasks[r.pos] = last
	last.pos = r.pos
	w.tasks[len(w.tasks)-1] = nil
	w.tasks = w.tasks[:len(w.tasks)-1]
	delete(s.tasks, r.task.ID)
	s.setCommitment(r, job.Resources{})
	if w.health.probation && len(w.tasks) == 0 {
		s.events.workers = true
	}
	s.forgetWorker(w)
}

// MarkStopping marks a task to which a stop command was sent. Its resources stay committed until Release.
func (s *Scheduler) MarkStopping(id job.TaskID) {
	if r := s.tasks[id]; r != nil && r.state == stateRunning {
		r.state = stateStopping
	}
}

// Release frees the resources of a task that is confirmed to have ended, and updates the health of its job and worker.
// It reports whether the task held any resources. To run the task again, the caller passes it to Enqueue afterwards.
func (s *Scheduler) Release(id job.TaskID, end End) bool {
	r := s.tasks[id]
	if r == nil || r.state == statePlanned {
		return false
	}
	switch end {
	case EndCompleted:
		s.recordCompletion(id.Job(), r.worker)
	case EndFailed:
		s.recordFailure(id.Job(), r.worker)
	}
	s.deallocate(r)
	return true
}

// Commit makes the decisions of a plan final, after its starts and preemptions were written to the ledger.
func (s *Scheduler) Commit(plan Plan) {
	for i := range plan.Starts {
		if r := s.tasks[plan.Starts[i].Task.ID]; r != nil && r.state == statePlanned {
			r.state, r.startedAt, r.shareSince = stateRunning, s.now, s.now
		}
	}
	for _, p := range plan.Preemptions {
		if r := s.tasks[p.Task]; r != nil && p.Action != ActionEvict {
			r.setThrottle(s.now, p.CPUPercent)
		}
	}
}

// Abort undoes a plan: its tasks return to their positions in the queue.
func (s *Scheduler) Abort(plan Plan) {
	for i := range plan.Starts {
		s.AbortStart(plan.Starts[i].Task.ID)
	}
	for _, p := range plan.Preemptions {
		s.abortPreemption(p)
	}
}

// AbortStart undoes one start of a plan whose other decisions may be committed.
func (s *Scheduler) AbortStart(id job.TaskID) {
	r := s.tasks[id]
	if r == nil || r.state != statePlanned {
		return
	}
	s.deallocate(r)
	if r.dropOnAbort {
		return
	}
	e := &entry{task: r.task, seq: r.seq}
	s.register(e)
	s.queue(e)
}

func (s *Scheduler) abortPreemption(p Preemption) {
	r := s.tasks[p.Task]
	if p.Action != ActionEvict {
		if r != nil {
			r.worker.throttling.lastAction = r.worker.throttling.previousAction
		}
		return
	}
	if r != nil {
		r.evicting = false
	}
	if e := s.queued[p.Beneficiary]; e != nil && e.nominee != nil {
		s.cancelNomination(e)
		s.queue(e)
	}
}

// ParkedReason returns why a queued task is parked.
func (s *Scheduler) ParkedReason(id job.TaskID) (reason string, parked bool) {
	e := s.queued[id]
	if e == nil || e.group == nil || !e.group.isParked {
		return "", false
	}
	return e.group.reason, true
}

// NextWake returns the earliest time at which a Plan may make decisions without any other call before it: a backoff, an
// interference wait or a nomination ends. ok is false if there is no such time.
func (s *Scheduler) NextWake() (at time.Time, ok bool) {
	earlier := func(t time.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	if len(s.backoff) > 0 {
		earlier(s.backoff[0].readyAt)
	}
	for _, w := range s.badWorkers {
		earlier(w.health.badUntil)
	}
	for _, g := range s.parked {
		if g.cause == CauseInterference {
			earlier(g.retryAt)
		}
	}
	for _, e := range s.nominated {
		earlier(e.nominatedAt.Add(s.cfg.effectDelay()))
	}
	return at, ok
}

// Stats counts the scheduler's state.
func (s *Scheduler) Stats() Stats {
	st := s.plannedCounts
	st.Workers, st.BadWorkers, st.BadJobs = 0, len(s.badWorkers), s.jobs.bad
	st.Backoff, st.Nominated = len(s.backoff), len(s.nominated)
	st.ParkedByCause = map[Cause]int{}
	st.Capacity = s.capacity
	for _, w := range s.workerList {
		if !w.present {
			continue
		}
		st.Workers++
		if w.ready() {
			st.ReadyWorkers++
		}
		st.Committed = st.Committed.Add(w.committed)
	}
	for _, g := range s.parked {
		st.Parked += len(g.entries)
		st.ParkedByCause[g.cause] += len(g.entries)
	}
	st.Active = len(s.queued) - st.Parked - st.Backoff - st.Nominated
	for _, r := range s.tasks {
		switch r.state {
		case statePlanned:
			st.Planned++
		case stateRunning:
			st.Running++
		case stateStopping:
			st.Stopping++
		}
	}
	return st
}
