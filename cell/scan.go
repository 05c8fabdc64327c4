package cell

import (
	"context"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/settings"
)

const (
	// scanLimit bounds the rows of one scan. A longer prefix is read on by the following scans.
	scanLimit = 512
	// scanBackoffMax bounds the wait after a failed scan, before jitter.
	scanBackoffMax = 2 * time.Second
)

// scanPage is a part of a prefix as read by one scan.
type scanPage struct {
	prefix string
	after  string
	rows   []platform.Row
	// complete is set if the page reaches the end of the prefix.
	complete bool
	sentAt   time.Time
}

// covers reports whether the page would hold key if it existed.
func (p scanPage) covers(key string) bool {
	if !strings.HasPrefix(key, p.prefix) || key <= p.after {
		return false
	}
	return p.complete || len(p.rows) > 0 && key <= p.rows[len(p.rows)-1].Key
}

// scanner reads the queues and the cancellations. It runs beside the apply loop, so that slow scans delay no write.
type scanner struct {
	table    platform.Table
	prefixes []string
	cursors  map[string]string
	settings func() settings.Effective
	poke     <-chan struct{}
	out      chan<- scanPage
	jitter   func(time.Duration) time.Duration
}

func newScanner(o *owner) *scanner {
	rng := newRand(o.cfg.Rand)
	return &scanner{
		table: o.cfg.Table,
		prefixes: []string{
			ledger.CancelPrefix, ledger.QueuePrefix(o.cfg.Domain), ledger.QueuePrefix(ledger.AnyDomain),
		},
		cursors: map[string]string{}, settings: o.cfg.Settings, poke: o.c.poke, out: o.scans,
		jitter: func(d time.Duration) time.Duration { return d - time.Duration(rng.Int64N(int64(d/5)+1)) },
	}
}

func (s *scanner) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryInitial
	retry.MaxInterval = scanBackoffMax
	for ctx.Err() == nil {
		wait := s.jitter(s.settings().Sched.ScanInterval.D())
		if s.scanAll(ctx) {
			retry.Reset()
		} else {
			wait = retry.NextBackOff()
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.poke:
		}
		timer.Stop()
	}
}

func (s *scanner) scanAll(ctx context.Context) bool {
	for _, prefix := range s.prefixes {
		// The head of a queue holds the most urgent tasks, so it is read each time.
		head, ok := s.scan(ctx, prefix, "")
		if !ok {
			return false
		}
		if head.complete {
			s.cursors[prefix] = ""
			continue
		}
		after := max(s.cursors[prefix], head.rows[len(head.rows)-1].Key)
		page, ok := s.scan(ctx, prefix, after)
		if !ok {
			return false
		}
		s.cursors[prefix] = ""
		if !page.complete {
			s.cursors[prefix] = page.rows[len(page.rows)-1].Key
		}
	}
	return true
}

func (s *scanner) scan(ctx context.Context, prefix, after string) (scanPage, bool) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page := scanPage{prefix: prefix, after: after, sentAt: time.Now()}
	rows, err := s.table.Scan(call, prefix, after, scanLimit)
	if err != nil {
		return page, false
	}
	page.rows, page.complete = rows, len(rows) < scanLimit
	select {
	case s.out <- page:
		return page, true
	case <-ctx.Done():
		return page, false
	}
}
