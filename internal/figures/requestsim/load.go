package requestsim

import (
	"time"

	"github.com/currantthread/currantthread/limit"
)

// Poisson makes requests of one class arrive at an entry VM from now until a virtual time, rate a second on average.
func (w *World) Poisson(entry int, class limit.Class, rate float64, until time.Duration) {
	w.arriveWhile(entry, class, rate, func() bool { return w.now < until })
}

// setRate replaces the requests of one class at an entry VM by a Poisson process of rate a second.
func (w *World) setRate(entry int, class limit.Class, rate float64) {
	e := w.Entries[entry]
	e.stream[class]++
	stream := e.stream[class]
	if rate > 0 {
		w.arriveWhile(entry, class, rate, func() bool { return e.stream[class] == stream })
	}
}

func (w *World) arriveWhile(entry int, class limit.Class, rate float64, open func() bool) {
	gap := time.Duration(w.Rand.ExpFloat64() / rate * float64(time.Second))
	w.After(gap, func() {
		if !open() {
			return
		}
		w.Arrive(entry, class, 0)
		w.arriveWhile(entry, class, rate, open)
	})
}
