package dispatch

import "time"

// The last task of a step decides when the step ends, and a job has no value before its last step has ended. Of the tasks of a class, those that
// complete what has begun therefore go first.

// nearlyDoneShare bounds the waiting tasks of a step that counts as nearly done, as one in so many of its tasks.
const nearlyDoneShare = 4

// rank is what the order within a class depends on, as of the last plan.
type rank struct {
	// completes is set if the unit has run before, or if its step is nearly done.
	completes bool
	// latest is the latest start with which the unit's job can still meet its objective.
	latest time.Time
}

// before reports whether a unit goes before another one of the same class: those that complete what has begun, then by the latest start.
func (r rank) before(other rank) bool {
	if r.completes != other.completes {
		return r.completes
	}
	return r.latest.Before(other.latest)
}

// rankReady sets the ranks of the ready units. The caller holds mu.
func (c *Cell) rankReady() {
	steps := make([]*stepState, len(c.ready))
	for i, u := range c.ready {
		switch {
		case u.phase != phaseReady || u.job.state.Terminal():
			// The plan drops the unit. Its occurrence may be removed already.
		case i > 0 && steps[i-1] != nil && u.sharesStep(c.ready[i-1]):
			steps[i] = steps[i-1]
		default:
			steps[i] = u.stepState()
			steps[i].waiting = 0
		}
	}
	for _, s := range steps {
		if s != nil {
			s.waiting++
		}
	}
	for i, u := range c.ready {
		if s := steps[i]; s != nil {
			u.rank = rank{u.completesStep(s), u.latestStart()}
		}
	}
}

// sharesStep reports whether two units are of the same step.
func (u *unit) sharesStep(other *unit) bool {
	return u.job == other.job && u.occ == other.occ && u.step == other.step
}

// completesStep reports whether the unit has run before or is among the last of its step that wait. Long-running steps never end.
func (u *unit) completesStep(s *stepState) bool {
	if u.def().LongRunning {
		return false
	}
	return u.run > 0 || s.waiting*nearlyDoneShare <= len(s.units)
}
