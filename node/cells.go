package node

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
)

// tableAssignments maps each runner to its cell. A runner gets tasks only once its row is durable, so that a new owner
// of a cell finds every runner that may run tasks of the cell.
const tableAssignments = "roster"

const (
	// runnersPerCell is the intended size of a cell. Larger cells pack better and learn interference faster: 490 runners in 3 cells of 163 served
	// 0.969 of a day without faults, and 0.944 in 4 cells.
	runnersPerCell = 160
	// loadRunners is the number of runners that the capacity of a node for cells is measured in. With so many, 300 starts a second cost the
	// owner a fifth of a core.
	loadRunners = 130
	// nodesPerCell is the number of nodes for which one cell is created. The node count is used as well as the runner
	// count because runners may appear seconds after the nodes, and jobs arrive before all runners have appeared.
	nodesPerCell = 12
	// rankDelay is how much longer each lower-ranked candidate waits before it acquires a cell without an owner.
	rankDelay = 1500 * time.Millisecond
	// assignInterval is the pause between attempts to write runner assignments or the number of cells.
	assignInterval = 300 * time.Millisecond
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

// maxCells bounds the number of cells that a row may state.
const maxCells = 1024

// isCell reports whether name is the name of a cell. It is false while the number of cells is not known.
func (n *Node) isCell(name string) bool {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "c"))
	return err == nil && i >= 0 && i < int(n.cellCount.Load()) && name == cellName(i)
}

// homeCell returns the cell that a job is submitted to unless another cell has clearly less load.
func homeCell(jobID string, cells int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(jobID)) // a hash never fails
	return cellName(int(h.Sum32() % uint32(max(cells, 1))))
}

// acquireCells starts acquiring one cell without an owner, if this node is the best candidate or the better candidates
// did not acquire the cell in time.
func (n *Node) acquireCells(ctx context.Context) {
	now := time.Now()
	owners := n.directory.Owners(now)
	n.observeSuspects(ctx, now, owners)
	for _, cell := range n.cellNames() {
		n.mu.Lock()
		_, local := n.cells[cell]
		busy := local || n.acquiring[cell]
		_, owned := owners[cell]
		if owned || busy {
			delete(n.ownerless, cell)
		} else if n.ownerless[cell].IsZero() {
			n.ownerless[cell] = now
		}
		since := n.ownerless[cell]
		deferred := now.Before(n.acquireAfter[cell])
		n.mu.Unlock()
		if owned || busy || deferred {
			continue
		}
		rank := n.directory.Rank(now, cell)
		if rank < 0 || now.Sub(since) < time.Duration(rank)*rankDelay {
			continue
		}
		if n.beginAcquire(cell) {
			go n.acquire(ctx, cell, false)
		}
		// One cell at a time: the next heartbeat tells the other nodes that this node owns one more.
		return
	}
}

// beginAcquire records that this node acquires a cell. It returns false if the node has the cell or acquires it already.
func (n *Node) beginAcquire(cell string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cells[cell] != nil || n.acquiring[cell] {
		return false
	}
	n.acquiring[cell] = true
	return true
}

// acquire acquires a cell, unless its owner is alive. offered is set if the owner has asked for it.
func (n *Node) acquire(ctx context.Context, cell string, offered bool) {
	defer func() {
		n.mu.Lock()
		delete(n.acquiring, cell)
		n.mu.Unlock()
	}()
	log := n.log.WithField("cell", cell)
	if !n.versions.Covers(markSpan) {
		n.learnMarks(ctx, cell)
	}
	previous, version, err := n.readOwner(ctx, cell)
	if err != nil {
		log.WithError(err).Warn("could not read the ownership row")
		return
	}
	if version != 0 && previous.IsUnknown() {
		log.WithField("version", version).Error("ownership row names no owner; its writer may still send commands")
	}
	if !offered && version != 0 && !previous.Released && previous.Node != n.settings.Node && n.ownerActive(previous, cell, version) {
		return
	}
	config := n.cellConfig(cell, n.hasEnded(previous, cell))
	config.PredecessorLastWrite = n.lastWrite(cell, version)
	var runnersRead <-chan struct{}
	reads, stopReads := context.WithCancel(ctx)
	defer stopReads()
	var denied <-chan struct{}
	config.Acquired = func(epoch int64) {
		runnersRead = n.readRunners(reads, cell, epoch)
		go n.readHistory(ctx, cell, epoch)
		denied = n.denyOutage(ctx, cell, epoch, previous)
	}
	c, err := dispatch.Acquire(ctx, config, previous, version, n.runnersOf(cell))
	if errors.Is(err, dispatch.ErrOwned) {
		log.Info("another node acquired the cell")
		return
	}
	if err != nil {
		log.WithError(err).Warn("could not acquire the cell")
		if errors.Is(err, dispatch.ErrNotLoaded) {
			n.mu.Lock()
			n.acquireAfter[cell] = time.Now().Add(failedAcquirePause)
			n.mu.Unlock()
		}
		return
	}
	n.runCell(ctx, cell, c)
	go n.readQuota(ctx, cell, c)
	go func() {
		select {
		case <-denied:
			c.MarkOutageDenied()
		case <-c.Done():
		}
	}()
	select {
	case <-runnersRead:
		n.confirmRunners(cell, c)
	case <-c.Done():
	}
}

