package dispatch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// peerFault is what happens to the messages between the owners of two cells.
type peerFault int

const (
	peerWorks peerFault = iota
	// peerLosesRequests never delivers, peerLosesResponses executes without a response, and peerAppliesLate executes after
	// emulator.LateDelay without a response.
	peerLosesRequests
	peerLosesResponses
	peerAppliesLate
	// peerLosesTakeovers grants reservations, and loses requests to take tasks over.
	peerLosesTakeovers
	peerFaults
)

// errPeer is the error of a message without a response.
var errPeer = errors.New("no response from the other cell")

// deployment is several cells with runners of their own. The owners exchange delegations.
type deployment struct {
	*cluster
	cells []string

	mu      sync.Mutex // guards the fields below
	runners map[string][]runner.Info
	owners  map[string]*dispatch.Cell
	loads   map[string]dispatch.Load
	fault   peerFault
	// offers counts the delegations that reached an owner.
	offers int
}

// newDeployment returns cells with the given numbers of runners of 64 cores.
func newDeployment(t *testing.T, work emulator.Work, runners ...int) *deployment {
	t.Helper()
	d := &deployment{cluster: newCluster(t, 0, work), runners: map[string][]runner.Info{}, owners: map[string]*dispatch.Cell{}, loads: map[string]dispatch.Load{}}
	for i, count := range runners {
		cell := fmt.Sprintf("c%d", i)
		d.cells = append(d.cells, cell)
		for k := range count {
			info := runner.Info{ID: fmt.Sprintf("%s-r%d", cell, k), Service: "kioscos", Addr: fmt.Sprintf("%s-r%d", cell, k), Domain: "chipre", Born: 1,
				Capacity: workload.Resources{CPU: 64000, MemoryMB: 256000}}
			d.runners[cell] = append(d.runners[cell], info)
			d.fleet.Add(info)
		}
	}
	return d
}

// own makes a node the owner of a cell.
func (d *deployment) own(cell, node string, s store.Store, runners runner.Client) (*dispatch.Cell, context.CancelFunc) {
	d.t.Helper()
	ctx, cancel := context.WithCancel(d.t.Context())
	logs := d.logs
	if logs == nil {
		logs = io.Discard
	}
	d.registry = prometheus.NewRegistry()
	cfg := dispatch.Config{Name: cell, Part: cell, IndexPart: func(string) string { return "i0" }, Node: node, Addr: node, Incarnation: node,
		Region: "caldas-centro", Regions: map[string]string{"chipre": "caldas-centro"}, Lease: lease, MaxLease: maxLease, Retention: 2 * time.Minute,
		Store: s, Runners: runners, Log: observe.NewLogger(logs, "test", node), Metrics: dispatch.NewMetrics(d.registry),
		Peers: &cellPeers{d, cell}}
	var c *dispatch.Cell
	err := dispatch.ErrOwned
	for errors.Is(err, dispatch.ErrOwned) {
		previous, version, readErr := dispatch.ReadOwner(ctx, d.store, cell)
		assert.NilError(d.t, readErr)
		c, err = dispatch.Acquire(ctx, cfg, previous, version, d.runners[cell])
	}
	assert.NilError(d.t, err)
	for _, info := range d.runners[cell] {
		c.SetRunner(ctx, info, true)
	}
	d.mu.Lock()
	d.owners[cell] = c
	d.mu.Unlock()
	go c.Run(ctx)
	d.t.Cleanup(func() {
		cancel()
		<-c.Done()
	})
	return c, cancel
}

// reportLoads passes on the loads of the cells like heartbeats do.
func (d *deployment) reportLoads() {
	for d.t.Context().Err() == nil {
		d.mu.Lock()
		owners := make([]*dispatch.Cell, 0, len(d.owners))
		for _, c := range d.owners {
			owners = append(owners, c)
		}
		d.mu.Unlock()
		for _, c := range owners {
			load := c.LoadWithPlaces()
			d.mu.Lock()
			d.loads[load.Cell] = load
			d.mu.Unlock()
		}
		wait.For(d.t.Context(), 800*time.Millisecond)
	}
}

