package placement

import (
	"math"

	"github.com/currantthread/currantthread/workload"
)

const (
	// weightFragmentation is subtracted where a task takes away a place for a task of Request.Large. Smaller tasks then go where such a task does not
	// fit anyway, also if the runner is busier by this part of its processors.
	weightFragmentation = 0.3
	// weightAlignment prefers, of runners that are otherwise about equal, those whose free resources have the proportions of the demand, so that what
	// remains is not only processors or only memory.
	weightAlignment = 0.05
)

// scoreFragmentation rates what a short task leaves of a runner for larger ones that wait. Best-effort tasks commit no processor time.
func scoreFragmentation(r *Request, c *Candidate) float64 {
	if r.Large == (workload.Resources{}) || r.Step.LongRunning || r.Step.BestEffort || r.Step.LatencyTarget > 0 {
		return 0
	}
	free, demand := c.Free(), r.Step.Committed()
	score := weightAlignment * alignment(&free, &demand, &c.Capacity)
	if r.Large.Fits(free) && places(free, r.Large) > places(free.Sub(demand), r.Large) {
		score -= weightFragmentation
	}
	return score
}

// places returns how many tasks of a demand fit into free resources. The demand is not zero.
func places(free, demand workload.Resources) int64 {
	n := int64(math.MaxInt64)
	if demand.CPU > 0 {
		n = max(free.CPU, 0) / demand.CPU
	}
	if demand.MemoryMB > 0 {
		n = min(n, max(free.MemoryMB, 0)/demand.MemoryMB)
	}
	if demand.GPU > 0 {
		n = min(n, max(free.GPU, 0)/demand.GPU)
	}
	return n
}

// alignment returns the dot product of free resources and demand, as parts of the capacity and divided by their lengths: 1 if they have the same
// proportions, 0 if they have no resource in common. It is computed for many runners in a search, so the parts are multiplied by the product of the
// capacities instead of being divided.
func alignment(free, demand, capacity *workload.Resources) float64 {
	perCPU, perMemory := float64(capacity.MemoryMB), float64(capacity.CPU)
	fc, fm := float64(free.CPU)*perCPU, float64(free.MemoryMB)*perMemory
	dc, dm := float64(demand.CPU)*perCPU, float64(demand.MemoryMB)*perMemory
	dot, lengths := fc*dc+fm*dm, (fc*fc+fm*fm)*(dc*dc+dm*dm)
	if dot <= 0 {
		return 0
	}
	return dot / math.Sqrt(lengths)
}
