// Package placement chooses the runner for a task among the runners of a cell. It keeps no state and does no I/O:
// filters exclude runners that may not take the task, and the sum of scores ranks the rest.
package placement

import (
	"time"

	"github.com/currantthread/currantthread/lookahead"
	"github.com/currantthread/currantthread/workload"
)

// Candidate is a runner as a placement candidate.
type Candidate struct {
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
	// OverTarget is set while a serving task exceeds its target. No further best-effort task may then start, whatever the
	// model predicts.
	OverTarget bool
	// Reserved is set for a runner that is kept for a long-running task that does not fit yet. Best-effort tasks, and
	// other long-running tasks that fit, may still start there.
	Reserved bool
	// Held is set for a runner that is held for a short task which is expected to start there after HeldFor. Other short tasks may start
	// there only if they should end before, or if HeldCommitment says so.
	Held    bool
	HeldFor time.Duration
	// HeldCommitment is set if the runner is held for a task that commits processor time.
	HeldCommitment *HeldCommitment
	// Remote is set for runners in another region than the cell's owner.
	Remote bool
	// Slowdown is the learned factor of run times on this runner against others; 1 is normal.
	Slowdown float64
	// Suspect is set for runners that failed tasks which succeed elsewhere.
	Suspect bool
}

// HeldCommitment describes a task that commits processor time and for which a runner is held.
type HeldCommitment struct {
	// Priority of the task. Tasks that go before it are not kept off.
	Priority int
	// Spare is what remains beside the task when it starts. Other tasks may use it, whatever time they take.
	Spare workload.Resources
}

// Serving is a task with a latency target on a runner.
type Serving struct {
	Image string
	// Headroom is how much more pressure of best-effort tasks it tolerates within its target; negative if it exceeds the
	// target.
	Headroom float64
}

// Free returns the capacity that is not committed.
func (c *Candidate) Free() workload.Resources { return c.Capacity.Sub(c.Committed) }

