package dispatch

import "github.com/currantthread/currantthread/workload"

// Demand is the load that jobs add to a cell.
type Demand struct {
	// Committed is the processor time that the first steps commit, in thousandths of a core.
	Committed int64
	// LongRunning is the processor time that long-running tasks commit, in thousandths of a core.
	LongRunning int64
	// WorkMs is the work of all steps, in thousandths of a core times milliseconds.
	WorkMs int64
}

// Add adds the demand of a job unless it starts at a later time.
func (d *Demand) Add(job *workload.Job) {
	if !job.StartAt.IsZero() {
		return
	}
	d.LongRunning += LongRunningDemand(job)
	for i := range job.Steps {
		step := &job.Steps[i]
		count := int64(step.Count)
		if len(step.After) == 0 {
			d.Committed += step.Committed().CPU * count
		}
		if !step.LongRunning {
			d.WorkMs += step.Resources.CPU * count * step.Estimated.Milliseconds()
		}
	}
}

// Add adds demand that the cell's owner has not counted yet.
func (l *Load) Add(d Demand) {
	l.Free -= d.Committed
	l.LongRunningCapacity -= d.LongRunning
	if l.Capacity > 0 {
		l.BacklogMs += d.WorkMs / l.Capacity
	}
}

// HasFree reports whether the cell has free processors for the first steps of a job.
func (l *Load) HasFree(job *workload.Job) bool {
	var d Demand
	d.Add(job)
	return l.Free > 0 && l.Free >= d.Committed
}

// Pressure ranks cells for a new job: the backlog in seconds plus the committed share of the capacity.
func (l *Load) Pressure() float64 {
	if l.Capacity == 0 {
		return 1
	}
	return float64(l.BacklogMs)/1000 + 1 - float64(l.Free)/float64(l.Capacity)
}
