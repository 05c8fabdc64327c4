package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/runner"
)

// Best-effort tasks commit no processor time, so neither the committed capacity nor the load of a cell shows how much of their work waits. The
// cell measures it, and what became of the processor time that their runs had.

const (
	// backlogLogInterval is the time between two lines about waiting best-effort work.
	backlogLogInterval = 5 * time.Second
	// idleBound is how long a job has had nothing running, with a best-effort task that could start, before it is counted as idle for long.
	idleBound = 3 * time.Second
)

// workResult is what became of the processor time of an ended best-effort run. It is the value of the label result.
type workResult string

const (
	// workDone: the task is done.
	workDone workResult = "done"
	// workSaved: the run was ended early and left a checkpoint.
	workSaved workResult = "saved"
	// workDiscarded: the run was ended early without a checkpoint.
	workDiscarded workResult = "discarded"
	// workFailed: the task failed.
	workFailed workResult = "failed"
)

var workResults = []workResult{workDone, workSaved, workDiscarded, workFailed}

// backlog is the waiting best-effort work of a cell as of the last check for waiting tasks. Work is in core-seconds, by the expected run times.
type backlog struct {
	// ready is the work of tasks that could start, later that of tasks whose step is blocked, and late the part of both that belongs to jobs which
	// miss their objective.
	ready, later, late float64
	tasks              int
	// jobs have a task that could start, idle ones of them nothing running, and longIdle ones for idleBound or longer.
	jobs, idle, longIdle int
	// longestIdle is the longest time for which one of them has had nothing running, and longestCPU what a task of it asks for, in thousandths
	// of a core.
	longestIdle time.Duration
	longestCPU  int64
}

// backlogState is what a cell keeps between two checks.
type backlogState struct {
	backlog
	checkedAt, loggedAt time.Time
	// ended is the processor time of the runs that have ended since the last line, in core-seconds.
	ended map[workResult]float64
	// donePerSecond is the moving average of the work that was done, in cores.
	donePerSecond float64
	doneSince     float64
}

// backlogMetrics are the metrics of waiting best-effort work.
type backlogMetrics struct {
	seconds  prometheus.Gauge
	jobs     *prometheus.GaugeVec
	ended    *prometheus.CounterVec
	idleTime prometheus.Histogram
}

// States of jobs with waiting best-effort tasks, as values of the label state.
const (
	backlogWaiting  = "waiting"
	backlogIdle     = "idle"
	backlogLongIdle = "long_idle"
)

// idleBuckets are in seconds.
var idleBuckets = []float64{1, 2, 3, 5, 10, 20, 40, 80, 160}

func newBacklogMetrics(registry prometheus.Registerer) *backlogMetrics {
	m := &backlogMetrics{
		seconds: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: "best_effort_backlog_seconds",
			Help: "Time in which the cells would do the waiting best-effort work at their present rate."}),
		jobs: prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: "best_effort_jobs",
			Help: "Jobs with a best-effort task that could start, by whether they have a run."}, []string{"state"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: "best_effort_core_seconds_total",
			Help: "Processor time of ended best-effort runs, by what became of it."}, []string{"result"}),
		idleTime: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: observe.Namespace, Subsystem: "cell", Name: "best_effort_idle_seconds",
			Help: "Time for which a job had nothing running although a best-effort task of it could start, from 1 s on.", Buckets: idleBuckets}),
	}
	registry.MustRegister(m.seconds, m.jobs, m.ended, m.idleTime)
	for _, state := range []string{backlogWaiting, backlogIdle, backlogLongIdle} {
		m.jobs.WithLabelValues(state)
	}
	for _, result := range workResults {
		m.ended.WithLabelValues(string(result))
	}
	return m
}

// counts are the jobs of a backlog by state.
func (b *backlog) counts() map[string]int {
	return map[string]int{backlogWaiting: b.jobs, backlogIdle: b.idle, backlogLongIdle: b.longIdle}
}

