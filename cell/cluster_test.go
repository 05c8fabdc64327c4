package cell_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/cell"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/settings"
)

// layout is the size of a test deployment.
type layout struct {
	domains, nodes, workers int // nodes and workers for each domain
	cells                   int
	capacity                job.Resources
	seed                    uint64
	planner                 func() cell.Planner
	offline                 time.Duration
}

func (l layout) domainName(i int) string { return string(rune('a' + i)) }

// cluster is a test deployment in virtual time.
type cluster struct {
	t       *testing.T
	layout  layout
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	rng     *rand.Rand
	net     *network
	table   *standin.Table
	history *history
	workers map[string]*fakeWorker
	conf    settings.Effective
	logTo   io.Writer
	// stopTime is how long a worker takes to stop a task.
	stopTime time.Duration

	mu    sync.Mutex // guards the fields below
	nodes map[string]*node
	vms   []infra.VM
	saved map[string]time.Duration
	jobs  []job.Job
}

func newCluster(t *testing.T, l layout) *cluster {
	if l.planner == nil {
		l.planner = newFirstFit
	}
	cl := &cluster{
		t: t, layout: l, rng: rand.New(rand.NewPCG(l.seed, 1)), table: standin.NewTable(), history: newHistory(),
		workers: map[string]*fakeWorker{}, nodes: map[string]*node{}, saved: map[string]time.Duration{},
		conf: settings.Defaults(), logTo: io.Discard, stopTime: defaultStopTime,
	}
	cl.ctx, cl.cancel = context.WithCancel(context.Background())
	cl.net = &network{ctx: cl.ctx, rng: rand.New(rand.NewPCG(l.seed, 2)), cut: map[[2]string]bool{}}
	cl.conf.Sched.CellsPerDomain = max(1, l.cells)
	if l.offline > 0 {
		cl.conf.Sched.OfflineLimit = settings.Duration(l.offline)
	}
	for d := range l.domains {
		cl.addDomain(l.domainName(d))
	}
	for _, id := range sortedKeys(cl.workers) {
		cl.workers[id].boot()
	}
	return cl
}

func (cl *cluster) addDomain(domain string) {
	for i := range cl.layout.nodes {
		id := fmt.Sprintf("%s-n%d", domain, i)
		cl.vms = append(cl.vms, infra.VM{
			ID: id, Role: infra.RoleEntry, State: infra.VMLive, Region: "r", Domain: domain, SchedAddr: id,
		})
	}
	for i := range cl.layout.workers {
		vm := infra.VM{
			ID: fmt.Sprintf("%s-w%d", domain, i), Role: infra.RoleWorker, State: infra.VMLive, Region: "r",
			Domain: domain, Rack: fmt.Sprintf("%s-rack%d", domain, i/8), Capacity: cl.layout.capacity,
		}
		vm.Addr = vm.ID
		cl.vms = append(cl.vms, vm)
		cl.workers[vm.ID] = &fakeWorker{
			cluster: cl, vm: vm, attachedCh: make(chan struct{}, 1), clockRate: 0.99 + 0.02*cl.rng.Float64(), rng: rand.New(rand.NewPCG(cl.layout.seed, uint64(len(cl.vms)))),
		}
	}
}

// start starts every node.
func (cl *cluster) start() {
	for _, vm := range cl.vms {
		if vm.Role == infra.RoleEntry {
			cl.startNode(vm)
		}
	}
}

// close ends every goroutine of the synctest bubble.
func (cl *cluster) close() {
	cl.cancel()
	for _, n := range cl.nodes {
		n.kill()
	}
	for _, f := range cl.workers {
		f.crash()
	}
	cl.net.wg.Wait()
	cl.wg.Wait()
}

// runCluster runs body with a cluster in virtual time and checks the history afterwards.
func runCluster(t *testing.T, l layout, body func(cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, l)
		defer cl.close()
		cl.start()
		body(cl)
		for _, violation := range cl.violations() {
			t.Error(violation)
		}
	})
}

func (cl *cluster) violations() []string {
	capacity := map[string]job.Resources{}
	for id, f := range cl.workers {
		capacity[id] = f.vm.Capacity
	}
	return append(cl.history.check(capacity), cl.checkRows()...)
}

