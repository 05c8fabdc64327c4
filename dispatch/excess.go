package dispatch

import (
	"time"

	"github.com/currantthread/currantthread/fairshare"
	"github.com/currantthread/currantthread/workload"
)

// A job of an organisation that sends more than its weight gives is refused at submission if the organisation's waiting work can't be done
// before it has no value any more; package fairshare has the rule.

const (
	// poolInterval is how long the state of a pool is used for decisions on submissions. Accepted jobs are added to it meanwhile. Reading it
	// anew takes 12 ms with 10,000 waiting tasks of 5,000 jobs, under the cell's lock.
	poolInterval = 500 * time.Millisecond
	// excessRetention is how long the last refusal of an organisation's job is part of the cell's load: three heartbeats.
	excessRetention = 2400 * time.Millisecond
	// Bounds of the measured pace, so that a few odd tasks can't cause or prevent all refusals.
	minPace, maxPace = 0.25, 4.0
	// paceTimeConstant is the time constant of the measured pace.
	paceTimeConstant = 30 * time.Second
	// minPaceWork is the estimated work in thousandths of a core times seconds from which the measured pace is used.
	minPaceWork = 50_000.0
)

// submissionState is what the decisions on submissions of organisations need. The zero value has seen nothing.
type submissionState struct {
	accepted map[string]*fairshare.Count
	pools    map[string]*pool
	pace     pace
	// excess holds the last refusals by organisation.
	excess map[string]excess
}

// pool is the state of the runners of a service at a time, and of the work that waits for them.
type pool struct {
	fairshare.Load
	at time.Time
}

// excess is when a job was refused and how long it takes until its organisation's waiting work leaves time for one.
type excess struct {
	at   time.Time
	wait time.Duration
}

// pace compares the times that short tasks take with their estimates, weighted by processors.
type pace struct {
	estimated, taken float64
	at               time.Time
}

// observe counts a run that has done its task.
func (p *pace) observe(now time.Time, r *run) {
	def := r.unit.def()
	if def.LongRunning || def.Estimated <= 0 || r.startedAt.IsZero() {
		return
	}
	kept := decay(now.Sub(p.at), paceTimeConstant)
	cpu := float64(def.Committed().CPU)
	p.estimated = p.estimated*kept + cpu*def.Estimated.Seconds()
	p.taken = p.taken*kept + cpu*now.Sub(r.startedAt).Seconds()
	p.at = now
}

// value returns how long tasks take as a multiple of their estimates.
func (p *pace) value() float64 {
	if p.estimated < minPaceWork {
		return 1
	}
	return min(max(p.taken/p.estimated, minPace), maxPace)
}

// mayBeRefusedForExcess reports whether the rule applies to a job: long-running jobs have an admission of their own, and the work of jobs that start
// later is not due yet. The caller holds mu.
func (c *Cell) mayBeRefusedForExcess(job *workload.Job) bool {
	return len(c.catalog.Organisations) > 0 && job.StartAt.IsZero() && !job.LongRunning()
}

// excessOf returns how long it takes until the waiting work of a job's organisation leaves time for the job, or 0 if it is to be accepted. The
// caller holds mu.
func (c *Cell) excessOf(now time.Time, job *workload.Job) time.Duration {
	if !c.mayBeRefusedForExcess(job) {
		return 0
	}
	name := job.Organisation
	count := c.share.accepted[name]
	if count == nil || fairshare.WithinWeight(count.At(now), c.weightOf(name)/float64(max(c.cfg.Cells, 1))) {
		return 0
	}
	work, largest := workOf(job)
	wait := c.pool(now, c.serviceOfJob(job)).Excess(now, name, work, largest)
	if wait <= 0 {
		return 0
	}
	if c.share.excess == nil {
		c.share.excess = map[string]excess{}
	}
	c.share.excess[name] = excess{now, wait}
	return wait
}

// Excess returns how long it took, at the last refusal of one of its jobs, until the waiting work of an organisation would leave time for
// another one; 0 if none was refused recently.
func (c *Cell) Excess(organisation string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recentExcess(time.Now(), organisation)
}

func (c *Cell) recentExcess(now time.Time, organisation string) time.Duration {
	e := c.share.excess[organisation]
	if now.Sub(e.at) > excessRetention {
		return 0
	}
	return e.wait
}

// excessLoad returns the recent refusals as part of the cell's load, in milliseconds by organisation. The caller holds mu.
func (c *Cell) excessLoad(now time.Time) map[string]int64 {
	var load map[string]int64
	for name := range c.share.excess {
		if wait := c.recentExcess(now, name); wait > 0 {
			if load == nil {
				load = map[string]int64{}
			}
			load[name] = wait.Milliseconds()
		}
	}
	return load
}

