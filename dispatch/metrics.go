package dispatch

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/currantthread/currantthread/lookahead"
	"github.com/currantthread/currantthread/observe"
)

// Metrics holds the metrics of the cells of a process.
type Metrics struct {
	starts, ends, failures, commits, polls, stalls prometheus.Counter
	// left counts runners that were concluded to have left.
	left prometheus.Counter
	// longLeases counts leases that end later than the owner has meant them to.
	longLeases prometheus.Counter
	// interruptions counts the times at which an owner noticed that its process or its VM had been stopped.
	interruptions prometheus.Counter
	// outages counts confirmations of outages of the store that owners have used.
	outages prometheus.Counter
	// commitTime is the duration of a transaction, submissionTime the time from a submission to its decision, startWait
	// the time from a unit becoming ready to its start command, and startCallTime the duration of a start call. All are
	// in seconds.
	commitTime, submissionTime, startWait, startCallTime prometheus.Histogram
	// ownershipAge is how long before a start command the last successful commit was sent, and reportAge how long before it the
	// runner's last report arrived, in seconds.
	ownershipAge, reportAge prometheus.Histogram
	// delegated counts tasks offered to other cells, withdrawn those that were taken back, and takenOver those of other cells.
	delegated, withdrawn, takenOver prometheus.Counter
	// holds counts runners that were held for a short task.
	holds prometheus.Counter
	// placements counts searches for a runner for a ready unit.
	placements prometheus.Counter
	// delegations counts requests to other cells to take tasks over, by their outcome.
	delegations *prometheus.CounterVec
	// objectiveShare is the time of a completed job as a share of its objective, by queue.
	objectiveShare *prometheus.HistogramVec
	// runTimeShare is the run time of short tasks as a share of the expected one, by what the expectation was based on.
	runTimeShare *prometheus.HistogramVec
	// waiting counts tasks without a confirmed run by reason, and runs counts runs by phase.
	waiting, runs *prometheus.GaugeVec
	unresolved    prometheus.Gauge
	// jobs counts jobs by state, tasks those of jobs that have not ended by what has them, and missingJobs accepted jobs that the
	// owner's state does not have.
	jobs, tasks, missingJobs *prometheus.GaugeVec
	caps                     *capMetrics
	backlog                  *backlogMetrics
	organisations            organisationMetrics
}

// timeBuckets are in seconds. They range from the response time of a store in the same zone to the longest wait that a
// client accepts.
var timeBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// shareBuckets divide the share of a job's objective. Above 1 a job is late; above tooLateFactor it has no value any
// more.
var shareBuckets = []float64{0.25, 0.5, 0.75, 0.9, 1, 1.25, 1.5, 2, tooLateFactor, 5}

