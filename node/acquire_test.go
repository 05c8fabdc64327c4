package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// slowStore delays each call.
type slowStore struct {
	store.Store
	delay atomic.Int64
}

func (s *slowStore) sleep(ctx context.Context) { wait.For(ctx, time.Duration(s.delay.Load())) }

func (s *slowStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	s.sleep(ctx)
	return s.Store.Commit(ctx, txn)
}

func (s *slowStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	s.sleep(ctx)
	return s.Store.Range(ctx, table, part, from, to, limit)
}

func (s *slowStore) Feed(ctx context.Context, table string, after int64, timeout time.Duration) (store.Page, error) {
	s.sleep(ctx)
	return s.Store.Feed(ctx, table, after, timeout)
}

// readFaultStore is the store as one node reaches it. While armed, its reads of jobs fail or wait for ever, or all calls are refused or
// get no response.
type readFaultStore struct {
	store.Store
	refuses, hangs, away, silent atomic.Bool
}

// fault returns the error of a call while the store is away or silent. A silent store responds to no call that was sent meanwhile.
func (s *readFaultStore) fault(ctx context.Context, timeout time.Duration) error {
	switch {
	case s.away.Load():
		return store.ErrUnavailable
	case s.silent.Load():
		wait.For(ctx, timeout)
		return &store.UnknownOutcomeError{Err: context.DeadlineExceeded}
	}
	return nil
}

func (s *readFaultStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if err := s.fault(ctx, 2500*time.Millisecond); err != nil {
		return 0, err
	}
	return s.Store.Commit(ctx, txn)
}

func (s *readFaultStore) Feed(ctx context.Context, table string, after int64, timeout time.Duration) (store.Page, error) {
	if err := s.fault(ctx, 1500*time.Millisecond); err != nil {
		return store.Page{}, err
	}
	return s.Store.Feed(ctx, table, after, timeout)
}

func (s *readFaultStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if err := s.fault(ctx, 1500*time.Millisecond); err != nil {
		return store.Page{}, err
	}
	if table == dispatch.TableJobs && s.hangs.Load() {
		<-ctx.Done()
		return store.Page{}, ctx.Err()
	}
	if table == dispatch.TableJobs && s.refuses.Load() {
		return store.Page{}, store.ErrUnavailable
	}
	return s.Store.Range(ctx, table, part, from, to, limit)
}

// heartbeatCluster is a number of nodes that send heartbeats and acquire a cell with jobs whose owner is gone.
type heartbeatCluster struct {
	t     *testing.T
	rows  *emulator.Store
	store *slowStore
	nodes []*Node
	// links holds the nodes' connections to the store, and kill ends their loops.
	links []*readFaultStore
	kill  []context.CancelFunc
	loops sync.WaitGroup
	// replaced holds the processes that respond in place of nodes, by address; nil if none responds.
	replaced sync.Map
}

func newHeartbeatCluster(t *testing.T, nodes, jobs int) *heartbeatCluster {
	t.Helper()
	return newHeartbeatClusterOf(t, nodes, jobs, func(int, *Node) {})
}

// newHeartbeatClusterOf is newHeartbeatCluster with nodes that are changed before they start.
func newHeartbeatClusterOf(t *testing.T, nodes, jobs int, change func(i int, n *Node)) *heartbeatCluster {
	t.Helper()
	rows := emulator.NewStore()
	c := &heartbeatCluster{t: t, rows: rows, store: &slowStore{Store: rows}}
	for i := range nodes {
		n, _ := testNode(t, 0)
		settings := *n.settings
		settings.Node = fmt.Sprintf("n%d", i)
		link := &readFaultStore{Store: c.store}
		n.settings, n.store, n.runners, n.incarnation = &settings, link, emulator.NewFleet(nil), settings.Node
		// Suspensions are measured by clocks that are not virtual.
		n.suspended = nil
		n.peers.http = &http.Client{Transport: c}
		n.innerAddr, n.directory, n.heartbeats = settings.Node, ownership.NewDirectory(settings.Node), ownership.NewReader(link, ownership.TableNodes)
		n.ownerRows = ownership.NewReader(link, ownership.TableOwners)
		change(i, n)
		ctx, kill := context.WithCancel(t.Context())
		c.nodes, c.links, c.kill = append(c.nodes, n), append(c.links, link), append(c.kill, kill)
		c.loops.Go(func() { n.heartbeatLoop(ctx, ctx) })
	}
	time.Sleep(5 * time.Second)
	part := c.nodes[0].cellPart(firstCell)
	for i := range jobs {
		id := fmt.Sprintf("%016x", i)
		rows.Put(store.Key{Table: dispatch.TableJobs, Part: part, Name: id}, []byte(`{"id":"`+id+`","occ":1,"steps":[{"n":1}]}`))
	}
	rows.Put(dispatch.OwnerKey(part), []byte(`{"node":"gone","nonce":"x"}`))
	return c
}

