package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/quota"
)

// resourceLabels are the values of the label resource, in the order of quota.Amounts.
var resourceLabels = [...]string{"cpu", "mem", "gpu"}

// capMetrics are the gauges of organisations with a cap, by organisation and cell.
type capMetrics struct {
	labels                        *observe.Labels
	held, limit, running, waiting *prometheus.GaugeVec
}

// organisationGauges are the values that a cell has added to the gauges.
type organisationGauges map[string]organisationValues

type organisationValues struct {
	held, limit, running quota.Amounts
	waiting              int
}

func newCapMetrics(registry prometheus.Registerer, organisations *observe.Labels) *capMetrics {
	gauges := func(name, help string, labels ...string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: observe.Namespace, Subsystem: "organisation", Name: name, Help: help}, labels)
		registry.MustRegister(g)
		return g
	}
	return &capMetrics{
		labels: organisations,
		held: gauges("held", "What the runs of an organisation with a cap hold at most: thousandths of a core, MB and accelerators.",
			"organisation", "cell", "resource"),
		limit: gauges("limit", "What the runs of an organisation with a cap may hold in the cell.",
			"organisation", "cell", "resource"),
		running: gauges("running", "What the known runs of an organisation with a cap hold, tasks larger than the cap in full.",
			"organisation", "cell", "resource"),
		waiting: gauges("cap_waiting_tasks", "Tasks that wait because of the cap of their organisation.", "organisation", "cell"),
	}
}

// replace replaces the values that a cell has added.
func (m *capMetrics) replace(cell string, previous, current organisationGauges) {
	for organisation := range previous {
		if _, ok := current[organisation]; !ok {
			m.add(cell, organisation, previous[organisation], organisationValues{})
		}
	}
	for organisation, values := range current {
		m.add(cell, organisation, previous[organisation], values)
	}
}

func (m *capMetrics) add(cell, organisation string, previous, current organisationValues) {
	label := m.labels.Value(organisation)
	for i, resource := range resourceLabels {
		m.held.WithLabelValues(label, cell, resource).Add(float64(current.held[i] - previous.held[i]))
		m.limit.WithLabelValues(label, cell, resource).Add(float64(current.limit[i] - previous.limit[i]))
		m.running.WithLabelValues(label, cell, resource).Add(float64(current.running[i] - previous.running[i]))
	}
	m.waiting.WithLabelValues(label, cell).Add(float64(current.waiting - previous.waiting))
}

// showCaps updates the gauges of organisations with a cap. The caller holds mu.
func (c *Cell) showCaps() {
	current := organisationGauges{}
	for organisation, a := range c.caps.accounts {
		if a.Known() {
			current[organisation] = organisationValues{a.Held(), a.Limit(), quota.Of(c.held(organisation)), a.waitingTasks}
		}
	}
	c.cfg.Metrics.caps.replace(c.cfg.Name, c.caps.shown, current)
	c.caps.shown = current
}
