package quota

import (
	"cmp"
	"slices"
)

// Demand is what a cell reports of an organisation that uses more than half of its limit there or has tasks that wait for it.
type Demand struct {
	// Used is what runs hold.
	Used Amounts `json:"u"`
	// Waiting is what the tasks are charged that wait because of the limit, and Largest the largest of them, by dimension.
	Waiting Amounts `json:"w,omitzero"`
	Largest Amounts `json:"l,omitzero"`
}

// lack returns what the cell needs beyond its limit for its largest waiting task.
func (d Demand) lack(limit Amounts) Amounts {
	if d.Waiting == (Amounts{}) {
		return Amounts{}
	}
	return d.Used.Add(d.Largest).Sub(limit).Max(Amounts{})
}

// Report is what the owner of a cell has reported of an organisation. The zero value is that of an owner that applies no row.
type Report struct {
	// Version is the version of the table up to which the owner, and each earlier one, applies the rows.
	Version int64
	// Over is set if runs in the cell may hold more than the limit, and Held is then what they hold at most.
	Over bool
	Held Amounts
}

// State is what the next row of an organisation depends on.
type State struct {
	Cells []string
	// Cap is the organisation's cap in the configuration with the version Config.
	Cap    Amounts
	Config int64
	// Row is the present row, and Version its version; 0 if there is none.
	Row     Row
	Version int64
	// Reports has reports of the pending cells that were read after the row.
	Reports map[string]Report
	Demand  map[string]Demand
	// MayMove permits to lower limits in favour of cells where tasks wait, but not those of Silent cells, whose owners may not acknowledge it soon.
	MayMove bool
	Silent  map[string]bool
}

// Change is what distinguishes a row from the one before it.
type Change uint8

// Changes of a row.
const (
	// Unchanged: no row is to be written.
	Unchanged Change = iota
	// Created: the row is the organisation's first one. No cell may hold anything.
	Created
	// Recapped: the cap has changed. No limit is raised.
	Recapped
	// Lowered: limits are lowered in favour of other cells.
	Lowered
	// Raised: limits are raised by what no cell holds.
	Raised
	// Settled: all cells have acknowledged their limits.
	Settled
)

var changeNames = []string{"unchanged", "created", "recapped", "lowered", "raised", "settled"}

// String returns the name of the change.
func (c Change) String() string { return changeNames[c] }

// Next returns the next row of an organisation. It must be written under the condition that the present row still has its version.
func Next(s State) (Row, Change) {
	if s.Version == 0 {
		return s.first()
	}
	if s.Config < s.Row.Config {
		// Another allocator has a newer configuration.
		return s.Row, Unchanged
	}
	row := s.Row.clone()
	if s.Cap != row.Cap {
		s.recap(row)
		row.Cap, row.Config = s.Cap, s.Config
		return row, Recapped
	}
	unacknowledged := s.acknowledge(row)
	if s.grow(row, unacknowledged == 0) {
		return row, Raised
	}
	pending := len(row.Pending())
	if pending == 0 && len(s.Row.Pending()) > 0 {
		return row, Settled
	}
	if _, known := row.free(); known && s.MayMove && s.lower(row) {
		return row, Lowered
	}
	return s.Row, Unchanged
}

// first returns the first row. Owners that do not know it may have started tasks without a limit.
func (s *State) first() (Row, Change) {
	row := Row{Config: s.Config, Cap: s.Cap, Cells: map[string]Share{}}
	if !row.Capped() {
		return row, Unchanged
	}
	for _, cell := range s.Cells {
		row.Cells[cell] = Share{Before: &unbounded}
	}
	return row, Created
}

// recap adapts the limits to a new cap. Where the cap is raised, tasks that are larger than the former one are charged more than before, so
// what the cells hold is not known. Where it is lowered, or there was none, no cell may start anything before it is known that all cells
// together hold less than the new cap: one that holds less than its part would otherwise start tasks while another one still holds more.
func (s *State) recap(row Row) {
	lowered := false
	for i, limit := range s.Cap {
		lowered = lowered || limit > 0 && (row.Cap[i] == 0 || limit < row.Cap[i])
	}
	for _, cell := range s.Cells {
		share := row.Cells[cell]
		bound := share.Bound()
		for i, limit := range s.Cap {
			switch {
			case limit == 0:
				share.Limit[i], bound[i] = 0, 0
			case limit > row.Cap[i]:
				bound[i] = NoBound
			}
		}
		if lowered {
			share.Limit = Amounts{}
		}
		row.setBefore(cell, share, bound)
	}
}

// wanted returns what a cell needs of its limit. A cell without a report uses at most half of it.
func (s *State) wanted(cell string, limit Amounts) Amounts {
	if d, ok := s.Demand[cell]; ok {
		return d.Used.Add(d.Waiting)
	}
	for i := range limit {
		limit[i] = (limit[i] + 1) / 2
	}
	return limit
}

// wantedIfReported is wanted for a search among all limits: cells without a report count as unused, and report what they hold once their
// limits are lowered.
func (s *State) wantedIfReported(cell string, _ Amounts) Amounts {
	d := s.Demand[cell]
	return d.Used.Add(d.Waiting)
}

