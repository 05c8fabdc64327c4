package node

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
)

// The platform removes an entry of service discovery when the runner has left, or after some silence. The second happens to a runner
// that still runs its tasks and does not reach the store. An entry that announced that the runner drains, and that was removed sooner
// after it was written than silence allows, proves that the runner has left. The store's versions date both (store.VersionClock).

const (
	// silentIntervals is the number of the runners' heartbeat intervals without a write after which the platform removes an entry.
	silentIntervals = 3
	// silenceMargin is the share of that time that is not relied on, because the interval is approximate and clocks differ.
	silenceMargin = 0.15
	// drainSpacing replaces discoverySpacing while a runner drains in a cell that this node has or acquires. Two reads of service discovery, the interval of
	// the runners' heartbeats and that of an idle owner's commits then lie within the time that silence allows.
	drainSpacing = 400 * time.Millisecond
	// historySpan is how far back a new owner reads the changes of service discovery: leases that the former owner granted before then
	// have ended, or will soon. maxHistoryPages bounds the pages of up to 500 changes, and historyTimeout the time.
	historySpan     = 10 * time.Second
	maxHistoryPages = 8
	historyTimeout  = 3 * time.Second
	// leftKept is how long it is kept in mind that a runner has left. It is longer than any lease.
	leftKept = 30 * time.Second
)

// allowedSilence returns within which time after its last write an entry is not removed for silence; 0 if it is not known.
func allowedSilence(heartbeat time.Duration) time.Duration {
	return time.Duration(float64(silentIntervals*heartbeat) * (1 - silenceMargin))
}

// listedRow is the last usable entry of a runner.
type listedRow struct {
	version  int64
	draining bool
	// born is the start of the runner's process in milliseconds of Unix time; 0 if unknown.
	born int64
}

// leftRunner is the process of a runner that has left, and when this node concluded it.
type leftRunner struct {
	born int64
	at   time.Time
}

// discoveryPause returns the pause until service discovery is read again.
func (n *Node) discoveryPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, row := range n.listedRows {
		// A process that has just started may not have read the roster yet.
		if cell, known := n.runnerCells[id]; row.draining && (!known || n.cells[cell] != nil || n.acquiring[cell]) {
			return drainSpacing
		}
	}
	return discoverySpacing
}

// recordListed records a usable entry. The caller holds mu.
func (n *Node) recordListed(info *runner.Info, version int64) {
	n.listedRows[info.ID] = listedRow{version, info.Draining, info.Born}
	delete(n.leftRunners, info.ID)
}

// removal is the removal of a runner's entry within a time after its last write.
type removal struct {
	id     string
	row    listedRow
	within time.Duration
}

// removedEarly returns the removals that silence does not explain.
func removedEarly(removals []removal, allowed time.Duration) (early []removal) {
	for _, r := range removals {
		if r.within < allowed {
			early = append(early, r)
		}
	}
	return early
}

// concludeLeft concludes which runners have left from the entries that one read no longer has, and tells their cells. The caller holds
// mu.
func (n *Node) concludeLeft(removed []store.Row) {
	var removals []removal
	for _, row := range removed {
		id := row.Key.Name
		last, listed := n.listedRows[id]
		delete(n.listedRows, id)
		if within, known := n.versions.Since(last.version); listed && known {
			removals = append(removals, removal{id, last, within})
		}
	}
	n.applyRemovals(removals)
}