// recordWork records the processor time of a best-effort run that has ended. The caller holds mu.
func (c *Cell) recordWork(now time.Time, r *run, reason runner.EndReason, checkpoint string) {
	if !r.unit.def().BestEffort || r.phase != runRunning {
		return
	}
	until := now
	if !r.pausedSince.IsZero() {
		until = r.pausedSince
	}
	work := max(until.Sub(r.startedAt).Seconds(), 0) * float64(r.unit.def().Resources.CPU) / 1000
	result := workDiscarded
	switch {
	case reason == runner.EndDone:
		result = workDone
		c.backlog.doneSince += work
	case reason == runner.EndFailed:
		result = workFailed
	case checkpoint != "":
		result = workSaved
	}
	if c.backlog.ended == nil {
		c.backlog.ended = map[workResult]float64{}
	}
	c.backlog.ended[result] += work
	c.cfg.Metrics.backlog.ended.WithLabelValues(string(result)).Add(work)
}

// recordStart records how long the job of a run that is confirmed has had nothing running. The caller holds mu.
func (c *Cell) recordStart(now time.Time, j *jobState) {
	if !j.withoutRunSince.IsZero() {
		c.cfg.Metrics.backlog.idleTime.Observe(now.Sub(j.withoutRunSince).Seconds())
		j.withoutRunSince = time.Time{}
	}
}

// measureBacklog measures the waiting best-effort work and adds it to the queues of the admission. The caller holds mu.
func (c *Cell) measureBacklog(now time.Time) backlog {
	var b backlog
	for _, j := range c.jobs {
		if !j.state.Terminal() {
			c.addBacklog(now, &b, j)
		}
	}
	return b
}

// addBacklog adds the best-effort work of a job, and notes since when the job has had nothing running. The caller holds mu.
func (c *Cell) addBacklog(now time.Time, b *backlog, j *jobState) {
	var total stepBacklog
	for _, occ := range j.occs {
		for i := range occ.steps {
			def := &j.def.Steps[i]
			if def.BestEffort && def.LongRunning {
				queueOf(c.bestEffort.services, c.serviceOf(j)).lasting += float64(def.Resources.CPU) / 1000 * float64(occ.steps[i].withoutRun())
			}
			if !isShortBestEffort(def) || occ.steps[i].left == 0 {
				continue
			}
			step := c.stepBacklog(now, &occ.steps[i])
			each := c.taskWork(j.def, i)
			b.tasks += step.ready
			b.ready += each * float64(step.ready)
			b.later += each * float64(step.later)
			total.add(step, each)
			c.bestEffort.add(c.poolOf(j.def, def), j.def.Organisation, each*float64(step.ready+step.later), step.ready > 0)
		}
	}
	if total.late {
		b.late += total.work
	}
	if total.ready > 0 {
		b.jobs++
	}
	if total.running || total.ready == 0 && !total.starting {
		j.withoutRunSince = time.Time{}
		return
	}
	if total.ready == 0 {
		// The start may have no effect; then the time goes on.
		return
	}
	if j.withoutRunSince.IsZero() {
		j.withoutRunSince = now
		if total.recovered && !j.ranHere && j.objective.Before(now) {
			// Otherwise a job would wait anew under each owner.
			j.withoutRunSince = j.objective
		}
	}
	b.addIdle(now.Sub(j.withoutRunSince), total.largest)
}

// withoutRun returns the number of tasks of a step that have no run and are not done.
func (s *stepState) withoutRun() int {
	tasks := 0
	for _, u := range s.units {
		if len(u.runs) == 0 && u.phase != phaseDone {
			tasks += u.size
		}
	}
	return tasks
}

// addIdle adds a job that has had nothing running for a time, whose largest task asks for cpu thousandths of a core.
func (b *backlog) addIdle(idle time.Duration, cpu int64) {
	b.idle++
	if idle >= idleBound {
		b.longIdle++
	}
	if idle > b.longestIdle {
		b.longestIdle, b.longestCPU = idle, cpu
	}
}

// stepBacklog is what waits of a best-effort step, or of all of a job.
type stepBacklog struct {
	// ready tasks wait for capacity, and later ones for other steps or for runners that have not responded.
	ready, later int
	// work is that of both, in core-seconds. It is set for jobs only.
	work float64
	// largest is what the largest ready task asks for, in thousandths of a core.
	largest int64
	// running is set if there is a confirmed run, starting if there is another one, late if a ready task misses its objective, and recovered if
	// one was accepted under an earlier owner.
	running, starting, late, recovered bool
}

