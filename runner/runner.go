// Package runner defines what the system knows of the processes that run tasks, and the orders that it sends them.
// Package platform implements the orders.
package runner

import (
	"context"
	"errors"
	"time"

	"github.com/currantthread/currantthread/workload"
)

// Info is what a runner says about itself in service discovery.
type Info struct {
	ID      string
	Service string
	Addr    string
	Domain  string
	// Draining runners take no new tasks. Remaining is the least time until such a runner leaves; 0 if it doesn't say.
	Draining  bool
	Remaining time.Duration
	// Cold is how much longer the runner is slow after its start.
	Cold     time.Duration
	Capacity workload.Resources
	// Labels hold the kind of the runner and its rack.
	Labels []string
	// Machine is the VM that the runner is one life of; empty if it doesn't say.
	Machine string
	// Born is the Unix time of the process's start in milliseconds; 0 if it doesn't say. It changes when a process
	// starts again under the same ID.
	Born int64
}

// Target addresses one incarnation of a runner.
type Target struct {
	Addr string
	ID   string
}

// Start orders a runner to start a run of a task.
type Start struct {
	Task workload.TaskID
	Run  int
	Spec string
	// Deadline is the end of the runner's lease, on the runner's clock.
	Deadline   time.Duration
	Token      int64
	Checkpoint string
	// Ticket is the advice service's permission; empty on queues without advice.
	Ticket string
}

// Hold extends the lease of everything that runs on a runner and asks what runs and what ended.
type Hold struct {
	// Deadline is the end of the lease on the runner's clock; 0 leaves it as it is.
	Deadline time.Duration
	Token    int64
	// Acked is the number of the last end that the runner may forget.
	Acked int64
	// Wait is how long the runner may wait for an end.
	Wait time.Duration
}

// Running is a run that a runner has.
type Running struct {
	Task       workload.TaskID
	Run        int
	Checkpoint string
	// Percent is the share of its speed at which the task is allowed to work, 100 once it has started up.
	Percent int
	// Figure is the tail latency in milliseconds of a serving task, and the thousandths of a core in use by any other.
	Figure float64
	// HasFigure is false if the runner did not report one.
	HasFigure bool
}

// How tells how a run ended.
type How string

// Ends of runs.
const (
	// EndDone is the only successful end.
	EndDone   How = "done"
	EndFailed How = "failed"
	// EndStopped follows a stop order.
	EndStopped How = "stopped"
	// EndLapsed means that the lease ran out.
	EndLapsed How = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken How = "broken"
	// EndAlone means that the other members of the gang did not come in time.
	EndAlone How = "alone"
)

// Ended is a run that ended and is not acknowledged.
type Ended struct {
	Number     int64
	Task       workload.TaskID
	Run        int
	How        How
	Checkpoint string
}

// Report is the answer to Hold.
type Report struct {
	Clock   time.Duration
	Running []Running
	Ended   []Ended
	// Born is as in Info; 0 if the runner doesn't say.
	Born int64
}

// RefusedError is a runner's answer that it did nothing.
type RefusedError struct {
	Reason Reason
	// Clock is the runner's clock; 0 if it was not told.
	Clock time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "runner refused: " + string(e.Reason) }

// Reason is why a runner refused an order.
type Reason string

// Reasons of refusals.
const (
	// ReasonFenced means that the runner has seen a higher fencing token.
	ReasonFenced Reason = "fence"
	// ReasonOldRun means that the run is not higher than one that ended there.
	ReasonOldRun Reason = "old"
	// ReasonLate means that the order's deadline has passed.
	ReasonLate   Reason = "late"
	ReasonNoRoom Reason = "room"
	ReasonTicket Reason = "ticket"
	// ReasonInvalid means that the order is malformed.
	ReasonInvalid Reason = "invalid"
	// ReasonUnhealthy means that the runner takes nothing at the moment.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonIncarnation means that another incarnation lives at the address.
	ReasonIncarnation Reason = "incarnation"
)

// ReasonOf returns the reason of a refusal, or "" for any other error.
func ReasonOf(err error) Reason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// ErrNotSent means that an order surely did not reach the runner.
var ErrNotSent = errors.New("order was not sent")

// Client sends orders. A *RefusedError and ErrNotSent say that the runner did nothing; any other error means that the
// order may have been carried out, or may still be.
type Client interface {
	Start(ctx context.Context, target Target, order Start) (clock time.Duration, err error)
	Stop(ctx context.Context, target Target, task workload.TaskID, run int, token int64) error
	Hold(ctx context.Context, target Target, order Hold) (Report, error)
	Pace(ctx context.Context, target Target, task workload.TaskID, run, percent int, token int64) error
}