// NewMetrics registers the metrics with registry and returns them.
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
	runTimeShare := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: "run_time_share",
		Help: "Run time of short tasks as a share of the expected run time.", Buckets: runTimeShareBuckets}, []string{"basis"})
	registry.MustRegister(runTimeShare)
	for _, basis := range []string{basisEstimate, basisLearned} {
		runTimeShare.WithLabelValues(basis)
	}
	gauges := func(name, help, label string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: name, Help: help}, []string{label})
		registry.MustRegister(g)
		return g
	}
	delegations := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: "delegations_total",
		Help: "Requests to other cells to take tasks over, by outcome."}, []string{"outcome"})
	registry.MustRegister(delegations)
	for _, outcome := range delegationOutcomes {
		delegations.WithLabelValues(outcome.String())
	}
	unresolved := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: "unresolved_runners",
		Help: "Runners that may run tasks of an earlier owner and have not reported to this one."})
	registry.MustRegister(unresolved)
	organisations := newOrganisationMetrics(registry)
	m := &Metrics{
		organisations:  organisations,
		caps:           newCapMetrics(registry, organisations.labels),
		backlog:        newBacklogMetrics(registry),
		waiting:        gauges("waiting_tasks", "Tasks that have waited too long for a confirmed run, by reason.", "reason"),
		runs:           gauges("runs", "Runs that are not confirmed to have ended, by phase.", "phase"),
		unresolved:     unresolved,
		jobs:           gauges("jobs", "Jobs of the cells, by state.", "state"),
		tasks:          gauges("tasks", "Tasks of jobs that have not ended, by what has them.", "holder"),
		delegations:    delegations,
		missingJobs:    gauges("missing_jobs", "Accepted jobs that the owner's state does not have, by gap.", "gap"),
		commitTime:     histogram("commit_seconds", "Time of transactions of the store."),
		submissionTime: histogram("hand_in_seconds", "Time from a submission to its decision."),
		startWait:      histogram("start_wait_seconds", "Time from the turn of a task to its start order."),
		startCallTime:  histogram("start_order_seconds", "Time of start orders."),
		ownershipAge:   histogram("start_ownership_age_seconds", "Time from the last successful commit to a start command."),
		reportAge:      histogram("start_report_age_seconds", "Time from the runner's last report to a start command."),
		objectiveShare: share,
		runTimeShare:   runTimeShare,
		stalls:         counter("stalls_total", "Runs stopped for want of progress."),
		interruptions:  counter("owner_interruptions_total", "Times at which an owner had not run for more than 0.5 s."),
		outages:        counter("outage_confirmations_total", "Outages of the store that another node has confirmed to an owner."),
		starts:         counter("starts_total", "Start orders sent."),
		ends:           counter("ends_total", "Ends of runs taken into the state."),
		failures:       counter("failures_total", "Runs that ended as failed."),
		commits:        counter("commits_total", "Transactions sent to the store."),
		polls:          counter("looks_total", "Looks at runners."),
		delegated:      counter("delegated_tasks_total", "Tasks offered to other cells for want of capacity."),
		withdrawn:      counter("withdrawn_tasks_total", "Offered tasks that were taken back."),
		takenOver:      counter("taken_over_tasks_total", "Tasks taken over from other cells."),
		longLeases:     counter("long_leases_total", "Leases that a restarted runner has granted on the clock of its former process, so that they end later."),
		left:           counter("left_runners_total", "Runners of the cells that service discovery shows to have left."),
		holds:          counter("held_runners_total", "Runners held for short tasks that smaller ones pass over."),
		placements:     counter("placement_attempts_total", "Searches for a runner for a ready task."),
	}
	serve(m.waiting, maps.Keys(waitLevels))
	serve(m.runs, slices.Values(runStatuses))
	serve(m.jobs, slices.Values(jobStates))
	serve(m.tasks, maps.Values(taskHolders))
	serve(m.missingJobs, slices.Values(jobGaps))
	return m
}

// runTimeShareBuckets divide the share of the expected run time. Estimates may be off by a factor of 10.
var runTimeShareBuckets = []float64{0.1, 0.25, 0.5, 0.75, 0.9, 1.1, 1.25, 1.5, 2, 4, 8}

// Values of the label basis: what an expected run time was based on.
const (
	basisEstimate = "estimate"
	basisLearned  = "learned"
)

// observePrediction records the run time of a task and the prediction for it. Tasks without an estimate have none at first.
func (m *Metrics) observePrediction(p lookahead.Prediction, took time.Duration) {
	if p.Typical <= 0 {
		return
	}
	basis := basisEstimate
	if p.Learned {
		basis = basisLearned
	}
	m.runTimeShare.WithLabelValues(basis).Observe(took.Seconds() / p.Typical.Seconds())
}

// serve makes the gauges of all labels exist.
func serve[L ~string](gauges *prometheus.GaugeVec, labels iter.Seq[L]) {
	for label := range labels {
		gauges.WithLabelValues(string(label))
	}
}

// replaceWaiting replaces the values that a cell has added to the gauges.
func (m *Metrics) replaceWaiting(cell string, previous, current waitCounts) {
	m.organisations.replace(cell, previous.organisations, current.organisations)
	replace(m.waiting, previous.tasks, current.tasks)
	replace(m.runs, previous.runs, current.runs)
	replace(m.jobs, previous.jobs, current.jobs)
	replace(m.tasks, previous.holders, current.holders)
	replace(m.missingJobs, previous.gaps, current.gaps)
	m.unresolved.Add(float64(current.unresolved - previous.unresolved))
}

// replace replaces the values that a cell has added to gauges.
func replace[L ~string](gauges *prometheus.GaugeVec, previous, current map[L]int) {
	for label, value := range current {
		if change := value - previous[label]; change != 0 {
			gauges.WithLabelValues(string(label)).Add(float64(change))
		}
	}
	for label, value := range previous {
		if _, ok := current[label]; !ok && value != 0 {
			gauges.WithLabelValues(string(label)).Sub(float64(value))
		}
	}
}
