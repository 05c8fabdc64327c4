package sched

// readyFilter rejects workers that were removed or that are not ready.
type readyFilter struct{}

func (readyFilter) name() string                      { return "are not ready" }
func (readyFilter) cause() Cause                      { return CauseNoWorker }
func (readyFilter) allows(_ *request, w *worker) bool { return w.ready() }
