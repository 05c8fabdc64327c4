package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantthread/currantthread/internal/figures/requestsim"
	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/route"
)

func init() {
	register(measurement{ID: "F2", Name: "tail latency with one bad runner of 70, 9 entry VMs, 70% load (virtual time)", Run: runF2})
}

const (
	f2Load               = 0.7
	f2Slowdown           = 20
	f2Service            = 20 * time.Millisecond
	f2WarmUp             = 5 * time.Second
	f2Measure            = 10 * time.Second
	f2Seed               = 7
	f2MaxSlowRatio       = 1.3 // times the p99 with no slow runner
	f2MaxRoundRobinRatio = 0.2 // times the p99 of round robin
)

// f2Fault is a fault that is injected into one runner at the end of the warm-up.
type f2Fault struct {
	name  string
	apply func(sim *requestsim.Simulation, r *requestsim.Runner)
}

func f2Mode(mode requestsim.Mode) func(*requestsim.Simulation, *requestsim.Runner) {
	return func(sim *requestsim.Simulation, r *requestsim.Runner) { sim.SetMode(r, mode) }
}

var f2Faults = []f2Fault{
	{"none slow", func(*requestsim.Simulation, *requestsim.Runner) {}},
	{"one 20x slower", func(_ *requestsim.Simulation, r *requestsim.Runner) { r.Slowdown = f2Slowdown }},
	{"one dead", f2Mode(requestsim.ModeDead)},
	{"one fast-failing", f2Mode(requestsim.ModeFailing)},
	{"one silent", f2Mode(requestsim.ModeSilent)},
}

type f2Policy struct {
	name string
	// plain disables ejection, spill-over and the connection limit.
	plain bool
	make  func(sim *requestsim.Simulation, entry int) route.Policy
}

var (
	f2TwoChoices = f2Policy{name: "p2c", make: func(*requestsim.Simulation, int) route.Policy { return route.NewTwoChoices() }}
	// f2RoundRobin is an ordinary round-robin balancer that ignores connections in use and has neither ejection nor
	// spill-over. The bound against round robin compares with it, because these protections are part of what is measured.
	f2RoundRobin = f2Policy{name: "round-robin, plain", plain: true, make: newRoundRobin}
	f2Baselines  = []f2Policy{
		f2RoundRobin,
		{name: "random, plain", plain: true, make: newRandom},
		{name: "least-in-flight, plain", plain: true, make: newLeastInFlight},
		{name: "round-robin, guarded", make: newRoundRobin},
		{name: "random, guarded", make: newRandom},
		{name: "least-in-flight, guarded", make: newLeastInFlight},
	}
)

func newRoundRobin(*requestsim.Simulation, int) route.Policy    { return route.NewRoundRobin() }
func newRandom(*requestsim.Simulation, int) route.Policy        { return route.NewRandom() }
func newLeastInFlight(*requestsim.Simulation, int) route.Policy { return route.NewLeastInFlight() }

// f2Config returns the service kioscos of the deployment manizales. The standard deviation of service times is only half
// their mean, because a long tail of the service itself would hide the tail that the slow runner causes.
func f2Config() requestsim.Config {
	return requestsim.Config{Seed: f2Seed,
		Domains: []requestsim.FailureDomain{
			{Region: "caldas-centro", Domain: "chipre", Entries: 3, Runners: 24},
			{Region: "caldas-centro", Domain: "la-enea", Entries: 3, Runners: 23},
			{Region: "valle-norte", Domain: "cartago", Entries: 3, Runners: 23},
		},
		Slots: 8, Connections: 64, ServiceTime: f2Service, ServiceVariation: 0.5,
		LocalDelay: 50 * time.Microsecond, DomainDelay: time.Millisecond, RegionDelay: 20 * time.Millisecond,
		Route:       route.Config{EntryVMs: 9},
		Concurrency: 256, Queue: 512, Timeout: 2 * time.Second, ConnectTimeout: 500 * time.Millisecond,
		MaxRetries: 2, RetryPercent: 10, RetryFloor: 3,
		ListLag: 2 * time.Second, ListInterval: time.Second}
}

