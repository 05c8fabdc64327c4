package workload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Objectives and urgency are computed from the critical path of the steps, in whatever order they are listed.
func TestCriticalPath(t *testing.T) {
	job := &Job{Steps: []Step{
		{Count: 1, Estimated: 2 * time.Second},
		{Count: 1, Estimated: 5 * time.Second, After: []int{0}},
		{Count: 1, Estimated: time.Second, After: []int{0}},
		{Count: 1, Estimated: 3 * time.Second, After: []int{2, 1}},
	}}
	assert.DeepEqual(t, job.CriticalPath(), []time.Duration{10 * time.Second, 8 * time.Second, 4 * time.Second, 3 * time.Second})
}

// A task ID must be parsed as it was formatted, or reported ends match no task.
func TestTaskIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := TaskID{
			Job:        rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "job"),
			Occurrence: rapid.IntRange(0, 1000).Draw(t, "occurrence"),
			Step:       rapid.IntRange(0, 200).Draw(t, "step"),
			Index:      rapid.IntRange(0, 10_000).Draw(t, "index"),
		}
		read, err := ParseTaskID(id.String())
		assert.NilError(t, err)
		assert.Equal(t, read, id)
	})
	for _, name := range []string{"", "a.b", "x.0.0", "x.0.0.z", "x.0.-1.0", "x.0.0.0.0"} {
		_, err := ParseTaskID(name)
		assert.Assert(t, err != nil, name)
	}
}

// A later occurrence must not be due before its interval has passed.
func TestDue(t *testing.T) {
	first := time.UnixMilli(1_000_000)
	job := &Job{StartAt: first, Interval: time.Minute, Occurrences: 3}
	assert.Assert(t, job.Due(2).Equal(first.Add(2*time.Minute)))
	assert.Assert(t, (&Job{Occurrences: 1}).Due(0).IsZero())
}
