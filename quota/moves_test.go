package quota

import (
	"testing"

	"gotest.tools/v3/assert"
)

// settled is an organisation whose cap of 100 is divided evenly among four cells.
func settled() State {
	cells := []string{"c0", "c1", "c2", "c3"}
	row := Row{Config: 1, Cap: Amounts{100}, Cells: map[string]Share{}}
	for _, cell := range cells {
		row.Cells[cell] = Share{Limit: Amounts{25}}
	}
	return State{Cells: cells, Cap: Amounts{100}, Config: 1, Row: row, Version: 7, Demand: map[string]Demand{}, MayMove: true}
}

// acknowledgedBy returns the state after a row, with reports of all pending cells but one.
func acknowledgedBy(s State, row Row, held map[string]int64, but string) State {
	s.Row, s.Version, s.Reports = row, s.Version+1, map[string]Report{}
	for _, cell := range row.Pending() {
		if cell == but {
			continue
		}
		amount := held[cell]
		s.Reports[cell] = Report{Version: s.Version, Over: amount > row.Cells[cell].Limit[0], Held: Amounts{amount}}
	}
	return s
}

// A cell must not keep a limit that it does not use while tasks wait elsewhere. The limits come from few cells, and not from those whose owners are
// silent: they would acknowledge nothing for up to 10 s.
func TestLimitsMoveToWaitingTasks(t *testing.T) {
	for name, test := range map[string]struct {
		demand map[string]Demand
		silent string
		held   map[string]int64
		want   map[string]int64
	}{
		"one task": {map[string]Demand{"c3": {Waiting: Amounts{30}, Largest: Amounts{30}}}, "", nil,
			map[string]int64{"c0": 20, "c1": 25, "c2": 25, "c3": 30}},
		"two tasks": {map[string]Demand{"c3": {Waiting: Amounts{60}, Largest: Amounts{30}}}, "", nil,
			map[string]int64{"c0": 13, "c1": 13, "c2": 14, "c3": 60}},
		"a silent cell": {map[string]Demand{"c3": {Waiting: Amounts{45}, Largest: Amounts{45}}}, "c0", nil,
			map[string]int64{"c0": 25, "c1": 13, "c2": 17, "c3": 45}},
		"used limits stay": {map[string]Demand{"c0": {Used: Amounts{25}}, "c3": {Used: Amounts{20}, Waiting: Amounts{10}, Largest: Amounts{10}}}, "", nil,
			map[string]int64{"c0": 25, "c1": 20, "c2": 25, "c3": 30}},
		// More than half of the limits of cells without a demand is needed. They report what they hold.
		"a task of nearly the whole cap": {map[string]Demand{"c3": {Waiting: Amounts{90}, Largest: Amounts{90}}}, "", map[string]int64{"c1": 8},
			map[string]int64{"c0": 1, "c1": 9, "c2": 0, "c3": 90}},
	} {
		t.Run(name, func(t *testing.T) {
			s := settled()
			s.Demand, s.Silent = test.demand, map[string]bool{test.silent: true}
			row, change := Next(s)
			assert.Equal(t, change, Lowered)
			row, change = Next(acknowledgedBy(s, row, test.held, ""))
			assert.Equal(t, change, Raised)
			got := map[string]int64{}
			for _, cell := range s.Cells {
				got[cell] = row.Cells[cell].Limit[0]
			}
			assert.DeepEqual(t, got, test.want)
			assert.Equal(t, len(row.Pending()), 0)
		})
	}
}

// A row must not be rewritten without a change: no tasks wait, or the cap is in use.
func TestRowsAreNotRewrittenWithoutAChange(t *testing.T) {
	used := Demand{Used: Amounts{25}}
	for name, demand := range map[string]map[string]Demand{
		"no tasks wait":      {"c0": used},
		"the cap is used":    {"c0": used, "c1": used, "c2": used, "c3": {Used: Amounts{25}, Waiting: Amounts{5}, Largest: Amounts{5}}},
		"the limit suffices": {"c3": {Used: Amounts{20}, Waiting: Amounts{5}, Largest: Amounts{5}}},
	} {
		t.Run(name, func(t *testing.T) {
			s := settled()
			s.Demand = demand
			_, change := Next(s)
			assert.Equal(t, change, Unchanged)
		})
	}
}

// While one cell does not acknowledge a lower limit, what the others have given must reach the waiting task, and another task must get limits of
// the others.
func TestOneCellThatDoesNotAcknowledge(t *testing.T) {
	s := settled()
	s.Demand["c3"] = Demand{Waiting: Amounts{60}, Largest: Amounts{30}}
	row, change := Next(s)
	assert.Equal(t, change, Lowered)
	s = acknowledgedBy(s, row, nil, "c0")
	row, change = Next(s)
	assert.Equal(t, change, Raised)
	assert.Equal(t, row.Cells["c3"].Limit[0], int64(30))
	assert.DeepEqual(t, row.Pending(), []string{"c0"})
	s = acknowledgedBy(s, row, nil, "c0")
	s.Demand = map[string]Demand{"c3": {Used: Amounts{30}}, "c1": {Waiting: Amounts{16}, Largest: Amounts{16}}}
	row, change = Next(s)
	assert.Equal(t, change, Raised)
	assert.Assert(t, row.Cells["c1"].Limit[0] >= 16)
}
