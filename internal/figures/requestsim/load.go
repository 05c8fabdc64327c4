package requestsim

import (
	"time"

	"github.com/currantthread/currantthread/limit"
)

// Poisson makes requests of one class arrive at an entry VM from now until a virtual time, as a Poisson process of rate
// requests per second.
func (w *World) Poisson(entry int, class limit.Class, rate float64, until time.Duration) {
	w.scheduleArrivals(entry, class, rate, func() bool { return w.now < until })
}

// setRate replaces the arrivals of one class at an entry VM by a Poisson process of rate requests per second.
func (w *World) setRate(entry int, class limit.Class, rate float64) {
	e := w.Entries[entry]
	e.processSeq[class]++
	processSeq := e.processSeq[class]
	if rate > 0 {
		w.scheduleArrivals(entry, class, rate, func() bool { return e.processSeq[class] == processSeq })
	}
}

// scheduleArrivals makes requests arrive at exponentially distributed intervals while active returns true.
func (w *World) scheduleArrivals(entry int, class limit.Class, rate float64, active func() bool) {
	gap := time.Duration(w.Rand.ExpFloat64() / rate * float64(time.Second))
	w.After(gap, func() {
		if !active() {
			return
		}
		w.Arrive(entry, class, 0)
		w.scheduleArrivals(entry, class, rate, active)
	})
}
