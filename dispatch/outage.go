package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// An owner without the store can't tell a general outage from one of its own, after which it has a successor. Only in a general outage
// do leases have to last for long. An owner therefore grants leases that end soon after its last successful commit, unless a witness, another
// node, has confirmed that it does not reach the store either. The witnesses are stated in each ownership row.
//
// A successor replaces one version of that row, the predecessor's last one, and asks the witnesses in it whether they have confirmed an
// outage; from then on they refuse to. If all of them say no, the leases of the predecessor end LeaseCapMs after that row was written:
//   - It asks only witnesses that are in the row of its last successful commit and in all rows that it has sent since, so also in a
//     row that was written without its knowledge. A row that is sent after the first request keeps the witnesses.
//   - A confirmation holds until the next successful commit. What was granted before that commit's row was built ends within one
//     Config.Lease, which is not above the cap, of the row.

const (
	// unconfirmedTolerance replaces storeOutageTolerance while no witness has confirmed an outage. It is the longest lease of most
	// platforms; a longer Config.Lease replaces it.
	unconfirmedTolerance = 6 * time.Second
	// outageAskAfter is how long after its last successful commit an owner asks its witnesses. It is longer than a commit and the pause
	// before it take on a store that is 90 times slower than usual, and short enough for several requests before starts end.
	outageAskAfter = 3 * time.Second
	// outageAskInterval is the time between two requests to a witness.
	outageAskInterval = 500 * time.Millisecond
	// outageHoldWait replaces holdWait from outageHoldAfter after the last successful commit until an outage is confirmed. Polls in
	// flight when the limit of leases changes must return before the leases end.
	outageHoldWait  = 400 * time.Millisecond
	outageHoldAfter = 2500 * time.Millisecond
	// maxWitnesses bounds the witnesses in a row that a successor asks.
	maxWitnesses = 8
)

// ConfirmationMemory is how long a witness remembers that it has confirmed an outage. A lease that an owner grants because of it ends
// at most storeOutageTolerance after the confirmation, as no commit succeeded in between; the rest covers the drift of clocks.
const ConfirmationMemory = storeOutageTolerance * 3 / 2

// Witness is a process of a node that may confirm an outage of the store to an owner.
type Witness struct {
	Node string `json:"node"`
	Addr string `json:"addr"`
	// Incarnation is that of the process. A later one of the node does not know what this one has confirmed.
	Incarnation string `json:"inc"`
}

// outageState is what an owner knows of its witnesses and of an outage of the store.
type outageState struct {
	// wanted are the witnesses for the next row. listed are those that are in the row of the last successful commit and in all rows that
	// were built since.
	wanted, listed []Witness
	// capped is set if the last written row, or one that was built since, may state a LeaseCapMs.
	capped bool
	// asked is set once a witness was asked since the last successful commit, and confirmed once one has confirmed an outage.
	asked, confirmed bool
	askedAt          time.Time // when witnesses were last asked
}

// leaseCap returns how long after a write of the owner its leases end at the latest unless a witness has confirmed an outage; zero if there
// is no such bound below storeOutageTolerance.
func (cfg *Config) leaseCap() time.Duration {
	if limit := max(unconfirmedTolerance, cfg.Lease); cfg.ConfirmOutage != nil && limit < storeOutageTolerance {
		return limit
	}
	return 0
}

// leaseLimit returns how long after the last successful commit leases end at the latest. The caller holds mu.
func (c *Cell) leaseLimit() time.Duration {
	if c.outage.capped && !c.outage.confirmed {
		return c.cfg.leaseCap()
	}
	return storeOutageTolerance
}

// SetWitnesses sets the processes that may confirm an outage from the next commit on. Without any, leases have no cap.
func (c *Cell) SetWitnesses(witnesses []Witness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage.wanted = witnesses
}

