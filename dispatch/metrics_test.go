package dispatch

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// Every metric must be registered, or operators can't see it.
func TestMetricsAreServed(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	m.objectiveShare.WithLabelValues("q").Observe(0.5)
	families, err := registry.Gather()
	assert.NilError(t, err)
	var names []string
	for _, f := range families {
		names = append(names, f.GetName())
	}
	served := strings.Join(names, " ")
	for _, name := range []string{"commit_seconds", "hand_in_seconds", "start_wait_seconds", "start_order_seconds", "job_objective_share", "stalls_total",
		"waiting_tasks", "runs", "unresolved_runners", "jobs", "tasks", "missing_jobs", "delegations_total"} {
		assert.Assert(t, strings.Contains(served, "currantthread_cell_"+name), served)
	}
}
