package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"
)

// delegationOutcomes are the outcomes of a request to another cell to take tasks over.
var delegationOutcomes = []Outcome{OutcomeAccepted, OutcomeFull, OutcomeRefused, OutcomeChanged, OutcomeNotOwner, OutcomeUnknown}

// recordAnswer counts the outcome of a delegation with an index in a request to its host.
func (c *Cell) recordAnswer(d *delegation, outcomes []Outcome, index int, err error) {
	outcome := OutcomeUnknown
	if err == nil {
		outcome = outcomes[index]
	}
	c.cfg.Metrics.delegations.WithLabelValues(outcome.String()).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range d.units {
		u.offers++
		if outcome == OutcomeFull {
			u.fullAnswers++
		}
	}
}

// fullAnswers counts the delegations that a host has answered with OutcomeFull since the last line about them.
type fullAnswers struct {
	count    int
	loggedAt time.Time
}

// reportFull writes a line about units of another cell that have no place here, at most once in waitLogRepeat. The caller holds mu.
func (c *Cell) reportFull(now time.Time, j *jobState, units []*unit) {
	full := &c.fullAnswers
	if full.count++; now.Sub(full.loggedAt) < waitLogRepeat {
		return
	}
	p := c.newPacking()
	waiting := 0
	for _, w := range p.wanted {
		waiting += w.count
	}
	p.placeAll()
	unplaced := 0
	for _, count := range p.unplaced {
		unplaced += count
	}
	step := units[0].def()
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "origin": j.origin, "request": j.def.ID, "tasks": len(units), "cpu": step.Committed().CPU,
		"places": p.place(wantedTasks{step, c.serviceOf(j), len(units)}), "waiting": waiting, "waiting_without_place": unplaced,
		"answers": full.count}).Info("did not take tasks over, because the cell has no places")
	full.count, full.loggedAt = 0, now
}