// RoundTrip delivers a request of one node to another one.
func (c *heartbeatCluster) RoundTrip(req *http.Request) (*http.Response, error) {
	if other, ok := c.replaced.Load(req.URL.Host); ok {
		n := other.(*Node)
		if n == nil {
			return nil, fmt.Errorf("node %s is gone", req.URL.Host)
		}
		response := httptest.NewRecorder()
		n.innerHandler().ServeHTTP(response, req)
		return response.Result(), nil
	}
	for _, n := range c.nodes {
		if n.innerAddr == req.URL.Host {
			response := httptest.NewRecorder()
			n.innerHandler().ServeHTTP(response, req)
			return response.Result(), nil
		}
	}
	return nil, fmt.Errorf("no node %s", req.URL.Host)
}

// setCells lets the nodes acquire the cell.
func (c *heartbeatCluster) setCells() {
	for _, n := range c.nodes {
		n.cellCount.Store(1)
	}
}

// owner returns the node that the ownership row names.
func (c *heartbeatCluster) owner() string {
	c.t.Helper()
	owner, _, err := dispatch.ReadOwner(c.t.Context(), c.rows, c.nodes[0].cellPart(firstCell))
	assert.NilError(c.t, err)
	return owner.Node
}

// running returns the node that runs the cell, or -1.
func (c *heartbeatCluster) running() int {
	for i, n := range c.nodes {
		n.mu.Lock()
		owns := n.cells[firstCell] != nil
		n.mu.Unlock()
		if owns {
			return i
		}
	}
	return -1
}

// stop ends the nodes and waits until the cell is released.
func (c *heartbeatCluster) stop() {
	c.store.delay.Store(0)
	for _, kill := range c.kill {
		kill()
	}
	time.Sleep(15 * time.Second)
	c.loops.Wait()
}

// While the store is slow, a new owner reads the jobs of a large cell for longer than the other nodes wait for it. They take
// the cell from each other before any of them has read it, and no node runs its tasks.
func TestCellIsReadByOneNodeWhileTheStoreIsSlow(t *testing.T) {
	const jobs = 2000
	for _, nodes := range []int{3, 9} {
		for _, delay := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d nodes/%s", nodes, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newHeartbeatCluster(t, nodes, jobs)
					c.store.delay.Store(int64(delay))
					c.setCells()
					takeovers, previous := 0, ""
					for range 300 {
						time.Sleep(100 * time.Millisecond)
						owner := c.owner()
						if owner != previous && previous != "" {
							takeovers++
						}
						previous = owner
					}
					assert.Assert(t, takeovers <= 1, "the owner changed %d times in 30 s", takeovers)
					assert.Assert(t, c.running() >= 0, "no node has read the cell")
					c.stop()
				})
			})
		}
	}
}

// A node that is lost while it reads the jobs of a cell is replaced as soon as its heartbeats are late.
func TestNodeThatIsLostWhileItReadsCellIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newHeartbeatCluster(t, 3, 10)
		for _, link := range c.links {
			link.hangs.Store(true)
		}
		c.setCells()
		time.Sleep(3 * time.Second)
		first := c.owner()
		assert.Assert(t, first != "gone")
		for i, n := range c.nodes {
			c.links[i].hangs.Store(false)
			if n.settings.Node == first {
				c.kill[i]()
			}
		}
		time.Sleep(7 * time.Second)
		next := c.running()
		assert.Assert(t, next >= 0, "no node runs the cell")
		assert.Assert(t, c.nodes[next].settings.Node != first)
		c.stop()
	})
}

