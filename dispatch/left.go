package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"
)

// RunnerLeft states that a runner's process, which started at born in milliseconds of Unix time, has left, so that everything on it
// has ended. Its confirmed runs are lost and it need not be waited for, both once a commit that is sent from now on has succeeded. A
// run whose start has no response waits for the lease as before, and so do tasks that a former owner may have started there until that
// owner is known to have ended: a process that starts under the same ID may get such a start and would accept it. It does nothing
// if another process has responded since.
func (c *Cell) RunnerLeft(id string, born int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	rs := c.runners[id]
	if rs != nil && rs.born != 0 && rs.born != born {
		return
	}
	if rs != nil {
		c.endLeftRunner(now, rs)
	}
	if x := c.unresolved[id]; x != nil && !x.responded {
		x.left = true
		// A former owner that may still send commands may repeat a start without a response, which the next process under this ID would accept.
		if (c.previous.Released || c.cfg.PredecessorDead) && now.Before(x.until) {
			x.until = now
		}
	}
	c.ownedAt(now)
}

// endLeftRunner ends the confirmed runs on a runner that has left, and its lease unless a start is open. The caller holds mu.
func (c *Cell) endLeftRunner(now time.Time, rs *runnerState) {
	lost := 0
	for r := range rs.runs {
		if r.phase == runRunning {
			lost++
			c.loseRun(now, r, now, "runner has left")
		}
	}
	open := rs.hasOpenStarts()
	if !open {
		// A poll in flight may be without a response for seconds.
		rs.pollFailing = true
		if now.Before(rs.leaseEnd) {
			rs.leaseEnd = now
		}
	}
	c.cfg.Metrics.left.Inc()
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "runner": rs.info.ID, "runs": lost, "open_starts": open}).Info("runner has left")
}
