package infra

import (
	"context"
	"fmt"
	"time"

	"github.com/currantthread/currantthread/job"
)

// AttemptRef names one attempt of one task.
type AttemptRef struct {
	Task    job.TaskID `json:"task"`
	Attempt int        `json:"attempt"`
}

// RunState is what a worker knows of an attempt.
type RunState string

const (
	// RunRunning is an attempt that runs.
	RunRunning RunState = "running"
	// RunCompleted is an attempt that ended well.
	RunCompleted RunState = "completed"
	// RunFailed is an attempt that ended in an error, or that could not be started.
	RunFailed RunState = "failed"
	// RunStopped is an attempt that was stopped by command, by a lapsed lease, or before it began.
	RunStopped RunState = "stopped"
)

// Ended reports whether the attempt surely runs no more.
func (s RunState) Ended() bool { return s != RunRunning }

// Report is what a worker tells the cell's owner. It is repeated in each poll until its Seq is acknowledged.
type Report struct {
	// Seq grows by one with each report of one incarnation; the first is 1.
	Seq   int64      `json:"seq"`
	Ref   AttemptRef `json:"ref"`
	State RunState   `json:"state"`
	// Checkpoint names the newest checkpoint in the object store; empty means none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// WorkMillis is the useful work done since the attempt's start, in milliseconds of declared speed.
	WorkMillis int64  `json:"work_ms,omitempty"`
	Error      string `json:"error,omitempty"`
}

// Usage is a lagging measurement of one attempt.
type Usage struct {
	Ref  AttemptRef    `json:"ref"`
	Used job.Resources `json:"used"`
	// AgeMillis is how old the measurement is, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
	// SlowdownPermille is the measured run time of a unit of work over its run time alone, in thousandths.
	SlowdownPermille int64 `json:"slowdown_permille,omitempty"`
	// CheckpointAgeMillis is the work that would be lost by stopping now without a checkpoint, in milliseconds.
	CheckpointAgeMillis int64 `json:"checkpoint_age_ms,omitempty"`
}

// AttachRequest makes its sender the owner that the worker polls.
type AttachRequest struct {
	Cell  string `json:"cell"`
	Epoch int64  `json:"epoch"`
	// OwnerURL is the base URL of the owner's poll server, such as "http://127.1.0.1:7200".
	OwnerURL string `json:"owner_url"`
}

// AttachResponse lists what the worker runs or ended without an acknowledgement.
type AttachResponse struct {
	Worker string `json:"worker"`
	// Incarnation changes with each restart of the worker. No task of an earlier incarnation runs.
	Incarnation string        `json:"incarnation"`
	Capacity    job.Resources `json:"capacity"`
	Running     []AttemptRef  `json:"running"`
	Reports     []Report      `json:"reports"`
}

// PollRequest is a worker's long poll, which also asks for the renewal of its lease.
type PollRequest struct {
	Worker      string   `json:"worker"`
	Incarnation string   `json:"incarnation"`
	Cell        string   `json:"cell"`
	Epoch       int64    `json:"epoch"`
	Reports     []Report `json:"reports,omitempty"`
	Usage       []Usage  `json:"usage,omitempty"`
	// HoldMillis is how long the owner may hold the poll while there is no command, in milliseconds.
	HoldMillis int64 `json:"hold_ms"`
}

// CommandKind says what a worker is to do.
type CommandKind string

const (
	// CommandStart starts an attempt. It is refused after the start permit or the lease has run out, and for an
	// attempt that the worker has seen before.
	CommandStart CommandKind = "start"
	// CommandStop stops an attempt. A stop for an attempt not yet seen makes the worker refuse its start.
	CommandStop CommandKind = "stop"
	// CommandCheckpoint stores a checkpoint and goes on.
	CommandCheckpoint CommandKind = "checkpoint"
	// CommandThrottle limits an attempt's processor time.
	CommandThrottle CommandKind = "throttle"
)

// Command is sent at least once; a worker applies it once.
type Command struct {
	Kind CommandKind  `json:"kind"`
	Ref  AttemptRef   `json:"ref"`
	Spec job.TaskSpec `json:"spec,omitzero"`
	// Checkpoint names the object that a start resumes from; empty means from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// SaveCheckpoint asks for a checkpoint before a stop.
	SaveCheckpoint bool `json:"save_checkpoint,omitempty"`
	// CPUPercent is the share of the declared processor time that a throttled attempt keeps, 1 to 100.
	CPUPercent int `json:"cpu_percent,omitempty"`
}

// PollResponse answers a poll. Both durations count from the instant at which the worker sent the poll.
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

// Workers calls workers.
type Workers interface {
	// Attach returns a *StaleEpochError if the worker has seen a higher epoch of the cell, and
	// *UnavailableError or *UnknownOutcomeError if it did not answer. Attaching again is allowed.
	Attach(ctx context.Context, addr string, req AttachRequest) (AttachResponse, error)
}

// PollServer answers the polls of workers.
type PollServer interface {
	// Poll returns a *StaleEpochError if the poll names another epoch than the owner's; the worker then waits for
	// an attach and keeps its lease as it was.
	Poll(ctx context.Context, req PollRequest) (PollResponse, error)
}

// StaleEpochError reports a message of an owner that is not the cell's newest.
type StaleEpochError struct {
	Cell      string
	Got, Want int64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d of cell %s is stale, want %d", e.Got, e.Cell, e.Want)
}
