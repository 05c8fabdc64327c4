package ownership

import (
	"context"
	"errors"
	"strconv"

	"github.com/currantthread/currantthread/store"
)

// heartbeatPartitions is the number of partitions that the nodes' rows are spread over. A partition applies its transactions
// one after another and refuses calls once more than a second of work is queued. With one partition, a slow store would
// refuse the heartbeats of 40 nodes, and their cells would change owners.
const heartbeatPartitions = 16

// maxFeedPages is the number of pages of the feed, of 500 rows each, that one read fetches before it reads the whole table.
const maxFeedPages = 4

func heartbeatPartition(i int) string { return "n" + strconv.Itoa(i) }

// HeartbeatKey returns the key of a node's row.
func HeartbeatKey(node string) store.Key {
	return store.Key{Table: TableNodes, Part: heartbeatPartition(int(hashOf(node) % heartbeatPartitions)), Name: node}
}

// TableOwners repeats the heartbeats of the nodes that own cells. Where there are many nodes, most of them read only these.
const TableOwners = "owners"

// OwnerRowKey returns the key of a node's row in TableOwners. It shares the partition of the heartbeat.
func OwnerRowKey(node string) store.Key {
	key := HeartbeatKey(node)
	key.Table = TableOwners
	return key
}

// ErrStaleRead means that the store returned a state older than a write that it has acknowledged.
var ErrStaleRead = errors.New("read is older than an acknowledged write")

// Reader reads the rows of nodes that changed since the last read. It is not safe for concurrent use.
type Reader struct {
	store   store.Store
	table   string
	version int64
	synced  bool
}

// NewReader returns a reader of TableNodes or TableOwners that has read nothing. It repeats reads that get no response.
func NewReader(s store.Store, table string) *Reader {
	return &Reader{table: table, store: &store.RepeatedReads{Store: s, Repeater: &store.Repeater{Delay: HeartbeatInterval}}}
}

// Reset makes the next call of Read return all rows.
func (r *Reader) Reset() { r.synced = false }

// Read returns the rows that changed since the last call. It returns all rows on the first call, and when the store has
// dropped its history or too much has changed. written is the version of the caller's latest write; a read of an older
// state fails with ErrStaleRead.
func (r *Reader) Read(ctx context.Context, written int64) ([]store.Row, error) {
	if !r.synced {
		return r.readAll(ctx, written)
	}
	var rows []store.Row
	for range maxFeedPages {
		page, err := r.store.Feed(ctx, r.table, r.version, 0)
		if errors.Is(err, store.ErrHistoryDropped) {
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
	// More changes are pending than maxFeedPages pages hold, so reading the whole table is cheaper.
	return r.readAll(ctx, written)
}

func (r *Reader) readAll(ctx context.Context, written int64) ([]store.Row, error) {
	var rows []store.Row
	oldest := int64(0)
	for i := range heartbeatPartitions {
		page, err := store.ReadAll(ctx, r.store, r.table, heartbeatPartition(i))
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
