package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// oldReads is a connection to the store whose reads are behind from the first commit on.
type oldReads struct {
	*emulator.Store
	behind time.Duration
	once   sync.Once
}

func (s *oldReads) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	version, err := s.Store.Commit(ctx, txn)
	s.once.Do(func() { s.SetReadsBehind(s.behind) })
	return version, err
}

// A new owner whose first read of the jobs was older than its acquisition never learned of the jobs accepted since, and nobody ran them.
func TestTakeoverReadsAllAcceptedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(3*time.Second))
		first, stop := cl.startOwner("a", false)
		time.Sleep(4 * time.Second)
		early, late := jobOf(1, tasks(2, 8000), tasks(2, 8000)), jobOf(2, tasks(2, 8000))
		cl.submit(first, early)
		time.Sleep(4 * time.Second)
		cl.submit(first, late)
		time.Sleep(100 * time.Millisecond)
		stop()
		<-first.Done()
		s := &oldReads{Store: cl.store, behind: 3 * time.Second}
		second, _ := cl.startOwnerWith("b", true, s, cl.fleet)
		s.SetReadsBehind(0)
		time.Sleep(lease + settleTime)
		assert.Equal(t, state(second, early), workload.StateCompleted)
		assert.Equal(t, state(second, late), workload.StateCompleted)
		assert.Equal(t, len(cl.fleet.Starts()), 6, "each task starts once")
	})
}

// A host that read an old state of the origin's row, in which the job had none yet, took the job for one that had ended: it ended the
// tasks that it had just taken over, and no cell ran them.
func TestHostKeepsTasksIfTheOriginsRowIsReadLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 2)
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		_, _ = d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job := jobOf(1, longRunning(2, 28000))
		d.submit(first, job)
		first.SetEvacuated(map[string]bool{"chipre": true})
		d.store.SetReadsBehind(3 * time.Second)
		commits := d.store.Commits()
		time.Sleep(5 * time.Second)
		assert.Assert(t, d.store.Commits()-commits < 60, "the host must not assign the tasks again all the time")
		d.store.SetReadsBehind(0)
		time.Sleep(settleTime)
		assert.Equal(t, d.runningIn("c0", job)+d.runningIn("c1", job), 2)
		assert.Equal(t, state(first, job), workload.StateRunning)
		d.assertNoOverlap()
	})
}

// failingReads is a connection to the store on which some reads of jobs fail.
type failingReads struct {
	*emulator.Store
	left atomic.Int64
}

func (s *failingReads) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if table == dispatch.TableJobs && s.left.Add(-1) >= 0 {
		return store.Page{}, store.ErrUnavailable
	}
	return s.Store.Range(ctx, table, part, from, to, limit)
}

// A single read that failed after an acquisition, such as one of too many when all nodes start at the same moment, left the cell without an
// owner for the pause after failed acquisitions.
func TestAcquisitionRepeatsFailedReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Second))
		first, stop := cl.startOwner("a", false)
		time.Sleep(2 * time.Second)
		job := jobOf(1, tasks(2, 8000), tasks(2, 8000))
		cl.submit(first, job)
		stop()
		<-first.Done()
		s := &failingReads{Store: cl.store}
		s.left.Store(3)
		second, _ := cl.startOwnerWith("b", true, s, cl.fleet)
		time.Sleep(5 * time.Second)
		assert.Equal(t, state(second, job), workload.StateCompleted)
		// A store that stays away must not hold the cell for long.
		s.left.Store(1000)
		began := time.Now()
		cfg := cl.config("c", false)
		cfg.Store = s
		previous, version, err := dispatch.ReadOwner(t.Context(), s, cellName)
		assert.NilError(t, err)
		_, err = dispatch.Acquire(t.Context(), cfg, previous, version, cl.infos)
		assert.ErrorIs(t, err, dispatch.ErrNotLoaded)
		assert.Assert(t, time.Since(began) < 4*time.Second)
	})
}

