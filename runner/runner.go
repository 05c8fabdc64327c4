// Package runner defines the system's view of the processes that run tasks: what service discovery lists about them, the
// commands that the system sends them, and their reports. Package platform implements the Client that sends the
// commands.
package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/currantthread/currantthread/workload"
)

// Info is the entry of a runner in service discovery.
type Info struct {
	ID      string
	Service string
	Addr    string
	Domain  string
	// Draining runners accept no new tasks. DrainRemaining is the minimum time until such a runner leaves; 0 if unknown.
	Draining       bool
	DrainRemaining time.Duration
	// ColdRemaining is how much longer the runner will be slow after its start.
	ColdRemaining time.Duration
	Capacity      workload.Resources
	// Labels hold the kind of the runner and its rack.
	Labels []string
	// Machine identifies the VM of which the runner is one incarnation; empty if unknown.
	Machine string
	// Born is the start time of the process in milliseconds of Unix time; 0 if unknown. It changes when a process is
	// restarted under the same ID.
	Born int64
	// Restarted is set if an earlier process is known to have had the same ID.
	Restarted bool
}

// HasLabel reports whether the runner has a label.
func (i *Info) HasLabel(label string) bool { return slices.Contains(i.Labels, label) }

// Target addresses one incarnation of a runner.
type Target struct {
	Addr string
	ID   string
}

// Start is the command to start a run of a task.
type Start struct {
	Task workload.TaskID
	Run  int
	Spec string
	// Deadline is the end of the runner's lease, on the runner's clock.
	Deadline   time.Duration
	Token      int64
	Checkpoint string
	// Ticket is the advice service's permission to start; empty on queues without advice.
	Ticket string
}

// Hold is the command that extends the lease of all runs on a runner and requests a Report.
type Hold struct {
	// Deadline is the end of the lease on the runner's clock; 0 leaves the lease unchanged.
	Deadline time.Duration
	Token    int64
	// AckedEnd is the number of the last ended run that the runner may forget.
	AckedEnd int64
	// Wait is how long the runner may wait for a run to end before it responds.
	Wait time.Duration
}

// Running is a run that is in progress on a runner.
type Running struct {
	Task       workload.TaskID
	Run        int
	Checkpoint string
	// Percent is the progress of the task; a serving task reports 100 once it has started up.
	Percent int
	// Measurement is the measured tail latency in milliseconds for a serving task, and the processor time in use in
	// thousandths of a core for any other task.
	Measurement float64
	// HasMeasurement is false if the runner did not report a Measurement.
	HasMeasurement bool
}

// EndReason is how a run ended.
type EndReason string

// Ends of runs.
const (
	// EndDone is the only successful end.
	EndDone   EndReason = "done"
	EndFailed EndReason = "failed"
	// EndStopped follows a stop command.
	EndStopped EndReason = "stopped"
	// EndExpired means that the lease expired.
	EndExpired EndReason = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken EndReason = "broken"
	// EndAlone means that the other members of the gang did not start in time.
	EndAlone EndReason = "alone"
)

// Ended is a run that has ended and whose end is not acknowledged yet.
type Ended struct {
	Number     int64
	Task       workload.TaskID
	Run        int
	Reason     EndReason
	Checkpoint string
}

// MaxReportedEnds is the number of ends that a Report contains at most. The others follow once those are acknowledged.
const MaxReportedEnds = 500

// Report is the response to Hold.
type Report struct {
	Clock   time.Duration
	Running []Running
	Ended   []Ended
	// Born is as in Info; 0 if unknown.
	Born int64
}

// RefusedError is a runner's response that it did not execute a command.
type RefusedError struct {
	Reason Reason
	// Clock is the runner's clock; 0 if the response did not include it.
	Clock time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "runner refused: " + string(e.Reason) }

// Reason is why a runner refused a command.
type Reason string

// Reasons of refusals.
const (
	// ReasonFenced means that the runner has seen a higher fencing token.
	ReasonFenced Reason = "fence"
	// ReasonOldRun means that the run's number is not higher than that of a run of the task that ended on the runner.
	ReasonOldRun Reason = "old"
	// ReasonLate means that the command's deadline has passed.
	ReasonLate       Reason = "late"
	ReasonNoCapacity Reason = "room"
	ReasonTicket     Reason = "ticket"
	// ReasonInvalid means that the command is malformed.
	ReasonInvalid Reason = "invalid"
	// ReasonUnhealthy means that the runner accepts no commands at the moment.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonIncarnation means that another incarnation uses the address.
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

// ErrNotSent means that a command cannot have reached the runner.
var ErrNotSent = errors.New("command was not sent")

// Client sends commands to runners. After a *RefusedError or ErrNotSent the runner did not execute the command and won't;
// after any other error it may have executed the command or may still do so.
type Client interface {
	Start(ctx context.Context, target Target, command Start) (clock time.Duration, err error)
	Stop(ctx context.Context, target Target, task workload.TaskID, run int, token int64) error
	Hold(ctx context.Context, target Target, command Hold) (Report, error)
	Pace(ctx context.Context, target Target, task workload.TaskID, run, percent int, token int64) error
}
