package store_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/store"
)

// A read that is older than the reader's own commit must fail: the rows that it lacks look as if they did not exist.
func TestOldReadsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		fresh := store.NewFreshReads(s, 0)
		key := store.Key{Table: "jobs", Part: "c0", Name: "a"}
		version, err := fresh.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: key, Value: []byte("x")}}})
		assert.NilError(t, err)
		s.SetReadsBehind(3 * time.Second)
		_, err = fresh.Range(t.Context(), key.Table, key.Part, "", "", 0)
		assert.ErrorIs(t, err, store.ErrOldRead)
		assert.ErrorIs(t, err, store.ErrUnavailable)
		time.Sleep(3 * time.Second)
		page, err := fresh.Range(t.Context(), key.Table, key.Part, "", "", 0)
		assert.NilError(t, err)
		assert.Equal(t, page.Version, version)
		assert.Equal(t, len(page.Rows), 1)
	})
}
