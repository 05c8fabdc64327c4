package lookahead

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantthread/currantthread/workload"
)

const (
	// ReserveWait is how long tasks have waited before a runner is reserved for them. Pieces that become free within a shorter time are
	// usually large enough.
	ReserveWait = 250 * time.Millisecond
	// maxReservations bounds the runners of a service that are reserved at a time, and reservedShare bounds them as one in so many of its runners,
	// because a reserved runner stands partly idle.
	maxReservations = 8
	reservedShare   = 8
)

// MaxReservations returns how many of a service's runners may be reserved at a time.
func MaxReservations(runners int) int { return min(maxReservations, runners/reservedShare) }

// EarliestStart returns when a task can start on a runner where runs end at the given times, in this order. fits reports whether the task fits
// once a number of them has ended; it is called with rising numbers. It returns false if the task does not fit even then.
func EarliestStart(now time.Time, ends []time.Time, fits func(ended int) bool) (time.Time, bool) {
	at := now
	for ended := 0; ; ended++ {
		if fits(ended) {
			return at, true
		}
		if ended == len(ends) {
			return time.Time{}, false
		}
		if ends[ended].After(at) {
			at = ends[ended]
		}
	}
}

// Waiting is the waiting tasks of one step.
type Waiting struct {
	// Demand is what one task commits, and Priority that of the job; 0 comes first.
	Demand   workload.Resources
	Priority int
	// Waited is how long the first of them has waited.
	Waited time.Duration
	// Reserved is set if a runner is reserved for them already.
	Reserved bool
	// Eligible is set if a runner may be reserved for them. Others only compete for capacity.
	Eligible bool
}

// PassedOver returns the indices of those for which a runner is to be reserved, at most limit: they have waited for ReserveWait, fit nowhere now,
// and tasks that need less and don't have a higher priority wait too, which would take each piece of capacity that becomes free. Those with a higher
// priority come first, then larger ones, then in the given order, which is that in which they are served.
func PassedOver(waiting []Waiting, mostFree workload.Resources, limit int) []int {
	if limit <= 0 {
		return nil
	}
	smallest := map[int]int64{}
	for i := range waiting {
		w := &waiting[i]
		if cpu, ok := smallest[w.Priority]; !ok || w.Demand.CPU < cpu {
			smallest[w.Priority] = w.Demand.CPU
		}
	}
	var chosen []int
	for i := range waiting {
		w := &waiting[i]
		if w.Eligible && !w.Reserved && w.Waited >= ReserveWait && !w.Demand.Fits(mostFree) && w.isPassedOver(smallest) {
			chosen = append(chosen, i)
		}
	}
	slices.SortStableFunc(chosen, func(a, b int) int {
		x, y := &waiting[a], &waiting[b]
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(y.Demand.CPU, x.Demand.CPU), cmp.Compare(y.Demand.MemoryMB, x.Demand.MemoryMB))
	})
	return chosen[:min(len(chosen), limit)]
}

// isPassedOver reports whether smaller tasks wait that don't go before. smallest holds the least processor time that a waiting task needs, by
// priority.
func (w *Waiting) isPassedOver(smallest map[int]int64) bool {
	for priority, cpu := range smallest {
		if priority >= w.Priority && cpu < w.Demand.CPU {
			return true
		}
	}
	return false
}

// EndsBefore reports whether a task that starts now is certain enough to end within a time, by the upper quantile of its run time.
func (p Prediction) EndsBefore(within time.Duration) bool { return p.Upper > 0 && p.Upper <= within }
