package dispatch

import (
	"math"
	"time"

	"github.com/currantthread/currantthread/workload"
)

const (
	// admissionInterval is how often the demand of short tasks is sampled.
	admissionInterval = 500 * time.Millisecond
	// admissionMemory is the time constant of the averages; bursts of the users' deployments last about 6 s.
	admissionMemory = 8 * time.Second
	// runnersQuiet is how long no new runner must have shown up before a new owner takes the cell's capacity as known;
	// service discovery is read every 1.2 s.
	runnersQuiet = 1500 * time.Millisecond
	// shortHeadroom is the multiple of the average demand of short tasks that is kept free of lasting tasks. Demand is
	// bursty, and what it needs beyond the average would wait for a lasting job to end.
	shortHeadroom = 2.0
	// The kept room is bounded, as a share of the capacity. The lower bound leaves room for lasting tasks whose runner was
	// lost (scale-ins take up to a tenth of a cell) and for what stays unused because tasks don't fit exactly; the upper
	// one keeps a backlog of short tasks from turning every lasting job away.
	minReserve = 0.12
	maxReserve = 0.18
	// The time after which a refused lasting job may come again, for rates that were not seen or are near 0.
	minRoomWait = 1 * time.Second
	maxRoomWait = 60 * time.Second
)

// admission decides how much of a cell's capacity lasting jobs may take. Lasting tasks hold their room for minutes, so
// once they fill the cell, short tasks wait for ever. Amounts are in thousandths of a core. The zero value has seen
// nothing.
type admission struct {
	sampledAt time.Time
	// short is the average of what short tasks commit or wait for.
	short float64
	// freed is the average of what ended lasting jobs gave back per second, and freedSince what they did since the
	// last sample.
	freed      float64
	freedSince int64
}

// sample takes what short tasks commit or wait for now.
func (a *admission) sample(now time.Time, short int64) {
	if a.sampledAt.IsZero() {
		a.sampledAt, a.short = now, float64(short)
		return
	}
	passed := now.Sub(a.sampledAt)
	if passed <= 0 {
		return
	}
	kept := math.Exp(-float64(passed) / float64(admissionMemory))
	a.short = a.short*kept + float64(short)*(1-kept)
	a.freed = a.freed*kept + float64(a.freedSince)/passed.Seconds()*(1-kept)
	a.sampledAt, a.freedSince = now, 0
}

// reserve returns the part of a capacity that is kept free of lasting tasks.
func (a *admission) reserve(capacity int64) int64 {
	share := shortHeadroom * a.short / float64(max(capacity, 1))
	return int64(min(max(share, minReserve), maxReserve) * float64(capacity))
}

// RoomWait returns when a lasting job of the demand is expected to find room in the cell, in thousandths of a core.
func (l *Load) RoomWait(demand int64) time.Duration {
	missing := demand - l.LastingRoom
	if missing <= 0 {
		return minRoomWait
	}
	if l.LastingFreed <= 0 {
		return maxRoomWait
	}
	wait := time.Duration(float64(missing) / float64(l.LastingFreed) * float64(time.Second))
	return min(max(wait, minRoomWait), maxRoomWait)
}

// LastingDemand returns the processor time that the lasting tasks of a job commit, in thousandths of a core.
func LastingDemand(job *workload.Job) int64 {
	demand := int64(0)
	for i := range job.Steps {
		if step := &job.Steps[i]; step.LongRunning {
			demand += step.Committed().CPU * int64(step.Count)
		}
	}
	return demand
}

// lastingRoom returns how much more lasting tasks may commit. It counts jobs and runners, and not runs and answers, so
// that it holds while a new owner still learns what runs. The caller holds mu.
func (c *Cell) lastingRoom() int64 {
	capacity := int64(0)
	for _, h := range c.runners {
		if h.present && !h.info.Draining && !c.evacuated[h.info.Domain] {
			capacity += h.info.Capacity.CPU
		}
	}
	room := capacity - c.admission.reserve(capacity)
	for _, j := range c.jobs {
		if !j.state.Terminal() {
			room -= LastingDemand(j.def)
		}
	}
	for _, s := range c.submissions {
		room -= LastingDemand(s.job)
	}
	return room
}

// sampleAdmission is called with each tick. The caller holds mu.
func (c *Cell) sampleAdmission(now time.Time) {
	if now.Sub(c.admission.sampledAt) < admissionInterval {
		return
	}
	c.runnersKnown = c.runnersKnown || now.Sub(c.runnerAddedAt) > runnersQuiet
	short := int64(0)
	isShort := func(def *workload.Step) bool { return !def.LongRunning && !def.Fills }
	for _, h := range c.runners {
		for r := range h.runs {
			if def := r.unit.def(); isShort(def) {
				short += def.Committed().CPU
			}
		}
	}
	for _, u := range c.ready {
		if def := u.def(); u.phase == phaseReady && isShort(def) {
			short += def.Committed().CPU * int64(u.size)
		}
	}
	c.admission.sample(now, short)
}
