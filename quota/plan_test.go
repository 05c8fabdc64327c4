package quota

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// modelTask is a task of the model. Tasks have a cell and a size.
type modelTask struct {
	size Amounts
	// owner is the owner that started the task; nil while it waits.
	owner *modelOwner
	done  bool
}

// modelOwner is an owner of a cell, present or former.
type modelOwner struct {
	account *Account
	// version is up to where the owner has applied the rows; 0 until its first read.
	version int64
	// known are the tasks that the owner knows to run, including those that it has started, and recovered those that a former owner may run.
	known, recovered map[*modelTask]bool
	// inherited and over are what the former owner has reported.
	inherited int64
	over      Report
}

// modelCell is a cell, all owners that may still start tasks in it, and its ownership row.
type modelCell struct {
	name   string
	owners []*modelOwner // the last one is the present owner
	tasks  []*modelTask
	row    Report
}

// model is an organisation whose cap is divided among cells. Everything that is read may be old: reads choose any state since the last one.
type model struct {
	t      *rapid.T
	cells  []*modelCell
	names  []string
	rows   []Row // rows by version - 1
	caps   []Amounts
	reused [2]savedState
	starts int
	// ignoresAck and ignoresFormer switch mechanisms off, to show that the property depends on them.
	ignoresAck, ignoresFormer bool
}

// savedState is what an allocator has read and not used yet.
type savedState struct {
	state State
	set   bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t}
	for i := range rapid.IntRange(1, 4).Draw(t, "cells") {
		c := &modelCell{name: fmt.Sprint("c", i)}
		m.cells, m.names = append(m.cells, c), append(m.names, c.name)
		c.owners = []*modelOwner{{account: NewAccount(c.name, Amounts{}, true), known: map[*modelTask]bool{}, recovered: map[*modelTask]bool{}}}
	}
	m.caps = []Amounts{m.drawCap()}
	return m
}

func (m *model) drawCap() Amounts {
	return Amounts{rapid.Int64Range(1, 40).Draw(m.t, "cpu"), rapid.SampledFrom([]int64{0, 0, 30}).Draw(m.t, "mem"),
		rapid.SampledFrom([]int64{0, 3}).Draw(m.t, "gpu")}
}

func (m *model) drawCell() *modelCell { return rapid.SampledFrom(m.cells).Draw(m.t, "cell") }

func (c *modelCell) present() *modelOwner { return c.owners[len(c.owners)-1] }

// update computes what the owner counts.
func (o *modelOwner) update(ignoresFormer bool) {
	held, unknown := Amounts{}, Amounts{}
	for task := range o.known {
		held = held.Add(o.account.Charge(task.size))
	}
	for task := range o.recovered {
		if !o.known[task] {
			unknown = unknown.Add(o.account.Charge(task.size))
		}
	}
	o.account.SetHeld(held)
	if ignoresFormer {
		unknown = Amounts{}
	}
	o.account.SetUnknown(unknown)
}

// submit adds a waiting task to a cell.
func (m *model) submit() {
	c := m.drawCell()
	size := Amounts{rapid.Int64Range(1, 50).Draw(m.t, "size"), rapid.Int64Range(0, 20).Draw(m.t, "mem size"),
		rapid.Int64Range(0, 2).Draw(m.t, "gpu size")}
	c.tasks = append(c.tasks, &modelTask{size: size})
}

// start lets any owner of a cell, former or present, start a waiting task if it believes that it may. A former owner can start only tasks
// that it knows, on runners that its successors have not reached.
func (m *model) start() {
	c := m.drawCell()
	o := rapid.SampledFrom(c.owners).Draw(m.t, "owner")
	if o.version == 0 || !o.account.Known() {
		return
	}
	o.update(m.ignoresFormer)
	for _, task := range c.tasks {
		if task.owner != nil || task.done || o.recovered[task] && !o.known[task] {
			continue
		}
		if !c.knows(o, task) {
			continue
		}
		if o.account.MayHold(o.account.Charge(task.size)) {
			task.owner = o
			o.known[task] = true
			m.checkStart()
			return
		}
	}
}

// knows reports whether a task was accepted before an owner was replaced.
func (c *modelCell) knows(o *modelOwner, task *modelTask) bool {
	for _, later := range c.owners[slices.Index(c.owners, o)+1:] {
		if !later.recovered[task] {
			return false
		}
	}
	return true
}

