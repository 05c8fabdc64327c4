package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/runner"
)

// The deadline of a command is a time on the clock of the runner's process. A process that has started since under the same ID has a clock that
// is behind, so it grants a longer lease, up to Config.MaxLease from the arrival of the command. A successor counts leases from the last write of
// the ownership row, by the longest one that an owner grants knowingly. The row therefore lists the runners whose leases may last longer.

// maxLongLeases bounds the entries of Ownership.LongLeasesMs. The leases of the others count as ones on any runner.
const maxLongLeases = 200

// isLong reports whether a lease may end later than one that an owner grants knowingly now.
func (c *Cell) isLong(now, end time.Time) bool { return end.After(leaseExpiry(now, c.cfg.Lease)) }

// extendLease records that the runs on a runner may last until a time. A successor must know of a long lease at once. The caller holds mu.
func (c *Cell) extendLease(now time.Time, rs *runnerState, end time.Time) {
	if !end.After(rs.leaseEnd) {
		return
	}
	rs.leaseEnd = end
	if c.isLong(now, end) {
		c.cfg.Metrics.longLeases.Inc()
		c.urgent = true
		wake(c.flushWake)
	}
}

// listLongLeases sets the fields of an ownership row that say how long leases last. The caller holds mu.
func (c *Cell) listLongLeases(now time.Time, o *Ownership) {
	ends := map[string]time.Time{}
	for id, end := range c.inheritedLongLeases {
		if c.isLong(now, end) && c.unresolved[id] != nil {
			ends[id] = end
		}
	}
	for id, rs := range c.runners {
		if end := c.lastLeaseEnd(rs); c.isLong(now, end) && end.After(ends[id]) {
			ends[id] = end
		}
	}
	var rest int64
	o.LongLeasesMs, rest = encodeLongLeases(now, ends)
	o.InheritedLeaseMs = max(o.InheritedLeaseMs, rest)
}

// encodeLongLeases returns the value of Ownership.LongLeasesMs of a row that is written at a time, and how long the leases last that it leaves out,
// in milliseconds. The longest leases are left out last.
func encodeLongLeases(now time.Time, ends map[string]time.Time) (leases map[string]int64, rest int64) {
	ids := make([]string, 0, len(ends))
	for id := range ends {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return ends[b].Compare(ends[a]) })
	for i, id := range ids {
		ms := ends[id].Sub(now).Milliseconds() + 1
		if i >= maxLongLeases {
			return leases, ms
		}
		if leases == nil {
			leases = map[string]int64{}
		}
		leases[id] = ms
	}
	return leases, 0
}

// longLeaseEnds returns when the leases end that an ownership row lists as long. Times that are out of range count as the longest lease.
func longLeaseEnds(cfg *Config, leasesMs map[string]int64, written, now time.Time) map[string]time.Time {
	longest := leaseExpiry(now.Add(lateCommandPeriod), max(cfg.Lease, cfg.MaxLease, storeOutageTolerance))
	ends := leaseEnds(leasesMs, written)
	for id := range leasesMs {
		if end, ok := ends[id]; !ok || end.After(longest) {
			ends[id] = longest
		}
	}
	return ends
}

// awaitLateLease records how long a restarted runner that has not responded to this owner may hold a lease that a command of an earlier owner for its
// former process has granted. The row of the previous owner shows whether that owner knew the process. The caller holds mu.
func (c *Cell) awaitLateLease(now time.Time, info runner.Info) {
	if rs := c.runners[info.ID]; c.inheritedEnd.IsZero() || !info.Restarted || rs != nil && rs.fenced || c.terminated[info.ID] ||
		!mayHaveLateLease(now, info.Born) || c.previous.Fenced[info.ID] == info.Born {
		return
	}
	age := max(now.Sub(time.UnixMilli(info.Born)), 0)
	end := leaseExpiry(now.Add(lateCommandPeriod-age), c.longestLease())
	if !end.After(c.inheritedLongLeases[info.ID]) {
		return
	}
	c.inheritedLongLeases[info.ID] = end
	if x := c.unresolved[info.ID]; x != nil && !x.responded && end.After(x.until) {
		c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "runner": info.ID, "age_ms": age.Milliseconds(), "left_ms": end.Sub(now).Milliseconds(),
			"was_ms": x.until.Sub(now).Milliseconds()}).Info("lease of a restarted runner may last longer than its previous owner knew")
		x.until = end
	}
}

// earlierOf returns the earlier of two times.
func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
