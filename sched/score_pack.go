package sched

import "github.com/currantthread/currantthread/job"

// mostAllocatedScore prefers the workers that are fullest after the start, so that empty workers remain for large
// tasks.
type mostAllocatedScore struct{}

func (mostAllocatedScore) rate(q *request, w *worker) float64 { return fullness(q, w) }

// leastAllocatedScore prefers emptier workers, so that services have headroom for shifts of load.
type leastAllocatedScore struct{}

func (leastAllocatedScore) rate(q *request, w *worker) float64 { return 1 - fullness(q, w) }

// fullness is the committed fraction of the worker after the start, averaged over the axes on which the worker has
// capacity.
func fullness(q *request, w *worker) float64 {
	after, capacity := w.committed.Add(q.need), w.spec.Capacity
	sum, axes := 0.0, 0.0
	for _, axis := range [...]func(job.Resources) int64{cpuAxis, memoryAxis, acceleratorAxis} {
		if c := axis(capacity); c > 0 {
			sum += ratio(axis(after), c)
			axes++
		}
	}
	if axes == 0 {
		return 0
	}
	return sum / axes
}

func cpuAxis(r job.Resources) int64         { return r.CPUMilli }
func memoryAxis(r job.Resources) int64      { return r.MemoryMiB }
func acceleratorAxis(r job.Resources) int64 { return r.Accelerators }

// acceleratorScore keeps workers with accelerators free of tasks that need none.
type acceleratorScore struct{}

func (acceleratorScore) rate(q *request, w *worker) float64 {
	if q.need.Accelerators == 0 && w.spec.Capacity.Accelerators > 0 {
		return 0
	}
	return 1
}
