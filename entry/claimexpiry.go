package entry

import (
	"context"
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ledger"
)

const (
	claimPrefix = "claim/"
	// claimScansPerExpiry is how many times within the life of a claim all claims are scanned.
	claimScansPerExpiry = 24
	claimScanPage       = 500
	// claimScanPause spaces the pages of a scan, so that a scan is a small part of the table's reads.
	claimScanPause = 200 * time.Millisecond
)

// collectExpired removes expired claims until ctx ends. One entry VM does it for all: the one with the lowest ID in the
// VM list. Two that both take themselves for the lowest do no harm, because removals are conditional.
func (c *claims) collectExpired(ctx context.Context) {
	for {
		expiry := c.server.cfg.Settings().Entry.ClaimExpiry.D()
		if !wait.For(ctx, c.server.jitter.around(expiry/claimScansPerExpiry)) {
			return
		}
		if c.server.view.Load().first == c.server.cfg.VM {
			c.scanExpired(ctx, expiry)
		}
	}
}

func (c *claims) scanExpired(ctx context.Context, expiry time.Duration) {
	after := ""
	for {
		rows, err := c.server.cfg.Table.Scan(ctx, claimPrefix, after, claimScanPage)
		if err != nil || len(rows) == 0 {
			// What is left waits for the next scan.
			return
		}
		c.removeExpired(rows, expiry)
		after = rows[len(rows)-1].Key
		if len(rows) < claimScanPage || !wait.For(ctx, claimScanPause) {
			return
		}
	}
}

func (c *claims) removeExpired(rows []infra.Row, expiry time.Duration) {
	now := time.Now()
	for _, row := range rows {
		value, err := ledger.Decode[claimRow](row.Key, row.Value)
		if err != nil || !value.expired(now, expiry) {
			continue
		}
		c.server.metrics.claims.WithLabelValues("expired").Inc()
		c.submit(&claimOp{
			write:     infra.Write{Key: row.Key, Delete: true},
			condition: infra.Condition{Key: row.Key, Version: row.Version},
			done:      make(chan struct{}),
		})
	}
}