// powered is the owner of a cell on a VM that can lose power. The next owner of the cell is created once the power is back.
type powered struct {
	*dispatch.Cell
	process *process
	off     context.CancelFunc
	// cut is closed, and replaced set, when another owner is to follow.
	cut      chan struct{}
	replaced bool
}

// poweredPeers is the connection of a powered owner to the other cells.
type poweredPeers struct {
	*cellPeers
	process *process
}

func (p *poweredPeers) Delegate(ctx context.Context, cell string, ds []*dispatch.Delegation) ([]dispatch.Outcome, error) {
	return call(ctx, p.process.killed.Load, func() ([]dispatch.Outcome, error) { return p.cellPeers.Delegate(ctx, cell, ds) })
}

func (p *poweredPeers) CancelDelegated(ctx context.Context, cell, jobID string) error {
	_, err := call(ctx, p.process.killed.Load, func() (struct{}, error) {
		return struct{}{}, p.cellPeers.CancelDelegated(ctx, cell, jobID)
	})
	return err
}

// powerGrid is a deployment whose owners lose power and are replaced.
type powerGrid struct {
	*deployment
	nodes      atomic.Int64
	background sync.WaitGroup

	mu    sync.Mutex // guards the fields below
	owner map[string]*powered
	// upAt is when the VM of a cell's next owner has power, and dead is whether the previous owner is then known to have ended.
	upAt map[string]time.Time
	dead map[string]bool
}

// keepOwned makes a node the owner of a cell whenever the cell has none and there is power.
func (g *powerGrid) keepOwned(cell string) {
	for g.t.Context().Err() == nil {
		g.mu.Lock()
		upAt, dead := g.upAt[cell], g.dead[cell]
		g.mu.Unlock()
		if !wait.For(g.t.Context(), time.Until(upAt)) {
			return
		}
		if p := g.acquire(cell, dead); p != nil {
			select {
			case <-p.Done():
			case <-p.cut:
			}
		}
		wait.For(g.t.Context(), 300*time.Millisecond)
	}
}

// acquire makes a node the owner of a cell, or returns nil if that fails.
func (g *powerGrid) acquire(cell string, predecessorDead bool) *powered {
	ctx, off := context.WithCancel(g.t.Context())
	p := &powered{process: &process{store: g.store, fleet: g.fleet}, off: off, cut: make(chan struct{})}
	previous, version, err := dispatch.ReadOwner(ctx, p.process, cell)
	if err == nil {
		g.mu.Lock()
		cfg := g.config(fmt.Sprintf("n%d", g.nodes.Add(1)), predecessorDead)
		g.mu.Unlock()
		cfg.Name, cfg.Part, cfg.Store, cfg.Runners = cell, cell, p.process, p.process
		cfg.Peers = &poweredPeers{&cellPeers{g.deployment, cell}, p.process}
		p.Cell, err = dispatch.Acquire(ctx, cfg, previous, version, g.runners[cell])
	}
	if err != nil {
		off()
		return nil
	}
	for _, info := range g.runners[cell] {
		p.SetRunner(ctx, info, true)
	}
	g.mu.Lock()
	g.owner[cell] = p
	g.mu.Unlock()
	g.deployment.mu.Lock()
	g.owners[cell] = p.Cell
	g.deployment.mu.Unlock()
	g.background.Go(func() { p.Run(ctx) })
	return p
}

// replace replaces the owners of some cells after a time. They lose power at once, or are alive and just taken for dead.
func (g *powerGrid) replace(cells []string, down time.Duration, known, alive bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, cell := range cells {
		p := g.owner[cell]
		if p == nil || p.replaced {
			continue
		}
		p.replaced = true
		g.upAt[cell], g.dead[cell] = time.Now().Add(down), known && !alive
		if !alive {
			p.process.killed.Store(true)
			p.off()
		}
		close(p.cut)
	}
}

// refuse cuts the present owners of some cells off from the store, and connects the others.
func (g *powerGrid) refuse(cells []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for cell, p := range g.owner {
		p.process.cutOff.Store(slices.Contains(cells, cell))
	}
}

