package dispatch

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// A new owner does not know which tasks its predecessor started, so a task that may run on a runner that does not respond has to wait. Most
// tasks that wait after a takeover belong to steps that nobody has begun: their turn came while the cell had no owner. An owner therefore
// begins a step only once its occurrence and the ends of the steps before it are durable, and its ownership row says so. The successor need not
// wait for runners before it starts a task of a step that the rows show as blocked.
//
// While a witness has confirmed an outage of the store, and while rows are withheld, steps begin at once. The jobs of which a step
// began so are recorded, and no row states the rule before their rows are written. A successor relies on the rule only if
// the witnesses have confirmed no outage since that row, or if the row released the cell.

// durableSteps is what an owner knows of the rule that steps begin once the ends before them are durable.
type durableSteps struct {
	// stated is set if the last written ownership row, or one that was built since, may state the rule.
	stated bool
	// early holds the jobs of which a step may have begun before the ends of the steps before it were durable.
	early map[*jobState]bool
	// overstated is set while the last written row states the rule although early is not empty: the row was built before an outage was
	// confirmed. The owner starts nothing until a later row is written, because a witness may have forgotten the outage.
	overstated bool
	// inherited is set once the previous owner, and those before it, are known to have followed the rule up to their last rows.
	inherited bool
}

// beginsDurably reports whether a step may only begin once the ends of the steps before it are durable. The caller holds mu.
func (c *Cell) beginsDurably() bool { return c.steps.stated && !c.outage.confirmed }

// mayBegin reports whether the blocked units of a step may become ready. If not yet, the ends of the steps before it are made durable.
// The caller holds mu.
func (c *Cell) mayBegin(j *jobState, occ *occurrence, step int) bool {
	switch {
	case !occ.isUnblocked(step):
		return false
	case occ.isDurablyUnblocked(step):
		return true
	case c.beginsDurably():
		c.markUrgent(j)
		return false
	default:
		c.steps.early[j] = true
		return true
	}
}

// beginSteps makes the units of all steps ready that may begin. It is called when steps may begin before the ends of those before them are durable.
// The caller holds mu.
func (c *Cell) beginSteps() {
	for _, j := range c.jobs {
		if j.state.Terminal() {
			continue
		}
		for _, occ := range j.occs {
			c.readyUnblocked(occ)
		}
	}
}

// listSteps sets in a new ownership row whether the owner follows the rule. The caller holds mu.
func (c *Cell) listSteps(owner *Ownership) {
	owner.DurableSteps = owner.LeaseCapMs > 0 && len(c.withheld) == 0 && c.begunDurably()
	c.steps.stated = c.steps.stated || owner.DurableSteps
}

// begunDurably reports whether all steps that this owner or an earlier one may have begun are durably unblocked. An owner that does not know
// all runners of the cell does not know which are unresolved. The caller holds mu.
func (c *Cell) begunDurably() bool {
	return len(c.steps.early) == 0 && (len(c.unresolved) == 0 && !c.awaitsRunners || c.steps.inherited)
}

// recordSteps records that a batch is durable and begins the steps that waited for it. The caller holds mu.
func (c *Cell) recordSteps(b *batch) {
	stated := c.steps.stated
	c.steps.stated = b.owner.DurableSteps
	for _, bj := range b.jobs {
		for _, s := range bj.doneSteps {
			s.durable = true
		}
		for _, occ := range bj.newOccs {
			occ.durable = true
		}
		if bj.state.Terminal() || !bj.job.hasUndurableSteps() {
			delete(c.steps.early, bj.job)
		}
		if len(bj.doneSteps)+len(bj.newOccs) == 0 || bj.job.state.Terminal() {
			continue
		}
		for _, occ := range bj.job.occs {
			c.readyUnblocked(occ)
		}
	}
	for _, j := range b.expired {
		delete(c.steps.early, j)
	}
	if c.steps.overstated = c.steps.stated && len(c.steps.early) > 0; c.steps.overstated {
		c.urgent = true
		wake(c.flushWake)
	} else {
		wake(c.planWake)
	}
	if stated && !c.steps.stated {
		c.beginSteps()
	}
}

// doneSteps returns the steps of a job that are done and not known to be durable. The caller holds the cell's mu.
func (j *jobState) doneSteps() []*stepState {
	var done []*stepState
	for _, occ := range j.occs {
		for i := range occ.steps {
			if s := &occ.steps[i]; s.left == 0 && !s.durable {
				done = append(done, s)
			}
		}
	}
	return done
}

// newOccs returns the occurrences of a job that are not known to be durable. The caller holds the cell's mu.
func (j *jobState) newOccs() []*occurrence {
	var created []*occurrence
	for _, occ := range j.occs {
		if !occ.durable {
			created = append(created, occ)
		}
	}
	return created
}

// hasUndurableSteps reports whether a step may have begun although the ends of the steps before it are not durable. The caller holds the
// cell's mu.
func (j *jobState) hasUndurableSteps() bool {
	for _, occ := range j.occs {
		for i := range occ.steps {
			if occ.steps[i].hasBegun() && !occ.isDurablyUnblocked(i) {
				return true
			}
		}
	}
	return false
}

// hasBlocked reports whether a unit of the step is blocked.
func (s *stepState) hasBlocked() bool {
	return slices.ContainsFunc(s.units, func(u *unit) bool { return u.phase == phaseBlocked })
}

// hasBegun reports whether a unit of the step is not blocked.
func (s *stepState) hasBegun() bool {
	return slices.ContainsFunc(s.units, func(u *unit) bool { return u.phase != phaseBlocked })
}

// isDurablyUnblocked reports whether the occurrence and the ends of all steps that a step waits for are durable.
func (o *occurrence) isDurablyUnblocked(step int) bool {
	units := o.steps[step].units
	if len(units) == 0 || units[0].job.origin != "" {
		return true
	}
	if !o.durable {
		return false
	}
	for _, before := range units[0].def().After {
		if !o.steps[before].durable {
			return false
		}
	}
	return true
}

// inheritSteps records that the previous owner followed the rule up to its last row. The caller holds mu.
func (c *Cell) inheritSteps() {
	if !c.previous.DurableSteps || c.steps.inherited || c.inheritedEnd.IsZero() {
		return
	}
	c.steps.inherited = true
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "epoch": c.epoch, "previous": c.previous.Node, "unresolved": len(c.unresolved)}).
		Info("steps that the rows show as blocked have not begun")
	wake(c.planWake)
}