// readRetry is the pause after a failed read of service discovery or of the roster.
const readRetry = 200 * time.Millisecond

// readRunners reads service discovery and the roster after this node became the owner of a cell. A node without a cell does not
// read service discovery, and its copy of the roster may lag behind. The result is closed once both reads have succeeded.
func (n *Node) readRunners(ctx context.Context, cell string, epoch int64) <-chan struct{} {
	done := make(chan struct{})
	repeated := &store.RepeatedReads{Store: n.store, Repeater: &store.Repeater{Delay: ownership.HeartbeatInterval}}
	read := func(table string, f *store.Follower) {
		for failures := 0; ctx.Err() == nil; failures++ {
			page, err := store.ReadAll(ctx, repeated, table, "")
			if err == nil && page.Version >= epoch {
				// An older page than the copy is not needed: the copy was read after the ownership was committed.
				f.Apply(page)
				return
			}
			if failures == 0 {
				n.log.WithFields(logrus.Fields{"cell": cell, "table": table, "error": err, "version": page.Version}).
					Warn("could not read the runners of a new cell")
			}
			wait.For(ctx, readRetry)
		}
	}
	go func() {
		var reads sync.WaitGroup
		reads.Go(func() { read(platform.TableServers, n.discovery) })
		reads.Go(func() { read(tableAssignments, n.assignments) })
		reads.Wait()
		if ctx.Err() == nil {
			close(done)
		}
	}()
	return done
}

// confirmRunners lets a cell of this node start tasks on the runners that readRunners has found.
func (n *Node) confirmRunners(cell string, c *dispatch.Cell) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c.ConfirmRunners(n.cellRunners(cell))
	n.setRunners(cell, c)
	n.tellLeft(cell, c)
}

// hasEnded reports whether a former owner of a cell is confirmed to have stopped sending commands for it.
func (n *Node) hasEnded(owner dispatch.Ownership, cell string) bool {
	if owner.IsUnknown() {
		return false
	}
	return owner.Node == n.settings.Node || n.directory.HasEnded(owner, cell)
}

// checkPredecessors notifies the cells of this node whose previous owners have ended since the cells were acquired.
func (n *Node) checkPredecessors() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, c := range n.cells {
		if previous, mayCommand := c.Predecessor(); mayCommand && n.hasEnded(previous, name) {
			n.log.WithFields(logrus.Fields{"cell": name, "previous": previous.Node}).Info("previous owner has ended")
			c.MarkPredecessorDead()
		}
	}
}

// seenOwner is the version of an ownership row and the time at which this node first read it.
type seenOwner struct {
	version int64
	at      time.Time
}

// readOwner reads the ownership row of a cell and records when this version was first read.
func (n *Node) readOwner(ctx context.Context, cell string) (dispatch.Ownership, int64, error) {
	previous, version, err := dispatch.ReadOwner(ctx, n.store, n.cellPart(cell))
	if err != nil {
		return previous, version, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seenOwners[cell].version != version {
		n.seenOwners[cell] = seenOwner{version, time.Now()}
	}
	return previous, version, nil
}

// firstSeen returns when this node first read a version of a cell's ownership row. Its writer has written nothing after that
// if the row still has this version.
func (n *Node) firstSeen(cell string, version int64) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if seen := n.seenOwners[cell]; seen.version == version {
		return seen.at
	}
	return time.Time{}
}