// acknowledge applies the reports, and returns the number of pending cells without one.
func (s *State) acknowledge(row Row) (missing int) {
	for _, cell := range row.Pending() {
		report, ok := s.Reports[cell]
		if !ok || report.Version < s.Version {
			missing++
			continue
		}
		held := Amounts{}
		if report.Over {
			held = report.Held
		}
		row.setBefore(cell, row.Cells[cell], held)
	}
	return missing
}

// grow distributes what no cell may hold, and reports whether it did: to the cells where tasks wait, in multiples of their largest task, then
// evenly. Amounts that are on their way to a cell are not complete before all cells have acknowledged, and are not spread until then.
func (s *State) grow(row Row, complete bool) bool {
	free, ok := row.free()
	if !ok {
		return false
	}
	s.keepHeld(row)
	granted := s.serve(row, &free)
	for cell, amounts := range granted {
		s.raise(row, cell, amounts)
	}
	if complete && free != (Amounts{}) {
		s.spread(row, free)
	}
	for _, cell := range s.Cells {
		if !row.Cells[cell].Limit.Within(s.Row.Cells[cell].Limit) {
			return true
		}
	}
	return false
}

// keepHeld raises the limits of cells that have reported that they hold more to what they hold. The sum over all cells stays the same.
func (s *State) keepHeld(row Row) {
	for _, cell := range row.Pending() {
		share := row.Cells[cell]
		report, ok := s.Reports[cell]
		if !ok || report.Version < s.Version {
			continue
		}
		bound := share.Bound()
		share.Limit = share.Limit.Max(bound)
		row.setBefore(cell, share, bound)
	}
}

// raise adds to the limit of a cell. What it may hold beyond its limit stays counted.
func (s *State) raise(row Row, cell string, amounts Amounts) {
	share := row.Cells[cell]
	bound := share.Bound()
	share.Limit = share.Limit.Add(amounts)
	row.setBefore(cell, share, bound)
}

// serve takes what cells with waiting tasks need from an amount, one task of each cell at a time, and returns what each cell gets.
func (s *State) serve(row Row, free *Amounts) map[string]Amounts {
	granted := map[string]Amounts{}
	needy := s.needy(row)
	for len(needy) > 0 {
		var again []string
		for _, cell := range needy {
			d := s.Demand[cell]
			limit := row.Cells[cell].Limit.Add(granted[cell])
			step := d.lack(limit)
			if granted[cell] != (Amounts{}) {
				step = d.Largest
			}
			if step == (Amounts{}) || !step.Within(*free) {
				continue
			}
			*free = free.Sub(step)
			granted[cell] = granted[cell].Add(step)
			if !d.Used.Add(d.Waiting).Within(limit.Add(step)) {
				again = append(again, cell)
			}
		}
		needy = again
	}
	return granted
}

// needy returns the cells whose largest waiting task exceeds their limit, those first where nothing runs.
func (s *State) needy(row Row) []string {
	var cells []string
	for _, cell := range s.Cells {
		if d, ok := s.Demand[cell]; ok && d.lack(row.Cells[cell].Limit) != (Amounts{}) {
			cells = append(cells, cell)
		}
	}
	slices.SortStableFunc(cells, func(a, b string) int {
		return cmp.Compare(btoi(s.Demand[a].Used != (Amounts{})), btoi(s.Demand[b].Used != (Amounts{})))
	})
	return cells
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// spread distributes an amount evenly.
func (s *State) spread(row Row, free Amounts) {
	n := int64(len(s.Cells))
	for k, cell := range s.Cells {
		var part Amounts
		for i := range free {
			part[i] = free[i] / n
			if int64(k) < free[i]%n {
				part[i]++
			}
		}
		if part != (Amounts{}) {
			s.raise(row, cell, part)
		}
	}
}

// lower lowers limits that are not used in favour of cells where tasks wait, and reports whether it did.
func (s *State) lower(row Row) bool {
	if len(s.needy(row)) == 0 {
		return false
	}
	for search, base := range []func(cell string, limit Amounts) Amounts{s.wanted, s.wantedIfReported} {
		spare := map[string]Amounts{}
		var total Amounts
		for _, cell := range s.Cells {
			limit := row.Cells[cell].Limit
			spare[cell] = limit.Sub(base(cell, limit)).Max(Amounts{})
			if d, ok := s.Demand[cell]; ok && d.lack(limit) != (Amounts{}) || s.Silent[cell] || row.Cells[cell].Before != nil {
				// What it has is needed for its own waiting task, or would not be free soon.
				spare[cell] = Amounts{}
			}
			total = total.Add(spare[cell])
		}
		left := total
		if len(s.serve(row, &left)) == 0 {
			continue
		}
		if search > 0 {
			// Some of the limits are in use, but it is not known which. What remains is spread again.
			left = Amounts{}
		}
		s.take(row, spare, total.Sub(left))
		return true
	}
	return false
}

// take lowers limits by an amount in all, those first that have most to spare, so that few owners have to acknowledge.
func (s *State) take(row Row, spare map[string]Amounts, wanted Amounts) {
	for i := range wanted {
		cells := slices.Clone(s.Cells)
		slices.SortStableFunc(cells, func(a, b string) int { return cmp.Compare(spare[b][i], spare[a][i]) })
		for _, cell := range cells {
			part := min(wanted[i], spare[cell][i])
			if part <= 0 {
				break
			}
			wanted[i] -= part
			limit := row.Cells[cell].Limit
			limit[i] -= part
			row.setLimit(cell, limit)
		}
	}
}