// end ends a running task, of which the owner that started it learns.
func (m *model) end() {
	c := m.drawCell()
	for _, task := range c.tasks {
		if task.owner != nil && !task.done {
			task.done = true
			for _, o := range c.owners {
				delete(o.known, task)
				if o == task.owner || rapid.Bool().Draw(m.t, "learns") {
					delete(o.recovered, task)
				}
			}
			return
		}
	}
}

// replace makes another node the owner of a cell. It knows the accepted tasks, not which of them run.
func (m *model) replace() {
	c := m.drawCell()
	next := &modelOwner{known: map[*modelTask]bool{}, recovered: map[*modelTask]bool{}, inherited: c.row.Version, over: c.row}
	for _, task := range c.tasks {
		if !task.done {
			next.recovered[task] = true
		}
	}
	next.account = NewAccount(c.name, c.row.Held, c.row.Version > 0)
	c.owners = append(c.owners, next)
}

// resolve lets the present owner reach all runners: it adopts what runs there, and former owners can start nothing any more.
func (m *model) resolve() {
	c := m.drawCell()
	o := c.present()
	for task := range o.recovered {
		if task.owner != nil && !task.done {
			o.known[task] = true
		}
	}
	clear(o.recovered)
	c.owners = []*modelOwner{o}
}

// follow lets an owner apply a later row. The first read of an owner is as new as its acquisition.
func (m *model) follow() {
	c := m.drawCell()
	o := rapid.SampledFrom(c.owners).Draw(m.t, "follower")
	newest := int64(len(m.rows))
	if newest == 0 {
		return
	}
	version := newest
	if o.version > 0 {
		version = rapid.Int64Range(o.version, newest).Draw(m.t, "applied")
	}
	o.version = version
	o.account.SetRow(m.rows[version-1], version)
}

// commit lets the present owner write its ownership row.
func (m *model) commit() {
	m.acknowledge(m.drawCell())
}

// acknowledge writes the ownership row of a cell.
func (m *model) acknowledge(c *modelCell) {
	o := c.present()
	if o.version == 0 {
		return
	}
	o.update(m.ignoresFormer)
	c.row = Report{Version: o.version}
	if o.account.Over() {
		c.row.Over, c.row.Held = true, o.account.Held()
	}
}

// read lets one of two allocators read what its next change is based on.
func (m *model) read() {
	s := m.state(rapid.IntRange(0, len(m.caps)-1).Draw(m.t, "config"), rapid.Bool().Draw(m.t, "may move"))
	for _, c := range m.cells {
		if rapid.Bool().Draw(m.t, "reported") {
			s.Reports[c.name] = m.report(c, s.Version)
		}
		if rapid.Bool().Draw(m.t, "demands") {
			s.Demand[c.name] = m.demandOf(c)
		}
	}
	m.reused[rapid.IntRange(0, 1).Draw(m.t, "allocator")] = savedState{s, true}
}

// state returns the state of the organisation without reports and demands.
func (m *model) state(config int, mayMove bool) State {
	s := State{Cells: m.names, Cap: m.caps[config], Config: int64(config + 1), Version: int64(len(m.rows)), MayMove: mayMove,
		Reports: map[string]Report{}, Demand: map[string]Demand{}}
	if s.Version > 0 {
		s.Row = m.rows[s.Version-1]
	}
	return s
}

// report returns what a cell's ownership row says.
func (m *model) report(c *modelCell, version int64) Report {
	if m.ignoresAck {
		return Report{Version: version}
	}
	return c.row
}

func (m *model) demandOf(c *modelCell) Demand {
	o := c.present()
	o.update(m.ignoresFormer)
	d := Demand{Used: o.account.Held()}
	for _, task := range c.tasks {
		if task.owner == nil && !task.done && !o.recovered[task] {
			charge := o.account.Charge(task.size)
			d.Waiting, d.Largest = d.Waiting.Add(charge), d.Largest.Max(charge)
		}
	}
	return d
}

// write lets an allocator write its next row, if the present one is still the one that it has read.
func (m *model) write() {
	m.writeFrom(&m.reused[rapid.IntRange(0, 1).Draw(m.t, "writer")])
}

func (m *model) writeFrom(saved *savedState) {
	if !saved.set || saved.state.Version != int64(len(m.rows)) {
		return
	}
	saved.set = false
	if next, change := Next(saved.state); change != Unchanged {
		encoded, err := next.Encode()
		assert.NilError(m.t, err)
		decoded, err := Decode(encoded)
		assert.NilError(m.t, err)
		if change != Created && decoded.Config < saved.state.Row.Config {
			m.t.Fatalf("an older configuration replaces the cap of version %d", saved.state.Row.Config)
		}
		m.rows = append(m.rows, decoded)
	}
}

