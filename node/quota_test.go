package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/quota"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// cappedCluster is a number of nodes that divide the cap of the organisation "x" among cells with one runner each.
type cappedCluster struct {
	*heartbeatCluster
	fleet *emulator.Fleet
}

// newCappedCluster starts nodes that own the cells. Tasks take the given time.
func newCappedCluster(t *testing.T, nodes, cells int, limit workload.Resources, work time.Duration) *cappedCluster {
	t.Helper()
	return newCappedClusterOf(t, nodes, cells, organisationWith(limit), work, func(*Node) {})
}

// newCappedClusterOf is newCappedCluster with other organisations and with nodes that are changed before they start.
func newCappedClusterOf(t *testing.T, nodes, cells int, organisations map[string]*catalog.Organisation, work time.Duration,
	change func(n *Node)) *cappedCluster {
	t.Helper()
	c := &cappedCluster{fleet: emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return work, false })}
	c.heartbeatCluster = newHeartbeatClusterOf(t, nodes, 0, func(_ int, n *Node) {
		n.runners = c.fleet
		bounds := *n.bounds.Load()
		bounds.HoldMax, bounds.StatusRetention = 10*time.Second, time.Minute
		n.bounds.Store(&bounds)
		n.catalog.Store(&catalog.Config{Version: 1, Services: map[string]catalog.Service{"kioscos": {Name: "kioscos"}},
			Queues: []catalog.Queue{{Name: "q", Policy: workload.Policy{Queue: "q", Service: "kioscos"}}}, Organisations: organisations})
		change(n)
		n.discovery = store.NewFollower(n.store, "servers", n.discoveryChanged, func(error) {})
		n.assignments = store.NewFollower(n.store, tableAssignments, n.assignmentsChanged, func(error) {})
		n.quotas = store.NewFollower(n.store, quota.Table, func([]store.Row) {}, func(error) {})
		n.quotas.Active = n.needsQuota
		for i := range cells {
			info := runner.Info{ID: fmt.Sprintf("r%d", i), Service: "kioscos", Addr: fmt.Sprintf("r%d", i), Domain: "d", Born: 1,
				Capacity: workload.Resources{CPU: 64000, MemoryMB: 256000}}
			c.fleet.Add(info)
			n.runnerInfos[info.ID], n.runnerCells[info.ID] = info, cellName(i)
		}
	})
	ctx, kill := context.WithCancel(t.Context())
	c.kill = append(c.kill, kill)
	for _, n := range c.nodes {
		c.loops.Go(func() { n.quotas.Run(ctx) })
		c.loops.Go(func() { n.quotaLoop(ctx) })
		c.loops.Go(func() { newAllocator(n).run(ctx) })
		n.cellCount.Store(int32(cells))
	}
	return c
}

func organisationWith(limit workload.Resources) map[string]*catalog.Organisation {
	return map[string]*catalog.Organisation{"x": {Name: "x", Cap: limit}}
}

// setCap applies a configuration with another cap on all nodes.
func (c *cappedCluster) setCap(version int64, limit workload.Resources) {
	for _, n := range c.nodes {
		config := *n.catalog.Load()
		config.Version, config.Organisations = version, organisationWith(limit)
		n.catalog.Store(&config)
	}
}

// owns reports whether all cells have owners.
func (c *cappedCluster) owns(cells int) bool {
	count := 0
	for _, n := range c.nodes {
		n.mu.Lock()
		count += len(n.cells)
		n.mu.Unlock()
	}
	return count == cells
}

// submit submits a job of the organisation to a cell.
func (c *cappedCluster) submit(cell string, id, tasks int, cpu int64) {
	c.t.Helper()
	job := &workload.Job{ID: fmt.Sprintf("%016x", id), Occurrences: 1, AcceptedAt: time.Now(), Organisation: "x",
		Policy: workload.Policy{Queue: "q", Service: "kioscos", MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		Steps:  []workload.Step{{Count: tasks, Resources: workload.Resources{CPU: cpu}, Estimated: time.Second, MaxUnavailable: -1}}}
	for _, n := range c.nodes {
		n.mu.Lock()
		owned := n.cells[cell]
		n.mu.Unlock()
		if owned != nil {
			_, _ = owned.Submit(c.t.Context(), job, true)
			return
		}
	}
	c.t.Fatalf("cell %s has no owner", cell)
}

// limits returns the limits of processor time by cell, and their sum.
func (c *cappedCluster) limits() (limits map[string]int64, sum int64) {
	c.t.Helper()
	page, err := c.rows.Range(c.t.Context(), quota.Table, "", "", "", 0)
	assert.NilError(c.t, err)
	limits = map[string]int64{}
	for _, row := range page.Rows {
		decoded, err := quota.Decode(row.Value)
		assert.NilError(c.t, err)
		for cell, share := range decoded.Cells {
			limits[cell] = share.Limit[0]
			sum += share.Limit[0]
		}
	}
	return limits, sum
}

func (c *cappedCluster) await(bound time.Duration, holds func() bool) {
	c.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > bound {
			limits, _ := c.limits()
			c.t.Fatalf("not within %v; limits %v", bound, limits)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// limitBound is how long a task waits for a limit that no cell uses. It must be well below 3 s, the longest time for which a job of an organisation
// below half of its cap may have nothing running.
const limitBound = 1500 * time.Millisecond

// The whole cap must be divided soon after all cells have owners, and a limit that is not used must reach a cell where tasks wait, long before an
// organisation's job may be without a running task.
func TestUnusedLimitsReachCellsWhereTasksWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cells, limit = 4, 8000
		c := newCappedCluster(t, 3, cells, workload.Resources{CPU: limit}, time.Hour)
		defer c.stop()
		c.await(20*time.Second, func() bool { return c.owns(cells) })
		c.await(1500*time.Millisecond, func() bool { _, sum := c.limits(); return sum == limit })
		time.Sleep(3 * time.Second)
		// Each task is larger than the part of any cell, and two of them need three quarters of the cap.
		c.submit("c3", 1, 2, 3000)
		c.await(limitBound, func() bool { return c.fleet.Running("r3") == 2 })
		c.submit("c1", 2, 1, 2000)
		c.await(limitBound, func() bool { return c.fleet.Running("r1") == 1 })
		// The cap is in use. Nothing is written any more, however long tasks wait.
		c.submit("c0", 3, 1, 1000)
		time.Sleep(3 * time.Second)
		before := c.version()
		time.Sleep(20 * time.Second)
		assert.Equal(t, c.version(), before, "rows are written without a change")
		assert.Equal(t, c.fleet.Running("r0"), 0)
	})
}