func (c *Candidate) hasLabel(label string) bool {
	for _, l := range c.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Request is one task to place.
type Request struct {
	Step *workload.Step
	// OnRunner returns how many tasks of the same step and occurrence a runner has.
	OnRunner func(runnerID string) int
	// Avoid is a runner on which the task failed before; empty if none.
	Avoid string
	// HeldRunner is the runner that is held for the task; empty if none.
	HeldRunner string
	// RunTime is the expected run time. Without one, the estimate of the step is taken as exact.
	RunTime lookahead.Prediction
	// Priority of the task's job. 0 comes first.
	Priority int
	// Large is what a larger task that waits, or has waited shortly before, commits; zero if there is none.
	Large workload.Resources
	// Rack, if set, is the only rack that is allowed. Dispatch does not set it yet.
	Rack string
	// Pressure returns how much of a serving task's capacity the request's tasks would take if they used a whole runner.
	// It is needed for best-effort tasks.
	Pressure func(servingImage string) float64
}

// AllowedSpeed returns the share of its full speed at which a best-effort task could run on a runner without pushing a
// serving task there over its target.
func AllowedSpeed(r *Request, c *Candidate) float64 {
	share := float64(r.Step.Resources.CPU) / float64(max(c.Capacity.CPU, 1))
	allowed := 1.0
	for _, s := range c.Serving {
		if pressure := r.Pressure(s.Image) * share; pressure > 0 {
			allowed = min(allowed, max(s.Headroom, 0)/pressure)
		}
	}
	return allowed
}

// Filter reports whether a runner may take a task.
type Filter func(r *Request, c *Candidate) bool

// Score rates how well a runner suits a task; the scores of all functions are added.
type Score func(r *Request, c *Candidate) float64

func isAvailable(_ *Request, c *Candidate) bool { return c.Available }

func isUnreserved(r *Request, c *Candidate) bool {
	return !c.Reserved || r.Step.BestEffort || r.Step.LongRunning
}

func isNotHeld(r *Request, c *Candidate) bool {
	if !c.Held || r.Step.LongRunning || r.HeldRunner == c.ID || r.endsBefore(c.HeldFor) {
		return true
	}
	h := c.HeldCommitment
	return h != nil && (r.Priority < h.Priority || r.Step.Committed().Fits(h.Spare))
}

// endsBefore reports whether the task is certain enough to end within a time.
func (r *Request) endsBefore(within time.Duration) bool {
	p := r.RunTime
	if p.Typical <= 0 {
		p = lookahead.Estimated(r.Step.Estimated)
	}
	return p.EndsBefore(within)
}

// UseSpare takes the task out of what remains beside the task for which a runner is held, unless it ends before that one starts.
func (r *Request) UseSpare(c *Candidate) {
	if c.HeldCommitment == nil || r.HeldRunner == c.ID || !r.Step.LongRunning && r.endsBefore(c.HeldFor) {
		return
	}
	c.HeldCommitment.Spare = c.HeldCommitment.Spare.Sub(r.Step.Committed())
}

func hasCapacity(r *Request, c *Candidate) bool { return r.Step.Committed().Fits(c.Free()) }

// fitsBestEffort excludes runners too small to give a best-effort task its processor time.
func fitsBestEffort(r *Request, c *Candidate) bool {
	return !r.Step.BestEffort || r.Step.Resources.CPU <= c.Capacity.CPU
}

func hasRequiredLabel(r *Request, c *Candidate) bool {
	return r.Step.Label == "" || c.hasLabel(r.Step.Label)
}

func isBelowSpreadLimit(r *Request, c *Candidate) bool {
	return r.Step.MaxPerRunner == 0 || r.OnRunner(c.ID) < r.Step.MaxPerRunner
}

func isOnRack(r *Request, c *Candidate) bool { return r.Rack == "" || c.hasLabel(r.Rack) }

// minAllowedSpeed is the speed below which a best-effort task is not placed on a runner.
const minAllowedSpeed = 1.0

// isWithinTargets excludes runners with a serving task over its target for best-effort tasks.
func isWithinTargets(r *Request, c *Candidate) bool { return !r.Step.BestEffort || !c.OverTarget }

// withinHeadroom excludes runners where a best-effort task would have to be slowed down for a serving task.
func withinHeadroom(r *Request, c *Candidate) bool {
	return !r.Step.BestEffort || AllowedSpeed(r, c) >= minAllowedSpeed
}

// hasIdleCPU excludes runners whose processors are too busy for a best-effort task.
func hasIdleCPU(r *Request, c *Candidate) bool {
	return !r.Step.BestEffort || c.UsedCPU+r.Step.Resources.CPU <= c.Capacity.CPU
}

// FilterAvailable is the name of the filter that excludes runners by Candidate.Available.
const FilterAvailable = "available"

// filters are applied in this order, the cheapest and most selective first.
var filters = []struct {
	name   string
	allows Filter
}{
	{FilterAvailable, isAvailable},
	{"reserved", isUnreserved},
	{"held", isNotHeld},
	{"capacity", hasCapacity},
	{"runner_size", fitsBestEffort},
	{"label", hasRequiredLabel},
	{"rack", isOnRack},
	{"spread_limit", isBelowSpreadLimit},
	{"idle_cpu", hasIdleCPU},
	{"over_target", isWithinTargets},
	{"headroom", withinHeadroom},
}

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

// maxFragmentationScore is the most that scoreFragmentation returns. Most runners of a search are excluded by it without that score.
const maxFragmentationScore = weightAlignment

// scoreIdleCPU prefers runners whose processors are used least. For serving tasks it prefers those that are nearly
// full.
func scoreIdleCPU(r *Request, c *Candidate) float64 {
	if r.Step.LatencyTarget > 0 {
		return -weightPack * float64(c.Free().CPU) / float64(max(c.Capacity.CPU, 1))
	}
	left := c.Capacity.CPU - c.UsedCPU
	return weightIdleCPU * float64(left) / float64(max(c.Capacity.CPU, 1))
}

func scoreData(r *Request, c *Candidate) float64 {
	if r.Step.DataRack != "" && c.hasLabel(r.Step.DataRack) {
		return weightData
	}
	return 0
}

func scoreRegion(_ *Request, c *Candidate) float64 {
	if c.Remote {
		return -weightRegion
	}
	return 0
}

func scoreInterference(r *Request, c *Candidate) float64 {
	switch {
	case r.Step.BestEffort:
		return -weightDisturbance * disturbance(r, c)
	case r.Step.LatencyTarget > 0:
		return scoreColocation(r, c)
	}
	return 0
}

// minServingHeadroom keeps quotients finite for serving tasks without headroom.
const minServingHeadroom = 0.05

// disturbance returns the largest part that a best-effort task takes of a serving task's headroom, at most 1.
func disturbance(r *Request, c *Candidate) float64 {
	share := float64(r.Step.Resources.CPU) / float64(max(c.Capacity.CPU, 1))
	worst := 0.0
	for _, s := range c.Serving {
		worst = max(worst, r.Pressure(s.Image)*share/max(s.Headroom, minServingHeadroom))
	}
	return min(worst, 1)
}

// scoreColocation prefers runners whose serving tasks have the same image.
func scoreColocation(r *Request, c *Candidate) float64 {
	if len(c.Serving) == 0 {
		return -weightEmpty
	}
	same := 0
	for _, s := range c.Serving {
		if s.Image == r.Step.Image {
			same++
		}
	}
	share := float64(same) / float64(len(c.Serving))
	return weightSameImage*share - weightOtherImage*(1-share)
}

func scoreHealth(r *Request, c *Candidate) float64 {
	score := 0.0
	if c.Slowdown > 1 {
		score -= weightSlow * (c.Slowdown - 1)
	}
	if c.Suspect {
		score -= weightSuspect
	}
	if c.ID == r.Avoid {
		score -= weightAvoid
	}
	return score
}

var scores = []Score{scoreIdleCPU, scoreData, scoreRegion, scoreInterference, scoreHealth}

// Pick returns the best runner for the request, or nil if none may take it. Of equal runners it returns the first.
func Pick(r *Request, candidates []*Candidate) *Candidate {
	var best *Candidate
	bestScore := 0.0
	for _, c := range candidates {
		if ExcludedBy(r, c) != "" {
			continue
		}
		score := 0.0
		for _, s := range scores {
			score += s(r, c)
		}
		if best != nil && score+maxFragmentationScore <= bestScore {
			continue
		}
		score += scoreFragmentation(r, c)
		if best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// ExcludedBy returns the name of the first filter that excludes a runner, or "" if the runner may take the task.
func ExcludedBy(r *Request, c *Candidate) string {
	for i := range filters {
		if !filters[i].allows(r, c) {
			return filters[i].name
		}
	}
	return ""
}

// HasCapacity reports whether the free capacity of a runner suffices for the task, whatever other filters say.
func HasCapacity(r *Request, c *Candidate) bool {
	return hasCapacity(r, c) && fitsBestEffort(r, c) && hasIdleCPU(r, c)
}

// Reserve returns the runner that is likely to have capacity for a task first: among those that have it once their
// short tasks have ended, the one with the most uncommitted processor time. It returns nil if none would have capacity.
func Reserve(r *Request, candidates []*Candidate) *Candidate {
	var best *Candidate
	for _, c := range candidates {
		if c.Reserved || !r.Step.Committed().Fits(c.Free().Add(c.Transient)) || !isAvailable(r, c) || !hasRequiredLabel(r, c) || !isOnRack(r, c) ||
			!isBelowSpreadLimit(r, c) {
			continue
		}
		if best == nil || c.Free().CPU > best.Free().CPU {
			best = c
		}
	}
	return best
}
