package dispatch

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"

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

// unitProgress is stored for units that are not done and have had more than one run, a failure or a checkpoint.
type unitProgress struct {
	Unit       int    `json:"i"`
	Run        int    `json:"r,omitempty"`
	Fails      int    `json:"f,omitempty"`
	FailedRuns []int  `json:"l,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

func (j *jobState) progress() progress {
	p := progress{State: j.state, Started: j.started, Next: j.nextOcc}
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
		if u.run > 1 || u.fails > 0 || u.checkpoint != "" {
			p.Units = append(p.Units, unitProgress{i, u.run, u.fails, u.failedRuns, u.checkpoint})
		}
	}
	return p
}

func encodeProgress(j *jobState) ([]byte, error) { return json.Marshal(j.progress()) }

// restore builds a job's state from its rows. A job without a progress row has only been accepted.
func restore(defRow, progressRow []byte) (*jobState, error) {
	var def workload.Job
	if err := json.Unmarshal(defRow, &def); err != nil {
		return nil, fmt.Errorf("job row: %w", err)
	}
	j := newJobState(&def)
	var p progress
	if len(progressRow) > 0 {
		if err := json.Unmarshal(progressRow, &p); err != nil {
			return nil, fmt.Errorf("progress row of job %s: %w", def.ID, err)
		}
	}
	if p.State != "" {
		j.state = p.State
	}
	j.started, j.nextOcc = p.Started, p.Next
	if j.state.Terminal() {
		j.durableState = j.state
		j.finishedAt = timeFromMillis(p.FinishedMs)
		j.compact()
		return j, nil
	}
	for _, service := range p.Services {
		if j.formerServices == nil {
			j.formerServices = map[string]bool{}
		}
		j.formerServices[service] = true
	}
	for _, number := range p.Done {
		j.doneOccs[number] = true
	}
	for _, o := range p.Occs {
		occ := j.newOccurrence(o.Number)
		for i := range o.Steps {
			if i < len(occ.steps) {
				occ.steps[i].restore(o.Steps[i])
			}
		}
	}
	return j, nil
}

func (s *stepState) restore(p stepProgress) {
	for i, u := range s.units {
		if i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0 {
			u.phase = phaseDone
			s.left--
		}
	}
	for _, saved := range p.Units {
		if saved.Unit < len(s.units) {
			u := s.units[saved.Unit]
			u.run, u.fails, u.failedRuns, u.checkpoint = saved.Run, saved.Fails, saved.FailedRuns, saved.Checkpoint
		}
	}
}
