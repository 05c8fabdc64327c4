package cell

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/settings"
)

const (
	// scanLimit bounds the rows of one scan.
	scanLimit = 512
	// maxScans bounds the scans of one prefix in one pass. The next passes read the rest of a longer prefix.
	maxScans = 8
	// queueLowWater is the number of queued tasks that is enough for the planner to choose from. A cell with at least
	// as many reads only the head of a long queue, which saves most of the load on the table while all workers are full.
	queueLowWater = 256
	// scanBackoffMax bounds the wait after a failed scan, before jitter.
	scanBackoffMax = 2 * time.Second
)

// scanPage is the result of one scan of a prefix.
type scanPage struct {
	prefix string
	after  string
	rows   []infra.Row
	// complete is set if the page reaches the end of the prefix.
	complete bool
	sentAt   time.Time
}

// covers reports whether the page would contain the row of key if it existed.
func (p scanPage) covers(key string) bool {
	if !strings.HasPrefix(key, p.prefix) || key <= p.after {
		return false
	}
	return p.complete || len(p.rows) > 0 && key <= p.rows[len(p.rows)-1].Key
}

// scanner reads the queues and the cancellations. It runs in a separate goroutine, so that slow scans do not delay the
// writes of the apply loop.
type scanner struct {
	table    infra.Table
	prefixes []string
	cursors  map[string]string
	settings func() settings.Effective
	queueLow *atomic.Bool
	wake     <-chan struct{}
	pages    chan<- scanPage
	jitter   func(time.Duration) time.Duration
}

func newScanner(o *owner) *scanner {
	rng := newRand(o.cfg.Rand)
	return &scanner{
		table: o.cfg.Table,
		prefixes: []string{
			ledger.CancelPrefix, ledger.QueuePrefix(o.cfg.Domain), ledger.QueuePrefix(ledger.AnyDomain),
		},
		cursors: map[string]string{}, settings: o.cfg.Settings, queueLow: &o.queueLow, wake: o.cell.scanWake, pages: o.scans,
		jitter: func(d time.Duration) time.Duration { return d - time.Duration(rng.Int64N(int64(d/5)+1)) },
	}
}

func (s *scanner) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryInitial
	retry.MaxInterval = scanBackoffMax
	for ctx.Err() == nil {
		pause := s.jitter(s.settings().Sched.ScanInterval.D())
		if s.scanAll(ctx) {
			retry.Reset()
		} else {
			pause = retry.NextBackOff()
		}
		wait.ForSignal(ctx, pause, s.wake)
	}
}

func (s *scanner) scanAll(ctx context.Context) bool {
	for _, prefix := range s.prefixes {
		if !s.scanPrefix(ctx, prefix) {
			return false
		}
	}
	return true
}

// scanPrefix reads the head of a prefix, which contains the most urgent tasks, and continues where the last pass ended.
func (s *scanner) scanPrefix(ctx context.Context, prefix string) bool {
	page, ok := s.scan(ctx, prefix, "")
	after := s.cursors[prefix]
	for scans := 1; ok && !page.complete && scans < maxScans; scans++ {
		if prefix != ledger.CancelPrefix && !s.queueLow.Load() {
			return true
		}
		after = max(after, page.rows[len(page.rows)-1].Key)
		page, ok = s.scan(ctx, prefix, after)
	}
	s.cursors[prefix] = ""
	if ok && !page.complete {
		s.cursors[prefix] = page.rows[len(page.rows)-1].Key
	}
	return ok
}

func (s *scanner) scan(ctx context.Context, prefix, after string) (scanPage, bool) {
	call, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	page := scanPage{prefix: prefix, after: after, sentAt: time.Now()}
	rows, err := s.table.Scan(call, prefix, after, scanLimit)
	if err != nil {
		return page, false
	}
	page.rows, page.complete = rows, len(rows) < scanLimit
	select {
	case s.pages <- page:
		return page, true
	case <-ctx.Done():
		return page, false
	}
}
