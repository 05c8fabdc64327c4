package main

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/route"
)

func init() {
	register(figure{ID: "F3", Name: "choosing an upstream", Run: runF3})
}

const (
	f3Small      = 70
	f3Large      = 4000
	f3Limit      = 500 // nanoseconds
	f3Growth     = 2   // of the time at f3Small
	f3Runs       = 5
	f3InFlight   = 3
	f3ReportLoad = 5
)

var errF3NoResult = errors.New("the benchmark gave no result")

// runF3 takes the median of several runs, which alternate between both sizes so that a change of the machine's load
// touches both.
func runF3(out io.Writer) ([]bound, error) {
	small, large := f3Set(f3Small), f3Set(f3Large)
	var smallTimes, largeTimes, roundTimes []float64
	allocs := int64(0)
	baseline := f3SetWith(f3Small, route.NewRoundRobin())
	for range f3Runs {
		a, b, c := testing.Benchmark(f3Pick(small)), testing.Benchmark(f3Pick(large)), testing.Benchmark(f3Pick(baseline))
		if a.N == 0 || b.N == 0 || c.N == 0 {
			return nil, errF3NoResult
		}
		smallTimes = append(smallTimes, f3Nanos(a))
		largeTimes = append(largeTimes, f3Nanos(b))
		roundTimes = append(roundTimes, f3Nanos(c))
		allocs = max(allocs, a.AllocsPerOp(), b.AllocsPerOp())
	}
	smallTime, largeTime := median(smallTimes), median(largeTimes)
	_, _ = fmt.Fprintf(out, "ns per choice at %d: %.0f, at %d: %.0f\n", f3Small, smallTimes, f3Large, largeTimes)
	roundRobin := fmt.Sprintf("round robin %.3g", median(roundTimes))
	return []bound{
		{What: fmt.Sprintf("ns at %d endpoints", f3Small), Measured: smallTime, Limit: f3Limit, Baseline: roundRobin},
		{What: "allocations", Measured: float64(allocs), Limit: 0},
		{What: fmt.Sprintf("time at %d / at %d", f3Large, f3Small), Measured: largeTime / smallTime, Limit: f3Growth},
	}, nil
}

func f3Set(n int) *route.Set { return f3SetWith(n, route.NewTwoChoices()) }

// f3SetWith returns a set in which every endpoint has requests in flight and a load report.
func f3SetWith(n int, policy route.Policy) *route.Set {
	set := route.NewSet(route.Locality{Region: "r", Domain: "d"}, route.Config{Policy: policy, EntryVMs: 9})
	vms := make([]platform.VM, n)
	for i := range vms {
		id := fmt.Sprintf("u%d", i)
		vms[i] = platform.VM{ID: id, Role: platform.RoleUpstream, State: platform.VMLive, Region: "r", Domain: "d",
			Addr: id, Slots: 8, Connections: 64}
	}
	set.Update(vms)
	for _, e := range set.Endpoints() {
		for range f3InFlight + 1 {
			e.Begin()
		}
		e.End(route.Result{Latency: 20 * time.Millisecond, Load: route.Load{InFlight: f3ReportLoad, Slots: 8, Valid: true}})
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
