package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/currantthread/currantthread/workload"
)

// packing assigns long-running tasks to runners on paper. Processor time that is free in small pieces does not help a large
// task, so the sum of the free capacity does not tell whether a job's tasks can be placed.
type packing struct {
	bins []bin
	// wanted are the tasks that have no runner yet.
	wanted []wantedTasks
	// unplaced counts the wanted tasks without a place, by step, once placeAll has run.
	unplaced map[*workload.Step]int
}

// wantedTasks are tasks of one step that need places.
type wantedTasks struct {
	step    *workload.Step
	service string
	count   int
}

// bin is what a runner has left for long-running tasks.
type bin struct {
	state  *runnerState
	free   workload.Resources
	onStep map[*workload.Step]int
}

// newPacking returns the capacity that the long-running tasks of the cell leave: those that run, those that wait, those of submissions that
// are not decided yet and those of other cells for which places are reserved. Short tasks release their capacity within seconds and don't count. The caller
// holds mu.
func (c *Cell) newPacking() *packing {
	p := &packing{bins: make([]bin, 0, len(c.runners))}
	for _, rs := range c.runners {
		if !rs.present || rs.info.Draining || c.evacuated[rs.info.Domain] {
			continue
		}
		b := bin{state: rs, free: rs.info.Capacity, onStep: map[*workload.Step]int{}}
		for r := range rs.runs {
			if def := r.unit.def(); def.LongRunning {
				b.free = b.free.Sub(def.Committed())
				b.onStep[def]++
			}
		}
		p.bins = append(p.bins, b)
	}
	// The result must not depend on the order of a map.
	slices.SortFunc(p.bins, func(a, b bin) int { return strings.Compare(a.state.info.ID, b.state.info.ID) })
	for _, u := range c.ready {
		if u.phase == phaseReady && u.def().LongRunning && !u.job.state.Terminal() {
			p.wanted = append(p.wanted, wantedTasks{u.def(), c.serviceOf(u.job), u.size})
		}
	}
	for s := range c.undecided() {
		p.add(s.job)
	}
	for j := range c.delegating {
		for _, t := range j.transfers {
			if t.takesOver {
				p.addWaitingUnits(c.serviceOf(j), t.units)
			}
		}
	}
	for i := range c.reservations {
		p.wanted = append(p.wanted, wantedTasks{c.reservations[i].step, c.reservations[i].service, 1})
	}
	return p
}

// newRespondingPacking is newPacking without the runners that have stopped responding: until they are removed from service discovery, they
// look like places to which tasks can be delegated. The caller holds mu.
func (c *Cell) newRespondingPacking(now time.Time) *packing {
	p := c.newPacking()
	p.bins = slices.DeleteFunc(p.bins, func(b bin) bool { return b.state.isSilent(now) })
	return p
}

// addWaitingUnits adds the long-running tasks that have no runner.
func (p *packing) addWaitingUnits(service string, units []*unit) {
	for _, u := range units {
		if len(u.runs) == 0 {
			p.wanted = append(p.wanted, wantedTasks{u.def(), service, u.size})
		}
	}
}

// add adds the long-running tasks of a job.
func (p *packing) add(job *workload.Job) {
	for i := range job.Steps {
		if step := &job.Steps[i]; step.LongRunning {
			p.wanted = append(p.wanted, wantedTasks{step, job.Policy.Service, step.Count})
		}
	}
}

// fits places all tasks, the largest first as plan does, and reports whether each has a place.
func (p *packing) fits() bool {
	p.sortWanted()
	for _, w := range p.wanted {
		if p.place(w) < w.count {
			return false
		}
	}
	return true
}

// placeAll places the tasks that have a place, the largest first, and counts the others.
func (p *packing) placeAll() {
	p.sortWanted()
	p.unplaced = map[*workload.Step]int{}
	for _, w := range p.wanted {
		p.unplaced[w.step] += w.count - p.place(w)
	}
}

func (p *packing) sortWanted() {
	slices.SortStableFunc(p.wanted, func(a, b wantedTasks) int { return cmp.Compare(b.step.Committed().CPU, a.step.Committed().CPU) })
}

// hasPlacesFor places units beside the tasks that are already placed, and reports whether each has a place. Tasks without a place
// don't matter: they need larger places than there are.
func (p *packing) hasPlacesFor(service string, units []*unit) bool {
	for _, u := range units {
		if p.place(wantedTasks{u.def(), service, u.size}) < u.size {
			return false
		}
	}
	return true
}

// place places the tasks of a step, each on the runner where it leaves the least, and returns how many of them have a place.
func (p *packing) place(w wantedTasks) int {
	step := w.step
	committed := step.Committed()
	for placed := range w.count {
		var best *bin
		for i := range p.bins {
			b := &p.bins[i]
			if b.state.info.Service != w.service || !committed.Fits(b.free) || step.Label != "" && !b.state.info.HasLabel(step.Label) ||
				step.MaxPerRunner > 0 && b.onStep[step] >= step.MaxPerRunner {
				continue
			}
			if best == nil || b.free.CPU < best.free.CPU {
				best = b
			}
		}
		if best == nil {
			return placed
		}
		best.free = best.free.Sub(committed)
		best.onStep[step]++
	}
	return w.count
}

