// Package dispatch schedules and runs the jobs of one cell: it stores their durable state, decides which task starts on
// which runner, sends commands to the cell's runners and processes the results. A cell has one owner at a time. Runners
// reject commands of earlier owners by their lower fencing token, and the store rejects their writes.
//
// Starts are not written to the store. Each runner reports its running tasks, and its ended tasks until they are
// acknowledged, so a new owner recovers the runs of its predecessor from the runners.
package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/lookahead"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

const (
	// tickInterval is how often the cell's timers are checked.
	tickInterval = 100 * time.Millisecond
	// replanInterval is the longest time between two plans while units are ready. Some reasons to wait, such as the back-off
	// of a runner, end without an event.
	replanInterval = 500 * time.Millisecond
	// storeOutageTolerance is how long after an owner's last successful write the leases that it grants end at the latest.
	// It covers a store outage of seven seconds and a commit that was sent shortly before its end and gets no response. A
	// successor waits for this time before it restarts a task that may be running on an unreachable runner, unless the witnesses of
	// its predecessor have confirmed no outage.
	storeOutageTolerance = 10 * time.Second
	// minLease is the shortest lease with which a task is started.
	minLease = 1 * time.Second
	// maxInterruption is the longest time between two ticks that does not count as an interruption. Another node acquires the cell
	// once the owner's heartbeat has been unchanged for 2.4 s, and shorter interruptions delay no heartbeat for that long.
	maxInterruption = 500 * time.Millisecond
)

// Config configures a Cell.
type Config struct {
	Name string
	// Part is the partition of the store with the cell's rows.
	Part string
	// IndexPart returns the partition of the index row that maps a job to its cell.
	IndexPart func(jobID string) string
	Node      string
	Addr      string
	// Incarnation differs for each start of the node's process.
	Incarnation string
	// Region is the owner's region, and Regions maps failure domains to regions.
	Region  string
	Regions map[string]string
	// Cells is the number of cells of the deployment, among which the jobs of an organisation are divided; 0 counts as 1.
	Cells int
	// Lease is how long a runner keeps running tasks without contact to the owner.
	Lease time.Duration
	// MaxLease is the longest lease that a runner grants. Less than Lease means Lease.
	MaxLease time.Duration
	// Retention is how long the state of a finished job is kept.
	Retention time.Duration
	Store     store.Store
	Runners   runner.Client
	Advisor   Advisor
	// Memory bounds the memory of the jobs, together with those of the node's other cells; nil if it is not bounded.
	Memory *JobMemory
	// Peers reaches the other cells; nil if no task may be delegated.
	Peers   Peers
	Log     *logrus.Entry
	Metrics *Metrics
	// PredecessorDead is set if the last owner is confirmed to have ended and can send nothing more.
	PredecessorDead bool
	// PredecessorLastWrite is a time after which the last owner has written nothing; zero if only the time of the takeover is
	// known.
	PredecessorLastWrite time.Time
	// Suspended returns for how long the VM has been suspended in all. The steady clock does not count that time. It may be nil.
	Suspended func() time.Duration
	// StoreLost, if set, is called while commits fail, once a second. Another node may reach the store and take the cell over.
	StoreLost func()
	// ConfirmOutage, if set, asks a witness whether it does not reach the store either, and whether no owner with a higher epoch than the
	// given one has asked it to deny that. It returns false if the witness does not respond. Leases have no cap without it.
	ConfirmOutage func(ctx context.Context, w Witness, epoch int64) bool
	// Witnesses are those that the row of the acquisition states.
	Witnesses []Witness
	// AwaitQuota means that tasks of organisations start only once SetQuota has been called with rows that were read since the acquisition.
	AwaitQuota bool
	// DemandChanged, if set, is called when tasks have begun to wait for the limit of their organisation. It must not call the cell.
	DemandChanged func()
	// Acquired, if set, is called once the ownership is committed. The cell then starts no tasks until ConfirmRunners is called.
	Acquired func(epoch int64)
}

// Advisor asks the advice service which runners may run a step.
type Advisor interface {
	// Advise returns a ticket for each of the runners that may run the step, and how long the tickets are valid.
	Advise(ctx context.Context, job string, occurrence, step int, runners []string) (tickets map[string]string, valid time.Duration, err error)
}

