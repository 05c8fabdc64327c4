package placesim

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/sched"
	"github.com/currantthread/currantthread/settings"
)

// trace is a scenario with its expected outcomes. docs/traces-placement.md describes the format.
type trace struct {
	Description string            `toml:"description"`
	Workers     int               `toml:"workers"`
	Run         settings.Duration `toml:"run"`
	Noise       float64           `toml:"noise"`
	Settled     settings.Duration `toml:"settled"`
	Kinds       []traceKind       `toml:"kind"`
	Events      []traceEvent      `toml:"event"`
	Expect      []traceExpect     `toml:"expect"`
}

type traceKind struct {
	Name     string             `toml:"name"`
	Work     settings.Duration  `toml:"work"`
	Fails    bool               `toml:"fails"`
	Used     float64            `toml:"used"`
	Slowdown map[string]float64 `toml:"slowdown"`
}

type traceEvent struct {
	At        settings.Duration `toml:"at"`
	Submit    *traceJob         `toml:"submit"`
	Cancel    string            `toml:"cancel"`
	BadWorker string            `toml:"bad_worker"`
}

type traceJob struct {
	Job      string `toml:"job"`
	Tasks    int    `toml:"tasks"`
	Class    string `toml:"class"`
	Priority int    `toml:"priority"`
	CPU      int64  `toml:"cpu_milli"`
	Memory   int64  `toml:"memory_mib"`
	Kind     string `toml:"kind"`
	Domain   string `toml:"domain"`
}

type traceExpect struct {
	What string  `toml:"what"`
	Of   string  `toml:"of"`
	Min  float64 `toml:"min"`
	Max  float64 `toml:"max"`
	Text string  `toml:"text"`
}

// outcome is the result of a replayed trace.
type outcome struct {
	simulation *Simulation
	counts     map[string]float64
	// slow holds all sampled slow-downs of services; settled holds those sampled at or after the settled time of the trace.
	slow, settled []float64
	// tasks holds the IDs of all submitted tasks by job.
	tasks map[string][]job.TaskID
}

func replay(t *testing.T, tr trace) *outcome {
	o := &outcome{simulation: New(sched.DefaultConfig(), 1), counts: map[string]float64{}, tasks: map[string][]job.TaskID{}}
	sim := o.simulation
	sim.Delays.Step = 100 * time.Millisecond
	sim.Usage, sim.Noise = true, tr.Noise
	sim.AddWorkers(tr.Workers)
	for _, k := range tr.Kinds {
		sim.Kinds[k.Name] = &Behaviour{Work: k.Work.D(), Fails: k.Fails, UsedFactor: k.Used, Slowdown: k.Slowdown}
	}
	cancelled := map[string]bool{}
	sim.OnSample = func(_ *Attempt, s float64) {
		o.slow = append(o.slow, s)
		if sim.Now.Sub(Epoch) >= tr.Settled.D() {
			o.settled = append(o.settled, s)
		}
	}
	sim.OnStart = func(a *Attempt) { o.counts["started "+a.Task.ID.Job()]++ }
	sim.OnPlan = func(p sched.Plan) {
		for _, s := range p.Starts {
			o.counts["starts on "+s.Worker]++
		}
		for _, v := range p.Preemptions {
			o.counts[string(v.Action)]++
		}
	}
	sim.OnEnd = func(a *Attempt, end sched.End) {
		o.counts[string(end)+" "+a.Task.ID.Job()]++
		if end != sched.EndCompleted && !cancelled[a.Task.ID.Job()] {
			sim.Requeue(a, end)
		}
	}
	for _, e := range tr.Events {
		sim.after(e.At.D(), func() {
			switch {
			case e.Submit != nil:
				o.submit(e.Submit)
			case e.Cancel != "":
				cancelled[e.Cancel] = true
				sim.CancelJob(e.Cancel)
			default:
				sim.BadWorkers[e.BadWorker] = true
			}
		})
	}
	for sim.Now.Sub(Epoch) < tr.Run.D() {
		sim.Run(sim.Now.Sub(Epoch) + time.Second)
		o.checkCapacity(t)
	}
	return o
}

func (o *outcome) submit(j *traceJob) {
	for i := range j.Tasks {
		t := batchTask(string(job.MakeTaskID(j.Job, i)), j.Kind, j.CPU, job.Priority(j.Priority))
		t.Spec.Class, t.Spec.Resources.MemoryMiB, t.Spec.Constraints.Domain = job.Class(j.Class), j.Memory, j.Domain
		if t.Spec.Class == job.ClassService {
			t.Spec.Service = j.Kind
		}
		o.tasks[j.Job] = append(o.tasks[j.Job], t.ID)
		o.simulation.Enqueue(t)
	}
}

// checkCapacity asserts that the declared sizes of the tasks on a worker never exceed its capacity.
func (o *outcome) checkCapacity(t *testing.T) {
	used := map[string]int64{}
	for _, a := range o.simulation.Attempts() {
		used[a.Worker] += a.Task.Spec.Resources.CPUMilli
	}
	for worker, milli := range used {
		assert.Assert(t, milli <= o.simulation.capacity[worker], "worker %s runs %d milli of processor time", worker, milli)
	}
}

func (o *outcome) value(e traceExpect) (float64, string) {
	switch e.What {
	case "running":
		n := 0
		for _, a := range o.simulation.Attempts() {
			if a.Task.ID.Job() == e.Of {
				n++
			}
		}
		return float64(n), ""
	case "parked":
		n, reason := 0, ""
		for _, id := range o.tasks[e.Of] {
			if r, parked := o.simulation.Scheduler.ParkedReason(id); parked {
				n, reason = n+1, r
			}
		}
		return float64(n), reason
	case "slowest":
		return slices.Max(o.slow), ""
	case "settled p99":
		slices.Sort(o.settled)
		return o.settled[len(o.settled)*99/100], ""
	case "bad jobs":
		return float64(o.simulation.Scheduler.Stats().BadJobs), ""
	case "bad workers":
		return float64(o.simulation.Scheduler.Stats().BadWorkers), ""
	case "queued":
		st := o.simulation.Scheduler.Stats()
		return float64(st.Active + st.Backoff + st.Parked + st.Nominated), ""
	}
	return o.counts[strings.TrimSpace(e.What+" "+e.Of)], ""
}

// Waves of noisy tasks, wrong sizes, jobs that can never run, workers that fail everything and waves of cancellations must
// not harm other work. Each trace states its expected outcomes.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			var tr trace
			assert.NilError(t, toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&tr))
			o := replay(t, tr)
			for _, e := range tr.Expect {
				got, text := o.value(e)
				if e.Max == 0 && e.Min > 0 {
					e.Max = math.Inf(1)
				}
				assert.Check(t, got >= e.Min && got <= e.Max, "%s %s is %v, expected %v to %v", e.What, e.Of, got, e.Min, e.Max)
				assert.Check(t, strings.Contains(text, e.Text), "%s %s: reason %q lacks %q", e.What, e.Of, text, e.Text)
			}
		})
	}
}
