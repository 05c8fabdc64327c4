package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/workload"
)

// Batch tasks of 1.8 cores on runners of 16 cores went to the emptiest runner, which took the places of the tasks of 2.7 cores that waited beside
// them.
func TestSmallTasksLeavePlacesForLargeOnes(t *testing.T) {
	resources := func(cores, gigabytes float64) workload.Resources {
		return workload.Resources{CPU: int64(cores * 1000), MemoryMB: int64(gigabytes * 1000)}
	}
	type pair [2]workload.Resources
	small, large := resources(1.8, 1), resources(2.7, 1)
	ofSmall := workload.Step{Resources: small}
	for name, test := range map[string]struct {
		step  workload.Step
		large workload.Resources
		// free is what the two runners have.
		free pair
		want string
	}{
		"where the large one does not fit":        {ofSmall, large, pair{resources(3, 30), resources(2, 30)}, "b"},
		"where as many large ones fit":            {ofSmall, large, pair{resources(5.5, 30), resources(4.6, 30)}, "b"},
		"the emptier one if both lose a place":    {ofSmall, large, pair{resources(3, 30), resources(3.1, 30)}, "b"},
		"the emptier one if nothing larger waits": {ofSmall, workload.Resources{}, pair{resources(3, 30), resources(2, 30)}, "a"},
		"a much emptier one although it is lost":  {ofSmall, large, pair{resources(10, 1.5), resources(2, 30)}, "a"},
		"a best-effort one takes no place": {workload.Step{Resources: small, BestEffort: true}, large,
			pair{resources(3, 30), resources(2, 30)}, "a"},
		"a long-running one as before": {workload.Step{Resources: small, LongRunning: true}, large,
			pair{resources(3, 30), resources(2, 30)}, "a"},
		"of equal ones that of equal proportions":  {workload.Step{Resources: resources(1, 2)}, large, pair{resources(2, 30), resources(2, 10)}, "b"},
		"a large one with much memory and no more": {ofSmall, resources(1, 30), pair{resources(3, 30.5), resources(2, 20)}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			candidates := []*Candidate{newCandidate("a"), newCandidate("b")}
			for i, c := range candidates {
				c.Capacity = resources(16, 64)
				c.Committed = c.Capacity.Sub(test.free[i])
				c.UsedCPU = c.Committed.CPU
			}
			r := request(test.step)
			r.Large = test.large
			assert.Equal(t, Pick(r, candidates).ID, test.want)
		})
	}
}

// Runners without a resource, or with less than nothing free, must not give scores that are not numbers.
func TestFragmentationOfOddRunners(t *testing.T) {
	for name, c := range map[string]*Candidate{
		"no capacity": {},
		"overfull":    {Capacity: workload.Resources{CPU: 1000, MemoryMB: 1000}, Committed: workload.Resources{CPU: 2000, MemoryMB: 2000}},
	} {
		t.Run(name, func(t *testing.T) {
			r := request(workload.Step{Resources: cpu(500)})
			r.Large = cpu(1000)
			assert.Equal(t, scoreFragmentation(r, c), 0.0)
		})
	}
}
