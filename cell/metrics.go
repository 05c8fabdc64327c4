package cell

import (
	"math/rand/v2"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/observe"
)

// Metrics are the counters of all cells of a daemon.
type Metrics struct {
	starts, ends, commits, leaseExpiries, takeovers *prometheus.CounterVec
	owned, running, queued, workers                 *prometheus.GaugeVec
}

// NewMetrics registers the metrics of cells.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: observe.Namespace, Subsystem: "cell", Name: name, Help: help,
		}, append([]string{"cell"}, labels...))
		registry.MustRegister(v)
		return v
	}
	gauge := func(name, help string) *prometheus.GaugeVec {
		v := prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: observe.Namespace, Subsystem: "cell", Name: name, Help: help,
		}, []string{"cell"})
		registry.MustRegister(v)
		return v
	}
	return &Metrics{
		starts:        counter("starts_total", "Tasks assigned to workers."),
		ends:          counter("ends_total", "Attempts ended, by how they ended.", "end"),
		commits:       counter("commits_total", "Ledger transactions, by result.", "result"),
		leaseExpiries: counter("worker_lapses_total", "Worker leases that certainly lapsed."),
		takeovers:     counter("takeovers_total", "Times that this VM became the owner."),
		owned:         gauge("owned", "1 while this VM owns the cell, otherwise 0."),
		running:       gauge("assigned_tasks", "Tasks assigned in the cell."),
		queued:        gauge("queued_tasks", "Queued tasks that the planner considers."),
		workers:       gauge("workers", "Workers of the cell."),
	}
}

func (m *Metrics) acquired(cell string) {
	m.takeovers.WithLabelValues(cell).Inc()
	m.owned.WithLabelValues(cell).Set(1)
}

// released clears the gauges of a cell that this VM no longer owns, so that sums over VMs count the cell once.
func (m *Metrics) released(cell string) {
	for _, gauge := range []*prometheus.GaugeVec{m.owned, m.running, m.queued, m.workers} {
		gauge.WithLabelValues(cell).Set(0)
	}
}

func (m *Metrics) leaseExpired(cell string)   { m.leaseExpiries.WithLabelValues(cell).Inc() }
func (m *Metrics) started(cell string, n int) { m.starts.WithLabelValues(cell).Add(float64(n)) }
func (m *Metrics) ended(cell string, a *assignedTask) {
	m.ends.WithLabelValues(cell, string(a.ending.end)).Inc()
}

func (m *Metrics) committed(cell string, err error) {
	result := "ok"
	switch {
	case infra.IsConflict(err):
		result = "conflict"
	case infra.IsUnknownOutcome(err):
		result = "unknown"
	case err != nil:
		result = "unavailable"
	}
	m.commits.WithLabelValues(cell, result).Inc()
}

func (m *Metrics) setGauges(cell string, s Status) {
	m.running.WithLabelValues(cell).Set(float64(s.Running))
	m.queued.WithLabelValues(cell).Set(float64(s.Queued))
	m.workers.WithLabelValues(cell).Set(float64(s.Workers))
}

// newRand returns a separate source, seeded from another one, for use by another goroutine.
func newRand(from *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(from.Uint64(), from.Uint64())) }
