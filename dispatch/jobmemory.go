package dispatch

import (
	"sync"

	"github.com/currantthread/currantthread/internal/memory"
	"github.com/currantthread/currantthread/workload"
)

const (
	// jobBytes, stepBytes and unitBytes are what a job, each of its steps and each of its tasks take in the memory of the owner beside
	// their texts. A gang counts as one task.
	jobBytes  = 1 << 10
	stepBytes = 512
	unitBytes = 512
	// submissionCopies is how many times a job's definition is held until it is durable: as received, decoded, and encoded for the store.
	submissionCopies = 3
	// freeShare is the part of the free memory that one job may take. Small jobs are accepted for longer than large ones, so that a few
	// large jobs can't lock all others out (dynamic thresholds, Choudhury and Hahne 1998).
	freeShare = 4
)

// JobMemory bounds the memory that the jobs of all cells of a node take. Nil has no bound. It is safe for concurrent use.
type JobMemory struct {
	pool *memory.Pool

	mu          sync.Mutex // guards the fields below
	limit, held int64
}

// NewJobMemory returns a bound in bytes, of memory that is shared with others if pool is not nil.
func NewJobMemory(limit int64, pool *memory.Pool) *JobMemory {
	return &JobMemory{pool: pool, limit: limit}
}

// SetLimit changes the bound. Jobs that were accepted stay.
func (m *JobMemory) SetLimit(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = bytes
}

// Held returns the bytes that jobs take, and Limit the bound.
func (m *JobMemory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Limit returns the bound in bytes.
func (m *JobMemory) Limit() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit
}

// fits reports whether a job, or a part of one, may take so many bytes.
func (m *JobMemory) fits(bytes int64) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fitsLocked(bytes)
}

func (m *JobMemory) fitsLocked(bytes int64) bool {
	return bytes*freeShare <= min(m.limit-m.held, m.pool.Free())
}

// reserve takes bytes if they fit.
func (m *JobMemory) reserve(bytes int64) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.fitsLocked(bytes) {
		return false
	}
	m.held += bytes
	m.pool.Add(bytes)
	return true
}

// add takes bytes whether they fit or not, or gives them back if they are negative.
func (m *JobMemory) add(bytes int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held += bytes
	m.pool.Add(bytes)
}

// definitionBytes returns what the definition of a job takes.
func definitionBytes(job *workload.Job) int64 {
	size := jobBytes + len(job.Spec) + len(job.Organisation)
	for i := range job.Steps {
		step := &job.Steps[i]
		const dependencyBytes = 16 // in the step and in the list of the steps that follow
		size += stepBytes + dependencyBytes*len(step.After) + len(step.Label) + len(step.DataRack) + len(step.Image)
	}
	return int64(size)
}

// occurrenceBytes returns what the tasks of one occurrence of a job take.
func occurrenceBytes(job *workload.Job) int64 {
	units := 0
	for i := range job.Steps {
		if job.Steps[i].Gang {
			units++
		} else {
			units += job.Steps[i].Count
		}
	}
	return int64(units) * unitBytes
}

// submissionBytes returns what a submitted job takes until it is durable.
func submissionBytes(job *workload.Job) int64 {
	return submissionCopies*definitionBytes(job) + occurrenceBytes(job)
}

// countMemory counts what the job takes now. A job takes the memory of one occurrence before that is due, so that scheduled jobs that become due
// together fit. Until it is added to a cell, it is not counted.
func (j *jobState) countMemory() {
	if j.memory == nil {
		return
	}
	bytes := definitionBytes(j.def)
	if j.occs != nil && !j.unitsDropped {
		bytes += int64(max(len(j.occs), 1)) * occurrenceBytes(j.def)
	}
	j.memory.add(bytes - j.held)
	j.held = bytes
}

// addJob adds a job to the cell. The caller holds mu.
func (c *Cell) addJob(id string, j *jobState) {
	c.jobs[id] = j
	j.memory = c.cfg.Memory
	j.countMemory()
}

// removeJob removes a job from the cell. The caller holds mu.
func (c *Cell) removeJob(j *jobState) {
	delete(c.jobs, j.def.ID)
	j.memory.add(-j.held)
	j.memory, j.held = nil, 0
}

// releaseMemory gives back what the jobs of the cell take, once it has ended.
func (c *Cell) releaseMemory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		j.memory.add(-j.held)
		j.memory, j.held = nil, 0
	}
	for s := range c.undecided() {
		s.releaseMemory()
	}
	c.cfg.Memory = nil
}