// ownerOf returns the last owner of a cell; nil if it never had one.
func (g *powerGrid) ownerOf(cell string) *powered {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner[cell]
}

// send submits a job like a client that tries again, and reports whether a cell has accepted it.
func (g *powerGrid) send(job *workload.Job, first int) bool {
	for attempt := range 4 {
		p := g.ownerOf(g.cells[(first+attempt/2)%len(g.cells)])
		if p != nil {
			ctx, cancel := context.WithTimeout(g.t.Context(), 2200*time.Millisecond)
			outcome, _ := p.Submit(ctx, job, true)
			cancel()
			// An answer after the loss of power reaches no client.
			if !p.process.killed.Load() && (outcome == dispatch.OutcomeAccepted || outcome == dispatch.OutcomeElsewhere) {
				return true
			}
		}
		wait.For(g.t.Context(), 250*time.Millisecond)
	}
	return false
}

// Kinds of jobs that are submitted before power is lost.
const (
	powerShort = iota
	powerChain
	powerScheduled
	powerFailing
	powerLasting
	powerKinds
)

// powerJob returns a job of a kind.
func powerJob(id, kind int) *workload.Job {
	id = id*powerKinds + kind
	switch kind {
	case powerChain:
		return jobOf(id, tasks(3, 8000), tasks(1, 8000), tasks(2, 8000))
	case powerScheduled:
		job := jobOf(id, tasks(2, 4000))
		job.Occurrences, job.StartAt, job.Interval = 3, time.Now().Add(500*time.Millisecond), time.Second
		return job
	case powerLasting:
		return jobOf(id, longRunning(2, 28000))
	default:
		return jobOf(id, tasks(4, 8000))
	}
}

// powerWork is the work of the tasks of powerJob.
func powerWork(task workload.TaskID, run int) (time.Duration, bool) {
	id, err := strconv.ParseInt(task.Job, 16, 64)
	if err != nil {
		panic(err)
	}
	switch id % powerKinds {
	case powerLasting:
		return emulator.Endless, false
	case powerFailing:
		return 300 * time.Millisecond, run == 1 && task.Index == 0
	default:
		return time.Duration(200+200*task.Index) * time.Millisecond, false
	}
}

// powerStep is one change, after which jobs are submitted and power may be lost.
type powerStep struct {
	after  time.Duration
	store  emulator.StoreFault
	behind time.Duration
	peers  peerFault
	kinds  []int
	// refused has the cells whose owners the store refuses.
	refused []string
	// cut has the cells whose owners are replaced, strike after the jobs were sent, or once one was accepted.
	cut          []string
	strike, down time.Duration
	accepted     bool
	// known is whether the loss of power is known to the successors; alive owners have not lost it.
	known, alive bool
	// crash and back are runners that lose power with the owners and that return; -1 for none.
	crash, back int
}

func drawPowerStep(rt *rapid.T, cells []string, runners int) powerStep {
	ms := func(name string, highest int) time.Duration {
		return time.Duration(rapid.IntRange(0, highest).Draw(rt, name)) * time.Millisecond
	}
	s := powerStep{after: ms("after", 5000), strike: ms("strike", 60), down: ms("down", 2500), crash: -1, back: -1,
		peers: peerFault(rapid.IntRange(0, int(peerFaults)-1).Draw(rt, "peers")), accepted: rapid.Bool().Draw(rt, "accepted"),
		known: rapid.Bool().Draw(rt, "known"), alive: rapid.IntRange(0, 3).Draw(rt, "alive") == 0, kinds: rapid.SliceOfN(rapid.IntRange(0, powerKinds-1), 0, 3).Draw(rt, "kinds")}
	if rapid.Bool().Draw(rt, "store") {
		s.store = emulator.StoreFault(rapid.IntRange(0, int(emulator.StoreAppliesLate)).Draw(rt, "fault"))
	}
	if rapid.IntRange(0, 3).Draw(rt, "old reads") == 0 {
		s.behind = ms("behind", 3000)
	}
	for _, cell := range cells {
		if rapid.IntRange(0, 4).Draw(rt, "refused") == 0 {
			s.refused = append(s.refused, cell)
		}
	}
	switch rapid.IntRange(0, 4).Draw(rt, "cut") {
	case 0:
		s.cut = []string{cells[rapid.IntRange(0, len(cells)-1).Draw(rt, "cell")]}
	case 1, 2:
		s.cut = cells
	}
	switch rapid.IntRange(0, 4).Draw(rt, "runner") {
	case 0, 1:
		s.crash = rapid.IntRange(0, runners-1).Draw(rt, "crash")
	case 2:
		s.back = rapid.IntRange(0, runners-1).Draw(rt, "back")
	}
	return s
}

