package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// homePlaces tells how many tasks like a long-running one that waits have places in this cell once its short tasks have ended, beside the
// other long-running tasks that wait: as a delegation counts them, and on runners that take tasks now. The caller holds mu.
func (c *Cell) homePlaces(now time.Time, u *unit, tasks int) logrus.Fields {
	all, usable := c.newRespondingPacking(now), c.newPacking()
	usable.bins = slices.DeleteFunc(usable.bins, func(b bin) bool { return c.unavailable(now, b.state) != "" })
	return logrus.Fields{"long_places": c.placesFor(all, u, tasks), "long_places_usable": c.placesFor(usable, u, tasks)}
}

// placesFor returns how many of the waiting tasks of a unit's step have places in a packing in which nothing is placed. If the unit is
// offered to another cell, it returns how many of the given number would have places. The caller holds mu.
func (c *Cell) placesFor(p *packing, u *unit, tasks int) int {
	waiting := 0
	for _, w := range p.wanted {
		if w.step == u.def() {
			waiting += w.count
		}
	}
	p.placeAll()
	if u.phase == phaseRemote {
		return p.place(wantedTasks{u.def(), c.serviceOf(u.job), tasks})
	}
	return waiting - p.unplaced[u.def()]
}