// runnersPerSparePlace is the number of runners for which one place of the size of a job's largest long-running task stays free.
// Runners that fail leave tasks behind, and short tasks keep placement from following the packing.
const runnersPerSparePlace = 20

// hasPlaces reports whether each long-running task of a job has a place beside those that the cell has accepted, with some to
// spare. The caller holds mu.
func (c *Cell) hasPlaces(job *workload.Job) bool {
	p := c.newPacking()
	p.add(job)
	var spare workload.Step
	for i := range job.Steps {
		if step := &job.Steps[i]; step.LongRunning && step.Committed().CPU >= spare.Resources.CPU {
			spare = workload.Step{Resources: step.Committed(), Label: step.Label}
		}
	}
	p.wanted = append(p.wanted, wantedTasks{&spare, job.Policy.Service, len(p.bins) / runnersPerSparePlace})
	return p.fits()
}

// placeSizes are the sizes of tasks, in thousandths of a core, for which a cell reports its places.
var placeSizes = []int64{2000, 4000, 8000, 12000, 16000, 20000, 24000, 32000, 48000, 64000}

// maxReportedPieces bounds the pieces that a cell reports for each service. They matter when a cell is nearly full, and then few
// pieces fit a long-running task.
const maxReportedPieces = 16

// Piece is what a runner has free: thousandths of a core, megabytes of memory and GPUs.
type Piece [3]int64

func pieceOf(free workload.Resources) Piece { return Piece{free.CPU, free.MemoryMB, free.GPU} }

// places returns how many tasks of a step fit into the piece.
func (p Piece) places(step *workload.Step) int {
	count := int64(0)
	for i, need := range pieceOf(step.Committed()) {
		if need <= 0 {
			continue
		}
		fitting := max(p[i], 0) / need
		if fitting == 0 {
			return 0
		}
		if count == 0 || fitting < count {
			count = fitting
		}
	}
	if step.MaxPerRunner > 0 {
		count = min(count, int64(step.MaxPerRunner))
	}
	return int(count)
}

// Places is the free capacity of a cell's runners.
type Places struct {
	// Counts holds, for each service and each size of placeSizes, the number of tasks of that size that fit.
	Counts map[string][]int
	// Pieces holds, for each service, the largest pieces, the one with the most processor time first.
	Pieces map[string][]Piece
}

func newPlaces() Places { return Places{map[string][]int{}, map[string][]Piece{}} }

// add adds what a runner has free.
func (p Places) add(service string, free workload.Resources) {
	counts := p.Counts[service]
	if counts == nil {
		counts = make([]int, len(placeSizes))
		p.Counts[service] = counts
	}
	for i, size := range placeSizes {
		counts[i] += int(max(free.CPU, 0) / size)
	}
	pieces := p.Pieces[service]
	piece := pieceOf(free)
	i, _ := slices.BinarySearchFunc(pieces, piece, func(a, b Piece) int { return cmp.Compare(b[0], a[0]) })
	if i == maxReportedPieces {
		return
	}
	p.Pieces[service] = slices.Insert(pieces, i, piece)[:min(len(pieces)+1, maxReportedPieces)]
}

// freePlaces returns what is free on the cell's runners now. The caller holds mu.
func (c *Cell) freePlaces(now time.Time) Places {
	places := newPlaces()
	for _, rs := range c.runners {
		if !c.isUsable(now, rs) {
			continue
		}
		free := rs.info.Capacity
		for r := range rs.runs {
			free = free.Sub(r.unit.def().Committed())
		}
		places.add(rs.info.Service, free)
	}
	return places
}

// longRunningPlaces returns what is free once the short tasks have ended, beside the long-running tasks that wait. The caller holds mu.
func (c *Cell) longRunningPlaces(now time.Time) Places {
	packing := c.newRespondingPacking(now)
	packing.placeAll()
	places := newPlaces()
	for i := range packing.bins {
		b := &packing.bins[i]
		places.add(b.state.info.Service, b.free)
	}
	return places
}

// PlacesFor returns how many tasks of a step fit on the cell's runners of a service now, and how many once its short tasks have
// ended, as far as the reported pieces tell.
func (l *Load) PlacesFor(step *workload.Step, service string) (now, longRunning int) {
	for _, piece := range l.Pieces[service] {
		now += piece.places(step)
	}
	for _, piece := range l.LongRunningPieces[service] {
		longRunning += piece.places(step)
	}
	return now, longRunning
}

// PlacesOfSize returns how many tasks of a size, in thousandths of a core, fit on the cell's runners of all services now, and how many
// once its short tasks have ended.
func (l *Load) PlacesOfSize(cpu int64) (now, longRunning int) {
	i := slices.IndexFunc(placeSizes, func(size int64) bool { return cpu <= size })
	for _, counts := range l.Places {
		now += countAt(counts, i)
	}
	for _, counts := range l.LongRunningPlaces {
		longRunning += countAt(counts, i)
	}
	return now, longRunning
}

// countAt returns the count with an index, or 0 if a report has none.
func countAt(counts []int, i int) int {
	if i < 0 || i >= len(counts) {
		return 0
	}
	return counts[i]
}
