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
	// watchInterval is the time between reads of an ownership row by a candidate, before jitter. A takeover takes the
	// lease term plus at most this and a write.
	watchInterval = 500 * time.Millisecond
	// watchGap is the longest time between two good reads after which the row still counts as watched. After an
	// outage of the table the owner needs the chance to renew before anybody concludes that it is gone.
	watchGap = 2 * time.Second
	// offerTime is how long a cell that was handed over is left to the successor that its row names.
	offerTime = time.Second
	// callTimeout bounds a read or a commit that must not hold up its caller.
	callTimeout = 2 * time.Second
)

// watch is what a candidate has seen of an ownership row.
type watch struct {
	version  int64
	since    time.Time // when the version was first seen
	lastGood time.Time
}

// acquire waits until the cell may be taken and takes it. It reports false when ctx ends.
func (c *Cell) acquire(ctx context.Context) (*ownership, bool) {
	var w watch
	writer := c.newWriter()
	unresolved := false
	for {
		pause := watchInterval - time.Duration(c.cfg.Rand.Int64N(int64(watchInterval/4)))
		if unresolved {
			writer, unresolved = c.resolve(ctx, writer)
		} else {
			row, owner, err := c.readOwner(ctx)
			if err == nil {
				free, left := w.observe(row, owner, c.cfg, time.Now())
				if free {
					taken, err := c.take(ctx, writer, row, owner)
					if err == nil {
						return taken, true
					}
					unresolved = infra.IsUnknownOutcome(err)
				}
				pause = min(pause, max(left, time.Millisecond))
			}
		}
		if !wait.ForSignal(ctx, pause, c.offered) {
			return nil, false
		}
	}
}

// observe reports whether the cell may be taken, and if not how long its row must stay unchanged.
func (w *watch) observe(row infra.Row, owner ledger.Owner, cfg Config, now time.Time) (free bool, left time.Duration) {
	if row.Version != w.version || w.since.IsZero() || now.Sub(w.lastGood) > watchGap {
		w.version, w.since = row.Version, now
	}
	w.lastGood = now
	term := cfg.Settings().Sched.CellLease.D()
	switch {
	case row.Version == 0, owner.Released && (owner.Holder == cfg.VM || owner.Holder == ""):
		return true, 0
	case owner.Released:
		term = min(term, offerTime)
	}
	// A row of an earlier process of this VM is watched like any other, because that process may still run.
	left = term - now.Sub(w.since)
	return left <= 0, left
}

func (c *Cell) readOwner(ctx context.Context) (infra.Row, ledger.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// take writes this VM into the ownership row with the next epoch.
func (c *Cell) take(ctx context.Context, w *ledger.Writer, seen infra.Row, previous ledger.Owner) (*ownership, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	return &ownership{
		row: row, version: version, sentAt: sent, at: time.Now(), fresh: seen.Version == 0, writer: w,
	}, nil
}

// resolve settles a write with an unknown outcome. If it took effect, the row is watched like that of an earlier process.
func (c *Cell) resolve(ctx context.Context, w *ledger.Writer) (writer *ledger.Writer, unresolved bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := w.Resolve(ctx)
	switch {
	case err == nil:
		return w, false
	case isUnavailable(err) || infra.IsUnknownOutcome(err):
		return w, true
	default:
		// Another process of this VM used the marker. The lost write is harmless: it only names this VM.
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