// Cell is the owner's state of a cell. It is safe for concurrent use.
type Cell struct {
	cfg   Config
	epoch int64

	mu sync.Mutex // guards the cell's state
	// ownerVersion is the version of the ownership row that this owner last wrote.
	ownerVersion int64
	lastCommit   time.Time // send time of the last successful commit
	// suspendedAtCommit is for how long the VM had been suspended at lastCommit.
	suspendedAtCommit time.Duration
	// activeAt is when the owner last noticed that it runs, and suspendedAtActive for how long the VM had been suspended then. resumedAt
	// is when it last noticed an interruption; zero if there was none.
	activeAt, resumedAt time.Time
	suspendedAtActive   time.Duration
	plannedAt           time.Time // when the last plan was made
	drainCheckedAt      time.Time // when draining runners were last checked
	expiryCheckedAt     time.Time // when finished jobs were last checked for removal
	lost                bool
	// awaitsProof is set if a conclusion about a runner waits for a commit.
	awaitsProof bool
	stopping    bool // the context of Run has ended; no more runners are polled
	releasing   bool // Run is about to return; no more tasks are started
	jobs        map[string]*jobState
	ready       []*unit
	runners     map[string]*runnerState
	catalog     *catalog.Config
	evacuated   map[string]bool
	pressure    *interference.Pressure
	// runTimes is what this owner has learned of the run times of short tasks. It is kept in memory only.
	runTimes *lookahead.RunTimes
	// pressureWrittenAt is when what was learned was last added to a commit.
	pressureWrittenAt time.Time
	advice            map[equivClass]*advice
	submissions       []*submission
	// committing holds the submissions of the commit in flight, which was first sent at commitSentAt.
	committing   []*submission
	commitSentAt time.Time
	// storeDown is set while the store does not accept commits, and storeLostAt is when Config.StoreLost was last called.
	storeDown   bool
	storeLostAt time.Time
	outage      outageState
	steps       durableSteps
	admission   admission
	share       submissionState
	// runnerAddedAt is when the last new runner appeared. runnersKnown is set once none has appeared for
	// runnerDiscoveryGrace.
	runnerAddedAt time.Time
	runnersKnown  bool
	dirty         map[*jobState]bool
	// withheld holds the dirty jobs whose progress row the store does not take.
	withheld map[*jobState]withheldRow
	// urgent requests a commit without the usual delay.
	urgent bool
	// terminated holds runners that are confirmed to run nothing: they do not respond, and their leases have expired. The
	// ownership row lists them.
	terminated map[string]bool
	// losingUntil is until when responses of runners count as being lost.
	losingUntil time.Time
	// listedSilent holds runners of which the durable ownership row may list the ends of their leases, or of some runs there. They get no tasks and no
	// longer leases.
	listedSilent map[string]bool
	// listedClosed holds runners that the durable ownership row may list in Ownership.Closed. They get no tasks.
	listedClosed map[string]bool
	// previous is the last owner, which has written nothing after previousWritten, and earlierLeases is when the leases of owners before
	// it have expired.
	previous                       Ownership
	previousWritten, earlierLeases time.Time
	// unresolved holds, by ID, the runners that may run tasks of an earlier owner.
	unresolved map[string]*unresolvedRunner
	// inherited holds all runners that were recorded in unresolved, and inheritedEnd is when the last lease that an earlier
	// owner can have granted has expired.
	inherited    map[string]bool
	inheritedEnd time.Time
	// silentLeaseEnds holds the earlier ends of leases on runners that did not respond to the previous owner either.
	silentLeaseEnds map[string]time.Time
	// inheritedLongLeases holds, by runner ID, the ends of leases that may end later than inheritedEnd: those that the previous owner has listed in
	// Ownership.LongLeasesMs, and those that restarted runners may have granted without its knowledge.
	inheritedLongLeases map[string]time.Time
	// closedLeaseEnds holds the ends of leases that the previous owner has listed in Ownership.ClosedLeasesMs.
	closedLeaseEnds map[string]time.Time
	// awaitsRunners is set until ConfirmRunners is called.
	awaitsRunners bool
	pending       map[string]int // accepted jobs without a started task, by queue
	// delegating holds the jobs with units in other cells.
	delegating map[*jobState]bool
	// returning holds the jobs of other cells with units that were returned to them.
	returning map[*jobState]bool
	// refusedBy holds the last refusal of each other cell, and reservations the places that are kept for tasks of other cells.
	refusedBy          map[string]refusal
	holds              holds
	reservations       []reservation
	delegatedCheckedAt time.Time // when waiting tasks were last checked for a delegation
	waits              waitCheck
	backlog            backlogState
	bestEffort         bestEffortAdmission
	// backlogShown is what the cell has added to the gauge of the backlog, in seconds.
	backlogShown float64
	caps         caps
	census       census
	fullAnswers  fullAnswers
	// adviceMu serializes calls to the advice service.
	adviceMu sync.Mutex

	planWake  chan struct{}
	flushWake chan struct{}
	stop      context.CancelFunc // set by Run
	// stopRequested is set by Stop.
	stopRequested bool
	done          chan struct{}
	background    sync.WaitGroup
}

