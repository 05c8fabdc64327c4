package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/fairshare"
	"github.com/currantthread/currantthread/observe"
)

const (
	// maxOrganisationLabels bounds the organisations with series of their own.
	maxOrganisationLabels = 100
	// noOrganisation is the label of jobs without an organisation.
	noOrganisation = "none"
)

// Values of the label reason of waiting tasks.
const (
	waitsForCap      = "cap"
	waitsForShare    = "share"
	waitsForCapacity = "capacity"
	waitsForOther    = "other"
)

// organisationReasons maps the reasons of waits to those that are shown for organisations. Others have nothing to do with the capacity.
var organisationReasons = map[waitReason]string{waitCap: waitsForCap, waitShare: waitsForShare, waitNoRunner: waitsForCapacity,
	waitNoIdleRunner: waitsForCapacity}

// Reasons of refusals.
const (
	// RefusedForShare means that the organisation's waiting work leaves no time for the job.
	RefusedForShare = "share"
	// RefusedForCapacity means that no cell has capacity for the job's long-running tasks.
	RefusedForCapacity = "capacity"
	// RefusedForBacklog means that the best-effort work that waits leaves no time for the job.
	RefusedForBacklog = "backlog"
	// RefusedUnavailable means that no cell takes jobs.
	RefusedUnavailable = "unavailable"
)

// organisationMetrics are the metrics by organisation.
type organisationMetrics struct {
	labels  *observe.Labels
	waiting *prometheus.GaugeVec
	share   *prometheus.GaugeVec
	refused *prometheus.CounterVec
	// caps and weights are those of the active configuration.
	caps, weights *prometheus.GaugeVec
}

func newOrganisationMetrics(registry prometheus.Registerer) organisationMetrics {
	opts := func(name, help string) prometheus.GaugeOpts {
		return prometheus.GaugeOpts{Namespace: observe.Namespace, Subsystem: "organisation", Name: name, Help: help}
	}
	m := organisationMetrics{
		labels: observe.NewLabels(maxOrganisationLabels),
		waiting: prometheus.NewGaugeVec(opts("waiting_tasks", "Tasks that have waited too long for a confirmed run, by organisation and reason."),
			[]string{"organisation", "cell", "reason"}),
		share: prometheus.NewGaugeVec(opts("share", "Largest share of a resource of the cell that the organisation's runs hold."),
			[]string{"organisation", "cell"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts(opts("refused_total", "Jobs refused at submission, by organisation and reason.")),
			[]string{"organisation", "reason"}),
		caps: prometheus.NewGaugeVec(opts("cap", "What the organisation's tasks may hold in all cells together; absent if there is no bound."),
			[]string{"organisation", "resource"}),
		weights: prometheus.NewGaugeVec(opts("weight", "Weight of the organisation."), []string{"organisation"}),
	}
	registry.MustRegister(m.waiting, m.share, m.refused, m.caps, m.weights)
	return m
}

// CountRefused counts a refused job of an organisation.
func (m *Metrics) CountRefused(organisation, reason string) {
	m.organisations.refused.WithLabelValues(m.organisations.label(organisation), reason).Inc()
}

// SetOrganisations shows the organisations of the active configuration. Those without series of their own are left out.
func (m *Metrics) SetOrganisations(config *catalog.Config) {
	o := &m.organisations
	o.caps.Reset()
	o.weights.Reset()
	for name, organisation := range config.Organisations {
		label := o.label(name)
		if label != name {
			continue
		}
		o.weights.WithLabelValues(label).Set(organisation.Weight)
		for resource, amount := range map[string]int64{"cpu": organisation.Cap.CPU, "mem": organisation.Cap.MemoryMB, "gpu": organisation.Cap.GPU} {
			if amount > 0 {
				o.caps.WithLabelValues(label, resource).Set(float64(amount))
			}
		}
	}
}

func (m *organisationMetrics) label(organisation string) string {
	if organisation == "" {
		return noOrganisation
	}
	return m.labels.Value(organisation)
}

// organisationWait identifies waiting tasks of an organisation in a cell.
type organisationWait struct{ organisation, reason string }

// organisationCounts are the values of one cell by the label of the organisation.
type organisationCounts struct {
	waiting map[organisationWait]float64
	share   map[string]float64
}

// organisationCounts counts the waiting tasks that a check has found and what the runs hold. The caller holds mu.
func (c *Cell) organisationCounts(now time.Time, groups map[waitKey]*waitGroup) organisationCounts {
	if len(c.catalog.Organisations) == 0 {
		return organisationCounts{}
	}
	metrics := &c.cfg.Metrics.organisations
	counts := organisationCounts{waiting: map[organisationWait]float64{}, share: map[string]float64{}}
	for _, g := range groups {
		if g.reason == waitEndedRun {
			continue
		}
		reason, known := organisationReasons[g.reason]
		if !known {
			reason = waitsForOther
		}
		counts.waiting[organisationWait{metrics.label(g.unit.job.def.Organisation), reason}] += float64(g.tasks)
	}
	held := c.holdings(now)
	byLabel := map[string]fairshare.Amounts{}
	for _, amounts := range []map[string]fairshare.Amounts{held.short, held.longRunning} {
		for name, amount := range amounts {
			label := metrics.label(name)
			byLabel[label] = byLabel[label].Add(amount)
		}
	}
	for label, amount := range byLabel {
		counts.share[label] = fairshare.Dominant(amount, held.capacity)
	}
	return counts
}

// replace replaces the values of a cell. Series that have no value any more are removed.
func (m *organisationMetrics) replace(cell string, previous, current organisationCounts) {
	for key, value := range current.waiting {
		m.waiting.WithLabelValues(key.organisation, cell, key.reason).Set(value)
	}
	for key := range previous.waiting {
		if _, ok := current.waiting[key]; !ok {
			m.waiting.DeleteLabelValues(key.organisation, cell, key.reason)
		}
	}
	for label, value := range current.share {
		m.share.WithLabelValues(label, cell).Set(value)
	}
	for label := range previous.share {
		if _, ok := current.share[label]; !ok {
			m.share.DeleteLabelValues(label, cell)
		}
	}
}
