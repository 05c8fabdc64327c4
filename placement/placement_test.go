package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/lookahead"
	"github.com/currantthread/currantthread/workload"
)

// change returns an empty runner of 64 cores.
func newCandidate(id string, labels ...string) *Candidate {
	return &Candidate{ID: id, Domain: "chipre", Labels: labels, Available: true, Slowdown: 1,
		Capacity: workload.Resources{CPU: 64000, MemoryMB: 256000}}
}

func request(step workload.Step) *Request {
	return &Request{Step: &step, OnRunner: func(string) int { return 0 }, Pressure: func(string) float64 { return 1 }}
}

func cpu(millis int64) workload.Resources { return workload.Resources{CPU: millis, MemoryMB: 1000} }

// Each filter must exclude a runner that breaks its rule.
func TestFilters(t *testing.T) {
	serving := []Serving{{Image: "s", Headroom: 0.05}}
	for name, test := range map[string]struct {
		step   workload.Step
		change func(c *Candidate)
		on     int
		rack   string
		held   string
		// priority is that of the task; the runner is held for one of priority 2.
		priority int
		runTime  lookahead.Prediction
		want     bool
		// by is the filter that excludes the runner.
		by string
	}{
		"fits":                              {step: workload.Step{Resources: cpu(4000)}, want: true},
		"unavailable":                       {step: workload.Step{Resources: cpu(4000)}, change: func(c *Candidate) { c.Available = false }, by: "available"},
		"no processor left":                 {step: workload.Step{Resources: cpu(4000)}, change: func(c *Candidate) { c.Committed.CPU = 61000 }, by: "capacity"},
		"no memory left":                    {step: workload.Step{Resources: cpu(4000)}, change: func(c *Candidate) { c.Committed.MemoryMB = 255500 }, by: "capacity"},
		"best-effort on a committed runner": {step: workload.Step{Resources: cpu(4000), BestEffort: true}, change: func(c *Candidate) { c.Committed.CPU = 64000 }, want: true},
		"best-effort on a busy runner":      {step: workload.Step{Resources: cpu(4000), BestEffort: true}, change: func(c *Candidate) { c.UsedCPU = 61000 }, by: "idle_cpu"},
		"best-effort beside a serving task without headroom": {step: workload.Step{Resources: cpu(8000), BestEffort: true},
			change: func(c *Candidate) { c.Serving = serving }, by: "headroom"},
		"best-effort beside a serving task with headroom": {step: workload.Step{Resources: cpu(2000), BestEffort: true},
			change: func(c *Candidate) { c.Serving = serving }, want: true},
		"best-effort beside a task over its target": {step: workload.Step{Resources: cpu(100), BestEffort: true},
			change: func(c *Candidate) { c.OverTarget, c.Serving = true, serving }, by: "over_target"},
		"label is missing": {step: workload.Step{Resources: cpu(4000), Label: "gpu"}, by: "label"},
		"label is there":   {step: workload.Step{Resources: cpu(4000), Label: "a"}, want: true},
		"at the spread limit": {step: workload.Step{Resources: cpu(4000), MaxPerRunner: 2},
			on: 2, by: "spread_limit"},
		"below the spread limit": {step: workload.Step{Resources: cpu(4000), MaxPerRunner: 2},
			on: 1, want: true},
		"reserved for a long-running task": {step: workload.Step{Resources: cpu(4000)}, change: func(c *Candidate) { c.Reserved = true }, by: "reserved"},
		"best-effort on a reserved runner": {step: workload.Step{Resources: cpu(4000), BestEffort: true}, change: func(c *Candidate) { c.Reserved = true },
			want: true},
		"held for another task": {step: workload.Step{Resources: cpu(4000), BestEffort: true, Estimated: 2 * time.Second},
			change: func(c *Candidate) { c.Held, c.HeldFor = true, time.Second }, by: "held"},
		"short task of unknown duration on a held runner": {step: workload.Step{Resources: cpu(4000)},
			change: func(c *Candidate) { c.Held, c.HeldFor = true, time.Second }, by: "held"},
		"ends before the runner is needed": {step: workload.Step{Resources: cpu(4000), Estimated: time.Second},
			change: func(c *Candidate) { c.Held, c.HeldFor = true, time.Second }, want: true},
		"long-running on a held runner": {step: workload.Step{Resources: cpu(4000), LongRunning: true},
			change: func(c *Candidate) { c.Held = true }, want: true},
		"ends before by its estimate only": {step: workload.Step{Resources: cpu(4000), Estimated: time.Second}, runTime: lookahead.Prediction{
			Typical: 900 * time.Millisecond, Upper: 1100 * time.Millisecond},
			change: func(c *Candidate) { c.Held, c.HeldFor = true, time.Second }, by: "held"},
		"ends before although its estimate is too high": {step: workload.Step{Resources: cpu(4000), Estimated: 2 * time.Second},
			runTime: lookahead.Prediction{Typical: 800 * time.Millisecond, Upper: time.Second},
			change:  func(c *Candidate) { c.Held, c.HeldFor = true, time.Second }, want: true},
		"beside the task that a runner is held for": {step: workload.Step{Resources: cpu(4000)}, priority: 2, change: heldWithSpare(4000), want: true},
		"too large beside the task that a runner is held for": {step: workload.Step{Resources: cpu(4001)}, priority: 2, change: heldWithSpare(4000),
			by: "held"},
		"beside a task that takes the whole runner": {step: workload.Step{Resources: cpu(100)}, priority: 2, change: heldWithSpare(0), by: "held"},
		"before the task that a runner is held for": {step: workload.Step{Resources: cpu(4000)}, priority: 1, change: heldWithSpare(0), want: true},
		"after the task that a runner is held for":  {step: workload.Step{Resources: cpu(4000)}, priority: 2, change: heldWithSpare(0), by: "held"},
		"held for the task": {step: workload.Step{Resources: cpu(4000)}, held: "h",
			change: func(c *Candidate) { c.Held = true }, want: true},
		"best-effort on a small runner": {step: workload.Step{Resources: cpu(65000), BestEffort: true}, by: "runner_size"},
		"other rack":                    {step: workload.Step{Resources: cpu(4000)}, rack: "r9", by: "rack"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCandidate("h", "a", "r1")
			if test.change != nil {
				test.change(c)
			}
			r := request(test.step)
			r.OnRunner = func(string) int { return test.on }
			r.Rack, r.HeldRunner, r.Priority, r.RunTime = test.rack, test.held, test.priority, test.runTime
			assert.Equal(t, Pick(r, []*Candidate{c}) == c, test.want)
			assert.Equal(t, ExcludedBy(r, c), test.by)
		})
	}
}

