package node

import (
	"context"
	"errors"
	"hash/fnv"
	"sort"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
)

// tableRoster says to which cell each runner belongs. A runner gets tasks only once its row is durable, so that a new
// owner of a cell knows every runner that may run tasks of the cell.
const tableRoster = "roster"

const (
	// rowLayout of tableRoster holds the number of cells, which is fixed at the first start.
	rowLayout = "layout/cells"
	// runnersPerCell is the size that cells are laid out for. Its 300 starts a second cost the owner a fifth of a core,
	// and larger cells pack better and learn interference faster.
	runnersPerCell = 130
	// nodesPerCell is how many nodes there are for one cell. Runners may show up seconds after the nodes, and jobs come
	// before all have, so the nodes count as well.
	nodesPerCell = 12
	// layoutDelay is how long no new node must have shown up at the first start before the cells are laid out.
	layoutDelay = 1 * time.Second
	// rankDelay is how much longer each next candidate waits before it takes a cell.
	rankDelay = 1500 * time.Millisecond
	// rosterRetry is the pause after a failed write of the roster.
	rosterRetry = 300 * time.Millisecond
	// firstCell is the cell whose owner assigns new runners to cells.
	firstCell = "c0"
)

func (n *Node) cellNames() []string {
	names := make([]string, n.cellCount.Load())
	for i := range names {
		names[i] = cellName(i)
	}
	return names
}

func cellName(i int) string { return "c" + strconv.Itoa(i) }

// homeCell returns the cell that a job goes to unless another one has clearly less load.
func homeCell(jobID string, cells int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(jobID)) // a hash never fails
	return cellName(int(h.Sum32() % uint32(max(cells, 1))))
}

// takeCells acquires cells without an owner, if this node is the best candidate or the better ones did not act.
func (n *Node) takeCells(ctx context.Context) {
	now := time.Now()
	owners := n.directory.Owners(now)
	for _, cell := range n.cellNames() {
		n.mu.Lock()
		_, mine := n.cells[cell]
		busy := mine || n.acquiring[cell]
		_, owned := owners[cell]
		if owned || busy {
			delete(n.ownerless, cell)
		} else if n.ownerless[cell].IsZero() {
			n.ownerless[cell] = now
		}
		since := n.ownerless[cell]
		n.mu.Unlock()
		if owned || busy {
			continue
		}
		rank := n.directory.Rank(now, cell)
		if rank < 0 || now.Sub(since) < time.Duration(rank)*rankDelay {
			continue
		}
		n.mu.Lock()
		n.acquiring[cell] = true
		n.mu.Unlock()
		go n.acquire(ctx, cell)
		// One cell at a time: the next beat shows the others that this node has one more.
		return
	}
}

func (n *Node) acquire(ctx context.Context, cell string) {
	defer func() {
		n.mu.Lock()
		delete(n.acquiring, cell)
		n.mu.Unlock()
	}()
	log := n.log.WithField("cell", cell)
	previous, version, err := dispatch.ReadOwner(ctx, n.store, n.cellPart(cell))
	if err != nil {
		log.WithError(err).Warn("ownership row can't be read")
		return
	}
	if version != 0 && !previous.Released && previous.Node != n.settings.Node && n.ownerAtWork(previous, cell, version) {
		return
	}
	c, err := dispatch.Acquire(ctx, n.cellConfig(cell, n.hasEnded(previous, cell)), previous, version, n.runnersOf(cell))
	if errors.Is(err, dispatch.ErrOwned) {
		log.Info("another node took the cell")
		return
	}
	if err != nil {
		log.WithError(err).Warn("cell was not acquired")
		return
	}
	n.runCell(ctx, cell, c)
}

// hasEnded reports whether a former owner of a cell surely sends nothing for it any more.
func (n *Node) hasEnded(owner dispatch.Ownership, cell string) bool {
	return owner.Node == n.settings.Node || n.directory.HasEnded(owner, cell)
}

