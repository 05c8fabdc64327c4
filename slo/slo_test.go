package slo_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/slo"
	"github.com/currantthread/currantthread/verdict"
)

var objective = slo.Objective{Latency: 500 * time.Millisecond, Permille: 990, Window: 28 * 24 * time.Hour}

func newRecorder(vm string) *slo.Recorder {
	r := slo.NewRecorder(vm)
	r.SetObjective("kioscos", objective)
	return r
}

func goodEvent(upstream string) slo.Event {
	return slo.Event{Service: "kioscos", Domain: "chipre", Upstream: upstream, Verdict: verdict.Ran,
		Latency: 100 * time.Millisecond}
}

func badEvent(upstream string) slo.Event {
	e := goodEvent(upstream)
	e.Domain, e.Failed = "la-enea", true
	return e
}

// recordMinute records n requests, the first nBad of them bad, and sleeps for a minute.
func recordMinute(r *slo.Recorder, n, nBad int) {
	for i := range n {
		if i < nBad {
			r.Record(badEvent("u2"))
		} else {
			r.Record(goodEvent("u1"))
		}
	}
	time.Sleep(time.Minute)
}

func report(r ...*slo.Recorder) slo.ServiceReport {
	exports := make([]slo.Export, len(r))
	for i := range r {
		exports[i] = r[i].Export()
	}
	return slo.NewReport(time.Now(), slo.Merge(exports...), nil).Services[0]
}

// A request that is slow, fails, is refused or may not have run must not count as good.
func TestCountsByLatencyAndVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecorder("vm1")
		slow := goodEvent("u1")
		slow.Latency = 501 * time.Millisecond
		refused := slo.Event{Service: "kioscos", Verdict: verdict.NotRun}
		unknown := goodEvent("u1")
		unknown.Verdict = verdict.MayHaveRun
		other := goodEvent("u1")
		other.Service = "unknown"
		for _, e := range []slo.Event{goodEvent("u1"), slow, refused, unknown, badEvent("u2"), other} {
			r.Record(e)
		}
		assert.Equal(t, report(r).Counts, slo.Counts{Good: 1, Slow: 1, Bad: 3, Ran: 3, NotRun: 1, MayHaveRun: 1})
	})
}

// Alerts must fire for sustained fast and slow burns, but not for a short spike or after the fault has ended.
func TestBurnRatesAndAlerts(t *testing.T) {
	cases := []struct {
		name       string
		minutes    []int // bad requests of 100 in each minute
		fast, slow bool
	}{
		{"none", repeat(0, 360), false, false},
		{"short spike", append(repeat(0, 355), repeat(50, 5)...), false, false},
		{"steady fast burn", append(repeat(0, 300), repeat(20, 60)...), true, false},
		{"fast burn that ended", append(append(repeat(0, 290), repeat(20, 60)...), repeat(0, 10)...), false, false},
		{"slow burn", repeat(8, 360), false, true},
		{"within budget", repeat(1, 360), false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRecorder("vm1")
				for _, n := range c.minutes {
					recordMinute(r, 100, n)
				}
				s := report(r)
				assert.Equal(t, s.Burns[0].Alert, c.fast, "fast: %+v", s.Burns[0])
				assert.Equal(t, s.Burns[1].Alert, c.slow, "slow: %+v", s.Burns[1])
			})
		})
	}
}

func repeat(value, n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = value
	}
	return out
}

// The error budget must be computed over the objective's window, and the report must state how far back counts reach.
func TestBudgetLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecorder("vm1")
		for range 48 {
			recordMinute(r, 1000, 5)
			time.Sleep(time.Hour - time.Minute)
		}
		s := report(r)
		assert.Equal(t, s.Counts.Total(), int64(48_000))
		assert.Equal(t, s.Covered, 48*time.Hour)
		assert.Assert(t, math.Abs(s.BudgetLeft-0.5) < 1e-9, "%v left", s.BudgetLeft)
		time.Sleep(objective.Window)
		s = report(r)
		assert.Equal(t, s.Counts.Total(), int64(0))
		assert.Equal(t, s.Covered, objective.Window)
	})
}

// A merge must add each VM's counts exactly once, and the worst parts must be listed in order.
func TestMergeAndWorst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newRecorder("vm1"), newRecorder("vm2")
		recordMinute(a, 100, 2)
		recordMinute(b, 100, 5)
		b.Record(badEvent("u3"))
		s := report(a, b)
		assert.Equal(t, s.Counts.Total(), int64(201))
		assert.Equal(t, s.Counts.Bad, int64(8))
		assert.Equal(t, len(s.WorstDomains), 1)
		assert.Equal(t, s.WorstDomains[0].Name, "la-enea")
		assert.Equal(t, s.WorstUpstreams[0].Name, "u2")
		assert.Equal(t, s.WorstUpstreams[0].Counts.Bad, int64(7))
		assert.Equal(t, s.WorstUpstreams[1].Name, "u3")
	})
}