// heldWithSpare holds a runner for a task of priority 2 that leaves some processor time.
func heldWithSpare(millis int64) func(c *Candidate) {
	return func(c *Candidate) {
		c.Held, c.HeldFor, c.HeldCommitment = true, time.Second, &HeldCommitment{Priority: 2, Spare: cpu(millis)}
	}
}

// Tasks that start beside the one for which a runner is held must not take together what it needs.
func TestSpareIsUsedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		step workload.Step
		held string
		want int64
	}{
		"longer than until its start": {step: workload.Step{Resources: cpu(1000), Estimated: 2 * time.Second}, want: 3000},
		"ends before its start":       {step: workload.Step{Resources: cpu(1000), Estimated: time.Second}, want: 4000},
		"long-running":                {step: workload.Step{Resources: cpu(1000), Estimated: time.Second, LongRunning: true}, want: 3000},
		"best-effort":                 {step: workload.Step{Resources: cpu(1000), BestEffort: true}, want: 4000},
		"the task itself":             {step: workload.Step{Resources: cpu(8000)}, held: "h", want: 4000},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCandidate("h")
			heldWithSpare(4000)(c)
			r := request(test.step)
			r.HeldRunner = test.held
			r.UseSpare(c)
			assert.Equal(t, c.HeldCommitment.Spare.CPU, test.want)
		})
	}
	c := newCandidate("h")
	request(workload.Step{Resources: cpu(1000)}).UseSpare(c)
	assert.Assert(t, c.HeldCommitment == nil)
}