func (d *deployment) setFault(fault peerFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

// cellPeers is the connection of one cell to the others.
type cellPeers struct {
	*deployment
	cell string
}

func (p *cellPeers) Hosts(step *workload.Step, service string) []dispatch.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	var hosts []dispatch.Host
	for _, cell := range p.cells {
		if load := p.loads[cell]; cell != p.cell {
			now, longRunning := load.PlacesFor(step, service)
			hosts = append(hosts, dispatch.Host{Cell: cell, Places: now, LongRunningPlaces: longRunning})
		}
	}
	return hosts
}

func (p *cellPeers) Part(cell string) string { return cell }

func (p *cellPeers) Cells() []string { return p.cells }

// send delivers a message to the present owner of a cell.
func (p *cellPeers) send(ctx context.Context, cell string, deliver func(ctx context.Context, owner *dispatch.Cell)) error {
	p.mu.Lock()
	fault, owner := p.fault, p.owners[cell]
	p.mu.Unlock()
	switch fault {
	case peerLosesRequests, peerLosesTakeovers:
		wait.For(ctx, time.Second)
		return errPeer
	case peerAppliesLate:
		time.AfterFunc(emulator.LateDelay, func() {
			late, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			deliver(late, owner)
		})
		wait.For(ctx, time.Second)
		return errPeer
	}
	deliver(ctx, owner)
	if fault == peerLosesResponses {
		return errPeer
	}
	return ctx.Err()
}

func (p *cellPeers) Delegate(ctx context.Context, cell string, delegations []*dispatch.Delegation) ([]dispatch.Outcome, error) {
	encoded, err := json.Marshal(delegations)
	if err != nil {
		return nil, err
	}
	outcomes := make(chan []dispatch.Outcome, 1)
	if p.grants(delegations) {
		return p.ownerOf(cell).TakeOver(ctx, delegations), nil
	}
	err = p.send(ctx, cell, func(ctx context.Context, owner *dispatch.Cell) {
		var received []*dispatch.Delegation
		if err := json.Unmarshal(encoded, &received); err != nil {
			panic(err)
		}
		p.mu.Lock()
		p.offers++
		p.mu.Unlock()
		outcomes <- owner.TakeOver(ctx, received)
	})
	if err != nil {
		return nil, err
	}
	return <-outcomes, nil
}

func (d *deployment) ownerOf(cell string) *dispatch.Cell {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owners[cell]
}

// grants reports whether a request for reservations is answered although requests to take tasks over are lost.
func (p *cellPeers) grants(delegations []*dispatch.Delegation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault == peerLosesTakeovers && delegations[0].Reserve
}

func (p *cellPeers) CancelDelegated(ctx context.Context, cell, jobID string) error {
	return p.send(ctx, cell, func(ctx context.Context, owner *dispatch.Cell) { _, _ = owner.Cancel(ctx, jobID) })
}

// runningIn returns the number of tasks of a job that run on the runners of a cell.
func (d *deployment) runningIn(cell string, job *workload.Job) int {
	running := 0
	for task, runners := range d.fleet.Runs() {
		for _, id := range runners {
			if task.Job == job.ID && len(id) > len(cell) && id[:len(cell)+1] == cell+"-" {
				running++
			}
		}
	}
	return running
}

// taskResumeBound is the time within which a long-running task runs again once its former run has surely ended, with free capacity
// in any cell.
const taskResumeBound = 3 * time.Second

