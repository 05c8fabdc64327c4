package dispatch

import (
	"slices"
	"time"

	"github.com/currantthread/currantthread/placement"
	"github.com/currantthread/currantthread/workload"
)

// A job with best-effort tasks is refused if the best-effort work that waits takes longer than maxBacklogTime. Otherwise the accepted work grows
// without a bound while less is done than arrives, and jobs have nothing running for minutes. Each organisation has its part of the rate by weight,
// so the work of one causes no refusals of others.

const (
	// maxBacklogTime is the time within which all waiting work must be possible to do when one more job is accepted. The platform asks for all
	// accepted jobs 14 s after the end of the traffic, and none may then have had nothing running for 3 s.
	maxBacklogTime = 8 * time.Second
	// yieldRise and yieldFall are the time constants of the measured yield. Runners that don't respond and owners that are replaced lower it for
	// some seconds, which says little of the seconds that follow.
	yieldRise, yieldFall = 2 * time.Second, 6 * time.Second
	// minYield keeps times finite while nothing starts.
	minYield = 0.001
)

// bestEffortPool identifies the best-effort tasks that compete for the same runners: those of a service, with a required label and an image. What an
// image gets depends on how much it disturbs serving tasks, so work of one that few runners take says nothing of the others.
type bestEffortPool struct{ service, label, image string }

// bestEffortQueue is the best-effort work that waits for some runners.
type bestEffortQueue struct {
	// work is that of each organisation as of the last measurement, with that of jobs that were submitted since, in core-seconds.
	work map[string]float64
	// lasting is the processor time that long-running tasks without a run ask for, in cores.
	lasting float64
	// waits is set if a task that could start waits for capacity.
	waits bool
	// yield is the share of the capacity that tasks of the queue get while others of them wait; 0 if it has not been measured.
	yield float64
}

// bestEffortAdmission is what decisions on jobs with best-effort tasks need. See newBestEffortAdmission.
type bestEffortAdmission struct {
	// pools have the work of each pool, and services that of all pools of a service.
	pools     map[bestEffortPool]*bestEffortQueue
	services  map[string]*bestEffortQueue
	sampledAt time.Time
	// refusedAt is when a job was last refused, and wait after which time it would have been accepted.
	refusedAt time.Time
	wait      time.Duration
}

// newBestEffortAdmission returns an admission that has measured nothing.
func newBestEffortAdmission() bestEffortAdmission {
	return bestEffortAdmission{pools: map[bestEffortPool]*bestEffortQueue{}, services: map[string]*bestEffortQueue{}}
}

// queues returns the queues to which the work of a pool belongs.
func (a *bestEffortAdmission) queues(pool bestEffortPool) [2]*bestEffortQueue {
	return [2]*bestEffortQueue{queueOf(a.pools, pool), queueOf(a.services, pool.service)}
}

func queueOf[K comparable](queues map[K]*bestEffortQueue, key K) *bestEffortQueue {
	q := queues[key]
	if q == nil {
		q = &bestEffortQueue{work: map[string]float64{}}
		queues[key] = q
	}
	return q
}

// add adds work of an organisation.
func (a *bestEffortAdmission) add(pool bestEffortPool, organisation string, work float64, waits bool) {
	for _, q := range a.queues(pool) {
		q.work[organisation] += work
		q.waits = q.waits || waits
	}
}

// poolOf returns the pool of a step. The caller holds mu.
func (c *Cell) poolOf(job *workload.Job, step *workload.Step) bestEffortPool {
	return bestEffortPool{c.serviceOfJob(job), step.Label, step.Image}
}

// addSubmitted adds the work of a job that is being submitted to the queues. The caller holds mu.
func (c *Cell) addSubmitted(job *workload.Job) {
	c.eachBestEffortStep(job, func(step *workload.Step, work float64) {
		c.bestEffort.add(c.poolOf(job, step), job.Organisation, work, false)
	})
	if lasting := lastingCores(job); lasting > 0 {
		queueOf(c.bestEffort.services, c.serviceOfJob(job)).lasting += lasting
	}
}

// lastingCores returns the processor time that the long-running best-effort tasks of a job ask for, in cores.
func lastingCores(job *workload.Job) float64 {
	cores := 0.0
	for i := range job.Steps {
		if step := &job.Steps[i]; step.BestEffort && step.LongRunning {
			cores += float64(step.Resources.CPU) / 1000 * float64(step.Count)
		}
	}
	return cores
}

