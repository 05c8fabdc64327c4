package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/currantthread/currantthread/internal/wait"
)

const (
	// feedWait is how long one call of a feed is held open, at most the platform's 30 s. A connection that went silent is
	// noticed only when the call's time is up, and what operators ask for must be in force within 2.5 s or more.
	feedWait = 1500 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 200 * time.Millisecond
	// idleCheck is how often a follower that is not needed looks whether it is.
	idleCheck = 100 * time.Millisecond
)

// Follower keeps a copy of the rows of one table whose partition is empty. It never replaces a row by an older one.
type Follower struct {
	store    Store
	table    string
	onChange func(rows []Row)
	onError  func(err error)
	// Spacing is the least time between two calls; it groups the changes of tables that change all the time.
	Spacing time.Duration
	// Poll reads the whole table each time instead of its feed. It is cheaper for tables of which most rows change from
	// one call to the next: a feed repeats a row for each change, and one call of it holds 500 rows only.
	Poll bool
	// Active, if set, says whether the rows are needed at present.
	Active func() bool

	mu      sync.Mutex // owned by the methods of Follower
	rows    map[string]Row
	version int64
	synced  bool
	// readAt is when the table was last read, and advanced is closed when version grows.
	readAt   time.Time
	advanced chan struct{}
}

// NewFollower returns a follower of a table. onChange is called with changed rows, from one goroutine; onError is
// called for failed reads, and with nil when reads work again.
func NewFollower(s Store, table string, onChange func(rows []Row), onError func(err error)) *Follower {
	return &Follower{store: s, table: table, onChange: onChange, onError: onError,
		rows: map[string]Row{}, advanced: make(chan struct{})}
}

// Rows returns a copy of the rows that exist, by name, and whether the table was read at least once.
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
			wait.For(ctx, idleCheck)
			continue
		}
		err := f.step(ctx)
		if err == nil {
			wait.For(ctx, f.Spacing)
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

func (f *Follower) step(ctx context.Context) error {
	if !f.synced || f.Poll {
		return f.resync(ctx)
	}
	page, err := f.store.Feed(ctx, f.table, f.version, feedWait)
	if errors.Is(err, ErrHistoryGone) {
		f.mu.Lock()
		f.synced = false
		f.mu.Unlock()
		return f.resync(ctx)
	}
	if err != nil {
		return err
	}
	f.apply(page.Rows)
	f.advance(page.Version)
	return nil
}

// advance notes that the table was read up to a version.
func (f *Follower) advance(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = time.Now()
	if version <= f.version {
		return
	}
	f.version = version
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// Changes returns the present state of the rows that changed after a version, deleted ones included, and how long ago the
// table was read. It waits up to a time until the table was read beyond the version. known is false before the first
// read.
func (f *Follower) Changes(ctx context.Context, after int64, patience time.Duration) (page Page, age time.Duration, known bool) {
	f.mu.Lock()
	behind, advanced := f.version <= after, f.advanced
	f.mu.Unlock()
	if behind {
		wait.ForSignal(ctx, patience, advanced)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	page.Version = f.version
	for _, row := range f.rows {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, time.Since(f.readAt), f.synced
}

// resync reads the whole table. Rows that are missing are taken as deleted only if the read is at least as new as
// everything seen before: a store that dropped its history may serve reads that are seconds old.
func (f *Follower) resync(ctx context.Context) error {
	page, err := ReadAll(ctx, f.store, f.table, "")
	if err != nil {
		return err
	}
	if page.Version < f.version {
		f.apply(page.Rows)
		return errors.New("read is older than what is known")
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
	f.advance(page.Version)
	f.mu.Lock()
	f.synced = true
	f.mu.Unlock()
	return nil
}

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
