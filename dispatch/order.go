package dispatch

import "time"

// The last task of a step decides when the step ends, and a job has no value before its last step has ended. Of the tasks of a class, those that
// complete what has begun therefore go first, and jobs with little left before others with about the same latest start: in overload, more jobs end in
// time.

// nearlyDoneShare bounds the waiting tasks of a step that counts as nearly done, as one in so many of its tasks.
const nearlyDoneShare = 4

// remainingShare is the part of the remaining run time of all tasks of a job by which its tasks are postponed against those of others. It bounds
// how long a wide job waits for narrow ones.
const remainingShare = 0.05

// maxPostponingRunTime bounds the run time of a task that counts, so that sums don't overflow.
const maxPostponingRunTime = time.Hour

// rank is what the order within a class depends on, as of the last plan.
type rank struct {
	// completes is set if the unit has run before, or if its step is nearly done.
	completes bool
	// start is the latest start with which the unit's job can still meet its objective, postponed by remainingShare.
	start time.Time
}

// before reports whether a unit goes before another one of the same class: those that complete what has begun, then by the postponed latest
// start.
func (r rank) before(other rank) bool {
	if r.completes != other.completes {
		return r.completes
	}
	return r.start.Before(other.start)
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
			steps[i].waiting, steps[i].postponed = 0, c.postponement(u)
		}
	}
	for _, s := range steps {
		if s != nil {
			s.waiting++
		}
	}
	for i, u := range c.ready {
		if s := steps[i]; s != nil {
			u.rank = rank{u.completesStep(s), u.latestStart().Add(s.postponed)}
		}
	}
}

// postponement returns remainingShare of the time that the tasks of a unit's occurrence which are not done would take one after another. The caller
// holds mu.
func (c *Cell) postponement(u *unit) time.Duration {
	remaining := time.Duration(0)
	steps := u.job.occs[u.occ].steps
	for i := range steps {
		if steps[i].left > 0 && !u.job.def.Steps[i].LongRunning {
			remaining += time.Duration(steps[i].left) * min(c.predictStep(u.job.def, i).Typical, maxPostponingRunTime)
		}
	}
	return time.Duration(remainingShare * float64(remaining))
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
