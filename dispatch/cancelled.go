package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/store"
)

// A commit without a response may be applied seconds later, so that a job has no index row yet does not mean that it will not be accepted.
// To cancel such a job, its index row is written with indexCancelled instead of the name of a cell. A submission and its
// cancellation both require that the row does not exist, so one of them fails, whichever node sends it and whenever it is applied.

// TableCancelled lists the index rows with indexCancelled, in the same partition. The owners of cells delete both rows after the retention
// of ended jobs.
const TableCancelled = "cancelled"

// indexCancelled is the value of the index row of a job that was cancelled before it was accepted. It is not the name of a cell.
const indexCancelled = "-"

// IsCancelled reports whether an index row says that its job was cancelled before it was accepted.
func IsCancelled(index []byte) bool { return string(index) == indexCancelled }

// CancelUnaccepted cancels a job that has no index row, so that no submission of it is accepted later. part is the partition of the index row. If
// the job has been accepted after all, it returns the name of its cell and changes nothing. On an error, the job may have been cancelled.
func CancelUnaccepted(ctx context.Context, s store.Store, part, id string) (cell string, err error) {
	index := store.Key{Table: TableIndex, Part: part, Name: id}
	txn := store.Txn{
		Conditions: []store.Condition{{Key: index}},
		Writes: []store.Write{{Key: index, Value: []byte(indexCancelled)},
			{Key: store.Key{Table: TableCancelled, Part: part, Name: id}, Value: []byte(time.Now().UTC().Format(time.RFC3339))}},
	}
	for {
		_, err := s.Commit(ctx, txn)
		if err == nil {
			return "", nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			row := conflict.Row(index)
			switch {
			case IsCancelled(row.Value):
				return "", nil
			case row.Version != 0:
				return string(row.Value), nil
			}
		}
		if errors.Is(err, store.ErrUnavailable) || !wait.For(ctx, commitRetry) {
			return "", err
		}
	}
}

const (
	// cancelledCheckInterval is how often an owner reads the cancelled jobs of its partition. The read usually returns no row.
	cancelledCheckInterval = 1 * time.Minute
	// cancelledEntries is the number of entries of a transaction that deletes a cancelled job: a condition and two deletes.
	cancelledEntries = 3
)

// cancelledRow is a row of TableCancelled as an owner first read it.
type cancelledRow struct {
	version int64
	at      time.Time
}

// cancelledLoop deletes the rows of cancelled jobs after the retention. It counts from its own first read of a row, because the clocks of nodes
// may be wrong.
func (c *Cell) cancelledLoop(ctx context.Context) {
	seen := map[string]cancelledRow{}
	for wait.For(ctx, cancelledCheckInterval) {
		if err := c.deleteCancelled(ctx, seen); err != nil && ctx.Err() == nil {
			c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "error": err.Error()}).Warn("could not delete the records of cancelled jobs")
		}
	}
}

// deleteCancelled reads the cancelled jobs and deletes the rows of those that were first read before the retention.
func (c *Cell) deleteCancelled(ctx context.Context, seen map[string]cancelledRow) error {
	page, err := store.ReadAll(ctx, c.cfg.Store, TableCancelled, c.cfg.Part)
	if err != nil {
		return err
	}
	now := time.Now()
	listed := make(map[string]bool, len(page.Rows))
	var txn store.Txn
	for _, row := range page.Rows {
		id := row.Key.Name
		listed[id] = true
		if first, ok := seen[id]; !ok || first.version != row.Version {
			seen[id] = cancelledRow{row.Version, now}
		}
		if now.Sub(seen[id].at) <= c.retention() || txn.Entries()+cancelledEntries > store.MaxTxnEntries {
			continue
		}
		// Both rows were written by one transaction and have its version. A former owner must not delete the index row of a job that
		// was accepted after its successor has deleted them.
		index := store.Key{Table: TableIndex, Part: c.cfg.Part, Name: id}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: index, Version: row.Version})
		txn.Deletes = append(txn.Deletes, index, row.Key)
	}
	for id := range seen {
		if !listed[id] {
			delete(seen, id)
		}
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	_, err = c.cfg.Store.Commit(ctx, txn)
	return err
}