// checkPredecessors tells the cells of this node whose last owners have ended since they were acquired.
func (n *Node) checkPredecessors() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, c := range n.cells {
		if previous, mayOrder := c.Predecessor(); mayOrder && n.hasEnded(previous, name) {
			n.log.WithFields(logrus.Fields{"cell": name, "previous": previous.Node}).Info("last owner has ended")
			c.PredecessorDied()
		}
	}
}

// seenOwner is an ownership row as this node saw it first.
type seenOwner struct {
	version int64
	at      time.Time
}

// acquireTime is how long a new owner may take to read a cell's jobs before its own row shows the cell.
const acquireTime = 3 * time.Second

// ownerAtWork reports whether an ownership row was written a short time ago by a process that lives: an owner whose own
// row is late, or one that is reading the cell's jobs.
func (n *Node) ownerAtWork(previous dispatch.Ownership, cell string, version int64) bool {
	if !n.directory.Lives(time.Now(), previous.Node, previous.Incarnation) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if seen := n.seenOwners[cell]; seen.version != version {
		n.seenOwners[cell] = seenOwner{version, time.Now()}
		return true
	}
	return time.Since(n.seenOwners[cell].at) < acquireTime
}

func (n *Node) runCell(ctx context.Context, cell string, c *dispatch.Cell) {
	n.mu.Lock()
	n.cells[cell] = c
	if config := n.catalog.Load(); config != nil {
		c.SetCatalog(config)
	}
	c.SetEvacuated(n.evacuated)
	for id, home := range n.homes {
		if info, ok := n.infos[id]; ok && home == cell {
			c.SetRunner(context.Background(), info, true)
		}
	}
	n.mu.Unlock()
	n.kickRoster()
	go func() {
		c.Run(ctx)
		n.mu.Lock()
		if n.cells[cell] == c {
			delete(n.cells, cell)
		}
		n.ended[cell] = c.Epoch()
		n.mu.Unlock()
	}()
}

func (n *Node) runnersOf(cell string) []runner.Info {
	n.mu.Lock()
	defer n.mu.Unlock()
	var infos []runner.Info
	for id, home := range n.homes {
		if home != cell {
			continue
		}
		info, ok := n.infos[id]
		if !ok {
			info = runner.Info{ID: id}
		}
		infos = append(infos, info)
	}
	return infos
}

func (n *Node) kickRoster() {
	select {
	case n.rosterKick <- struct{}{}:
	default:
	}
}

func (n *Node) rosterChanged(rows []store.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, row := range rows {
		if row.Key.Name == rowLayout {
			count, err := strconv.Atoi(string(row.Value))
			if err != nil || count < 1 {
				n.log.WithField("value", string(row.Value)).Error("number of cells can't be read")
				continue
			}
			n.cellCount.Store(int32(count))
			continue
		}
		if row.Deleted {
			delete(n.homes, row.Key.Name)
			continue
		}
		n.homes[row.Key.Name] = string(row.Value)
		if info, ok := n.infos[row.Key.Name]; ok {
			n.tellCell(info, true)
		}
	}
}

// rosterLoop lays the cells out at the first start, and assigns new runners while this node owns the first cell.
func (n *Node) rosterLoop(ctx context.Context) {
	if !n.layOut(ctx) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.rosterKick:
		}
		for n.assign(ctx) {
			if !wait.For(ctx, rosterRetry) {
				return
			}
		}
	}
}

