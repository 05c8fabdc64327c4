package ownership

import (
	"context"
	"errors"
	"strconv"

	"github.com/currantthread/currantthread/store"
)

// beatParts spreads the rows of nodes over partitions. A partition applies its transactions one after another and
// refuses calls once more than a second of them waits, so with one partition a slow store would refuse the heartbeats
// of 40 nodes, and their cells would change owners.
const beatParts = 16

// maxFeedPages is the number of answers of the feed, of 500 rows each, that one read takes.
const maxFeedPages = 4

func beatPart(i int) string { return "n" + strconv.Itoa(i) }

// BeatKey returns the key of a node's row.
func BeatKey(node string) store.Key {
	return store.Key{Table: TableNodes, Part: beatPart(int(hashOf(node) % beatParts)), Name: node}
}

// ErrStaleRead means that the store answered a read with a state older than one that it acknowledged before.
var ErrStaleRead = errors.New("read is older than an acknowledged write")

// Reader reads the rows of nodes that changed since the last read. It is not safe for concurrent use.
type Reader struct {
	store   store.Store
	version int64
	synced  bool
}

// NewReader returns a reader that has read nothing.
func NewReader(s store.Store) *Reader { return &Reader{store: s} }

// Read returns rows that are new, and at first or after the store has dropped its history, all rows. written is the
// version of the newest write that the caller knows of; a read of an older state is an error.
func (r *Reader) Read(ctx context.Context, written int64) ([]store.Row, error) {
	if !r.synced {
		return r.readAll(ctx, written)
	}
	var rows []store.Row
	for range maxFeedPages {
		page, err := r.store.Feed(ctx, TableNodes, r.version, 0)
		if errors.Is(err, store.ErrHistoryGone) {
			r.synced = false
			return r.readAll(ctx, written)
		}
		if err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		r.version = max(r.version, page.Version)
		if r.version >= written {
			return rows, nil
		}
		if len(page.Rows) == 0 {
			return nil, ErrStaleRead
		}
	}
	// More has changed than a few answers hold; the table itself is smaller than its history.
	return r.readAll(ctx, written)
}

func (r *Reader) readAll(ctx context.Context, written int64) ([]store.Row, error) {
	var rows []store.Row
	oldest := int64(0)
	for i := range beatParts {
		page, err := store.ReadAll(ctx, r.store, TableNodes, beatPart(i))
		if err != nil {
			return nil, err
		}
		if page.Version < written {
			return nil, ErrStaleRead
		}
		if i == 0 || page.Version < oldest {
			oldest = page.Version
		}
		rows = append(rows, page.Rows...)
	}
	r.version, r.synced = max(r.version, oldest), true
	return rows, nil
}
