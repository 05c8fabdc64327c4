package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/store"
)

// At the first start one node, the elector, counts the nodes and runners and sets the number of cells. The others read one row until it is
// set: if all nodes read service discovery and all heartbeats meanwhile, 300 of them fill the link between regions, no read succeeds in
// time, and the number is set from the few runners that an early read has shown.

const (
	// rowLayout is the row of tableAssignments that holds the number of cells, which is fixed at the first start.
	rowLayout = "layout/cells"
	// tableLayout has the row rowElector with the incarnation of the node that sets the number of cells.
	tableLayout = "layout"
	rowElector  = "elector"
	// electorTimeout is how long the row of an elector may be unchanged without a number of cells before another node replaces it. It is longer
	// than maxGrowingDelay, so that a working elector is done by then.
	electorTimeout = 8 * time.Second
	// layoutInterval is the pause between two reads of the number of cells, and electionJitter the longest delay between the first one and the
	// election. Most nodes then see that there is an elector and write nothing.
	layoutInterval = 300 * time.Millisecond
	electionJitter = 300 * time.Millisecond
	// layoutDelay is how long the set of nodes must be unchanged at the first start before the number of cells is set.
	layoutDelay = 1 * time.Second
	// runnersDelay is how long the number of runners must be unchanged then: the next read of service discovery has shown no
	// others. maxRunnersDelay bounds the wait after the first one, and maxGrowingDelay while the number still grows by a tenth or more.
	runnersDelay    = discoverySpacing * 5 / 4
	maxRunnersDelay = 2500 * time.Millisecond
	maxGrowingDelay = 5 * time.Second
	// maxReadAge is how old the last reads of the runners and nodes may be.
	maxReadAge = 2 * discoverySpacing
)

// layoutChanged applies the row with the number of cells. The number never changes, because the partition of each job's index
// row depends on it: once it is known, another value is an error, and a deleted row is written again. The caller holds mu.
func (n *Node) layoutChanged(row store.Row) {
	known := int(n.cellCount.Load())
	count, err := strconv.Atoi(string(row.Value))
	switch {
	case row.Deleted && known > 0:
		n.rowLog.Warn(nil, "row with the number of cells was deleted")
		n.rewrite[rowLayout] = strconv.Itoa(known)
		n.wakeAssign()
	case row.Deleted:
	case err != nil || count < 1 || count > maxCells || known > 0 && count != known:
		n.rowLog.Warn(logrus.Fields{"value": fmt.Sprintf("%.50q", row.Value), "known": known}, "invalid number of cells")
	default:
		delete(n.rewrite, rowLayout)
		n.cellCount.Store(int32(count))
	}
}

// ensureLayout waits until the number of cells is set. It sets it if this node is the elector. It returns false if ctx ends first.
func (n *Node) ensureLayout(ctx context.Context) bool {
	defer n.isElector.Store(false)
	election := election{node: n}
	count := layoutCounter{node: n}
	// After the first start the number is known, and a node that starts again need not wait.
	n.readLayout(ctx)
	if n.cellCount.Load() == 0 && !wait.For(ctx, rand.N(electionJitter)) {
		return false
	}
	for n.cellCount.Load() == 0 {
		if !n.isElector.Load() {
			n.readLayout(ctx)
		}
		if n.cellCount.Load() == 0 && election.take(ctx) && count.isComplete(time.Now()) {
			n.setLayout(ctx, count.runners, count.nodes)
		}
		if !wait.For(ctx, layoutInterval) {
			return false
		}
	}
	return true
}

// readLayout reads the number of cells. Nodes without cells do not follow the roster.
func (n *Node) readLayout(ctx context.Context) {
	page, err := n.store.Range(ctx, tableAssignments, "", rowLayout, rowLayout+"\x00", 1)
	if err != nil {
		n.log.WithError(err).Debug("could not read the number of cells")
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, row := range page.Rows {
		if row.Key.Name == rowLayout {
			n.layoutChanged(row)
		}
	}
}

// setLayout writes the number of cells for a number of runners and nodes unless there is one.
func (n *Node) setLayout(ctx context.Context, runners, nodes int) {
	key := store.Key{Table: tableAssignments, Name: rowLayout}
	count := n.layoutCount(time.Now(), runners, nodes)
	_, err := n.store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key}},
		Writes:     []store.Write{{Key: key, Value: []byte(strconv.Itoa(count))}},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		n.log.WithFields(logrus.Fields{"cells": count, "runners": runners, "nodes": nodes}).Info("set the number of cells")
	case !errors.As(err, &conflict):
		n.log.WithError(err).Warn("could not write the number of cells")
	}
	n.readLayout(ctx)
}

