// Package dispatch runs the jobs of one cell: it keeps their durable state, decides which task starts where, sends the
// orders to the runners of the cell and settles what became of them. A cell has one owner at a time; runners refuse the
// orders of earlier owners by their lower fencing token, and the store refuses their writes.
//
// Starts are not written to the store. A runner lists what runs and what ended until that is acknowledged, so a new
// owner learns from the runners what its predecessor started.
package dispatch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

const (
	// tickInterval is how often timers of the cell are looked at.
	tickInterval = 100 * time.Millisecond
	// storeSilenceBound is how long an owner goes on with starts and leases without a successful write. It outlasts
	// outages of the store of about ten seconds. A successor waits for it, and one lease more, before it starts a task
	// that may run on a runner that it can't reach.
	storeSilenceBound = 12 * time.Second
)

// Config is what a cell needs.
type Config struct {
	Name string
	// Part is the partition of the store with the cell's rows.
	Part string
	// IndexPart returns the partition of the row that says in which cell a job is.
	IndexPart func(jobID string) string
	Node      string
	Addr      string
	// Incarnation differs for each start of the node's process.
	Incarnation string
	// Region is the owner's region, and Regions maps failure domains to regions.
	Region  string
	Regions map[string]string
	// Lease is how long a runner goes on without hearing from the owner.
	Lease time.Duration
	// Retention is how long the state of a finished job is kept.
	Retention time.Duration
	Store     store.Store
	Runners   runner.Client
	Advisor   Advisor
	Log       *logrus.Entry
	Metrics   *Metrics
	// PredecessorDead says that the last owner surely sends nothing any more.
	PredecessorDead bool
}

// Advisor asks the advice service which runners may run a step.
type Advisor interface {
	// Advise returns a ticket for each of the runners that may run the step, and how long the tickets are valid.
	Advise(ctx context.Context, job string, occurrence, step int, runners []string) (tickets map[string]string, valid time.Duration, err error)
}

// Cell is a cell as its owner has it. It is safe for concurrent use.
type Cell struct {
	cfg   Config
	epoch int64

	mu sync.Mutex // owned by the methods of Cell
	// ownerVersion is the version of the ownership row as this owner last wrote it.
	ownerVersion int64
	lastCommit   time.Time // when the last successful commit was sent
	drainedAt    time.Time // when tasks on draining runners were last looked at
	expiredAt    time.Time // when finished jobs were last looked at
	lost         bool
	jobs         map[string]*jobState
	ready        []*unit
	runners      map[string]*host
	catalog      *catalog.Config
	evacuated    map[string]bool
	pressure     *interference.Pressure
	advice       map[shape]*advice
	submissions  []*submission
	// committing are the submissions of the commit in flight, which was first sent at sentAt.
	committing []*submission
	sentAt     time.Time
	// storeDown is set while the store is known not to take commits.
	storeDown bool
	admission admission
	// runnerAddedAt is when the last new runner showed up, and runnersKnown is set once none did for a while.
	runnerAddedAt time.Time
	runnersKnown  bool
	dirty         map[*jobState]bool
	// urgent asks for a commit without the usual delay.
	urgent bool
	// gone are runners that vanished and surely run nothing; the ownership row names them.
	gone map[string]bool
	// previous is the last owner.
	previous Ownership
	// unresolved are runners that may run tasks of an earlier owner, with the time until which they may.
	unresolved map[string]time.Time
	pending    map[string]int // accepted jobs without a started task, by queue
	// adviceTurn lets one call of the advice service go out at a time.
	adviceTurn sync.Mutex

	planKick  chan struct{}
	flushKick chan struct{}
	stop      context.CancelFunc
	done      chan struct{}
	work      sync.WaitGroup
}

func newCell(cfg Config, epoch int64) *Cell {
	return &Cell{
		cfg: cfg, epoch: epoch, jobs: map[string]*jobState{}, runners: map[string]*host{},
		evacuated: map[string]bool{}, dirty: map[*jobState]bool{}, unresolved: map[string]time.Time{},
		pending: map[string]int{}, planKick: make(chan struct{}, 1), flushKick: make(chan struct{}, 1),
		done: make(chan struct{}), catalog: &catalog.Config{}, pressure: interference.NewPressure(),
		advice: map[shape]*advice{}, gone: map[string]bool{},
	}
}

// Run does the cell's work until ctx ends or the ownership is lost, and then writes what is not yet durable.
func (c *Cell) Run(ctx context.Context) {
	defer close(c.done)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.mu.Lock()
	c.stop = stop
	c.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { c.planLoop(ctx) })
	loops.Go(func() { c.flushLoop(ctx) })
	loops.Go(func() { c.tickLoop(ctx) })
	<-ctx.Done()
	c.mu.Lock()
	for _, h := range c.runners {
		h.stop()
	}
	c.mu.Unlock()
	loops.Wait()
	c.work.Wait()
}

