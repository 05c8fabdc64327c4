package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/route"
)

func init() {
	register(measurement{ID: "F3", Name: "choosing an upstream", Run: runF3})
}

const (
	f3Small      = 70
	f3Large      = 4000
	f3MaxTime    = 500 // nanoseconds
	f3MaxGrowth  = 2   // times the time at f3Small
	f3Runs       = 5
	f3InFlight   = 3
	f3ReportLoad = 5
	f3Slots      = 8
)

var errF3NoResult = errors.New("the benchmark gave no result")

// runF3 takes the fastest of several runs, because other load on a shared machine only adds time. Runs alternate between
// the cases, so that a change of that load affects all of them.
func runF3(out io.Writer) ([]bound, error) {
	const small, large, full, baseline = 0, 1, 2, 3
	sets := []*route.Set{
		small:    f3Set(f3Small, route.NewTwoChoices(), f3InFlight),
		large:    f3Set(f3Large, route.NewTwoChoices(), f3InFlight),
		full:     f3Set(f3Small, route.NewTwoChoices(), f3Slots),
		baseline: f3Set(f3Small, route.NewRoundRobin(), f3InFlight),
	}
	times := make([][]float64, len(sets))
	allocs := int64(0)
	for range f3Runs {
		for i, set := range sets {
			result := testing.Benchmark(f3Pick(set))
			if result.N == 0 {
				return nil, errF3NoResult
			}
			times[i] = append(times[i], f3Nanos(result))
			allocs = max(allocs, result.AllocsPerOp())
		}
	}
	_, _ = fmt.Fprintf(out, "ns per choice at %d: %.0f, at %d: %.0f, at %d with no free slot: %.0f\n", f3Small, times[small],
		f3Large, times[large], f3Small, times[full])
	roundRobin := fmt.Sprintf("round robin %.3g", slices.Min(times[baseline]))
	growth := slices.Min(times[large]) / slices.Min(times[small])
	return []bound{
		{What: fmt.Sprintf("ns at %d endpoints", f3Small), Measured: slices.Min(times[small]), Limit: f3MaxTime, Baseline: roundRobin},
		{What: fmt.Sprintf("ns at %d endpoints, no free slot", f3Small), Measured: slices.Min(times[full]), Limit: f3MaxTime},
		{What: "allocations", Measured: float64(allocs), Limit: 0},
		{What: fmt.Sprintf("time at %d / at %d", f3Large, f3Small), Measured: growth, Limit: f3MaxGrowth},
	}, nil
}

// f3Set returns a set of n endpoints, each with inFlight requests in flight and a load report.
func f3Set(n int, policy route.Policy, inFlight int) *route.Set {
	set := route.NewSet(route.Locality{Region: "r", Domain: "d"}, route.Config{Policy: policy})
	vms := make([]infra.VM, n)
	for i := range vms {
		id := fmt.Sprintf("u%d", i)
		vms[i] = infra.VM{ID: id, Role: infra.RoleUpstream, State: infra.VMLive, Region: "r", Domain: "d",
			Addr: id, Slots: f3Slots, Connections: 64}
	}
	set.Update(vms)
	for _, e := range set.Endpoints() {
		for range inFlight + 1 {
			e.Begin()
		}
		e.End(route.Result{Latency: 20 * time.Millisecond, Load: route.Load{InFlight: f3ReportLoad, Slots: f3Slots, Valid: true}})
	}
	return set
}

func f3Pick(set *route.Set) func(b *testing.B) {
	return func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := set.Pick(nil, true); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func f3Nanos(r testing.BenchmarkResult) float64 { return float64(r.T.Nanoseconds()) / float64(r.N) }
