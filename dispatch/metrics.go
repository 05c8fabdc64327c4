package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/currantthread/currantthread/observe"
)

// Metrics counts what the cells of a process do.
type Metrics struct {
	starts, ends, failures, commits, looks prometheus.Counter
}

// NewMetrics returns metrics that registry serves.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	return &Metrics{
		starts:   counter("starts_total", "Start orders sent."),
		ends:     counter("ends_total", "Ends of runs taken into the state."),
		failures: counter("failures_total", "Runs that ended as failed."),
		commits:  counter("commits_total", "Transactions sent to the store."),
		looks:    counter("looks_total", "Looks at runners."),
	}
}