// Whenever the owners of one or all cells lose power or are taken for dead, also right after jobs were accepted or while commits and delegations
// are in flight, and whatever the store and the other cells answer,
// each job that was accepted is completed or runs at the end, and nothing runs twice.
func TestAcceptedJobsRunAfterPowerLoss(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const runners = 3
		cells := []string{"c0", "c1"}
		var plan []powerStep
		for range rapid.IntRange(2, 9).Draw(rt, "steps") {
			plan = append(plan, drawPowerStep(rt, cells, runners*len(cells)))
		}
		synctest.Test(t, func(t *testing.T) {
			if broken := playPowerLoss(t, plan, runners); broken != "" {
				rt.Errorf("%s\nplan: %+v", broken, plan)
			}
		})
	})
}

// playPowerLoss plays steps and returns what broke.
func playPowerLoss(t *testing.T, plan []powerStep, runners int) (broken string) {
	g := &powerGrid{deployment: newDeployment(t, powerWork, runners, runners), owner: map[string]*powered{}, upAt: map[string]time.Time{},
		dead: map[string]bool{}}
	t.Cleanup(g.background.Wait)
	g.background.Go(g.reportLoads)
	for _, cell := range g.cells {
		g.background.Go(func() { g.keepOwned(cell) })
	}
	time.Sleep(3 * time.Second)
	down := map[string]bool{}
	var jobs []*workload.Job
	var accepted sync.Map
	// The first cell is so full that it delegates tasks once it loses a runner.
	for i, count := range []int{2*runners - 1, runners} {
		job := jobOf((i+1)*powerKinds+powerLasting, longRunning(count, 28000))
		g.submit(g.ownerOf(g.cells[i]).Cell, job)
		jobs = append(jobs, job)
	}
	time.Sleep(time.Second)
	for _, s := range plan {
		time.Sleep(s.after)
		g.store.SetFault(s.store)
		g.store.SetReadsBehind(s.behind)
		g.setFault(s.peers)
		g.refuse(s.refused)
		anyAccepted := make(chan struct{}, len(s.kinds))
		for i, kind := range s.kinds {
			job := powerJob(len(jobs)+1, kind)
			jobs = append(jobs, job)
			g.background.Go(func() {
				if g.send(job, i) {
					accepted.Store(job, true)
					anyAccepted <- struct{}{}
				}
			})
		}
		if s.accepted && len(s.kinds) > 0 {
			wait.ForSignal(t.Context(), 3*time.Second, anyAccepted)
		} else {
			wait.For(t.Context(), s.strike)
		}
		g.replace(s.cut, s.down, s.known, s.alive)
		all := slices.Concat(g.runners["c0"], g.runners["c1"])
		if s.crash >= 0 {
			g.fleet.Crash(all[s.crash].ID)
			down[all[s.crash].ID] = true
		}
		if s.back >= 0 && down[all[s.back].ID] {
			g.fleet.Restart(all[s.back].ID)
			delete(down, all[s.back].ID)
		}
	}
	g.store.SetFault(emulator.StoreWorks)
	g.store.SetReadsBehind(0)
	g.setFault(peerWorks)
	g.refuse(nil)
	for id := range down {
		g.fleet.Restart(id)
	}
	time.Sleep(2*outageBound + 2*settleTime)
	return g.check(jobs, &accepted)
}

