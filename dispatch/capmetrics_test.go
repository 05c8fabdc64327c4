package dispatch

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/quota"
)

// A configuration with very many organisations must not make the metrics of a process grow without bound, and what a cell has added must be
// gone once it ends.
func TestOrganisationLabelsAreBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := newCapMetrics(registry, observe.NewLabels(maxOrganisationLabels))
	shown := organisationGauges{}
	for i := range maxOrganisationLabels + 5 {
		name := fmt.Sprintf("o%03d", i)
		m.replace("c0", nil, organisationGauges{name: {held: quota.Amounts{10}, limit: quota.Amounts{20}, waiting: 1}})
		shown[name] = organisationValues{held: quota.Amounts{10}, limit: quota.Amounts{20}, waiting: 1}
	}
	families := func() map[string]map[string]float64 {
		gathered, err := registry.Gather()
		assert.NilError(t, err)
		values := map[string]map[string]float64{}
		for _, f := range gathered {
			values[f.GetName()] = map[string]float64{}
			for _, metric := range f.GetMetric() {
				for _, label := range metric.GetLabel() {
					if label.GetName() == "organisation" {
						values[f.GetName()][label.GetValue()] += metric.GetGauge().GetValue()
					}
				}
			}
		}
		return values
	}
	for name, values := range families() {
		assert.Equal(t, len(values), maxOrganisationLabels+1, name)
	}
	assert.Equal(t, families()["currantthread_organisation_held"]["other"], 50.0)
	assert.Equal(t, families()["currantthread_organisation_cap_waiting_tasks"]["other"], 5.0)
	m.replace("c0", shown, nil)
	for name, values := range families() {
		for label, value := range values {
			assert.Equal(t, value, 0.0, "%s of %s", name, label)
		}
	}
}
