// Package standin simulates the services that the platform provides (table service, object store, VM list) and the workers and
// runners of a deployment, all with switches for faults. It is used only by tests and by the stand-in program.
package standin

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// TableFaults are the fault switches of a Table. The zero value is a healthy table.
type TableFaults struct {
	// Down refuses every call before it takes effect.
	Down bool
	// Delay is added to each call before it takes effect.
	Delay time.Duration
	// LoseResponses is the number of next commits whose response is dropped after they took effect.
	LoseResponses int
	// LoseRequests is the number of next commits that are dropped before they take effect; the caller cannot tell them from
	// lost responses.
	LoseRequests int
	// CutDomains refuses calls from these failure domains.
	CutDomains []string
}

var (
	errDown         = errors.New("table is down")
	errCut          = errors.New("caller is cut off")
	errResponseLost = errors.New("answer was lost")
)

// TableStats counts calls.
type TableStats struct {
	Reads     int64 `json:"reads"`
	Scans     int64 `json:"scans"`
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
}

// Table is an in-memory table service.
type Table struct {
	mu      sync.Mutex
	rows    map[string]infra.Row
	keys    []string // sorted keys of rows
	version int64
	faults  TableFaults
	stats   TableStats
}

// NewTable returns an empty, healthy table.
func NewTable() *Table {
	return &Table{rows: map[string]infra.Row{}}
}

// SetFaults replaces the fault switches.
func (t *Table) SetFaults(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the fault switches.
func (t *Table) Faults() TableFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Stats returns the counts of executed calls so far.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// ForDomain returns the table as callers in a failure domain access it.
func (t *Table) ForDomain(domain string) infra.Table { return &domainTable{table: t, domain: domain} }

// Read implements infra.Table.
func (t *Table) Read(ctx context.Context, keys ...string) ([]infra.Row, error) {
	return t.ForDomain("").Read(ctx, keys...)
}

// Scan implements infra.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	return t.ForDomain("").Scan(ctx, prefix, after, limit)
}

// Commit implements infra.Table.
func (t *Table) Commit(ctx context.Context, txn infra.Txn) (int64, error) {
	return t.ForDomain("").Commit(ctx, txn)
}

type domainTable struct {
	table  *Table
	domain string
}

// beginCall applies the faults that act before a call.
func (d *domainTable) beginCall(ctx context.Context) error {
	faults := d.table.Faults()
	if faults.Down {
		return &infra.UnavailableError{Err: errDown}
	}
	if slices.Contains(faults.CutDomains, d.domain) {
		return &infra.UnavailableError{Err: errCut}
	}
	if faults.Delay <= 0 {
		return nil
	}
	timer := time.NewTimer(faults.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return &infra.UnavailableError{Err: ctx.Err()}
	case <-timer.C:
		return nil
	}
}

// Read implements infra.Table.
func (d *domainTable) Read(ctx context.Context, keys ...string) ([]infra.Row, error) {
	if err := d.beginCall(ctx); err != nil {
		return nil, err
	}
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	rows := make([]infra.Row, len(keys))
	for i, key := range keys {
		row := t.rows[key]
		row.Key = key
		rows[i] = row
	}
	return rows, nil
}

// Scan implements infra.Table.
func (d *domainTable) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if err := d.beginCall(ctx); err != nil {
		return nil, err
	}
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Scans++
	from := max(prefix, after)
	i, found := slices.BinarySearch(t.keys, from)
	if found && from == after {
		i++
	}
	var rows []infra.Row
	for ; i < len(t.keys) && len(rows) < limit && strings.HasPrefix(t.keys[i], prefix); i++ {
		rows = append(rows, t.rows[t.keys[i]])
	}
	return rows, nil
}

// Commit implements infra.Table.
func (d *domainTable) Commit(ctx context.Context, txn infra.Txn) (int64, error) {
	if err := d.beginCall(ctx); err != nil {
		return 0, err
	}
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.LoseRequests > 0 {
		t.faults.LoseRequests--
		return 0, &infra.UnknownOutcomeError{Err: errResponseLost}
	}
	version, err := t.apply(txn)
	if t.faults.LoseResponses > 0 {
		t.faults.LoseResponses--
		return 0, &infra.UnknownOutcomeError{Err: errResponseLost}
	}
	return version, err
}

// apply checks conditions and writes rows. The caller holds t.mu.
func (t *Table) apply(txn infra.Txn) (int64, error) {
	t.stats.Commits++
	var conflicts []string
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			conflicts = append(conflicts, c.Key)
		}
	}
	if len(conflicts) > 0 {
		t.stats.Conflicts++
		return 0, &infra.ConflictError{Keys: conflicts}
	}
	t.version++
	for _, w := range txn.Writes {
		t.write(w)
	}
	return t.version, nil
}

func (t *Table) write(w infra.Write) {
	i, found := slices.BinarySearch(t.keys, w.Key)
	switch {
	case w.Delete && found:
		t.keys = slices.Delete(t.keys, i, i+1)
		delete(t.rows, w.Key)
		return
	case w.Delete:
		return
	case !found:
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
	t.rows[w.Key] = infra.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: t.version}
}