// checkRows checks that each accepted task has exactly one row, and that no worker is overcommitted in the ledger.
func (cl *cluster) checkRows() []string {
	rows := map[job.TaskID][]string{}
	committed := map[string]job.Resources{}
	for _, row := range cl.scan("") {
		switch {
		case strings.HasPrefix(row.Key, "queue/"):
			t, err := ledger.Decode[job.Task](row.Key, row.Value)
			assert.NilError(cl.t, err)
			rows[t.ID] = append(rows[t.ID], row.Key)
		case strings.HasPrefix(row.Key, "cell/") && !strings.HasSuffix(row.Key, "/owner"):
			a, err := ledger.Decode[ledger.Assignment](row.Key, row.Value)
			assert.NilError(cl.t, err)
			rows[a.Task.ID] = append(rows[a.Task.ID], row.Key)
			committed[a.Worker] = committed[a.Worker].Add(a.Commitment)
		case strings.HasPrefix(row.Key, "done/"):
			id := job.TaskID(strings.TrimPrefix(row.Key, "done/"))
			rows[id] = append(rows[id], row.Key)
		}
	}
	var violations []string
	for _, id := range sortedKeys(committed) {
		if !committed[id].Fits(cl.workers[id].vm.Capacity) {
			violations = append(violations, fmt.Sprintf("G1: the ledger commits %+v of %s", committed[id], id))
		}
	}
	for _, j := range cl.accepted() {
		for i := range j.Tasks {
			if id := job.MakeTaskID(j.ID, i); len(rows[id]) != 1 {
				violations = append(violations, fmt.Sprintf("lost or doubled: task %s has rows %v", id, rows[id]))
			}
		}
	}
	return violations
}

func (cl *cluster) scan(prefix string) []infra.Row {
	faults := cl.table.Faults()
	cl.table.SetFaults(standin.TableFaults{})
	defer cl.table.SetFaults(faults)
	rows, err := cl.table.Scan(context.Background(), prefix, "", 1_000_000)
	assert.NilError(cl.t, err)
	return rows
}

func (cl *cluster) accepted() []job.Job {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.Clone(cl.jobs)
}

// commit applies an operator's transaction regardless of the injected table faults.
func (cl *cluster) commit(txn infra.Txn) error {
	faults := cl.table.Faults()
	cl.table.SetFaults(standin.TableFaults{})
	defer cl.table.SetFaults(faults)
	_, err := cl.table.Commit(context.Background(), txn)
	return err
}

// submit submits a job. runtime is the work of each task; with 0, tasks run until they are cancelled.
func (cl *cluster) submit(id string, tasks int, runtime time.Duration, change func(*job.TaskSpec)) {
	spec := job.TaskSpec{
		Class: job.ClassBatch, Priority: job.PriorityBatch, Resources: job.Resources{CPUMilli: 1000, MemoryMiB: 1},
	}
	if runtime > 0 {
		spec.Payload = runtime.String()
	}
	if change != nil {
		change(&spec)
	}
	j := job.Job{ID: id, Name: id, Team: "t", Tasks: tasks, Spec: spec}
	txn := infra.Txn{Writes: []infra.Write{{Key: ledger.JobKey(id), Value: ledger.Encode(j)}}}
	for i := range tasks {
		t := job.Task{ID: job.MakeTaskID(id, i), Team: "t", Spec: spec, Attempt: 1}
		txn.Writes = append(txn.Writes, infra.Write{Key: ledger.QueueKeyOf(t), Value: ledger.Encode(t)})
	}
	assert.NilError(cl.t, cl.commit(txn))
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.jobs = append(cl.jobs, j)
}

func (cl *cluster) cancelJob(id string) {
	assert.NilError(cl.t, cl.commit(infra.Txn{
		Writes: []infra.Write{{Key: ledger.CancelKey(id), Value: ledger.Encode(ledger.Cancel{By: "test"})}},
	}))
}

func (cl *cluster) setDomain(domain string, state ledger.DomainState) {
	assert.NilError(cl.t, cl.commit(infra.Txn{
		Writes: []infra.Write{{Key: ledger.DomainKey(domain), Value: ledger.Encode(ledger.Domain{State: state})}},
	}))
	if state == ledger.DomainOut {
		cl.history.recordDomainOut(domain, time.Now())
	} else {
		cl.history.recordDomainIn(domain, time.Now())
	}
}

func (cl *cluster) save(name string, work time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.saved[name] = work
}

func (cl *cluster) workOf(name string) time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.saved[name]
}

// recordAcknowledged records the checkpoint of each ended attempt whose final report the owner has acknowledged. The caller
// holds the worker's lock.
func (cl *cluster) recordAcknowledged(f *fakeWorker) {
	cl.history.mu.Lock()
	defer cl.history.mu.Unlock()
	for _, a := range f.attempts {
		if a.state.Ended() && !cl.hasPendingReport(f, a) {
			if _, known := cl.history.acknowledged[a.ref]; !known {
				cl.history.acknowledged[a.ref] = a.checkpoint
			}
		}
	}
}