// isShortBestEffort reports whether a step has best-effort tasks that end. Others use processors for as long as they run.
func isShortBestEffort(step *workload.Step) bool { return step.BestEffort && !step.LongRunning }

// eachBestEffortStep calls use for each best-effort step of a job that starts at once, with its work in core-seconds. The caller holds mu.
func (c *Cell) eachBestEffortStep(job *workload.Job, use func(step *workload.Step, work float64)) {
	if !job.StartAt.IsZero() {
		return
	}
	for i := range job.Steps {
		if step := &job.Steps[i]; isShortBestEffort(step) {
			use(step, c.taskWork(job, i)*float64(step.Count))
		}
	}
}

// taskWork returns the expected work of a task of a step, in core-seconds. The caller holds mu.
func (c *Cell) taskWork(job *workload.Job, step int) float64 {
	return float64(job.Steps[step].Resources.CPU) / 1000 * c.predictStep(job, step).Typical.Seconds()
}

// maxBestEffortPools bounds the pools, because images and labels come from clients. Beyond it those without work are forgotten.
const maxBestEffortPools = 1000

// sampleBestEffort measures the yields and begins the queues anew, with the work of undecided submissions. The caller holds mu.
func (c *Cell) sampleBestEffort(now time.Time) {
	a := &c.bestEffort
	passed := now.Sub(a.sampledAt)
	a.sampledAt = now
	used := c.bestEffortUse(now)
	mayStart := c.runnersKnown && c.mayStart()
	for pool, q := range a.pools {
		if len(q.work) == 0 && len(a.pools) > maxBestEffortPools {
			delete(a.pools, pool)
			continue
		}
		if q.waits && mayStart {
			if capacity := c.poolCapacity(pool); capacity > 0 {
				q.observeYield(passed, float64(used[pool])/float64(capacity))
			}
		}
		q.reset()
	}
	for service, q := range a.services {
		if len(q.work) == 0 {
			delete(a.services, service)
		}
		q.reset()
	}
	for s := range c.undecided() {
		c.addSubmitted(s.job)
	}
}

// reset begins a new measurement.
func (q *bestEffortQueue) reset() { q.work, q.lasting, q.waits = map[string]float64{}, 0, false }

// bestEffortUse returns the processor time that best-effort tasks use, in thousandths of a core. The caller holds mu.
func (c *Cell) bestEffortUse(now time.Time) map[bestEffortPool]int64 {
	used := map[bestEffortPool]int64{}
	for _, rs := range c.runners {
		for r := range rs.runs {
			if def := r.unit.def(); isShortBestEffort(def) {
				used[c.poolOf(r.unit.job.def, def)] += usedCPU(now, r)
			}
		}
	}
	return used
}

// poolCapacity returns the processor time of the runners that may take tasks of a pool, whether or not they respond, in thousandths of a core. The
// caller holds mu.
func (c *Cell) poolCapacity(pool bestEffortPool) int64 {
	capacity := int64(0)
	for _, rs := range c.runners {
		if c.mayTake(rs, pool.service, pool.label) {
			capacity += rs.info.Capacity.CPU
		}
	}
	return capacity
}

// observeYield takes a measured yield into the average.
func (q *bestEffortQueue) observeYield(passed time.Duration, yield float64) {
	if q.yield == 0 {
		q.yield = max(yield, minYield)
		return
	}
	timeConstant := yieldRise
	if yield < q.yield {
		timeConstant = yieldFall
	}
	kept := decay(passed, timeConstant)
	q.yield = max(q.yield*kept+yield*(1-kept), minYield)
}

