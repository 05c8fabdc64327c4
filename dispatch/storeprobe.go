package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/store"
)

const (
	// probeAfter is how long a commit is without a response when the owner begins to probe the store, and probeInterval the pause
	// between two probes.
	probeAfter    = 700 * time.Millisecond
	probeInterval = 300 * time.Millisecond
	// probeTimeout is how long a probe may be without a response until the store counts as silent. A store that is 90 times slower
	// than usual responds within it.
	probeTimeout = 1 * time.Second
)

// attemptCommit sends a transaction once. A store that was silent does not respond to it later, so the attempt is given up as soon
// as a probe shows that the store responds again.
func (c *Cell) attemptCommit(ctx context.Context, txn store.Txn) (int64, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var probes sync.WaitGroup
	defer probes.Wait()
	probes.Go(func() { c.probeStore(ctx, cancel, &probes) })
	version, err := c.cfg.Store.Commit(ctx, txn)
	cancel()
	return version, err
}

// probeStore reads from the store until ctx ends, and calls silenceEnded if it responds after it was silent.
func (c *Cell) probeStore(ctx context.Context, silenceEnded func(), probes *sync.WaitGroup) {
	var silent atomic.Bool
	for delay := probeAfter; wait.For(ctx, delay); delay = probeInterval {
		probes.Go(func() {
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			_, err := c.readRow(probeCtx, OwnerKey(c.cfg.Part))
			responds := err == nil || errors.Is(err, store.ErrOldRead)
			switch {
			case responds && silent.Load():
				silenceEnded()
			case probeCtx.Err() != nil && ctx.Err() == nil:
				silent.Store(true)
			}
		})
	}
}

const (
	// storeLostAfter is how long commits fail before Config.StoreLost is called.
	storeLostAfter = 400 * time.Millisecond
	// storeLostInterval is the time between two such calls.
	storeLostInterval = 1 * time.Second
)

// reportStoreLost tells the node that commits have failed since a time.
func (c *Cell) reportStoreLost(now, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportStoreLostLocked(now, since)
}

// reportStoreLostLocked is reportStoreLost for callers that hold mu.
func (c *Cell) reportStoreLostLocked(now, since time.Time) {
	if c.cfg.StoreLost == nil || c.releasing || c.lost || now.Sub(since) < storeLostAfter || now.Sub(c.storeLostAt) < storeLostInterval {
		return
	}
	c.storeLostAt = now
	c.background.Go(c.cfg.StoreLost)
}

// Yield makes the owner stop because another node has acquired the cell.
func (c *Cell) Yield(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseOwnership("handed over to " + node)
}
