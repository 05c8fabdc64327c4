package dispatch

import (
	"slices"
	"time"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/workload"
)

// phase is where a unit stands.
type phase uint8

const (
	// phaseBlocked waits for earlier steps.
	phaseBlocked phase = iota
	// phaseReady waits for a runner.
	phaseReady
	// phaseActive has at least one run that has not surely ended.
	phaseActive
	phaseDone
)

// unit is what is started and ends together: one task, or all tasks of a gang.
type unit struct {
	job   *jobState
	occ   int
	step  int
	first int // index of the unit's first task
	size  int // number of tasks

	phase phase
	run   int // highest run number used
	fails int
	// failedRuns are the runs whose failures are counted. An end that was not acknowledged is listed again to the next
	// owner, and runners list their ends in no order between them.
	failedRuns []int
	checkpoint string
	// avoid is the runner of the last failed run.
	avoid string
	// readyAt is when the unit's turn came last.
	readyAt time.Time
	// stalls counts runs that were stopped for want of progress.
	stalls int
	// class is the lateness as of the last plan.
	class int
	runs  []*run
	// recovered units were accepted under an earlier owner; runs that this owner has not seen may exist.
	recovered bool
}

// def returns the unit's step as submitted.
func (u *unit) def() *workload.Step { return &u.job.def.Steps[u.step] }

func (u *unit) task(member int) workload.TaskID {
	return workload.TaskID{Job: u.job.def.ID, Occurrence: u.occ, Step: u.step, Index: u.first + member}
}

// occurrence is one run of all steps of a job.
type occurrence struct {
	number int
	due    time.Time
	steps  []stepState
	// left is the number of steps with units that are not done.
	left int
}

type stepState struct {
	units []*unit
	// left is the number of units that are not done.
	left    int
	blocked int // earlier steps that are not done
	// onRunner counts active runs of the step for each runner.
	onRunner map[string]int
	// load is the learned load of serving tasks.
	load interference.Load
}

// jobState is what the owner knows of a job.
type jobState struct {
	def *workload.Job
	// chain is the longest estimated time from the start of each step to the end of the job.
	chain []time.Duration
	state workload.State
	// shown is the last terminal state that is durable; clients see a terminal state only once it is.
	shown    workload.State
	started  bool
	occs     map[int]*occurrence
	nextOcc  int
	doneOccs map[int]bool
	// finishedAt is when the job became terminal here.
	finishedAt time.Time
	// failedOn are runners on which tasks of the job failed.
	failedOn map[string]bool
	// objective is when the job should be completed.
	objective time.Time
	dirty     bool
	// waiting are closed once the job's present state is durable.
	waiting []chan struct{}
}

func newJobState(def *workload.Job) *jobState {
	j := &jobState{def: def, chain: def.Chain(), state: workload.StateQueued, occs: map[int]*occurrence{}, doneOccs: map[int]bool{}}
	longest := time.Duration(0)
	for _, c := range j.chain {
		longest = max(longest, c)
	}
	stretch := max(def.Policy.Stretch, 1)
	j.objective = def.AcceptedAt.Add(time.Duration(stretch*float64(longest)) + def.Policy.Slack)
	return j
}

// visible returns the state that clients may see.
func (j *jobState) visible() workload.State {
	switch {
	case j.shown.Terminal():
		return j.shown
	case j.state.Terminal() || j.started:
		return workload.StateRunning
	default:
		return workload.StateQueued
	}
}

// newOccurrence creates the units of an occurrence.
func (j *jobState) newOccurrence(number int) *occurrence {
	occ := &occurrence{number: number, due: j.def.Due(number), steps: make([]stepState, len(j.def.Steps)), left: len(j.def.Steps)}
	for i := range j.def.Steps {
		def := &j.def.Steps[i]
		step := &occ.steps[i]
		step.blocked = len(def.After)
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
	return occ
}

// keptFailures bounds the failures that are remembered of one unit; only tasks that last may fail so often.
const keptFailures = 16

// noteFailure remembers a failed run and reports whether it was not counted before.
func (u *unit) noteFailure(number int) bool {
	if slices.Contains(u.failedRuns, number) {
		return false
	}
	u.failedRuns = append(u.failedRuns, number)
	if len(u.failedRuns) > keptFailures {
		u.failedRuns = u.failedRuns[1:]
	}
	return true
}

// unitOf returns the unit of a task, or nil if the task is not one of the job's present tasks.
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

func (u *unit) stepState() *stepState { return &u.job.occs[u.occ].steps[u.step] }

// hasRuns reports whether a run of the job may still exist.
func (j *jobState) hasRuns() bool {
	for _, occ := range j.occs {
		for i := range occ.steps {
			for _, u := range occ.steps[i].units {
				if len(u.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// release makes a finished job's memory small; only its state is asked for afterwards.
func (j *jobState) release() {
	j.occs = nil
	j.def = &workload.Job{ID: j.def.ID, Policy: j.def.Policy, AcceptedAt: j.def.AcceptedAt}
}