// A node that can write to the store and can't read the jobs of a cell leaves the cell to another node.
func TestNodeThatCanNotReadCellLeavesItToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newHeartbeatCluster(t, 3, 10)
		best := 0
		for i, n := range c.nodes {
			if n.directory.Rank(time.Now(), firstCell) == 0 {
				best = i
			}
		}
		c.links[best].refuses.Store(true)
		c.setCells()
		time.Sleep(10 * time.Second)
		next := c.running()
		assert.Assert(t, next >= 0, "no node runs the cell")
		assert.Assert(t, next != best)
		c.stop()
	})
}

// A new owner of a cell must not start tasks by what service discovery said long before. Nodes without a cell don't read service
// discovery; the new owner used its last copy until the next read, and started tasks on runners that had been draining for long.
func TestNewOwnerStartsNothingOnRunnerThatDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return time.Second, false })
		n, _ := testNode(t, 0)
		n.store, n.runners, n.incarnation = s, fleet, "a"
		n.bounds.Store(&platform.Bounds{HoldMax: 10 * time.Second})
		n.discovery = store.NewFollower(s, platform.TableServers, n.discoveryChanged, func(error) {})
		n.discovery.Poll, n.discovery.Spacing, n.discovery.Active = true, discoverySpacing, n.needsRunners
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		info := testRunner("i-1")
		fleet.Add(info)
		put := func() {
			row := serverRow(t, 0, info)
			s.Put(row.Key, row.Value)
		}
		put()
		// The node reads service discovery until the number of cells is known.
		loops.Go(func() { n.discovery.Run(ctx) })
		time.Sleep(time.Second)
		n.assignmentsChanged([]store.Row{rosterRow(1, rowLayout, "1"), rosterRow(1, "i-1", firstCell)})
		time.Sleep(5 * time.Second)
		info.Draining = true
		put()
		part := n.cellPart(firstCell)
		s.Put(store.Key{Table: dispatch.TableJobs, Part: part, Name: "0000000000000001"},
			[]byte(`{"id":"0000000000000001","occ":1,"policy":{"service":"kioscos"},"steps":[{"n":1}]}`))
		s.Put(dispatch.OwnerKey(part), []byte(`{"node":"gone","nonce":"x","released":true}`))
		// Further than any bound on the time in which a drain must be known.
		time.Sleep(30*time.Second + 30*time.Millisecond)
		n.mu.Lock()
		n.acquiring[firstCell] = true
		n.mu.Unlock()
		n.acquire(ctx, firstCell, false)
		time.Sleep(5 * time.Second)
		starts := len(fleet.Starts())
		cancel()
		time.Sleep(10 * time.Second)
		assert.Equal(t, starts, 0, "starts on a runner that drains")
	})
}

// A runner stays in its cell if another writer puts the name of another cell into its row: two owners would command it.
func TestRunnerStaysInItsCellIfItsRowNamesAnother(t *testing.T) {
	n, _ := testNode(t, 2)
	n.assignmentsChanged([]store.Row{rosterRow(1, "i-1", "c1")})
	n.assignmentsChanged([]store.Row{rosterRow(2, "i-1", "c0")})
	assert.Equal(t, n.runnerCells["i-1"], "c1")
}

// The owner of the first cell restores rows that name another cell, also if they are changed or deleted again meanwhile.
func TestRowThatNamesAnotherCellIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		n, _ := testNode(t, 2)
		n.runners = emulator.NewFleet(nil)
		release := ownFirstCell(t, n, s)
		defer release()
		key := store.Key{Table: tableAssignments, Name: "i-1"}
		read := func() []store.Row {
			page, err := store.ReadAll(t.Context(), s, tableAssignments, "")
			assert.NilError(t, err)
			return page.Rows
		}
		s.Put(key, []byte("c1 10.0.0.1:8000"))
		n.assignmentsChanged(read())
		for name, change := range map[string]func(){
			"changed":       func() {},
			"changed again": func() { s.Put(key, []byte("c0")) },
			"deleted":       func() { s.Delete(key) },
			"restored":      func() { s.Put(key, []byte("c1 10.0.0.1:8000")) },
		} {
			s.Put(key, []byte("c0"))
			n.assignmentsChanged(read())
			change()
			for range 3 {
				n.assign(t.Context())
			}
			rows := read()
			assert.Equal(t, len(rows), 1, name)
			assert.Equal(t, string(rows[0].Value), "c1 10.0.0.1:8000", name)
			assert.Equal(t, n.runnerCells["i-1"], "c1", name)
			more, retry := n.assign(t.Context())
			assert.Assert(t, !more && !retry, name)
		}
	})
}