// election decides which node is the elector.
type election struct {
	node *Node
	// version is that of the elector's row as first read at readAt; 0 if there is none.
	version int64
	readAt  time.Time
}

// take reports whether this node is the elector. It becomes the elector if there is none, or if the last one has set no number of cells
// within electorTimeout.
func (e *election) take(ctx context.Context) bool {
	n := e.node
	if n.isElector.Load() {
		return true
	}
	key := store.Key{Table: tableLayout, Name: rowElector}
	page, err := n.store.Range(ctx, tableLayout, "", rowElector, rowElector+"\x00", 1)
	if err != nil {
		n.log.WithError(err).Debug("could not read the elector of the number of cells")
		return false
	}
	version := int64(0)
	for _, row := range page.Rows {
		if row.Key.Name == rowElector {
			version = row.Version
		}
	}
	if version != e.version || e.readAt.IsZero() {
		e.version, e.readAt = version, time.Now()
	}
	if version != 0 && time.Since(e.readAt) < electorTimeout {
		return false
	}
	_, err = n.store.Commit(ctx, store.Txn{Conditions: []store.Condition{{Key: key, Version: version}},
		Writes: []store.Write{{Key: key, Value: []byte(n.incarnation)}}})
	if err != nil {
		// Without a response this node may be the elector by the row. Another one then replaces it.
		n.log.WithError(err).Debug("another node determines the number of cells")
		return false
	}
	n.log.WithField("replaced", version != 0).Info("this node determines the number of cells")
	n.isElector.Store(true)
	return true
}

// layoutCounter waits until the numbers of runners and nodes are known.
type layoutCounter struct {
	node           *Node
	runners, nodes int
	// nodesSince and runnersSince are since when the numbers have been unchanged, and firstRunner is when the first runner was read.
	nodesSince, runnersSince, firstRunner time.Time
	// grownAt is when the number of runners last grew by a tenth or more.
	grownAt time.Time
}

// isComplete observes the numbers and reports whether they are complete as far as can be told.
func (l *layoutCounter) isComplete(now time.Time) bool {
	n := l.node
	n.mu.Lock()
	runners := len(n.runnerInfos)
	n.mu.Unlock()
	if nodes := n.directory.AliveCount(now); nodes != l.nodes {
		l.nodesSince, l.nodes = now, nodes
	}
	if l.firstRunner.IsZero() && runners > 0 {
		l.firstRunner = now
	}
	if runners*10 >= l.runners*11 {
		l.grownAt = now
	}
	if runners != l.runners {
		l.runnersSince, l.runners = now, runners
	}
	if n.discovery.Age(now) > maxReadAge || n.assignments.Age(now) > maxReadAge || !n.directory.IsFresh(now) {
		// The numbers did not change because nothing was read.
		l.nodesSince, l.runnersSince = now, now
		return false
	}
	if !now.Add(-n.discovery.Age(now)).After(l.firstRunner) {
		// No later read has shown whether there are more.
		return false
	}
	waited := now.Sub(l.firstRunner)
	allRunners := now.Sub(l.runnersSince) > runnersDelay || waited > maxGrowingDelay || waited > maxRunnersDelay && now.Sub(l.grownAt) > runnersDelay
	return runners > 0 && l.nodes > 0 && allRunners && now.Sub(l.nodesSince) > layoutDelay
}

// layoutCount returns the number of cells for a number of runners and nodes. Without transactions over several partitions all rows lie
// in one, in which several cells would share their rows.
func (n *Node) layoutCount(now time.Time, runners, nodes int) int {
	if !n.settings.CrossPartition {
		return 1
	}
	return n.directory.CellCount(now, runners, loadRunners, max((runners+runnersPerCell/2)/runnersPerCell, nodes/nodesPerCell))
}
