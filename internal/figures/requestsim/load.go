package requestsim

import (
	"time"

	"github.com/currantthread/currantthread/limit"
)

// Poisson makes requests of one class arrive at an entry VM from now until a virtual time, as a Poisson process of rate
// requests per second.
func (sim *Simulation) Poisson(entry int, class limit.Class, rate float64, until time.Duration) {
	sim.scheduleArrivals(entry, class, rate, func() bool { return sim.now < until })
}

// setRate replaces the arrivals of one class at an entry VM by a Poisson process of rate requests per second.
func (sim *Simulation) setRate(entry int, class limit.Class, rate float64) {
	e := sim.Entries[entry]
	e.processSeq[class]++
	processSeq := e.processSeq[class]
	if rate > 0 {
		sim.scheduleArrivals(entry, class, rate, func() bool { return e.processSeq[class] == processSeq })
	}
}

// scheduleArrivals makes requests arrive at exponentially distributed intervals while active returns true.
func (sim *Simulation) scheduleArrivals(entry int, class limit.Class, rate float64, active func() bool) {
	gap := time.Duration(sim.Rand.ExpFloat64() / rate * float64(time.Second))
	sim.After(gap, func() {
		if !active() {
			return
		}
		sim.Arrive(entry, class, 0)
		sim.scheduleArrivals(entry, class, rate, active)
	})
}