func (cl *cluster) hasPendingReport(f *fakeWorker, a *attempt) bool {
	return slices.ContainsFunc(f.reports, func(r infra.Report) bool { return r.Ref == a.ref })
}

// done counts the finished tasks by outcome.
func (cl *cluster) done(outcome ledger.Outcome) int {
	n := 0
	for _, row := range cl.scan("done/") {
		if bytes.Contains(row.Value, []byte(outcome)) {
			n++
		}
	}
	return n
}

// running counts the running attempts in a domain.
func (cl *cluster) running(domain string) int {
	n := 0
	for _, f := range cl.workers {
		if f.vm.Domain == domain {
			n += f.running()
		}
	}
	return n
}

// owner returns the ownership row of a domain's first cell.
func (cl *cluster) owner(domain string) ledger.Owner {
	for _, row := range cl.scan(ledger.CellOwnerKey(cell.Name(domain, 0))) {
		o, err := ledger.Decode[ledger.Owner](row.Key, row.Value)
		assert.NilError(cl.t, err)
		return o
	}
	return ledger.Owner{}
}

// waitUntil waits in virtual time until ok returns true, and returns how long that took.
func (cl *cluster) waitUntil(what string, limit time.Duration, ok func() bool) time.Duration {
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			cl.t.Fatalf("%s: not within %s", what, limit)
		}
		// The polling interval grows with the wait, to save CPU time.
		time.Sleep(max(5*time.Millisecond, time.Since(began)/50))
	}
	return time.Since(began)
}

// poll delivers a poll to the node at url.
func (cl *cluster) poll(ctx context.Context, url string, req infra.PollRequest) (infra.PollResponse, error) {
	cl.mu.Lock()
	n := cl.nodes[url]
	cl.mu.Unlock()
	if n == nil || !n.await(ctx) {
		return infra.PollResponse{}, errUnresponsive
	}
	resp, err := n.Poll(ctx, req)
	if !n.await(ctx) {
		return infra.PollResponse{}, errUnresponsive
	}
	return resp, err
}

// node is the sched daemon of one VM. A suspended node sends and receives nothing until it resumes; a killed one never
// does again.
type node struct {
	*cell.Node
	cluster *cluster
	vm      infra.VM
	stop    context.CancelFunc
	done    chan struct{}

	mu       sync.Mutex // guards the fields below
	dead     bool
	resumed  chan struct{}
	tableCut bool
}

// cutTable cuts off only this node, not its whole domain, from the table.
func (n *node) cutTable(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tableCut = cut
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

func (cl *cluster) startNode(vm infra.VM) {
	n := &node{cluster: cl, vm: vm, done: make(chan struct{}), resumed: make(chan struct{})}
	close(n.resumed)
	ctx, stop := context.WithCancel(cl.ctx)
	n.stop = stop
	n.Node = cell.NewNode(cell.NodeConfig{
		VM: vm.ID, Region: vm.Region, Domain: vm.Domain, Addr: vm.SchedAddr, OwnerURL: vm.ID,
		Settings: func() settings.Effective { return cl.conf },
		Table:    &nodeTable{node: n, table: cl.table.ForDomain(vm.Domain), rng: rand.New(rand.NewPCG(cl.rng.Uint64(), 3))},
		Workers:  &nodeWorkers{node: n},
		VMs:      cl.listVMs, NewPlanner: cl.layout.planner, Announce: n.announce,
		Rand: rand.New(rand.NewPCG(cl.rng.Uint64(), 4)), Logger: observe.NewLogger(cl.logTo, "sched", vm.ID),
		Metrics: cell.NewMetrics(prometheus.NewRegistry()),
	})
	cl.mu.Lock()
	cl.nodes[vm.ID] = n
	cl.mu.Unlock()
	cl.wg.Go(func() {
		defer close(n.done)
		n.Run(ctx)
	})
}

func (cl *cluster) listVMs() []infra.VM {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.vms
}

// kill ends the node without a handover. Nothing that it sends afterwards has an effect.
func (n *node) kill() {
	n.mu.Lock()
	n.dead = true
	select {
	case <-n.resumed:
	default:
		close(n.resumed)
	}
	n.mu.Unlock()
	n.stop()
}

func (n *node) suspend() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.resumed:
		n.resumed = make(chan struct{})
	default:
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.resumed:
	default:
		close(n.resumed)
	}
}