// A cell that had lost more runners than its reserve kept its long-running tasks waiting while another cell was empty.
func TestTasksOfAFullCellRunInAnotherCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 4, 4)
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		second, _ := d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job := jobOf(1, longRunning(8, 28000))
		d.submit(first, job)
		time.Sleep(time.Second)
		assert.Equal(t, d.runningIn("c0", job), 8)
		d.fleet.Crash("c0-r1")
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c0", job), 6)
		assert.Equal(t, d.runningIn("c1", job), 2, "tasks of the lost runner have free capacity in the other cell")
		// The host restarts them like its own.
		d.fleet.Crash(d.fleet.Starts()[len(d.fleet.Starts())-1].Runner)
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c1", job), 2)
		assert.Equal(t, state(first, job), workload.StateRunning)
		// The end of the job ends them too.
		found, err := first.Cancel(t.Context(), job.ID)
		assert.Assert(t, found && err == nil)
		time.Sleep(time.Second)
		assert.Equal(t, d.runningIn("c0", job)+d.runningIn("c1", job), 0)
		d.assertNoOverlap()
		_ = second
	})
}

// loseRunnerOf crashes a runner that runs a task of a job, and removes it from service discovery.
func (d *deployment) loseRunnerOf(owner *dispatch.Cell, job *workload.Job) {
	d.t.Helper()
	for task, ids := range d.fleet.Runs() {
		if task.Job == job.ID && len(ids) > 0 {
			d.loseRunner(owner, ids[0])
			return
		}
	}
	d.t.Fatal("no task of the job runs")
}

// loseRunner crashes a runner and removes it from service discovery.
func (d *deployment) loseRunner(owner *dispatch.Cell, id string) {
	d.fleet.Crash(id)
	for _, cell := range d.cells {
		for _, info := range d.runners[cell] {
			if info.ID == id {
				owner.SetRunner(d.t.Context(), info, false)
			}
		}
	}
}

// A cell in which one large task waited without a place refused all tasks of other cells, also those that fitted.
func TestHostTakesTasksThatFitBesideItsWaitingTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 3)
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		second, _ := d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job, large, small := jobOf(1, longRunning(4, 24000)), jobOf(2, longRunning(2, 60000)), jobOf(3, longRunning(1, 8000))
		d.submit(first, job)
		d.submit(second, large)
		time.Sleep(time.Second)
		d.submit(second, small)
		time.Sleep(time.Second)
		d.loseRunnerOf(second, large)
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c1", large), 1)
		d.loseRunner(first, "c0-r1")
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c0", job), 2)
		assert.Equal(t, d.runningIn("c1", job), 2, "two tasks fit beside the small one, whatever else waits there")
		d.assertNoOverlap()
	})
}

// Cells did not see places whose size lies between two of the reported sizes.
func TestPlacesBetweenReportedSizesAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 1)
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		second, _ := d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job, other := jobOf(1, longRunning(4, 28000)), jobOf(2, longRunning(1, 34000))
		d.submit(first, job)
		d.submit(second, other)
		time.Sleep(time.Second)
		d.loseRunner(first, "c0-r1")
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c0", job), 2)
		assert.Equal(t, d.runningIn("c1", job), 1, "30 cores are free there")
		d.assertNoOverlap()
	})
}

// A runner that did not respond but was still listed counted as a place, so that a cell took tasks over that it could not start.
func TestTasksAreNotDelegatedToSilentRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 2, 1)
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		_, _ = d.own("c1", "b", d.store, d.fleet)
		_, _ = d.own("c2", "c", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job := jobOf(1, longRunning(4, 28000))
		d.submit(first, job)
		time.Sleep(time.Second)
		d.fleet.Crash("c1-r0")
		d.fleet.Crash("c1-r1")
		d.loseRunner(first, "c0-r1")
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c0", job), 2)
		assert.Equal(t, d.runningIn("c2", job), 2)
		d.assertNoOverlap()
	})
}