// bestEffortWait returns how long it takes until the best-effort work that waits leaves time for a job, or 0 if it is to be accepted now. The caller
// holds mu.
func (c *Cell) bestEffortWait(now time.Time, job *workload.Job) time.Duration {
	if !slices.ContainsFunc(job.Steps, func(step workload.Step) bool { return step.BestEffort }) {
		return 0
	}
	service := c.serviceOfJob(job)
	all := queueOf(c.bestEffort.services, service)
	idle := c.idleCores(now, service) - all.lasting
	if lasting := lastingCores(job); lasting > 0 && lasting > idle {
		return maxBacklogTime
	}
	wait, poolWait := time.Duration(0), time.Duration(0)
	c.eachBestEffortStep(job, func(step *workload.Step, _ float64) {
		wait = max(wait, all.wait(idle*c.bestEffortShare(all, job.Organisation), job.Organisation))
		pool := c.poolOf(job, step)
		q := c.bestEffort.pools[pool]
		if q == nil || !q.waits {
			return
		}
		if capacity := float64(c.poolCapacity(pool)) / 1000; q.yield > 0 || capacity == 0 {
			poolWait = max(poolWait, q.wait(q.yield*capacity*c.bestEffortShare(q, job.Organisation), job.Organisation))
		}
	})
	if poolWait > wait && c.couldStart(now, job) {
		// What waits needs something else, for example larger runners.
		return wait
	}
	return max(wait, poolWait)
}

// couldStart reports whether runners would take all best-effort tasks of a job now, those of later steps included: these would otherwise join what
// waits. The caller holds mu.
func (c *Cell) couldStart(now time.Time, job *workload.Job) bool {
	if c.startsWithheld(now) != "" || job.Policy.Advised {
		return false
	}
	steps := newJobState(job).newOccurrence(0).steps
	candidates := serviceCandidates(c.serviceOfJob(job), c.runnerViews(now))
	found := false
	for i := range job.Steps {
		step := &job.Steps[i]
		if !isShortBestEffort(step) {
			continue
		}
		placed := map[string]int{}
		request := c.placementRequest(steps[i].units[0], placed)
		for range step.Count {
			best := placement.Pick(request, candidates)
			if best == nil {
				return false
			}
			placed[best.ID]++
			recordPlacement(best, request)
		}
		found = true
	}
	return found
}

// wait returns by how much the time in which a number of cores does the work of an organisation exceeds maxBacklogTime.
func (q *bestEffortQueue) wait(cores float64, organisation string) time.Duration {
	waiting := q.work[organisation]
	switch {
	case waiting == 0:
		return 0
	case cores <= 0:
		return maxBacklogTime
	default:
		return max(time.Duration(waiting/cores*float64(time.Second))-maxBacklogTime, 0)
	}
}

// idleCores returns the processors of a service that other than best-effort tasks don't use, which is the most that these can get. The caller holds mu.
func (c *Cell) idleCores(now time.Time, service string) float64 {
	idle := int64(0)
	for _, rs := range c.runners {
		if !c.mayTake(rs, service, "") {
			continue
		}
		idle += rs.info.Capacity.CPU
		for r := range rs.runs {
			if !isShortBestEffort(r.unit.def()) {
				idle -= usedCPU(now, r)
			}
		}
	}
	return float64(idle) / 1000
}

// mayTake reports whether a runner is meant to take tasks of a service that need a label, whether or not it responds. The caller holds mu.
func (c *Cell) mayTake(rs *runnerState, service, label string) bool {
	return rs.info.Service == service && rs.present && !rs.info.Draining && !c.evacuated[rs.info.Domain] &&
		(label == "" || slices.Contains(rs.info.Labels, label))
}

// bestEffortShare returns the part of a queue's rate that an organisation has by weight. The caller holds mu.
func (c *Cell) bestEffortShare(q *bestEffortQueue, organisation string) float64 {
	weights := 0.0
	for other, work := range q.work {
		if other != organisation && work > 0 {
			weights += c.weightOf(other)
		}
	}
	own := c.weightOf(organisation)
	return own / (own + weights)
}

// refusesBestEffort reports whether a job is to be refused because of the best-effort work that waits, and notes that. The caller holds mu.
func (c *Cell) refusesBestEffort(now time.Time, job *workload.Job) bool {
	wait := c.bestEffortWait(now, job)
	if wait <= 0 {
		return false
	}
	c.bestEffort.refusedAt, c.bestEffort.wait = now, wait
	return true
}

// recentBestEffortWait returns the wait of the last refusal, or 0 if no job was refused lately. The caller holds mu.
func (c *Cell) recentBestEffortWait(now time.Time) time.Duration {
	if c.bestEffort.refusedAt.IsZero() || now.Sub(c.bestEffort.refusedAt) > excessRetention {
		return 0
	}
	return c.bestEffort.wait
}

// BestEffortWait returns how long it took, at the last refusal, until the best-effort work that waits would leave time for a job; 0 if none was
// refused recently.
func (c *Cell) BestEffortWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recentBestEffortWait(time.Now())
}
