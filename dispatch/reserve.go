package dispatch

import (
	"slices"
	"time"

	"github.com/currantthread/currantthread/fairshare"
	"github.com/currantthread/currantthread/lookahead"
	"github.com/currantthread/currantthread/workload"
)

// maxReserveSearches bounds the searches for a runner to hold in one plan, each of which looks at the runs of all runners of a service.
const maxReserveSearches = 2

// waitingSteps are the steps of a service whose waiting tasks commit processor time, in the order of the queue.
type waitingSteps struct {
	steps []lookahead.Waiting
	// first holds the first waiting unit of each step.
	first []*unit
}

// reserveForPassedOver holds runners for short steps that commit processor time and are passed over by smaller ones. The queue is sorted. The
// caller holds mu.
func (c *Cell) reserveForPassedOver(now time.Time, views []*runnerView) {
	waiting := c.waitingSteps(now)
	if len(waiting) == 0 {
		return
	}
	searches := 0
	for service, w := range waiting {
		c.recordLargest(now, service, w.steps)
		if now.Sub(c.holds.reserveSearchedAt[service]) < holdRetry {
			continue
		}
		runners, mostFree := serviceFree(service, views)
		limit := lookahead.MaxReservations(runners) - c.holds.countReserved(service)
		if limit <= 0 {
			continue
		}
		passedOver := c.withinShares(now, w, lookahead.PassedOver(w.steps, mostFree, len(w.steps)))
		for _, i := range passedOver[:min(len(passedOver), limit)] {
			if searches >= maxReserveSearches {
				return
			}
			searches++
			if !c.holdFor(now, service, w.first[i], views) {
				c.holds.reserveSearchedAt[service] = now
			}
		}
	}
}

// withinShares returns those of the chosen steps whose organisation does not hold more than the mean weighted dominant share of the organisations
// with waiting tasks, all without organisations. A runner that is held for others would take from those that hold less. The caller holds mu.
func (c *Cell) withinShares(now time.Time, w *waitingSteps, chosen []int) []int {
	if len(chosen) == 0 || len(c.catalog.Organisations) == 0 {
		return chosen
	}
	held := c.holdings(now)
	shares, sum := map[string]float64{}, 0.0
	for _, u := range w.first {
		name := u.job.def.Organisation
		if _, known := shares[name]; !known {
			shares[name] = fairshare.Share(held.short[name], held.capacity, c.weightOf(name))
			sum += shares[name]
		}
	}
	mean := sum / float64(len(shares))
	return slices.DeleteFunc(chosen, func(i int) bool { return shares[w.first[i].job.def.Organisation] > mean+shareTolerance })
}

// shareTolerance allows for rounding in the comparison of shares.
const shareTolerance = 1e-9

// waitingSteps returns the steps of the ready units by service, if some of them may be passed over. Best-effort tasks commit no processor time
// and pass over nothing. The caller holds mu.
func (c *Cell) waitingSteps(now time.Time) map[string]*waitingSteps {
	var byService map[string]*waitingSteps
	var last *unit
	for _, u := range c.ready {
		if last != nil && u.sharesStep(last) || u.phase != phaseReady || u.job.state.Terminal() || u.def().BestEffort || !c.waitsForCapacity(now, u) {
			continue
		}
		last = u
		if byService == nil {
			byService = map[string]*waitingSteps{}
		}
		service := c.serviceOf(u.job)
		w := byService[service]
		if w == nil {
			w = &waitingSteps{}
			byService[service] = w
		}
		w.first = append(w.first, u)
		w.steps = append(w.steps, lookahead.Waiting{Demand: u.def().Committed(), Priority: u.job.def.Policy.Priority,
			Waited:   min(now.Sub(u.waitsSince()), now.Sub(u.stepState().holdEndedAt)),
			Eligible: !u.def().LongRunning && u.size == 1 && u.latenessClass != classTooLate, Reserved: c.holdOf(u) != nil})
	}
	return byService
}

// waitsForCapacity reports whether a ready unit could start now if a runner had capacity for it. No runner is held for one that could not. The caller
// holds mu.
func (c *Cell) waitsForCapacity(now time.Time, u *unit) bool {
	return !c.awaitsUnresolved(u) && c.capAllows(now, u)
}

// serviceFree returns the number of runners of a service that take tasks, and the most of each resource that any of them has free.
func serviceFree(service string, views []*runnerView) (runners int, mostFree workload.Resources) {
	for _, v := range views {
		if v.state.info.Service == service && v.candidate.Available {
			runners++
			mostFree = mostFree.Max(v.candidate.Free())
		}
	}
	return runners, mostFree
}

// largestKept is how long the largest waiting task of a service counts. Large tasks that come again find less room if small ones have taken it
// meanwhile.
const largestKept = 10 * time.Second

// largestTask is what a task commits that waited at a time.
type largestTask struct {
	demand workload.Resources
	at     time.Time
}

// recordLargest records the waiting task of a service that commits most processor time. The caller holds mu.
func (c *Cell) recordLargest(now time.Time, service string, steps []lookahead.Waiting) {
	largest := c.holds.largest[service]
	if now.Sub(largest.at) >= largestKept {
		largest = largestTask{}
	}
	for i := range steps {
		if demand := steps[i].Demand; demand.CPU >= largest.demand.CPU {
			largest = largestTask{demand, now}
		}
	}
	c.holds.largest[service] = largest
}

// largerThan returns what the largest waiting task of a unit's service commits; zero if it is not larger. The caller holds mu.
func (c *Cell) largerThan(u *unit) workload.Resources {
	if u.def().BestEffort || u.def().LongRunning || len(c.holds.largest) == 0 {
		return workload.Resources{}
	}
	largest := c.holds.largest[c.serviceOf(u.job)]
	if largest.demand.CPU <= u.def().Committed().CPU || c.plannedAt.Sub(largest.at) >= largestKept {
		return workload.Resources{}
	}
	return largest.demand
}

// hasStarted reports whether a task of the step has started on the runner since it is held.
func (h *hold) hasStarted() bool {
	for r := range h.runner.runs {
		if u := r.unit; u.job == h.job && u.occ == h.occ && u.step == h.step && !r.startedAt.Before(h.since) {
			return true
		}
	}
	return false
}
