package ledger

import (
	"context"
	stderrors "errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
)

// ErrUnresolved means that the outcome of the previous commit is unknown and Resolve must be called first.
var ErrUnresolved = stderrors.New("outcome of the previous commit is not settled")

const (
	retryInitialInterval = 20 * time.Millisecond
	retryMaxInterval     = time.Second
)

// Writer commits transactions one at a time, each at most once, even if responses of the table are lost.
//
// Each transaction stores its write ID in the writer's marker row under the condition that the marker is unchanged
// since the previous one. A transaction that is sent twice therefore takes effect once, and the marker shows whether it
// did. A Writer is not safe for concurrent use.
type Writer struct {
	table  infra.Table
	marker string
	// version is the marker's version after the last resolved commit; -1 before the first read.
	version int64
	// pending is the ID of the write whose outcome is unknown; empty if there is none.
	pending string
}

// NewWriter returns a Writer with the given name. At most one Writer may use a name at a time.
func NewWriter(table infra.Table, name string) *Writer {
	return &Writer{table: table, marker: markerKey(name), version: -1}
}

// Commit applies txn. If a response is lost, it resends txn and reads the marker until the outcome is known or ctx ends.
//
// Errors: *infra.ConflictError and *infra.UnavailableError mean that txn was not applied and never will be.
// *infra.UnknownOutcomeError means that ctx ended first; Resolve must be called before the next Commit, which
// returns ErrUnresolved until then.
func (w *Writer) Commit(ctx context.Context, txn infra.Txn) (int64, error) {
	if w.pending != "" {
		return 0, ErrUnresolved
	}
	if err := w.load(ctx); err != nil {
		return 0, err
	}
	id := uuid.NewString()
	return w.commitMarked(ctx, id, w.marked(txn, id))
}

// Resolve determines the outcome of a commit that returned *infra.UnknownOutcomeError. It returns whether that transaction
// was applied; if not, it never will be. An error means that the outcome is still unknown.
func (w *Writer) Resolve(ctx context.Context) (applied bool, err error) {
	if w.pending == "" {
		return false, errors.New("no commit is unresolved")
	}
	unresolved := w.pending
	fence := uuid.NewString()
	for {
		// The fence and the unresolved transaction require the same marker version, so only one of them can apply.
		version, err := w.table.Commit(ctx, w.marked(infra.Txn{}, fence))
		if err == nil {
			w.setVersion(version)
			return false, nil
		}
		if !infra.IsConflict(err) && !infra.IsUnknownOutcome(err) {
			return false, err
		}
		row, err := w.readMarker(ctx)
		if err != nil {
			return false, err
		}
		switch string(row.Value) {
		case unresolved:
			w.setVersion(row.Version)
			return true, nil
		case fence:
			w.setVersion(row.Version)
			return false, nil
		}
		if row.Version != w.version {
			return false, errors.Errorf("marker %s was written by another writer", w.marker)
		}
	}
}

// commitMarked sends a marked transaction until its outcome is known or ctx ends.
func (w *Writer) commitMarked(ctx context.Context, id string, txn infra.Txn) (int64, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryInitialInterval
	retry.MaxInterval = retryMaxInterval
	sentBefore := false
	for {
		version, err := w.table.Commit(ctx, txn)
		if err == nil {
			w.setVersion(version)
			return version, nil
		}
		var conflict *infra.ConflictError
		unavailable := &infra.UnavailableError{}
		switch {
		case stderrors.As(err, &conflict) && conflict.Has(w.marker):
			version, done, err := w.checkMarker(ctx, id)
			if done {
				return version, err
			}
		case stderrors.As(err, &conflict):
			return w.resolveConflict(ctx, err, sentBefore)
		case stderrors.As(err, &unavailable) && !sentBefore:
			return 0, err
		}
		// The outcome of this or an earlier send is unknown.
		sentBefore = true
		w.pending = id
		if !wait.For(ctx, retry.NextBackOff()) {
			return 0, &infra.UnknownOutcomeError{Err: err}
		}
	}
}

// resolveConflict returns the outcome of a transaction whose last send failed on a condition other than the marker. An
// earlier send may still be in flight and arrive when the condition holds again, so the marker is fenced first.
func (w *Writer) resolveConflict(ctx context.Context, conflict error, sentBefore bool) (int64, error) {
	if !sentBefore {
		return 0, conflict
	}
	applied, err := w.Resolve(ctx)
	if err != nil {
		return 0, &infra.UnknownOutcomeError{Err: err}
	}
	if applied {
		return w.version, nil
	}
	return 0, conflict
}

// checkMarker determines the outcome of a write after a conflict on the marker. done is false if the marker could not be
// read.
func (w *Writer) checkMarker(ctx context.Context, id string) (version int64, done bool, err error) {
	row, err := w.readMarker(ctx)
	if err != nil {
		return 0, false, err
	}
	w.setVersion(row.Version)
	if string(row.Value) == id {
		return row.Version, true, nil
	}
	// The marker was changed by another transaction, so this one was not applied and never will be.
	return 0, true, &infra.ConflictError{Keys: []string{w.marker}}
}

func (w *Writer) marked(txn infra.Txn, id string) infra.Txn {
	marked := infra.Txn{
		Conditions: make([]infra.Condition, 0, len(txn.Conditions)+1),
		Writes:     make([]infra.Write, 0, len(txn.Writes)+1),
	}
	marked.Conditions = append(append(marked.Conditions, txn.Conditions...),
		infra.Condition{Key: w.marker, Version: w.version})
	marked.Writes = append(append(marked.Writes, txn.Writes...),
		infra.Write{Key: w.marker, Value: []byte(id)})
	return marked
}

func (w *Writer) load(ctx context.Context) error {
	if w.version >= 0 {
		return nil
	}
	row, err := w.readMarker(ctx)
	if err != nil {
		return err
	}
	w.version = row.Version
	return nil
}

func (w *Writer) readMarker(ctx context.Context) (infra.Row, error) {
	rows, err := w.table.Read(ctx, w.marker)
	if err != nil {
		return infra.Row{}, err
	}
	return rows[0], nil
}

func (w *Writer) setVersion(version int64) {
	w.version = version
	w.pending = ""
}
