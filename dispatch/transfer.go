package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/store"
)

// transfer is a change of the cell that has units. It is part of the next commits of the job's row until it is applied or its
// condition does not hold.
type transfer struct {
	units []*unit
	// takesOver is set in the host. Otherwise the origin takes the units back from host.
	takesOver bool
	host      string
	condition store.Condition
	// jobRow is the job's definition if the host has not stored it yet.
	jobRow []byte
	// done is closed once the transfer is decided, and applied tells how.
	done    chan struct{}
	applied bool
}

// applyTransfers applies the transfers that became durable with a job's row. The caller holds mu.
func (c *Cell) applyTransfers(now time.Time, bj batchJob) {
	j := bj.job
	for _, t := range bj.transfers {
		for _, u := range t.units {
			if t.takesOver {
				u.returnedAt, u.returnDurable = time.Time{}, false
			}
			// A unit that got a runner with the transfer is active.
			if !j.state.Terminal() && u.phase == phaseRemote {
				c.makeReady(u)
			}
		}
		c.decide(j, t, true)
		if t.takesOver {
			if j.hostedSince == 0 {
				j.hostedSince = j.rowVersion
			}
			c.cfg.Metrics.takenOver.Add(float64(len(t.units)))
			c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "request": j.def.ID, "origin": j.origin, "tasks": len(t.units)}).
				Info("took tasks over from another cell")
		}
	}
	if len(bj.transfers) > 0 {
		c.plannedAt = now.Add(-replanInterval)
		wake(c.planWake)
	}
}

// abandonTransfer undoes a transfer whose condition does not hold: the other cell has changed its row. The caller holds mu.
func (c *Cell) abandonTransfer(j *jobState, t *transfer) {
	for _, u := range t.units {
		if t.takesOver {
			for _, r := range slices.Clone(u.runs) {
				c.detach(r)
			}
			u.phase, u.held, u.assigned = phaseRemote, false, ""
		} else {
			u.host = t.host
		}
	}
	c.decide(j, t, false)
	if len(j.returnedUnits()) > 0 {
		c.returning[j] = true
	}
	if t.takesOver && j.rowVersion == 0 && len(j.transfers) == 0 {
		c.removeJob(j)
		delete(c.delegating, j)
	}
}

// decide ends a transfer. The caller holds mu.
func (c *Cell) decide(j *jobState, t *transfer, applied bool) {
	j.transfers = slices.DeleteFunc(j.transfers, func(other *transfer) bool { return other == t })
	t.applied = applied
	close(t.done)
}