// A task that is being taken over counted twice until it was durable: on its runner and as one that needs a place.
func TestTasksThatAreTakenOverCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 1, 1)
		_, _ = d.own("c0", "a", d.store, d.fleet)
		host, _ := d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		d.store.SetFault(emulator.StoreSilent)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go host.TakeOver(ctx, []*dispatch.Delegation{{Origin: "c0", Job: jobOf(1, longRunning(1, 28000)), Version: 1, Tasks: []dispatch.DelegatedTask{{}}}})
		time.Sleep(10 * time.Millisecond)
		request := &dispatch.Delegation{Origin: "c0", Job: jobOf(2, longRunning(1, 28000)), Reserve: true, Tasks: []dispatch.DelegatedTask{{}}}
		assert.DeepEqual(t, host.TakeOver(ctx, []*dispatch.Delegation{request}), []dispatch.Outcome{dispatch.OutcomeAccepted})
		// One runner holds two such tasks.
		third := &dispatch.Delegation{Origin: "c0", Job: jobOf(3, longRunning(1, 28000)), Reserve: true, Tasks: []dispatch.DelegatedTask{{}}}
		assert.DeepEqual(t, host.TakeOver(ctx, []*dispatch.Delegation{third}), []dispatch.Outcome{dispatch.OutcomeFull})
		// A reservation that is not used ends.
		time.Sleep(3 * time.Second)
		d.store.SetFault(emulator.StoreWorks)
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, host.TakeOver(t.Context(), []*dispatch.Delegation{third}), []dispatch.Outcome{dispatch.OutcomeAccepted})
	})
}

// A task that was offered to another cell could not use a place that became free at home until the offer had been taken back.
func TestTaskStartsAtHomeWhileAnotherCellIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 3, 2)
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		_, _ = d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job, other := jobOf(1, longRunning(4, 28000)), jobOf(2, longRunning(1, 48000))
		d.submit(first, other)
		time.Sleep(time.Second)
		d.submit(first, job)
		time.Sleep(time.Second)
		d.setFault(peerLosesRequests)
		d.loseRunnerOf(first, job)
		time.Sleep(lease + time.Second)
		assert.Equal(t, d.runningIn("c0", job), 2)
		found, err := first.Cancel(t.Context(), other.ID)
		assert.Assert(t, found && err == nil)
		time.Sleep(time.Second)
		assert.Equal(t, d.runningIn("c0", job), 4, "the runner of the cancelled job is free")
		d.assertNoOverlap()
	})
}

// A repeated submission that reaches the host must name the cell that has the job, or its state would be asked there.
func TestSubmissionOfADelegatedJobNamesItsCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 2)
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		second, _ := d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job := jobOf(1, longRunning(2, 56000))
		d.submit(first, job)
		time.Sleep(time.Second)
		d.fleet.Crash("c0-r1")
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c1", job), 1)
		outcome, cell := second.Submit(t.Context(), job, false)
		assert.Equal(t, outcome, dispatch.OutcomeElsewhere)
		assert.Equal(t, cell, "c0")
	})
}

// The origin of a job may be lost before it has told the host that the job was cancelled. The host started failed tasks of the job again,
// seconds after the client had its acknowledgement.
func TestHostStartsNoTaskOfACancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 3)
		go d.reportLoads()
		first, stopFirst := d.own("c0", "a", d.store, d.fleet)
		_, _ = d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job := jobOf(1, longRunning(2, 56000))
		d.submit(first, job)
		time.Sleep(time.Second)
		d.fleet.Crash("c0-r1")
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c1", job), 1)
		d.setFault(peerLosesRequests)
		found, err := first.Cancel(t.Context(), job.ID)
		assert.Assert(t, found && err == nil)
		stopFirst()
		<-first.Done()
		starts := len(d.fleet.Starts())
		d.fleet.Crash(d.fleet.Starts()[starts-1].Runner)
		time.Sleep(lease + settleTime)
		assert.Equal(t, len(d.fleet.Starts()), starts)
		assert.Equal(t, d.runningIn("c1", job), 0)
	})
}