// settle lets everything happen that is on its way: without it, few sequences of random steps get to a raised limit.
func (m *model) settle() {
	for range 3 {
		for _, c := range m.cells {
			if newest := int64(len(m.rows)); newest > 0 {
				c.present().version = newest
				c.present().account.SetRow(m.rows[newest-1], newest)
				m.acknowledge(c)
			}
		}
		s := m.state(len(m.caps)-1, true)
		for _, c := range m.cells {
			s.Reports[c.name], s.Demand[c.name] = m.report(c, s.Version), m.demandOf(c)
		}
		m.reused[0] = savedState{s, true}
		m.writeFrom(&m.reused[0])
	}
}

func (m *model) changeCap() { m.caps = append(m.caps, m.drawCap()) }

// check asserts that what runs in all cells is within the highest cap that there was.
func (m *model) check() {
	if len(m.rows) > 0 {
		m.checkWithin(highestCap(m.rows))
	}
}

// highestCap returns the highest cap of rows; 0 in dimensions without a cap in one of them.
func highestCap(rows []Row) Amounts {
	highest := Amounts{}
	for _, row := range rows {
		highest = highest.Max(row.Cap)
	}
	for i := range highest {
		if slices.ContainsFunc(rows, func(r Row) bool { return r.Cap[i] == 0 }) {
			highest[i] = 0
		}
	}
	return highest
}

// running returns what is charged for all running tasks under a cap.
func (m *model) running(limit Amounts) Amounts {
	total := Amounts{}
	for _, c := range m.cells {
		for _, task := range c.tasks {
			if task.owner != nil && !task.done {
				total = total.Add(Charge(task.size, limit))
			}
		}
	}
	return total
}

// describe returns the state of the model.
func (m *model) describe() string {
	var b strings.Builder
	for i, row := range m.rows {
		fmt.Fprintf(&b, "row %d: cap %v", i+1, row.Cap)
		for _, cell := range m.names {
			share := row.Cells[cell]
			fmt.Fprintf(&b, ", %s limit %v bound %v", cell, share.Limit, share.Bound())
		}
		b.WriteByte('\n')
	}
	for _, c := range m.cells {
		fmt.Fprintf(&b, "cell %s: ownership row %+v\n", c.name, c.row)
		for i, o := range c.owners {
			fmt.Fprintf(&b, "  owner %d at row %d: held %v unknown %v former %v\n", i, o.version, o.account.held, o.account.unknown, o.account.former)
		}
		for _, task := range c.tasks {
			if task.owner != nil && !task.done {
				fmt.Fprintf(&b, "  task %v of owner %d\n", task.size, slices.Index(c.owners, task.owner))
			}
		}
	}
	return b.String()
}

// checkStart asserts after a start that what runs is within the highest cap that any owner still applies.
func (m *model) checkStart() {
	oldest := int64(len(m.rows))
	for _, c := range m.cells {
		for _, o := range c.owners {
			if o.version > 0 {
				oldest = min(oldest, o.version)
			}
		}
	}
	m.starts++
	m.checkWithin(highestCap(m.rows[oldest-1:]))
}

func (m *model) checkWithin(limit Amounts) {
	total := m.running(limit)
	for i := range limit {
		if limit[i] > 0 && total[i] > limit[i] {
			m.t.Fatalf("%v is held of a cap of %v\n%s", total, limit, m.describe())
		}
	}
}

// run performs random steps and checks the property after each.
func (m *model) run(steps int) {
	actions := []func(){m.submit, m.start, m.start, m.end, m.replace, m.resolve, m.follow, m.follow, m.commit, m.read, m.read,
		m.write, m.write, m.write, m.changeCap, m.settle, m.submit, m.start, m.start}
	for range steps {
		actions[rapid.IntRange(0, len(actions)-1).Draw(m.t, "action")]()
		m.check()
	}
}

// What the owners of all cells, including former ones that are cut off, have started must never exceed the cap, whatever is read late or lost.
func TestCapHoldsForAllOwners(t *testing.T) {
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.run(120)
		starts += m.starts
	})
	assert.Assert(t, starts > 100, "%d tasks were started in all", starts)
}