// check returns what is broken at the end.
func (g *powerGrid) check(jobs []*workload.Job, accepted *sync.Map) string {
	if overlaps := g.fleet.Overlaps(); len(overlaps) > 0 {
		return fmt.Sprintf("tasks ran in two places at once: %v", overlaps)
	}
	starts := g.fleet.Starts()
	for _, end := range g.fleet.Ends() {
		if end.Reason != runner.EndDone || !end.Acked {
			continue
		}
		for _, start := range starts {
			if start.Task == end.Task && start.At.After(end.At) {
				return fmt.Sprintf("task %s started again after its end was acknowledged", start.Task)
			}
		}
	}
	for _, job := range jobs {
		page, err := g.store.Range(g.t.Context(), dispatch.TableIndex, "i0", job.ID, job.ID+"\x00", 1)
		if err != nil {
			return err.Error()
		}
		_, isAccepted := accepted.Load(job)
		if len(page.Rows) == 0 {
			if isAccepted {
				return fmt.Sprintf("accepted job %s has no index row", job.ID)
			}
			continue
		}
		owner := g.ownerOf(string(page.Rows[0].Value))
		if !job.LongRunning() {
			if got := state(owner.Cell, job); got != workload.StateCompleted {
				return fmt.Sprintf("job %s is %q, accepted: %t", job.ID, got, isAccepted)
			}
			continue
		}
		if running := g.runningIn("c0", job) + g.runningIn("c1", job); running != job.Steps[0].Count {
			return fmt.Sprintf("%d tasks of job %s run, want %d", running, job.ID, job.Steps[0].Count)
		}
	}
	return ""
}

// A host asked for the origin's row as of its own newest commit before each start. While reads of the store were old, no read was new enough, and
// each attempt began with a commit: a delegated task never started.
func TestHostedTasksStartWhileReadsAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 2)
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		_, _ = d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job := jobOf(1, longRunning(2, 28000))
		d.submit(first, job)
		first.SetEvacuated(map[string]bool{"chipre": true})
		d.store.SetReadsBehind(3 * time.Second)
		time.Sleep(15 * time.Second)
		assert.Equal(t, d.runningIn("c0", job)+d.runningIn("c1", job), 2)
		d.assertNoOverlap()
	})
}

// An origin read the host's row as of its own newest commit before it took a task back, so that the task belonged to no cell while reads of the
// store were old and the origin had other work.
func TestTasksAreTakenBackWhileReadsAreOld(t *testing.T) {
	for _, behind := range []time.Duration{0, time.Second, 3 * time.Second} {
		t.Run(behind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				job := jobOf(1, longRunning(2, 56000))
				d := newDeployment(t, func(id workload.TaskID, _ int) (time.Duration, bool) {
					if id.Job == job.ID {
						return emulator.Endless, false
					}
					return 100 * time.Millisecond, false
				}, 2, 2)
				go d.reportLoads()
				first, _ := d.own("c0", "a", d.store, d.fleet)
				_, _ = d.own("c1", "b", d.store, d.fleet)
				time.Sleep(3 * time.Second)
				d.submit(first, job)
				time.Sleep(time.Second)
				d.store.SetReadsBehind(behind)
				d.setFault(peerLosesTakeovers)
				d.fleet.Crash("c0-r1")
				time.Sleep(lease + 2*time.Second)
				d.fleet.Restart("c0-r1")
				began := time.Now()
				for k := 0; time.Since(began) < time.Minute && d.runningIn("c0", job) != 2; k++ {
					d.submit(first, jobOf(100+k, tasks(1, 1000)))
					time.Sleep(200 * time.Millisecond)
				}
				// The host is asked for 4 s, and the offer may have been repeated once.
				assert.Assert(t, time.Since(began) < 12*time.Second, "%v", time.Since(began))
				d.assertNoOverlap()
			})
		})
	}
}