// New owners on both sides must continue a delegation whatever its last message was.
func TestDelegationIsContinuedByNewOwners(t *testing.T) {
	for fault := range peerFaults {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, fixedDuration(emulator.Endless), 3, 3)
				go d.reportLoads()
				first, stopFirst := d.own("c0", "a", d.store, d.fleet)
				second, stopSecond := d.own("c1", "b", d.store, d.fleet)
				time.Sleep(3 * time.Second)
				job := jobOf(1, longRunning(3, 52000))
				d.submit(first, job)
				time.Sleep(time.Second)
				d.setFault(fault)
				d.fleet.Crash("c0-r1")
				time.Sleep(lease + 500*time.Millisecond + 1500*time.Millisecond)
				stopFirst()
				stopSecond()
				<-first.Done()
				<-second.Done()
				first, _ = d.own("c0", "c", d.store, d.fleet)
				_, _ = d.own("c1", "d", d.store, d.fleet)
				time.Sleep(time.Second)
				d.setFault(peerWorks)
				time.Sleep(lease + settleTime)
				assert.Equal(t, d.runningIn("c0", job), 2)
				assert.Equal(t, d.runningIn("c1", job), 1)
				d.assertNoOverlap()
				_, err := first.Cancel(t.Context(), job.ID)
				assert.NilError(t, err)
				time.Sleep(time.Second)
				assert.Equal(t, d.runningIn("c0", job)+d.runningIn("c1", job), 0)
			})
		})
	}
}

// delegationStep is one change while tasks are delegated.
type delegationStep struct {
	after time.Duration
	// cell is the one whose owner is cut off from the store or replaced, and whose runner crashes or returns.
	cell             int
	cutStore         bool
	takeover, kill   bool
	crash, comesBack int
	fault            peerFault
	cancel           int
}

func drawDelegationStep(rt *rapid.T, cells, runners, jobs int) delegationStep {
	s := delegationStep{after: time.Duration(rapid.IntRange(1, 40).Draw(rt, "after")) * 100 * time.Millisecond,
		cell: rapid.IntRange(0, cells-1).Draw(rt, "cell"), crash: -1, comesBack: -1, cancel: -1,
		fault: peerFault(rapid.IntRange(0, int(peerFaults)-1).Draw(rt, "fault"))}
	switch rapid.IntRange(0, 6).Draw(rt, "kind") {
	case 0:
		s.cutStore = true
	case 1, 2:
		s.takeover, s.kill = true, rapid.Bool().Draw(rt, "kill")
	case 3, 4:
		s.crash = rapid.IntRange(0, runners-1).Draw(rt, "crash")
	case 5:
		s.comesBack = rapid.IntRange(0, runners-1).Draw(rt, "back")
	case 6:
		s.cancel = rapid.IntRange(0, jobs-1).Draw(rt, "cancel")
	}
	return s
}

// Whatever happens to the owners, runners and messages while tasks pass between cells, no task runs in two places, a cancelled job
// ends everywhere, and at the end each task of the others runs.
func TestDelegatedTasksRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const cells, runners, jobs = 2, 4, 3
		var plan []delegationStep
		for range rapid.IntRange(3, 9).Draw(rt, "steps") {
			plan = append(plan, drawDelegationStep(rt, cells, runners, jobs))
		}
		synctest.Test(t, func(t *testing.T) {
			if broken := playDelegations(t, plan, cells, runners, jobs); broken != "" {
				rt.Errorf("%s\nplan: %+v", broken, plan)
			}
		})
	})
}

