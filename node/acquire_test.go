package node

import (
	"context"
	"fmt"
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
	"github.com/currantthread/currantthread/store"
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

// readFaultStore is the store as one node reaches it. While armed, its reads of jobs fail or wait for ever.
type readFaultStore struct {
	store.Store
	refuses, hangs atomic.Bool
}

func (s *readFaultStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
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
}

func newHeartbeatCluster(t *testing.T, nodes, jobs int) *heartbeatCluster {
	t.Helper()
	rows := emulator.NewStore()
	c := &heartbeatCluster{t: t, rows: rows, store: &slowStore{Store: rows}}
	for i := range nodes {
		n, _ := testNode(t, 0)
		settings := *n.settings
		settings.Node = fmt.Sprintf("n%d", i)
		link := &readFaultStore{Store: c.store}
		n.settings, n.store, n.runners, n.incarnation = &settings, link, emulator.NewFleet(nil), settings.Node
		n.innerAddr, n.directory, n.heartbeats = settings.Node, ownership.NewDirectory(settings.Node), ownership.NewReader(link)
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