// lastWrite returns a time before which a version of a cell's ownership row was written, as early as this node can tell; zero if it
// can't. The row was written before it was first read, and before any response of the store named its version or a higher one.
func (n *Node) lastWrite(cell string, version int64) time.Time {
	seen := n.firstSeen(cell, version)
	written, known := n.versions.GivenOutBefore(version)
	if version == 0 || !known || !seen.IsZero() && seen.Before(written) {
		return seen
	}
	n.log.WithFields(logrus.Fields{"cell": cell, "version": version, "written_ms": time.Since(written).Milliseconds(),
		"seen_ms": time.Since(seen).Milliseconds()}).Info("last write of the ownership row is dated")
	return written
}

// suspectAfter is how long the heartbeat of a cell's owner is unchanged when the best candidates for the cell read its
// ownership row: the last read of the heartbeats has not shown a new one. The earlier they know the version of the row, the
// shorter a new owner waits for unreachable runners.
const suspectAfter = ownership.HeartbeatInterval / 2

// maxObservers is the number of candidates that read the ownership row of a suspected owner.
const maxObservers = 3

// observeSuspects reads the ownership rows of cells whose owners are silent or unknown. It is called after each read of the
// heartbeats.
func (n *Node) observeSuspects(ctx context.Context, now time.Time, owners map[string]ownership.Owner) {
	for _, cell := range n.cellNames() {
		owner, owned := owners[cell]
		if owned && n.directory.SilentFor(now, owner.Node) <= suspectAfter {
			continue
		}
		n.mu.Lock()
		busy := n.cells[cell] != nil || n.acquiring[cell]
		n.mu.Unlock()
		if rank := n.directory.Rank(now, cell); busy || rank < 0 || rank >= maxObservers {
			continue
		}
		go func() {
			if _, _, err := n.readOwner(ctx, cell); err != nil {
				n.log.WithField("cell", cell).WithError(err).Warn("could not read the ownership row")
			}
		}()
	}
}

const (
	// acquireGrace is how long after its acquisition a new owner's heartbeat may list the cell neither as its own nor as one
	// that it acquires. Three of the store's response times are added, in which the owner writes a heartbeat and this node
	// reads it.
	acquireGrace = 3 * time.Second
	// maxAcquireTime is how long a new owner may take to read a cell's jobs while its heartbeat lists the cell as one that it
	// acquires. 500 rows are read at a time, and a slow store needs a second or more for them.
	maxAcquireTime = time.Minute
	// failedAcquirePause is the pause after a node took a cell over and could not read its jobs. It lets other nodes acquire
	// the cell, which may reach the store.
	failedAcquirePause = acquireGrace + 2*ownership.HeartbeatInterval
)

// ownerActive reports whether the writer of an ownership row is alive and may still be acquiring the cell, or its heartbeat
// may be late.
func (n *Node) ownerActive(previous dispatch.Ownership, cell string, version int64) bool {
	if !n.directory.IsAlive(time.Now(), previous.Node, previous.Incarnation) {
		return false
	}
	limit := acquireGrace + 3*time.Duration(n.commitLatency.Load())
	if n.directory.IsAcquiring(previous.Node, previous.Incarnation, cell) {
		limit = maxAcquireTime
	}
	return time.Since(n.firstSeen(cell, version)) < limit
}

func (n *Node) runCell(ctx context.Context, cell string, c *dispatch.Cell) {
	n.mu.Lock()
	n.cells[cell] = c
	if config := n.catalog.Load(); config != nil {
		c.SetCatalog(config)
	}
	c.SetEvacuated(n.evacuated)
	n.setRunners(cell, c)
	n.mu.Unlock()
	n.wakeAssign()
	n.wakeHeartbeat()
	go func() {
		c.Run(ctx)
		n.mu.Lock()
		if n.cells[cell] == c {
			delete(n.cells, cell)
		}
		n.endedEpochs[cell] = c.Epoch()
		n.mu.Unlock()
	}()
}

// setRunners passes the runners of a cell to it. The caller holds mu.
func (n *Node) setRunners(cell string, c *dispatch.Cell) {
	for _, info := range n.cellRunners(cell) {
		_, listed := n.runnerInfos[info.ID]
		c.SetRunner(context.Background(), info, listed)
	}
}

func (n *Node) runnersOf(cell string) []runner.Info {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cellRunners(cell)
}

// cellRunners returns the runners of a cell. Of those that service discovery does not list, only the ID and perhaps the address
// are known. The caller holds mu.
func (n *Node) cellRunners(cell string) []runner.Info {
	var infos []runner.Info
	for id, assigned := range n.runnerCells {
		if assigned != cell {
			continue
		}
		info, ok := n.runnerInfos[id]
		if !ok {
			info = runner.Info{ID: id, Addr: n.runnerAddrs[id]}
		}
		info.Restarted = n.hasRestarted(info)
		infos = append(infos, info)
	}
	return infos
}

