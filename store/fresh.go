package store

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/currantthread/currantthread/internal/wait"
)

// oldReadPatience is how long an old read is repeated, so that callers that start over at once don't do so all the time.
const oldReadPatience = 500 * time.Millisecond

// ErrOldRead means that a read returned a state from before a commit whose version the reader knows.
var ErrOldRead = fmt.Errorf("%w: read is older than a known commit", ErrUnavailable)

// FreshReads is a store whose range reads are repeated and then fail with ErrOldRead instead of returning a state that is older than what the
// reader has learned from its commits. It is safe for concurrent use.
type FreshReads struct {
	Store
	// known is the highest version that a commit has returned.
	known atomic.Int64
}

// NewFreshReads returns a store whose range reads are at least as new as a version.
func NewFreshReads(s Store, version int64) *FreshReads {
	f := &FreshReads{Store: s}
	f.known.Store(version)
	return f
}

// Commit implements Store.
func (f *FreshReads) Commit(ctx context.Context, txn Txn) (int64, error) {
	version, err := f.Store.Commit(ctx, txn)
	newest := version
	// The rows of a conflict tell of an earlier attempt that was applied without a response.
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		for _, row := range conflict.Rows {
			newest = max(newest, row.Version)
		}
	}
	for known := f.known.Load(); newest > known; known = f.known.Load() {
		f.known.CompareAndSwap(known, newest)
	}
	return version, err
}

// Range implements Store.
func (f *FreshReads) Range(ctx context.Context, table, part, from, to string, limit int) (Page, error) {
	return f.RangeSince(ctx, f.known.Load(), table, part, from, to, limit)
}

// RangeSince is Range for a reader that needs a state at least as new as a version, whatever later commits it knows of.
func (f *FreshReads) RangeSince(ctx context.Context, version int64, table, part, from, to string, limit int) (Page, error) {
	began := time.Now()
	for {
		page, err := f.Store.Range(ctx, table, part, from, to, limit)
		if err != nil || page.Version >= version {
			return page, err
		}
		if time.Since(began) > oldReadPatience || !wait.For(ctx, retryDelay) {
			return Page{}, ErrOldRead
		}
	}
}