// layOut writes the number of cells if no node has done so, and reports whether it is known.
func (n *Node) layOut(ctx context.Context) bool {
	quietSince, seen := time.Now(), 0
	for {
		n.mu.Lock()
		known, runners := n.cellCount.Load() > 0, len(n.infos)
		n.mu.Unlock()
		if known {
			return true
		}
		nodes := n.directory.Living(time.Now())
		if nodes != seen {
			quietSince, seen = time.Now(), nodes
		}
		_, synced := n.roster.Rows()
		if synced && runners > 0 && time.Since(quietSince) > layoutDelay {
			count := max(1, (runners+runnersPerCell/2)/runnersPerCell, nodes/nodesPerCell)
			_, err := n.store.Commit(ctx, store.Txn{
				Conditions: []store.Condition{{Key: store.Key{Table: tableRoster, Name: rowLayout}}},
				Writes:     []store.Write{{Key: store.Key{Table: tableRoster, Name: rowLayout}, Value: []byte(strconv.Itoa(count))}},
			})
			var conflict *store.ConflictError
			if err != nil && !errors.As(err, &conflict) {
				n.log.WithError(err).Warn("number of cells was not written")
			}
		}
		if !wait.For(ctx, rosterRetry) {
			return false
		}
	}
}

// assign writes the cells of new runners and reports whether it has to be tried again.
func (n *Node) assign(ctx context.Context) (again bool) {
	n.mu.Lock()
	if n.cells[firstCell] == nil {
		n.mu.Unlock()
		return false
	}
	chosen := n.chooseHomes()
	n.mu.Unlock()
	if len(chosen) == 0 {
		return false
	}
	var txn store.Txn
	for _, a := range chosen {
		key := store.Key{Table: tableRoster, Name: a.runner}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: key})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: []byte(a.cell)})
		if txn.Entries()+2 > store.MaxTxnEntries {
			again = true
			break
		}
	}
	if _, err := n.store.Commit(ctx, txn); err != nil {
		n.log.WithError(err).Warn("roster was not written")
		return true
	}
	n.log.WithField("runners", len(txn.Writes)).Info("assigned runners to cells")
	for _, w := range txn.Writes {
		n.mu.Lock()
		n.homes[w.Key.Name] = string(w.Value)
		if info, ok := n.infos[w.Key.Name]; ok {
			n.tellCell(info, true)
		}
		n.mu.Unlock()
	}
	return again
}

type assignment struct{ runner, cell string }

// chooseHomes assigns each runner without a cell: to the cell of its rack if that has not far more than its share, else
// to the one with the least capacity. The caller holds mu.
func (n *Node) chooseHomes() []assignment {
	capacity := map[string]int64{}
	rackHome := map[string]string{}
	var fresh []string
	total := int64(0)
	for id, info := range n.infos {
		total += info.Capacity.CPU
		home, ok := n.homes[id]
		if !ok {
			fresh = append(fresh, id)
			continue
		}
		capacity[home] += info.Capacity.CPU
		rackHome[rackOf(info)] = home
	}
	sort.Slice(fresh, func(a, b int) bool {
		x, y := n.infos[fresh[a]], n.infos[fresh[b]]
		if rx, ry := rackOf(x), rackOf(y); rx != ry {
			return rx < ry
		}
		return x.ID < y.ID
	})
	share := total / int64(n.cellCount.Load())
	chosen := make([]assignment, 0, len(fresh))
	for _, id := range fresh {
		info := n.infos[id]
		cell, ok := rackHome[rackOf(info)]
		if !ok || capacity[cell] > share+share/rackTolerance {
			cell = n.smallestCell(capacity)
			rackHome[rackOf(info)] = cell
		}
		capacity[cell] += info.Capacity.CPU
		chosen = append(chosen, assignment{id, cell})
	}
	if len(chosen) > 0 {
		n.log.WithFields(logrus.Fields{"new": len(chosen), "cells": n.cellCount.Load()}).Debug("chose cells for runners")
	}
	return chosen
}

// rackTolerance lets a cell exceed its share by this part of it, to keep a rack in one cell.
const rackTolerance = 16

func (n *Node) smallestCell(capacity map[string]int64) string {
	best := ""
	for _, name := range n.cellNames() {
		if best == "" || capacity[name] < capacity[best] {
			best = name
		}
	}
	return best
}

// rackOf returns what tells racks apart: the failure domain and all labels of a runner.
func rackOf(info runner.Info) string {
	rack := info.Domain
	for _, l := range info.Labels {
		rack += "/" + l
	}
	return rack
}
