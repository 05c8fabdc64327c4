package dispatch

import (
	"context"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/placement"
)

const (
	// adviceBatch is the number of runners in one call. Each runner adds to the duration of the call, and the service
	// handles one call of a VM at a time.
	adviceBatch = 12
	// adviceTimeout bounds a call, including its time in the service's queue and the time for each runner.
	adviceTimeout = 5 * time.Second
	// adviceRetry is the pause after a failed call.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is the minimum remaining validity of a ticket that is used for a start command.
	ticketMargin = 200 * time.Millisecond
)

// advice holds the responses of the advice service for a step. The set of permitted runners does not change, but
// tickets expire.
type advice struct {
	asked      map[string]bool
	tickets    map[string]string
	validUntil map[string]time.Time
	pending    bool
	retryAt    time.Time
}

// adviceOf returns the advice for a unit's step. The caller holds mu.
func (c *Cell) adviceOf(u *unit) *advice {
	key := equivClass{u.job, u.occ, u.step}
	a := c.advice[key]
	if a == nil {
		a = &advice{asked: map[string]bool{}, tickets: map[string]string{}, validUntil: map[string]time.Time{}}
		c.advice[key] = a
	}
	return a
}

// permitted returns the runners for which the step has a ticket that stays valid for at least ticketMargin.
func (a *advice) permitted(now time.Time, candidates []*placement.Candidate) []*placement.Candidate {
	var permitted []*placement.Candidate
	for _, candidate := range candidates {
		if a.validUntil[candidate.ID].Sub(now) > ticketMargin {
			permitted = append(permitted, candidate)
		}
	}
	return permitted
}

// requestAdvice requests tickets for runners that could run the unit. Runners that were permitted before and whose
// tickets expired come first, then runners not asked about yet. One call is in flight at a time. The caller holds mu.
func (c *Cell) requestAdvice(ctx context.Context, now time.Time, u *unit, candidates []*placement.Candidate) {
	a := c.adviceOf(u)
	if a.pending || c.cfg.Advisor == nil || now.Before(a.retryAt) {
		return
	}
	var ids []string
	for _, candidate := range candidates {
		refused := a.asked[candidate.ID] && a.tickets[candidate.ID] == ""
		if candidate.Available && !refused && a.validUntil[candidate.ID].Sub(now) <= ticketMargin {
			ids = append(ids, candidate.ID)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		if x, y := a.asked[ids[i]], a.asked[ids[j]]; x != y {
			// Runners that were permitted before will be permitted again.
			return x
		}
		return ids[i] < ids[j]
	})
	if len(ids) == 0 {
		return
	}
	ids = ids[:min(len(ids), adviceBatch)]
	a.pending = true
	c.background.Go(func() {
		c.adviceMu.Lock()
		defer c.adviceMu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		sent := time.Now()
		tickets, valid, err := c.cfg.Advisor.Advise(callCtx, u.job.def.ID, u.occ, u.step, ids)
		c.mu.Lock()
		defer c.mu.Unlock()
		a.pending = false
		wake(c.planWake)
		if err != nil {
			a.retryAt = time.Now().Add(adviceRetry)
			c.cfg.Log.WithFields(logrus.Fields{"request": u.job.def.ID, "step": u.step, "error": err.Error()}).Warn("advice request failed")
			return
		}
		for _, id := range ids {
			a.asked[id] = true
			delete(a.tickets, id)
			if ticket := tickets[id]; ticket != "" {
				a.tickets[id] = ticket
				a.validUntil[id] = sent.Add(valid)
			}
		}
	})
}
