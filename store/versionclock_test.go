package store_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/store"
)

func notSuspended() time.Duration { return 0 }

// commitOwn commits a row and returns its version.
func commitOwn(t *testing.T, s store.Store) int64 {
	t.Helper()
	version, err := s.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: key("own")}}})
	assert.NilError(t, err)
	return version
}

// rowVersion reads a row of another writer and returns its version.
func rowVersion(t *testing.T, s store.Store, name string) int64 {
	t.Helper()
	page, err := s.Range(t.Context(), "t", "", name, "", 1)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Rows), 1)
	return page.Rows[0].Version
}

// A new owner counted all waits from the time at which it had read a row, and could not tell how long ago a row was written.
func TestVersionClockBoundsWritesOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		c := store.NewVersionClock(s, notSuspended)
		commitOwn(t, c)
		time.Sleep(500 * time.Millisecond)
		s.Put(key("b"), nil)
		written := time.Now()
		time.Sleep(300 * time.Millisecond)
		commitOwn(t, c)
		seen := time.Now()
		time.Sleep(2 * time.Second)
		version := rowVersion(t, c, "b")
		since, known := c.Since(version)
		assert.Assert(t, known)
		assert.Assert(t, since >= time.Since(written), "%s", since)
		assert.Assert(t, since < time.Since(written)+600*time.Millisecond, "%s", since)
		before, known := c.GivenOutBefore(version)
		assert.Assert(t, known)
		assert.Equal(t, before, seen)
		_, known = c.GivenOutBefore(version + 10)
		assert.Assert(t, !known)
	})
}

// A read that is seconds old returns a version below that of a row that was written before the read was sent. It must not make the row
// look younger than it is.
func TestOldReadDoesNotMakeARowYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		c := store.NewVersionClock(s, notSuspended)
		commitOwn(t, c)
		time.Sleep(time.Second)
		s.Put(key("b"), nil)
		written := time.Now()
		s.SetReadsBehind(3 * time.Second)
		for range 5 {
			time.Sleep(500 * time.Millisecond)
			_, err := c.Range(t.Context(), "t", "", "", "", 0)
			assert.NilError(t, err)
		}
		s.SetReadsBehind(0)
		since, known := c.Since(rowVersion(t, c, "b"))
		assert.Assert(t, known)
		assert.Assert(t, since >= time.Since(written), "%s of %s", since, time.Since(written))
	})
}

// What happened while the store was away, or may have been, can't be concluded from the time that passed, nor what happened before the
// first commit of this process.
func TestVersionClockDoesNotTellOverAnOutage(t *testing.T) {
	for name, disturb := range map[string]func(t *testing.T, s *emulator.Store, c *store.VersionClock){
		"none": func(*testing.T, *emulator.Store, *store.VersionClock) {},
		"refused read": func(t *testing.T, s *emulator.Store, c *store.VersionClock) {
			s.SetFault(emulator.StoreRefuses)
			_, err := c.Range(t.Context(), "t", "", "", "", 0)
			assert.ErrorIs(t, err, store.ErrUnavailable)
			s.SetFault(emulator.StoreWorks)
		},
		"refused commit": func(t *testing.T, s *emulator.Store, c *store.VersionClock) {
			s.SetFault(emulator.StoreRefuses)
			_, err := c.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: key("x")}}})
			assert.ErrorIs(t, err, store.ErrUnavailable)
			s.SetFault(emulator.StoreWorks)
		},
		// Requests of clients end with reads whose time is over when they are sent. They hid that runners had left.
		"call that was given up at once": func(t *testing.T, s *emulator.Store, c *store.VersionClock) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			_, err := c.Range(ctx, "t", "", "", "", 0)
			assert.ErrorIs(t, err, store.ErrUnavailable)
		},
		"call that was given up late": func(t *testing.T, s *emulator.Store, c *store.VersionClock) {
			s.SetFault(emulator.StoreSilent)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := c.Range(ctx, "t", "", "", "", 0)
			assert.ErrorIs(t, err, store.ErrUnavailable)
			s.SetFault(emulator.StoreWorks)
		},
		"call without a response": func(t *testing.T, s *emulator.Store, c *store.VersionClock) {
			s.SetFault(emulator.StoreSilent)
			go func() { _, _ = c.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: key("x")}}}) }() // its outcome does not matter
			time.Sleep(time.Second)
			s.SetFault(emulator.StoreWorks)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := emulator.NewStore()
				s.Put(key("early"), nil)
				c := store.NewVersionClock(s, notSuspended)
				commitOwn(t, c)
				s.Put(key("b"), nil)
				disturb(t, s, c)
				_, known := c.Since(rowVersion(t, c, "b"))
				assert.Equal(t, known, name == "none" || name == "call that was given up at once")
				_, known = c.Since(rowVersion(t, c, "early"))
				assert.Assert(t, !known)
				time.Sleep(10 * time.Second)
				commitOwn(t, c)
				s.Put(key("b"), nil)
				_, known = c.Since(rowVersion(t, c, "b"))
				assert.Assert(t, known)
			})
		})
	}
}