// countSubmission counts a job that is about to be accepted. The caller holds mu.
func (c *Cell) countSubmission(now time.Time, job *workload.Job) {
	if !c.mayBeRefusedForExcess(job) {
		return
	}
	name := job.Organisation
	if c.share.accepted == nil {
		c.share.accepted = map[string]*fairshare.Count{}
	}
	count := c.share.accepted[name]
	if count == nil {
		count = &fairshare.Count{}
		c.share.accepted[name] = count
	}
	count.Add(now)
	if p := c.share.pools[c.serviceOfJob(job)]; p != nil {
		work, _ := workOf(job)
		c.shareAccount(p, name).Waiting = append(c.shareAccount(p, name).Waiting, work)
	}
}

// shareAccount returns the account of an organisation in a pool. The caller holds mu.
func (c *Cell) shareAccount(p *pool, name string) *fairshare.Account {
	a := p.Accounts[name]
	if a == nil {
		a = &fairshare.Account{Weight: c.weightOf(name)}
		p.Accounts[name] = a
	}
	return a
}

// pool returns the state of a service's runners, which is at most poolInterval old. The caller holds mu.
func (c *Cell) pool(now time.Time, service string) *pool {
	p := c.share.pools[service]
	if p != nil && now.Sub(p.at) < poolInterval {
		return p
	}
	p = &pool{Load: fairshare.Load{Pace: c.share.pace.value(), Accounts: map[string]*fairshare.Account{}}, at: now}
	for _, rs := range c.runners {
		if rs.info.Service != service || !c.isUsable(now, rs) {
			continue
		}
		p.Capacity = p.Capacity.Add(fairAmounts(rs.info.Capacity))
		for r := range rs.runs {
			held := fairAmounts(r.unit.def().Committed())
			if r.unit.def().LongRunning {
				p.LongRunning = p.LongRunning.Add(held)
			} else {
				a := c.shareAccount(p, r.unit.job.def.Organisation)
				a.Held = a.Held.Add(held)
			}
		}
	}
	for _, j := range c.jobs {
		if !j.state.Terminal() && j.origin == "" && c.serviceOf(j) == service {
			c.addWaiting(p, j)
		}
	}
	for s := range c.undecided() {
		if c.serviceOfJob(s.job) == service && c.mayBeRefusedForExcess(s.job) {
			work, _ := workOf(s.job)
			a := c.shareAccount(p, s.job.Organisation)
			a.Waiting = append(a.Waiting, work)
		}
	}
	if c.share.pools == nil {
		c.share.pools = map[string]*pool{}
	}
	c.share.pools[service] = p
	return p
}

// addWaiting adds the tasks of a job that have not started. The caller holds mu.
func (c *Cell) addWaiting(p *pool, j *jobState) {
	for _, occ := range j.occs {
		var need [3]float64
		capped := false
		for i := range occ.steps {
			if occ.steps[i].left == 0 || j.def.Steps[i].LongRunning {
				continue
			}
			waiting := 0
			for _, u := range occ.steps[i].units {
				if u.phase == phaseReady || u.phase == phaseBlocked {
					waiting += u.size
					capped = capped || u.waitsForCap
				}
			}
			addNeed(&need, &j.def.Steps[i], waiting)
		}
		if need != [3]float64{} {
			due := occ.due
			if due.IsZero() {
				due = j.def.AcceptedAt
			}
			by := due.Add(tooLateFactor * j.objective.Sub(j.def.AcceptedAt))
			a := c.shareAccount(p, j.def.Organisation)
			a.Capped = a.Capped || capped
			a.Waiting = append(a.Waiting, fairshare.Work{Priority: j.def.Policy.Priority, By: by, Need: need})
		}
	}
}

// workOf returns the work of a job that starts at once, and what its largest task or gang holds of each resource.
func workOf(job *workload.Job) (fairshare.Work, fairshare.Amounts) {
	var largest fairshare.Amounts
	allowed := newJobState(job).objective.Sub(job.AcceptedAt)
	work := fairshare.Work{Priority: job.Policy.Priority, By: job.AcceptedAt.Add(tooLateFactor * allowed)}
	for i := range job.Steps {
		step := &job.Steps[i]
		addNeed(&work.Need, step, step.Count)
		size := int64(1)
		if step.Gang {
			size = int64(step.Count)
		}
		for d, amount := range fairAmounts(step.Committed()) {
			largest[d] = max(largest[d], amount*size)
		}
	}
	return work, largest
}

// addNeed adds what tasks of a step hold, times their estimated times in seconds.
func addNeed(need *[3]float64, step *workload.Step, tasks int) {
	for d, amount := range fairAmounts(step.Committed()) {
		need[d] += float64(amount) * float64(tasks) * step.Estimated.Seconds()
	}
}
