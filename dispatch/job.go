package dispatch

import (
	"slices"
	"time"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/workload"
)

// phase is the scheduling state of a unit.
type phase uint8

const (
	// phaseBlocked waits for earlier steps.
	phaseBlocked phase = iota
	// phaseReady waits for a runner.
	phaseReady
	// phaseActive has at least one run that is not confirmed to have ended.
	phaseActive
	phaseDone
	// phaseRemote belongs to another cell, or is on its way between two cells.
	phaseRemote
)

// unit is what starts and ends together: one task, or all tasks of a gang.
type unit struct {
	job   *jobState
	occ   int
	step  int
	first int // index of the unit's first task
	size  int // number of tasks

	phase phase
	run   int // highest run number used
	fails int
	// failedRuns are the runs whose failures have been counted. A new owner receives unacknowledged ends again, and ends
	// from different runners arrive in any order.
	failedRuns []int
	checkpoint string
	// assigned is the runner of the last run of a task that starts durably.
	assigned string
	// avoid is the runner of the last failed run.
	avoid string
	// readyAt is when the unit last became ready.
	readyAt time.Time
	// waitingSince is since when the unit has had no confirmed run and no other cell has had it; zero while that is not so.
	waitingSince time.Time
	// offers counts the requests to other cells to take the unit over since waitingSince, and fullAnswers those that were answered
	// with OutcomeFull.
	offers, fullAnswers int
	// stalls counts runs that were stopped for no progress.
	stalls int
	// latenessClass is the lateness as of the last plan, and turn how many runs of the job go before the unit. It is 0 unless the
	// unit shares capacity.
	latenessClass, turn int
	// overdue is set if the unit goes with those in time because its job has had nothing running for too long.
	overdue bool
	// overtakenAt is when a plan last started a later unit of another organisation before it tried this one, which then found no runner.
	overtakenAt time.Time
	rank        rank
	runs        []*run
	// recovered units were accepted under an earlier owner. Runs that this owner has not seen yet may exist.
	recovered bool
	// begun is set for recovered units whose turn had come by the rows of the earlier owner.
	begun bool
	// host is the cell to which the unit is delegated; empty if it is not. Only the cell that accepted the job records it.
	host string
	// placeRequested is set while another cell is asked for a place. The unit may start at home meanwhile.
	placeRequested bool
	// held is set in a host cell for the units that are delegated to it.
	held bool
	// noPlaceSince is since when a held unit that waits has had no place; zero or before readyAt if it has one.
	noPlaceSince time.Time
	// returnedAt is when the host returned the unit; zero if it did not, or if the origin has confirmed that it has the unit. returnDurable is
	// set once the host's row says so.
	returnedAt    time.Time
	returnDurable bool
	// waitsForCap is set if the last plan did not start the unit because of the cap of its organisation.
	waitsForCap bool
	// queuedAtCheck is the number of the last check for waiting tasks that found the unit in the queue.
	queuedAtCheck int
}

// def returns the definition of the unit's step.
func (u *unit) def() *workload.Step { return &u.job.def.Steps[u.step] }

// startsDurably reports whether the assignment of the unit to a runner is written before each start. Long-running tasks start
// seldom, so this costs them little, and they should not wait for unrelated runners after a takeover.
func (u *unit) startsDurably() bool { return u.def().LongRunning && u.size == 1 }

func (u *unit) task(member int) workload.TaskID {
	return workload.TaskID{Job: u.job.def.ID, Occurrence: u.occ, Step: u.step, Index: u.first + member}
}

// hasNewerRun reports whether a run with a higher number is part of the state. The members of a gang share the number of
// their runs.
func (u *unit) hasNewerRun(number int) bool {
	return slices.ContainsFunc(u.runs, func(r *run) bool { return r.number > number })
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	number int
	due    time.Time
	steps  []stepState
	// left is the number of steps with units that are not done.
	left int
	// durable is set once it is durable that the occurrence was created.
	durable bool
}

// isUnblocked reports whether all steps that a step waits for are done.
func (o *occurrence) isUnblocked(step int) bool {
	units := o.steps[step].units
	if len(units) == 0 {
		return false
	}
	if units[0].job.origin != "" {
		// A unit is delegated once its turn has come.
		return true
	}
	for _, before := range units[0].def().After {
		if o.steps[before].left > 0 {
			return false
		}
	}
	return true
}

