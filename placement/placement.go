// Package placement chooses the runner for a task among the runners of a cell. It keeps no state and does no I/O:
// filters exclude runners that may not take the task, and the sum of scores ranks the rest.
package placement

import (
	"github.com/currantthread/currantthread/workload"
)

// Host is a runner as a placement candidate.
type Host struct {
	ID     string
	Domain string
	Labels []string
	// Available is false for runners that take no new tasks: draining, in an evacuated failure domain, or unreachable.
	Available bool
	Capacity  workload.Resources
	// Committed is the capacity of all tasks that run, may run or are being stopped there, without the processor time of
	// best-effort tasks.
	Committed workload.Resources
	// Transient is the part of Committed that short tasks will release within seconds.
	Transient workload.Resources
	// UsedCPU is the processor time that tasks are expected to use, in thousandths of a core; serving tasks use less
	// than they commit.
	UsedCPU int64
	// Serving are the tasks with a latency target.
	Serving []Serving
	// Harmed is set while a serving task exceeds its target. No further best-effort task may then start, whatever the
	// model predicts.
	Harmed bool
	// Reserved is set for a runner that is kept for a long-running task that does not fit yet. Best-effort tasks, and
	// other long-running tasks that fit, may still start there.
	Reserved bool
	// Far is set for runners in another region than the cell's owner.
	Far bool
	// Slowdown is the learned factor of run times on this runner against others; 1 is normal.
	Slowdown float64
	// Suspect is set for runners that failed tasks which succeed elsewhere.
	Suspect bool
}

// Serving is a task with a latency target on a runner.
type Serving struct {
	Image string
	// Room is how much more pressure of best-effort tasks it tolerates within its target; negative if it exceeds the
	// target.
	Room float64
}

// Free returns the capacity that is not committed.
func (h *Host) Free() workload.Resources { return h.Capacity.Sub(h.Committed) }