// Epoch returns the fencing token of this owner.
func (c *Cell) Epoch() int64 { return c.epoch }

// Done is closed once Run has returned.
func (c *Cell) Done() <-chan struct{} { return c.done }

// Stop ends the cell's work: what is not durable is written and the cell is released.
func (c *Cell) Stop() {
	c.mu.Lock()
	stop := c.stop
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// Lost reports whether another owner has taken over.
func (c *Cell) Lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

func kick(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// loseOwnership ends the cell's work: another owner exists. The caller holds mu.
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

// mayOrder reports whether the owner may still start tasks and extend leases. The caller holds mu.
func (c *Cell) mayOrder(now time.Time) bool {
	return !c.lost && now.Sub(c.lastCommit) < storeSilenceBound
}

func (c *Cell) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}

func (c *Cell) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, until := range c.unresolved {
		if now.After(until) {
			delete(c.unresolved, id)
			if c.runners[id] == nil {
				c.gone[id] = true
			}
			c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "runner": id}).Info("lease of an unreachable runner has ended")
			kick(c.planKick)
		}
	}
	for _, h := range c.runners {
		c.tickRunner(now, h)
	}
	c.leaveDraining(now)
	c.sampleAdmission(now)
	c.checkStore(now)
	c.createDueOccurrences(now)
}

// createDueOccurrences creates the occurrences whose time has come. The caller holds mu.
func (c *Cell) createDueOccurrences(now time.Time) {
	for _, j := range c.jobs {
		if j.state.Terminal() || j.nextOcc >= j.def.Occurrences {
			continue
		}
		for j.nextOcc < j.def.Occurrences && !j.def.Due(j.nextOcc).After(now) {
			c.addOccurrence(j)
		}
	}
}

func (c *Cell) addOccurrence(j *jobState) {
	occ := j.newOccurrence(j.nextOcc)
	j.nextOcc++
	if j.nextOcc > 1 || !j.def.StartAt.IsZero() {
		c.markDirty(j)
	}
	c.activate(occ)
}

// activate computes what of an occurrence is done and makes units ready. The caller holds mu.
func (c *Cell) activate(occ *occurrence) {
	occ.left = 0
	for i := range occ.steps {
		if occ.steps[i].left > 0 {
			occ.left++
		}
	}
	for i := range occ.steps {
		step := &occ.steps[i]
		step.blocked = 0
		if len(step.units) == 0 {
			continue
		}
		for _, before := range step.units[0].def().After {
			if occ.steps[before].left > 0 {
				step.blocked++
			}
		}
		if step.blocked == 0 {
			for _, u := range step.units {
				if u.phase == phaseBlocked {
					c.makeReady(u)
				}
			}
		}
	}
}

// makeReady queues a unit for a start. The caller holds mu.
func (c *Cell) makeReady(u *unit) {
	u.phase = phaseReady
	u.readyAt = time.Now()
	c.ready = append(c.ready, u)
	kick(c.planKick)
}

// markDirty asks for the job's progress to be written. The caller holds mu.
func (c *Cell) markDirty(j *jobState) {
	j.dirty = true
	c.dirty[j] = true
	kick(c.flushKick)
}

func (c *Cell) markUrgent(j *jobState) {
	c.urgent = true
	c.markDirty(j)
}

// finish makes a job terminal. The caller holds mu.
func (c *Cell) finish(now time.Time, j *jobState, state workload.State, reason string) {
	if j.state.Terminal() {
		return
	}
	c.uncountPending(j)
	j.state = state
	j.finishedAt = now
	c.admission.freedSince += LastingDemand(j.def)
	if allowed := j.objective.Sub(j.def.AcceptedAt); state == workload.StateCompleted && allowed > 0 && j.def.StartAt.IsZero() {
		c.cfg.Metrics.objectiveShare.WithLabelValues(j.def.Policy.Queue).Observe(now.Sub(j.def.AcceptedAt).Seconds() / allowed.Seconds())
	}
	if j.def.Policy.Advised {
		maps.DeleteFunc(c.advice, func(key shape, _ *advice) bool { return key.job == j })
	}
	for _, occ := range j.occs {
		for i := range occ.steps {
			for _, u := range occ.steps[i].units {
				for _, r := range u.runs {
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

// SetCatalog puts a configuration in force.
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
	kick(c.planKick)
}

func timeOfMs(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
