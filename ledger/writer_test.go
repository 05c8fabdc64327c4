package ledger_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/ledger"
)

// putTxn returns a transaction that writes a row under key. Each test uses a new key, so that the row shows whether the
// transaction was applied.
func putTxn(key string) infra.Txn {
	return infra.Txn{Writes: []infra.Write{{Key: key, Value: []byte("x")}}}
}

// A write whose response is lost is applied once and reported as successful.
func TestWriterResolvesLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		table.SetFaults(standin.TableFaults{LoseResponses: 1})
		w := ledger.NewWriter(table, "w")
		_, err := w.Commit(t.Context(), putTxn("a"))
		assert.NilError(t, err)
		assert.Equal(t, table.Stats().Commits-table.Stats().Conflicts, int64(1))
	})
}

// A write whose request is lost is sent again.
func TestWriterRetriesLostRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		table.SetFaults(standin.TableFaults{LoseRequests: 2})
		w := ledger.NewWriter(table, "w")
		_, err := w.Commit(t.Context(), putTxn("a"))
		assert.NilError(t, err)
		rows, err := table.Read(t.Context(), "a")
		assert.NilError(t, err)
		assert.Assert(t, rows[0].Version > 0)
	})
}

// heldTable holds back the first commit and returns an unknown outcome, like a request that is delivered late.
type heldTable struct {
	infra.Table
	held *infra.Txn
}

func (h *heldTable) Commit(ctx context.Context, txn infra.Txn) (int64, error) {
	if h.held == nil {
		h.held = &txn
		return 0, &infra.UnknownOutcomeError{Err: errors.New("held")}
	}
	return h.Table.Commit(ctx, txn)
}

// A request that arrives after Resolve has returned "not applied" is not applied.
func TestResolveFencesLateRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		held := &heldTable{Table: table}
		w := ledger.NewWriter(held, "w")
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := w.Commit(ctx, putTxn("a"))
		assert.Assert(t, infra.IsUnknownOutcome(err))
		_, err = w.Commit(t.Context(), putTxn("b"))
		assert.ErrorIs(t, err, ledger.ErrUnresolved)
		applied, err := w.Resolve(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, !applied)
		_, err = table.Commit(t.Context(), *held.held)
		assert.Assert(t, infra.IsConflict(err))
	})
}

// Under any sequence of lost requests, lost responses and outages, a commit that reports success is applied once and one
// that reports failure is not applied.
func TestWriterExactlyOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) { checkExactlyOnce(t, rt) })
	})
}

func checkExactlyOnce(t *testing.T, rt *rapid.T) {
	table := standin.NewTable()
	w := ledger.NewWriter(table, "w")
	for i := range rapid.IntRange(1, 12).Draw(rt, "commits") {
		table.SetFaults(standin.TableFaults{
			Down:          rapid.Bool().Draw(rt, "down"),
			LoseResponses: rapid.IntRange(0, 3).Draw(rt, "lose answers"),
			LoseRequests:  rapid.IntRange(0, 3).Draw(rt, "lose requests"),
		})
		key := string(rune('a' + i))
		txn := putTxn(key)
		txn.Conditions = []infra.Condition{{Key: key, Version: 0}}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := w.Commit(ctx, txn)
		cancel()
		applied := err == nil
		if infra.IsUnknownOutcome(err) {
			table.SetFaults(standin.TableFaults{LoseResponses: rapid.IntRange(0, 1).Draw(rt, "lose fence")})
			applied, err = w.Resolve(t.Context())
			assert.NilError(t, err)
		}
		table.SetFaults(standin.TableFaults{})
		rows, err := table.Read(t.Context(), key)
		assert.NilError(t, err)
		assert.Equal(t, rows[0].Version > 0, applied, "commit %d", i)
	}
}