type stepState struct {
	units []*unit
	// left is the number of units that are not done.
	left int
	// durable is set once it is durable that all units are done.
	durable bool
	// waiting is the number of ready units as of the last plan.
	waiting int
	// postponed is how much later than their latest start the ready units count, as of the last plan.
	postponed time.Duration
	// holdEndedAt is when a runner was last released that had been held for the step in vain.
	holdEndedAt time.Time
	// onRunner counts active runs of the step by runner.
	onRunner map[string]int
	// load is the learned load of serving tasks.
	load interference.Load
}

// jobState is the owner's state of a job.
type jobState struct {
	def *workload.Job
	// criticalPath is, for each step, the longest expected time from its start to the end of the job. The objective is that of the estimates.
	criticalPath []time.Duration
	// estimatedPath is criticalPath by the estimates.
	estimatedPath []time.Duration
	// pathUpdatedAt is when criticalPath was last computed from learned run times; zero while it is that of the estimates.
	pathUpdatedAt time.Time
	state         workload.State
	// durableState is the last terminal state that is durable. Clients see a terminal state only once it is.
	durableState workload.State
	started      bool
	occs         map[int]*occurrence
	nextOcc      int
	doneOccs     map[int]bool
	// finishedAt is when the job became terminal.
	finishedAt time.Time
	// failedOn holds the runners on which tasks of the job failed.
	failedOn map[string]bool
	// formerServices holds the services, other than that of the submission, on whose runners tasks of the job started.
	formerServices map[string]bool
	// objective is when the job should be completed.
	objective time.Time
	dirty     bool
	// idleSince is since when the job has had nothing running while one of its best-effort tasks waits, as seen by plans, or since when it
	// waits anew for a runner to be held; zero if that is not so. heldBefore is the runner that was last held for it.
	idleSince  time.Time
	heldBefore string
	// withoutRunSince is since when checks have found the job with nothing running although one of its best-effort tasks could start; zero if that
	// is not so.
	withoutRunSince time.Time
	// ranHere is set once this owner has known of a run of the job.
	ranHere bool
	// checkpointsOmitted is set if the last progress row had to be encoded without checkpoints.
	checkpointsOmitted bool
	// durableWaiters are closed once the job's current state is durable.
	durableWaiters []chan struct{}
	// unitsDropped is set once the units of a finished job were dropped.
	unitsDropped bool
	// memory is where the cell counts the memory of its jobs; nil while the job is in no cell. held is what was counted for the job, in bytes.
	memory *JobMemory
	held   int64
	// rowVersion is the version of the job's progress row; 0 if none was written.
	rowVersion int64
	// hostedSince is a version at which this cell had tasks of another cell's job, as seen first by this owner.
	hostedSince int64

	// origin is the cell that accepted the job, if that is another one: only the held units belong to this cell.
	origin string
	// hosts are the cells to which units were delegated. Each of them may have units until it is confirmed that it has none.
	hosts map[string]bool
	// delegations are those in progress, and transfers the conditional writes that they need.
	delegations []*delegation
	transfers   []*transfer
	// endingHosts is set while the units in other cells are being ended.
	endingHosts bool
	// tellingOrigin is set while the origin is told of returned units, and originToldAt is when that last began.
	tellingOrigin bool
	originToldAt  time.Time
}

func newJobState(def *workload.Job) *jobState {
	j := &jobState{def: def, criticalPath: def.CriticalPath(), state: workload.StateQueued, occs: map[int]*occurrence{}, doneOccs: map[int]bool{}}
	longest := time.Duration(0)
	for _, c := range j.criticalPath {
		longest = max(longest, c)
	}
	j.estimatedPath = j.criticalPath
	stretch := max(def.Policy.Stretch, 1)
	j.objective = def.AcceptedAt.Add(time.Duration(stretch*float64(longest)) + def.Policy.Slack)
	return j
}

// visible returns the state that clients may see.
func (j *jobState) visible() workload.State {
	switch {
	case j.durableState.Terminal():
		return j.durableState
	case j.state.Terminal() || j.started:
		return workload.StateRunning
	default:
		return workload.StateQueued
	}
}

// newOccurrence creates an occurrence and its units.
func (j *jobState) newOccurrence(number int) *occurrence {
	occ := &occurrence{number: number, due: j.def.Due(number), steps: make([]stepState, len(j.def.Steps)), left: len(j.def.Steps), durable: j.def.StartAt.IsZero()}
	for i := range j.def.Steps {
		def := &j.def.Steps[i]
		step := &occ.steps[i]
		step.onRunner = map[string]int{}
		size, count := 1, def.Count
		if def.Gang {
			size, count = def.Count, 1
		}
		backing := make([]unit, count)
		step.units = make([]*unit, count)
		step.left = count
		for k := range count {
			backing[k] = unit{job: j, occ: number, step: i, first: k * size, size: size}
			step.units[k] = &backing[k]
		}
	}
	j.occs[number] = occ
	j.countMemory()
	return occ
}

