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

// appendTo returns a transaction that is visible as often as it was applied: it adds a row under a fresh key.
func appendTo(key string) infra.Txn {
	return infra.Txn{Writes: []infra.Write{{Key: key, Value: []byte("x")}}}
}

// Guards against a write that is applied twice, or reported as failed, after its answer was lost.
func TestWriterSettlesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		table.SetFaults(standin.TableFaults{LoseAnswers: 1})
		w := ledger.NewWriter(table, "w")
		_, err := w.Commit(t.Context(), appendTo("a"))
		assert.NilError(t, err)
		assert.Equal(t, table.Stats().Commits-table.Stats().Conflicts, int64(1))
	})
}

// Guards against a write that is forgotten when the request itself was lost.
func TestWriterRepeatsLostRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		table.SetFaults(standin.TableFaults{LoseRequests: 2})
		w := ledger.NewWriter(table, "w")
		_, err := w.Commit(t.Context(), appendTo("a"))
		assert.NilError(t, err)
		rows, err := table.Read(t.Context(), "a")
		assert.NilError(t, err)
		assert.Assert(t, rows[0].Version > 0)
	})
}

// heldTable delays one commit until release and answers it as lost, like a packet that arrives late.
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

// Guards against a request that arrives after Resolve said "not applied" and is applied all the same.
func TestResolveFencesLateRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		held := &heldTable{Table: table}
		w := ledger.NewWriter(held, "w")
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := w.Commit(ctx, appendTo("a"))
		assert.Assert(t, infra.IsUnknownOutcome(err))
		_, err = w.Commit(t.Context(), appendTo("b"))
		assert.ErrorIs(t, err, ledger.ErrUnresolved)
		applied, err := w.Resolve(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, !applied)
		_, err = table.Commit(t.Context(), *held.held)
		assert.Assert(t, infra.IsConflict(err))
	})
}

// Guards against doubled and lost writes under any sequence of lost requests, lost answers and outages: each commit that
// reports success is there once, each that reports failure is absent.
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
			Down:         rapid.Bool().Draw(rt, "down"),
			LoseAnswers:  rapid.IntRange(0, 3).Draw(rt, "lose answers"),
			LoseRequests: rapid.IntRange(0, 3).Draw(rt, "lose requests"),
		})
		key := string(rune('a' + i))
		txn := appendTo(key)
		txn.Conditions = []infra.Condition{{Key: key, Version: 0}}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := w.Commit(ctx, txn)
		cancel()
		applied := err == nil
		if infra.IsUnknownOutcome(err) {
			table.SetFaults(standin.TableFaults{LoseAnswers: rapid.IntRange(0, 1).Draw(rt, "lose fence")})
			applied, err = w.Resolve(t.Context())
			assert.NilError(t, err)
		}
		table.SetFaults(standin.TableFaults{})
		rows, err := table.Read(t.Context(), key)
		assert.NilError(t, err)
		assert.Equal(t, rows[0].Version > 0, applied, "commit %d", i)
	}
}
