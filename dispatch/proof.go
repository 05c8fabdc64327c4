package dispatch

import (
	"time"

	"github.com/currantthread/currantthread/runner"
)

// An owner does not learn at once that it has a successor. What it sees of a runner shows the end of a run only if no successor
// can have extended the run's lease, taken note of its end or started it again. The proof is a commit that is sent after the
// evidence and succeeds, because it is conditional on the ownership row. Until then, the run counts as running.
//
// The same holds for a runner's process that this owner has just seen: an earlier process may have had a successor's token, and
// the new one has none, so it would accept a start that this owner may no longer send.

// lostRun is the evidence that a run ended without a recorded end. The zero value means that there is none.
type lostRun struct {
	at  time.Time
	why string
}

// ownedAt reports whether this owner is confirmed to have owned the cell at a time: a commit that was sent later has succeeded.
// If it is not confirmed, a commit is requested. The caller holds mu.
func (c *Cell) ownedAt(t time.Time) bool {
	if c.lastCommit.After(t) {
		return true
	}
	c.awaitsProof = true
	wake(c.flushWake)
	return false
}

// loseRun records that a run has ended without a recorded end, as seen at a time, and ends it once that is proved. The caller
// holds mu.
func (c *Cell) loseRun(now time.Time, r *run, at time.Time, why string) {
	if r.lost.at.IsZero() {
		r.lost = lostRun{at, why}
	}
	if c.ownedAt(r.lost.at) {
		c.endRun(now, r, runner.EndExpired, "", r.lost.why)
	}
}

// applyProof applies the conclusions that waited for a commit. The caller holds mu.
func (c *Cell) applyProof(now time.Time) {
	if !c.awaitsProof {
		return
	}
	c.awaitsProof = false
	for _, rs := range c.runners {
		c.endLostRuns(now, rs)
	}
	c.expireUnresolved(now)
	wake(c.planWake)
}

// endLostRuns ends the runs of a runner that are proved to have ended. The caller holds mu.
func (c *Cell) endLostRuns(now time.Time, rs *runnerState) {
	for r := range rs.runs {
		if !r.lost.at.IsZero() {
			c.loseRun(now, r, r.lost.at, r.lost.why)
		}
	}
}

// resolve records that a runner has responded, so that it can't run unknown tasks of an earlier owner. The caller holds mu.
func (c *Cell) resolve(now time.Time, id string) {
	if x := c.unresolved[id]; x != nil && !x.responded {
		x.responded = true
		x.until = now
	}
	c.expireUnresolved(now)
}