// The steady clock does not count the time for which the VM is suspended. A row would look younger than it is.
func TestVersionClockCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		suspended := time.Duration(0)
		c := store.NewVersionClock(s, func() time.Duration { return suspended })
		commitOwn(t, c)
		s.Put(key("b"), nil)
		suspended = 10 * time.Second
		since, known := c.Since(rowVersion(t, c, "b"))
		assert.Assert(t, known)
		assert.Assert(t, since >= 10*time.Second, "%s", since)
	})
}

// unevenStore delays the responses to commits by different times.
type unevenStore struct {
	store.Store
	calls atomic.Int64
}

func (s *unevenStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	version, err := s.Store.Commit(ctx, txn)
	time.Sleep(time.Duration(s.calls.Add(1)%7) * time.Millisecond)
	return version, err
}

// The responses to concurrent commits arrive in any order, and only so many are kept. What is no longer known must not be guessed.
func TestVersionClockIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		c := store.NewVersionClock(&unevenStore{Store: s}, notSuspended)
		commitOwn(t, c)
		s.Put(key("b"), nil)
		version := rowVersion(t, c, "b")
		written := time.Now()
		for range 3000 {
			go func() {
				_, _ = c.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: key("own")}}}) // always succeeds
			}()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		since, known := c.Since(version)
		assert.Assert(t, !known || since >= time.Since(written))
		last := commitOwn(t, c)
		s.Put(key("c"), nil)
		since, known = c.Since(last + 1)
		assert.Assert(t, known)
		assert.Assert(t, since < 100*time.Millisecond)
	})
}

// What another process tells must bound versions no more closely than its clock and the delay of its response allow, and must not hide that a
// call of it failed.
func TestMarksOfAnotherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		other := store.NewVersionClock(s, notSuspended)
		var sent time.Time
		for range 3 {
			sent = time.Now()
			commitOwn(t, other)
			time.Sleep(800 * time.Millisecond)
		}
		s.Put(key("b"), nil)
		written := time.Now()
		time.Sleep(100 * time.Millisecond)
		commitOwn(t, other)
		time.Sleep(2 * time.Second)
		ask := func() (store.Marks, error) {
			time.Sleep(30 * time.Millisecond)
			told := other.Tell(10 * time.Second)
			time.Sleep(40 * time.Millisecond)
			return told, nil
		}
		c := store.NewVersionClock(s, notSuspended)
		assert.Assert(t, !c.Covers(time.Second))
		assert.NilError(t, c.Learn(ask))
		assert.Assert(t, c.Covers(4*time.Second))
		version := rowVersion(t, c, "b")
		since, known := c.Since(version)
		assert.Assert(t, known)
		assert.Assert(t, since >= time.Since(sent)+30*time.Millisecond+80*time.Millisecond, "%s, sent %s ago", since, time.Since(sent))
		assert.Assert(t, since < time.Since(written)+time.Second, "%s, written %s ago", since, time.Since(written))
		before, known := c.GivenOutBefore(version)
		assert.Assert(t, known)
		assert.Assert(t, before.After(written) && before.Before(written.Add(300*time.Millisecond)), "%s after the write", before.Sub(written))

		s.SetFault(emulator.StoreRefuses)
		_, err := other.Range(t.Context(), "t", "", "", "", 0)
		assert.ErrorIs(t, err, store.ErrUnavailable)
		s.SetFault(emulator.StoreWorks)
		c = store.NewVersionClock(s, notSuspended)
		assert.NilError(t, c.Learn(ask))
		_, known = c.Since(rowVersion(t, c, "b"))
		assert.Assert(t, !known)
	})
}
