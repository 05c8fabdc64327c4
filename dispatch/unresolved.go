package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/runner"
)

// unresolvedRunner is a runner that has not responded to this owner and may run tasks that an earlier owner started.
type unresolvedRunner struct {
	// info has only the ID and perhaps the address if service discovery does not list the runner.
	info runner.Info
	// until is when the last lease that an earlier owner can have granted has expired.
	until time.Time
	// responded is set once the runner has responded to this owner, at the time until.
	responded bool
	// left is set once the runner's process is known to have left.
	left bool
	// inventory is what the previous owner has listed of the units that may run there.
	inventory *inventory
	// leasedUntil is when the runs of the inventory's leased units have ended; zero if that is not known.
	leasedUntil time.Time
}

// inheritedLeaseEnd returns when the last lease that the previous owner, or one before it, can have granted has expired.
func inheritedLeaseEnd(cfg *Config, previous Ownership, now time.Time) time.Time {
	end := leaseExpiry(now, cfg.Lease)
	if !previous.Released {
		// No lease ends later than this after the last write. An owner that may still be alive may go on extending leases until then.
		lastWrite := now
		if !cfg.PredecessorLastWrite.IsZero() {
			lastWrite = cfg.PredecessorLastWrite
		}
		if unwritten := leaseExpiry(lastWrite, storeOutageTolerance); !cfg.PredecessorDead || unwritten.Before(end) {
			end = unwritten
		}
	}
	if earlier := earlierLeaseEnd(cfg, previous, now); earlier.After(end) {
		end = earlier
	}
	return end
}

// earlierLeaseEnd returns when the leases of owners before the previous one have expired.
func earlierLeaseEnd(cfg *Config, previous Ownership, now time.Time) time.Time {
	longest := leaseExpiry(now, max(cfg.Lease, storeOutageTolerance))
	return now.Add(time.Duration(min(max(previous.InheritedLeaseMs, 0), longest.Sub(now).Milliseconds())) * time.Millisecond)
}

// initUnresolved records the runners that may still run tasks started by the predecessor, until the given time. It is called
// before the cell is shared with other goroutines.
func (c *Cell) initUnresolved(previous Ownership, runners []runner.Info, until time.Time) {
	c.previous = previous
	c.earlierLeases = earlierLeaseEnd(&c.cfg, previous, time.Now())
	for _, id := range previous.Terminated {
		c.terminated[id] = true
	}
	for id := range c.assignedRunners() {
		// This node may not know yet of a runner that got its first tasks shortly before the takeover.
		runners = append(runners, runner.Info{ID: id})
	}
	c.inheritedEnd = until
	if previous.Released {
		c.inheritSteps()
	}
	written := previousWrite(&c.cfg, previous, time.Now())
	c.previousWritten = written
	c.silentLeaseEnds, c.closedLeaseEnds = leaseEnds(previous.LeasesMs, written), leaseEnds(previous.ClosedLeasesMs, written)
	c.inheritedLongLeases = longLeaseEnds(&c.cfg, previous.LongLeasesMs, written, time.Now())
	c.addUnresolved(runners)
}

// previousWrite returns a time by which the last row of the previous owner was written: it was written before it was first seen, and that of a
// released cell may be as new as the acquisition.
func previousWrite(cfg *Config, previous Ownership, now time.Time) time.Time {
	if previous.Released || cfg.PredecessorLastWrite.IsZero() {
		return now
	}
	return cfg.PredecessorLastWrite
}

// leaseEnds returns when leases end that last for the given times in milliseconds. Times that are out of range are left out.
func leaseEnds(leasesMs map[string]int64, written time.Time) map[string]time.Time {
	ends := map[string]time.Time{}
	for id, ms := range leasesMs {
		if lease := time.Duration(ms) * time.Millisecond; ms >= 0 && lease.Milliseconds() == ms {
			ends[id] = written.Add(lease)
		}
	}
	return ends
}

// addUnresolved records runners that may run tasks of an earlier owner, once each. The caller holds mu.
func (c *Cell) addUnresolved(runners []runner.Info) {
	for _, info := range runners {
		c.awaitLateLease(time.Now(), info)
		if c.terminated[info.ID] || c.inherited[info.ID] {
			continue
		}
		c.inherited[info.ID] = true
		if rs := c.runners[info.ID]; rs != nil && rs.synced {
			continue
		}
		until := c.inheritedEnd
		if end, ok := c.silentLeaseEnds[info.ID]; ok && end.Before(until) {
			until = end
		}
		if end := c.inheritedLongLeases[info.ID]; end.After(until) {
			until = end
		}
		x := &unresolvedRunner{info: info, until: until}
		if listed, ok := c.previous.Closed[info.ID]; ok {
			x.inventory, x.leasedUntil = decodeInventory(listed), c.closedLeaseEnds[info.ID]
		}
		c.unresolved[info.ID] = x
	}
}

