// Package infra is the interface to the platform's services: table service, object store, VM list and workers. It defines
// the Go interfaces, the message types and the HTTP clients, and keeps the wire protocols out of all other packages.
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
	// Version increases with each write of the row. 0 means that the row does not exist.
	Version int64 `json:"version"`
}

// Condition requires that a row has the given version when the transaction is applied. Version 0 requires that the row
// does not exist.
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

// Txn is a transaction. It is applied atomically, or not at all if a condition does not hold.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Table is the transactional table service. Reads and commits are linearizable.
//
// Errors of reads are *UnavailableError. Errors of Commit are *ConflictError and *UnavailableError if the transaction was
// not applied and never will be, and *UnknownOutcomeError if it may have been applied or may still be.
type Table interface {
	// Read returns one row per key from one consistent snapshot. Rows that do not exist have version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows whose keys start with prefix and sort after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn and returns the new version of all written rows.
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

// Has reports whether the condition on key did not hold.
func (e *ConflictError) Has(key string) bool {
	for _, k := range e.Keys {
		if k == key {
			return true
		}
	}
	return false
}

// UnavailableError reports that the platform refused the call or could not be reached, and that nothing was written.
type UnavailableError struct {
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("platform is unavailable: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports that the response to a write was lost. The write may have been applied or may still be.
type UnknownOutcomeError struct {
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write is unknown: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// IsConflict reports whether err contains a *ConflictError.
func IsConflict(err error) bool {
	var target *ConflictError
	return errors.As(err, &target)
}

// IsUnknownOutcome reports whether err contains an *UnknownOutcomeError.
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

// Role is the purpose of a VM.
type Role string

const (
	// RoleEntry is an entry VM, which runs this system's daemons.
	RoleEntry Role = "entry"
	// RoleWorker is a VM that runs tasks.
	RoleWorker Role = "worker"
	// RoleUpstream is a VM that answers the requests of a service.
	RoleUpstream Role = "upstream"
)

// VMState is the state of a VM in the VM list, which lags behind the real state.
type VMState string

const (
	// VMLive is a VM in use.
	VMLive VMState = "live"
	// VMLeaving is a VM that will be removed.
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
	// Service is the service to which an upstream belongs.
	Service string `json:"service,omitempty"`
	// Capacity holds the resources that a worker can allocate to tasks.
	Capacity job.Resources `json:"capacity,omitzero"`
	// Slots is the number of requests that an upstream processes concurrently; 0 means unknown.
	Slots int `json:"slots,omitempty"`
	// Connections is the number of connections that an upstream accepts from all entry VMs together; 0 means unknown.
	Connections int `json:"connections,omitempty"`
}

// VMList lists live and leaving VMs. The list lags, so it must not be used as proof of a VM's state.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}
