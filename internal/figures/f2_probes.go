package main

import (
	"fmt"
	"io"

	"github.com/currantthread/currantthread/internal/figures/requestsim"
	"github.com/currantthread/currantthread/route"
)

func init() {
	register(measurement{ID: "F2-probes", Name: "two choices on reported load against a probe pool", OnRequest: true, Run: runF2Probes})
}

func f2ProbePool(perRequest float64) func(sim *requestsim.Simulation, entry int) route.Policy {
	return func(sim *requestsim.Simulation, entry int) route.Policy {
		return requestsim.NewProbePool(sim, entry, perRequest)
	}
}

// runF2Probes prints a comparison and returns no bounds.
func runF2Probes(out io.Writer) ([]bound, error) {
	policies := []f2Policy{
		f2TwoChoices,
		{name: "probe pool, 3 per request", make: f2ProbePool(3)},
		{name: "probe pool, 1 per request", make: f2ProbePool(1)},
		{name: "least-in-flight", make: newLeastInFlight},
	}
	withoutReports := f2Config()
	withoutReports.NoReports = true
	flat := f2Config()
	flat.Domains = []requestsim.FailureDomain{{Region: "caldas-centro", Domain: "chipre", Entries: 9, Runners: 70}}
	varied := f2Config()
	varied.ServiceVariation = 1
	busy := f2Config()
	busy.ServiceTime = busy.ServiceTime * 9 / 7 // raises the load from 70% to 90% at the same request rate
	scenarios := []struct {
		name string
		cfg  requestsim.Config
	}{
		{"three failure domains", f2Config()},
		{"one failure domain", flat},
		{"service times that vary by their mean", varied},
		{"runners that report no load", withoutReports},
		{"90% load", busy},
	}
	faults := append([]f2Fault{{"ten with half the slots", f2HalveSlots}}, f2Faults[:2]...)
	for _, scenario := range scenarios {
		_, _ = fmt.Fprintf(out, "%s:\n", scenario.name)
		f2Print(out, policies, faults, f2RunAll(scenario.cfg, policies, faults))
	}
	return nil, nil
}

// f2HalveSlots models interference that runners do not report: ten of them process only half as many requests at once as
// their reported slots.
func f2HalveSlots(sim *requestsim.Simulation, _ *requestsim.Runner) {
	for _, r := range sim.Runners[:10] {
		r.Slots /= 2
	}
}
