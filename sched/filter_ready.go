package sched

// readyFilter requires a worker that is attached, in use and not suspect.
type readyFilter struct{}

func (readyFilter) name() string                      { return "are not ready" }
func (readyFilter) cause() Cause                      { return CauseNoWorker }
func (readyFilter) allows(_ *request, w *worker) bool { return w.ready() }
