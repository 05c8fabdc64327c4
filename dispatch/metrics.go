package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/currantthread/currantthread/observe"
)

// Metrics counts and times what the cells of a process do.
type Metrics struct {
	starts, ends, failures, commits, looks, stalls prometheus.Counter
	// commitTime is the time of a transaction, handInTime that from a submission to its decision, startWait that from a
	// unit's turn to its start order, and orderTime that of a start order, all in seconds.
	commitTime, handInTime, startWait, orderTime prometheus.Histogram
	// objectiveShare is the time of a completed job as a share of its objective, by queue.
	objectiveShare *prometheus.HistogramVec
}

// Buckets of times, in seconds: from an answer of the store within a zone to the longest wait that a client accepts.
var timeBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Buckets of the share of a job's objective: beyond 1 it is late, beyond lateFactor it is worth nothing.
var shareBuckets = []float64{0.25, 0.5, 0.75, 0.9, 1, 1.25, 1.5, 2, lateFactor, 5}

// NewMetrics returns metrics that registry serves.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	histogram := func(name, help string) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: name, Help: help, Buckets: timeBuckets})
		registry.MustRegister(h)
		return h
	}
	share := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: "job_objective_share",
		Help: "Time of completed jobs as a share of their objectives.", Buckets: shareBuckets}, []string{"queue"})
	registry.MustRegister(share)
	return &Metrics{
		commitTime:     histogram("commit_seconds", "Time of transactions of the store."),
		handInTime:     histogram("hand_in_seconds", "Time from a submission to its decision."),
		startWait:      histogram("start_wait_seconds", "Time from the turn of a task to its start order."),
		orderTime:      histogram("start_order_seconds", "Time of start orders."),
		objectiveShare: share,
		stalls:         counter("stalls_total", "Runs stopped for want of progress."),
		starts:         counter("starts_total", "Start orders sent."),
		ends:           counter("ends_total", "Ends of runs taken into the state."),
		failures:       counter("failures_total", "Runs that ended as failed."),
		commits:        counter("commits_total", "Transactions sent to the store."),
		looks:          counter("looks_total", "Looks at runners."),
	}
}
