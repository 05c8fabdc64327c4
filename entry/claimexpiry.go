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
	// claimScansPerExpiry is how many times all claims are scanned within the lifetime of a claim.
	claimScansPerExpiry = 24
	// claimScanPage is the number of rows in one read of a scan.
	claimScanPage = 500
	// claimScanPause is the pause between the pages of a scan. It keeps scans a small part of the table's reads.
	claimScanPause = 200 * time.Millisecond
)

// collectExpired removes expired claims until ctx ends. Only the entry VM with the lowest ID in the VM list does this,
// for all entry VMs. If two VMs with different lists both do it, no harm is done, because removals are conditional.
func (c *claims) collectExpired(ctx context.Context) {
	for {
		expiry := c.server.cfg.Settings().Entry.ClaimExpiry.D()
		if !wait.For(ctx, c.server.jitter.around(expiry/claimScansPerExpiry)) {
			return
		}
		if c.server.view.Load().lowestID == c.server.cfg.VM {
			c.scanExpired(ctx, expiry)
		}
	}
}

func (c *claims) scanExpired(ctx context.Context, expiry time.Duration) {
	after := ""
	for {
		rows, err := c.server.cfg.Table.Scan(ctx, claimPrefix, after, claimScanPage)
		if err != nil || len(rows) == 0 {
			// The next scan covers the remaining rows.
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