func (h *Host) hasLabel(label string) bool {
	for _, l := range h.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Request is one task to place.
type Request struct {
	Step *workload.Step
	// OnHost returns how many tasks of the same step and occurrence a runner has.
	OnHost func(hostID string) int
	// Avoid is a runner on which the task failed before; empty if none.
	Avoid string
	// Rack, if set, is the only rack that is allowed. Dispatch does not set it yet.
	Rack string
	// Pressure returns how much of a serving task's capacity the request's tasks would take if they used a whole runner.
	// It is needed for best-effort tasks.
	Pressure func(servingImage string) float64
}

// Allowance returns the share of its full speed at which a best-effort task could run on a runner without pushing a
// serving task there over its target.
func Allowance(r *Request, h *Host) float64 {
	share := float64(r.Step.Resources.CPU) / float64(max(h.Capacity.CPU, 1))
	allowance := 1.0
	for _, s := range h.Serving {
		if pressure := r.Pressure(s.Image) * share; pressure > 0 {
			allowance = min(allowance, max(s.Room, 0)/pressure)
		}
	}
	return allowance
}

// Filter reports whether a runner may take a task.
type Filter func(r *Request, h *Host) bool

// Score rates how well a runner suits a task; the scores of all functions are added.
type Score func(r *Request, h *Host) float64

func isAvailable(r *Request, h *Host) bool {
	return h.Available && (!h.Reserved || r.Step.Fills || r.Step.LongRunning)
}

func hasCapacity(r *Request, h *Host) bool { return r.Step.Committed().Fits(h.Free()) }

// fitsBestEffort excludes runners too small to give a best-effort task its processor time.
func fitsBestEffort(r *Request, h *Host) bool {
	return !r.Step.Fills || r.Step.Resources.CPU <= h.Capacity.CPU
}

func hasRequiredLabel(r *Request, h *Host) bool {
	return r.Step.Label == "" || h.hasLabel(r.Step.Label)
}

func isBelowSpreadLimit(r *Request, h *Host) bool {
	return r.Step.MaxPerRunner == 0 || r.OnHost(h.ID) < r.Step.MaxPerRunner
}

func isOnRack(r *Request, h *Host) bool { return r.Rack == "" || h.hasLabel(r.Rack) }

// minAllowance is the speed below which a best-effort task is not placed on a runner.
const minAllowance = 1.0

// withinHeadroom excludes runners where a best-effort task would have to be slowed down for a serving task.
func withinHeadroom(r *Request, h *Host) bool {
	return !r.Step.Fills || !h.Harmed && Allowance(r, h) >= minAllowance
}

// hasIdleCPU excludes runners whose processors are too busy for a best-effort task.
func hasIdleCPU(r *Request, h *Host) bool {
	return !r.Step.Fills || h.UsedCPU+r.Step.Resources.CPU <= h.Capacity.CPU
}

// filters are applied in this order, the cheapest and most selective first.
var filters = []Filter{isAvailable, hasCapacity, fitsBestEffort, hasRequiredLabel, isOnRack, isBelowSpreadLimit,
	hasIdleCPU, withinHeadroom}

// Weights of the scores. A score of 1 is worth the whole processor of a runner.
const (
	weightIdleCPU = 1.0
	// weightData outweighs an empty runner, because a task away from its data takes a multiple of the time.
	weightData = 2.0
	// weightRegion prefers the owner's region, which saves 40 ms a step and traffic between regions.
	weightRegion = 0.15
	// weightDisturbance prefers runners whose serving tasks a best-effort task disturbs least, measured by the part of
	// their headroom that it takes.
	weightDisturbance = 1.0
	// weightSameImage groups serving tasks of one image, so that best-effort tasks need to suit only that image.
	// weightOtherImage is subtracted in proportion to the share of serving tasks with another image.
	weightSameImage  = 0.6
	weightOtherImage = 1.0
	// weightPack lets serving tasks fill one runner after another, which leaves others without any. weightEmpty keeps
	// them off empty runners.
	weightPack  = 0.5
	weightEmpty = 0.2
	// weightSlow is subtracted per unit of Slowdown above 1.
	weightSlow = 1.0
	// weightSuspect and weightAvoid exceed each other weight, so such a runner is used only if the others are much worse.
	weightSuspect = 4.0
	weightAvoid   = 8.0
)

// scoreIdleCPU prefers runners whose processors are used least. For serving tasks it prefers those that are nearly
// full.
func scoreIdleCPU(r *Request, h *Host) float64 {
	if r.Step.LatencyTarget > 0 {
		return -weightPack * float64(h.Free().CPU) / float64(max(h.Capacity.CPU, 1))
	}
	left := h.Capacity.CPU - h.UsedCPU
	return weightIdleCPU * float64(left) / float64(max(h.Capacity.CPU, 1))
}

func scoreData(r *Request, h *Host) float64 {
	if r.Step.DataRack != "" && h.hasLabel(r.Step.DataRack) {
		return weightData
	}
	return 0
}

func scoreRegion(_ *Request, h *Host) float64 {
	if h.Far {
		return -weightRegion
	}
	return 0
}

func scoreInterference(r *Request, h *Host) float64 {
	switch {
	case r.Step.Fills:
		return -weightDisturbance * disturbance(r, h)
	case r.Step.LatencyTarget > 0:
		return scoreColocation(r, h)
	}
	return 0
}

// minServingHeadroom keeps quotients finite for serving tasks without headroom.
const minServingHeadroom = 0.05

// disturbance returns the largest part that a best-effort task takes of a serving task's headroom, at most 1.
func disturbance(r *Request, h *Host) float64 {
	share := float64(r.Step.Resources.CPU) / float64(max(h.Capacity.CPU, 1))
	worst := 0.0
	for _, s := range h.Serving {
		worst = max(worst, r.Pressure(s.Image)*share/max(s.Room, minServingHeadroom))
	}
	return min(worst, 1)
}

// scoreColocation prefers runners whose serving tasks have the same image.
func scoreColocation(r *Request, h *Host) float64 {
	if len(h.Serving) == 0 {
		return -weightEmpty
	}
	same := 0
	for _, s := range h.Serving {
		if s.Image == r.Step.Image {
			same++
		}
	}
	share := float64(same) / float64(len(h.Serving))
	return weightSameImage*share - weightOtherImage*(1-share)
}

func scoreHealth(r *Request, h *Host) float64 {
	score := 0.0
	if h.Slowdown > 1 {
		score -= weightSlow * (h.Slowdown - 1)
	}
	if h.Suspect {
		score -= weightSuspect
	}
	if h.ID == r.Avoid {
		score -= weightAvoid
	}
	return score
}

var scores = []Score{scoreIdleCPU, scoreData, scoreRegion, scoreInterference, scoreHealth}

// Pick returns the best runner for the request, or nil if none may take it. Of equal runners it returns the first.
func Pick(r *Request, hosts []*Host) *Host {
	var best *Host
	bestScore := 0.0
	for _, h := range hosts {
		if !passes(r, h) {
			continue
		}
		score := 0.0
		for _, s := range scores {
			score += s(r, h)
		}
		if best == nil || score > bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

func passes(r *Request, h *Host) bool {
	for _, f := range filters {
		if !f(r, h) {
			return false
		}
	}
	return true
}

// Reserve returns the runner that is likely to have capacity for a task first: among those that have it once their
// short tasks have ended, the one with the most uncommitted processor time. It returns nil if none would have capacity.
func Reserve(r *Request, hosts []*Host) *Host {
	var best *Host
	for _, h := range hosts {
		if h.Reserved || !r.Step.Committed().Fits(h.Free().Add(h.Transient)) || !isAvailable(r, h) || !hasRequiredLabel(r, h) || !isOnRack(r, h) ||
			!isBelowSpreadLimit(r, h) {
			continue
		}
		if best == nil || h.Free().CPU > best.Free().CPU {
			best = h
		}
	}
	return best
}
