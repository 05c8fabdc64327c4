package dispatch

import "time"

// beginWait records that the unit has no confirmed run, unless it had none before. The caller holds the cell's mu.
func (u *unit) beginWait(now time.Time) {
	if u.waitingSince.IsZero() {
		u.waitingSince = now
	}
}

// endWait records that the unit waits no more. The caller holds the cell's mu.
func (u *unit) endWait() { u.waitingSince, u.offers, u.fullAnswers = time.Time{}, 0, 0 }

// endWaits records that another cell has the units. The caller holds the cell's mu.
func endWaits(units []*unit) {
	for _, u := range units {
		u.endWait()
	}
}

// runConfirmed ends the wait of a unit once its runner has confirmed a run, or, of a gang, one run of each member. The caller
// holds the cell's mu.
func (u *unit) runConfirmed() {
	if u.waitingSince.IsZero() {
		return
	}
	confirmed := map[int]int{}
	for _, r := range u.runs {
		if r.phase != runRunning {
			continue
		}
		if confirmed[r.number]++; confirmed[r.number] >= u.size {
			u.endWait()
			return
		}
	}
}

// waitsSince returns since when a ready unit has waited. Time in which it was offered to other cells is part of the wait. The
// caller holds the cell's mu.
func (u *unit) waitsSince() time.Time {
	if u.waitingSince.IsZero() || u.readyAt.Before(u.waitingSince) {
		return u.readyAt
	}
	return u.waitingSince
}
