package sched

import "github.com/currantthread/currantthread/job"

// resourceFilter requires that the task fits into the capacity that is neither committed nor reserved for other tasks.
type resourceFilter struct {
	axis func(job.Resources) int64
	text string
}

func resourceFilters() []filter {
	return []filter{
		resourceFilter{cpuAxis, "have too little free processor time"},
		resourceFilter{memoryAxis, "have too little free memory"},
		resourceFilter{acceleratorAxis, "have too few free accelerators"},
	}
}

func (f resourceFilter) name() string { return f.text }
func (f resourceFilter) cause() Cause { return CauseCapacity }
func (f resourceFilter) allows(q *request, w *worker) bool {
	free := w.available()
	if q.nominee == w {
		free = w.freeFor(q.entry)
	}
	need := f.axis(q.need)
	return need == 0 || need <= f.axis(free)
}

func minResources(a, b job.Resources) job.Resources {
	return job.Resources{
		CPUMilli:     min(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// sizeFilter requires that the task fits on the worker when it is empty.
type sizeFilter struct{}

func (sizeFilter) name() string { return "are too small even when empty" }
func (sizeFilter) cause() Cause { return CauseNoWorker }
func (sizeFilter) allows(q *request, w *worker) bool {
	return q.spec.Resources.Fits(w.spec.Capacity)
}
