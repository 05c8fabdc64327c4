package dispatch

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/currantthread/currantthread/workload"
)

// progress is the durable, mutable state of a job. Running tasks are not part of it; the runners report them.
type progress struct {
	State   workload.State `json:"s,omitempty"`
	Started bool           `json:"b,omitempty"`
	Next    int            `json:"n,omitempty"`
	// Done lists the finished occurrences.
	Done []int         `json:"d,omitempty"`
	Occs []occProgress `json:"o,omitempty"`
	// Services lists the services, other than that of the submission, on whose runners tasks started.
	Services []string `json:"v,omitempty"`
	// FinishedMs is the Unix time in milliseconds at which the job ended; 0 while it has not.
	FinishedMs int64 `json:"f,omitempty"`
	// Origin is the cell that accepted the job, if that is another one. Only the units that are held belong to this cell then.
	Origin string `json:"g,omitempty"`
	// Hosts are the cells that may have delegated units of the job.
	Hosts []string `json:"h,omitempty"`

	// The remaining fields are set in the compact form only.

	// Compact is set if the numbers in Occs and in Units are differences to the previous entry, and finished occurrences
	// are listed by DoneRanges.
	Compact bool `json:"x,omitempty"`
	// DoneRanges lists the ranges of finished occurrences, in order: how many occurrences lie between the range and the one
	// before it, and how many are in it.
	DoneRanges [][2]int `json:"e,omitempty"`
	// HighestRun is at least the highest run number of the open units that are not listed.
	HighestRun int `json:"m,omitempty"`
}

type occProgress struct {
	Number int            `json:"k,omitempty"`
	Steps  []stepProgress `json:"s"`
}

type stepProgress struct {
	// Done is a bitmap of the units that are done, least significant bit first.
	Done  []byte         `json:"d,omitempty"`
	Units []unitProgress `json:"u,omitempty"`
}