// hasRestarted reports whether a runner's process started after the row that assigns its ID to a cell was written, as far as this node can tell, so that
// an earlier process had the ID. The caller holds mu.
func (n *Node) hasRestarted(info runner.Info) bool {
	version, assigned := n.runnerVersions[info.ID]
	written, known := n.versions.GivenOutBefore(version)
	return info.Born != 0 && assigned && known && time.Since(written) > time.Since(time.UnixMilli(info.Born))
}

func (n *Node) wakeAssign() {
	select {
	case n.assignWake <- struct{}{}:
	default:
	}
}

func (n *Node) assignmentsChanged(rows []store.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyAssignments(rows)
}

// applyAssignments applies rows of the roster. The caller holds mu.
func (n *Node) applyAssignments(rows []store.Row) {
	for _, row := range rows {
		if row.Key.Name == rowLayout {
			n.layoutChanged(row)
		}
	}
	for _, row := range rows {
		if row.Key.Name != rowLayout {
			n.assignmentChanged(row)
		}
	}
}

// assignmentChanged applies the row of a runner. A runner stays in its cell if its row is deleted or names no cell or another one,
// because the cell's owner may still send it commands. The caller holds mu.
func (n *Node) assignmentChanged(row store.Row) {
	id := row.Key.Name
	cell, addr := decodeAssignment(string(row.Value))
	old, known := n.runnerCells[id]
	switch {
	case row.Deleted:
		if known && n.isCell(old) {
			n.rowLog.Warn(logrus.Fields{"runner": fmt.Sprintf("%.50q", id), "cell": old}, "row of a runner's cell was deleted")
			n.rewriteAssignment(id, 0)
		}
		return
	case n.cellCount.Load() > 0 && !n.isCell(cell):
		n.rowLog.Warn(logrus.Fields{"runner": fmt.Sprintf("%.50q", id), "value": fmt.Sprintf("%.50q", cell)}, "row of a runner names no cell")
		if known {
			return
		}
	case known && n.isCell(old) && cell != old:
		n.rowLog.Warn(logrus.Fields{"runner": fmt.Sprintf("%.50q", id), "cell": old, "value": cell}, "row of a runner names another cell")
		n.rewriteAssignment(id, row.Version)
		return
	}
	delete(n.rewrite, id)
	delete(n.rewriteVersions, id)
	n.runnerCells[id], n.runnerAddrs[id] = cell, addr
	if _, assigned := n.runnerVersions[id]; !assigned {
		n.runnerVersions[id] = row.Version
	}
	if info, ok := n.runnerInfos[id]; ok {
		n.updateCellRunner(info, true)
	}
}

// rewriteAssignment makes the owner of the first cell write the row of a runner again, in place of the given version or, if it is 0,
// of a deleted row. The caller holds mu.
func (n *Node) rewriteAssignment(id string, version int64) {
	n.rewrite[id] = encodeAssignment(n.runnerCells[id], n.runnerAddrs[id])
	n.rewriteVersions[id] = version
	n.wakeAssign()
}

// assignLoop sets the number of cells at the first start, and assigns new runners to cells while this node owns the
// first cell.
func (n *Node) assignLoop(ctx context.Context) {
	if !n.ensureLayout(ctx) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.assignWake:
		}
		for {
			more, failed := n.assign(ctx)
			if failed && !wait.For(ctx, assignInterval) || ctx.Err() != nil {
				return
			}
			if !more && !failed {
				break
			}
		}
	}
}