// A host that has lost runners returns tasks. Whatever happens meanwhile, the rules of TestDelegatedTasksRunOnce hold.
func TestReturnedTasksRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const cells, runners, jobs = 2, 4, 3
		var plan []delegationStep
		for crash := range rapid.IntRange(2, 3).Draw(rt, "lost") {
			plan = append(plan, delegationStep{after: time.Duration(rapid.IntRange(10, 40).Draw(rt, "after")) * 100 * time.Millisecond, cell: 1,
				crash: crash, comesBack: -1, cancel: -1})
		}
		// The leases of the lost runners end meanwhile.
		plan = append(plan, delegationStep{after: lease, crash: -1, comesBack: -1, cancel: -1, fault: peerFault(rapid.IntRange(0, int(peerFaults)-1).Draw(rt, "fault"))})
		for range rapid.IntRange(3, 9).Draw(rt, "steps") {
			plan = append(plan, drawDelegationStep(rt, cells, runners, jobs))
		}
		synctest.Test(t, func(t *testing.T) {
			if broken := playDelegations(t, plan, cells, runners, jobs); broken != "" {
				rt.Errorf("%s\nplan: %+v", broken, plan)
			}
		})
	})
}

// playDelegations plays steps against cells of which each is nearly full, and returns what broke.
func playDelegations(t *testing.T, plan []delegationStep, cells, runners, jobs int) (broken string) {
	d := newDeployment(t, fixedDuration(emulator.Endless), runners, runners)
	go d.reportLoads()
	owners := make([]*dispatch.Cell, cells)
	stops := make([]context.CancelFunc, cells)
	links := make([]*link, cells)
	nodes := 0
	own := func(i int) {
		nodes++
		links[i] = &link{Fleet: d.fleet, Store: d.store}
		owners[i], stops[i] = d.own(d.cells[i], fmt.Sprintf("n%d", nodes), links[i], links[i])
	}
	for i := range cells {
		own(i)
	}
	time.Sleep(3 * time.Second)
	submitted := make([]*workload.Job, jobs)
	// The outcome of a cancellation without a response is not known, so such a job may go on or not.
	cancelled, undecided := make([]bool, jobs), make([]bool, jobs)
	for i := range submitted {
		submitted[i] = jobOf(i+1, longRunning(3+(i+1)%2, 28000))
		d.submit(owners[i%cells], submitted[i])
	}
	time.Sleep(time.Second)
	// The tasks of one runner wait for another one when the steps begin.
	down := map[string]bool{d.runners["c0"][0].ID: true}
	d.fleet.Crash(d.runners["c0"][0].ID)
	time.Sleep(lease + 300*time.Millisecond)
	for _, s := range plan {
		time.Sleep(s.after)
		d.setFault(s.fault)
		l := links[s.cell]
		l.cutStore.Store(s.cutStore)
		switch {
		case s.takeover:
			if s.kill {
				l.cutStore.Store(true)
			}
			stops[s.cell]()
			<-owners[s.cell].Done()
			own(s.cell)
		case s.crash >= 0:
			id := d.runners[d.cells[s.cell]][s.crash].ID
			d.fleet.Crash(id)
			down[id] = true
		case s.comesBack >= 0:
			if id := d.runners[d.cells[s.cell]][s.comesBack].ID; down[id] {
				d.fleet.Restart(id)
				delete(down, id)
			}
		case s.cancel >= 0 && !cancelled[s.cancel]:
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			_, err := owners[s.cancel%cells].Cancel(ctx, submitted[s.cancel].ID)
			cancel()
			cancelled[s.cancel], undecided[s.cancel] = err == nil, err != nil
		}
	}
	d.setFault(peerWorks)
	for _, l := range links {
		l.cutStore.Store(false)
	}
	for id := range down {
		d.fleet.Restart(id)
	}
	time.Sleep(outageBound + settleTime)
	if overlaps := d.fleet.Overlaps(); len(overlaps) > 0 {
		return fmt.Sprintf("tasks ran in two places at once: %v", overlaps)
	}
	for i, job := range submitted {
		if undecided[i] {
			continue
		}
		want := job.Steps[0].Count
		if cancelled[i] {
			want = 0
		}
		if running := d.runningIn("c0", job) + d.runningIn("c1", job); running != want {
			return fmt.Sprintf("%d tasks of job %d run, want %d", running, i, want)
		}
	}
	return ""
}
