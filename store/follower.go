package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/currantthread/currantthread/internal/wait"
)

const (
	// feedWait is how long one feed call is held open; the platform's maximum is 30 s. A connection that no longer
	// delivers data is noticed only when the call times out, and some operator changes must be active within 2.5 s.
	feedWait = 1500 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 200 * time.Millisecond
	// inactiveCheckInterval is how often an inactive follower checks whether it is needed.
	inactiveCheckInterval = 100 * time.Millisecond
)

// Follower keeps a local copy of the rows of one table that are in the partition with the empty name. It never replaces a
// row by an older version.
type Follower struct {
	store    Store
	table    string
	onChange func(rows []Row)
	onError  func(err error)
	// Spacing is the minimum time between two calls; it batches the changes of frequently changing tables.
	Spacing time.Duration
	// SpacingNow, if set, replaces Spacing. It is called after each call.
	SpacingNow func() time.Duration
	// Poll reads the whole table each time instead of its feed. This is cheaper for tables of which most rows change between
	// two calls: a feed lists a row once per change, and one page holds only 500 rows.
	Poll bool
	// Active, if set, reports whether the rows are currently needed.
	Active func() bool

	// applying serializes changes of the copy and the calls of onChange.
	applying sync.Mutex

	mu      sync.Mutex // guards the fields below
	rows    map[string]Row
	version int64
	synced  bool
	// gaps are ranges of versions of which this copy may have missed rows that were created and deleted, in ascending order.
	gaps []versionRange
	// readAt is when the table was last read, and advanced is closed when version grows.
	readAt   time.Time
	advanced chan struct{}
}

// versionRange has the versions above from and below to.
type versionRange struct{ from, to int64 }

// maxGaps bounds Follower.gaps; the oldest ranges are merged.
const maxGaps = 32

// NewFollower returns a follower of a table. onChange is called with changed rows, one call at a time; onError
// is called for failed reads, and with nil when reads work again.
func NewFollower(s Store, table string, onChange func(rows []Row), onError func(err error)) *Follower {
	return &Follower{store: s, table: table, onChange: onChange, onError: onError,
		rows: map[string]Row{}, advanced: make(chan struct{})}
}

// Rows returns a copy of the existing rows by name, and whether the table was read at least once.
func (f *Follower) Rows() (map[string]Row, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := make(map[string]Row, len(f.rows))
	for name, row := range f.rows {
		if !row.Deleted {
			rows[name] = row
		}
	}
	return rows, f.synced
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		if f.Active != nil && !f.Active() {
			wait.For(ctx, inactiveCheckInterval)
			continue
		}
		err := f.readOnce(ctx)
		if err == nil {
			spacing := f.Spacing
			if f.SpacingNow != nil {
				spacing = f.SpacingNow()
			}
			wait.For(ctx, spacing)
			if failed {
				failed = false
				f.onError(nil)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failed = true
		f.onError(err)
		if !wait.For(ctx, retryDelay) {
			return
		}
	}
}

func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	synced, version := f.synced, f.version
	f.mu.Unlock()
	if f.Poll {
		return f.resync(ctx)
	}
	if !synced {
		return f.resyncOrFeed(ctx, version)
	}
	page, err := f.store.Feed(ctx, f.table, version, feedWait)
	if errors.Is(err, ErrHistoryDropped) {
		f.mu.Lock()
		f.synced = false
		f.mu.Unlock()
		return f.resync(ctx)
	}
	if err != nil {
		return err
	}
	f.applyPage(page)
	return nil
}

// resyncOrFeed reads the whole table. If that fails after the history of an earlier copy was lost, it reads the feed, for which the store may
// have another source than for reads. The copy is then newer, but does not count as synced.
func (f *Follower) resyncOrFeed(ctx context.Context, version int64) error {
	err := f.resync(ctx)
	if err == nil || version == 0 {
		return err
	}
	page, feedErr := f.store.Feed(ctx, f.table, version, feedWait)
	if feedErr != nil {
		return err
	}
	f.applyPage(page)
	return nil
}

// applyPage applies a page of the feed.
func (f *Follower) applyPage(page Page) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.apply(page.Rows)
	f.advance(page.Version, page.Age)
}

// Age returns how long ago the table was last read; the longest duration if it was not.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.readAt)
}

// advance records that the table was read up to a version some time ago. The caller holds applying.
func (f *Follower) advance(version int64, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if readAt := time.Now().Add(-age); readAt.After(f.readAt) {
		f.readAt = readAt
	}
	if version <= f.version {
		return
	}
	f.version = version
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// Changes returns the current state of the rows that changed after a version, including deleted ones, and how long ago the
// table was read. It waits up to timeout until the table has been read beyond that version. known is false before the first
// read, while the history is lost, and for a version after which rows may have been deleted that this copy never had.
func (f *Follower) Changes(ctx context.Context, after int64, timeout time.Duration) (page Page, age time.Duration, known bool) {
	f.mu.Lock()
	behind, advanced := f.version <= after, f.advanced
	f.mu.Unlock()
	if behind {
		wait.ForSignal(ctx, timeout, advanced)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	page.Version = f.version
	for _, gap := range f.gaps {
		if gap.from < after && after < gap.to {
			return page, 0, false
		}
	}
	for _, row := range f.rows {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, time.Since(f.readAt), f.synced
}

// resync reads the whole table.
func (f *Follower) resync(ctx context.Context) error {
	page, err := ReadAll(ctx, f.store, f.table, "")
	if err != nil {
		return err
	}
	if !f.Apply(page) {
		return errors.New("table read is older than the local copy")
	}
	return nil
}

// Apply applies a read of the whole table. Missing rows are treated as deleted only if the read is at least as new as the local
// copy, because a store that has dropped its history may serve reads that are seconds old. Apply reports whether it is.
func (f *Follower) Apply(page Page) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	older := page.Version < f.version
	f.mu.Unlock()
	if older {
		f.apply(page.Rows)
		return false
	}
	present := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		present[row.Key.Name] = true
	}
	rows := page.Rows
	f.mu.Lock()
	for name, row := range f.rows {
		if !present[name] && !row.Deleted && row.Version <= page.Version {
			rows = append(rows, Row{Key: row.Key, Version: page.Version, Deleted: true})
		}
	}
	f.mu.Unlock()
	f.apply(rows)
	f.recordGap(page.Version)
	f.advance(page.Version, page.Age)
	return true
}

// recordGap records that the table was read whole up to a version. Unless the copy was synced before, it lacks the changes since its own version.
func (f *Follower) recordGap(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced && version > f.version {
		f.gaps = append(f.gaps, versionRange{f.version, version})
	}
	if len(f.gaps) > maxGaps {
		f.gaps[1].from = f.gaps[0].from
		f.gaps = f.gaps[1:]
	}
	f.synced = true
}

// apply replaces rows by newer ones. The caller holds applying.
func (f *Follower) apply(rows []Row) {
	var changed []Row
	f.mu.Lock()
	for _, row := range rows {
		if row.Key.Part != "" {
			continue
		}
		if old, ok := f.rows[row.Key.Name]; ok && old.Version >= row.Version {
			continue
		}
		f.rows[row.Key.Name] = row
		changed = append(changed, row)
	}
	f.mu.Unlock()
	if len(changed) > 0 {
		f.onChange(changed)
	}
}
