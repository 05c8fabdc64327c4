package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/dispatch"
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
	// drainSpacing replaces discoverySpacing while a runner of this node's cells drains. Two reads of service discovery, the interval of
	// the runners' heartbeats and that of an idle owner's commits then lie within the time that silence allows.
	drainSpacing = 400 * time.Millisecond
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
		if row.draining && n.cells[n.runnerCells[id]] != nil {
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

// concludeLeft concludes which runners have left from the entries that one read no longer has, and tells their cells. It concludes nothing if an entry that did not announce a drain was removed as soon, because then
// the platform has removed entries for another reason. The caller holds mu.
func (n *Node) concludeLeft(removed []store.Row) {
	now := time.Now()
	allowed := allowedSilence(n.bounds.Load().RunnerHeartbeat)
	type conclusion struct {
		id     string
		row    listedRow
		within time.Duration
	}
	var conclusions []conclusion
	for _, row := range removed {
		id := row.Key.Name
		last, listed := n.listedRows[id]
		delete(n.listedRows, id)
		within, known := n.versions.Since(last.version)
		switch {
		case !listed || !known || within >= allowed:
		case !last.draining:
			n.unexplainedAt = now
			n.log.WithFields(logrus.Fields{"runner": id, "within_ms": within.Milliseconds()}).Info("entry of a runner was removed without a drain or silence")
		case last.born != 0:
			conclusions = append(conclusions, conclusion{id, last, within})
		}
	}
	if !n.unexplainedAt.IsZero() && now.Sub(n.unexplainedAt) < allowed {
		return
	}
	for _, c := range conclusions {
		n.leftRunners[c.id] = leftRunner{c.row.born, now}
		n.log.WithFields(logrus.Fields{"runner": c.id, "within_ms": c.within.Milliseconds(), "allowed_ms": allowed.Milliseconds(),
			"version": c.row.version, "born": c.row.born}).Info("service discovery shows that a runner has left")
		if cell := n.cells[n.runnerCells[c.id]]; cell != nil {
			cell.RunnerLeft(c.id, c.row.born)
		}
	}
	for id, left := range n.leftRunners {
		if now.Sub(left.at) > leftKept {
			delete(n.leftRunners, id)
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
