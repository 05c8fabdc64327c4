// Package infra is the boundary to what the platform provides: table service, object store, VM list and workers.
// It holds the interfaces, the types that cross them and the HTTP clients. No other package knows a wire detail.
package infra

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/currantthread/currantthread/job"
)

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version grows with each write of the row. 0 means that the row is absent.
	Version int64 `json:"version"`
}

// Condition demands that a row has a version when the transaction is applied. Version 0 demands that it is absent.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is applied as a whole, or not at all if a condition does not hold.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Table is the transactional table service. Reads and commits are linearizable.
//
// Errors of reads are *UnavailableError. Errors of Commit are *ConflictError and *UnavailableError, after which the
// transaction has surely not been applied, and *UnknownOutcomeError, after which it may have been or may still be.
type Table interface {
	// Read returns one row for each key, all from one instant. Absent rows have version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows whose keys start with prefix and sort after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn and returns the version that all written rows now have.
	Commit(ctx context.Context, txn Txn) (version int64, err error)
}

// ConflictError reports that conditions did not hold. Nothing was written.
type ConflictError struct {
	Keys []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conditions on %s do not hold", strings.Join(e.Keys, ", "))
}

// Has reports whether the condition on key was among those that did not hold.
func (e *ConflictError) Has(key string) bool {
	for _, k := range e.Keys {
		if k == key {
			return true
		}
	}
	return false
}

// UnavailableError reports that the platform refused or could not be reached, and that nothing was written.
type UnavailableError struct {
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("platform is unavailable: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports that the answer to a write was lost. The write may have been applied, or may be later.
type UnknownOutcomeError struct {
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write is unknown: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// IsConflict reports whether err says that a condition did not hold.
func IsConflict(err error) bool {
	var target *ConflictError
	return errors.As(err, &target)
}

// IsUnknownOutcome reports whether err leaves the outcome of a write open.
func IsUnknownOutcome(err error) bool {
	var target *UnknownOutcomeError
	return errors.As(err, &target)
}

// ErrNotFound reports that an object does not exist.
var ErrNotFound = errors.New("object does not exist")

// Objects is the object store. Objects are written once under a new key and never changed.
type Objects interface {
	// Put stores data. Storing the same data under the same key again is allowed.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the data, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}

// Role says what a VM does.
type Role string

const (
	// RoleEntry is an entry VM, which runs this system's daemons.
	RoleEntry Role = "entry"
	// RoleWorker is a VM that runs tasks.
	RoleWorker Role = "worker"
	// RoleUpstream is a runner of a service that answers requests.
	RoleUpstream Role = "upstream"
)

// VMState is the state that the VM list shows. It lags behind the truth.
type VMState string

const (
	// VMLive is a VM in use.
	VMLive VMState = "live"
	// VMLeaving is a VM that is about to go away.
	VMLeaving VMState = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	ID     string  `json:"id"`
	Role   Role    `json:"role"`
	State  VMState `json:"state"`
	Region string  `json:"region"`
	Domain string  `json:"domain"`
	Rack   string  `json:"rack,omitempty"`
	// Addr is host:port of the worker's or upstream's server, or of an entry VM's entry daemon for inner messages.
	Addr string `json:"addr"`
	// SchedAddr is host:port of an entry VM's sched daemon for inner messages.
	SchedAddr string `json:"sched_addr,omitempty"`
	// Service is the service that an upstream answers for.
	Service string `json:"service,omitempty"`
	// Capacity is what a worker can commit.
	Capacity job.Resources `json:"capacity,omitzero"`
	// Slots is how many requests an upstream works on at once; 0 means unknown.
	Slots int `json:"slots,omitempty"`
	// Connections is how many connections an upstream accepts from all entry VMs together; 0 means unknown.
	Connections int `json:"connections,omitempty"`
}

// VMList lists live and leaving VMs. It lags, so it is a hint and never a proof.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}