// unitProgress is stored for units that are not done and have had more than one run, a failure, a checkpoint or an assignment.
// The compact form does not list units that have nothing but a run number.
type unitProgress struct {
	Unit       int    `json:"i"`
	Run        int    `json:"r,omitempty"`
	Fails      int    `json:"f,omitempty"`
	FailedRuns []int  `json:"l,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// Assigned is the runner of the last run of a task that starts durably.
	Assigned string `json:"a,omitempty"`
	// Host is the cell to which the unit is delegated.
	Host string `json:"h,omitempty"`
	// Held is set in the host cell.
	Held bool `json:"t,omitempty"`
	// Returned is set in the host cell for a unit that is not held any more, until the origin has confirmed that it has the unit.
	Returned bool `json:"q,omitempty"`
}

func (j *jobState) progress() progress {
	p := progress{State: j.state, Started: j.started, Next: j.nextOcc, Origin: j.origin, Hosts: slices.Sorted(maps.Keys(j.hosts))}
	if j.state.Terminal() {
		p.FinishedMs = j.finishedAt.UnixMilli()
		return p
	}
	for number := range j.doneOccs {
		p.Done = append(p.Done, number)
	}
	sort.Ints(p.Done)
	p.Services = slices.Sorted(maps.Keys(j.formerServices))
	for number, occ := range j.occs {
		if j.doneOccs[number] {
			continue
		}
		o := occProgress{Number: number, Steps: make([]stepProgress, len(occ.steps))}
		for i := range occ.steps {
			o.Steps[i] = occ.steps[i].progress()
		}
		p.Occs = append(p.Occs, o)
	}
	sort.Slice(p.Occs, func(a, b int) bool { return p.Occs[a].Number < p.Occs[b].Number })
	return p
}

func (s *stepState) progress() stepProgress {
	var p stepProgress
	for i, u := range s.units {
		if u.phase == phaseDone {
			if p.Done == nil {
				p.Done = make([]byte, (len(s.units)+7)/8)
			}
			p.Done[i/8] |= 1 << (i % 8)
			continue
		}
		// An origin that takes a unit back needs its run number, also if there was only one run.
		hosted := u.held || u.isReturned() || u.run > 0 && u.job.origin != ""
		if u.run > 1 || u.fails > 0 || u.checkpoint != "" || u.assigned != "" || u.host != "" || hosted {
			p.Units = append(p.Units, unitProgress{i, u.run, u.fails, u.failedRuns, u.checkpoint, u.assigned, u.host, u.held, u.isReturned()})
		}
	}
	return p
}

// maxRestoredRun bounds the run numbers and failure counts that are taken over from a stored row, so that later numbers
// don't overflow.
const maxRestoredRun = 1 << 30

// restore builds a job's state from its rows. A job without a progress row has only been accepted. Of a damaged progress row,
// the entries that name no occurrence or unit of the job are ignored.
func restore(defRow, progressRow []byte) (*jobState, error) {
	var def workload.Job
	if err := json.Unmarshal(defRow, &def); err != nil {
		return nil, fmt.Errorf("job row: %w", err)
	}
	if err := def.CheckStructure(); err != nil {
		return nil, fmt.Errorf("job row: %w", err)
	}
	def.CompactDependencies()
	j := newJobState(&def)
	var p progress
	if len(progressRow) > 0 {
		var err error
		if p, err = decodeProgress(progressRow); err != nil {
			return nil, fmt.Errorf("progress row of job %s: %w", def.ID, err)
		}
	}
	j.started, j.origin = p.Started, p.Origin
	for _, host := range p.Hosts {
		j.addHost(host)
	}
	if p.State.Terminal() {
		j.restoreEnded(p.State, p.FinishedMs)
		return j, nil
	}
	for _, service := range p.Services {
		if j.formerServices == nil {
			j.formerServices = map[string]bool{}
		}
		j.formerServices[service] = true
	}
	if p.State == workload.StateRunning {
		j.state = p.State
	}
	for _, number := range p.Done {
		j.restoreDone(number, number)
	}
	first := 0
	for _, r := range p.DoneRanges {
		if !j.hasOccurrence(r[0]) || r[1] < 0 || r[1] > def.Occurrences {
			break
		}
		first += r[0]
		j.restoreDone(first, first+r[1]-1)
		first += r[1]
	}
	highestRun := min(max(p.HighestRun, 0), maxRestoredRun)
	for _, o := range p.Occs {
		if !j.hasOccurrence(o.Number) || j.doneOccs[o.Number] || j.occs[o.Number] != nil {
			continue
		}
		j.nextOcc = max(j.nextOcc, o.Number+1)
		occ := j.newOccurrence(o.Number)
		occ.durable = true
		left := 0
		for i := range occ.steps {
			for _, u := range occ.steps[i].units {
				u.run = highestRun
			}
			if i < len(o.Steps) {
				occ.steps[i].restore(o.Steps[i])
			}
			occ.steps[i].durable = occ.steps[i].left == 0
			left += occ.steps[i].left
			occ.steps[i].restoreRemote(j)
		}
		if left == 0 {
			j.doneOccs[o.Number] = true
		}
	}
	if len(j.doneOccs) == def.Occurrences {
		j.restoreEnded(workload.StateCompleted, p.FinishedMs)
		return j, nil
	}
	return j, j.addMissingOccurrences()
}

// maxMissingTasks bounds the tasks of occurrences that a damaged progress row does not list.
const maxMissingTasks = 100_000

// addMissingOccurrences creates the occurrences below nextOcc that are neither open nor done. Occurrences are created in
// order, so one that is not listed would never run.
func (j *jobState) addMissingOccurrences() error {
	tasks := 0
	for number := range j.nextOcc {
		if j.doneOccs[number] || j.occs[number] != nil {
			continue
		}
		for i := range j.def.Steps {
			tasks += j.def.Steps[i].Count
		}
		if tasks > maxMissingTasks {
			return fmt.Errorf("progress row of job %s does not list occurrence %d of %d", j.def.ID, number, j.nextOcc)
		}
		j.newOccurrence(number).durable = true
	}
	return nil
}

// restoreDone marks the occurrences of the job from first to last as done.
func (j *jobState) restoreDone(first, last int) {
	for number := max(first, 0); number <= min(last, j.def.Occurrences-1); number++ {
		j.doneOccs[number] = true
		j.nextOcc = max(j.nextOcc, number+1)
	}
}

func (j *jobState) hasOccurrence(number int) bool { return number >= 0 && number < j.def.Occurrences }

// restoreEnded restores a job that has ended. An end time that is missing or lies in the future counts as now, so that the
// state is kept for its whole retention.
func (j *jobState) restoreEnded(state workload.State, finishedMs int64) {
	j.state, j.durableState = state, state
	j.finishedAt = timeFromMillis(finishedMs)
	if now := time.Now(); finishedMs <= 0 || j.finishedAt.After(now) {
		j.finishedAt = now
	}
	j.compact()
}

func (s *stepState) restore(p stepProgress) {
	for i, u := range s.units {
		if i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0 {
			u.phase = phaseDone
			s.left--
		}
	}
	for _, saved := range p.Units {
		if saved.Unit < 0 || saved.Unit >= len(s.units) {
			continue
		}
		u := s.units[saved.Unit]
		u.run, u.fails = min(max(saved.Run, 0), maxRestoredRun), min(max(saved.Fails, 0), maxRestoredRun)
		u.failedRuns = saved.FailedRuns[max(len(saved.FailedRuns)-maxTrackedFailures, 0):]
		u.checkpoint, u.assigned, u.host, u.held = saved.Checkpoint, saved.Assigned, saved.Host, saved.Held
		if saved.Returned && !saved.Held {
			u.returnedAt, u.returnDurable = time.Now(), true
		}
	}
}

// restoreRemote finds the units of a step that belong to other cells.
func (s *stepState) restoreRemote(j *jobState) {
	for _, u := range s.units {
		if u.phase != phaseDone && (u.host != "" || j.origin != "" && !u.held) {
			u.phase = phaseRemote
		}
		if u.host != "" {
			j.addHost(u.host)
		}
	}
}
