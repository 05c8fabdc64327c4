package control

import (
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/currantthread/currantthread/observe"
)

// Values of the metric label source.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// followerMetrics holds the active settings version and counts reads of it by source.
type followerMetrics struct {
	version prometheus.Gauge
	reads   *prometheus.CounterVec
}

// newFollowerMetrics registers the metrics unless registry is nil.
func newFollowerMetrics(registry prometheus.Registerer) *followerMetrics {
	m := &followerMetrics{
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: observe.Namespace, Subsystem: "settings", Name: "version",
			Help: "Version of the settings tree in force; 0 means the defaults.",
		}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: observe.Namespace, Subsystem: "settings", Name: "reads_total",
			Help: "Questions for the newest version, by source (store, peer) and result (ok, failed).",
		}, []string{"source", "result"}),
	}
	if registry != nil {
		registry.MustRegister(m.version, m.reads)
	}
	return m
}

func (m *followerMetrics) countRead(source string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.reads.WithLabelValues(source, result).Inc()
}

// apiMetrics counts calls of the operators' API.
type apiMetrics struct {
	calls *prometheus.CounterVec
}

func newAPIMetrics(registry prometheus.Registerer) *apiMetrics {
	m := &apiMetrics{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: observe.Namespace, Subsystem: "api", Name: "calls_total",
		Help: "Calls of the operators' API, by route and status code.",
	}, []string{"route", "code"})}
	if registry != nil {
		registry.MustRegister(m.calls)
	}
	return m
}

// count is middleware that counts calls. Its route label is the route's pattern, so the number of label values is bounded.
func (m *apiMetrics) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		m.calls.WithLabelValues(c.Path(), strconv.Itoa(c.Response().Status)).Inc()
		return err
	}
}
