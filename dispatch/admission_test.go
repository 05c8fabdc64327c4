package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a reserve that ignores the demand of short tasks, and against one without bounds.
func TestReserveFollowsShortDemand(t *testing.T) {
	const capacity = 100_000
	for name, test := range map[string]struct{ short, want int64 }{
		"no short tasks": {0, minReserve * capacity},
		"some":           {7_000, shortHeadroom * 7_000},
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

// Guards against a Retry-After that does not say when room is expected.
func TestRoomWait(t *testing.T) {
	for name, test := range map[string]struct {
		load   Load
		demand int64
		want   time.Duration
	}{
		"room came meanwhile":   {Load{LastingRoom: 5000}, 4000, minRoomWait},
		"room comes in 4 s":     {Load{LastingRoom: -2000, LastingFreed: 2000}, 6000, 4 * time.Second},
		"no lasting job ended":  {Load{}, 6000, maxRoomWait},
		"few lasting jobs end":  {Load{LastingFreed: 1}, 6000, maxRoomWait},
		"many lasting jobs end": {Load{LastingFreed: 1_000_000}, 6000, minRoomWait},
	} {
		assert.Equal(t, test.load.RoomWait(test.demand), test.want, name)
	}
}

// Guards against a rate of given-back room that is not per second, or is not forgotten.
func TestFreedRoomIsARate(t *testing.T) {
	var a admission
	now := time.Now()
	a.sample(now, 0)
	for range 200 {
		a.freedSince += 1000
		now = now.Add(admissionInterval)
		a.sample(now, 0)
	}
	assert.Assert(t, a.freed > 1990 && a.freed < 2010, "%.0f", a.freed)
	for range 200 {
		now = now.Add(admissionInterval)
		a.sample(now, 0)
	}
	assert.Assert(t, a.freed < 1, "%.0f", a.freed)
}
