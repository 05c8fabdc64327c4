package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/store"
)

// countingStore counts the rows of heartbeats that a node reads.
type countingStore struct {
	store.Store
	rows atomic.Int64
}

func (s *countingStore) count(table string, page store.Page) {
	if table == ownership.TableNodes || table == ownership.TableOwners {
		s.rows.Add(int64(len(page.Rows)))
	}
}

func (s *countingStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	page, err := s.Store.Range(ctx, table, part, from, to, limit)
	s.count(table, page)
	return page, err
}

func (s *countingStore) Feed(ctx context.Context, table string, after int64, timeout time.Duration) (store.Page, error) {
	page, err := s.Store.Feed(ctx, table, after, timeout)
	s.count(table, page)
	return page, err
}

// manyNodes starts a cluster in which the first nodes are strong.
func manyNodes(t *testing.T, nodes, strong int) (*heartbeatCluster, []*countingStore) {
	t.Helper()
	counters := make([]*countingStore, 0, nodes)
	c := newHeartbeatClusterOf(t, nodes, 1, func(i int, n *Node) {
		counter := &countingStore{Store: n.store}
		counters = append(counters, counter)
		n.store = counter
		n.heartbeats, n.ownerRows = ownership.NewReader(counter, ownership.TableNodes), ownership.NewReader(counter, ownership.TableOwners)
		settings := *n.settings
		settings.CPUShare, settings.LinkMbps = 0.19, 10
		if i < strong {
			settings.CPUShare, settings.LinkMbps = 0.8, 200
		}
		n.settings = &settings
	})
	c.setCells()
	time.Sleep(15 * time.Second)
	return c, counters
}

// knows returns the number of nodes that know a living owner of the cell.
func (c *heartbeatCluster) knows() int {
	count := 0
	for _, n := range c.nodes {
		if _, ok := n.directory.Owners(time.Now())[firstCell]; ok {
			count++
		}
	}
	return count
}

// What all nodes read of each other grew with the square of their number. Nodes that are not likely owners read the rows of owners, and
// must still know a new owner as soon as before.
func TestMostOfManyNodesReadOwnersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, strong = 60, 6
		c, counters := manyNodes(t, nodes, strong)
		defer c.stop()
		owner := c.running()
		assert.Assert(t, owner >= 0 && owner < strong, "node %d owns the cell", owner)
		assert.Equal(t, c.knows(), nodes)
		before := counters[nodes-1].rows.Load()
		time.Sleep(30 * time.Second)
		read := counters[nodes-1].rows.Load() - before
		assert.Assert(t, read < 300, "%d rows in 30 s", read)
		c.kill[owner]()
		c.links[owner].away.Store(true)
		time.Sleep(5 * time.Second)
		next := c.running()
		assert.Assert(t, next >= 0 && next < strong && next != owner, "node %d owns the cell", next)
		assert.Assert(t, c.knows() >= nodes-1, "%d nodes know the owner", c.knows())
	})
}

// If all likely owners are lost, one of the other nodes must take the cell.
func TestCellIsTakenIfAllStrongNodesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, strong = 60, 6
		c, _ := manyNodes(t, nodes, strong)
		defer c.stop()
		for i := range strong {
			c.links[i].away.Store(true)
			c.kill[i]()
		}
		time.Sleep(12 * time.Second)
		owner := -1
		for i, n := range c.nodes {
			if n.localCell(firstCell) != nil && i >= strong {
				owner = i
			}
		}
		assert.Assert(t, owner >= strong, "no node has taken the cell")
		time.Sleep(2 * time.Second)
		assert.Assert(t, c.knows() >= nodes-strong, "%d nodes know the owner", c.knows())
	})
}

// Where all nodes were strong, all of them read the heartbeats of all: with 300 nodes that filled the link between regions. Only as many as there
// are cells, and a few more, may do so.
func TestFewOfManyStrongNodesReadAllHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, standby = 60, 9
		c, counters := manyNodes(t, nodes, nodes)
		defer c.stop()
		before := make([]int64, nodes)
		for i, counter := range counters {
			before[i] = counter.rows.Load()
		}
		time.Sleep(20 * time.Second)
		following := 0
		for i, counter := range counters {
			if counter.rows.Load()-before[i] > 600 {
				following++
			}
		}
		assert.Assert(t, following >= 1 && following <= standby+1, "%d nodes read all heartbeats", following)
		owner := c.running()
		c.kill[owner]()
		c.links[owner].away.Store(true)
		time.Sleep(5 * time.Second)
		next := c.running()
		assert.Assert(t, next >= 0 && next != owner, "node %d owns the cell", next)
	})
}