// A merge must not depend on the order or grouping of VMs, and JSON must preserve all counts.
func TestMergeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) slo.Export {
			slots := []slo.Slot{}
			for i := range rapid.IntRange(0, 4).Draw(t, name) {
				slots = append(slots, slo.Slot{Index: int64(i), Counts: slo.Counts{Good: rapid.Int64Range(0, 9).Draw(t, "good"),
					Bad: rapid.Int64Range(1, 9).Draw(t, "bad")}})
			}
			return slo.Export{VMs: []string{name}, Since: time.Unix(0, 0).UTC(), Services: map[string]slo.ServiceExport{
				"kioscos": {Objective: objective, Fine: slots, Coarse: slots, Domains: map[string][]slo.Slot{"d": slots},
					Upstreams: map[string][]slo.Slot{name: slots}}}}
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		left := slo.Merge(slo.Merge(a, b), c).Services
		assert.DeepEqual(t, left, slo.Merge(c, slo.Merge(b, a)).Services)
		encoded, err := json.Marshal(slo.Merge(a, b, c))
		assert.NilError(t, err)
		var decoded slo.Export
		assert.NilError(t, json.Unmarshal(encoded, &decoded))
		assert.DeepEqual(t, decoded.Services, left)
	})
}

// Memory must not grow with the number of upstreams that ever existed, and requests of upstreams beyond the limit must
// still count for the service.
func TestPartsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecorder("vm1")
		for i := range 5000 {
			r.Record(badEvent(fmt.Sprintf("u%d", i)))
		}
		export := r.Export().Services["kioscos"]
		assert.Equal(t, len(export.Upstreams), 4097)
		assert.Equal(t, report(r).Counts.Bad, int64(5000))
		time.Sleep(2 * time.Hour)
		r.Record(badEvent("new"))
		_, kept := r.Export().Services["kioscos"].Upstreams["new"]
		assert.Assert(t, kept, "parts without recent requests were not removed")
	})
}

// When a ring wraps around, old counts must not reappear and new counts must not be lost.
func TestRingWrapsAround(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecorder("vm1")
		r.Record(badEvent("u1"))
		time.Sleep(13 * 5 * time.Minute) // the length of an upstream's ring
		r.Record(goodEvent("u1"))
		r.Record(badEvent("u1"))
		s := report(r)
		assert.Equal(t, len(s.WorstUpstreams), 1)
		assert.Equal(t, s.WorstUpstreams[0].Counts, slo.Counts{Good: 1, Bad: 1, Ran: 2})
	})
}

// Reports must list the unreachable VMs. The page must load no external resource and must not run a script from a name.
func TestRendering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecorder("vm1")
		for range 10 {
			recordMinute(r, 100, 30)
		}
		r.Record(badEvent("<script>alert(1)</script>"))
		full := slo.NewReport(time.Now(), r.Export(), []string{"vm9", "vm7"})
		var text, page, encoded bytes.Buffer
		assert.NilError(t, full.WriteText(&text))
		assert.NilError(t, full.WriteHTML(&page))
		assert.NilError(t, full.WriteJSON(&encoded))
		for _, out := range []string{text.String(), page.String()} {
			assert.Assert(t, strings.Contains(out, "vm7, vm9"), "%s", out)
			assert.Assert(t, strings.Contains(out, "la-enea"))
			assert.Assert(t, strings.Contains(out, "alert"))
		}
		assert.Assert(t, strings.Contains(page.String(), "<svg"))
		assert.Assert(t, !strings.Contains(page.String(), "<script"))
		for _, external := range []string{"src=", "href=", "@import", "url("} {
			assert.Assert(t, !strings.Contains(page.String(), external), "the page contains %s", external)
		}
		var decoded slo.Report
		assert.NilError(t, json.Unmarshal(encoded.Bytes(), &decoded))
		assert.DeepEqual(t, decoded, full)
	})
}

// A report must not fail on a service without requests, as after a restart of all entry VMs.
func TestRenderingWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := slo.NewReport(time.Now(), newRecorder("vm1").Export(), nil)
		var page, text bytes.Buffer
		assert.NilError(t, full.WriteHTML(&page))
		assert.NilError(t, full.WriteText(&text))
		assert.Assert(t, strings.Contains(text.String(), "100.0% of that of 0 requests"), "%s", text.String())
	})
}
