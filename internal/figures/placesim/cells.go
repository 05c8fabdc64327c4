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
	cellSize = 300 // workers
	// planSize is the number of starts per plan: 1,400 starts per second over 66 cells with 500 ms between plans.
	planSize  = 10
	teamCount = 62
	// servicesPerTenWorkers and batchPerTenWorkers are numbers of tasks: 90,000 and 590,000 on 20,000 workers.
	servicesPerTenWorkers = 45
	batchPerTenWorkers    = 295
)

// Cells holds the schedulers of a deployment whose workers are about 70% full. It measures the speed of decisions.
type Cells struct {
	rng      *rand.Rand
	cells    []*cell
	nextCell int
}

type cell struct {
	scheduler     *sched.Scheduler
	batchIDs      []job.TaskID
	enqueuedTasks int
	now           time.Time
}

// NewCells divides the workers into cells of at most 300.
func NewCells(workers int, seed uint64) *Cells {
	c := &Cells{rng: rand.New(rand.NewPCG(seed, 2))}
	for assigned := 0; assigned < workers; {
		n := min(cellSize, workers-assigned)
		c.cells = append(c.cells, newCell(n, c.rng))
		assigned += n
	}
	return c
}

func newCell(workers int, rng *rand.Rand) *cell {
	c := &cell{scheduler: sched.New(sched.DefaultConfig(), interference.New(interference.DefaultConfig())), now: Epoch}
	const perRack = 8
	for i := range workers {
		c.scheduler.UpsertWorker(sched.Worker{
			ID: fmt.Sprintf("w%d", i), Domain: "chipre", Rack: fmt.Sprintf("r%d", i/perRack), Ready: true,
			Capacity: job.Resources{CPUMilli: 64_000, MemoryMiB: 250_000, Accelerators: int64(i%10/9) * 8},
		})
	}
	for range workers * servicesPerTenWorkers / 10 {
		c.enqueue(job.ClassService, job.Resources{CPUMilli: 3000, MemoryMiB: 8000}, rng)
	}
	for range workers * batchPerTenWorkers / 10 {
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
	const kindCount = 20
	c.enqueuedTasks++
	t := job.Task{
		ID: job.MakeTaskID(fmt.Sprintf("j%d", c.enqueuedTasks/100), c.enqueuedTasks%100), Attempt: 1,
		Team: fmt.Sprintf("team%d", rng.IntN(teamCount)),
		Spec: job.TaskSpec{Class: class, Priority: job.PriorityBatch, Resources: size, Kind: fmt.Sprintf("k%d", rng.IntN(kindCount))},
	}
	if class == job.ClassService {
		t.Spec.Priority, t.Spec.Service = job.PriorityService, fmt.Sprintf("s%d", rng.IntN(kindCount))
	}
	_ = c.scheduler.Enqueue(t)
}

func (c *cell) plan() int {
	c.now = c.now.Add(500 * time.Millisecond)
	p := c.scheduler.Plan(c.now, planSize)
	c.scheduler.Commit(p)
	for i := range p.Starts {
		if p.Starts[i].Task.Spec.Class == job.ClassBatch {
			c.batchIDs = append(c.batchIDs, p.Starts[i].Task.ID)
		}
	}
	return len(p.Starts)
}

// Decide ends ten tasks of one cell, queues ten others, plans and commits. It returns the number of starts in the plan.
// Successive calls cycle through the cells.
func (c *Cells) Decide() int {
	target := c.cells[c.nextCell%len(c.cells)]
	c.nextCell++
	for range planSize {
		i := c.rng.IntN(len(target.batchIDs))
		target.scheduler.Release(target.batchIDs[i], sched.EndCompleted)
		target.batchIDs[i] = target.batchIDs[len(target.batchIDs)-1]
		target.batchIDs = target.batchIDs[:len(target.batchIDs)-1]
		target.enqueue(job.ClassBatch, batchSize(c.rng), c.rng)
	}
	return target.plan()
}
