package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The reserve must follow the demand of short tasks and stay within its bounds.
func TestReserveFollowsShortDemand(t *testing.T) {
	const capacity = 100_000
	for name, test := range map[string]struct{ short, want int64 }{
		"no short tasks": {0, minReserve * capacity},
		"some":           {7_000, shortDemandFactor * 7_000},
		"a backlog":      {90_000, maxReserve * capacity},
	} {
		t.Run(name, func(t *testing.T) {
			var a admission
			now := time.Now()
			for range 100 {
				a.sample(now, test.short)
				now = now.Add(admissionInterval)
			}
			assert.Equal(t, a.reserve(capacity), test.want)
		})
	}
}

// Retry-After must state when capacity is expected.
func TestCapacityWait(t *testing.T) {
	for name, test := range map[string]struct {
		load   Load
		demand int64
		want   time.Duration
	}{
		"capacity is free":            {Load{LongRunningCapacity: 5000}, 4000, minCapacityWait},
		"capacity is expected in 4 s": {Load{LongRunningCapacity: -2000, LongRunningFreed: 2000}, 6000, 4 * time.Second},
		"no long-running job ended":   {Load{}, 6000, maxCapacityWait},
		"few long-running jobs end":   {Load{LongRunningFreed: 1}, 6000, maxCapacityWait},
		"many long-running jobs end":  {Load{LongRunningFreed: 1_000_000}, 6000, minCapacityWait},
	} {
		assert.Equal(t, test.load.CapacityWait(test.demand), test.want, name)
	}
}

// The average of released capacity must be a rate per second and must decay when nothing is released.
func TestFreedCapacityIsARate(t *testing.T) {
	var a admission
	now := time.Now()
	a.sample(now, 0)
	for range 200 {
		a.freedSinceSample += 1000
		now = now.Add(admissionInterval)
		a.sample(now, 0)
	}
	assert.Assert(t, a.freedRate > 1990 && a.freedRate < 2010, "%.0f", a.freedRate)
	for range 200 {
		now = now.Add(admissionInterval)
		a.sample(now, 0)
	}
	assert.Assert(t, a.freedRate < 1, "%.0f", a.freedRate)
}