// ConfirmRunners states all runners that may run tasks of the cell, as read after this owner's ownership was committed, and lets
// the cell start tasks. SetRunner must have been called with what that read says of the runners that the cell has.
func (c *Cell) ConfirmRunners(runners []runner.Info) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inheritedEnd.IsZero() {
		c.addUnresolved(runners)
	}
	c.awaitsRunners = false
	wake(c.planWake)
}

// assignedRunners returns the runners to which tasks that start durably are assigned.
func (c *Cell) assignedRunners() map[string]bool {
	ids := map[string]bool{}
	for _, j := range c.jobs {
		for _, occ := range j.occs {
			for i := range occ.steps {
				for _, u := range occ.steps[i].units {
					if u.assigned != "" {
						ids[u.assigned] = true
					}
				}
			}
		}
	}
	return ids
}

// Predecessor returns the last owner and whether it may still send commands.
func (c *Cell) Predecessor() (previous Ownership, mayCommand bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.previous, !c.previous.Released && !c.cfg.PredecessorDead
}

// MarkPredecessorDead records that the process of the last owner is confirmed to have ended. Tasks on unreachable
// runners then count as lost after one lease.
func (c *Cell) MarkPredecessorDead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.PredecessorDead = true
	expiry := leaseExpiry(time.Now(), c.cfg.Lease)
	if c.earlierLeases.After(expiry) {
		expiry = c.earlierLeases
	}
	if expiry.Before(c.inheritedEnd) {
		c.inheritedEnd = expiry
	}
	for _, x := range c.unresolved {
		c.shortenUnresolved(x, expiry)
		if now := time.Now(); x.left && now.Before(x.until) {
			x.until = now
		}
	}
}

// shortenUnresolved records that the leases of earlier owners end by a time. The lease on a runner may be known to last longer. The caller holds
// mu.
func (c *Cell) shortenUnresolved(x *unresolvedRunner, end time.Time) {
	if long := c.inheritedLongLeases[x.info.ID]; long.After(end) {
		end = long
	}
	if !x.responded && end.Before(x.until) {
		x.until = end
	}
}

// expireUnresolved removes the runners whose last lease has expired. The caller holds mu.
func (c *Cell) expireUnresolved(now time.Time) {
	expired := false
	for id, x := range c.unresolved {
		if !now.After(x.until) || !c.ownedAt(x.until) {
			continue
		}
		delete(c.unresolved, id)
		wake(c.planWake)
		if x.responded {
			continue
		}
		if c.runners[id] == nil {
			c.terminated[id] = true
		}
		expired = true
		c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "runner": id, "left": x.left}).Info("lease of an unreachable runner has expired")
	}
	if expired {
		// The tasks of the runner need not wait for the next check.
		c.delegatedCheckedAt = time.Time{}
	}
}

// awaitsUnresolved reports whether a unit must not start yet because an unresolved runner may run it. The caller holds mu.
func (c *Cell) awaitsUnresolved(u *unit) bool {
	if !u.recovered {
		return false
	}
	if u.startsDurably() {
		x := c.unresolved[u.assigned]
		return x != nil && c.awaits(u, x)
	}
	if !u.begun && c.steps.inherited {
		return false
	}
	for _, x := range c.unresolved {
		if c.awaits(u, x) {
			return true
		}
	}
	return false
}

// awaits reports whether a recovered unit must not start before an unresolved runner has responded. The caller holds mu.
func (c *Cell) awaits(u *unit, x *unresolvedRunner) bool {
	if u.startsDurably() && x.info.ID != u.assigned || !u.startsDurably() && !c.mayRunOn(u, &x.info) {
		return false
	}
	until, may := x.mayRunUntil(u)
	// A runner stays unresolved until it has responded or its last lease has expired.
	return may && (until.Equal(x.until) || !time.Now().After(until) || !c.ownedAt(until))
}

// mayRunOn reports whether an earlier owner may have started a unit on a runner, as far as the runner's properties tell.
// The caller holds mu.
func (c *Cell) mayRunOn(u *unit, info *runner.Info) bool {
	if info.Service == "" {
		return true
	}
	def := u.def()
	return c.usesService(u.job, info.Service) && (def.Label == "" || info.HasLabel(def.Label)) && def.Committed().Fits(info.Capacity)
}

// usesService reports whether tasks of a job run, or may have run, on runners of a service. The caller holds mu.
func (c *Cell) usesService(j *jobState, service string) bool {
	return service == c.serviceOf(j) || service == j.def.Policy.Service || j.formerServices[service]
}
