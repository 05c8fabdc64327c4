package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/workload"
)

// host returns an empty runner of 64 cores.
func host(id string, labels ...string) *Host {
	return &Host{ID: id, Domain: "chipre", Labels: labels, Available: true, Slowdown: 1,
		Capacity: workload.Resources{CPU: 64000, MemoryMB: 256000}}
}

func request(step workload.Step) *Request {
	return &Request{Step: &step, OnHost: func(string) int { return 0 }, Pressure: func(string) float64 { return 1 }}
}

func cpu(millis int64) workload.Resources { return workload.Resources{CPU: millis, MemoryMB: 1000} }

// Each filter must exclude a runner that breaks its rule.
func TestFilters(t *testing.T) {
	serving := []Serving{{Image: "s", Room: 0.05}}
	for name, c := range map[string]struct {
		step workload.Step
		host func(h *Host)
		on   int
		rack string
		want bool
	}{
		"fits":                              {step: workload.Step{Resources: cpu(4000)}, want: true},
		"unavailable":                       {step: workload.Step{Resources: cpu(4000)}, host: func(h *Host) { h.Available = false }},
		"no processor left":                 {step: workload.Step{Resources: cpu(4000)}, host: func(h *Host) { h.Committed.CPU = 61000 }},
		"no memory left":                    {step: workload.Step{Resources: cpu(4000)}, host: func(h *Host) { h.Committed.MemoryMB = 255500 }},
		"best-effort on a committed runner": {step: workload.Step{Resources: cpu(4000), Fills: true}, host: func(h *Host) { h.Committed.CPU = 64000 }, want: true},
		"best-effort on a busy runner":      {step: workload.Step{Resources: cpu(4000), Fills: true}, host: func(h *Host) { h.UsedCPU = 61000 }},
		"best-effort beside a serving task without headroom": {step: workload.Step{Resources: cpu(8000), Fills: true},
			host: func(h *Host) { h.Serving = serving }},
		"best-effort beside a serving task with headroom": {step: workload.Step{Resources: cpu(2000), Fills: true},
			host: func(h *Host) { h.Serving = serving }, want: true},
		"best-effort beside a task over its target": {step: workload.Step{Resources: cpu(100), Fills: true},
			host: func(h *Host) { h.Harmed, h.Serving = true, serving }},
		"label is missing": {step: workload.Step{Resources: cpu(4000), Label: "gpu"}},
		"label is there":   {step: workload.Step{Resources: cpu(4000), Label: "a"}, want: true},
		"at the spread limit": {step: workload.Step{Resources: cpu(4000), MaxPerRunner: 2},
			on: 2},
		"below the spread limit": {step: workload.Step{Resources: cpu(4000), MaxPerRunner: 2},
			on: 1, want: true},
		"other rack": {step: workload.Step{Resources: cpu(4000)}, rack: "r9"},
	} {
		t.Run(name, func(t *testing.T) {
			h := host("h", "a", "r1")
			if c.host != nil {
				c.host(h)
			}
			r := request(c.step)
			r.OnHost = func(string) int { return c.on }
			r.Rack = c.rack
			assert.Equal(t, Pick(r, []*Host{h}) == h, c.want)
		})
	}
}

