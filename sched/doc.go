// Package sched makes the placement decisions of one cell: which queued task starts on which worker, which running
// tasks are throttled or evicted for more important work, and why a task waits.
//
// It performs no I/O, holds no locks and reads no clock. Its owner is the cell's apply loop, which writes a Plan to the
// ledger and then calls Commit or Abort. A Plan holds resources until then, and an allocation holds them until Release.
//
// The queues (active, backoff, unschedulable) and the small filter and score interfaces follow the conventions of
// kube-scheduler; plan and apply follow Nomad. Published work used here:
//
//   - Dominant resource fairness: Ghodsi et al., NSDI 2011. Orders the teams.
//   - Borg: Verma et al., EuroSys 2015. Equivalence classes of equal tasks; examining a few good workers, not all.
//   - Heracles: Lo et al., ISCA 2015. Feedback control that throttles batch work in favour of services.
//   - CPI2: Zhang et al., EuroSys 2013. Throttling of the likeliest antagonist.
//   - Sparrow: Ousterhout et al., SOSP 2013. Considered: sampling workers without an index was rejected, because it
//     cannot prove that nothing fits, which a reason for parking needs.
package sched