// listWitnesses sets the witnesses and the cap of a new ownership row. The caller holds mu.
func (c *Cell) listWitnesses(owner *Ownership) {
	s := &c.outage
	owner.Witnesses = s.wanted
	if s.asked {
		owner.Witnesses = s.listed
	}
	if limit := c.cfg.leaseCap(); limit == 0 || len(owner.Witnesses) == 0 {
		owner.Witnesses = nil
	} else {
		owner.LeaseCapMs = limit.Milliseconds()
		s.capped = true
	}
	s.listed = slices.DeleteFunc(slices.Clone(s.listed), func(w Witness) bool { return !slices.Contains(owner.Witnesses, w) })
}

// recordWitnesses records that an ownership row is written. The caller holds mu.
func (c *Cell) recordWitnesses(owner *Ownership) {
	if c.outage.confirmed {
		c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "epoch": c.epoch}).Info("a commit has ended the outage of the store")
	}
	c.outage = outageState{wanted: c.outage.wanted, listed: owner.Witnesses, capped: owner.LeaseCapMs > 0, askedAt: c.outage.askedAt}
}

// awaitsConfirmation reports whether leases may soon end because no outage is confirmed. The caller holds mu.
func (c *Cell) awaitsConfirmation(now time.Time) bool {
	since := c.sinceCommit(now)
	return c.outage.capped && !c.outage.confirmed && since >= outageHoldAfter && since < c.cfg.leaseCap()
}

// askWitnesses asks the witnesses to confirm an outage if the last successful commit was too long ago. The caller holds mu.
func (c *Cell) askWitnesses(ctx context.Context, now time.Time) {
	s := &c.outage
	since := c.sinceCommit(now)
	if !s.capped || s.confirmed || c.lost || c.releasing || len(s.listed) == 0 || now.Sub(s.askedAt) < outageAskInterval ||
		since < outageAskAfter || since >= storeOutageTolerance-minLease {
		return
	}
	s.asked, s.askedAt = true, now
	version := c.ownerVersion
	for _, w := range s.listed {
		c.background.Go(func() {
			if c.cfg.ConfirmOutage(ctx, w, c.epoch) {
				c.confirmOutage(w, version)
			}
		})
	}
}

// confirmOutage records that a witness has confirmed an outage after the commit with a version.
func (c *Cell) confirmOutage(w Witness, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outage.confirmed || c.ownerVersion != version {
		return
	}
	c.outage.confirmed = true
	c.beginSteps()
	c.cfg.Metrics.outages.Inc()
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "epoch": c.epoch, "witness": w.Node, "since_commit_ms": c.sinceCommit(time.Now()).Milliseconds()}).
		Warn("an outage of the store is confirmed, leases are extended for longer")
}

// WitnessesToAsk returns the witnesses that must all deny an outage before MarkOutageDenied may be called, and whether it may be.
func (o *Ownership) WitnessesToAsk() ([]Witness, bool) {
	limit := time.Duration(o.LeaseCapMs) * time.Millisecond
	return o.Witnesses, !o.Released && limit > 0 && limit < storeOutageTolerance && limit.Milliseconds() == o.LeaseCapMs &&
		len(o.Witnesses) > 0 && len(o.Witnesses) <= maxWitnesses
}

// MarkOutageDenied records that all witnesses in the row of the last owner have confirmed no outage to it and will not do so any more.
// Leases of still earlier owners are not affected.
func (c *Cell) MarkOutageDenied() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.previous.WitnessesToAsk(); !ok || c.inheritedEnd.IsZero() {
		return
	}
	c.inheritSteps()
	end := leaseExpiry(c.previousWritten, time.Duration(c.previous.LeaseCapMs)*time.Millisecond)
	if c.earlierLeases.After(end) {
		end = c.earlierLeases
	}
	if !end.Before(c.inheritedEnd) {
		return
	}
	now := time.Now()
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "epoch": c.epoch, "previous": c.previous.Node, "unresolved": len(c.unresolved),
		"left_ms": end.Sub(now).Milliseconds(), "was_ms": c.inheritedEnd.Sub(now).Milliseconds()}).Info("leases of the previous owner end earlier, its witnesses have confirmed no outage")
	c.inheritedEnd = end
	for _, x := range c.unresolved {
		c.shortenUnresolved(x, end)
	}
}
