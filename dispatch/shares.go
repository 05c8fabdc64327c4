package dispatch

import (
	"time"

	"github.com/currantthread/currantthread/fairshare"
	"github.com/currantthread/currantthread/workload"
)

// Organisations share a cell by weight: within a priority, the next unit of a plan comes from the organisation whose runs hold the lowest weighted
// dominant share of the cell, and within an organisation units keep the order of sortReady. Long-running tasks and short tasks
// are divided separately, because long-running tasks hold their resources for minutes and are bounded by admission: an organisation that
// has many of them would otherwise have no short task started while others wait.

// fairAmounts returns resources in the form of package fairshare.
func fairAmounts(r workload.Resources) fairshare.Amounts {
	return fairshare.Amounts{fairshare.Processors: r.CPU, fairshare.Memory: r.MemoryMB, fairshare.Accelerators: r.GPU}
}

// amounts returns what all members of the unit hold while they run.
func (u *unit) amounts() fairshare.Amounts {
	a := fairAmounts(u.def().Committed())
	for d := range a {
		a[d] *= int64(u.size)
	}
	return a
}

// weightOf returns the weight of an organisation: 1 for jobs without an organisation and for organisations that the configuration does not have. The
// caller holds mu.
func (c *Cell) weightOf(organisation string) float64 {
	if o := c.catalog.Organisations[organisation]; o != nil && o.Weight > 0 {
		return o.Weight
	}
	return 1
}

// holdings are what the runs of each organisation hold in a cell.
type holdings struct {
	capacity           fairshare.Amounts // of the usable runners
	short, longRunning map[string]fairshare.Amounts
}

// holdings counts what the runs hold. The caller holds mu.
func (c *Cell) holdings(now time.Time) holdings {
	h := holdings{short: map[string]fairshare.Amounts{}, longRunning: map[string]fairshare.Amounts{}}
	for _, rs := range c.runners {
		if c.isUsable(now, rs) {
			h.capacity = h.capacity.Add(fairAmounts(rs.info.Capacity))
		}
		for r := range rs.runs {
			held := h.short
			if r.unit.def().LongRunning {
				held = h.longRunning
			}
			name := r.unit.job.def.Organisation
			held[name] = held[name].Add(fairAmounts(r.unit.def().Committed()))
		}
	}
	return h
}

// stage is a part of the queue within which the shares decide. Units of an earlier stage go first whatever their organisation. Units without value
// run only when nothing else of their priority waits, so their organisation loses nothing to others.
type stage struct {
	priority             int
	longRunning, tooLate bool
}

func (u *unit) stage() stage {
	return stage{u.job.def.Policy.Priority, u.pieceSize() > 0, u.latenessClass == classTooLate}
}

// turns hands out the sorted ready units in the order in which a plan tries them. Without organisations that is their order.
type turns struct {
	// queue holds the units of later stages.
	queue []*unit
	// short and longRunning are nil if the configuration has no organisations; current is the one of the present stage, if any.
	short, longRunning, current *fairshare.Order[*unit]
	// ordered is set if the last unit came from current.
	ordered bool
}

// newTurns returns the turns of the sorted ready units. The caller holds mu.
func (c *Cell) newTurns(now time.Time) *turns {
	t := &turns{queue: c.ready}
	if len(c.catalog.Organisations) == 0 {
		return t
	}
	held := c.holdings(now)
	t.short, t.longRunning = fairshare.NewOrder[*unit](held.capacity), fairshare.NewOrder[*unit](held.capacity)
	opened := map[string]bool{}
	for _, u := range c.ready {
		name := u.job.def.Organisation
		if opened[name] {
			continue
		}
		opened[name] = true
		t.short.Open(name, c.weightOf(name), held.short[name])
		t.longRunning.Open(name, c.weightOf(name), held.longRunning[name])
	}
	return t
}

// next removes and returns the next unit, or nil.
func (t *turns) next() *unit {
	if t.current != nil {
		if u, ok := t.current.Next(); ok {
			return u
		}
		t.current, t.ordered = nil, false
	}
	if len(t.queue) == 0 {
		return nil
	}
	first := t.queue[0]
	if t.short == nil || first.isRestart() {
		t.queue = t.queue[1:]
		return first
	}
	t.current, t.ordered = t.short, true
	present := first.stage()
	if present.longRunning {
		t.current = t.longRunning
	}
	count := 0
	for count < len(t.queue) && t.queue[count].stage() == present {
		u := t.queue[count]
		t.current.Push(u.job.def.Organisation, u)
		count++
	}
	t.queue = t.queue[count:]
	u, _ := t.current.Next() // there is at least one
	return u
}

// started counts the last unit as held by its organisation.
func (t *turns) started(u *unit) {
	if t.ordered {
		t.current.Charge(u.amounts())
	}
}

// waits notes that the last unit still waits, and whether a later unit of another organisation was started before it was tried.
func (t *turns) waits(now time.Time, u *unit) {
	if t.ordered && t.current.Overtaken() {
		u.overtakenAt = now
	}
}

// wasOvertaken reports whether a later unit of another organisation was started since the unit has waited.
func (u *unit) wasOvertaken() bool { return u.overtakenAt.After(u.waitsSince()) }
