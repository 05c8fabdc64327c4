package requestsim

import (
	"time"

	"github.com/currantthread/currantthread/limit"
)

// Poisson makes requests of one class arrive at an entry VM from now until a virtual time, rate a second on average.
func (w *World) Poisson(entry int, class limit.Class, rate float64, until time.Duration) {
	gap := time.Duration(w.Rand.ExpFloat64() / rate * float64(time.Second))
	w.After(gap, func() {
		if w.now >= until {
			return
		}
		w.Arrive(entry, class, 0)
		w.Poisson(entry, class, rate, until)
	})
}
