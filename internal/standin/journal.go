package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
)

// Run is the time during which an attempt ran on a worker.
type Run struct {
	Ref    infra.AttemptRef `json:"ref"`
	Class  job.Class        `json:"class"`
	Worker string           `json:"worker"`
	Domain string           `json:"domain"`
	// StartNanos and EndNanos are Unix times in nanoseconds. EndNanos is 0 while the attempt runs.
	StartNanos int64          `json:"start_ns"`
	EndNanos   int64          `json:"end_ns,omitempty"`
	End        infra.RunState `json:"end,omitempty"`
}

// WorkerCounts counts what the workers of a failure domain did.
type WorkerCounts struct {
	Starts    int64 `json:"starts"`
	Completed int64 `json:"completed"`
	Failed    int64 `json:"failed"`
	Stopped   int64 `json:"stopped"`
	// LeaseExpired counts attempts that were stopped because the lease expired.
	LeaseExpired int64 `json:"lapsed"`
	Checkpoints  int64 `json:"checkpoints"`
	// OverCapacity counts starts after which the declared resources on a worker exceeded its capacity.
	OverCapacity int64 `json:"over_capacity"`
	// Refused counts starts that were refused, by reason.
	Refused map[string]int64 `json:"refused,omitempty"`
	// StaleEpochs counts attaches that were refused.
	StaleEpochs int64 `json:"stale_epochs"`
}

// Journal records the runs and counts of the workers of one process. It spans all incarnations of the workers.
type Journal struct {
	mu     sync.Mutex // guards the fields below
	runs   []Run
	counts WorkerCounts
}

// NewJournal returns an empty Journal.
func NewJournal() *Journal { return &Journal{counts: WorkerCounts{Refused: map[string]int64{}}} }

// Runs returns all runs so far.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.runs)
}

// Counts returns all counts so far.
func (j *Journal) Counts() WorkerCounts {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := j.counts
	counts.Refused = map[string]int64{}
	for reason, n := range j.counts.Refused {
		counts.Refused[reason] = n
	}
	return counts
}

// recordStart records the start of a run and returns its index.
func (j *Journal) recordStart(run Run, overCapacity bool) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Starts++
	if overCapacity {
		j.counts.OverCapacity++
	}
	j.runs = append(j.runs, run)
	return len(j.runs) - 1
}

// recordEnd records the end of a run.
func (j *Journal) recordEnd(index int, at time.Time, state infra.RunState, leaseExpired bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[index].EndNanos = at.UnixNano()
	j.runs[index].End = state
	switch state {
	case infra.RunCompleted:
		j.counts.Completed++
	case infra.RunFailed:
		j.counts.Failed++
	default:
		j.counts.Stopped++
	}
	if leaseExpired {
		j.counts.LeaseExpired++
	}
}

func (j *Journal) recordRefusal(reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Refused[reason]++
}

func (j *Journal) recordStaleEpoch() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.StaleEpochs++
}

func (j *Journal) recordCheckpoint() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Checkpoints++
}

// Overlap is a task that ran in two places at once, or an attempt that was started twice.
type Overlap struct {
	First, Second Run
}

// FindOverlaps returns the pairs of runs of one exclusive task that overlap in time, and those of one attempt.
func FindOverlaps(runs []Run) []Overlap {
	byTask := map[job.TaskID][]Run{}
	for _, run := range runs {
		if run.Class.Exclusive() {
			byTask[run.Ref.Task] = append(byTask[run.Ref.Task], run)
		}
	}
	var overlaps []Overlap
	for _, runs := range byTask {
		slices.SortFunc(runs, func(a, b Run) int { return int(a.StartNanos - b.StartNanos) })
		// A run may overlap with any later one, not only the next, so every pair is compared.
		for i, first := range runs {
			for _, second := range runs[i+1:] {
				running := first.EndNanos == 0 || first.EndNanos > second.StartNanos
				if running || first.Ref == second.Ref {
					overlaps = append(overlaps, Overlap{first, second})
				}
			}
		}
	}
	return overlaps
}