// Each score must prefer the better of two runners, which saves time or disturbs less.
func TestScores(t *testing.T) {
	for name, test := range map[string]struct {
		step  workload.Step
		worse func(c *Candidate)
		avoid bool
	}{
		"emptier runner":                    {step: workload.Step{Resources: cpu(4000)}, worse: func(c *Candidate) { c.UsedCPU = 30000 }},
		"near its data":                     {step: workload.Step{Resources: cpu(4000), DataRack: "r1"}, worse: func(c *Candidate) { c.Labels = nil }},
		"same region":                       {step: workload.Step{Resources: cpu(4000)}, worse: func(c *Candidate) { c.Remote = true }},
		"normal speed":                      {step: workload.Step{Resources: cpu(4000)}, worse: func(c *Candidate) { c.Slowdown = 2 }},
		"trusted":                           {step: workload.Step{Resources: cpu(4000)}, worse: func(c *Candidate) { c.Suspect = true }},
		"where it did not fail":             {step: workload.Step{Resources: cpu(4000)}, avoid: true},
		"best-effort without serving tasks": {step: workload.Step{Resources: cpu(4000), BestEffort: true}, worse: func(c *Candidate) { c.Serving = []Serving{{"s", 0.3}} }},
		"serving beside the same image":     {step: workload.Step{Resources: cpu(4000), Image: "s", LatencyTarget: time.Second}, worse: func(c *Candidate) { c.Serving = []Serving{{"other", 0.3}} }},
	} {
		t.Run(name, func(t *testing.T) {
			worse, better := newCandidate("a", "r1"), newCandidate("b", "r1")
			if test.worse != nil {
				test.worse(worse)
			}
			if test.step.LatencyTarget > 0 {
				better.Serving = []Serving{{"s", 0.3}}
			}
			r := request(test.step)
			if test.avoid {
				r.Avoid = "a"
			}
			assert.Equal(t, Pick(r, []*Candidate{worse, better}).ID, "b")
		})
	}
}

// Five serving images each suffer from some of the best-effort images. A large number of best-effort tasks must still
// find runners where they disturb no serving task.
func TestManyBestEffortTasksFindHarmlessRunners(t *testing.T) {
	harmful := func(serving, bestEffort int) bool { return (serving+bestEffort)%5 < 3 }
	var candidates []*Candidate
	for i := range 66 {
		c := newCandidate(fmt.Sprintf("h%02d", i))
		c.Committed.CPU = 60000
		for range 4 {
			c.Serving = append(c.Serving, Serving{Image: fmt.Sprint(i % 5), Headroom: 0.3})
		}
		candidates = append(candidates, c)
	}
	placed := 0
	for n := range 400 {
		image := n % 9
		r := request(workload.Step{Resources: cpu(5000), BestEffort: true})
		r.Pressure = func(serving string) float64 {
			if harmful(int(serving[0]-'0'), image) {
				return 3
			}
			return 0.1
		}
		best := Pick(r, candidates)
		if best == nil {
			continue
		}
		placed++
		best.UsedCPU += 5000
		for i := range best.Serving {
			best.Serving[i].Headroom -= r.Pressure(best.Serving[i].Image) * 5000 / 64000
			assert.Assert(t, best.Serving[i].Headroom >= 0)
		}
	}
	assert.Assert(t, placed >= 360, "%d of 400 tasks were placed", placed)
}

// A runner reserved for a large long-running task takes a small one that fits there. It was refused to small ones, and 5
// tasks were not running (kioscos-reserva mix, seed 605755346713).
func TestReservedRunnerTakesLongRunningTasksThatFit(t *testing.T) {
	runner := &Candidate{ID: "r", Available: true, Capacity: workload.Resources{CPU: 64_000, MemoryMB: 256_000}}
	runner.Committed.CPU, runner.Transient.CPU = 50_000, 10_000
	request := func(step workload.Step) *Request {
		return &Request{Step: &step, OnRunner: func(string) int { return 0 }, Pressure: func(string) float64 { return 0 }}
	}
	large := request(workload.Step{Resources: workload.Resources{CPU: 20_000}, LongRunning: true})
	small := request(workload.Step{Resources: workload.Resources{CPU: 9_000}, LongRunning: true})
	short := request(workload.Step{Resources: workload.Resources{CPU: 9_000}})
	candidates := []*Candidate{runner}
	assert.Assert(t, Pick(large, candidates) == nil)
	reserved := Reserve(large, candidates)
	assert.Equal(t, reserved, runner)
	reserved.Reserved = true
	assert.Equal(t, Pick(small, candidates), runner)
	assert.Assert(t, Pick(short, candidates) == nil, "short tasks use the reserved capacity")
	assert.Assert(t, Reserve(large, candidates) == nil, "one runner is reserved for two tasks")
	// Nothing on the runner ends soon, so a reservation would only keep short tasks away (182 short tasks waited
	// beside 198 free cores).
	runner.Reserved, runner.Transient.CPU = false, 5_000
	assert.Assert(t, Reserve(large, candidates) == nil)
}