func newCell(cfg Config, epoch int64) *Cell {
	return &Cell{
		cfg: cfg, epoch: epoch, activeAt: time.Now(), suspendedAtActive: cfg.suspended(), jobs: map[string]*jobState{}, runners: map[string]*runnerState{},
		evacuated: map[string]bool{}, dirty: map[*jobState]bool{}, withheld: map[*jobState]withheldRow{},
		unresolved: map[string]*unresolvedRunner{}, inherited: map[string]bool{},
		silentLeaseEnds: map[string]time.Time{}, inheritedLongLeases: map[string]time.Time{},
		pending: map[string]int{}, planWake: make(chan struct{}, 1), flushWake: make(chan struct{}, 1),
		done: make(chan struct{}), catalog: &catalog.Config{}, pressure: interference.NewPressure(), runTimes: lookahead.NewRunTimes(),
		steps: durableSteps{early: map[*jobState]bool{}}, advice: map[equivClass]*advice{}, terminated: map[string]bool{},
		bestEffort: newBestEffortAdmission(),
		waits:      waitCheck{loggedAt: map[waitKey]time.Time{}}, listedSilent: map[string]bool{}, listedClosed: map[string]bool{}, census: census{indexed: map[string]bool{}}, delegating: map[*jobState]bool{}, returning: map[*jobState]bool{}, refusedBy: map[string]refusal{},
		holds: holds{map[string][]*hold{}, map[string]time.Time{}, map[string]time.Time{}, map[string]largestTask{}},
		caps:  caps{accounts: map[string]*capAccount{}, endedHere: map[string]bool{}},
	}
}

// Run runs the cell until ctx ends or the ownership is lost. Before it returns it writes unsaved state and releases the
// cell.
func (c *Cell) Run(ctx context.Context) {
	defer close(c.done)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.mu.Lock()
	c.stop = stop
	if c.stopRequested || c.lost {
		stop()
	}
	c.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { c.planLoop(ctx) })
	loops.Go(func() { c.flushLoop(ctx) })
	loops.Go(func() { c.tickLoop(ctx) })
	loops.Go(func() { c.pressureLoop(ctx) })
	loops.Go(func() { c.cancelledLoop(ctx) })
	<-ctx.Done()
	c.mu.Lock()
	c.stopping = true
	for _, rs := range c.runners {
		rs.stop()
	}
	c.mu.Unlock()
	loops.Wait()
	c.resetWaiting()
	c.background.Wait()
	c.releaseMemory()
}

// Epoch returns the fencing token of this owner.
func (c *Cell) Epoch() int64 { return c.epoch }

// Done is closed once Run has returned.
func (c *Cell) Done() <-chan struct{} { return c.done }

// Stop makes Run write unsaved state, release the cell and return, also if Run is called later.
func (c *Cell) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopRequested = true
	if c.stop != nil {
		c.stop()
	}
}

// HasLostOwnership reports whether this node no longer owns the cell.
func (c *Cell) HasLostOwnership() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// loseOwnership stops the cell because another owner exists. The caller holds mu.
func (c *Cell) loseOwnership(why string) {
	if c.lost {
		return
	}
	c.lost = true
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "epoch": c.epoch, "why": why}).Warn("lost ownership of the cell")
	if c.stop != nil {
		c.stop()
	}
}

// mayCommand reports whether the owner may still send commands and extend leases. The caller holds mu.
func (c *Cell) mayCommand(now time.Time) bool {
	return !c.lost && c.sinceCommit(now) <= c.leaseLimit()-minLease
}