type f2Result struct {
	stats    *requestsim.Stats
	atFaulty int64 // attempts sent to the faulty runner after the fault
	probes   int64
}

func f2Run(cfg requestsim.Config, policy f2Policy, fault f2Fault) f2Result {
	var pools []*requestsim.ProbePool
	cfg.Policy = func(sim *requestsim.Simulation, entry int) route.Policy {
		p := policy.make(sim, entry)
		if pool, ok := p.(*requestsim.ProbePool); ok {
			pools = append(pools, pool)
		}
		return p
	}
	if policy.plain {
		cfg.Route.EntryVMs = 0
		cfg.Route.EjectAfter = math.MaxInt32
		cfg.Route.SpillDomain, cfg.Route.SpillRegion = time.Hour, time.Hour
	}
	sim := requestsim.New(cfg)
	sim.MeasureFrom = f2WarmUp
	rate := f2Load * float64(len(sim.Runners)*cfg.Slots) / f2Service.Seconds() / float64(len(sim.Entries))
	for entry := range sim.Entries {
		sim.Poisson(entry, limit.LatencyCritical, rate, f2WarmUp+f2Measure)
	}
	sim.Run(f2WarmUp)
	bad := sim.Runners[0]
	before := bad.Assigned
	fault.apply(sim, bad)
	sim.Run(f2WarmUp + f2Measure + cfg.Timeout)
	result := f2Result{stats: sim.Stats[limit.LatencyCritical], atFaulty: bad.Assigned - before}
	for _, pool := range pools {
		result.probes += pool.Probes
	}
	return result
}

func runF2(out io.Writer) ([]bound, error) {
	cfg := f2Config()
	policies := append([]f2Policy{f2TwoChoices}, f2Baselines...)
	results := f2RunAll(cfg, policies, f2Faults)
	f2Print(out, policies, f2Faults, results)
	p99 := func(policy, fault int) float64 { return quantile(results[policy][fault].stats.Latency, 99) }
	const p2c, roundRobin, none, slow = 0, 1, 0, 1
	bounds := []bound{
		{What: "p99 one slow / p99 none slow", Measured: p99(p2c, slow) / p99(p2c, none), Limit: f2MaxSlowRatio,
			Baseline: fmt.Sprintf("round robin %.3g", p99(roundRobin, slow)/p99(roundRobin, none))},
		{What: "p99 one slow / round robin's", Measured: p99(p2c, slow) / p99(roundRobin, slow), Limit: f2MaxRoundRobinRatio,
			Baseline: "1"},
	}
	return bounds, nil
}

// f2RunAll runs every policy against every fault, with one goroutine per policy.
func f2RunAll(cfg requestsim.Config, policies []f2Policy, faults []f2Fault) [][]f2Result {
	results := make([][]f2Result, len(policies))
	done := make(chan struct{})
	for i, policy := range policies {
		go func() {
			for _, fault := range faults {
				results[i] = append(results[i], f2Run(cfg, policy, fault))
			}
			done <- struct{}{}
		}()
	}
	for range policies {
		<-done
	}
	return results
}

func f2Print(out io.Writer, policies []f2Policy, faults []f2Fault, results [][]f2Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "policy\tcase\trequests\tp50 ms\tp99 ms\tp99.9 ms\tfailed\tshed\tretries\tat bad runner\tprobes\t")
	for i, policy := range policies {
		for j, fault := range faults {
			r := results[i][j]
			h := r.stats.Latency
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t\n", policy.name, fault.name, r.stats.Sent,
				quantile(h, 50), quantile(h, 99), quantile(h, 99.9), r.stats.Failed, r.stats.Shed+r.stats.NoRoute,
				r.stats.Retries, r.atFaulty, r.probes)
		}
	}
	_ = table.Flush()
}

// quantile returns the q-th percentile of a histogram of microseconds, in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
