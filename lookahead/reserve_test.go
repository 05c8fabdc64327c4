package lookahead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/workload"
)

func cores(n float64) workload.Resources {
	return workload.Resources{CPU: int64(n * 1000), MemoryMB: 1000}
}

// Urgent tasks of 2.7 cores beside batch tasks of 1.8 cores on full runners: each piece that a batch task leaves is too small for an urgent one and
// is taken by the next batch task.
func TestPassedOver(t *testing.T) {
	urgent := Waiting{Demand: cores(2.7), Waited: ReserveWait, Eligible: true}
	batch := Waiting{Demand: cores(1.8), Priority: 2, Waited: time.Second, Eligible: true}
	large := Waiting{Demand: cores(8), Priority: 2, Waited: time.Second, Eligible: true}
	change := func(w Waiting, f func(w *Waiting)) Waiting {
		f(&w)
		return w
	}
	free := cores(1)
	for name, test := range map[string]struct {
		waiting []Waiting
		free    workload.Resources
		limit   int
		want    []int
	}{
		"urgent before batch":                  {[]Waiting{urgent, batch}, free, 8, []int{0}},
		"nothing smaller waits":                {[]Waiting{urgent, urgent}, free, 8, nil},
		"nothing waits":                        {nil, free, 8, nil},
		"smaller ones have a higher priority":  {[]Waiting{change(urgent, func(w *Waiting) { w.Demand = cores(1) }), batch}, free, 8, nil},
		"it has waited too short":              {[]Waiting{change(urgent, func(w *Waiting) { w.Waited-- }), batch}, free, 8, nil},
		"it fits now":                          {[]Waiting{urgent, batch}, cores(3), 8, nil},
		"a runner is reserved already":         {[]Waiting{change(urgent, func(w *Waiting) { w.Reserved = true }), batch}, free, 8, nil},
		"it is not eligible":                   {[]Waiting{change(urgent, func(w *Waiting) { w.Eligible = false }), batch}, free, 8, nil},
		"one that is not eligible passes over": {[]Waiting{urgent, change(batch, func(w *Waiting) { w.Eligible = false })}, free, 8, []int{0}},
		"by priority, then the largest": {[]Waiting{batch, large, urgent, change(large, func(w *Waiting) { w.Demand = cores(9) })}, free, 8,
			[]int{2, 3, 1}},
		"of equal ones the first in the queue":  {[]Waiting{urgent, urgent, batch}, free, 1, []int{0}},
		"no more than the limit":                {[]Waiting{urgent, urgent, large, batch}, free, 2, []int{0, 1}},
		"the limit is used up":                  {[]Waiting{urgent, batch}, free, 0, nil},
		"more runners are reserved than before": {[]Waiting{urgent, batch}, free, -1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, PassedOver(test.waiting, test.free, test.limit), test.want)
		})
	}
}

// More reserved runners than these stand idle without need.
func TestReservationsAreBounded(t *testing.T) {
	for runners, want := range map[int]int{0: 0, 7: 0, 8: 1, 40: 5, 130: 8, 500: 8} {
		assert.Equal(t, MaxReservations(runners), want)
	}
}

// The start of a task must be expected when enough runs have ended, not when the first has, and never in the past.
func TestEarliestStart(t *testing.T) {
	now := time.Now()
	at := func(ms ...int) []time.Time {
		times := make([]time.Time, len(ms))
		for i, m := range ms {
			times[i] = now.Add(time.Duration(m) * time.Millisecond)
		}
		return times
	}
	for name, test := range map[string]struct {
		ends []time.Time
		// needed is how many runs have to end.
		needed int
		want   int
		never  bool
	}{
		"at once":               {at(100), 0, 0, false},
		"after the second":      {at(100, 300, 500), 2, 300, false},
		"after the last":        {at(100, 300), 2, 300, false},
		"not even then":         {at(100, 300), 3, 0, true},
		"on an empty runner":    {nil, 0, 0, false},
		"of overdue runs":       {at(-200, -100, 50), 2, 0, false},
		"too large for any run": {nil, 1, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := EarliestStart(now, test.ends, func(ended int) bool { return ended >= test.needed })
			assert.Equal(t, ok, !test.never)
			if ok {
				assert.Equal(t, got, at(test.want)[0])
			}
		})
	}
}

// A task of which nothing is known must not be let into capacity that is kept free, nor one that ends in time in the median only.
func TestEndsBefore(t *testing.T) {
	assert.Assert(t, !Prediction{}.EndsBefore(time.Hour))
	p := Prediction{Typical: time.Second, Upper: 1300 * time.Millisecond, Learned: true}
	assert.Assert(t, p.EndsBefore(1300*time.Millisecond) && !p.EndsBefore(1200*time.Millisecond))
}
