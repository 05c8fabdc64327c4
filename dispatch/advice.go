package dispatch

import (
	"context"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/placement"
)

const (
	// adviceBatch is the number of runners named in one call: each adds to its time, and the service handles one call of
	// a VM at a time.
	adviceBatch = 12
	// adviceTimeout bounds a call: a place in the service's queue, the decision and a time for each runner.
	adviceTimeout = 5 * time.Second
	// adviceRetry is the pause after a failed call.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is the least validity that a ticket must have left for a start order.
	ticketMargin = 200 * time.Millisecond
)

// advice is what the advice service said about a step. Which runners may run it does not change; tickets run out.
type advice struct {
	asked   map[string]bool
	tickets map[string]string
	until   map[string]time.Time
	pending bool
	retryAt time.Time
}

// adviceOf returns the advice on a unit's step. The caller holds mu.
func (c *Cell) adviceOf(u *unit) *advice {
	key := shape{u.job, u.occ, u.step}
	a := c.advice[key]
	if a == nil {
		a = &advice{asked: map[string]bool{}, tickets: map[string]string{}, until: map[string]time.Time{}}
		c.advice[key] = a
	}
	return a
}

// permitted returns the runners for which the step has a ticket that is valid a little longer.
func (a *advice) permitted(now time.Time, hosts []*placement.Host) []*placement.Host {
	var permitted []*placement.Host
	for _, h := range hosts {
		if a.until[h.ID].Sub(now) > ticketMargin {
			permitted = append(permitted, h)
		}
	}
	return permitted
}

// askAdvice asks for tickets on runners that could take the unit: first new ones, and those whose tickets ran out.
// Calls go out one at a time. The caller holds mu.
func (c *Cell) askAdvice(ctx context.Context, now time.Time, u *unit, hosts []*placement.Host) {
	a := c.adviceOf(u)
	if a.pending || c.cfg.Advisor == nil || now.Before(a.retryAt) {
		return
	}
	var names []string
	for _, h := range hosts {
		refused := a.asked[h.ID] && a.tickets[h.ID] == ""
		if h.Available && !refused && a.until[h.ID].Sub(now) <= ticketMargin {
			names = append(names, h.ID)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		if x, y := a.asked[names[i]], a.asked[names[j]]; x != y {
			// Runners that were good before are good again.
			return x
		}
		return names[i] < names[j]
	})
	if len(names) == 0 {
		return
	}
	names = names[:min(len(names), adviceBatch)]
	a.pending = true
	c.work.Go(func() {
		c.adviceTurn.Lock()
		defer c.adviceTurn.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		sent := time.Now()
		tickets, valid, err := c.cfg.Advisor.Advise(callCtx, u.job.def.ID, u.occ, u.step, names)
		c.mu.Lock()
		defer c.mu.Unlock()
		a.pending = false
		kick(c.planKick)
		if err != nil {
			a.retryAt = time.Now().Add(adviceRetry)
			c.cfg.Log.WithFields(logrus.Fields{"request": u.job.def.ID, "step": u.step, "error": err.Error()}).Warn("advice service did not answer")
			return
		}
		for _, name := range names {
			a.asked[name] = true
			delete(a.tickets, name)
			if ticket := tickets[name]; ticket != "" {
				a.tickets[name] = ticket
				a.until[name] = sent.Add(valid)
			}
		}
	})
}
