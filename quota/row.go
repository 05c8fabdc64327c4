package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Table is the table with one row for each organisation with a cap, in the empty partition.
const Table = "quota"

// Share is the part of a cap that a cell has.
type Share struct {
	// Limit is what runs in the cell may hold.
	Limit Amounts `json:"limit"`
	// Before, if set, bounds what runs in the cell may hold beyond Limit, under a higher limit or without one: an amount is NoBound if
	// that is not known. It is removed once the cell's owner reports that they hold no more than Limit.
	Before *Amounts `json:"before,omitempty"`
}

// Bound returns what the runs in the cell hold at most, whoever its owners are.
func (s Share) Bound() Amounts {
	if s.Before == nil {
		return s.Limit
	}
	return looser(s.Limit, *s.Before)
}

// Row is the division of an organisation's cap.
type Row struct {
	// Config is the version of the configuration with which the cap last changed.
	Config int64 `json:"config"`
	// Cap is the cap by which tasks are charged. An amount of 0 means that there is none.
	Cap Amounts `json:"cap"`
	// Cells has the shares by cell. A cell without one may hold nothing.
	Cells map[string]Share `json:"cells,omitempty"`
}

// MaxAmount bounds the amounts of a row and of a demand, so that their sums over all cells can't overflow.
const MaxAmount = 1 << 50

var (
	errAmount = errors.New("amount is out of range")
	errNoCap  = errors.New("cap is missing")
)

// Decode decodes and checks the value of a row.
func Decode(value []byte) (Row, error) {
	var stored struct {
		Row
		Cap *Amounts `json:"cap"`
	}
	if err := json.Unmarshal(value, &stored); err != nil {
		return Row{}, err
	}
	if stored.Cap == nil {
		// A row without a cap would let everything start.
		return Row{}, errNoCap
	}
	r := stored.Row
	r.Cap = *stored.Cap
	check := func(a Amounts, lowest int64) bool {
		return !slices.ContainsFunc(a[:], func(v int64) bool { return v < lowest || v > MaxAmount })
	}
	if !check(r.Cap, 0) {
		return Row{}, fmt.Errorf("cap: %w", errAmount)
	}
	for cell, share := range r.Cells {
		if !check(share.Limit, 0) || share.Before != nil && !check(*share.Before, NoBound) {
			return Row{}, fmt.Errorf("cell %.50q: %w", cell, errAmount)
		}
	}
	return r, nil
}

// Encode returns the value of the row.
func (r Row) Encode() ([]byte, error) { return json.Marshal(r) }

// Pending returns, in order, the cells whose owners have not reported that they hold no more than their limits. The next change needs
// their reports, read after the row.
func (r Row) Pending() []string {
	var cells []string
	for cell, share := range r.Cells {
		if share.Before != nil {
			cells = append(cells, cell)
		}
	}
	slices.Sort(cells)
	return cells
}

// Capped reports whether there is a cap in any dimension.
func (r Row) Capped() bool { return r.Cap != Amounts{} }

// free returns what no cell may hold. It returns false if that is not known, or if the cells may hold more than the cap in any dimension.
func (r Row) free() (free Amounts, ok bool) {
	free = r.Cap
	for _, share := range r.Cells {
		bound := share.Bound()
		for i := range free {
			if r.Cap[i] == 0 {
				continue
			}
			if free[i] -= bound[i]; bound[i] == NoBound || free[i] < 0 {
				return Amounts{}, false
			}
		}
	}
	return free, true
}

func (r Row) clone() Row {
	r.Cells = maps.Clone(r.Cells)
	if r.Cells == nil {
		r.Cells = map[string]Share{}
	}
	return r
}

// setLimit changes the limit of a cell. A lower one leaves the former bound in force until the owner has acknowledged it.
func (r Row) setLimit(cell string, limit Amounts) {
	share := r.Cells[cell]
	bound := share.Bound()
	share.Limit = limit
	r.setBefore(cell, share, bound)
}

// setBefore sets the share of a cell with a bound beyond its limit, or without one if the limit is no lower.
func (r Row) setBefore(cell string, share Share, before Amounts) {
	share.Before = nil
	if looser(share.Limit, before) != share.Limit {
		share.Before = &before
	}
	if share == (Share{}) {
		delete(r.Cells, cell)
		return
	}
	r.Cells[cell] = share
}

// VersionedRow is a row of the store.
type VersionedRow struct {
	Row
	Version int64
}
