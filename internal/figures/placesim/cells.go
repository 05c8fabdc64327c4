package placesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/sched"
)

const (
	cellSize = 300
	// planSize is the number of starts of one plan: 1,400 starts a second in 66 cells with 500 ms between plans.
	planSize = 10
	cellTeam = 62
	// servicesPerTen and batchPerTen are tasks for each ten workers: 90,000 and 590,000 on 20,000 workers.
	servicesPerTen = 45
	batchPerTen    = 295
)

// Cells are the schedulers of a deployment whose workers are filled to about 70%, for measurements of their speed.
type Cells struct {
	rng   *rand.Rand
	cells []*cell
	turn  int
}

type cell struct {
	s    *sched.Scheduler
	ids  []job.TaskID
	next int
	now  time.Time
}

// NewCells returns cells of at most 300 workers each.
func NewCells(workers int, seed uint64) *Cells {
	c := &Cells{rng: rand.New(rand.NewPCG(seed, 2))}
	for done := 0; done < workers; {
		n := min(cellSize, workers-done)
		c.cells = append(c.cells, newCell(n, c.rng))
		done += n
	}
	return c
}

func newCell(workers int, rng *rand.Rand) *cell {
	c := &cell{s: sched.New(sched.DefaultConfig(), interference.New(interference.DefaultConfig())), now: Epoch}
	const perRack = 8
	for i := range workers {
		c.s.UpsertWorker(sched.Worker{
			ID: fmt.Sprintf("w%d", i), Domain: "chipre", Rack: fmt.Sprintf("r%d", i/perRack), Ready: true,
			Capacity: job.Resources{CPUMilli: 64_000, MemoryMiB: 250_000, Accelerators: int64(i%10/9) * 8},
		})
	}
	for range workers * servicesPerTen / 10 {
		c.enqueue(job.ClassService, job.Resources{CPUMilli: 3000, MemoryMiB: 8000}, rng)
	}
	for range workers * batchPerTen / 10 {
		c.enqueue(job.ClassBatch, batchSize(rng), rng)
	}
	for c.plan() > 0 {
	}
	return c
}

func batchSize(rng *rand.Rand) job.Resources {
	return job.Resources{CPUMilli: 500 + 250*rng.Int64N(5), MemoryMiB: 2000 + 500*rng.Int64N(5)}
}

func (c *cell) enqueue(class job.Class, size job.Resources, rng *rand.Rand) {
	const kinds = 20
	c.next++
	t := job.Task{
		ID: job.MakeTaskID(fmt.Sprintf("j%d", c.next/100), c.next%100), Attempt: 1,
		Team: fmt.Sprintf("team%d", rng.IntN(cellTeam)),
		Spec: job.TaskSpec{Class: class, Priority: job.PriorityBatch, Resources: size, Kind: fmt.Sprintf("k%d", rng.IntN(kinds))},
	}
	if class == job.ClassService {
		t.Spec.Priority, t.Spec.Service = job.PriorityService, fmt.Sprintf("s%d", rng.IntN(kinds))
	}
	_ = c.s.Enqueue(t)
}

func (c *cell) plan() int {
	c.now = c.now.Add(500 * time.Millisecond)
	p := c.s.Plan(c.now, planSize)
	c.s.Commit(p)
	for i := range p.Starts {
		if p.Starts[i].Task.Spec.Class == job.ClassBatch {
			c.ids = append(c.ids, p.Starts[i].Task.ID)
		}
	}
	return len(p.Starts)
}

// Decide ends ten tasks of the next cell, queues as many, plans and commits. It returns the number of starts decided.
func (c *Cells) Decide() int {
	x := c.cells[c.turn%len(c.cells)]
	c.turn++
	for range planSize {
		i := c.rng.IntN(len(x.ids))
		x.s.Release(x.ids[i], sched.EndCompleted)
		x.ids[i] = x.ids[len(x.ids)-1]
		x.ids = x.ids[:len(x.ids)-1]
		x.enqueue(job.ClassBatch, batchSize(c.rng), c.rng)
	}
	return x.plan()
}