// A new owner must know all runners that have been given to the cell. It used its copy of the roster, which may be up to 2.2 s old if a
// connection to the store delivers nothing; a task on a runner that was added since then ran a second time.
func TestNewOwnerKnowsRunnersThatWereJustAdded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return time.Hour, false })
		n, _ := testNode(t, 1)
		n.store, n.runners, n.incarnation = s, fleet, "a"
		n.bounds.Store(&platform.Bounds{HoldMax: 10 * time.Second})
		for _, id := range []string{"i-1", "i-2"} {
			info := testRunner(id)
			fleet.Add(info)
			n.discoveryChanged([]store.Row{serverRow(t, 1, info)})
		}
		// The feed of the roster has delivered the row of i-1, and not yet that of i-2.
		s.Put(store.Key{Table: tableAssignments, Name: "i-1"}, []byte(firstCell))
		s.Put(store.Key{Table: tableAssignments, Name: "i-2"}, []byte(firstCell))
		n.assignmentsChanged([]store.Row{rosterRow(1, "i-1", firstCell)})
		part := n.cellPart(firstCell)
		const id = "0000000000000001"
		s.Put(store.Key{Table: dispatch.TableJobs, Part: part, Name: id},
			[]byte(`{"id":"`+id+`","occ":1,"policy":{"service":"kioscos"},"steps":[{"n":1}]}`))
		s.Put(dispatch.OwnerKey(part), []byte(`{"node":"gone","nonce":"x","released":true}`))
		_, err := fleet.Start(t.Context(), runner.Target{ID: "i-2"}, runner.Start{Task: workload.TaskID{Job: id}, Run: 1, Deadline: time.Minute, Token: 1})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		n.acquire(ctx, firstCell, false)
		time.Sleep(time.Second)
		n.assignmentsChanged([]store.Row{rosterRow(2, "i-2", firstCell)})
		time.Sleep(time.Second)
		overlaps := len(fleet.Overlaps())
		cancel()
		time.Sleep(10 * time.Second)
		assert.Equal(t, overlaps, 0, "the task runs on two runners")
	})
}

// silentStore is a store whose next commit of a heartbeat gets no response, as on a connection that has gone silent.
type silentStore struct {
	store.Store
	silent atomic.Bool
}

// commitTimeout is how long the client of the platform's store waits for the response to a commit.
const commitTimeout = 2500 * time.Millisecond

func (s *silentStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if len(txn.Writes) > 0 && txn.Writes[0].Key.Table == ownership.TableNodes && s.silent.CompareAndSwap(true, false) {
		wait.For(ctx, commitTimeout)
		return 0, &store.UnknownOutcomeError{Err: context.DeadlineExceeded}
	}
	return s.Store.Commit(ctx, txn)
}

// A node keeps its cells if one connection to the store goes silent. Its heartbeat is written again after 2.5 s, and after 2.4 s
// the other nodes take it for dead.
func TestOwnerWithOneSilentConnectionKeepsItsCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := emulator.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		stores := map[string]*silentStore{}
		for i := range 3 {
			n, _ := testNode(t, 0)
			settings := *n.settings
			settings.Node = fmt.Sprintf("n%d", i)
			s := &silentStore{Store: rows}
			stores[settings.Node] = s
			n.settings, n.store, n.runners, n.incarnation = &settings, s, emulator.NewFleet(nil), settings.Node
			n.innerAddr, n.directory, n.heartbeats = settings.Node, ownership.NewDirectory(settings.Node), ownership.NewReader(s, ownership.TableNodes)
			n.cellCount.Store(1)
			loops.Go(func() { n.heartbeatLoop(ctx, ctx) })
		}
		time.Sleep(5 * time.Second)
		before, _, err := dispatch.ReadOwner(t.Context(), rows, firstCell)
		assert.NilError(t, err)
		stores[before.Node].silent.Store(true)
		time.Sleep(5 * time.Second)
		after, _, err := dispatch.ReadOwner(t.Context(), rows, firstCell)
		assert.NilError(t, err)
		cancel()
		time.Sleep(15 * time.Second)
		assert.Equal(t, after.Node, before.Node)
	})
}

// lateStore executes the first commit of a heartbeat late and sends no response to it.
type lateStore struct {
	store.Store
	first atomic.Bool
}

