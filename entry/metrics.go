package entry

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/currantthread/currantthread/observe"
)

// metrics holds the metrics of the request path. Label values come only from the settings, the VM list and constants,
// so that callers cannot create series.
type metrics struct {
	requests         *prometheus.CounterVec // by service, verdict and class of status
	refusals         *prometheus.CounterVec // by service and code
	duration         *prometheus.HistogramVec
	inFlight         *prometheus.GaugeVec
	attempts         *prometheus.CounterVec // by service and result
	connections      *prometheus.CounterVec // by event
	claims           *prometheus.CounterVec // by result
	claimTxns        prometheus.Counter
	interRegionBytes prometheus.Counter
	vmListReads      *prometheus.CounterVec // by result
	upstreams        *prometheus.GaugeVec   // by service
}

// unknownService is the service label of requests for an unknown service.
const unknownService = "unknown"

var durationBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60} // seconds

func newMetrics(registry prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: observe.Namespace, Subsystem: "entry", Name: name, Help: help}, labels)
	}
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: observe.Namespace, Subsystem: "entry", Name: name, Help: help}, labels)
	}
	m := &metrics{
		requests: counter("requests_total", "Finished requests.", "service", "verdict", "status"),
		refusals: counter("refusals_total", "Requests answered by this daemon itself.", "service", "code"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: observe.Namespace, Subsystem: "entry",
			Name: "request_duration_seconds", Help: "Time from a request's header to the end of its answer.",
			Buckets: durationBuckets}, []string{"service"}),
		inFlight:         gauge("requests_in_flight", "Requests in progress.", "service"),
		attempts:         counter("tries_total", "Exchanges with upstreams, first tries and retries.", "service", "result"),
		connections:      counter("connection_events_total", "Events of connections to upstreams.", "event"),
		claims:           counter("claims_total", "Idempotency claims.", "result"),
		claimTxns:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: observe.Namespace, Subsystem: "entry", Name: "claim_transactions_total", Help: "Transactions of claims sent to the table service."}),
		interRegionBytes: prometheus.NewCounter(prometheus.CounterOpts{Namespace: observe.Namespace, Subsystem: "entry", Name: "inter_region_bytes_total", Help: "Bytes exchanged with upstreams of other regions, both ways."}),
		vmListReads:      counter("vm_list_reads_total", "Reads of the VM list.", "result"),
		upstreams:        gauge("upstreams", "Upstreams in the VM list.", "service"),
	}
	registry.MustRegister(m.requests, m.refusals, m.duration, m.inFlight, m.attempts, m.connections, m.claims, m.claimTxns,
		m.interRegionBytes, m.vmListReads, m.upstreams)
	return m
}

// statusClass returns the first digit of a status followed by "xx", or "none" for 0.
func statusClass(status int) string {
	if status == 0 {
		return "none"
	}
	return strconv.Itoa(status/100) + "xx"
}
