package emulator

import (
	"time"

	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// EndCrashed is the reason of a run that ended with its runner's process. Runners never report it.
const EndCrashed runner.EndReason = "crashed"

// EndRecord is the end of a run.
type EndRecord struct {
	At     time.Time
	Runner string
	Task   workload.TaskID
	Run    int
	Reason runner.EndReason
	// Acked is set once the end was acknowledged to the same process before the runner's lease lapsed.
	Acked bool
}

// recordEnd records the end of a run; number is 0 if the runner does not report it. The caller holds mu.
func (f *Fleet) recordEnd(r *simRunner, key runKey, number int64, reason runner.EndReason) {
	record := &EndRecord{At: time.Now(), Runner: r.info.ID, Task: key.task, Run: key.run, Reason: reason}
	f.ends = append(f.ends, record)
	if number > 0 {
		r.endRecords[number] = record
	}
}

// forgetEnds forgets the ends up to an acknowledged number. The caller holds mu.
func (r *simRunner) forgetEnds(acked int64) {
	for len(r.ends) > 0 && r.ends[0].Number <= acked {
		number := r.ends[0].Number
		r.endRecords[number].Acked = r.endRecords[number].At.After(r.lapsedAt)
		delete(r.endRecords, number)
		r.ends = r.ends[1:]
	}
}

// Ends returns the ends of all runs in order.
func (f *Fleet) Ends() []EndRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	ends := make([]EndRecord, 0, len(f.ends))
	for _, record := range f.ends {
		ends = append(ends, *record)
	}
	return ends
}

// SetDraining changes whether a runner asks for no new tasks.
func (f *Fleet) SetDraining(id string, draining bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners[id].info.Draining = draining
}