// applyRemovals concludes which runners have left from removals that were seen together, and tells their cells. It concludes nothing if an
// entry that did not announce a drain was removed as soon, because then the platform has removed entries for another reason. The
// caller holds mu.
func (n *Node) applyRemovals(removals []removal) {
	now := time.Now()
	allowed := allowedSilence(n.bounds.Load().RunnerHeartbeat)
	early := removedEarly(removals, allowed)
	for _, r := range early {
		if !r.row.draining {
			n.unexplainedAt = now
			n.log.WithFields(logrus.Fields{"runner": r.id, "within_ms": r.within.Milliseconds()}).Info("entry of a runner was removed without a drain or silence")
		}
	}
	if !n.unexplainedAt.IsZero() && now.Sub(n.unexplainedAt) < allowed {
		return
	}
	for id, left := range n.leftRunners {
		if now.Sub(left.at) > leftKept {
			delete(n.leftRunners, id)
		}
	}
	for _, r := range early {
		if _, known := n.leftRunners[r.id]; known || r.row.born == 0 {
			continue
		}
		n.leftRunners[r.id] = leftRunner{r.row.born, now}
		n.log.WithFields(logrus.Fields{"runner": r.id, "within_ms": r.within.Milliseconds(), "allowed_ms": allowed.Milliseconds(),
			"version": r.row.version, "born": r.row.born}).Info("service discovery shows that a runner has left")
		if cell := n.cells[n.runnerCells[r.id]]; cell != nil {
			cell.RunnerLeft(r.id, r.row.born)
		}
	}
}

// readHistory reads the recent changes of service discovery for a new owner and concludes which runners left before it read any of their
// entries, or between two reads.
func (n *Node) readHistory(ctx context.Context, cell string, epoch int64) {
	if n.versions.Covers(markSpan) {
		// Its own commits date the versions, and those of others more closely.
		n.learnMarks(ctx, cell)
	}
	after, known := n.versions.VersionBefore(historySpan)
	if !known || n.bounds.Load().RunnerHeartbeat == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	began := after
	var history removalHistory
	complete := false
	for range maxHistoryPages {
		page, err := n.store.Feed(ctx, platform.TableServers, after, 0)
		if err != nil {
			if !errors.Is(err, store.ErrHistoryDropped) {
				n.log.WithFields(logrus.Fields{"cell": cell, "error": err.Error()}).Warn("could not read the changes of service discovery")
			}
			return
		}
		history.add(page.Rows, n.versions)
		after = max(after, page.Version)
		if complete = len(page.Rows) == 0 || after >= epoch; complete {
			break
		}
	}
	if !complete {
		// A later change may list a removed runner again.
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var removals []removal
	for id, r := range history.removed {
		// An entry of a later process, or of this one, may have been read meanwhile.
		if row, listed := n.listedRows[id]; !listed || row.version <= r.row.version {
			removals = append(removals, r)
		}
	}
	n.log.WithFields(logrus.Fields{"cell": cell, "after": began, "until": after, "removed": len(removals)}).Debug("read the changes of service discovery")
	n.applyRemovals(removals)
}

// removalHistory collects the removals of entries from the changes of service discovery.
type removalHistory struct {
	listed  map[string]listedRow
	removed map[string]removal
}

// add adds changes, in the order of their versions. A removal counts if the last change of the entry before it made it a usable one.
func (h *removalHistory) add(rows []store.Row, versions *store.VersionClock) {
	if h.listed == nil {
		h.listed, h.removed = map[string]listedRow{}, map[string]removal{}
	}
	for _, row := range rows {
		id := row.Key.Name
		last, listed := h.listed[id]
		delete(h.listed, id)
		delete(h.removed, id)
		if row.Deleted {
			if within, known := versions.Between(last.version, row.Version); listed && known {
				h.removed[id] = removal{id, last, within}
			}
			continue
		}
		if info, err := platform.DecodeRunner(id, row.Value); err == nil && row.Key.Part == "" {
			h.listed[id] = listedRow{row.Version, info.Draining, info.Born}
		}
	}
}

// tellLeft tells a new cell which of its runners have left. The caller holds mu.
func (n *Node) tellLeft(cell string, c *dispatch.Cell) {
	for id, left := range n.leftRunners {
		if n.runnerCells[id] == cell && time.Since(left.at) <= leftKept {
			c.RunnerLeft(id, left.born)
		}
	}
}