// mayStart reports whether the owner may send a start command now. After an interruption it may not before a commit has shown that it has no
// successor: a runner that restarted in the meantime does not know the successor's token and would execute the start. The caller
// holds mu.
func (c *Cell) mayStart() bool {
	now := time.Now()
	c.observeActivity(now)
	return c.mayCommand(now) && c.ownedAt(c.resumedAt) && !c.steps.overstated
}

// observeActivity records that the owner runs, and notices if its process or its VM has been stopped since the last call. It is called on
// each tick and before each start, because after an interruption any goroutine may run first. The caller holds mu.
func (c *Cell) observeActivity(now time.Time) {
	suspended := c.cfg.suspended()
	pause := now.Sub(c.activeAt) + suspended - c.suspendedAtActive
	c.activeAt, c.suspendedAtActive = now, suspended
	if pause <= maxInterruption {
		return
	}
	c.resumedAt = now
	c.cfg.Metrics.interruptions.Inc()
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "epoch": c.epoch, "ms": pause.Milliseconds(),
		"ownership_ms": c.sinceCommit(now).Milliseconds()}).Warn("the owner was interrupted, starts wait for a commit")
}

// sinceCommit returns how long ago the last successful commit was sent, including the time for which the VM was suspended. The
// caller holds mu.
func (c *Cell) sinceCommit(now time.Time) time.Duration {
	return now.Sub(c.lastCommit) + c.cfg.suspended() - c.suspendedAtCommit
}

// suspended returns for how long the VM has been suspended in all.
func (cfg *Config) suspended() time.Duration {
	if cfg.Suspended == nil {
		return 0
	}
	return cfg.Suspended()
}

func (c *Cell) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.tick(ctx, now)
		}
	}
}

func (c *Cell) tick(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeActivity(time.Now())
	c.expireUnresolved(now)
	for _, rs := range c.runners {
		c.tickRunner(now, rs)
	}
	if len(c.ready) > 0 && now.Sub(c.plannedAt) >= replanInterval {
		wake(c.planWake)
	}
	c.evictFromDraining(now)
	c.sampleAdmission(now)
	c.checkStore(now)
	c.askWitnesses(ctx, now)
	c.createDueOccurrences(now)
	c.tickDelegations(ctx, now)
	c.checkWaiting(now)
}

// maxOpenTasks bounds the tasks of a job's open occurrences when one more is created. It is the number of tasks that a job
// without a schedule may have.
const maxOpenTasks = workload.MaxTasks

// createDueOccurrences creates the occurrences that have become due, in order. While a job has too many open tasks, or memory is short, the
// others wait until earlier ones are done. The caller holds mu.
func (c *Cell) createDueOccurrences(now time.Time) {
	for _, j := range c.jobs {
		if j.state.Terminal() || j.nextOcc >= j.def.Occurrences || j.def.Due(j.nextOcc).After(now) {
			continue
		}
		j.removeDoneOccurrences()
		for j.nextOcc < j.def.Occurrences && !j.def.Due(j.nextOcc).After(now) {
			if j.nextOcc > len(j.doneOccs) && (j.openTasks(j.nextOcc) > maxOpenTasks || !c.cfg.Memory.fits(occurrenceBytes(j.def))) {
				break
			}
			c.addOccurrence(j)
		}
	}
}

const (
	// maxClockLead is how far the clock of an earlier owner may have been ahead of this one when it created an occurrence.
	maxClockLead = 5 * time.Second
	// maxReportedTasks bounds the tasks of a job's open occurrences when one more is created because a runner reports it. The
	// previous owner may have known of more done occurrences than its last row.
	maxReportedTasks = 2 * maxOpenTasks
)

// reportedUnit returns the unit of a task that a runner reports, or nil if the job has no such task. If an earlier owner created
// the task's occurrence and that did not become durable, it creates the occurrence. The caller holds mu.
func (c *Cell) reportedUnit(now time.Time, j *jobState, id workload.TaskID) *unit {
	if id.Occurrence >= j.nextOcc && j.hasOccurrence(id.Occurrence) && j.openTasks(id.Occurrence) <= maxReportedTasks &&
		!j.def.Due(id.Occurrence).After(now.Add(maxClockLead)) {
		for j.nextOcc <= id.Occurrence {
			c.addOccurrence(j)
		}
	}
	return j.unitOf(id)
}

