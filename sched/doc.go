// Package sched makes the placement decisions of one cell: which queued task starts on which worker, which running
// tasks are throttled or evicted for more important work, and why a task waits.
//
// A Scheduler performs no I/O, holds no locks and reads no clock. The cell's apply loop owns it: the loop writes each
// Plan to the ledger and then calls Commit or Abort. A Plan holds its resources until then, an allocation until
// Release.
//
// The queues (active, backoff, unschedulable) and the small filter and score interfaces follow the conventions of
// kube-scheduler; plan and apply follow Nomad. The package builds on published work:
//
//   - Dominant resource fairness: Ghodsi et al., NSDI 2011. Orders the teams.
//   - Borg: Verma et al., EuroSys 2015. Equivalence classes of equal tasks; examining a few good workers, not all.
//   - Heracles: Lo et al., ISCA 2015. Feedback control that throttles batch work in favour of services.
//   - CPI2: Zhang et al., EuroSys 2013. Throttling of the most likely antagonist.
//   - Sparrow: Ousterhout et al., SOSP 2013. Sampling workers without an index was considered and rejected: it cannot
//     prove that a task fits on no worker, and the reason for parking a task depends on that proof.
package sched
