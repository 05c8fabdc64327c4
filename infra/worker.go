package infra

import (
	"context"
	"fmt"
	"time"

	"github.com/currantthread/currantthread/job"
)

// AttemptRef identifies one attempt of one task.
type AttemptRef struct {
	Task    job.TaskID `json:"task"`
	Attempt int        `json:"attempt"`
}

// RunState is the state of an attempt on a worker.
type RunState string

const (
	// RunRunning is an attempt that runs.
	RunRunning RunState = "running"
	// RunCompleted is an attempt that ended successfully.
	RunCompleted RunState = "completed"
	// RunFailed is an attempt that ended with an error or could not be started.
	RunFailed RunState = "failed"
	// RunStopped is an attempt that was stopped by a command, because the lease expired, or before it began.
	RunStopped RunState = "stopped"
)

// Ended reports whether the attempt is confirmed to have ended.
func (s RunState) Ended() bool { return s != RunRunning }

// Report is a worker's report about an attempt to the cell's owner. The worker repeats it in each poll until its Seq is
// acknowledged.
type Report struct {
	// Seq numbers the reports of one incarnation consecutively, starting at 1.
	Seq   int64      `json:"seq"`
	Ref   AttemptRef `json:"ref"`
	State RunState   `json:"state"`
	// Checkpoint is the key of the newest checkpoint in the object store; empty means none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// WorkMillis is the useful work done since the attempt's start, in milliseconds of declared speed.
	WorkMillis int64  `json:"work_ms,omitempty"`
	Error      string `json:"error,omitempty"`
}

// Usage is a lagging measurement of one attempt.
type Usage struct {
	Ref  AttemptRef    `json:"ref"`
	Used job.Resources `json:"used"`
	// AgeMillis is the age of the measurement in milliseconds.
	AgeMillis int64 `json:"age_ms"`
	// SlowdownPermille is the measured run time of a unit of work divided by its run time without co-located tasks, in
	// thousandths.
	SlowdownPermille int64 `json:"slowdown_permille,omitempty"`
	// CheckpointAgeMillis is the work that would be lost if the attempt stopped now without a checkpoint, in milliseconds.
	CheckpointAgeMillis int64 `json:"checkpoint_age_ms,omitempty"`
}

// AttachRequest makes the sender the owner that the worker polls.
type AttachRequest struct {
	Cell  string `json:"cell"`
	Epoch int64  `json:"epoch"`
	// OwnerURL is the base URL of the owner's poll server, such as "http://127.1.0.1:7200".
	OwnerURL string `json:"owner_url"`
}

// AttachResponse lists the attempts that run on the worker and its unacknowledged reports.
type AttachResponse struct {
	Worker string `json:"worker"`
	// Incarnation changes with each restart of the worker. No task of an earlier incarnation is running.
	Incarnation string        `json:"incarnation"`
	Capacity    job.Resources `json:"capacity"`
	Running     []AttemptRef  `json:"running"`
	Reports     []Report      `json:"reports"`
}

// PollRequest is a worker's long poll, which also requests the renewal of its lease.
type PollRequest struct {
	Worker      string   `json:"worker"`
	Incarnation string   `json:"incarnation"`
	Cell        string   `json:"cell"`
	Epoch       int64    `json:"epoch"`
	Reports     []Report `json:"reports,omitempty"`
	Usage       []Usage  `json:"usage,omitempty"`
	// HoldMillis is how long the owner may hold the poll while it has no command to send, in milliseconds.
	HoldMillis int64 `json:"hold_ms"`
}

// CommandKind is the type of a Command.
type CommandKind string

const (
	// CommandStart starts an attempt. The worker refuses it after the start permit or the lease has expired, and for an
	// attempt for which it has received a start or a stop before.
	CommandStart CommandKind = "start"
	// CommandStop stops an attempt. If the worker has not received the start of the attempt yet, it will refuse the start.
	CommandStop CommandKind = "stop"
	// CommandCheckpoint stores a checkpoint of an attempt, which continues to run.
	CommandCheckpoint CommandKind = "checkpoint"
	// CommandThrottle limits an attempt's processor time.
	CommandThrottle CommandKind = "throttle"
)

// Command is a command from a cell's owner to a worker. It may be sent several times, but a worker applies it once.
type Command struct {
	Kind CommandKind  `json:"kind"`
	Ref  AttemptRef   `json:"ref"`
	Spec job.TaskSpec `json:"spec,omitzero"`
	// Checkpoint is the key of the object from which a start resumes; empty means from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// SaveCheckpoint requests a checkpoint before a stop.
	SaveCheckpoint bool `json:"save_checkpoint,omitempty"`
	// CPUPercent is the share of the declared processor time that a throttled attempt keeps, 1 to 100.
	CPUPercent int `json:"cpu_percent,omitempty"`
}

// PollResponse is the response to a poll. Both durations count from the time at which the worker sent the poll.
type PollResponse struct {
	LeaseMillis       int64 `json:"lease_ms"`
	StartPermitMillis int64 `json:"start_permit_ms"`
	// AckSeq acknowledges all reports up to and including this Seq.
	AckSeq   int64     `json:"ack_seq"`
	Commands []Command `json:"commands,omitempty"`
}

// Lease returns LeaseMillis as a duration.
func (r PollResponse) Lease() time.Duration { return time.Duration(r.LeaseMillis) * time.Millisecond }

// StartPermit returns StartPermitMillis as a duration.
func (r PollResponse) StartPermit() time.Duration {
	return time.Duration(r.StartPermitMillis) * time.Millisecond
}

// Workers is the client interface of workers.
type Workers interface {
	// Attach returns a *StaleEpochError if the worker was attached under a higher epoch of the cell, and
	// *UnavailableError or *UnknownOutcomeError if the call failed. Attaching again is allowed.
	Attach(ctx context.Context, addr string, req AttachRequest) (AttachResponse, error)
}

// PollServer serves the polls of workers.
type PollServer interface {
	// Poll returns a *StaleEpochError if the epoch of the poll is not the owner's. The worker then keeps its lease without
	// a renewal and waits to be attached.
	Poll(ctx context.Context, req PollRequest) (PollResponse, error)
}

// StaleEpochError reports a message whose epoch is not the newest epoch of the cell.
type StaleEpochError struct {
	Cell      string
	Got, Want int64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d of cell %s is stale, want %d", e.Got, e.Cell, e.Want)
}
