package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"
)

// A command without a response may be executed seconds after it was sent, also by a process that has started since under the same ID: its address and
// the expected instance are the same. Such a command starts its task again and extends all leases there, on the clock of the former process.
//
// A runner does nothing for a token that is lower than one that it has seen. Once a restart is known, commands to the runner therefore carry a
// higher token: the version of the ownership row that this owner has last written. It is above the owner's earlier tokens, and below the epoch
// of any successor, which replaces that version. Until the new process has responded to it, the runner gets no tasks, and nothing is concluded from what it
// doesn't list.

// tokenFor returns the fencing token of the next command to a runner. The caller holds mu.
func (c *Cell) tokenFor(rs *runnerState) int64 {
	if !rs.fenced && rs.token <= rs.formerToken && c.ownerVersion > rs.token {
		rs.token = c.ownerVersion
	}
	return rs.token
}

// awaitsFence reports whether the present process of a restarted runner may still execute commands for an earlier one. The caller holds mu.
func (rs *runnerState) awaitsFence() bool { return !rs.fenced && rs.formerToken > 0 }

// recordFenced records that a runner's present process executes no commands for earlier ones any more. Those that it has executed may have
// extended its lease. The caller holds mu.
func (c *Cell) recordFenced(now time.Time, rs *runnerState) {
	_, inherited := c.unresolved[rs.info.ID]
	if rs.formerToken > 0 || inherited && mayHaveLateLease(now, rs.born) {
		c.extendLease(now, rs, leaseExpiry(now, c.longestLease()))
	}
	rs.fenced = true
	c.cfg.Log.WithFields(logrus.Fields{"runner": rs.info.ID, "token": rs.token, "former_token": rs.formerToken, "inherited": inherited,
		"lease_left_ms": rs.leaseEnd.Sub(now).Milliseconds()}).Debug("runner executes no commands for earlier processes")
	wake(c.planWake)
}

const (
	// lateCommandPeriod is how long after its start a process may execute commands for an earlier one. An owner without responses sends no
	// more of them after two reachableTimeout.
	lateCommandPeriod = lateCommandTimeout + 2*reachableTimeout
	// lateLeasePeriod is how long after its start a process may hold a lease that such a command has granted. Runners grant at most 10 s, and
	// maxClockLead is for the difference of the clocks.
	lateLeasePeriod = lateCommandPeriod + storeOutageTolerance + maxClockLead
)

// mayHaveLateLease reports whether a process that started at born, in milliseconds of Unix time and 0 if unknown, may hold a lease that a command for
// an earlier process has granted.
func mayHaveLateLease(now time.Time, born int64) bool {
	return born == 0 || now.Sub(time.UnixMilli(born)).Abs() < lateLeasePeriod
}

// recordRefusedToken handles the refusal of a command because of its token: another owner has sent a higher one, unless this owner has done so
// since. The caller holds mu.
func (c *Cell) recordRefusedToken(rs *runnerState, token int64) {
	if token >= rs.token {
		c.loseOwnership("a runner has seen a higher token")
	}
}

// mayStartLate reports whether a restarted runner that has not responded since may still execute the start of a run, or may have executed it late.
// The caller holds mu.
func (c *Cell) mayStartLate(now time.Time, r *run) bool {
	return r.runner.awaitsFence() && r.unanswered && now.Before(c.lateLeaseEnd(r.runner))
}

// lateLeaseEnd returns when a lease ends that the present process of a runner grants by a command for an earlier one. The caller holds mu.
func (c *Cell) lateLeaseEnd(rs *runnerState) time.Time {
	return leaseExpiry(rs.bornSeenAt.Add(lateCommandTimeout), c.longestLease())
}

// lastLeaseEnd returns when the last run that may be on a runner has ended if it receives no further command from this owner. The caller holds
// mu.
func (c *Cell) lastLeaseEnd(rs *runnerState) time.Time {
	end := rs.leaseEnd
	if !rs.awaitsFence() {
		return end
	}
	late := c.lateLeaseEnd(rs)
	for r := range rs.runs {
		if r.unanswered && late.After(end) {
			return late
		}
	}
	return end
}

// listFenced sets in a new ownership row which young processes execute no commands for earlier ones. Without the list, which is left out if it would
// be too long, a successor waits for longer. The caller holds mu.
func (c *Cell) listFenced(now time.Time, o *Ownership) {
	fenced := map[string]int64{}
	for id, born := range c.previous.Fenced {
		if c.unresolved[id] != nil && mayHaveLateLease(now, born) {
			fenced[id] = born
		}
	}
	for id, rs := range c.runners {
		if rs.fenced && (rs.formerToken > 0 || rs.info.Restarted) && rs.born != 0 && mayHaveLateLease(now, rs.born) {
			fenced[id] = rs.born
		}
	}
	if len(fenced) > 0 && len(fenced) <= maxLongLeases {
		o.Fenced = fenced
	}
}

// longestLease returns the longest lease that a runner grants.
func (c *Cell) longestLease() time.Duration { return max(c.cfg.MaxLease, c.cfg.Lease) }