// version returns the version of the organisation's row.
func (c *cappedCluster) version() int64 {
	page, err := c.rows.Range(c.t.Context(), quota.Table, "", "", "", 0)
	assert.NilError(c.t, err)
	return page.Rows[0].Version
}

// A lowered cap must lower the limits at once, and let nothing start while more is held. A raised cap must reach the cells.
func TestCapChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cells = 3
		c := newCappedCluster(t, 3, cells, workload.Resources{CPU: 6000}, 5*time.Second)
		defer c.stop()
		c.await(20*time.Second, func() bool { return c.owns(cells) })
		c.await(limitBound, func() bool { _, sum := c.limits(); return sum == 6000 })
		c.submit("c0", 1, 10, 1000)
		c.await(2*limitBound, func() bool { return c.fleet.Running("r0") == 6 })
		c.setCap(2, workload.Resources{CPU: 3000})
		c.await(time.Second, func() bool { _, sum := c.limits(); return sum <= 3000 })
		c.submit("c1", 2, 3, 1000)
		starts := len(c.fleet.Starts())
		for c.running() > 3 {
			assert.Equal(t, len(c.fleet.Starts()), starts, "a task was started while more than the cap was held")
			time.Sleep(20 * time.Millisecond)
		}
		for range 200 {
			assert.Assert(t, c.running() <= 3, "%d tasks run", c.running())
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, len(c.fleet.Starts()) > starts)
		c.setCap(3, workload.Resources{CPU: 9000})
		c.await(limitBound, func() bool { _, sum := c.limits(); return sum == 9000 })
		// A node with the former configuration must not restore its cap.
		c.setCap(2, workload.Resources{CPU: 3000})
		time.Sleep(3 * time.Second)
		_, sum := c.limits()
		assert.Equal(t, sum, int64(9000))
	})
}

// running returns the number of running tasks.
func (c *cappedCluster) running() int {
	count := 0
	for _, ids := range c.fleet.Runs() {
		count += len(ids)
	}
	return count
}

// quotaCalls counts the calls of a node that concern the table of limits.
type quotaCalls struct {
	store.Store
	count atomic.Int64
}

func (s *quotaCalls) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	for _, w := range txn.Writes {
		if w.Key.Table == quota.Table {
			s.count.Add(1)
		}
	}
	return s.Store.Commit(ctx, txn)
}

func (s *quotaCalls) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if table == quota.Table {
		s.count.Add(1)
	}
	return s.Store.Range(ctx, table, part, from, to, limit)
}

func (s *quotaCalls) Feed(ctx context.Context, table string, after int64, timeout time.Duration) (store.Page, error) {
	if table == quota.Table {
		s.count.Add(1)
	}
	return s.Store.Feed(ctx, table, after, timeout)
}

// Deployments without organisations must neither read nor write limits.
func TestNoCallsWithoutOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := &quotaCalls{}
		c := newCappedClusterOf(t, 2, 2, nil, time.Hour, func(n *Node) {
			if calls.Store == nil {
				calls.Store = n.store
			}
			n.store = calls
		})
		defer c.stop()
		c.await(20*time.Second, func() bool { return c.owns(2) })
		time.Sleep(5 * time.Second)
		assert.Equal(t, calls.count.Load(), int64(0))
		c.setCap(2, workload.Resources{CPU: 1000})
		time.Sleep(3 * time.Second)
		assert.Assert(t, calls.count.Load() > 0)
	})
}

// An organisation that was removed from the configuration, even as the last one, keeps its limits: its jobs go on within them, and all cells
// acknowledge changes.
func TestRemovedOrganisationKeepsItsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cells, limit = 2, 2000
		c := newCappedCluster(t, 2, cells, workload.Resources{CPU: limit}, time.Hour)
		defer c.stop()
		c.await(20*time.Second, func() bool { return c.owns(cells) })
		c.await(limitBound, func() bool { _, sum := c.limits(); return sum == limit })
		for _, n := range c.nodes {
			config := *n.catalog.Load()
			config.Version, config.Organisations = 2, nil
			n.catalog.Store(&config)
		}
		time.Sleep(2 * time.Second)
		c.submit("c0", 1, 5, 1000)
		c.await(2*limitBound, func() bool { return c.running() == 2 })
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.running(), 2)
	})
}