// await waits while the node is suspended and reports whether it is alive.
func (n *node) await(ctx context.Context) bool {
	n.mu.Lock()
	resumed := n.resumed
	n.mu.Unlock()
	select {
	case <-resumed:
	case <-ctx.Done():
		return false
	case <-n.cluster.ctx.Done():
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.dead
}

var errDead = errors.New("process is dead")

func (n *node) announce(ctx context.Context, to cell.Successor, name string, _ int64) error {
	_, err := send(ctx, n.cluster.net, n.vm.ID, to.Addr, func(ctx context.Context) (struct{}, error) {
		n.cluster.mu.Lock()
		peer := n.cluster.nodes[to.VM]
		n.cluster.mu.Unlock()
		if peer == nil || !peer.await(ctx) {
			return struct{}{}, errDead
		}
		peer.CheckOwnership(name)
		return struct{}{}, nil
	})
	return err
}

type nodeWorkers struct{ node *node }

func (n *nodeWorkers) Attach(ctx context.Context, addr string, req infra.AttachRequest) (infra.AttachResponse, error) {
	cl := n.node.cluster
	if !n.node.await(ctx) {
		return infra.AttachResponse{}, &infra.UnavailableError{Err: errDead}
	}
	resp, err := send(ctx, cl.net, n.node.vm.ID, addr, func(ctx context.Context) (infra.AttachResponse, error) {
		return cl.workers[addr].attach(ctx, req)
	})
	if !n.node.await(ctx) {
		return infra.AttachResponse{}, &infra.UnavailableError{Err: errDead}
	}
	return resp, err
}

// tableLatency is the latency of one call to the table.
const tableLatency = 2 * time.Millisecond

// nodeTable is a node's client of the table. In addition to the faults of the stand-in it also applies some commits late,
// after returning an unknown outcome.
type nodeTable struct {
	node  *node
	table infra.Table

	mu  sync.Mutex // guards rng
	rng *rand.Rand
}

func (n *nodeTable) deliverRequest(ctx context.Context) error {
	if !sleepFor(ctx, tableLatency/2) || !n.node.await(ctx) {
		return &infra.UnavailableError{Err: errDead}
	}
	n.node.mu.Lock()
	defer n.node.mu.Unlock()
	if n.node.tableCut {
		return &infra.UnavailableError{Err: errNoResponse}
	}
	return nil
}

func (n *nodeTable) deliverResponse(ctx context.Context) error {
	if !sleepFor(ctx, tableLatency/2) || !n.node.await(ctx) {
		return errDead
	}
	return nil
}

func (n *nodeTable) Read(ctx context.Context, keys ...string) ([]infra.Row, error) {
	if err := n.deliverRequest(ctx); err != nil {
		return nil, err
	}
	rows, err := n.table.Read(ctx, keys...)
	if err == nil && n.deliverResponse(ctx) != nil {
		return nil, &infra.UnavailableError{Err: errDead}
	}
	return rows, err
}

func (n *nodeTable) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if err := n.deliverRequest(ctx); err != nil {
		return nil, err
	}
	rows, err := n.table.Scan(ctx, prefix, after, limit)
	if err == nil && n.deliverResponse(ctx) != nil {
		return nil, &infra.UnavailableError{Err: errDead}
	}
	return rows, err
}

func (n *nodeTable) Commit(ctx context.Context, txn infra.Txn) (int64, error) {
	if err := n.deliverRequest(ctx); err != nil {
		return 0, err
	}
	if lateness := n.drawLateness(); lateness > 0 {
		n.node.cluster.wg.Go(func() {
			if n.node.cluster.net.sleep(lateness) {
				_, _ = n.table.Commit(n.node.cluster.ctx, txn)
			}
		})
		return 0, &infra.UnknownOutcomeError{Err: errNoResponse}
	}
	version, err := n.table.Commit(ctx, txn)
	if n.deliverResponse(ctx) != nil {
		return 0, &infra.UnknownOutcomeError{Err: errNoResponse}
	}
	return version, err
}

// drawLateness draws the delay of a commit, with the same probability as for other messages; 0 means none.
func (n *nodeTable) drawLateness() time.Duration {
	n.node.cluster.net.mu.Lock()
	percent := n.node.cluster.net.faults.latePercent
	n.node.cluster.net.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rng.IntN(100) >= percent {
		return 0
	}
	return time.Duration(1 + n.rng.Int64N(int64(maxLate)))
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
