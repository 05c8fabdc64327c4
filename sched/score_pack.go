package sched

import "github.com/currantthread/currantthread/job"

// packScore prefers workers on which the task leaves the least unused, so that large tasks still find empty workers.
type packScore struct{}

func (packScore) rate(q *request, w *worker) float64 { return fullness(q, w) }

// roomScore prefers emptier workers, which leaves services headroom for load shifts.
type roomScore struct{}

func (roomScore) rate(q *request, w *worker) float64 { return 1 - fullness(q, w) }

// fullness is the mean over the axes that the worker has of the part committed after the start.
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

// acceleratorScore keeps tasks that need no accelerator off workers that have some.
type acceleratorScore struct{}

func (acceleratorScore) rate(q *request, w *worker) float64 {
	if q.need.Accelerators == 0 && w.spec.Capacity.Accelerators > 0 {
		return 0
	}
	return 1
}
