package cell

import (
	"context"
	"errors"
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ledger"
)

const (
	// watchInterval is the time between a candidate's reads of the ownership row, before jitter. A takeover takes at
	// most the lease term plus this interval plus one write.
	watchInterval = 500 * time.Millisecond
	// maxReadGap is the longest time between two successful reads for which the row counts as unchanged in between.
	// After a longer gap, such as an outage of the table, the candidate waits a full lease term again, so that the
	// owner has time to renew.
	maxReadGap = 2 * time.Second
	// successorGrace is how long other candidates leave a handed-over cell to the successor that its row names.
	successorGrace = time.Second
	// tableCallTimeout bounds one read or commit, so that a slow table does not block the caller.
	tableCallTimeout = 2 * time.Second
)

// rowWatch tracks for how long a candidate has seen an ownership row unchanged.
type rowWatch struct {
	version        int64
	unchangedSince time.Time // when the version was first seen
	lastReadAt     time.Time
}

// acquire waits until the cell is free or its owner's lease has expired, and writes this candidate into the ownership
// row. It returns false when ctx ends.
func (c *Cell) acquire(ctx context.Context) (*acquiredOwnership, bool) {
	var w rowWatch
	writer := c.newWriter()
	unresolved := false
	for {
		pause := watchInterval - time.Duration(c.cfg.Rand.Int64N(int64(watchInterval/4)))
		if unresolved {
			writer, unresolved = c.resolve(ctx, writer)
		} else {
			row, owner, err := c.readOwner(ctx)
			if err == nil {
				free, remaining := w.observe(row, owner, c.cfg, time.Now())
				if free {
					acquired, err := c.writeOwner(ctx, writer, row, owner)
					if err == nil {
						return acquired, true
					}
					unresolved = infra.IsUnknownOutcome(err)
				}
				pause = min(pause, max(remaining, time.Millisecond))
			}
		}
		if !wait.ForSignal(ctx, pause, c.ownerWake) {
			return nil, false
		}
	}
}

// observe reports whether the cell is free to be taken over, and if not, how much longer its row must stay unchanged.
func (w *rowWatch) observe(row infra.Row, owner ledger.Owner, cfg Config, now time.Time) (free bool, remaining time.Duration) {
	if row.Version != w.version || w.unchangedSince.IsZero() || now.Sub(w.lastReadAt) > maxReadGap {
		w.version, w.unchangedSince = row.Version, now
	}
	w.lastReadAt = now
	term := cfg.Settings().Sched.CellLease.D()
	switch {
	case row.Version == 0, owner.Released && (owner.Holder == cfg.VM || owner.Holder == ""):
		return true, 0
	case owner.Released:
		term = min(term, successorGrace)
	}
	// A row of an earlier process on this VM must also stay unchanged for the full term, because that process may still
	// run.
	remaining = term - now.Sub(w.unchangedSince)
	return remaining <= 0, remaining
}

func (c *Cell) readOwner(ctx context.Context) (infra.Row, ledger.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	rows, err := c.cfg.Table.Read(ctx, ledger.CellOwnerKey(c.cfg.Cell))
	if err != nil {
		return infra.Row{}, ledger.Owner{}, err
	}
	row := rows[0]
	if row.Version == 0 {
		return row, ledger.Owner{}, nil
	}
	owner, err := ledger.Decode[ledger.Owner](row.Key, row.Value)
	return row, owner, err
}

// writeOwner writes this VM into the ownership row with the next epoch.
func (c *Cell) writeOwner(ctx context.Context, w *ledger.Writer, seen infra.Row, previous ledger.Owner) (*acquiredOwnership, error) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	row := ledger.Owner{Holder: c.cfg.VM, Epoch: previous.Epoch + 1, Addr: c.cfg.Addr}
	key := ledger.CellOwnerKey(c.cfg.Cell)
	sent := time.Now()
	version, err := w.Commit(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: seen.Version}},
		Writes:     []infra.Write{{Key: key, Value: ledger.Encode(row)}},
	})
	if err != nil {
		return nil, err
	}
	return &acquiredOwnership{
		row: row, version: version, sentAt: sent, committedAt: time.Now(), fresh: seen.Version == 0, writer: w,
	}, nil
}

// resolve determines the outcome of a write with an unknown outcome. If the write took effect, the row is watched like one
// of an earlier process of this VM.
func (c *Cell) resolve(ctx context.Context, w *ledger.Writer) (writer *ledger.Writer, unresolved bool) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	_, err := w.Resolve(ctx)
	switch {
	case err == nil:
		return w, false
	case isUnavailable(err) || infra.IsUnknownOutcome(err):
		return w, true
	default:
		// Another process of this VM has used the marker row. The lost write is harmless, because it only names this VM.
		return c.newWriter(), false
	}
}

func (c *Cell) newWriter() *ledger.Writer {
	return ledger.NewWriter(c.cfg.Table, "cell/"+c.cfg.Cell+"/"+c.cfg.VM)
}

func isUnavailable(err error) bool {
	var target *infra.UnavailableError
	return errors.As(err, &target)
}
