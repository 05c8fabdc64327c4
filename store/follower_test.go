package store_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/store"
)

func key(name string) store.Key { return store.Key{Table: "t", Name: name} }

// startFollower starts a follower and returns it with the count of failures that it has reported.
func startFollower(t *testing.T, s store.Store, configure func(f *store.Follower)) (*store.Follower, *atomic.Int64) {
	t.Helper()
	var failures atomic.Int64
	f := store.NewFollower(s, "t", func([]store.Row) {}, func(err error) {
		if err != nil {
			failures.Add(1)
		}
	})
	if configure != nil {
		configure(f)
	}
	go f.Run(t.Context())
	return f, &failures
}

// After the store has dropped its history, a follower has all changes and no rows that were deleted meanwhile.
func TestFollowerAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		s.Put(key("a"), []byte("1"))
		s.Put(key("b"), []byte("1"))
		f, _ := startFollower(t, s, nil)
		time.Sleep(time.Second)
		s.SetFault(emulator.StoreRefuses)
		time.Sleep(time.Second)
		s.Put(key("a"), []byte("2"))
		s.Delete(key("b"))
		s.DropHistory()
		s.SetFault(emulator.StoreWorks)
		time.Sleep(5 * time.Second)
		rows, synced := f.Rows()
		assert.Assert(t, synced)
		assert.Equal(t, string(rows["a"].Value), "2")
		_, ok := rows["b"]
		assert.Assert(t, !ok)
	})
}

// A follower keeps up with a table whose rows all change every second. An owner that was 17 s behind started tasks on
// runners that had already announced that they were leaving.
func TestFollowerKeepsUpWithHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		f, failures := startFollower(t, s, func(f *store.Follower) { f.Poll, f.Spacing = true, time.Second })
		const runners = 1200
		for round := range 20 {
			for i := range runners {
				s.Put(key(fmt.Sprintf("%04d", i)), fmt.Append(nil, round))
			}
			time.Sleep(time.Second)
		}
		time.Sleep(1500 * time.Millisecond)
		rows, _ := f.Rows()
		assert.Equal(t, len(rows), runners)
		for name, row := range rows {
			assert.Equal(t, string(row.Value), "19", name)
		}
		assert.Equal(t, failures.Load(), int64(0))
	})
}

// stuckStore returns the same page for each range.
type stuckStore struct {
	store.Store
	page store.Page
}

func (s *stuckStore) Range(context.Context, string, string, string, string, int) (store.Page, error) {
	return s.page, nil
}

// A table of which a page has no readable rows, or the same rows as the page before, is not taken for a shorter one: its
// missing rows would count as deleted. Nor is it read for ever.
func TestReadAllOfUnreadablePages(t *testing.T) {
	for name, rows := range map[string][]store.Row{
		"no rows":         nil,
		"the same rows":   {{Key: key("b"), Version: 1}},
		"rows of no name": {{Key: key(""), Version: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := store.ReadAll(t.Context(), &stuckStore{page: store.Page{Rows: rows, More: true, Version: 1}}, "t", "")
			assert.ErrorIs(t, err, store.ErrUnavailable)
		})
	}
}

// A copy that may lack deleted rows does not answer for the versions in question. A node that asked a relay which had started after a row was
// deleted kept the row for good.
func TestChangesAfterAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		s.Put(key("a"), []byte("1"))
		s.Put(key("b"), []byte("1"))
		s.Delete(key("b"))
		f, _ := startFollower(t, s, nil)
		time.Sleep(time.Second)
		for after, want := range map[int64]bool{0: true, 1: false, 2: false, 3: true} {
			_, _, known := f.Changes(t.Context(), after, 0)
			assert.Equal(t, known, want, "after %d", after)
		}
		s.SetFault(emulator.StoreRefuses)
		time.Sleep(time.Second)
		s.Put(key("c"), []byte("1"))
		s.Delete(key("c"))
		s.DropHistory()
		s.SetFault(emulator.StoreWorks)
		time.Sleep(5 * time.Second)
		for after, want := range map[int64]bool{2: false, 3: true, 4: false, 5: true} {
			_, _, known := f.Changes(t.Context(), after, 0)
			assert.Equal(t, known, want, "after %d", after)
		}
	})
}
