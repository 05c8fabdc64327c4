package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"
)

// delegationOutcomes are the outcomes of a request to another cell to take tasks over.
var delegationOutcomes = []Outcome{OutcomeAccepted, OutcomeFull, OutcomeRefused, OutcomeChanged, OutcomeNotOwner, OutcomeUnknown}

// recordAnswer counts the outcome of a request to another cell for units. The caller holds mu.
func (c *Cell) recordAnswer(units []*unit, outcome Outcome) {
	c.cfg.Metrics.delegations.WithLabelValues(outcome.String()).Inc()
	for _, u := range units {
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

// reportFull writes a line about a delegation that has no place here, at most once in waitLogRepeat. All other tasks that need a place have been
// placed in the packing, as far as they have one. The caller holds mu.
func (c *Cell) reportFull(now time.Time, d *Delegation, p *packing) {
	full := &c.fullAnswers
	if full.count++; now.Sub(full.loggedAt) < waitLogRepeat {
		return
	}
	waiting, unplaced := 0, 0
	for _, w := range p.wanted {
		waiting += w.count
	}
	for _, count := range p.unplaced {
		unplaced += count
	}
	step := &d.Job.Steps[d.Tasks[0].Step]
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "origin": d.Origin, "request": d.Job.ID, "tasks": len(d.Tasks), "cpu": step.Committed().CPU,
		"places": p.place(wantedTasks{step, c.serviceOfJob(d.Job), len(d.Tasks)}), "waiting": waiting, "waiting_without_place": unplaced,
		"answers": full.count}).Info("did not take tasks over, because the cell has no places")
	full.count, full.loggedAt = 0, now
}
