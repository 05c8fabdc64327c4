package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
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

// indexCancelled begins the value of the index row of a job that was cancelled before it was accepted. No name of a cell begins with it. The
// organisations of the callers follow as a JSON list; nothing follows if a caller without an organisation has cancelled the job.
const indexCancelled = "-"

// IsCancelled reports whether an index row says that its job was cancelled before it was accepted.
func IsCancelled(index []byte) bool { return strings.HasPrefix(string(index), indexCancelled) }

// cancelledBy returns the organisations that have cancelled a job, by its index row. all is set if no submission of the job may be accepted.
func cancelledBy(index []byte) (organisations []string, all bool) {
	list := strings.TrimPrefix(string(index), indexCancelled)
	if list == "" || json.Unmarshal([]byte(list), &organisations) != nil {
		return nil, true
	}
	return organisations, false
}

// isCancelledFor reports whether an index row says that a submission by an organisation was cancelled. A job without an organisation could be
// cancelled by each of them.
func isCancelledFor(index []byte, organisation string) bool {
	organisations, all := cancelledBy(index)
	return IsCancelled(index) && (all || organisation == "" || slices.Contains(organisations, organisation))
}

// cancelledIndex returns the index row of a job that an organisation cancels, and others have cancelled before.
func cancelledIndex(organisation string, others []string) []byte {
	if organisation == "" {
		return []byte(indexCancelled)
	}
	list, err := json.Marshal(append(slices.Clone(others), organisation))
	if err != nil {
		// A list of strings can always be encoded.
		return []byte(indexCancelled)
	}
	return append([]byte(indexCancelled), list...)
}

// CancelUnaccepted cancels a job that has no index row, so that no submission of it by the caller's organisation is accepted later; none at all if
// the organisation is empty. part is the partition of the index row. If the job has been accepted after all, it returns the name of its cell and
// changes nothing. On an error, the job may have been cancelled.
func CancelUnaccepted(ctx context.Context, s store.Store, part, id, organisation string) (cell string, err error) {
	index := store.Row{Key: store.Key{Table: TableIndex, Part: part, Name: id}}
	for {
		err := commitCancelled(ctx, s, index, organisation)
		if err == nil {
			return "", nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			index = conflict.Row(index.Key)
			organisations, all := cancelledBy(index.Value)
			switch {
			case index.Version == 0:
			case !IsCancelled(index.Value):
				return string(index.Value), nil
			case all || organisation != "" && slices.Contains(organisations, organisation):
				return "", nil
			}
		}
		if errors.Is(err, store.ErrUnavailable) || !wait.For(ctx, commitRetry) {
			return "", err
		}
	}
}

// commitCancelled writes the record of a cancelled job if its index row is still the given one.
func commitCancelled(ctx context.Context, s store.Store, index store.Row, organisation string) error {
	var others []string
	if index.Version != 0 {
		others, _ = cancelledBy(index.Value)
	}
	listed := store.Key{Table: TableCancelled, Part: index.Key.Part, Name: index.Key.Name}
	_, err := s.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: index.Key, Version: index.Version}},
		Writes: []store.Write{{Key: index.Key, Value: cancelledIndex(organisation, others)},
			{Key: listed, Value: []byte(time.Now().UTC().Format(time.RFC3339))}},
	})
	return err
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