// addOccurrence creates the next occurrence of a job. While a runner has not responded to this owner, or may not be known to it yet, an earlier
// one may have created the occurrence and started its tasks there. The caller holds mu.
func (c *Cell) addOccurrence(j *jobState) {
	occ := j.newOccurrence(j.nextOcc)
	if (len(c.unresolved) > 0 || c.awaitsRunners && !c.inheritedEnd.IsZero()) && !j.def.StartAt.IsZero() {
		occ.markRecovered()
	}
	j.nextOcc++
	if j.nextOcc > 1 || !j.def.StartAt.IsZero() {
		c.markDirty(j)
	}
	c.activate(occ)
}

// activate recomputes the remaining steps of an occurrence and makes unblocked units ready. The caller holds mu.
func (c *Cell) activate(occ *occurrence) {
	occ.left = 0
	for i := range occ.steps {
		if occ.steps[i].left > 0 {
			occ.left++
		}
	}
	c.readyUnblocked(occ)
}

// readyUnblocked makes the blocked units of all steps ready whose earlier steps are done. The caller holds mu.
func (c *Cell) readyUnblocked(occ *occurrence) {
	for i := range occ.steps {
		step := &occ.steps[i]
		if !step.hasBlocked() || !c.mayBegin(step.units[0].job, occ, i) {
			continue
		}
		for _, u := range step.units {
			if u.phase == phaseBlocked {
				c.makeReady(u)
			}
		}
	}
}

// makeReady queues a unit for a start. The caller holds mu.
func (c *Cell) makeReady(u *unit) {
	u.phase = phaseReady
	u.readyAt = time.Now()
	u.beginWait(u.readyAt)
	c.updateCriticalPath(u.readyAt, u.job)
	c.ready = append(c.ready, u)
	wake(c.planWake)
}

// markDirty schedules a write of the job's progress. The caller holds mu.
func (c *Cell) markDirty(j *jobState) {
	j.dirty = true
	c.dirty[j] = true
	wake(c.flushWake)
}

func (c *Cell) markUrgent(j *jobState) {
	c.urgent = true
	c.markDirty(j)
}

// finish moves a job to a terminal state. The caller holds mu.
func (c *Cell) finish(now time.Time, j *jobState, state workload.State, reason string) {
	if j.state.Terminal() {
		return
	}
	c.uncountPending(j)
	c.admission.freedSinceSample += j.longRunningDemand()
	j.state = state
	j.finishedAt = now
	j.delegations = nil
	if allowed := j.objective.Sub(j.def.AcceptedAt); state == workload.StateCompleted && allowed > 0 && j.def.StartAt.IsZero() {
		c.cfg.Metrics.objectiveShare.WithLabelValues(j.def.Policy.Queue).Observe(now.Sub(j.def.AcceptedAt).Seconds() / allowed.Seconds())
	}
	if j.def.Policy.Advised {
		maps.DeleteFunc(c.advice, func(key equivClass, _ *advice) bool { return key.job == j })
	}
	for _, occ := range j.occs {
		for i := range occ.steps {
			for _, u := range occ.steps[i].units {
				// Stopping a run that has not started removes it.
				for _, r := range slices.Clone(u.runs) {
					c.stopRun(r, reason)
				}
			}
		}
	}
	c.cfg.Log.WithFields(logrus.Fields{
		"request": j.def.ID, "queue": j.def.Policy.Queue, "state": state, "reason": reason,
		"ms": now.Sub(j.def.AcceptedAt).Milliseconds(), "objective_ms": j.objective.Sub(j.def.AcceptedAt).Milliseconds(),
	}).Info("job ended")
	c.markUrgent(j)
}

func (c *Cell) uncountPending(j *jobState) {
	if !j.started && !j.state.Terminal() && j.def.StartAt.IsZero() {
		c.pending[j.def.Policy.Queue]--
	}
}

// SetCatalog applies a configuration unless a newer one is already active.
func (c *Cell) SetCatalog(config *catalog.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if config.Version >= c.catalog.Version {
		c.catalog = config
	}
}

// SetEvacuated sets the failure domains in which no task may be started.
func (c *Cell) SetEvacuated(domains map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated = domains
	wake(c.planWake)
}

func timeFromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