// add adds a step, of which each task has some work.
func (s *stepBacklog) add(step stepBacklog, each float64) {
	s.ready, s.later = s.ready+step.ready, s.later+step.later
	s.work += each * float64(step.ready+step.later)
	s.largest = max(s.largest, step.largest)
	s.running, s.starting = s.running || step.running, s.starting || step.starting
	s.late, s.recovered = s.late || step.late, s.recovered || step.recovered
}

// stepBacklog returns what waits of a step. Tasks that wait for the limit of their organisation don't wait for capacity, and those that may still
// run on a runner that has not responded could not start. The caller holds mu.
func (c *Cell) stepBacklog(now time.Time, s *stepState) stepBacklog {
	var b stepBacklog
	for _, u := range s.units {
		for _, r := range u.runs {
			b.running, b.starting = b.running || r.phase == runRunning, b.starting || r.phase != runRunning
		}
		switch {
		case u.phase == phaseBlocked, u.phase == phaseReady && !u.waitsForCap && c.awaitsUnresolved(u):
			b.later += u.size
		case u.phase == phaseReady && !u.waitsForCap:
			b.ready += u.size
			b.largest = max(b.largest, u.def().Resources.CPU)
			b.late = b.late || u.lateness(now) != classInTime
			b.recovered = b.recovered || u.recovered
		}
	}
	return b
}

// checkBacklog measures, counts and logs the waiting best-effort work. It is called with each check for waiting tasks. The caller holds mu.
func (c *Cell) checkBacklog(now time.Time) {
	s := &c.backlog
	if !s.checkedAt.IsZero() {
		passed := now.Sub(s.checkedAt)
		kept := decay(passed, admissionTimeConstant)
		s.donePerSecond = s.donePerSecond*kept + s.doneSince/passed.Seconds()*(1-kept)
	}
	s.checkedAt, s.doneSince = now, 0
	previous := s.backlog
	c.sampleBestEffort(now)
	s.backlog = c.measureBacklog(now)
	replace(c.cfg.Metrics.backlog.jobs, previous.counts(), s.counts())
	c.showBacklogTime(s.time())
	if s.tasks == 0 || now.Sub(s.loggedAt) < backlogLogInterval {
		return
	}
	c.logBacklog(now)
	s.loggedAt, s.ended = now, nil
}

// time returns the time in which the waiting work would be done at the present rate; 0 if no work was done yet.
func (s *backlogState) time() time.Duration {
	if s.donePerSecond <= 0 {
		return 0
	}
	return time.Duration((s.ready + s.later) / s.donePerSecond * float64(time.Second))
}

// logBacklog writes a line about the waiting best-effort work. The caller holds mu.
func (c *Cell) logBacklog(now time.Time) {
	s := &c.backlog
	var capacity, committed, used, bestEffort int64
	for _, rs := range c.runners {
		if !c.isUsable(now, rs) {
			continue
		}
		capacity += rs.info.Capacity.CPU
		for r := range rs.runs {
			committed += r.unit.def().Committed().CPU
			if r.unit.def().BestEffort {
				bestEffort += usedCPU(now, r)
			} else {
				used += usedCPU(now, r)
			}
		}
	}
	fields := logrus.Fields{"cell": c.cfg.Name, "tasks": s.tasks, "jobs": s.jobs, "idle_jobs": s.idle, "long_idle_jobs": s.longIdle,
		"longest_idle_ms": s.longestIdle.Milliseconds(), "longest_idle_cpu": s.longestCPU, "ready_core_s": int(s.ready), "later_core_s": int(s.later),
		"late_core_s": int(s.late), "backlog_ms": s.time().Milliseconds(), "capacity_cpu": capacity, "committed_cpu": committed, "used_cpu": used,
		"best_effort_cpu": bestEffort}
	for result, work := range s.ended {
		fields[string(result)+"_core_s"] = int(work)
	}
	c.cfg.Log.WithFields(fields).Info("best-effort work waits")
}

// showBacklogTime sets what the cell has added to the gauge of the backlog. The caller holds mu.
func (c *Cell) showBacklogTime(t time.Duration) {
	c.cfg.Metrics.backlog.seconds.Add(t.Seconds() - c.backlogShown)
	c.backlogShown = t.Seconds()
}

// resetBacklog removes the cell's values from the gauges. The caller holds mu.
func (c *Cell) resetBacklog() {
	replace(c.cfg.Metrics.backlog.jobs, c.backlog.counts(), nil)
	c.backlog.backlog = backlog{}
	c.showBacklogTime(0)
}
