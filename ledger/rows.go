package ledger

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/currantthread/currantthread/job"
)

// Owner is the value of a cell's ownership row.
type Owner struct {
	// Holder is the VM that owns the cell.
	Holder string `json:"holder"`
	// Epoch grows by one with each change of owner.
	Epoch int64 `json:"epoch"`
	// Addr is host:port of the holder's sched daemon for inner messages.
	Addr string `json:"addr"`
	// Renewal changes with each renewal, so that the row's version changes.
	Renewal int64 `json:"renewal"`
	// Released is set by a holder that has released the cell and has no commands in flight.
	Released bool `json:"released,omitempty"`
}

// AssignmentState is the recorded state of an assigned task.
type AssignmentState string

const (
	// Assigned is written before the start command is sent: the attempt may run.
	Assigned AssignmentState = "assigned"
	// Stopping means that a stop of the attempt was requested. The attempt may still run.
	Stopping AssignmentState = "stopping"
)

// Assignment is the value of an assigned task's row.
type Assignment struct {
	Task   job.Task `json:"task"`
	Worker string   `json:"worker"`
	// Incarnation is the incarnation of the worker that the attempt was assigned to. Other incarnations do not run it.
	Incarnation string          `json:"incarnation"`
	State       AssignmentState `json:"state"`
	// Commitment is the resources reserved for the attempt on the worker, at least the declared ones.
	Commitment job.Resources `json:"commitment"`
	// StopReason is why the attempt is being stopped.
	StopReason string `json:"stop_reason,omitempty"`
}

// Outcome is the final result of a task.
type Outcome string

const (
	// OutcomeCompleted is a task that finished its work.
	OutcomeCompleted Outcome = "completed"
	// OutcomeCancelled is a task that an operator cancelled.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeFailed is a task that was abandoned after failures on too many workers.
	OutcomeFailed Outcome = "failed"
)

// Done is the value of a finished task's row.
type Done struct {
	Outcome Outcome `json:"outcome"`
	Attempt int     `json:"attempt"`
	Worker  string  `json:"worker,omitempty"`
	Error   string  `json:"error,omitempty"`
}

// Cancel is the value of a cancellation row.
type Cancel struct {
	By string `json:"by"`
}

// DomainState is whether a failure domain may start tasks.
type DomainState string

const (
	// DomainIn is a failure domain in use. An absent row means the same.
	DomainIn DomainState = "in"
	// DomainOut is a failure domain that operators have taken out of use.
	DomainOut DomainState = "out"
)

// Domain is the value of a failure domain's row.
type Domain struct {
	State    DomainState `json:"state"`
	Operator string      `json:"operator"`
	Reason   string      `json:"reason,omitempty"`
}

// Encode returns the stored form of a row value.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// Row types hold only strings, numbers, slices and structs of them, which always encode.
		panic(err)
	}
	return data
}

// Decode reads a row value of type T.
func Decode[T any](key string, data []byte) (T, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return v, errors.Annotatef(err, "row %s", key)
	}
	return v, nil
}
