package sched

// constraintFilter requires the region and the failure domain that the task names.
type constraintFilter struct{}

func (constraintFilter) name() string {
	return "are outside the region or failure domain that the task names"
}
func (constraintFilter) cause() Cause { return CauseNoWorker }
func (constraintFilter) allows(q *request, w *worker) bool {
	c := &q.spec.Constraints
	return (c.Region == "" || c.Region == w.spec.Region) && (c.Domain == "" || c.Domain == w.spec.Domain)
}
