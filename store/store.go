// Package store defines the interface to the platform's metadata store: rows in tables, atomic conditional transactions,
// range reads and a feed of changes. Package platform implements it. Follower keeps a local copy of a table.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// MaxTxnEntries is the number of conditions, writes and deletes that one transaction may hold.
	MaxTxnEntries = 100
	// MaxTxnBytes bounds the values of one transaction, below the platform's limit of 1 MB for a call because values
	// grow by a third in transit.
	MaxTxnBytes = 600_000
	// MaxRowBytes bounds the value of a row. The store refuses a transaction with a larger one.
	MaxRowBytes = 65_536
)

// Key names a row.
type Key struct {
	Table string
	// Part is the partition, which may be empty. A partition applies its transactions one after another.
	Part string
	Name string
}

// Row is a row as read. Version 0 means that the row does not exist.
type Row struct {
	Key     Key
	Value   []byte
	Version int64
	// Deleted is set in feeds only.
	Deleted bool
}

// Condition requires that a row has a version; 0 requires that it does not exist.
type Condition struct {
	Key     Key
	Version int64
}

// Write sets a row.
type Write struct {
	Key   Key
	Value []byte
}

// Txn is applied as a whole or not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []Key
}

// Entries returns the number of entries that count towards MaxTxnEntries.
func (t *Txn) Entries() int { return len(t.Conditions) + len(t.Writes) + len(t.Deletes) }

// Page is part of a range or of a feed.
type Page struct {
	Rows []Row
	More bool
	// Version is the store's version as of the read, or the version from which a feed continues.
	Version int64
	// Age is how long ago the rows were read, if they were passed on by another node; 0 for reads of the store.
	Age time.Duration
}

// Store is the platform's metadata store. Errors of Commit are ErrUnavailable, ErrInvalidTxn, *ConflictError or
// *UnknownOutcomeError.
type Store interface {
	// Commit applies txn and returns its version, which is the version of each row that it wrote.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Range reads at most limit rows of one partition with names in [from, to); empty bounds are open.
	Range(ctx context.Context, table, part, from, to string, limit int) (Page, error)
	// Feed returns the changes of a table after a version, in order, and waits for the first one.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

var (
	// ErrUnavailable means that the store did not execute the call.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrInvalidTxn means that the store did not execute a transaction and refuses it at each attempt, for example because of
	// its size. It is an ErrUnavailable for callers that don't tell the two apart.
	ErrInvalidTxn = fmt.Errorf("%w: invalid transaction", ErrUnavailable)
	// ErrHistoryDropped means that a feed can't continue from the requested version because the store has dropped that
	// part of its history.
	ErrHistoryDropped = errors.New("store no longer has this history")
)

// ConflictError means that a condition did not hold and nothing was applied. Rows holds the current rows of the conditions.
type ConflictError struct{ Rows []Row }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition on %d rows does not hold", len(e.Rows))
}

// Row returns the current row with the key; its version is 0 if it does not exist.
func (e *ConflictError) Row(key Key) Row {
	for _, row := range e.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// UnknownOutcomeError means that the transaction may have been applied, or may still be.
type UnknownOutcomeError struct{ Err error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome is unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ReadAll reads all rows of a partition.
func ReadAll(ctx context.Context, s Store, table, part string) (Page, error) {
	var all Page
	from := ""
	for {
		page, err := s.Range(ctx, table, part, from, "", 0)
		if err != nil {
			return Page{}, err
		}
		all.Rows = append(all.Rows, page.Rows...)
		if all.Version == 0 {
			// Later pages are newer; a feed must continue from the first one.
			all.Version = page.Version
		}
		if !page.More {
			return all, nil
		}
		// A page without readable rows, or with rows out of order, must not look like the end of the table or be read for ever.
		next := from
		if len(page.Rows) > 0 {
			next = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
		}
		if next <= from {
			return Page{}, fmt.Errorf("%w: rows of table %s after %.50q can't be read", ErrUnavailable, table, from)
		}
		from = next
	}
}