// assign writes the cells of new runners. It reports whether there are more than one transaction can hold, and whether it must be
// called again after a pause because the transaction failed or replaced a row.
func (n *Node) assign(ctx context.Context) (more, retry bool) {
	n.mu.Lock()
	if n.cells[firstCell] == nil {
		n.mu.Unlock()
		return false, false
	}
	chosen := n.chooseCells()
	versions := maps.Clone(n.rewriteVersions)
	n.mu.Unlock()
	if len(chosen) == 0 {
		return false, false
	}
	var txn store.Txn
	for _, a := range chosen {
		key := store.Key{Table: tableAssignments, Name: a.name}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: key, Version: versions[a.name]})
		// Another writer may change the row again at once.
		retry = retry || versions[a.name] != 0
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: []byte(a.value)})
		if txn.Entries()+2 > store.MaxTxnEntries {
			more = true
			break
		}
	}
	if _, err := n.store.Commit(ctx, txn); err != nil {
		n.log.WithError(err).Warn("could not write runner assignments")
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			// Rows that exist already, or no longer, must not hold back the other runners.
			var changed []store.Row
			for _, condition := range txn.Conditions {
				row := conflict.Row(condition.Key)
				if row.Version != condition.Version {
					row.Deleted = row.Version == 0
					changed = append(changed, row)
				}
			}
			n.mu.Lock()
			n.applyAssignments(changed)
			n.mu.Unlock()
		}
		return false, true
	}
	n.log.WithField("runners", len(txn.Writes)).Info("assigned runners to cells")
	for _, w := range txn.Writes {
		n.mu.Lock()
		delete(n.rewrite, w.Key.Name)
		delete(n.rewriteVersions, w.Key.Name)
		if w.Key.Name == rowLayout {
			n.mu.Unlock()
			continue
		}
		n.runnerCells[w.Key.Name], n.runnerAddrs[w.Key.Name] = decodeAssignment(string(w.Value))
		if info, ok := n.runnerInfos[w.Key.Name]; ok {
			n.updateCellRunner(info, true)
		}
		n.mu.Unlock()
	}
	return more, retry
}

// assignment is a row of the roster to write.
type assignment struct{ name, value string }

// encodeAssignment returns the value of a runner's row: its cell and its address. A new owner needs the address if service
// discovery does not list the runner.
func encodeAssignment(cell, addr string) string { return strings.TrimSuffix(cell+" "+addr, " ") }

// decodeAssignment returns the cell and the address in the value of a runner's row. Rows of earlier builds have no address.
func decodeAssignment(value string) (cell, addr string) {
	cell, addr, _ = strings.Cut(value, " ")
	return cell, addr
}

// chooseCells returns the rows to write again, and a cell for each runner without one: the cell of its rack unless that is more than 1/rackTolerance
// above its share of the capacity, else the cell with the least capacity. The caller holds mu.
func (n *Node) chooseCells() []assignment {
	capacity := map[string]int64{}
	rackCell := map[string]string{}
	var unassigned []string
	total := int64(0)
	for id, info := range n.runnerInfos {
		assigned, ok := n.runnerCells[id]
		if ok && !n.isCell(assigned) || !ok && !n.assignable(info) {
			continue
		}
		total += info.Capacity.CPU
		if !ok {
			unassigned = append(unassigned, id)
			continue
		}
		capacity[assigned] += info.Capacity.CPU
		rackCell[rackOf(info)] = assigned
	}
	sort.Slice(unassigned, func(a, b int) bool {
		x, y := n.runnerInfos[unassigned[a]], n.runnerInfos[unassigned[b]]
		if rx, ry := rackOf(x), rackOf(y); rx != ry {
			return rx < ry
		}
		return x.ID < y.ID
	})
	share := total / int64(n.cellCount.Load())
	chosen := make([]assignment, 0, len(unassigned)+len(n.rewrite))
	for row, value := range n.rewrite {
		chosen = append(chosen, assignment{row, value})
	}
	for _, id := range unassigned {
		info := n.runnerInfos[id]
		cell, ok := rackCell[rackOf(info)]
		if !ok || capacity[cell] > share+share/rackTolerance {
			cell = n.smallestCell(capacity)
			rackCell[rackOf(info)] = cell
		}
		capacity[cell] += info.Capacity.CPU
		chosen = append(chosen, assignment{id, encodeAssignment(cell, info.Addr)})
	}
	if len(chosen) > 0 {
		n.log.WithFields(logrus.Fields{"new": len(chosen), "cells": n.cellCount.Load()}).Debug("chose cells for runners")
	}
	return chosen
}

// assignable reports whether a runner may get a cell: the configuration names its service, and its ID is not the name of
// another row of the roster.
func (n *Node) assignable(info runner.Info) bool {
	config := n.catalog.Load()
	if config == nil || info.ID == rowLayout {
		return false
	}
	if _, ok := config.Services[info.Service]; ok {
		return true
	}
	return slices.ContainsFunc(config.Queues, func(q catalog.Queue) bool { return q.Policy.Service == info.Service })
}

// rackTolerance lets a cell exceed its share by 1/rackTolerance, to keep a rack in one cell.
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

// rackOf returns the key of a runner's rack: its failure domain and all its labels.
func rackOf(info runner.Info) string {
	rack := info.Domain
	for _, l := range info.Labels {
		rack += "/" + l
	}
	return rack
}