// Each score must prefer the better of two runners, which saves time or disturbs less.
func TestScores(t *testing.T) {
	for name, c := range map[string]struct {
		step  workload.Step
		worse func(h *Host)
		avoid bool
	}{
		"emptier runner":                    {step: workload.Step{Resources: cpu(4000)}, worse: func(h *Host) { h.UsedCPU = 30000 }},
		"near its data":                     {step: workload.Step{Resources: cpu(4000), DataRack: "r1"}, worse: func(h *Host) { h.Labels = nil }},
		"same region":                       {step: workload.Step{Resources: cpu(4000)}, worse: func(h *Host) { h.Far = true }},
		"normal speed":                      {step: workload.Step{Resources: cpu(4000)}, worse: func(h *Host) { h.Slowdown = 2 }},
		"trusted":                           {step: workload.Step{Resources: cpu(4000)}, worse: func(h *Host) { h.Suspect = true }},
		"where it did not fail":             {step: workload.Step{Resources: cpu(4000)}, avoid: true},
		"best-effort without serving tasks": {step: workload.Step{Resources: cpu(4000), Fills: true}, worse: func(h *Host) { h.Serving = []Serving{{"s", 0.3}} }},
		"serving beside the same image":     {step: workload.Step{Resources: cpu(4000), Image: "s", LatencyTarget: time.Second}, worse: func(h *Host) { h.Serving = []Serving{{"other", 0.3}} }},
	} {
		t.Run(name, func(t *testing.T) {
			worse, better := host("a", "r1"), host("b", "r1")
			if c.worse != nil {
				c.worse(worse)
			}
			if c.step.LatencyTarget > 0 {
				better.Serving = []Serving{{"s", 0.3}}
			}
			r := request(c.step)
			if c.avoid {
				r.Avoid = "a"
			}
			assert.Equal(t, Pick(r, []*Host{worse, better}).ID, "b")
		})
	}
}

// Five serving images each suffer from some of the best-effort images. A large number of best-effort tasks must still
// find runners where they disturb no serving task.
func TestManyBestEffortTasksFindHarmlessRunners(t *testing.T) {
	harmful := func(serving, bestEffort int) bool { return (serving+bestEffort)%5 < 3 }
	var hosts []*Host
	for i := range 66 {
		h := host(fmt.Sprintf("h%02d", i))
		h.Committed.CPU = 60000
		for range 4 {
			h.Serving = append(h.Serving, Serving{Image: fmt.Sprint(i % 5), Room: 0.3})
		}
		hosts = append(hosts, h)
	}
	placed := 0
	for n := range 400 {
		image := n % 9
		r := request(workload.Step{Resources: cpu(5000), Fills: true})
		r.Pressure = func(serving string) float64 {
			if harmful(int(serving[0]-'0'), image) {
				return 3
			}
			return 0.1
		}
		best := Pick(r, hosts)
		if best == nil {
			continue
		}
		placed++
		best.UsedCPU += 5000
		for i := range best.Serving {
			best.Serving[i].Room -= r.Pressure(best.Serving[i].Image) * 5000 / 64000
			assert.Assert(t, best.Serving[i].Room >= 0)
		}
	}
	assert.Assert(t, placed >= 360, "%d of 400 tasks were placed", placed)
}

// A runner reserved for a large long-running task takes a small one that fits there. It was refused to small ones, and 5
// tasks were not running (kioscos-reserva mix, seed 605755346713).
func TestReservedRunnerTakesLongRunningTasksThatFit(t *testing.T) {
	host := &Host{ID: "r", Available: true, Capacity: workload.Resources{CPU: 64_000, MemoryMB: 256_000}}
	host.Committed.CPU, host.Transient.CPU = 50_000, 10_000
	request := func(step workload.Step) *Request {
		return &Request{Step: &step, OnHost: func(string) int { return 0 }, Pressure: func(string) float64 { return 0 }}
	}
	large := request(workload.Step{Resources: workload.Resources{CPU: 20_000}, LongRunning: true})
	small := request(workload.Step{Resources: workload.Resources{CPU: 9_000}, LongRunning: true})
	short := request(workload.Step{Resources: workload.Resources{CPU: 9_000}})
	hosts := []*Host{host}
	assert.Assert(t, Pick(large, hosts) == nil)
	reserved := Reserve(large, hosts)
	assert.Equal(t, reserved, host)
	reserved.Reserved = true
	assert.Equal(t, Pick(small, hosts), host)
	assert.Assert(t, Pick(short, hosts) == nil, "short tasks use the reserved capacity")
	assert.Assert(t, Reserve(large, hosts) == nil, "one runner is reserved for two tasks")
	// Nothing on the runner ends soon, so a reservation would only keep short tasks away (182 short tasks waited
	// beside 198 free cores).
	host.Reserved, host.Transient.CPU = false, 5_000
	assert.Assert(t, Reserve(large, hosts) == nil)
}