// executionDelay is longer than the client waits for a response.
const executionDelay = 2 * commitTimeout

func (s *lateStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if !s.first.CompareAndSwap(false, true) {
		return s.Store.Commit(ctx, txn)
	}
	time.AfterFunc(executionDelay, func() { _, _ = s.Store.Commit(context.WithoutCancel(ctx), txn) }) // nobody gets the response
	wait.For(ctx, commitTimeout)
	return 0, &store.UnknownOutcomeError{Err: context.DeadlineExceeded}
}

// A heartbeat that is executed late does not replace a newer one, also if both were written by different processes of the node.
func TestLateHeartbeatReplacesNoNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := emulator.NewStore()
		n, _ := testNode(t, 0)
		n.store, n.innerAddr, n.incarnation = &lateStore{Store: rows}, "n0", "a"
		started := time.Now()
		assert.NilError(t, n.writeHeartbeat(t.Context()))
		assert.Assert(t, time.Since(started) < ownership.HeartbeatInterval+100*time.Millisecond, "it took %v", time.Since(started))
		next, _ := testNode(t, 0)
		next.store, next.innerAddr, next.incarnation = rows, "n0", "b"
		assert.NilError(t, next.writeHeartbeat(t.Context()))
		time.Sleep(2 * executionDelay)
		page, err := store.ReadAll(t.Context(), rows, ownership.TableNodes, ownership.HeartbeatKey("n0").Part)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Rows), 1)
		assert.Equal(t, page.Rows[0].Version, next.heartbeatVersion.Load())
		assert.NilError(t, n.writeHeartbeat(t.Context()), "the version of the row has changed")
	})
}

// unreadableStore is a store of which one table can't be read.
type unreadableStore struct {
	store.Store
	table    string
	readable atomic.Bool
}

func (s *unreadableStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if table == s.table && !s.readable.Load() {
		return store.Page{}, store.ErrUnavailable
	}
	return s.Store.Range(ctx, table, part, from, to, limit)
}

// A new owner that can't read service discovery or the roster adopts the runs on the runners of its old copy at once, and starts
// tasks once it has read both.
func TestNewOwnerAdoptsRunsBeforeRunnersAreRead(t *testing.T) {
	for _, table := range []string{platform.TableServers, tableAssignments} {
		t.Run(table, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := emulator.NewStore()
				s := &unreadableStore{Store: rows, table: table}
				fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return 20 * time.Second, false })
				n, _ := testNode(t, 1)
				n.store, n.runners, n.incarnation = s, fleet, "a"
				n.bounds.Store(&platform.Bounds{HoldMax: 10 * time.Second})
				info := testRunner("i-1")
				fleet.Add(info)
				n.discoveryChanged([]store.Row{serverRow(t, 1, info)})
				n.assignmentsChanged([]store.Row{rosterRow(1, "i-1", firstCell)})
				row := serverRow(t, 0, info)
				rows.Put(row.Key, row.Value)
				rows.Put(store.Key{Table: tableAssignments, Name: "i-1"}, []byte(firstCell))
				part := n.cellPart(firstCell)
				ids := []string{"0000000000000001", "0000000000000002"}
				for _, id := range ids {
					rows.Put(store.Key{Table: dispatch.TableJobs, Part: part, Name: id},
						[]byte(`{"id":"`+id+`","occ":1,"policy":{"service":"kioscos"},"steps":[{"n":1}]}`))
				}
				rows.Put(dispatch.OwnerKey(part), []byte(`{"node":"gone","nonce":"x","released":true}`))
				running := workload.TaskID{Job: ids[0]}
				_, err := fleet.Start(t.Context(), runner.Target{ID: "i-1"}, runner.Start{Task: running, Run: 1, Deadline: time.Second, Token: 1})
				assert.NilError(t, err)
				ctx, cancel := context.WithCancel(t.Context())
				go n.acquire(ctx, firstCell, false)
				// The owner extends the lease of the adopted run.
				time.Sleep(10 * time.Second)
				assert.Equal(t, len(fleet.Starts()), 1)
				assert.Equal(t, fleet.Running("i-1"), 1)
				s.readable.Store(true)
				time.Sleep(time.Second)
				assert.Equal(t, len(fleet.Starts()), 2)
				assert.Equal(t, fleet.Running("i-1"), 2)
				cancel()
				time.Sleep(15 * time.Second)
			})
		})
	}
}