// maxTrackedFailures bounds the failures that are remembered for one unit. Only long-running tasks can fail so often.
const maxTrackedFailures = 16

// recordFailure records a failed run and reports whether it had not been counted before.
func (u *unit) recordFailure(number int) bool {
	if slices.Contains(u.failedRuns, number) {
		return false
	}
	u.failedRuns = append(u.failedRuns, number)
	if len(u.failedRuns) > maxTrackedFailures {
		u.failedRuns = u.failedRuns[1:]
	}
	return true
}

// openTasks returns the tasks of the open occurrences once those up to a number have been created.
func (j *jobState) openTasks(number int) int {
	tasks := 0
	for i := range j.def.Steps {
		tasks += j.def.Steps[i].Count
	}
	return (number + 1 - len(j.doneOccs)) * tasks
}

// unitOf returns the unit of a task, or nil if the task is not part of a current occurrence of the job.
func (j *jobState) unitOf(id workload.TaskID) *unit {
	occ := j.occs[id.Occurrence]
	if occ == nil || id.Step >= len(occ.steps) {
		return nil
	}
	units := occ.steps[id.Step].units
	index := id.Index
	if j.def.Steps[id.Step].Gang {
		index = 0
	}
	if index >= len(units) {
		return nil
	}
	return units[index]
}

// longRunningDemand returns the processor time that the job's long-running tasks commit in this cell, in thousandths of a core.
func (j *jobState) longRunningDemand() int64 {
	if j.origin == "" && len(j.hosts) == 0 {
		return LongRunningDemand(j.def)
	}
	demand := int64(0)
	for _, occ := range j.occs {
		for i := range occ.steps {
			for _, u := range occ.steps[i].units {
				if u.phase != phaseRemote && u.def().LongRunning {
					demand += u.def().Committed().CPU * int64(u.size)
				}
			}
		}
	}
	return demand
}

func (u *unit) stepState() *stepState { return &u.job.occs[u.occ].steps[u.step] }

// plannedRuns returns the runs that wait for a durable assignment.
func (j *jobState) plannedRuns() []*run {
	var planned []*run
	if !j.def.LongRunning() {
		return nil
	}
	for _, occ := range j.occs {
		for i := range occ.steps {
			for _, u := range occ.steps[i].units {
				for _, r := range u.runs {
					if r.phase == runPlanned {
						planned = append(planned, r)
					}
				}
			}
		}
	}
	return planned
}

// hasRuns reports whether a run of the job may still exist.
func (j *jobState) hasRuns() bool {
	for _, occ := range j.occs {
		if occ.hasRuns() {
			return true
		}
	}
	return false
}

// hasRuns reports whether a run of the occurrence may still exist.
func (o *occurrence) hasRuns() bool {
	for i := range o.steps {
		for _, u := range o.steps[i].units {
			if len(u.runs) > 0 {
				return true
			}
		}
	}
	return false
}

// removeDoneOccurrences removes the units of occurrences that are done and have no runs left. Only doneOccs lists them then.
func (j *jobState) removeDoneOccurrences() {
	for number, occ := range j.occs {
		if j.doneOccs[number] && !occ.hasRuns() {
			delete(j.occs, number)
			j.countMemory()
		}
	}
}

// dropUnits drops the units of a finished job that has no runs. Unlike compact it keeps the definition, to which late responses may refer.
func (j *jobState) dropUnits() {
	if j.unitsDropped {
		return
	}
	for _, occ := range j.occs {
		for i := range occ.steps {
			occ.steps[i].units = nil
		}
	}
	j.unitsDropped = true
	j.countMemory()
}

// compact drops the details of a finished job, of which only the state is needed.
func (j *jobState) compact() {
	j.occs = nil
	compacted := &workload.Job{ID: j.def.ID, Policy: j.def.Policy, AcceptedAt: j.def.AcceptedAt, Organisation: j.def.Organisation}
	if j.def.Organisation != "" {
		// Runs that are still being stopped count towards the cap.
		compacted.Steps = j.def.Steps
	}
	j.def = compacted
	j.countMemory()
}
